#include "experiment/statistics.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace umberdyke::experiment {
namespace {

// Of the mean: the deviation by the root of n.
double StandardError(const std::vector<double>& values, double mean) {
  double squares = 0;
  for (const double v : values) squares += (v - mean) * (v - mean);
  const auto n = static_cast<double>(values.size());
  return std::sqrt(squares / (n - 1) / n);
}

}  // namespace

Interval MeanOf(const std::vector<double>& values) {
  Interval i;
  i.n = values.size();
  if (values.empty()) return i;
  for (const double v : values) i.mean += v;
  i.mean /= static_cast<double>(values.size());
  if (values.size() < 2) return i;
  const boost::math::students_t t(static_cast<double>(values.size() - 1));
  i.half = boost::math::quantile(boost::math::complement(t, 0.025)) * StandardError(values, i.mean);
  return i;
}

Difference Paired(const std::vector<double>& first, const std::vector<double>& second) {
  std::vector<double> changes;
  for (std::size_t i = 0; i < first.size() && i < second.size(); ++i) changes.push_back(second[i] - first[i]);
  Difference d;
  d.change = MeanOf(changes);
  if (changes.size() < 2) return d;
  const double error = StandardError(changes, d.change.mean);
  if (error <= 0) {
    d.p = d.change.mean == 0 ? 1 : 0;
  } else {
    const boost::math::students_t t(static_cast<double>(changes.size() - 1));
    d.p = 2 * boost::math::cdf(boost::math::complement(t, std::abs(d.change.mean) / error));
  }
  if (d.p < 0.05) d.verdict = d.change.mean > 0 ? Verdict::kHigher : Verdict::kLower;
  return d;
}

}  // namespace umberdyke::experiment

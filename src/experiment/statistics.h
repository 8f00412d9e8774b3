// Means over seeds with their intervals, and differences of paired seeds. Boost.Math's Student t.
#ifndef UMBERDYKE_EXPERIMENT_STATISTICS_H_
#define UMBERDYKE_EXPERIMENT_STATISTICS_H_

#include <vector>

namespace umberdyke::experiment {

struct Interval {
  double mean = 0;
  double half = 0;  // the 95% interval is mean - half to mean + half; 0 for fewer than two values
  std::size_t n = 0;
  double low() const { return mean - half; }
  double high() const { return mean + half; }
};

Interval MeanOf(const std::vector<double>& values);

enum class Verdict { kSame, kHigher, kLower };
struct Difference {
  Interval change;  // of the second against the first, by pairs
  Verdict verdict = Verdict::kSame;
  double p = 1;  // two-sided
};
// Both have the same seeds in the same order.
Difference Paired(const std::vector<double>& first, const std::vector<double>& second);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_STATISTICS_H_

#include "emulator/metrics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace umberdyke::emulator {
namespace {

constexpr double kLeast = 10, kMost = 1e9;
constexpr unsigned kBins = 1990;

}  // namespace

TimeHistogram::TimeHistogram()
    : bins_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                  Axis(kBins, kLeast, kMost))) {}

void TimeHistogram::Add(Micros time) {
  bins_(std::max(1.0, static_cast<double>(time)));
  ++count_;
  sum_ += static_cast<double>(time);
}

double TimeHistogram::Quantile(double share) const {
  if (count_ == 0) return 0;
  const double wanted = share * static_cast<double>(count_);
  double seen = static_cast<double>(bins_.at(-1));
  if (seen >= wanted && seen > 0) return kLeast;
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    const double here = static_cast<double>(bins_.at(i));
    if (here > 0 && seen + here >= wanted) {
      const auto bin = bins_.axis().bin(i);
      return bin.lower() * std::pow(bin.upper() / bin.lower(), std::clamp((wanted - seen) / here, 0.0, 1.0));
    }
    seen += here;
  }
  return kMost;
}

std::vector<std::pair<double, double>> TimeHistogram::Curve(std::size_t most) const {
  std::vector<std::pair<double, double>> points;
  for (std::size_t i = 1; i < most && count_ > 0; ++i) {
    const double share = static_cast<double>(i) / static_cast<double>(most);
    points.emplace_back(Quantile(share) / 1000, share);
  }
  return points;
}

const char* FinalName(Final final) {
  constexpr std::array<const char*, kFinals> names = {"in_time", "late",    "refused",
                                                      "failed",  "gave_up", "lost"};
  return names[static_cast<std::size_t>(final)];
}

std::uint64_t Metrics::Requests() const {
  return std::accumulate(finals.begin(), finals.end(), std::uint64_t{0});
}

std::map<std::string, double> Metrics::Figures() const {
  std::map<std::string, double> f;
  const auto requests = static_cast<double>(std::max<std::uint64_t>(1, Requests()));
  f["service"] = Service();
  f["requests"] = static_cast<double>(Requests());
  for (std::size_t i = 0; i < kFinals; ++i) {
    f[std::string("share_") + FinalName(static_cast<Final>(i))] = static_cast<double>(finals[i]) / requests;
  }
  f["share_answered"] = f["share_in_time"] + f["share_late"];
  f["share_dropped"] = 1 - f["share_answered"];
  f["mean_ms"] = response.Mean() / 1000;
  for (const auto& [name, share] : {std::pair("p10_ms", 0.1),
                                    {"p25_ms", 0.25},
                                    {"p50_ms", 0.5},
                                    {"p75_ms", 0.75},
                                    {"p90_ms", 0.9},
                                    {"p99_ms", 0.99},
                                    {"p999_ms", 0.999}}) {
    f[name] = response.Quantile(share) / 1000;
  }
  f["range_10_90_ms"] = f["p90_ms"] - f["p10_ms"];
  f["wait_mean_ms"] = wait.Mean() / 1000;
  f["wait_p99_ms"] = wait.Quantile(0.99) / 1000;
  double flows = 0, tries = 0;
  for (std::size_t i = 1; i < attempts.size(); ++i) {
    flows += static_cast<double>(attempts[i]);
    tries += static_cast<double>(i * attempts[i]);
    if (attempts[i] > 0) f["attempts_most"] = static_cast<double>(i);
  }
  f["attempts_mean"] = flows > 0 ? tries / flows : 0;
  for (std::size_t i = 0; i < lowest.size(); ++i) {
    if (lowest[i] > 0) f["lowest_calls_most"] = static_cast<double>(i);
  }
  f["sends"] = static_cast<double>(sends);
  f["checks"] = static_cast<double>(checks);
  f["client_retries"] = static_cast<double>(client_retries);
  f["keyed_dropped"] = static_cast<double>(keyed_dropped);
  f["keyed_doubled"] = static_cast<double>(keyed_doubled);
  f["unsafe_doubled"] = static_cast<double>(unsafe_doubled);
  f["imbalance"] = imbalance;
  f["imbalance_calls"] = imbalance_calls;
  f["fairness"] = fairness;
  f["collapses"] = static_cast<double>(collapses);
  f["collapsed_share"] = collapsed_share;
  f["falls"] = static_cast<double>(falls);
  f["turned_away"] = static_cast<double>(turned_away);
  f["busy_share"] = busy_share;
  f["little_error"] = little_error;
  f["mean_in_system"] = mean_in_system;
  f["arrival_rate"] = arrival_rate;
  f["mean_sojourn_s"] = mean_sojourn_s;
  // The worst ten seconds, and the time until service is back for good: what a trouble leaves behind.
  double worst = 1;
  std::size_t last_bad = 0;
  const std::size_t n = seconds.size();
  for (std::size_t i = 0; i + 10 <= n; ++i) {
    double asked = 0, gained = 0;
    for (std::size_t k = i; k < i + 10; ++k) {
      asked += seconds[k].asked;
      gained += seconds[k].gained;
    }
    if (asked <= 0) continue;
    worst = std::min(worst, gained / asked);
    if (gained / asked < 0.8) last_bad = i + 10;
  }
  // Seconds, from the first that is short, in which less than 95% of the worth asked was had; in windows
  // of 3.
  double short_s = 0;
  for (std::size_t i = 1; i + 1 < n; ++i) {
    const double asked = seconds[i - 1].asked + seconds[i].asked + seconds[i + 1].asked;
    const double gained = seconds[i - 1].gained + seconds[i].gained + seconds[i + 1].gained;
    if (asked > 0 && gained < 0.95 * asked) ++short_s;
  }
  f["short_s"] = short_s;
  f["release_s"] = release_s;
  f["release_out"] = release_out;
  f["zones_lost"] = static_cast<double>(zones_lost);
  f["worst_10s"] = worst;
  f["last_bad_s"] = static_cast<double>(last_bad);
  f["events"] = static_cast<double>(events);
  return f;
}

}  // namespace umberdyke::emulator

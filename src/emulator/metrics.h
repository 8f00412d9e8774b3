// What a run counted. Sums and histograms only: memory grows with the run's seconds, never with its events.
#ifndef UMBERDYKE_EMULATOR_METRICS_H_
#define UMBERDYKE_EMULATOR_METRICS_H_

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke::emulator {

// Times from 10 us to 1,000 s in bins 0.93% wide: a quantile is off by half of that at most.
class TimeHistogram {
 public:
  TimeHistogram();
  void Add(Micros time);
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }  // microseconds
  double Quantile(double share) const;                                                  // microseconds
  // The distribution as points: time in ms, share at or below it.
  std::vector<std::pair<double, double>> Curve(std::size_t most) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> bins_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

enum class Final : std::uint8_t { kInTime, kLate, kRefused, kFailed, kGaveUp, kLost };
constexpr std::size_t kFinals = 6;
const char* FinalName(Final final);

// One second of the run.
struct Second {
  double asked = 0, gained = 0;  // worth
  std::uint32_t requests = 0, refused = 0, collapsed = 0;
  double in_system = 0;
};

class Metrics {
 public:
  std::array<std::uint64_t, kFinals> finals{};
  double worth_asked = 0, worth_gained = 0;
  TimeHistogram response;                   // of clients' requests with an answer, from the first try
  TimeHistogram wait;                       // of calls at the first tier, before they run
  std::array<std::uint64_t, 8> attempts{};  // of a flow at the first tier: how many took so many
  std::array<std::uint64_t, 64> lowest{};   // calls at the lowest tier for one client's request
  std::uint64_t sends = 0, checks = 0, client_retries = 0;
  std::uint64_t keyed_dropped = 0, keyed_doubled = 0, unsafe_doubled = 0;
  std::uint64_t decisions = 0;
  std::uint64_t zones_lost = 0;  // verdicts, over all sidecars
  double release_s = 0;          // until it was complete; -1: it never was; 0: there was none
  double release_out = 0;        // the most that were out at once by it
  std::vector<Second> seconds;
  // Of the first servers: mean calls present in each second.
  std::vector<std::vector<float>> heat;
  double imbalance = 0;        // deviation of new calls over the servers in 2 s, on the mean, by their mean
  double imbalance_calls = 0;  // the same in calls
  double fairness = 1;         // Jain's index of all calls over the servers of the first tier
  std::uint64_t collapses = 0, falls = 0, turned_away = 0;
  double collapsed_share = 0;                                       // of the servers' time
  double busy_share = 0;                                            // of the first tier's cores
  double little_error = 0;                                          // of the sums that have to be equal
  double mean_in_system = 0, arrival_rate = 0, mean_sojourn_s = 0;  // of the first tier
  std::uint64_t events = 0;
  double wall_s = 0;

  double Service() const { return worth_asked > 0 ? worth_gained / worth_asked : 0; }
  std::uint64_t Requests() const;
  // Every figure that experiments and reports know, by its name.
  std::map<std::string, double> Figures() const;
};

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_METRICS_H_

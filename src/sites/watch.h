// A sidecar's watch over zones: takes the list, what came of calls and probes, and the owner's word; hands
// out each zone's part for the module, and which servers to probe, within this copy's share of the fleet's
// allowance. Pure.
#ifndef UMBERDYKE_SITES_WATCH_H_
#define UMBERDYKE_SITES_WATCH_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "sites/plan.h"
#include "sites/verdict.h"
#include "umberdyke/balancer.h"

namespace umberdyke::sites {

struct WatchSettings {
  int own_zone = 0;
  int tier = 0;    // whose servers it sends to
  int copies = 1;  // of this sidecar's tier
  std::optional<Plan> plan;
};

class Watch {
 public:
  Watch(WatchSettings settings, std::uint64_t seed, Micros now);

  void Listed(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries);
  void Ended(Micros now, UpstreamId server, Outcome outcome, Micros elapsed);
  void Probed(Micros now, UpstreamId server, bool answered);
  void Told(Micros now, Directive directive);

  struct Turn {
    std::optional<std::vector<double>> parts;  // where they have changed
    std::vector<UpstreamId> probes;
    std::vector<Change> changes;
  };
  // To be asked every kPace, and after whatever was told.
  static constexpr Micros kPace = 50'000;
  Turn Act(Micros now);

  const Verdicts& verdicts() const { return verdicts_; }
  std::optional<int> ZoneOf(UpstreamId server) const;
  // Whether the server stands in a zone that is lost.
  bool Lost(UpstreamId server) const;
  std::uint64_t probes() const { return probes_; }

 private:
  struct Server {
    int zone = 0;
    bool ready = false;
  };
  std::vector<double> Parts(Micros now) const;
  void Probe(Micros now, int zone, Turn* turn);

  const WatchSettings settings_;
  Verdicts verdicts_;
  std::mt19937_64 random_;
  std::unordered_map<UpstreamId, Server> servers_;  // never iterated
  std::vector<std::vector<UpstreamId>> ready_;      // by zone
  std::vector<Micros> next_probe_;                  // by zone
  std::vector<double> parts_;
  std::uint64_t probes_ = 0;
};

}  // namespace umberdyke::sites

#endif  // UMBERDYKE_SITES_WATCH_H_

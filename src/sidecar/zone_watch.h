// Detects the loss of whole zones if the configuration has a zone plan. Passes attempt results, probe results
// and list changes with their times to sites::Watch, which decides, and applies its decisions.
#ifndef UMBERDYKE_SIDECAR_ZONE_WATCH_H_
#define UMBERDYKE_SIDECAR_ZONE_WATCH_H_

#include <functional>
#include <string>
#include <vector>

#include "config/config.h"
#include "counters/counters.h"
#include "log/log.h"
#include "loop/loop.h"
#include "membership/server_list.h"
#include "sites/watch.h"

namespace umberdyke::net {

class ZoneWatch {
 public:
  struct Owner {
    // Receives the traffic share of each zone, for the decision module.
    std::function<void(const std::vector<double>& shares)> on_zone_shares;
    // Starts a probe; the owner reports its outcome through OnProbeResult.
    std::function<void(ServerId server)> probe;
  };
  // `config` must have a plan.
  ZoneWatch(Loop& loop, const Config& config, Counters& counters, log::Log& log, Owner owner);

  void OnListChange(const ServerListEvent& change);
  void OnAttemptEnd(ServerId server, Outcome outcome, Span elapsed);
  // Whether the zone of the server has no share of the traffic.
  bool IsBlocked(ServerId server) const;
  // Called for every health check, whether this class or the decision module started it.
  void OnProbeResult(ServerId server, Outcome outcome);
  // Returns why an operator's directive cannot be used, or an empty string.
  std::string CheckDirective(const std::string& text) const;
  // Applies the directive; an invalid one is ignored.
  void ApplyDirective(const std::string& text);
  // The lines "zone.NAME=lost", "zone_part.NAME=0" and, once, "zones_cut_off=0".
  std::string StatusLines() const;

 private:
  void Update();

  const Config& config_;
  Counters& counters_;
  log::Log& log_;
  const Owner owner_;
  sites::Watch watch_;
  std::vector<double> zone_shares_;  // by zone
  Timer timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_ZONE_WATCH_H_

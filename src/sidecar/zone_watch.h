// The sidecar's watch over whole zones, where its file has a plan: hands the watch (src/sites) what came of
// calls, probes and the list, in its time, and carries out what it says. What zones are it does not know.
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
    std::function<void(const std::vector<double>& parts)> parts;  // of each zone, for the module
    std::function<void(ServerId server)> probe;                   // `Probed` follows
  };
  // `config` has a plan.
  ZoneWatch(Loop& loop, const Config& config, Counters& counters, log::Log& log, Owner owner);

  void Listed(const ServerListEvent& change);
  void Ended(ServerId server, Outcome outcome, Span took);
  // Whether the module was told that the server's zone gets nothing.
  bool Closed(ServerId server) const;
  // What came of a check, whoever asked for it.
  void Probed(ServerId server, Outcome outcome);
  // The owner's word: why it cannot be used, or an empty text; and its use.
  std::string Check(const std::string& text) const;
  void Take(const std::string& text);
  // "zone.NAME=lost", "zone_part.NAME=0" and "zones_cut_off=0", a line each.
  std::string Lines() const;

 private:
  void Turn();

  const Config& config_;
  Counters& counters_;
  log::Log& log_;
  const Owner owner_;
  sites::Watch watch_;
  std::vector<double> parts_;
  Timer timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_ZONE_WATCH_H_

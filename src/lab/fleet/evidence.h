// What was done at the places of effect in a run of the bed, and the judge of it. Pure: lines of files come
// in, verdicts go out; nothing is believed of what an owner says of itself.
#ifndef UMBERDYKE_LAB_FLEET_EVIDENCE_H_
#define UMBERDYKE_LAB_FLEET_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::lab {

// An order that a sidecar took, in the order of its log.
struct TakenOrder {
  std::string life, duty;
  std::int64_t term = 0, step = 0;
  std::int64_t us = 0;
};
// A verdict of a sidecar on a zone, as its log tells.
struct ZoneVerdict {
  std::string life, zone, what;  // zone-lost, zone-returning or zone-sound
  std::int64_t us = 0;
};

// When one process of a sidecar began to serve and when it was told to end; 0: never.
struct LifeSpan {
  std::int64_t listening = 0, leaving = 0;
  bool by_agent = false;  // an agent started it
};
// What one sidecar's lives logged, the oldest first.
struct PlaceLog {
  std::string name;
  std::vector<TakenOrder> taken;
  // Counted by lives that ended in peace: refused or repeated orders and broken invariants.
  std::map<std::string, std::uint64_t> counts;
  int zone = 0;
  std::vector<ZoneVerdict> verdicts;
  int lives = 0;  // logs read
  std::vector<LifeSpan> spans;
};
// Adds what a log of one life says.
void ReadPlaceLog(std::string_view log, PlaceLog* place);

// A commit of the coordination service, or a write that it refused because what it checked had gone.
struct ServiceLine {
  std::string what, path, data;
  std::int64_t zxid = 0, session = 0, us = 0;
};
std::vector<ServiceLine> ReadServiceLines(std::string_view text);

// What the links between zones and the servers behind them saw.
struct ZoneSend {
  int viewer = 0, zone = 0;
  std::int64_t us = 0;
  bool request = false;  // a client's; else a probe
  std::size_t one = 0;   // a client's: which of Asked::ones
};
struct Worked {
  std::string server, zone, life, key;
  std::int64_t us = 0;
};
struct Zones {
  std::vector<std::string> names;  // empty: the bed has no zones of its own
  double probes_per_s = 0;
  std::vector<ZoneSend> sends;
  std::vector<Worked> worked;
  // While what is left of the servers cannot carry all that comes.
  std::vector<std::pair<std::int64_t, std::int64_t>> short_us;
};
void ReadWorked(std::string_view text, Zones* zones);
// The bed's tenants and their shares; the second asks for three quarters of all.
inline constexpr const char* kTenants[] = {"kesar", "narmada"};
inline constexpr double kShares[] = {0.75, 0.25};
struct OneAsked {
  std::int64_t us = 0;  // when
  int tenant = 0;
  bool handover = false;  // worth three times the other class
  bool refused = false;   // turned down
  int sidecar = 0;
};
struct Asked {
  std::vector<OneAsked> ones;
  std::uint64_t asked = 0, served = 0, turned_down = 0, failed = 0;
  std::uint64_t cut = 0;   // without an answer, its sidecar having been killed or restarted meanwhile
  std::uint64_t lost = 0;  // without an answer, and no such excuse
  std::uint64_t knocked_again =
      0;  // on a new connection, its own having been closed before anything came back
  std::uint64_t doubled = 0, at_once = 0, late_to_drained = 0;
  std::vector<double> served_ms;
};

// What a release, restart or drain may do, and what the bed itself struck.
struct RolloutSight {
  bool on = false;
  std::string version, wanted;  // how its last job may have ended, by the names of phases; empty: as it liked
  int most_sidecars = 0, most_of_host = 0, most_servers = 0;
  std::int64_t warm_sidecar_us = 0, warm_server_us = 0;
  std::map<std::string, std::string> hosts;  // of sidecars
  std::vector<std::string> servers;
  std::string servers_path;
  struct Struck {
    std::string unit;
    std::int64_t from = 0, to = 0;
  };
  std::vector<Struck> struck;
  int most_touched = 0;     // units that a bad version may reach; 0: not judged
  std::int64_t end_us = 0;  // the bed begins to end
  std::string state;        // of the duty in the end
};

struct Evidence {
  RolloutSight rollout;
  std::string base;  // the agents' path
  double rate = 0;   // of the clients' requests, a second
  std::vector<PlaceLog> places;
  std::vector<ServiceLine> service;
  Asked asked;
  Zones zones;
  std::vector<std::string> troubles;  // processes that ended as they should not have, no owner in the end
};

struct Verdict {
  // Each is a rule's name and one line; none: the run is clean.
  std::vector<std::pair<std::string, std::string>> broken;
  std::vector<std::string> timeline;             // the lines round the first that broke
  std::map<std::string, std::uint64_t> dangers;  // how often what the guards are for really arose
  std::uint64_t orders = 0, steps = 0, terms = 0;
  bool clean() const { return broken.empty(); }
};
Verdict Judge(const Evidence& evidence);
// The part on releases, restarts and drains; adds to the verdict.
void JudgeRollout(const Evidence& evidence, Verdict* verdict);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_EVIDENCE_H_

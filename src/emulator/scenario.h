// What is modelled: clients, sidecars, tiers of servers, the network between them and the troubles that come.
// Figures with the unit in their name. Reading and checking only; it may not know how a run goes.
#ifndef UMBERDYKE_EMULATOR_SCENARIO_H_
#define UMBERDYKE_EMULATOR_SCENARIO_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::emulator {

constexpr int kMostTiers = 3;
constexpr int kMostAttempts = 5;

struct ClassSpec {
  std::string name = "call";
  std::string work = "exponential";  // fixed, exponential, uniform, normal, lognormal
  std::string repeats = "safe";      // safe, keyed, never
  std::string group = "all";         // who drops repeats of a keyed one: all, zone
  double share = 1;                  // of the traffic, beside the other classes'
  double work_ms = 100;              // mean; uniform takes the two below
  double work_cv = 1;                // coefficient of variation, of normal and lognormal
  double work_low_ms = 0, work_high_ms = 0;
  double aim_ms = 1000;      // wanted within, from the client's first try
  double give_up_ms = 4000;  // for one try
  double points = 1;         // worth of an answer within the aim
  double late_share = 0;     // worth of a later one, as a share
  double window_s = 0;       // for how long repeats of a keyed one are dropped
};

struct TenantSpec {
  std::string name = "all";
  double share = 1;
  double allowance_per_s = 0;
};

struct TierSpec {
  double servers = 10;
  double cores = 1;
  double slots = 0;  // calls held at once, running or waiting for the next tier; 0: no limit
  double room = 0;   // calls that may wait; more are turned away; 0: no limit
  double work_share = 1;
  double calls = 0;  // to the next tier, for each call here: the mean
  double speed_spread = 0;
  double start_cold = 0;  // 1: the whole tier has just started
  double cold_share = 1;
  double cold_s = 0;
  double fall_multiple = 0;  // a cold one sent more than this multiple of what it can do for 1 s falls over
  double fall_s = 5;
  double crowd_waiting =
      0;  // more waiting than this for each core, for crowd_s, and it turns slower; 0: never
  double crowd_s = 2;
  double crowd_slow = 1;
  double crowd_idle_s = 4;   // until it has been mostly idle for so long
  double crowd_most_s = 25;  // or for so long in all
  double drops_waiting = 0;  // 1: waiting work of a cancelled call is dropped
};

// One trouble. What it takes of the figures stands in docs/writing-experiments.md.
struct Trouble {
  // slow, crash, drain, jump, flood, restart, add, partition, fail-fast, list-late, zone-lost, release
  std::string kind;
  std::string tenant;
  double at_s = 0;
  double for_s = 1;
  double within_s = 0;  // restarts: spread over so long; a release: what each wave has to stand
  double share = 0;     // of the servers or sidecars; or
  double count = 0;
  double factor = 1;
  double tier = 1;
  double zone = -1;  // a partition's: cut off from all others; or the one that is lost
  double only = 0;   // of a lost zone: this tier's servers alone; 0: all of them
  double front =
      0;           // 1: its sidecars are lost too, and its clients go to other zones; a release: of sidecars
  double cut = 0;  // 1: and its ways to the others
  double every_s = 0;  // again each so often
  double until_s = 0;
};

struct Scenario {
  std::string arrivals = "poisson";  // poisson, bursty, even, closed
  double duration_s = 60;
  double warm_up_s = 10;                             // not counted
  double rate_per_s = 100;                           // of clients' requests, unless load says it
  double load = 0;                                   // of what the first tier can do
  double burst_factor = 3, burst_s = 1, calm_s = 9;  // bursty: mean lengths
  double callers = 0, think_ms = 0;                  // closed
  double sidecars = 4;
  double zones = 1;
  double first_zone = 0;                     // share of the servers in the first; 0: as many as in the others
  double near_low_ms = 0, near_high_ms = 0;  // one way, within a zone
  double far_low_ms = 0, far_high_ms = 0;
  double client_retries = 0, client_wait_ms = 500;
  double client_patience = 1;  // least share of the give-up time that a client waits
  double front_blind_s = 0;    // the front layer goes on sending to a dead sidecar
  double list_late_low_s = 0, list_late_high_s = 0;
  double report_low_ms = 0, report_high_ms = 0;  // load is read anew each; 0: with each answer
  double report_noise = 0;                       // up to this share off, either way
  double attempts = kMostAttempts;
  double connect_timeout_ms = 150;
  double retry_after_s = 0;  // clients take advice on when to come back, up to this
  double probes = 0;         // 1: servers may be asked
  double drain_ms = 300;
  double over_share_worth = 1;
  double bloc_capacity = 0;  // of the policy "bloc": 0 means as it works out by itself
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<TierSpec> tiers;
  std::vector<Trouble> troubles;

  double MeanWork(const ClassSpec& c) const;  // ms
  double MeanWork() const;                    // over the classes by their shares
  double Capacity(std::size_t tier) const;    // calls a second that a warm tier can do
  double Rate() const;                        // clients' requests a second
};

// With the place (file and line, or a name) and a plain sentence.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Sets one figure by its name: "sidecars", "tier1.room", "class.handover.aim_ms", "trouble2.factor". Throws.
void SetFigure(Scenario* scenario, std::string_view name, double value);
// Throws where the figures make no sense together.
void CheckScenario(const Scenario& scenario);

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_SCENARIO_H_

// A plan of faults for the bed: drawn from a seed, or read from a file; the same plan strikes the same faults
// in the same order and at the same times. Pure.
#ifndef UMBERDYKE_LAB_FLEET_PLAN_H_
#define UMBERDYKE_LAB_FLEET_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberdyke::lab {

// Whom a fault strikes besides a number: whoever owns the duty when it strikes.
constexpr int kOwnerOfCensus = -1, kOwnerOfTidying = -2, kOwnerOfSites = -3, kOwnerOfRollout = -4;

struct BedFault {
  std::string kind;  // one of FaultKinds()
  int at_ms = 0;     // after the start of the load
  int for_ms = 0;    // until it is taken back
  int who = 0;       // an agent, a sidecar or a member of the service, by the kind
  int way = 0;       // of a link: 0 both, 1 there, 2 back
  friend bool operator==(const BedFault&, const BedFault&) = default;
};

struct BedPlan {
  std::uint64_t seed = 1;
  int zones = 2;  // from three on each has servers, links and a watch of its own
  int sidecars = 4, agents = 3, members = 3, servers = 4;
  double rate = 60;      // requests a second over all sidecars
  int slots = 0;         // of each server with whole zones; 0: as many as come
  int work_ms = 30;      // mean, with whole zones
  int length_ms = 3000;  // within it all faults strike
  int session_ms = 600, margin_ms = 150, rest_ms = 400;
  int census_ms = 60, tidy_ms = 150, tidy_after_ms = 300;
  std::int64_t zxid = 0;  // transactions of the service begin behind it
  // With a release, a restart of a zone's servers or a drain of them; empty: none.
  std::string rollout;
  // What the release's version is like: good, crash, hang, errors, slow, later (it works, and then ends),
  // leak (what it holds grows) or mixed (it harms those beside it).
  std::string version = "good";
  // The owner of the duty is struck as soon as it has written its journal so many times; 0: not so.
  int strike_write = 0;
  std::string strike = "kill-agent";
  int most_out = 0;  // of the sidecars, by fleet and host, in place of the bed's budgets; 0: those
  std::vector<BedFault> faults;
  friend bool operator==(const BedPlan&, const BedPlan&) = default;
};

struct FaultKind {
  const char* name;
  double weight;
  int least_ms, most_ms;  // for how long
  enum class Of { kAgent, kSidecar, kMember, kService, kZone, kServer } of;
  const char* what;
};
const std::vector<FaultKind>& FaultKinds();

// Those of whole zones; only for plans with three or more.
const std::vector<FaultKind>& SiteFaultKinds();

BedPlan DrawPlan(std::uint64_t seed, int faults);
// Three zones with servers and one without, twelve sidecars: a site is struck, and now and then another, or
// the owner meanwhile. Of every four plans one is short: two sites are lost, and what is left can't carry
// all.
BedPlan DrawSitesPlan(std::uint64_t seed);
// Sixteen sidecars on five hosts and 24 servers: a release, a restart or a drain, with faults meanwhile.
const std::vector<FaultKind>& RolloutFaultKinds();
BedPlan DrawRolloutPlan(std::uint64_t seed);
// The same without faults, of a version; its owner struck at a write of its journal, where that is above
// zero.
BedPlan QuietRollout(const std::string& rollout, const std::string& version, int strike_write,
                     const std::string& strike);
std::string Print(const BedPlan& plan);  // JSON
// The plan, or one line of what is wrong with the text.
std::variant<BedPlan, std::string> ReadPlan(std::string_view text);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_PLAN_H_

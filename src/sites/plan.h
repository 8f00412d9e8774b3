// The plan for the loss of zones as agents and sidecars hold it, and the directive that the owner of the
// fleet's plan publishes: which zones are lost, and how much of its share one that returns has. Forms, read
// strictly.
//
// This room (src/sites) decides what a sidecar makes of whole zones: from its own calls, the list and the
// owner's word it says which zone is lost or returns, and gives the module each zone's part. It may not know
// sockets, files, clocks or the module: times and outcomes come in, parts and probes go out.
#ifndef UMBERDYKE_SITES_PLAN_H_
#define UMBERDYKE_SITES_PLAN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberdyke::sites {

using std::chrono::milliseconds;

constexpr int kPlanFormat = 1;
constexpr std::size_t kMostZones = 64;
constexpr std::size_t kMostSteps = 20;
constexpr std::size_t kLongestPlan = std::size_t{4} << 20;

// One step of a return: this part of the zone's share, held for so long while all is well.
struct Step {
  double part = 1;  // above 0, at most 1
  milliseconds hold{1000};
  friend bool operator==(const Step&, const Step&) = default;
};

// With these zones lost, where the requests of each go: shares[tier][from][to], which sum to 1 over `to`, or
// to 0 where nothing is served.
struct Loss {
  std::vector<int> lost;  // ascending
  std::vector<std::vector<std::vector<double>>> shares;
  friend bool operator==(const Loss&, const Loss&) = default;
};

struct Plan {
  std::string application;
  std::vector<std::string> zones;  // by number, as everywhere
  double probes_per_s = 20;        // into a lost zone, from all sidecars of a tier together
  milliseconds silence{700};       // without any answer before a zone counts as lost
  bool follow = false;  // survivors get the plan's shares; else each sidecar spreads over them by their load
  std::vector<std::string> order;  // what is refused, first to last; for people
  std::vector<Loss> losses;
  std::vector<Step> back;
  friend bool operator==(const Plan&, const Plan&) = default;

  // Of exactly these zones; nullptr where the plan has none.
  const Loss* Find(const std::vector<int>& lost) const;
};

// JSON.
std::string Print(const Plan& plan);
// The plan, or one plain line of why it is refused: no JSON, of another application or a newer form, zones
// other than `zones`, shares that are no numbers, negative, do not sum to 1 or go to what is lost.
std::variant<Plan, std::string> ReadPlan(std::string_view text, const std::string& application,
                                         const std::vector<std::string>& zones);

// The owner's word. Its age and term are judged where it is taken (owner/fence.h).
struct Directive {
  std::string application;
  std::vector<int> lost;            // ascending
  std::map<int, double> returning;  // the most of its share that a zone has, by zone; not one that is lost
  friend bool operator==(const Directive&, const Directive&) = default;
};
std::string Print(const Directive& directive, const std::vector<std::string>& zones);
std::variant<Directive, std::string> ReadDirective(std::string_view text, const std::string& application,
                                                   const std::vector<std::string>& zones);

}  // namespace umberdyke::sites

#endif  // UMBERDYKE_SITES_PLAN_H_

// What the owner of the fleet's plan says of zones, from what all sidecars say of them. Pure: a step of the
// duty is one call, and what has to last from one to the next, and from one owner to the next, is kept as
// text.
//
// A zone is lost where more than half of the sidecars that can tell say so: those in it and those that are
// cut off themselves have no say. It returns as slowly as the plan has it, so that the sum over all sidecars
// rises in steps, whoever of them finds it well first.
#ifndef UMBERDYKE_SITES_DECIDE_H_
#define UMBERDYKE_SITES_DECIDE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sites/plan.h"
#include "sites/verdict.h"

namespace umberdyke::sites {

// What one sidecar said.
struct Report {
  int zone = 0;  // where it stands
  bool cut_off = false;
  std::vector<std::optional<State>> states;  // by zone; without a value it has no opinion of its own
};

// What stands from step to step.
struct Standing {
  struct Zone {
    bool lost = false;
    std::size_t step = 0;  // of the return
    milliseconds held{0};  // in this step
    friend bool operator==(const Zone&, const Zone&) = default;
  };
  std::map<int, Zone> zones;  // those that are not sound
  friend bool operator==(const Standing&, const Standing&) = default;
};
std::string Print(const Standing& standing);
// An empty or unreadable text: nothing stands, as at the very first.
Standing ReadStanding(std::string_view text);

// `since`: the time of a step.
Standing Decide(const std::vector<Report>& reports, const Plan& plan, const Standing& before,
                milliseconds since);
Directive DirectiveOf(const Standing& standing, const Plan& plan);

}  // namespace umberdyke::sites

#endif  // UMBERDYKE_SITES_DECIDE_H_

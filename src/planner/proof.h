// What an answer of the planner has to keep, worked out anew from its figures alone.
#ifndef UMBERDYKE_PLANNER_PROOF_H_
#define UMBERDYKE_PLANNER_PROOF_H_

#include <string>
#include <vector>

#include "planner/planner.h"

namespace umberdyke::planner {

// One line for each rule that it breaks: figures that are no amounts, sums that differ, more than a zone can
// do, load in what is lost or over what is cut, and a part refused while one of a lower rank is served in its
// place.
std::vector<std::string> Faults(const Network& network, const Answer& answer);

// Why the plan for a loss is no safe one, as operators would have it: requests inside their share are
// refused, or the zones do not carry the usual day. Empty: it is one.
std::string Short(const Network& network, const Answer& answer);

}  // namespace umberdyke::planner

#endif  // UMBERDYKE_PLANNER_PROOF_H_

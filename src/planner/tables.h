// The planner's answers for people, and as the document that agents and sidecars follow.
#ifndef UMBERDYKE_PLANNER_TABLES_H_
#define UMBERDYKE_PLANNER_TABLES_H_

#include <string>
#include <vector>

#include "config/application.h"
#include "planner/planner.h"
#include "sites/plan.h"

namespace umberdyke::planner {

// One loss: each zone's load before and during it at every tier with bars, where its requests go, and what is
// refused, in the order in which it goes.
std::string PrintTable(const Network& network, const Answer& before, const Answer& during);
// The same as JSON.
std::string PrintJson(const Network& network, const Answer& before, const std::vector<Answer>& answers);
// How a zone comes back: the parts of its share, and for how long each holds.
std::string PrintReturn(const sites::Plan& plan);

// The document: of each zone's and each pair's loss where requests go, the order of refusal, and the return,
// which follows from how cold servers are.
sites::Plan PlanOf(const config::Application& application, const Network& network,
                   const std::vector<Answer>& answers);

// The plan that goes into the files of sidecars and agents: of every zone, and of every two where there are
// few. Throws std::runtime_error where the solver fails, or an answer breaks a rule of its own.
sites::Plan MakePlan(const config::Application& application);

}  // namespace umberdyke::planner

#endif  // UMBERDYKE_PLANNER_TABLES_H_

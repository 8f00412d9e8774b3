// The bed: sidecars, agents, the stand-in coordination service and stand-in servers as processes of their own
// on loopback, open-loop clients, and faults between them from a plan; then the judge (evidence.h).
//
// Agents reach the service and every console through relays of their own, and sidecars the service, so that
// each direction of each of these pairs can be cut, held and let go later, delayed or throttled by itself. It
// notices by its own clock when it falls behind and voids the run. Whatever it started ends with it.
#ifndef UMBERDYKE_LAB_FLEET_BED_H_
#define UMBERDYKE_LAB_FLEET_BED_H_

#include <string>
#include <vector>

#include "lab/fleet/evidence.h"
#include "lab/fleet/plan.h"

namespace umberdyke::lab {

struct Programs {
  std::string sidecar, agent, lab;  // build/umberdyke, build/umberdyke_agent, this one
  std::string wrong_agent;          // a wrong stand-in's kind, in place of the agent; empty: the agent
  bool unfenced = false;            // wrong stand-ins in place of the sidecars: no fence
  bool keep = false;                // leave the folder of logs
  bool progress = false;            // a line for each fault on standard error
};

struct BedReport {
  Verdict verdict;
  Asked asked;
  std::string error;      // the bed itself failed
  std::string folder;     // of the logs, where they are kept
  bool was_void = false;  // it fell behind
  double latest_ms = 0;   // by how much at the worst
  double took_s = 0;
  std::map<std::string, int> faults;
  bool clean() const { return error.empty() && !was_void && verdict.clean(); }
};

BedReport RunBed(const BedPlan& plan, const Programs& programs);
std::string Print(const BedPlan& plan, const BedReport& report);
std::string PrintJson(const BedPlan& plan, const BedReport& report);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_BED_H_

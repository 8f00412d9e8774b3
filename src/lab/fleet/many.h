// Many plans one beside another, each in a process of its own, and the smallest part of a failing one.
#ifndef UMBERDYKE_LAB_FLEET_MANY_H_
#define UMBERDYKE_LAB_FLEET_MANY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet/bed.h"

namespace umberdyke::lab {

struct Many {
  std::uint64_t first_seed = 1;
  int count = 12, jobs = 4, faults = 6;
  bool sites = false;                // plans of whole zones
  bool rollouts = false;             // of releases, restarts and drains
  std::vector<BedPlan> plans;        // just these, in place of seeds
  std::string keep;                  // a folder for failing plans and their reports; empty: none
  std::vector<std::string> require;  // dangers that have to arise in the set
};
struct ManyReport {
  int clean = 0, failed = 0, voided = 0;
  std::map<std::string, std::uint64_t> sums;  // asked, lost, orders and so on
  std::map<std::string, std::uint64_t> dangers, faults;
  std::vector<std::string> failures;  // a line each
  std::vector<std::string> missing;   // dangers that never arose
  bool good() const { return failed == 0 && clean > 0 && missing.empty(); }
};
// The plan of a seed.
BedPlan PlanOf(const Many& many, std::uint64_t seed);
// A run that fell behind is played again, twice at most.
ManyReport RunMany(const Many& many, const Programs& programs);
std::string Print(const Many& many, const ManyReport& report);

// The fewest faults, at the shortest, that `fails` still says yes to; asks at most `most` times.
BedPlan Shrink(BedPlan plan, const std::function<bool(const BedPlan&)>& fails, int most);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_MANY_H_

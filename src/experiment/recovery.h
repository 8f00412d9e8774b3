// How soon service is back after a trouble: during it, beside what can be had meanwhile, and after it, beside
// what can be had then. What can be had is what one variant of the same experiment has, a bound, over its
// seeds. Works on the seconds that cells keep; shares of worth.
#ifndef UMBERDYKE_EXPERIMENT_RECOVERY_H_
#define UMBERDYKE_EXPERIMENT_RECOVERY_H_

#include <string>
#include <vector>

#include "experiment/results.h"
#include "experiment/statistics.h"

namespace umberdyke::experiment {

struct RecoveryOf {
  std::string bound = "bound";
  double from_s = 0, to_s = 0;  // the trouble, from and to
  double within = 0.02;         // two points
};
struct Recovery {
  std::string variant;
  Point at;
  double can = 0, whole = 0;  // what the bound has in the second half of the trouble, and at the end
  // Seconds from the trouble's begin until from then on, to its end, the variant has what can be had; and
  // from its end until the ten seconds that follow have it. Where it never comes the whole time counts.
  Interval back_s, full_s;
  std::size_t never_back = 0, never_full = 0;  // seeds
};
// Throws ScenarioError where the bound is no variant of the cells or the trouble leaves no room before the
// end.
std::vector<Recovery> Recoveries(const std::vector<Cell>& cells, const RecoveryOf& of);
std::string PrintRecoveries(const std::vector<Recovery>& recoveries);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_RECOVERY_H_

// Whether settings make sense. No decision stands here.
#ifndef UMBERDYKE_DECIDE_SETTINGS_H_
#define UMBERDYKE_DECIDE_SETTINGS_H_

#include "umberdyke/balancer.h"

namespace umberdyke {

// Throws std::invalid_argument, naming the setting, unless it is ok.
void Require(bool ok, const char* setting);

// Throws std::invalid_argument for the first setting that makes no sense.
void Validate(const Settings& settings);

}  // namespace umberdyke

#endif  // UMBERDYKE_DECIDE_SETTINGS_H_

// Validation of the settings. The decisions are in choice.cpp.
#ifndef UMBERDYKE_DECIDE_SETTINGS_H_
#define UMBERDYKE_DECIDE_SETTINGS_H_

#include "umberdyke/balancer.h"

namespace umberdyke {

// Throws std::invalid_argument with `setting` in its message unless `ok`.
void Require(bool ok, const char* setting);

// Throws std::invalid_argument that names the first setting with an invalid value.
void Validate(const Settings& settings);

}  // namespace umberdyke

#endif  // UMBERDYKE_DECIDE_SETTINGS_H_

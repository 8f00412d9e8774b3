// What releases and drains are about, from the file that agents start from.
#ifndef UMBERDYKE_FLEET_LAYOUT_H_
#define UMBERDYKE_FLEET_LAYOUT_H_

#include "config/agent_file.h"
#include "rollout/release.h"

namespace umberdyke::fleet {

// `settings` has a rollout. Sidecars without a spare console are left out: nothing can replace their process.
rollout::Layout LayoutOf(const config::AgentFile& settings);

}  // namespace umberdyke::fleet

#endif  // UMBERDYKE_FLEET_LAYOUT_H_

// What the subcommands of 'umberdykectl release', 'drain' and 'undrain' share.
#ifndef UMBERDYKE_CTL_RELEASE_H_
#define UMBERDYKE_CTL_RELEASE_H_

#include <optional>
#include <string>

#include "ctl/fleet.h"
#include "fleet/releases.h"

namespace umberdyke::ctl {

struct ReleaseOptions {
  FleetOptions fleet;
  rollout::Wish wish;
  int every_ms = 1000;
  int most_s = 0;  // to watch for so long; 0: until it is over
};

// The application with its [rollout], as agents have it; absent, and said, where there is none.
std::optional<rollout::Layout> LayoutIn(const std::string& file, const Streams& streams, int* status);

// One line a job, permit and trouble.
std::string Told(const rollout::Layout& layout, const fleet::Releases& releases);
std::string ToldJson(const fleet::Releases& releases);
// 0 all is well, 1 something is halted or on its way back.
int StatusOf(const rollout::State& state);

int ShowPlan(const ReleaseOptions& options, const Streams& streams);
int ShowStatus(const ReleaseOptions& options, const Streams& streams);
int ShowHistory(const ReleaseOptions& options, const Streams& streams);
int Watch(const ReleaseOptions& options, const Streams& streams);

}  // namespace umberdyke::ctl

#endif  // UMBERDYKE_CTL_RELEASE_H_

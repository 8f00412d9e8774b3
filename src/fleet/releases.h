// Releases and drains as the agents keep them, read and asked for by the operators' tool, which waits.
#ifndef UMBERDYKE_FLEET_RELEASES_H_
#define UMBERDYKE_FLEET_RELEASES_H_

#include <map>
#include <string>
#include <variant>

#include "fleet/view.h"
#include "rollout/release.h"

namespace umberdyke::fleet {

struct Releases {
  rollout::State state;
  std::map<std::string, rollout::Report> reports;  // by unit, of those with a permit
  std::string owner;                               // the host whose agent decides; empty: nobody
  std::int64_t age_ms = -1;                        // since the state changed, by the service's clock
  std::size_t wishes = 0;                          // not taken yet
};
std::variant<Releases, Unreadable> LookAtReleases(const Service& service);

// Leaves the wish and waits until the duty's owner has answered it.
struct Answered {
  std::string id;       // of the wish, and of the job that it began
  std::string refused;  // why; empty: it was done
};
std::variant<Answered, Unreadable> Ask(const Service& service, rollout::Wish wish);

}  // namespace umberdyke::fleet

#endif  // UMBERDYKE_FLEET_RELEASES_H_

// The clock of owners' beliefs: it goes on while the machine is suspended, and no operator sets it.
#ifndef UMBERDYKE_AGENT_BOOT_CLOCK_H_
#define UMBERDYKE_AGENT_BOOT_CLOCK_H_

#include <time.h>

#include "owner/claim.h"

namespace umberdyke::agent {

inline owner::Moment BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::duration_cast<owner::Moment>(std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_BOOT_CLOCK_H_

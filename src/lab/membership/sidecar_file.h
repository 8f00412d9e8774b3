// The configuration of the sidecar that a membership run starts: a front sidecar with a safe and a keyed
// class.
#ifndef UMBERDYKE_LAB_MEMBERSHIP_SIDECAR_FILE_H_
#define UMBERDYKE_LAB_MEMBERSHIP_SIDECAR_FILE_H_

#include <string>
#include <vector>

#include "loop/loop.h"

namespace umberdyke::lab {

// `path` is the parent of the servers' nodes at a coordination service on these addresses.
std::string SidecarFile(const std::string& listen, const std::string& path,
                        const std::vector<std::string>& addresses, net::Span session);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_MEMBERSHIP_SIDECAR_FILE_H_

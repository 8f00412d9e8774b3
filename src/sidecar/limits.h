// The connection limits of a sidecar and the delays of its shutdown, computed from its settings alone.
#ifndef UMBERDYKE_SIDECAR_LIMITS_H_
#define UMBERDYKE_SIDECAR_LIMITS_H_

#include "config/config.h"
#include "loop/loop.h"
#include "server/real_server.h"

namespace umberdyke::net {

// These five are measured from the start of the shutdown.
// When the operator kills the process.
Span KillDelay(const Settings& settings);
// When every accepted request has its response.
Span LastResponseDelay(const Settings& settings);
// From when on a request that arrives must have its whole response before the process is killed.
Span LateRequestDelay();
// Until when requests that are already on a connection are accepted; they are answered at once.
Span LastRequestDelay(const Settings& settings);
// How long requests are still forwarded to real servers.
Span GracePeriod(const Settings& settings);
// Concurrent connections at the console.
int MaxConsoleConnections(const Config& config);
// Connections of clients; the same number is allowed to real servers. If two processes of one sidecar share
// its limits (`shared`), each gets half of the descriptors.
int MaxEdgeConnections(const Config& config, bool shared = false);
RealServers::Limits RealServerLimits(const Config& config);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_LIMITS_H_

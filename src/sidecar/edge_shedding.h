// Selects the client connection that costs its client least when the process runs short of descriptors or
// memory. Closes nothing itself.
#ifndef UMBERDYKE_SIDECAR_EDGE_SHEDDING_H_
#define UMBERDYKE_SIDECAR_EDGE_SHEDDING_H_

#include <memory>
#include <unordered_map>

#include "edge/edge_connection.h"

namespace umberdyke::net {

using EdgeConnections = std::unordered_map<EdgeConnection*, std::unique_ptr<EdgeConnection>>;

// The connection without an open request that has been idle longest, or null. Lingering connections go first,
// then those that sent no request, which protects regular clients from those that open hundreds of
// connections and send nothing. One with unread input is never selected: it may be a request.
EdgeConnection* OldestIdleEdge(const EdgeConnections& edges);

// The connection whose unfinished request takes most memory, or null. Of equal ones, that which has been
// silent longest.
EdgeConnection* EdgeWithLargestUnfinishedRequest(const EdgeConnections& edges);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_EDGE_SHEDDING_H_

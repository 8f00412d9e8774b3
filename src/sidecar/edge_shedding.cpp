#include "sidecar/edge_shedding.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace umberdyke::net {

EdgeConnection* OldestIdleEdge(const EdgeConnections& edges) {
  std::vector<EdgeConnection*> idle;
  for (const auto& [edge, owned] : edges) {
    if (edge->idle_after_response() || edge->first_request_overdue() || edge->lingering())
      idle.push_back(edge);
  }
  const auto rank = [](const EdgeConnection* e) {
    return std::tuple(!e->lingering(), e->has_started_request(), e->last_activity());
  };
  std::sort(idle.begin(), idle.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  const auto oldest =
      std::find_if(idle.begin(), idle.end(), [](const auto* e) { return e->NoUnreadInput(); });
  return oldest == idle.end() ? nullptr : *oldest;
}

EdgeConnection* EdgeWithLargestUnfinishedRequest(const EdgeConnections& edges) {
  const auto is_less = [](const EdgeConnection* a, const EdgeConnection* b) {
    if (a->held_bytes() != b->held_bytes()) return a->held_bytes() < b->held_bytes();
    return a->last_activity() > b->last_activity();
  };
  EdgeConnection* largest = nullptr;
  for (const auto& [edge, owned] : edges) {
    if (!edge->has_unfinished_request()) continue;
    if (largest == nullptr || is_less(largest, edge)) largest = edge;
  }
  return largest;
}

}  // namespace umberdyke::net

// A flow: one request from its taking in to its one final answer. The table owns all flows that are open.
#ifndef UMBERDYKE_FLOW_FLOW_H_
#define UMBERDYKE_FLOW_FLOW_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "edge/edge_connection.h"
#include "loop/loop.h"
#include "platform/platform.h"

namespace umberdyke::net {

using FlowId = std::uint64_t;

struct Flow {
  enum class State {
    kDeciding,   // the module has it
    kInFlight,   // an attempt is in flight
    kResponded,  // the one final answer is written, or nobody waits for it any more
  };

  FlowId id = 0;
  FlowRequest request;
  EdgeConnection* edge = nullptr;
  State state = State::kDeciding;
  Time received{};
  Time deadline{};  // when the client gives up
  int attempts = 0;
  int attempts_in_flight = 0;     // attempts in flight
  bool may_have_run = false;      // an attempt ended in a way that does not prove the contrary
  bool receiving_body = false;    // its long body is still coming
  bool body_partly_sent = false;  // and some of it has gone on to a server: it can't be sent again
  bool body_sent = false;
  Span attempt_timeout{};           // of the attempt that is out, from its last byte on
  bool streaming_response = false;  // its long answer has message_started to reach the client
  int unfit_status = 0;             // the status with which a real server found the request itself at fault
  std::unique_ptr<Timer> deadline_timer;
};

class FlowTable {
 public:
  Flow& Add(FlowRequest request) {
    auto flow = std::make_unique<Flow>();
    flow->id = ++last_id_;
    flow->request = std::move(request);
    request_ids_.insert(flow->request.id);
    return *(flows_[flow->id] = std::move(flow));
  }
  bool Has(const std::string& request_id) const { return request_ids_.contains(request_id); }
  Flow* Find(FlowId id) {
    const auto it = flows_.find(id);
    return it == flows_.end() ? nullptr : it->second.get();
  }
  std::unique_ptr<Flow> Remove(FlowId id) {
    auto node = flows_.extract(id);
    if (node.empty()) return nullptr;
    request_ids_.erase(node.mapped()->request.id);
    return std::move(node.mapped());
  }
  template <typename Visit>
  void ForEach(Visit visit) {
    for (auto& [id, flow] : flows_) visit(*flow);
  }
  size_t size() const { return flows_.size(); }
  // Those whose request has come whole.
  size_t fully_received() const {
    return static_cast<size_t>(
        std::count_if(flows_.begin(), flows_.end(), [](const auto& f) { return !f.second->receiving_body; }));
  }

 private:
  FlowId last_id_ = 0;
  std::unordered_set<std::string> request_ids_;  // the clients' own, of the open flows
  std::unordered_map<FlowId, std::unique_ptr<Flow>> flows_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_FLOW_H_

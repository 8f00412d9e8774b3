// A flow is one client request, from admission to its single final response. FlowTable owns all open flows.
#ifndef UMBERDYKE_FLOW_FLOW_H_
#define UMBERDYKE_FLOW_FLOW_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

#include "edge/edge_connection.h"
#include "flow/response_deadline.h"
#include "loop/loop.h"
#include "platform/platform.h"

namespace umberdyke::net {

using FlowId = std::uint64_t;

struct Flow {
  enum class State {
    kDeciding,   // the decision module has it and no attempt is in flight
    kInFlight,   // an attempt is in flight
    kResponded,  // the final response was written, or has begun if it is streamed
  };

  FlowId id = 0;
  FlowRequest request;
  EdgeConnection* edge = nullptr;
  State state = State::kDeciding;
  Time admitted{};   // when the whole request had arrived, or the head of one with a streaming body
  Time received{};   // when the whole request had arrived
  Time deadline{};   // when the client gives up
  int attempts = 0;  // started so far
  int attempts_in_flight = 0;
  bool may_have_run = false;           // an ended attempt may have executed the request
  bool receiving_body = false;         // the streaming body has not fully arrived
  bool body_partly_sent = false;       // part of the body was forwarded: the request can't be resent
  bool body_sent = false;              // all of the body was forwarded
  Span attempt_timeout{};              // of the current attempt, from the request's last byte on
  std::optional<int> passed_on;        // the attempt whose streaming response has begun to reach the client
  ResponseDeadline response_deadline;  // of the response that is passed on
  bool needs_whole_response = false;   // the process may be killed before one that is passed on is complete
  bool response_overdue = false;       // the response was given up on, as its time was over
  int unfit_status = 0;                // status of a real server that found the request invalid; 0: none
  std::unique_ptr<Timer> deadline_timer;

  void Close() {
    if (deadline_timer) deadline_timer->Stop();
  }
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
  // The number of flows whose request has fully arrived.
  size_t fully_received() const {
    return static_cast<size_t>(
        std::count_if(flows_.begin(), flows_.end(), [](const auto& f) { return !f.second->receiving_body; }));
  }

 private:
  FlowId last_id_ = 0;
  std::unordered_set<std::string> request_ids_;  // the client-chosen ids of the open flows
  std::unordered_map<FlowId, std::unique_ptr<Flow>> flows_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_FLOW_H_

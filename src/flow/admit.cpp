#include "flow/admit.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kClientTransitTime = 2ms;  // assumed: the client's timeout started this long ago
constexpr Span kDeadlineMargin = 4ms;     // time before the deadline at which a response is forced

}  // namespace

Flow* FlowAdmission::operator()(EdgeConnection& edge, FlowRequest request) const {
  // Real servers identify requests by id: if forwarded, this one could get the other request's response.
  const bool is_open = flows_.Has(request.id);
  if (is_open || repeat_guard_.Blocks(HashRequestId(request.id))) {
    counters_.Add(is_open ? "requests_of_open_id" : "requests_of_recent_id");
    on_invalid_request_(request.request_class);
    const std::string reason =
        is_open ? "a request with this id is open" : "a request with this id may have run already";
    edge.SendResponse(Platform::BadRequestResponse({409, reason}), false);
    return nullptr;
  }
  Flow& flow = flows_.Add(std::move(request));
  flow.edge = &edge;
  edge.flow = flow.id;
  flow.deadline_timer = std::make_unique<Timer>(loop_, [this, id = flow.id] { on_deadline_(id); });
  flow.receiving_body = flow.request.streaming_body;
  flow.admitted = Clock::now();
  flow.deadline = flow.admitted + flow.request.time_left;
  if (!flow.receiving_body) OnBodyReceived(flow);
  return &flow;
}

void FlowAdmission::OnBodyReceived(Flow& flow) const {
  flow.receiving_body = false;
  flow.received = flow.request.streaming_body ? flow.edge->earliest_body_end() : Clock::now();
  flow.deadline = flow.received + flow.request.time_left - kClientTransitTime;
  StartDeadlineTimer(flow);
}

bool FlowAdmission::OnBodyHeldBack(Flow& flow) const {
  flow.deadline = flow.edge->earliest_body_end() + flow.request.time_left - kClientTransitTime;
  StartDeadlineTimer(flow);
  return flow.deadline - kDeadlineMargin > Clock::now();
}

void FlowAdmission::StartDeadlineTimer(Flow& flow) const {
  flow.deadline = std::min(flow.deadline, final_deadline_);
  flow.deadline_timer->Start(std::max<Span>(flow.deadline - kDeadlineMargin - Clock::now(), 0ms));
}

void FlowAdmission::SetFinalDeadline(Time deadline) {
  final_deadline_ = deadline;
  flows_.ForEach([this](Flow& flow) {
    if (!flow.receiving_body && flow.state != Flow::State::kResponded) StartDeadlineTimer(flow);
  });
}

}  // namespace umberdyke::net

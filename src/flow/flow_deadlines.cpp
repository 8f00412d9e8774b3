#include "flow/flow_deadlines.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kClientTransitTime = 2ms;  // assumed: the client's timeout started this long ago
constexpr Span kDeadlineMargin = 4ms;     // time before the deadline at which a response is forced

}  // namespace

void FlowDeadlines::OnAdmitted(Flow& flow) const {
  flow.deadline_timer = std::make_unique<Timer>(loop_, [this, id = flow.id] { on_end_(id); });
  flow.deadline = flow.admitted + flow.request.time_left;
  if (!flow.receiving_body) OnRequestReceived(flow);
}

void FlowDeadlines::OnRequestReceived(Flow& flow) const {
  flow.receiving_body = false;
  flow.needs_whole_response = Clock::now() >= late_from_;
  flow.received = flow.request.streaming_body ? flow.edge->earliest_body_end() : Clock::now();
  flow.deadline = flow.received + flow.request.time_left - kClientTransitTime;
  StartTimer(flow);
}

bool FlowDeadlines::OnBodyHeldBack(Flow& flow) const {
  flow.deadline = flow.edge->earliest_body_end() + flow.request.time_left - kClientTransitTime;
  StartTimer(flow);
  return flow.deadline - kDeadlineMargin > Clock::now();
}

void FlowDeadlines::OnResponseBegun(Flow& flow, const Message& head) const {
  flow.response_deadline.Begin(flow.deadline, head.content_length);
  StartTimer(flow);
}

// The end is only put off, so the timer need not be restarted.
void FlowDeadlines::OnResponseBody(Flow& flow, size_t bytes) const {
  flow.response_deadline.OnBody(Clock::now(), bytes);
}

void FlowDeadlines::OnResponsePaused(Flow& flow) const {
  flow.response_deadline.Pause(Clock::now());
  StartTimer(flow);
}

void FlowDeadlines::OnResponseResumed(Flow& flow) const {
  flow.response_deadline.Resume(Clock::now());
  StartTimer(flow);
}

bool FlowDeadlines::IsOver(Flow& flow) const {
  if (flow.receiving_body) return !OnBodyHeldBack(flow);  // more of the body may have been read since
  if (!flow.passed_on || Clock::now() >= EndOf(flow)) return true;
  StartTimer(flow);
  return false;
}

// The one rule: until a response begins, the client's time; from then on, that of the response.
Time FlowDeadlines::EndOf(const Flow& flow) {
  return flow.passed_on ? flow.response_deadline.end() : flow.deadline - kDeadlineMargin;
}

void FlowDeadlines::StartTimer(Flow& flow) const {
  flow.deadline = std::min(flow.deadline, final_deadline_);
  const Time end = EndOf(flow);
  if (end == Time::max()) return flow.deadline_timer->Stop();
  flow.deadline_timer->Start(std::max<Span>(end - Clock::now(), 0ms));
}

void FlowDeadlines::SetFinalDeadline(Time deadline, Time late_from) {
  final_deadline_ = deadline;
  late_from_ = late_from;
  flows_.ForEach([this](Flow& flow) {
    if (!flow.receiving_body && flow.state != Flow::State::kResponded) StartTimer(flow);
  });
}

}  // namespace umberdyke::net

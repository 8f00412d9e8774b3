#include "flow/admit.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kTransit = 2ms;   // the client counts from its send, which was this long ago
constexpr Span kLastCall = 4ms;  // before the deadline an answer leaves, whatever the module does

}  // namespace

Flow* Admit::operator()(EdgeConnection& edge, FlowRequest request) const {
  // A real server tells requests apart by their ids: passed on, this one could get the other's answer.
  if (flows_.Has(request.id)) {
    counters_.Add("requests_of_open_id");
    refused_(request.request_class);
    edge.Answer(Platform::BadRequestAnswer({409, "a request with this id is open"}), false);
    return nullptr;
  }
  Flow& flow = flows_.Add(std::move(request));
  flow.edge = &edge;
  edge.flow = flow.id;
  flow.last_call = std::make_unique<Timer>(loop_, [this, id = flow.id] { last_call_(id); });
  flow.taking = flow.request.long_body;
  flow.deadline = Clock::now() + flow.request.time_left;
  if (!flow.taking) Taken(flow);
  return &flow;
}

void Admit::Taken(Flow& flow) const {
  flow.taking = false;
  flow.taken = Clock::now();
  flow.deadline = flow.taken + flow.request.time_left - kTransit;
  Arm(flow);
}

void Admit::Arm(Flow& flow) const {
  flow.deadline = std::min(flow.deadline, end_);
  flow.last_call->Start(std::max<Span>(flow.deadline - kLastCall - Clock::now(), 0ms));
}

void Admit::AnswerAllBy(Time end) {
  end_ = end;
  flows_.ForEach([this](Flow& flow) {
    if (!flow.taking && flow.state != Flow::State::kAnswered) Arm(flow);
  });
}

}  // namespace umberdyke::net

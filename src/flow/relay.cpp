#include "flow/relay.h"

namespace umberdyke::net {
namespace {

// Not if the request body is incomplete: its remainder would follow the response.
bool KeepAlive(const Flow& flow, bool draining) {
  return flow.request.message.keep_alive && !draining && !flow.receiving_body;
}

}  // namespace

FlowEnd ResponseWriter::SendServed(Flow& flow, const Message& response, bool draining) const {
  counters_.Add("flows_served");
  const bool keep = KeepAlive(flow, draining);
  SendFinalResponse(flow, platform_.SuccessResponse(response, keep), keep);
  return FlowEnd::kServed;
}

bool ResponseWriter::BeginStreaming(Flow& flow, const Message& head, bool draining) const {
  INVARIANT(flow.state != Flow::State::kResponded && !flow.receiving_body, counters_);
  counters_.Add("flows_served_long");
  flow.state = Flow::State::kResponded;
  const Framing framing = Platform::FramingOf(head, flow.request.message.accepts_chunked);
  const bool keep = KeepAlive(flow, draining) && framing.marks_end();
  return flow.edge->BeginResponse(platform_.SuccessHead(head, framing, keep), framing, keep);
}

FlowEnd ResponseWriter::FinishStreaming(Flow& flow) const {
  counters_.Add("flows_served");
  flow.edge->flow = 0;
  flow.edge->EndResponse();
  return FlowEnd::kServed;
}

FlowEnd ResponseWriter::AbortStreaming(Flow& flow) const {
  counters_.Add("flows_broken");
  flow.edge->flow = 0;
  flow.edge->AbortResponse();
  return FlowEnd::kFailed;
}

// A rejection invites the client to retry, which could execute a non-idempotent request twice.
bool ResponseWriter::MayReject(const Flow& flow) const {
  if (!flow.may_have_run && flow.attempts_in_flight == 0) return true;
  const RequestClass& c = settings_.classes[static_cast<size_t>(flow.request.request_class)];
  return c.repeat == Repeat::kSafe || (c.repeat == Repeat::kKeyed && c.group == Group::kAll);
}

FlowEnd ResponseWriter::SendRejection(Flow& flow, std::chrono::microseconds retry_after,
                                      bool draining) const {
  if (!INVARIANT(MayReject(flow), counters_)) return SendFailure(flow, draining);
  counters_.Add("flows_turned_down");
  const bool keep = KeepAlive(flow, draining);
  SendFinalResponse(flow, Platform::RejectionResponse(retry_after, keep), keep);
  return FlowEnd::kRejected;
}

FlowEnd ResponseWriter::SendFailure(Flow& flow, bool draining) const {
  counters_.Add("flows_failed");
  const bool keep = KeepAlive(flow, draining);
  const bool in_time = Clock::now() < flow.deadline - std::chrono::milliseconds(20);
  const bool unfit = flow.unfit_status != 0;
  SendFinalResponse(
      flow,
      unfit ? Platform::UnfitResponse(flow.unfit_status, keep) : Platform::FailureResponse(in_time, keep),
      keep);
  return FlowEnd::kFailed;
}

FlowEnd ResponseWriter::SendElsewhere(Flow& flow) const {
  return MayReject(flow) ? SendRejection(flow, {}, true) : SendFailure(flow, true);
}

void ResponseWriter::SendFinalResponse(Flow& flow, std::string response, bool keep_alive) const {
  if (!INVARIANT(flow.state != Flow::State::kResponded, counters_)) return;
  flow.state = Flow::State::kResponded;
  flow.deadline_timer->Stop();
  flow.edge->flow = 0;
  flow.edge->SendResponse(std::move(response), keep_alive);
}

}  // namespace umberdyke::net

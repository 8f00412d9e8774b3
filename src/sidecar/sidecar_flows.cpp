// The way of one request through the sidecar: its admission, attempts, response and end.
#include <utility>

#include "sidecar/sidecar.h"

namespace umberdyke::net {

void Sidecar::OnRequest(EdgeConnection& edge, Message message) {
  AdmitRequest(edge, std::move(message), false);
}

void Sidecar::OnStreamingRequest(EdgeConnection& edge, Message head) {
  counters_.Add("requests_long");
  AdmitRequest(edge, std::move(head), true);
}

void Sidecar::AdmitRequest(EdgeConnection& edge, Message message, bool long_body) {
  const bool ready = lifecycle_.ready() || replaced();
  std::optional<FlowRequest> request =
      request_intake_(edge, std::move(message), long_body, ready, ClosesAfterResponse(edge));
  if (!request) return;
  if (handover_ && handover_->has_other_process()) handover_->ReceiveAnnouncements();
  Flow* flow = flow_admission_(edge, std::move(*request));
  if (flow == nullptr) return;
  if (long_body && edge.body_received()) flow_deadlines_.OnRequestReceived(*flow);
  decisions_.OnNewFlow(*flow);
}

void Sidecar::OnBodyData(EdgeConnection& edge) {
  Flow* flow = flows_.Find(edge.flow);
  if (flow == nullptr) return;
  if (edge.body_received() && flow->receiving_body) flow_deadlines_.OnRequestReceived(*flow);
  attempt_sender_.ForwardBody(*flow);
}

void Sidecar::OnBodyHeldBack(EdgeConnection& edge) {
  Flow* flow = flows_.Find(edge.flow);
  if (flow != nullptr && flow->receiving_body && flow->state != Flow::State::kResponded)
    flow_deadlines_.OnBodyHeldBack(*flow);
}

void Sidecar::OnWritable(EdgeConnection& edge) {
  Flow* flow = flows_.Find(edge.flow);
  if (flow == nullptr || !flow->passed_on) return;
  flow_deadlines_.OnResponseResumed(*flow);
  attempt_sender_.ResumeResponse(*flow);
}

// A streaming body may turn out malformed or too slow after its flow began: the flow ends with the error
// response.
void Sidecar::OnInvalidRequest(EdgeConnection& edge, ParseResult why) {
  AbandonFlow(edge, FlowEnd::kFailed, FlowEndCause::kMalformedBody);
  request_intake_.RespondToInvalidRequest(edge, why);
}

void Sidecar::OnRequestTimeout(EdgeConnection& edge) {
  AbandonFlow(edge, FlowEnd::kFailed, FlowEndCause::kSlowBody);
  request_intake_.RespondToSlowRequest(edge);
}

void Sidecar::AbandonFlow(EdgeConnection& edge, FlowEnd ending, FlowEndCause cause) {
  const FlowId id = std::exchange(edge.flow, 0);
  if (id == 0) return;
  const Flow* flow = flows_.Find(id);
  const std::optional<int> passed_on = flow == nullptr ? std::nullopt : flow->passed_on;
  flow_recorder_.CloseFlow(id, ending, cause);
  attempt_sender_.CancelUnsent(id);
  if (passed_on) attempt_sender_.Cancel(id, *passed_on);  // it may be paused, and nobody would resume it
  decisions_.OnClientGone(id);
}

// Called right before any part of an attempt is sent.
const Flow* Sidecar::FindFlowWithClient(FlowId id) {
  const Flow* flow = flows_.Find(id);
  if (flow == nullptr || flow->edge->ClientGone()) return nullptr;
  if (!flow->edge->MayHideClose()) return flow;
  counters_.Add("sends_for_hidden_client");
  return nullptr;
}

void Sidecar::SendAttempt(FlowId id, ServerId server, std::optional<Span> time_out,
                          std::optional<Span> send_within) {
  Flow* flow = flows_.Find(id);
  if (flow != nullptr && flow->edge->ClientGone()) {
    counters_.Add("sends_for_nobody");
    OnClosed(*flow->edge, EdgeCloseCause::kClientClosed);
    flow = nullptr;
  }
  const int attempt = flow == nullptr ? 0 : flow->attempts++;
  if (zone_watch_ && zone_watch_->IsBlocked(server)) counters_.Add("sent_to_closed_zone");
  if (flow != nullptr && flow->receiving_body) flow->deadline = Clock::now() + flow->request.time_left;
  const auto routed = flow == nullptr ? std::nullopt : attempt_router_(*flow, server, time_out, send_within);
  if (routed && attempt == 0) AnnounceRequest(*flow);
  if (routed) return attempt_sender_(*flow, attempt, *routed);
  flow_recorder_.ReportAttempt({id, attempt, server, Outcome::kNotSent, {}, {}, {}}, flow == nullptr);
}

void Sidecar::OnAttemptEnd(AttemptResult result) {
  Flow* flow = flows_.Find(result.flow);
  ReportConnectionResult(result.server, result.outcome);
  if (zone_watch_) zone_watch_->OnAttemptEnd(result.server, result.outcome, result.elapsed);
  flow_recorder_.RecordAttemptEnd(flow, result);
  // The client has begun to get another attempt's response, and nothing of this one.
  const bool superseded = flow != nullptr && flow->passed_on && flow->passed_on != result.attempt;
  const bool settles = flow != nullptr && !superseded && RespondWith(*flow, result);
  flow_recorder_.ReportAttempt(result, settles || flow == nullptr);
}

// Ends the flow if the attempt's response was passed on or can be sent; returns whether it did.
bool Sidecar::RespondWith(Flow& flow, const AttemptResult& result) {
  const bool ok = result.outcome == Outcome::kOk;
  if (flow.passed_on) {
    const FlowEnd end = ok ? response_writer_.FinishStreaming(flow) : response_writer_.AbortStreaming(flow);
    const FlowEndCause broke =
        flow.response_overdue ? FlowEndCause::kResponseOverdue : FlowEndCause::kResponseBroke;
    flow_recorder_.CloseFlow(result.flow, end, ok ? FlowEndCause::kResponse : broke);
    return true;
  }
  if (result.outcome == Outcome::kUnfit) flow.unfit_status = result.response.status;
  if (!ok) return false;
  const FlowEnd end = response_writer_.SendServed(flow, result.response, ClosesAfterResponse(flow));
  flow_recorder_.CloseFlow(result.flow, end, FlowEndCause::kResponse);
  return true;
}

// The first attempt whose response begins is passed on; the others are of no use any more.
void Sidecar::OnResponseHead(FlowId id, int attempt, const Message& head) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr || flow->passed_on) return attempt_sender_.Cancel(id, attempt);
  if (flow->needs_whole_response) return RejectLongResponse(*flow, attempt);
  flow->passed_on = attempt;
  decisions_.OnResponseStart(id, attempt);
  flow_deadlines_.OnResponseBegun(*flow, head);
  if (!response_writer_.BeginStreaming(*flow, head, ClosesAfterResponse(*flow))) PauseResponse(*flow);
}

// The process may be killed before the response has been passed on, so nothing of it is.
void Sidecar::RejectLongResponse(Flow& flow, int attempt) {
  const FlowId id = flow.id;
  counters_.Add("flows_too_long_at_end");
  flow_recorder_.CloseFlow(id, response_writer_.SendElsewhere(flow), FlowEndCause::kShutdown);
  attempt_sender_.Cancel(id, attempt);
  attempt_sender_.CancelUnsent(id);
  decisions_.OnClientGone(id);
}

void Sidecar::OnResponseData(FlowId id, int attempt, std::string piece) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr || flow->passed_on != attempt) return attempt_sender_.Cancel(id, attempt);
  flow_deadlines_.OnResponseBody(*flow, piece.size());
  if (!response_writer_.StreamData(*flow, std::move(piece))) PauseResponse(*flow);
}

// Its client lags: OnWritable follows.
void Sidecar::PauseResponse(Flow& flow) {
  flow_deadlines_.OnResponsePaused(flow);
  attempt_sender_.PauseResponse(flow);
}

void Sidecar::RejectFlow(FlowId id, std::chrono::microseconds retry_after) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return;
  flow_recorder_.CloseFlow(id, response_writer_.SendRejection(*flow, retry_after, ClosesAfterResponse(*flow)),
                           FlowEndCause::kModuleRejected);
}

void Sidecar::FailFlow(FlowId id) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return;
  flow_recorder_.CloseFlow(id, response_writer_.SendFailure(*flow, ClosesAfterResponse(*flow)),
                           FlowEndCause::kModuleFailed);
}

// A member source may keep servers that its list no longer has for as long as they can be reached.
void Sidecar::ReportConnectionResult(ServerId server, Outcome outcome) {
  if (!config_.membership || (outcome != Outcome::kConnectFailed && outcome != Outcome::kOk)) return;
  if (const ServerRecord* record = server_list_.Find(server); record != nullptr) {
    source_->OnConnectionResult(record->id, outcome == Outcome::kOk);
  }
}

// A response that is passed on is cut, visibly. Otherwise the decision module has not ended the flow by its
// final deadline: send a failure response, then notify the module.
void Sidecar::OnFlowDeadline(FlowId id) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr || !flow_deadlines_.IsOver(*flow)) return;
  if (flow->passed_on) {
    counters_.Add(flow->response_deadline.is_long() ? "answers_stalled" : "answers_overdue");
    flow->response_overdue = true;
    return attempt_sender_.BreakResponse(*flow);
  }
  counters_.Add("flows_last_call");
  flow_recorder_.CloseFlow(id, response_writer_.SendFailure(*flow, ClosesAfterResponse(*flow)),
                           FlowEndCause::kFinalDeadline);
  attempt_sender_.CancelUnsent(id);  // a request whose last byte never comes does not run
  decisions_.OnClientGone(id);
}

}  // namespace umberdyke::net

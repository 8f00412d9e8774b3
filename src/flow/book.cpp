#include "flow/book.h"

namespace umberdyke::net {
namespace {

std::string_view CounterOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "attempts_ok";
    case Outcome::kError:
      return "attempts_error";
    case Outcome::kRejected:
      return "attempts_rejected";
    case Outcome::kTimeout:
      return "attempts_timed_out";
    case Outcome::kConnectFailed:
      return "attempts_not_connected";
    case Outcome::kReset:
      return "attempts_reset";
    case Outcome::kCancelled:
      return "attempts_called_off";
    case Outcome::kSpoilt:
      return "attempts_spoilt";
    case Outcome::kUnfit:
      return "attempts_unfit";
    case Outcome::kNotSent:
      break;
  }
  return "attempts_not_sent";
}

bool NeverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

}  // namespace

void FlowRecorder::RecordAttemptEnd(Flow* flow, const AttemptResult& result) const {
  log_.OnAttemptEnd(flow, result);
  if (flow == nullptr) return;
  if (INVARIANT(flow->attempts_in_flight > 0, counters_)) --flow->attempts_in_flight;
  if (flow->attempts_in_flight == 0) flow->state = Flow::State::kDeciding;
  if (!NeverRan(result.outcome)) flow->may_have_run = true;
}

void FlowRecorder::ReportAttempt(const AttemptResult& result, bool settled) const {
  counters_.Add(CounterOf(result.outcome));
  AttemptReport report;
  report.flow = result.flow;
  report.attempt = result.attempt;
  report.server = result.server;
  report.outcome = result.outcome;
  report.elapsed = result.elapsed;
  report.settled = settled;
  report.load = platform_.ParseLoadReport(result.response);
  decisions_.OnAttemptEnd(report);
}

void FlowRecorder::CloseFlow(FlowId id, FlowEnd end, FlowEndCause cause) const {
  std::unique_ptr<Flow> flow = flows_.Remove(id);
  if (flow == nullptr) return;
  log_.OnFlowEnd(*flow, end, cause);
  repeat_guard_.OnFlowEnd(*flow, end, attempt_sender_.HasWrittenAttempt(id));
  metrics_.CountFlow(flow->request.request_class, end,
                     metrics_.records_latency() ? Clock::now() - flow->received : Span(0));
  loop_.DestroyLater(std::move(flow));
}

}  // namespace umberdyke::net

#include "flow/flow_log.h"

#include <chrono>
#include <string>

namespace umberdyke::net {
namespace {

using log::Event;

std::int64_t Micros(Span span) { return std::chrono::duration_cast<std::chrono::microseconds>(span).count(); }

std::string NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "ok";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimeout:
      return "timed out";
    case Outcome::kConnectFailed:
      return "not connected";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kSpoilt:
      return "malformed";
    case Outcome::kUnfit:
      return "request invalid";
    case Outcome::kNotSent:
      break;
  }
  return "not sent";
}

bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kReset || outcome == Outcome::kSpoilt;
}

std::string NameOf(FlowEnd end) {
  switch (end) {
    case FlowEnd::kServed:
      return "served";
    case FlowEnd::kRejected:
      return "rejected";
    case FlowEnd::kFailed:
      return "failed";
    case FlowEnd::kClientGone:
      break;
  }
  return "client gone";
}

std::string NameOf(FlowEndCause cause) {
  switch (cause) {
    case FlowEndCause::kResponse:
      return "a server's response";
    case FlowEndCause::kResponseBroke:
      return "the response broke on its way";
    case FlowEndCause::kResponseOverdue:
      return "the response was not complete in time";
    case FlowEndCause::kShutdown:
      return "its response is too long for a process that ends";
    case FlowEndCause::kModuleRejected:
      return "rejected by the decision module";
    case FlowEndCause::kModuleFailed:
      return "given up by the decision module";
    case FlowEndCause::kFinalDeadline:
      return "no response by the final deadline";
    case FlowEndCause::kMalformedBody:
      return "malformed body";
    case FlowEndCause::kSlowBody:
      return "the body did not arrive in time";
    case FlowEndCause::kClientStalled:
      return "the client did not read its response";
    case FlowEndCause::kWriteFailed:
      return "the response could not be written";
    case FlowEndCause::kClientGone:
      break;
  }
  return "the client closed its connection";
}

std::string NameOf(ExchangePhase phase) {
  switch (phase) {
    case ExchangePhase::kUnassigned:
      break;
    case ExchangePhase::kConnecting:
      return "connecting";
    case ExchangePhase::kAwaitingRest:
      return "awaiting rest";
    case ExchangePhase::kSending:
      return "sending";
    case ExchangePhase::kAwaitingHead:
      return "awaiting head";
    case ExchangePhase::kAwaitingBody:
      return "awaiting body";
    case ExchangePhase::kReceiving:
      return "receiving";
  }
  return "unassigned";
}

}  // namespace

FlowEndCause FlowEndCauseOf(EdgeCloseCause cause) {
  switch (cause) {
    case EdgeCloseCause::kWriteFailed:
      return FlowEndCause::kWriteFailed;
    case EdgeCloseCause::kWriteStalled:
      return FlowEndCause::kClientStalled;
    case EdgeCloseCause::kResponseAborted:
      return FlowEndCause::kResponseBroke;
    case EdgeCloseCause::kClientClosed:
    case EdgeCloseCause::kNoRequest:
    case EdgeCloseCause::kShed:
    case EdgeCloseCause::kLingerEnded:
      break;
  }
  return FlowEndCause::kClientGone;
}

void FlowLog::OnAttemptEnd(const Flow* flow, const AttemptResult& result) const {
  const Event event = IsFailure(result.outcome) && !log_.Enabled(Event::kAttemptEnded) ? Event::kAttemptFailed
                                                                                       : Event::kAttemptEnded;
  if (!log_.Enabled(event)) return;
  const ServerRecord* record = server_list_.Find(result.server);
  const std::string server = record == nullptr ? "unknown" : record->id;
  const std::string request = flow == nullptr ? "of a client that is gone" : flow->request.id;
  const std::string outcome = NameOf(result.outcome);
  const ConnectionUse& use = result.use;
  const std::string connection =
      use.connection == 0 ? "without a connection"
                          : std::string(use.reused ? "on reused connection " : "on new connection ") +
                                std::to_string(use.connection);
  log_.Say(event,
           "request " + request + ": attempt " + std::to_string(result.attempt) + " at " + server + " " +
               connection + ": " + outcome + " while " + NameOf(use.phase) + ", " +
               std::to_string(use.sent_bytes) + " bytes sent, " + std::to_string(use.received_bytes) +
               " received",
           {{"request", request},
            {"attempt", std::int64_t{result.attempt}},
            {"server", server},
            {"outcome", outcome},
            {"elapsed_us", Micros(result.elapsed)},
            {"connection", static_cast<std::int64_t>(use.connection)},
            {"reused", use.reused},
            {"idle_us", Micros(use.idle)},
            {"responses", std::int64_t{use.responses}},
            {"first_byte_us", use.first_byte ? Micros(*use.first_byte) : std::int64_t{-1}},
            {"phase", NameOf(use.phase)},
            {"sent_bytes", static_cast<std::int64_t>(use.sent_bytes)},
            {"received_bytes", static_cast<std::int64_t>(use.received_bytes)}});
}

void FlowLog::OnFlowEnd(const Flow& flow, FlowEnd end, FlowEndCause cause) const {
  const Event event =
      end != FlowEnd::kServed && !log_.Enabled(Event::kFlowEnded) ? Event::kFlowUnserved : Event::kFlowEnded;
  if (!log_.Enabled(event)) return;
  const std::string why = NameOf(cause);
  const std::string& class_name = class_names_.at(static_cast<size_t>(flow.request.request_class));
  const Time now = Clock::now();
  log_.Say(event,
           "request " + flow.request.id + " of class " + class_name + ": " + NameOf(end) + " (" + why +
               ") after " + std::to_string(flow.attempts) + " attempts" +
               (flow.receiving_body ? ", before all of its body had come" : ""),
           {{"request", flow.request.id},
            {"class", class_name},
            {"end", NameOf(end)},
            {"why", why},
            {"attempts", std::int64_t{flow.attempts}},
            {"elapsed_us", flow.receiving_body ? std::int64_t{0} : Micros(now - flow.received)},
            {"since_head_us", Micros(now - flow.admitted)},
            {"body_received", !flow.receiving_body},
            {"body_sent", flow.body_sent}});
}

}  // namespace umberdyke::net

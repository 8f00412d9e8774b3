#include "flow/send.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace umberdyke::net {

void AttemptSender::operator()(Flow& flow, int attempt, const AttemptRoute& routed) {
  INVARIANT(copies_ || flow.open == 0, counters_);
  flow.state = Flow::State::kInFlight;
  ++flow.open;
  counters_.Add("attempts_sent");
  const std::pair<FlowId, int> key(flow.id, attempt);
  const bool fed = flow.request.streaming_body;
  INVARIANT(!flow.body_left, counters_);
  flow.wait = routed.wait;
  ExchangeEvents events;
  events.make_request = [this, id = flow.id,
                         server = routed.server](Span left) -> std::optional<std::string> {
    const auto time = std::chrono::floor<std::chrono::milliseconds>(left);
    const Flow* wanted = route_.AcceptsNewWork(server) && time.count() > 0 ? wanted_(id) : nullptr;
    return wanted == nullptr ? std::nullopt : std::optional(platform_.BuildRequest(wanted->request, time));
  };
  events.on_written = [this, id = flow.id, fed] { Sent(id, fed); };
  if (fed) events.on_buffer_space = [this, id = flow.id] { passing_.room(id); };
  events.on_response_head = [this, key](const Message& head) {
    passing_.answer(key.first, key.second, head);
  };
  events.on_response_body = [this, key](std::string piece) {
    passing_.piece(key.first, key.second, std::move(piece));
  };
  events.on_done = [this, key, server = routed.server](ExchangeResult end) {
    attempts_.erase(key);
    const Outcome outcome = OutcomeOf(end);
    done_({key.first, key.second, server, outcome, end.latency, std::move(end.response)});
  };
  const ExchangeId exchange =
      servers_.Start(routed.server, routed.address, routed.wait, routed.send_by, std::move(events), fed);
  attempts_[key] = {exchange, routed.server, Clock::now()};
}

void AttemptSender::Sent(FlowId flow, bool fed) {
  metrics_.CountSentAttempt();
  if (fed) passing_.body_ends(flow);
}

const AttemptSender::Attempt* AttemptSender::AttemptOf(const Flow& flow) const {
  const auto it = attempts_.find({flow.id, flow.attempts - 1});
  return it == attempts_.end() ? nullptr : &it->second;
}

void AttemptSender::ForwardBody(Flow& flow) {
  const Attempt* attempt = AttemptOf(flow);
  if (attempt == nullptr || flow.body_sent || !servers_.HasBufferSpace(attempt->exchange)) return;
  const Framing framing = Platform::FramingOf(flow.request.message, true);
  if (std::string piece = flow.edge->TakeBody(); !piece.empty()) {
    if (!std::exchange(flow.body_left, true)) passing_.body_begins(flow.id);
    servers_.SendBody(attempt->exchange, WriteBodyPart(std::move(piece), framing));
  }
  if (flow.receiving_body || !flow.edge->body_consumed()) return;
  flow.body_sent = true;
  servers_.SendBody(attempt->exchange, WriteBodyEnd(framing));
  servers_.EndBody(attempt->exchange, std::min<Span>(flow.wait, flow.deadline - Clock::now()));
}

void AttemptSender::PauseResponse(const Flow& flow) {
  if (const Attempt* attempt = AttemptOf(flow); attempt != nullptr) servers_.PauseResponse(attempt->exchange);
}

void AttemptSender::ResumeResponse(const Flow& flow) {
  if (const Attempt* attempt = AttemptOf(flow); attempt != nullptr)
    servers_.ResumeResponse(attempt->exchange);
}

void AttemptSender::Cancel(FlowId flow, int attempt) {
  const auto it = attempts_.find({flow, attempt});
  if (it == attempts_.end()) return;
  const Attempt cancelled = it->second;
  attempts_.erase(it);
  const std::optional<bool> written = servers_.Cancel(cancelled.exchange);
  counters_.Add("attempts_cancelled");
  const Outcome outcome = written.value_or(true) ? Outcome::kCancelled : Outcome::kNotSent;
  done_({flow, attempt, cancelled.server, outcome, Clock::now() - cancelled.sent, {}});
}

void AttemptSender::CancelUnsent(FlowId flow) {
  std::vector<int> unsent;
  for (auto it = attempts_.lower_bound({flow, 0}); it != attempts_.end() && it->first.first == flow; ++it) {
    if (!servers_.IsWritten(it->second.exchange)) unsent.push_back(it->first.second);
  }
  for (const int attempt : unsent) Cancel(flow, attempt);
}

Outcome AttemptSender::OutcomeOf(const ExchangeResult& end) {
  switch (end.code) {
    case ExchangeResult::Code::kResponse:
      return Platform::OutcomeOf(end.response);
    case ExchangeResult::Code::kNotConnected:
      return Outcome::kConnectFailed;
    case ExchangeResult::Code::kReset:
      return Outcome::kReset;
    case ExchangeResult::Code::kMalformed:
      return Outcome::kSpoilt;
    case ExchangeResult::Code::kTimedOut:
      return Outcome::kTimeout;
    case ExchangeResult::Code::kNotSent:
      break;
  }
  return Outcome::kNotSent;
}

}  // namespace umberdyke::net

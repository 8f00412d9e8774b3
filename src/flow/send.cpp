#include "flow/send.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace umberdyke::net {

void AttemptSender::operator()(Flow& flow, int attempt, const AttemptRoute& route) {
  INVARIANT(allow_parallel_attempts_ || flow.attempts_in_flight == 0, counters_);
  flow.state = Flow::State::kInFlight;
  ++flow.attempts_in_flight;
  counters_.Add("attempts_sent");
  const std::pair<FlowId, int> key(flow.id, attempt);
  const bool streams_body = flow.request.streaming_body;
  INVARIANT(!flow.body_partly_sent, counters_);
  flow.attempt_timeout = route.timeout;
  ExchangeEvents events;
  events.make_request = [this, id = flow.id,
                         server = route.server](Span time_left) -> std::optional<std::string> {
    const auto time = std::chrono::floor<std::chrono::milliseconds>(time_left);
    const Flow* open_flow =
        router_.AcceptsNewWork(server) && time.count() > 0 ? find_open_flow_(id) : nullptr;
    return open_flow == nullptr ? std::nullopt
                                : std::optional(platform_.BuildRequest(open_flow->request, time));
  };
  events.on_written = [this, id = flow.id, streams_body] { OnRequestSent(id, streams_body); };
  if (streams_body) events.on_buffer_space = [this, id = flow.id] { streaming_.on_writable(id); };
  events.may_stream_response = [this, id = flow.id] { return streaming_.may_stream_response(id); };
  events.on_response_head = [this, key](const Message& head) {
    streaming_.on_response_head(key.first, key.second, head);
  };
  events.on_response_body = [this, key](std::string data) {
    streaming_.on_response_data(key.first, key.second, std::move(data));
  };
  events.on_done = [this, key, server = route.server](ExchangeResult end) {
    attempts_.erase(key);
    const Outcome outcome = OutcomeOf(end);
    done_({key.first, key.second, server, outcome, end.latency, std::move(end.response), end.use});
  };
  const ExchangeId exchange = servers_.Start(route.server, route.address, route.timeout, route.send_by,
                                             std::move(events), streams_body);
  attempts_[key] = {exchange, route.server, Clock::now()};
}

void AttemptSender::OnRequestSent(FlowId flow, bool streams_body) {
  metrics_.CountSentAttempt();
  if (streams_body) streaming_.on_body_sent(flow);
}

const AttemptSender::Attempt* AttemptSender::Find(FlowId flow, int attempt) const {
  const auto it = attempts_.find({flow, attempt});
  return it == attempts_.end() ? nullptr : &it->second;
}

const AttemptSender::Attempt* AttemptSender::PassedOnAttempt(const Flow& flow) const {
  return flow.passed_on ? Find(flow.id, *flow.passed_on) : nullptr;
}

void AttemptSender::ForwardBody(Flow& flow) {
  const Attempt* attempt = Find(flow.id, flow.attempts - 1);  // a streaming body goes to the latest attempt
  if (attempt == nullptr || flow.body_sent) return;
  const Framing framing = Platform::FramingOf(flow.request.message, true);
  const ExchangeId exchange = attempt->exchange;
  bool has_space = false;
  while (const size_t space = servers_.BufferSpace(exchange)) {
    has_space = true;
    std::string data = flow.edge->TakeBody(space);
    if (data.empty()) break;
    if (!std::exchange(flow.body_partly_sent, true)) streaming_.on_body_start(flow.id);
    servers_.SendBody(exchange, WriteBodyPart(std::move(data), framing));
  }
  if (!has_space || flow.receiving_body || !flow.edge->body_consumed()) return;
  flow.body_sent = true;
  servers_.SendBody(exchange, WriteBodyEnd(framing));
  servers_.EndBody(exchange, std::min<Span>(flow.attempt_timeout, flow.deadline - Clock::now()));
}

void AttemptSender::PauseResponse(const Flow& flow) {
  if (const Attempt* attempt = PassedOnAttempt(flow); attempt != nullptr) {
    servers_.PauseResponse(attempt->exchange);
  }
}

void AttemptSender::ResumeResponse(const Flow& flow) {
  if (const Attempt* attempt = PassedOnAttempt(flow); attempt != nullptr) {
    servers_.ResumeResponse(attempt->exchange);
  }
}

void AttemptSender::BreakResponse(const Flow& flow) {
  if (const Attempt* attempt = PassedOnAttempt(flow); attempt != nullptr) servers_.Break(attempt->exchange);
}

void AttemptSender::Cancel(FlowId flow, int attempt) {
  const auto it = attempts_.find({flow, attempt});
  if (it == attempts_.end()) return;
  const Attempt cancelled = it->second;
  attempts_.erase(it);
  const CancelledExchange exchange =
      servers_.Cancel(cancelled.exchange).value_or(CancelledExchange{.written = true, .use = {}});
  counters_.Add("attempts_cancelled");
  const Outcome outcome = exchange.written ? Outcome::kCancelled : Outcome::kNotSent;
  done_({flow, attempt, cancelled.server, outcome, Clock::now() - cancelled.sent, {}, exchange.use});
}

bool AttemptSender::HasWrittenAttempt(FlowId flow) const {
  for (auto it = attempts_.lower_bound({flow, 0}); it != attempts_.end() && it->first.first == flow; ++it) {
    if (servers_.IsWritten(it->second.exchange)) return true;
  }
  return false;
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

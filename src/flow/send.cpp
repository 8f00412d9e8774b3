#include "flow/send.h"

namespace umberdyke::net {

void SendOut::operator()(Flow& flow, int attempt, const Routed& routed) {
  INVARIANT(copies_ || flow.open == 0, counters_);
  flow.state = Flow::State::kOut;
  ++flow.open;
  counters_.Add("attempts_sent");
  const std::pair<FlowId, int> key(flow.id, attempt);
  const auto wait = std::chrono::floor<std::chrono::milliseconds>(routed.wait);
  const ExchangeId exchange = servers_.Start(
      routed.server, routed.address, platform_.RequestFor(flow.request, wait), routed.wait,
      {[this, server = routed.server] { return route_.Open(server); }, [this] { tally_.Dispatched(); },
       [this, key, server = routed.server](ExchangeEnd end) {
         attempts_.erase(key);
         const Outcome outcome = OutcomeOf(end);
         done_({key.first, key.second, server, outcome, end.took, std::move(end.answer)});
       }});
  attempts_[key] = {exchange, routed.server, Clock::now()};
}

void SendOut::Cancel(FlowId flow, int attempt) {
  const auto it = attempts_.find({flow, attempt});
  if (it == attempts_.end()) return;
  const Attempt cancelled = it->second;
  attempts_.erase(it);
  const std::optional<bool> written = servers_.GiveUp(cancelled.exchange);
  counters_.Add("attempts_cancelled");
  const Outcome outcome = written.value_or(true) ? Outcome::kCancelled : Outcome::kNotSent;
  done_({flow, attempt, cancelled.server, outcome, Clock::now() - cancelled.sent, {}});
}

Outcome SendOut::OutcomeOf(const ExchangeEnd& end) {
  switch (end.how) {
    case ExchangeEnd::How::kAnswered:
      return Platform::OutcomeOf(end.answer);
    case ExchangeEnd::How::kNotConnected:
      return Outcome::kConnectFailed;
    case ExchangeEnd::How::kBroken:
      return Outcome::kReset;
    case ExchangeEnd::How::kSpoilt:
      return Outcome::kSpoilt;
    case ExchangeEnd::How::kTimedOut:
      return Outcome::kTimeout;
    case ExchangeEnd::How::kNoRoom:
      break;
  }
  return Outcome::kNotSent;
}

}  // namespace umberdyke::net

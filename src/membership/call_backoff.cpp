#include "membership/call_backoff.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A call that waited in vain has waited for 2 s, and about as much work still stands behind it. Later waits
// are longer, so that a queue that never empties drains; all end, with a call that is answered at once,
// within the 6 s in which a change has to be learnt once discovery can be reached again.
constexpr CallBackoff::Span kMinDelayAfterFirstOverload = 1500ms;
constexpr CallBackoff::Span kMaxDelayAfterFirstOverload = 3600ms;
constexpr CallBackoff::Span kMinDelayAfterLaterOverload = 1800ms;
constexpr CallBackoff::Span kMaxDelayAfterLaterOverload = 5400ms;
// One that is refused at once leaves no work behind.
constexpr CallBackoff::Span kMinDelayAfterRefusal = 1200ms;
constexpr CallBackoff::Span kMaxDelayAfterRefusal = 3200ms;
// Calls that many callers make at the same moment are spread by so much for each of them: discovery is sized
// for a call of each in several seconds.
constexpr CallBackoff::Span kReconnectJitterPerCaller = 10ms;
constexpr CallBackoff::Span kMaxReconnectJitter = 2s;

// So many callers can fill discovery's queue for good: after a few refusals their waits double.
constexpr int kLargeTierCallers = 32;
constexpr int kQuickRetries = 2;

}  // namespace

const char* Describe(CallFailure failure) {
  switch (failure) {
    case CallFailure::kUnreachable:
      return "discovery could not be reached";
    case CallFailure::kStreamEnded:
      return "it ended";
    case CallFailure::kHeartbeatTimeout:
      return "it fell silent";
    case CallFailure::kMalformed:
      return "it made no sense";
    case CallFailure::kRefused:
      return "it was refused";
    case CallFailure::kOverloaded:
      return "it waited in vain";
  }
  return "";
}

CallBackoff::CallBackoff(std::uint64_t seed, int callers)
    : random_(seed),
      max_reconnect_jitter_(std::min(kReconnectJitterPerCaller * (callers - 1), kMaxReconnectJitter)),
      large_tier_(callers >= kLargeTierCallers) {}

CallBackoff::Span CallBackoff::ReconnectJitter() {
  return UniformBetween(Span::zero(), max_reconnect_jitter_);
}

void CallBackoff::Reset() {
  mean_delay_ = kInitialMeanDelay;
  relaxed_mean_delay_ = kInitialRelaxedMeanDelay;
  consecutive_refusals_ = 0;
}

CallBackoff::Span CallBackoff::NextDelay(CallFailure failure, bool peers_current) {
  if (failure == CallFailure::kRefused) return DelayAfterRefusal(true, peers_current);
  if (failure == CallFailure::kOverloaded) return DelayAfterRefusal(false, peers_current);
  const Span delay = UniformBetween(mean_delay_ / 2, mean_delay_ * 3 / 2);
  mean_delay_ = std::min(mean_delay_ * 3 / 2, kMaxMeanDelay);
  return delay;
}

CallBackoff::Span CallBackoff::DelayAfterRefusal(bool immediate, bool peers_current) {
  ++consecutive_refusals_;
  const bool queue_stays_full = large_tier_ && consecutive_refusals_ > kQuickRetries;
  if (peers_current || queue_stays_full) {
    const Span delay = UniformBetween(relaxed_mean_delay_ / 2, relaxed_mean_delay_ * 3 / 2);
    relaxed_mean_delay_ = std::min(2 * relaxed_mean_delay_, kMaxRelaxedMeanDelay);
    return delay;
  }
  if (immediate) return UniformBetween(kMinDelayAfterRefusal, kMaxDelayAfterRefusal);
  return consecutive_refusals_ > 1 ? UniformBetween(kMinDelayAfterLaterOverload, kMaxDelayAfterLaterOverload)
                                   : UniformBetween(kMinDelayAfterFirstOverload, kMaxDelayAfterFirstOverload);
}

CallBackoff::Span CallBackoff::UniformBetween(Span min, Span max) {
  return Span(std::uniform_int_distribution<Span::rep>(min.count(), max.count())(random_));
}

}  // namespace umberdyke::net

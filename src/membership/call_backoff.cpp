#include "membership/call_backoff.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A call that timed out in the queue has waited 2 s, and about as much work is still queued behind it. Later
// delays are longer to drain a queue that stays full. Each delay plus a call that is answered at once fits
// into the 6 s within which a change must be known once discovery is reachable again.
constexpr CallBackoff::Span kMinDelayAfterFirstOverload = 1500ms;
constexpr CallBackoff::Span kMaxDelayAfterFirstOverload = 3600ms;
constexpr CallBackoff::Span kMinDelayAfterLaterOverload = 1800ms;
constexpr CallBackoff::Span kMaxDelayAfterLaterOverload = 5400ms;
// A call that is refused immediately leaves no work in the queue.
constexpr CallBackoff::Span kMinDelayAfterRefusal = 1200ms;
constexpr CallBackoff::Span kMaxDelayAfterRefusal = 3200ms;
// Jitter for calls that all callers make at the same moment, per caller. Discovery is sized to serve one call
// of each caller within several seconds.
constexpr CallBackoff::Span kReconnectJitterPerCaller = 10ms;
constexpr CallBackoff::Span kMaxReconnectJitter = 2s;

// A tier of this size can keep discovery's queue full permanently; its delays double after a few refusals.
constexpr int kLargeTierCallers = 32;
constexpr int kQuickRetries = 2;

}  // namespace

const char* Describe(CallFailure failure) {
  switch (failure) {
    case CallFailure::kUnreachable:
      return "discovery could not be reached";
    case CallFailure::kStreamEnded:
      return "the stream ended";
    case CallFailure::kHeartbeatTimeout:
      return "no heartbeat arrived in time";
    case CallFailure::kMalformed:
      return "the response could not be parsed";
    case CallFailure::kRefused:
      return "discovery refused the call";
    case CallFailure::kOverloaded:
      return "the call timed out in the discovery queue";
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

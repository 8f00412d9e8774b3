// Backoff between calls to discovery after a failed call.
//
// Discovery serves calls one at a time. A call that times out in its queue still costs the work of an answer.
// If callers retry at once, the queue stays longer than the queue timeout and no call is answered any more
// (metastable overload). After a refusal the delay is therefore long enough for the queue to drain; after
// other failures it is short.
//
// Pure: no clock, no I/O, and no dependency on connections.
#ifndef UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_
#define UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace umberdyke::net {

// Why a call to discovery failed.
enum class CallFailure {
  kUnreachable,       // no connection, or the request could not be written
  kStreamEnded,       // it ended or was reset early, or after it had delivered data
  kHeartbeatTimeout,  // no complete item or heartbeat arrived in time
  kMalformed,         // the response could not be parsed
  kRefused,           // refused immediately: discovery is down, or its queue is full
  kOverloaded,        // timed out in discovery's queue, which does its work all the same
};
// Text for log lines.
const char* Describe(CallFailure failure);

class CallBackoff {
 public:
  using Span = std::chrono::steady_clock::duration;
  // `callers`: how many sidecars, including this one, lose their watches at the same time.
  CallBackoff(std::uint64_t seed, int callers);

  // Extra delay after a lost watch, because all sidecars lose theirs at the same moment.
  Span ReconnectJitter();
  // Discovery has answered, or its address has changed.
  void Reset();
  // The randomized delay before the next call.
  // `peers_current`: other sidecars with a live watch keep this one up to date in the meantime.
  Span NextDelay(CallFailure failure, bool peers_current);

 private:
  Span DelayAfterRefusal(bool immediate, bool peers_current);
  Span UniformBetween(Span min, Span max);

  std::mt19937_64 random_;
  const Span max_reconnect_jitter_;
  Span mean_delay_ = kInitialMeanDelay;
  const bool large_tier_;
  int consecutive_refusals_ = 0;
  Span relaxed_mean_delay_ = kInitialRelaxedMeanDelay;

  static constexpr Span kInitialMeanDelay = std::chrono::milliseconds(150);
  static constexpr Span kMaxMeanDelay = std::chrono::milliseconds(600);
  static constexpr Span kInitialRelaxedMeanDelay = std::chrono::seconds(3);
  static constexpr Span kMaxRelaxedMeanDelay = std::chrono::seconds(6);
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_

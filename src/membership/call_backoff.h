// How long to wait before discovery is called again after a call that failed.
//
// Discovery handles calls one after another. A call that it refuses for want of time has still cost it the
// work of an answer, so that callers that come back at once keep its queue longer than the time that any call
// may wait in it, and then nobody is answered any more (metastable overload). After a refusal the wait is
// therefore long enough for the queue to drain; after other failures it is short.
//
// Pure: no clock, no I/O; it must not depend on connections. Failures say why a call ended; waits are spans.
#ifndef UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_
#define UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace umberdyke::net {

// Why a call to discovery ended without being wanted any more.
enum class CallFailure {
  kUnreachable,       // no connection, or the request could not be written
  kStreamEnded,       // it ended or was reset soon, or after it had told something
  kHeartbeatTimeout,  // nothing whole came for longer than its heartbeat
  kMalformed,         // what came is no answer
  kRefused,           // it was refused at once: discovery is down, or its queue is full
  kOverloaded,        // it waited in discovery's queue in vain, and its work is done there all the same
};
const char* Describe(CallFailure failure);

class CallBackoff {
 public:
  using Span = std::chrono::steady_clock::duration;
  // `callers`: how many of them lose their watches together, this one included.
  CallBackoff(std::uint64_t seed, int callers);

  // A further wait where a watch was lost: others lose theirs in the same moment.
  Span ReconnectJitter();
  // Discovery has answered, or is another one from now on.
  void Reset();
  // The wait before the next call, never in step with other callers.
  // `peers_current`: other sidecars tell this one what discovery does not.
  Span NextDelay(CallFailure failure, bool peers_current);

 private:
  Span DelayAfterRefusal(bool immediate, bool peers_current);
  Span UniformBetween(Span min, Span max);

  std::mt19937_64 random_;
  const Span max_reconnect_jitter_;
  Span mean_delay_ = kInitialMeanDelay;
  const bool large_tier_;
  int consecutive_refusals_ = 0;  // in a row
  Span relaxed_mean_delay_ = kInitialRelaxedMeanDelay;

  static constexpr Span kInitialMeanDelay = std::chrono::milliseconds(150);
  static constexpr Span kMaxMeanDelay = std::chrono::milliseconds(600);
  static constexpr Span kInitialRelaxedMeanDelay = std::chrono::seconds(3);
  static constexpr Span kMaxRelaxedMeanDelay = std::chrono::seconds(6);
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_CALL_BACKOFF_H_

#include "membership/call_backoff.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A call that waited in vain has waited for 2 s, and about as much work still stands behind it. Later waits
// are longer, so that a queue that never empties drains; all end, with a call that is answered at once,
// within the 6 s in which a change has to be learnt once discovery can be reached again.
constexpr CallBackoff::Span kLeastAfterFirst = 1500ms;
constexpr CallBackoff::Span kMostAfterFirst = 3600ms;
constexpr CallBackoff::Span kLeastAfterLater = 1800ms;
constexpr CallBackoff::Span kMostAfterLater = 5400ms;
// One that is refused at once leaves no work behind.
constexpr CallBackoff::Span kLeastAtOnce = 1200ms;
constexpr CallBackoff::Span kMostAtOnce = 3200ms;
// Calls that many callers make at the same moment are spread by so much for each of them: discovery is sized
// for a call of each in several seconds.
constexpr CallBackoff::Span kSpreadPerCaller = 10ms;
constexpr CallBackoff::Span kLongestSpread = 2s;

// So many callers can fill discovery's queue for good: after a few refusals their waits double.
constexpr int kLargeTier = 32;
constexpr int kQuickRefusals = 2;

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
      spread_(std::min(kSpreadPerCaller * (callers - 1), kLongestSpread)),
      large_(callers >= kLargeTier) {}

CallBackoff::Span CallBackoff::ReconnectJitter() { return Between(Span::zero(), spread_); }

void CallBackoff::Reset() {
  mean_ = kFirstMean;
  relaxed_mean_ = kFirstRelaxedMean;
  refusals_ = 0;
}

CallBackoff::Span CallBackoff::NextDelay(CallFailure failure, bool peers_current) {
  if (failure == CallFailure::kRefused) return AfterRefusal(true, peers_current);
  if (failure == CallFailure::kOverloaded) return AfterRefusal(false, peers_current);
  const Span wait = Between(mean_ / 2, mean_ * 3 / 2);
  mean_ = std::min(mean_ * 3 / 2, kLongestMean);
  return wait;
}

CallBackoff::Span CallBackoff::AfterRefusal(bool at_once, bool peers_current) {
  ++refusals_;
  const bool jammed = large_ && refusals_ > kQuickRefusals;
  if (peers_current || jammed) {
    const Span wait = Between(relaxed_mean_ / 2, relaxed_mean_ * 3 / 2);
    relaxed_mean_ = std::min(2 * relaxed_mean_, kLongestRelaxedMean);
    return wait;
  }
  if (at_once) return Between(kLeastAtOnce, kMostAtOnce);
  return refusals_ > 1 ? Between(kLeastAfterLater, kMostAfterLater)
                       : Between(kLeastAfterFirst, kMostAfterFirst);
}

CallBackoff::Span CallBackoff::Between(Span least, Span most) {
  return Span(std::uniform_int_distribution<Span::rep>(least.count(), most.count())(random_));
}

}  // namespace umberdyke::net

// The log events with their stable names and levels, and the rate limit of each event. docs/events.md lists
// the events for operators. Nothing here does I/O.
#ifndef UMBERDYKE_LOG_EVENT_H_
#define UMBERDYKE_LOG_EVENT_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace umberdyke::log {

enum class Event {
  kListening,
  kEnded,
  kCounters,
  kDrainBegins,
  kTakingOver,
  kTakenOver,
  kAddressTaken,
  kClientsSentAway,
  kClientsTakenBack,
  kReloaded,
  kReloadRefused,
  kDiscoveryBroke,
  kDiscoveryBack,
  kModule,
  kMembershipConnected,
  kMembershipInterrupted,
  kMembershipExpired,
  kMembershipHolding,
  kMembershipHeld,
  kMembershipRefused,
  kOrderTaken,
  kOrderRefused,
  kAgentBegins,
  kAgentEnds,
  kFleetConnected,
  kFleetInterrupted,
  kFleetExpired,
  kFleetRefused,
  kOwnerBegins,
  kOwnerEnds,
  kStepDone,
  kStepFailed,
  kZoneLost,
  kZoneReturning,
  kZoneSound,
  kRollout,
  kUnitGoes,
  kDiscoveryAnswered,
  kDiscoveryCallEnded,
  kSurplusBytes,
  kAttemptEnded,
  kAttemptFailed,
  kFlowEnded,
  kFlowUnserved,
  kClientClosed,
  kMemoryLimit,
  kHandoverLink,
  kClosingBegins,
};
constexpr size_t kEventCount = static_cast<size_t>(Event::kClosingBegins) + 1;
enum class Level { kDebug, kInfo, kWarning, kError };

struct EventKind {
  Event event;
  std::string_view name;
  Level level;
  bool rate_limited;  // false for events that must always be logged, such as start and end
};
const std::vector<EventKind>& EventKinds();
const EventKind& KindOf(Event event);
std::string_view LevelName(Level level);

// A token bucket for each event: suppresses an event that comes too often and counts what it suppressed. Does
// not read a clock.
class RateLimit {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr double kBurst = 20;
  static constexpr double kRefillPerSecond = 2;

  // Returns whether the event may be logged now. If so, `held_back` is the number of times that it was
  // suppressed since it was last logged.
  bool Allow(Event event, Time now, std::uint64_t* held_back);

 private:
  struct Bucket {
    double tokens = kBurst;
    Time refilled_at{};
    std::uint64_t held_back = 0;
  };
  std::array<Bucket, kEventCount> buckets_{};
};

}  // namespace umberdyke::log

#endif  // UMBERDYKE_LOG_EVENT_H_

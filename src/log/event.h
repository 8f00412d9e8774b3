// The events that the log tells, under names that stay the same from one version to the next; docs/events.md
// lists them for operators. Nothing here writes anything.
#ifndef UMBERDYKE_LOG_EVENT_H_
#define UMBERDYKE_LOG_EVENT_H_

#include <array>
#include <chrono>
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
};
enum class Level { kDebug, kInfo, kWarning, kError };

struct EventKind {
  Event event;
  std::string_view name;
  Level level;
  bool rate_limited;  // at most so many in a while; the start and the end always come through
};
const std::vector<EventKind>& EventKinds();
const EventKind& KindOf(Event event);
std::string_view LevelName(Level level);

// Holds each event back that comes too often, and counts what it held back. Pure: the time comes in.
class RateLimit {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr double kBurst = 20;
  static constexpr double kRefillPerSecond = 2;

  // Whether the event may be told now; then `held_back` says how many of it were not, since the last told.
  bool Take(Event event, Time now, std::uint64_t* held_back);

 private:
  struct Bucket {
    double tokens = kBurst;
    Time filled{};
    std::uint64_t held_back = 0;
  };
  std::array<Bucket, 48> buckets_{};
};

}  // namespace umberdyke::log

#endif  // UMBERDYKE_LOG_EVENT_H_

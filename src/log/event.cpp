#include "log/event.h"

#include <algorithm>

namespace umberdyke::log {

const std::vector<EventKind>& EventKinds() {
  static const std::vector<EventKind> kinds = {
      {Event::kListening, "listening", Level::kInfo, false},
      {Event::kEnded, "ended", Level::kInfo, false},
      {Event::kCounters, "counters", Level::kInfo, true},
      {Event::kDrainBegins, "drain-begins", Level::kInfo, false},
      {Event::kTakingOver, "taking-over", Level::kInfo, false},
      {Event::kTakenOver, "taken-over", Level::kInfo, true},
      {Event::kAddressTaken, "address-taken", Level::kWarning, true},
      {Event::kClientsSentAway, "clients-sent-away", Level::kInfo, true},
      {Event::kClientsTakenBack, "clients-taken-back", Level::kInfo, true},
      {Event::kReloaded, "reloaded", Level::kInfo, true},
      {Event::kReloadRefused, "reload-refused", Level::kError, true},
      {Event::kDiscoveryBroke, "discovery-broke", Level::kWarning, true},
      {Event::kDiscoveryBack, "discovery-back", Level::kInfo, true},
      {Event::kModule, "module", Level::kInfo, true},
      {Event::kMembershipConnected, "membership-connected", Level::kInfo, true},
      {Event::kMembershipInterrupted, "membership-interrupted", Level::kWarning, true},
      {Event::kMembershipExpired, "membership-expired", Level::kWarning, true},
      {Event::kMembershipHolding, "membership-holding", Level::kWarning, true},
      {Event::kMembershipHeld, "membership-holding-ends", Level::kInfo, true},
      {Event::kMembershipRefused, "membership-refused", Level::kError, true},
      {Event::kOrderTaken, "order-taken", Level::kDebug, false},
      {Event::kOrderRefused, "order-refused", Level::kWarning, true},
      {Event::kAgentBegins, "agent-begins", Level::kInfo, false},
      {Event::kAgentEnds, "agent-ends", Level::kInfo, false},
      {Event::kFleetConnected, "fleet-connected", Level::kInfo, true},
      {Event::kFleetInterrupted, "fleet-interrupted", Level::kWarning, true},
      {Event::kFleetExpired, "fleet-expired", Level::kWarning, true},
      {Event::kFleetRefused, "fleet-refused", Level::kError, true},
      {Event::kOwnerBegins, "owner-begins", Level::kInfo, false},
      {Event::kOwnerEnds, "owner-ends", Level::kInfo, false},
      {Event::kStepDone, "step-done", Level::kDebug, true},
      {Event::kStepFailed, "step-failed", Level::kWarning, true},
      {Event::kZoneLost, "zone-lost", Level::kWarning, true},
      {Event::kZoneReturning, "zone-returning", Level::kInfo, true},
      {Event::kZoneSound, "zone-sound", Level::kInfo, true},
      {Event::kRollout, "rollout", Level::kInfo, true},
      {Event::kUnitGoes, "unit-goes", Level::kInfo, false},
      {Event::kDiscoveryAnswered, "discovery-answered", Level::kInfo, true},
      {Event::kDiscoveryCallEnded, "discovery-call-ended", Level::kInfo, true},
      {Event::kSurplusBytes, "surplus-bytes", Level::kWarning, true},
      {Event::kAttemptEnded, "attempt-ended", Level::kDebug, false},
      {Event::kAttemptFailed, "attempt-failed", Level::kInfo, true},
      {Event::kFlowEnded, "flow-ended", Level::kDebug, false},
      {Event::kFlowUnserved, "flow-unserved", Level::kInfo, true},
      {Event::kClientClosed, "client-closed", Level::kDebug, false},
      {Event::kMemoryLimit, "memory-limit", Level::kWarning, true},
      {Event::kHandoverLink, "handover-link", Level::kInfo, true},
      {Event::kClosingBegins, "closing-begins", Level::kInfo, false},
  };
  return kinds;
}

const EventKind& KindOf(Event event) { return EventKinds()[static_cast<size_t>(event)]; }

std::string_view LevelName(Level level) {
  constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning", "error"};
  return kNames[static_cast<size_t>(level)];
}

bool RateLimit::Allow(Event event, Time now, std::uint64_t* held_back) {
  *held_back = 0;
  if (!KindOf(event).rate_limited) return true;
  Bucket& bucket = buckets_.at(static_cast<size_t>(event));
  if (bucket.refilled_at != Time()) {
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - bucket.refilled_at).count());
    bucket.tokens = std::min(kBurst, bucket.tokens + elapsed * kRefillPerSecond);
  }
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.held_back;
    return false;
  }
  bucket.tokens -= 1;
  *held_back = bucket.held_back;
  bucket.held_back = 0;
  return true;
}

}  // namespace umberdyke::log

// Connection limits and shutdown delays computed from the settings.
#include "sidecar/limits.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// The operator kills the process no sooner than kKillMargin after the longest request deadline, where
// deadlines above kMaxCountedDeadline count as that.
constexpr Span kKillMargin = 700ms;
constexpr Span kMaxCountedDeadline = 3s;
constexpr Span kMinGracePeriod = 800ms;      // connections and requests still arrive in this time
constexpr Span kLastResponseMargin = 200ms;  // from the last responses to the kill
// A request is lost if it arrives later than this and is unanswered at the kill.
constexpr Span kExcusedRequestDelay = 700ms;
constexpr Span kMaxProcessStall = 150ms;   // by which the process may see a signal, or a request, late
constexpr Span kLastRequestMargin = 50ms;  // from the last accepted request to the kill
// Descriptors for the loop, log, listener and discovery. Console connections come on top of these and are
// reserved for the console alone.
constexpr int kReservedDescriptors = 24;
constexpr int kMinEdgeConnections = 4;
constexpr int kMinConsoleConnections = 8;
constexpr int kConsoleConnectionsCap = 24;

}  // namespace

Span KillDelay(const Settings& settings) {
  std::chrono::microseconds longest{};
  for (const RequestClass& c : settings.classes) {
    longest = std::max(longest, std::chrono::microseconds(c.deadline));
  }
  return std::min<Span>(longest, kMaxCountedDeadline) + kKillMargin;
}

// Clients keep their connections for as long as these stay open, and the other sidecars may be shutting down
// too. Requests are therefore forwarded for as long as a useful response can arrive before the kill.
Span GracePeriod(const Settings& settings) {
  std::chrono::microseconds useful{};
  for (const RequestClass& c : settings.classes) useful = std::max(useful, std::chrono::microseconds(c.aim));
  return std::max<Span>(KillDelay(settings) - useful - kLastResponseMargin, kMinGracePeriod);
}

Span LastResponseDelay(const Settings& settings) { return KillDelay(settings) - kLastResponseMargin; }

Span LateRequestDelay() { return kExcusedRequestDelay - kMaxProcessStall; }

Span LastRequestDelay(const Settings& settings) { return KillDelay(settings) - kLastRequestMargin; }

int MaxConsoleConnections(const Config& config) {
  return std::clamp(config.descriptors / 16, kMinConsoleConnections, kConsoleConnectionsCap);
}

int MaxEdgeConnections(const Config& config, bool shared) {
  const int console = config.console ? MaxConsoleConnections(config) : kConsoleConnectionsCap;
  const int descriptors = shared ? config.descriptors / 2 : config.descriptors;
  return std::max((descriptors - kReservedDescriptors - console) / 2, kMinEdgeConnections);
}

RealServers::Limits RealServerLimits(const Config& config) {
  return {config.connect_timeout, config.connection_idle, MaxEdgeConnections(config)};
}

}  // namespace umberdyke::net

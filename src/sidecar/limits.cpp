#include "sidecar/limits.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// After the notice to end the program is killed no sooner than this long after the longest deadline, and no
// deadline counts for more than that.
constexpr Span kKillAfter = 700ms;
constexpr Span kLongestCounted = 3s;
constexpr Span kServeOnAtLeast = 800ms;  // connections still come, and requests on them
constexpr Span kToSpare = 200ms;         // between the last answers and the end
constexpr Span kToClose = 50ms;          // and between the last that is taken and the end
// Descriptors that are neither a client's nor a real server's: the loop, log, listener and discovery, and
// those set aside for the console's callers, which nobody else may use.
constexpr int kOtherDescriptors = 24;
constexpr int kFewestEdges = 4;
constexpr int kFewestCallers = 8;
constexpr int kMostCallers = 24;

}  // namespace

Span KillTime(const Settings& settings) {
  std::chrono::microseconds longest{};
  for (const RequestClass& c : settings.classes) {
    longest = std::max(longest, std::chrono::microseconds(c.deadline));
  }
  return std::min<Span>(longest, kLongestCounted) + kKillAfter;
}

// Clients keep their connections for as long as these stay open, and the others may be ending too: requests
// are taken for as long as a useful answer still comes before the end.
Span ServeOn(const Settings& settings) {
  std::chrono::microseconds useful{};
  for (const RequestClass& c : settings.classes) useful = std::max(useful, std::chrono::microseconds(c.aim));
  return std::max<Span>(KillTime(settings) - useful - kToSpare, kServeOnAtLeast);
}

Span AnswerTime(const Settings& settings) { return KillTime(settings) - kToSpare; }

Span TakeTime(const Settings& settings) { return KillTime(settings) - kToClose; }

int MostCallers(const Config& config) {
  return std::clamp(config.descriptors / 16, kFewestCallers, kMostCallers);
}

int EdgeLimit(const Config& config, bool shared) {
  const int callers = config.console ? MostCallers(config) : kMostCallers;
  const int all = shared ? config.descriptors / 2 : config.descriptors;
  return std::max((all - kOtherDescriptors - callers) / 2, kFewestEdges);
}

RealServers::Limits ServerLimits(const Config& config) {
  return {config.connect_timeout, config.connection_idle, EdgeLimit(config)};
}

}  // namespace umberdyke::net

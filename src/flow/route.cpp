#include "flow/route.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// Attempts time out this long before the client does: the module's final response must still reach it.
constexpr Span kResponseMargin = 8ms;

}  // namespace

std::optional<AttemptRoute> AttemptRouter::operator()(const Flow& flow, ServerId server,
                                                      std::optional<Span> max_timeout,
                                                      std::optional<Span> send_within) const {
  if (!AcceptsNewWork(server)) return std::nullopt;
  const Time now = Clock::now();
  const Span time_left = flow.deadline - kResponseMargin - now;
  const Span timeout = max_timeout ? std::min(*max_timeout, time_left) : time_left;
  if (timeout < 1ms) return std::nullopt;
  return AttemptRoute{server, server_list_.Find(server)->address, timeout,
                      send_within ? now + *send_within : Time::max()};
}

bool AttemptRouter::AcceptsNewWork(ServerId server) const {
  const ServerRecord* record = server_list_.Find(server);
  if (record == nullptr || record->superseded || record->address.ss_family == AF_UNSPEC) return false;
  return record->state == UpstreamState::kReady ||
         (settings_.only_draining_binds && record->state == UpstreamState::kGone);
}

}  // namespace umberdyke::net

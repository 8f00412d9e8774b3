#include "server/idle_connections.h"

#include <algorithm>
#include <cstring>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A second response on a connection arrives within this time of the first.
constexpr Span kSettleTime = 25ms;
// How long servers that sent excess data are expected to do so again.
constexpr Span kExcessDataWindow = 60s;
constexpr Span kMaxIdleMargin = 1s;

}  // namespace

void IdleConnections::Add(std::unique_ptr<ServerConnection> connection) {
  connection->exchange = nullptr;
  connection->idle_since = Clock::now();
  idle_[connection->server].push_back(std::move(connection));
}

// The checks keep the rest of an earlier response from being read as the next one: a connection with unread
// bytes is closed, and connections idle for at least kSettleTime are preferred, because excess data arrives
// within milliseconds. The newest of these is taken; the others can expire. A connection that has not settled
// is used only if there is no other, because back-to-back requests would otherwise open a new connection
// each, and only if no server sent excess data within kExcessDataWindow.
std::unique_ptr<ServerConnection> IdleConnections::Take(ServerId server, const Address& address) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return nullptr;
  Connections& idle = it->second;
  const Time now = Clock::now();
  const bool recent_excess_data = last_excess_data_ && now - *last_excess_data_ < kExcessDataWindow;
  while (!idle.empty()) {
    const auto settled = std::find_if(idle.rbegin(), idle.rend(),
                                      [&](const auto& c) { return now - c->idle_since >= kSettleTime; });
    if (settled == idle.rend() && recent_excess_data) return nullptr;
    const auto at = settled == idle.rend() ? std::prev(idle.end()) : std::prev(settled.base());
    std::unique_ptr<ServerConnection> connection = std::move(*at);
    idle.erase(at);
    const bool same = std::memcmp(&connection->address, &address, sizeof address) == 0;
    if (same && WithinIdleTimeout(*connection) && connection->stream.ReadWouldBlock()) return connection;
    discard_(std::move(connection));
  }
  return nullptr;
}

std::unique_ptr<ServerConnection> IdleConnections::Remove(const ServerConnection& connection) {
  Connections& idle = idle_[connection.server];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (it == idle.end()) return nullptr;
  std::unique_ptr<ServerConnection> removed = std::move(*it);
  idle.erase(it);
  return removed;
}

bool IdleConnections::CloseOldest() {
  Connections* oldest = nullptr;
  for (auto& [server, idle] : idle_) {
    if (!idle.empty() && (oldest == nullptr || idle.front()->idle_since < oldest->front()->idle_since))
      oldest = &idle;
  }
  if (oldest == nullptr) return false;
  std::unique_ptr<ServerConnection> connection = std::move(oldest->front());
  oldest->erase(oldest->begin());
  discard_(std::move(connection));
  return true;
}

void IdleConnections::CloseAll(ServerId server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  for (auto& connection : it->second) discard_(std::move(connection));
  idle_.erase(it);
}

void IdleConnections::CloseExpired() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    Connections& idle = it->second;
    while (!idle.empty() && !WithinIdleTimeout(*idle.front())) {
      discard_(std::move(idle.front()));
      idle.erase(idle.begin());
    }
    it = idle.empty() ? idle_.erase(it) : std::next(it);  // new servers get new numbers
  }
}

bool IdleConnections::WithinIdleTimeout(const ServerConnection& connection) const {
  const Span margin = std::min<Span>(idle_timeout_ / 5, kMaxIdleMargin);
  return Clock::now() - connection.idle_since < idle_timeout_ - margin;
}

}  // namespace umberdyke::net

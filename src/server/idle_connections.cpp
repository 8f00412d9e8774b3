#include "server/idle_connections.h"

#include <algorithm>
#include <cstring>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// How long a connection rests after a response. A server that sends more than its response, such as a second
// copy of it, does so within some milliseconds.
constexpr Span kRestTime = 25ms;
constexpr Span kMaxIdleMargin = 1s;

}  // namespace

void IdleConnections::Add(std::unique_ptr<ServerConnection> connection) {
  connection->exchange = nullptr;
  connection->idle_since = Clock::now();
  idle_[connection->server].push_back(std::move(connection));
}

// A connection with unread bytes is closed. Of the rested connections the newest is taken, so that the others
// expire; where none has rested, the one that will have first.
std::unique_ptr<ServerConnection> IdleConnections::Take(ServerId server, const Address& address) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return nullptr;
  Connections& idle = it->second;
  while (!idle.empty()) {
    const auto newest_rested = std::find_if(idle.rbegin(), idle.rend(),
                                            [this](const auto& c) { return RestLeft(*c) == Span::zero(); });
    const auto at = newest_rested == idle.rend() ? idle.begin() : std::prev(newest_rested.base());
    std::unique_ptr<ServerConnection> connection = std::move(*at);
    idle.erase(at);
    const bool same = std::memcmp(&connection->address, &address, sizeof address) == 0;
    if (same && WithinIdleTimeout(*connection) && connection->stream.ReadWouldBlock()) return connection;
    discard_(std::move(connection));
  }
  return nullptr;
}

void IdleConnections::PutBack(std::unique_ptr<ServerConnection> connection) {
  connection->exchange = nullptr;
  Connections& idle = idle_[connection->server];
  const auto newer = std::find_if(idle.begin(), idle.end(),
                                  [&](const auto& c) { return c->idle_since > connection->idle_since; });
  idle.insert(newer, std::move(connection));
}

Span IdleConnections::RestLeft(const ServerConnection& connection) const {
  if (connection.responses == 0) return Span::zero();
  const Span rest_time = std::min<Span>(kRestTime, idle_timeout_ / 2);
  return std::max<Span>(connection.idle_since + rest_time - Clock::now(), Span::zero());
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

// The idle connections to each real server, and which of them may carry the next exchange.
#ifndef UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_
#define UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "server/connection.h"

namespace umberdyke::net {

class IdleConnections {
 public:
  // Closes a connection that was removed here.
  using Discard = std::function<void(std::unique_ptr<ServerConnection>)>;

  // Real servers close connections that are idle for `idle_timeout`.
  IdleConnections(Span idle_timeout, Discard discard)
      : idle_timeout_(idle_timeout), discard_(std::move(discard)) {}

  // The connection is idle from now on.
  void Add(std::unique_ptr<ServerConnection> connection);
  // Returns a connection that may carry an exchange, or null.
  std::unique_ptr<ServerConnection> Take(ServerId server, const Address& address);
  // Returns null if the connection is not idle.
  std::unique_ptr<ServerConnection> Remove(const ServerConnection& connection);
  // Closes the connection that has been idle longest; returns false if there is none.
  bool CloseOldest();
  void CloseAll(ServerId server);
  // Closes connections that are close to the idle timeout.
  void CloseExpired();
  // A server sent more than its response.
  void OnExcessData() { last_excess_data_ = Clock::now(); }

 private:
  using Connections = std::vector<std::unique_ptr<ServerConnection>>;  // newest last
  bool WithinIdleTimeout(const ServerConnection& connection) const;

  const Span idle_timeout_;
  const Discard discard_;
  std::optional<Time> last_excess_data_;
  std::unordered_map<ServerId, Connections> idle_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_

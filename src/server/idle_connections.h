// The idle connections to each real server, and which of them carries the next exchange.
//
// HTTP/1.1 matches a response to its request by order alone: surplus bytes of one response that arrive once
// the connection is in use again would be taken for the next response. So a connection rests after each
// response until such bytes would have arrived.
#ifndef UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_
#define UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_

#include <functional>
#include <memory>
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
  // Returns a connection for the next exchange, or null. It may carry the exchange once RestLeft is zero.
  std::unique_ptr<ServerConnection> Take(ServerId server, const Address& address);
  // Returns a connection that was taken and has carried nothing since.
  void PutBack(std::unique_ptr<ServerConnection> connection);
  Span RestLeft(const ServerConnection& connection) const;
  // Returns null if the connection is not idle.
  std::unique_ptr<ServerConnection> Remove(const ServerConnection& connection);
  // Closes the connection that has been idle longest; returns false if there is none.
  bool CloseOldest();
  void CloseAll(ServerId server);
  // Closes connections that are close to the idle timeout.
  void CloseExpired();

 private:
  using Connections = std::vector<std::unique_ptr<ServerConnection>>;  // newest last
  bool WithinIdleTimeout(const ServerConnection& connection) const;

  const Span idle_timeout_;
  const Discard discard_;
  std::unordered_map<ServerId, Connections> idle_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_IDLE_CONNECTIONS_H_

// The console, an HTTP server on a second address. Operators use it for readiness, metrics, drain and
// activate; fleet agents use it for the sidecar's status and the notes of their duties (fleet_notes.h).
//
// It reaches the rest of the sidecar only through ConsoleOwner, and never waits: each request is answered in
// the loop turn that reads its last byte. Each connection serves one request and has a deadline. The number
// of connections is limited; above the limit an answered one is closed, or else the oldest.
#ifndef UMBERDYKE_CONSOLE_CONSOLE_H_
#define UMBERDYKE_CONSOLE_CONSOLE_H_

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "console/fleet_notes.h"
#include "counters/counters.h"
#include "loop/loop.h"
#include "platform/console_calls.h"

namespace umberdyke::net {

class ConsoleOwner {
 public:
  virtual bool ReadyToServe() const = 0;
  virtual std::string_view StateName() const = 0;  // one word
  virtual ConsoleMetrics CurrentMetrics() const = 0;
  // Drains clients to other sidecars, or serves them again. Returns false if the sidecar is already ending.
  virtual bool DrainClients() = 0;
  virtual bool ReactivateClients() = 0;
  // When the sidecar began to serve; Time() if it has not yet.
  virtual Time ServingSince() const = 0;
  // Zone plan of the "sites" duty. CheckZonePlan returns why the text is unusable, or an empty string;
  // ZoneStatusLines returns the zones' state as "name=value" lines.
  virtual std::string CheckZonePlan(const std::string& /*text*/) const { return "no plan for zones here"; }
  virtual void ApplyZonePlan(const std::string& /*text*/) {}
  virtual std::string ZoneStatusLines() const { return ""; }

 protected:
  ~ConsoleOwner() = default;
};

// Identifies this sidecar to the agents.
struct ConsoleIdentity {
  std::string application;  // if empty, all orders of agents are rejected
  std::string name;
  int tier = 0;
  std::string release{};  // label of the version that an agent started; empty if no agent started it
};

class Console {
 public:
  Console(Loop& loop, ConsoleOwner& owner, ConsoleIdentity identity, Counters& counters, log::Log& log,
          int max_connections);
  ~Console();

  // Returns an error, or an empty string on success.
  std::string Listen(const Address& address) { return listener_.Listen(address); }
  Address address() const { return listener_.address(); }

 private:
  class Connection;
  void OnConnection();
  std::string HandleRequest(const Message& message);
  std::string HandleEndpoint(ConsoleEndpoint endpoint);
  std::string EndThisProcess(const EndProcess& end);
  std::int64_t UptimeMs() const;
  void Remove(Connection& connection);
  void EvictOne();

  Loop& loop_;
  ConsoleOwner& owner_;
  const ConsoleIdentity identity_;
  Counters& counters_;
  FleetNotes notes_;
  const size_t max_connections_;
  std::list<std::unique_ptr<Connection>> connections_;  // oldest first
  Listener listener_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_CONSOLE_CONSOLE_H_

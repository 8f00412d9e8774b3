// The second address, for operators: is it ready, the figures, send clients away, back to work; and for the
// agents of the fleet: what it is and does, and the notes of their duties (fleet_notes.h).
//
// It knows the rest of the sidecar only through ConsoleOwner, and never waits: each call is answered in the
// turn of the loop in which its last byte is read. It is bounded by itself: so many callers at once, each
// with a deadline; over that the oldest that has not sent a whole call makes room. One call a connection.
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
  virtual ConsoleMetrics CurrentFigures() const = 0;
  // Clients are to go elsewhere, and may come back. False: it can't be done any more.
  virtual bool DrainClients() = 0;
  virtual bool ReactivateClients() = 0;
  // Since when it serves; Time(): not yet.
  virtual Time ServingSince() const = 0;
  // The owner's word on zones: why it cannot be used, or an empty text; and what is known of zones, as lines.
  virtual std::string CheckZonePlan(const std::string& /*text*/) const { return "no plan for zones here"; }
  virtual void ApplyZonePlan(const std::string& /*text*/) {}
  virtual std::string ZoneStatusLines() const { return ""; }

 protected:
  ~ConsoleOwner() = default;
};

// Which sidecar it is, for the agents.
struct ConsoleIdentity {
  std::string application;  // empty: no agent's orders are taken
  std::string name;
  int tier = 0;
  std::string release{};  // the label of the version that an agent started it as; empty: nobody's
};

class Console {
 public:
  Console(Loop& loop, ConsoleOwner& owner, ConsoleIdentity identity, Counters& counters, log::Log& log,
          int most_callers);
  ~Console();

  // Returns an empty text, or what went wrong.
  std::string Listen(const Address& address) { return listener_.Listen(address); }
  Address address() const { return listener_.address(); }

 private:
  class Caller;
  void Come();
  std::string AnswerTo(const Message& message);
  std::string AnswerTo(ConsoleEndpoint call);
  std::string End(const EndProcess& end);
  std::int64_t UpMs() const;
  void Leave(Caller& caller);
  void MakeRoom();

  Loop& loop_;
  ConsoleOwner& owner_;
  const ConsoleIdentity identity_;
  Counters& counters_;
  FleetNotes notes_;
  const size_t most_callers_;
  std::list<std::unique_ptr<Caller>> callers_;  // oldest first
  Listener listener_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_CONSOLE_CONSOLE_H_

// Owns the decision module (Balancer) and drives it. Events are queued and the resulting actions performed in
// order, which keeps the module from being re-entered. Only this class converts loop times to module times.
#ifndef UMBERDYKE_FLOW_DECISIONS_H_
#define UMBERDYKE_FLOW_DECISIONS_H_

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "config/config.h"
#include "counters/counters.h"
#include "flow/flow.h"
#include "loop/loop.h"
#include "membership/server_list.h"
#include "umberdyke/balancer.h"

namespace umberdyke::net {

// Performs the actions that the decision module requests.
class ActionHandler {
 public:
  // `timeout`: absent: until the flow's deadline. `send_within`: if the request's last byte can't be written
  // within this time, it is not written at all.
  virtual void SendAttempt(FlowId flow, ServerId server, std::optional<Span> timeout,
                           std::optional<Span> send_within) = 0;
  virtual void CancelAttempt(FlowId flow, int attempt) = 0;
  // Responds that the client may retry after `retry_after`.
  virtual void RejectFlow(FlowId flow, std::chrono::microseconds retry_after) = 0;
  virtual void FailFlow(FlowId flow) = 0;
  // Starts or stops watching discovery's server list.
  virtual void WatchServerList(bool on) = 0;
  // Sends a health check.
  virtual void CheckServer(ServerId server) = 0;
  virtual void CloseIdleConnections(ServerId server) = 0;
  virtual void LogModuleText(const std::string& text) = 0;

 protected:
  ~ActionHandler() = default;
};

struct AttemptReport {
  FlowId flow = 0;
  int attempt = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::kOk;
  Span elapsed{};
  bool settled = false;  // the flow has its final response, or needs none
  std::optional<LoadReport> load;
};

class Decisions {
 public:
  // Throws ConfigError if the module rejects the settings as invalid.
  Decisions(Loop& loop, const Config& config, Counters& counters, ActionHandler& handler);

  // The number of servers that the module currently avoids.
  int Avoided() const { return balancer_->Avoided(ToMicros(Clock::now())); }
  void OnListChange(const ServerListEvent& change);
  void OnNewFlow(const Flow& flow);
  // A streaming response has begun.
  void OnResponseStart(FlowId flow, int attempt);
  // The first bytes of a streaming request body were forwarded.
  void OnBodyStart(FlowId flow);
  // The last byte of a streaming request body was written.
  void OnBodySent(const Flow& flow);
  void OnAttemptEnd(const AttemptReport& report);
  void OnClientGone(FlowId flow);
  // Sets, by zone number, the fraction of its usual traffic that each zone gets.
  void OnZoneShares(const std::vector<double>& shares);
  void OnCheckResult(ServerId server, Outcome outcome, const std::optional<LoadReport>& load);

 private:
  using Event = std::function<void(Balancer&, Micros, Actions*)>;
  struct PendingTimer {
    Time at;
    std::uint64_t token;
    bool operator>(const PendingTimer& other) const { return at > other.at; }
  };

  Micros ToMicros(Time time) const;
  void Enqueue(Event event);
  void Perform(const Action& action);
  void FireTimers();
  void ArmTimer();

  Counters& counters_;
  ActionHandler& handler_;
  const Time unix_epoch_;  // Unix time 0 on the monotonic clock, from both clocks at startup
  std::optional<Balancer> balancer_;
  std::deque<Event> events_;
  bool processing_ = true;  // in Enqueue or in the constructor
  std::priority_queue<PendingTimer, std::vector<PendingTimer>, std::greater<>> pending_timers_;
  Timer timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_DECISIONS_H_

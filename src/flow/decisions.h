// The sole owner of the decision module. Events wait in a queue and actions are performed in their order, so
// that the module is never entered from inside itself. Only here are times turned into the module's.
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

// Carries out what the module asks for.
class ActionHandler {
 public:
  // `send_within`: the request's last byte is out by then, or never.
  virtual void SendAttempt(FlowId flow, ServerId server, std::optional<Span> timeout,
                           std::optional<Span> send_within) = 0;
  virtual void CancelAttempt(FlowId flow, int attempt) = 0;
  virtual void RejectFlow(FlowId flow, std::chrono::microseconds retry_after) = 0;
  virtual void FailFlow(FlowId flow) = 0;
  virtual void WatchServerList(bool on) = 0;
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
  bool settled = false;  // the flow has its final answer, or needs none
  std::optional<LoadReport> load;
};

class Decisions {
 public:
  // Throws ConfigError where the module finds the settings senseless.
  Decisions(Loop& loop, const Config& config, Counters& counters, ActionHandler& handler);

  int Avoided() const { return balancer_->Avoided(ToMicros(Clock::now())); }
  void OnListChange(const ServerListEvent& change);
  void OnNewFlow(const Flow& flow);
  // A long answer has message_started; a long body has message_started to leave; its last byte is out.
  void OnResponseStart(FlowId flow, int attempt);
  void OnBodyStart(FlowId flow);
  void OnBodySent(const Flow& flow);
  void OnAttemptEnd(const AttemptReport& report);
  void OnClientGone(FlowId flow);
  // Each zone's part of what it would get, by number.
  void OnZoneShares(const std::vector<double>& shares);
  void OnCheckResult(ServerId server, Outcome outcome, const std::optional<LoadReport>& load);

 private:
  using Event = std::function<void(Balancer&, Micros, Actions*)>;
  struct DueTimer {
    Time at;
    std::uint64_t token;
    bool operator>(const DueTimer& other) const { return at > other.at; }
  };

  Micros ToMicros(Time time) const;
  void Enqueue(Event event);
  void Perform(const Action& action);
  void FireTimers();
  void ArmTimer();

  Counters& counters_;
  ActionHandler& handler_;
  const Time unix_epoch_;  // the monotonic time of Unix time 0, as the clocks stood at the start
  std::optional<Balancer> balancer_;
  std::deque<Event> events_;
  bool processing_ = true;  // until the initial actions are performed
  std::priority_queue<DueTimer, std::vector<DueTimer>, std::greater<>> due_timers_;
  Timer timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_DECISIONS_H_

// The second stage: a flow begins. It gets its number and the timer that keeps its answer in time.
#ifndef UMBERDYKE_FLOW_ADMIT_H_
#define UMBERDYKE_FLOW_ADMIT_H_

#include <functional>

#include "counters/counters.h"
#include "flow/flow.h"

namespace umberdyke::net {

class FlowAdmission {
 public:
  using LastCall = std::function<void(FlowId)>;
  using Refused = std::function<void(int request_class)>;
  FlowAdmission(Loop& loop, FlowTable& flows, Counters& counters, LastCall last_call, Refused refused)
      : loop_(loop),
        flows_(flows),
        counters_(counters),
        last_call_(std::move(last_call)),
        refused_(std::move(refused)) {}
  // The time of a flow with a long body begins with Taken, others' at once.
  // Null where another open flow has the request's id: that one is answered here.
  Flow* operator()(EdgeConnection& edge, FlowRequest request) const;
  void OnBodyReceived(Flow& flow) const;
  // The process ends: whatever is open, or comes yet, has its answer before this.
  void SetFinalDeadline(Time end);

 private:
  Loop& loop_;
  FlowTable& flows_;
  Counters& counters_;
  void Arm(Flow& flow) const;

  const LastCall last_call_;
  Time end_ = Time::max();
  const Refused refused_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ADMIT_H_

// The second stage: a flow begins. It gets its number and the timer that keeps its answer in time.
#ifndef UMBERDYKE_FLOW_ADMIT_H_
#define UMBERDYKE_FLOW_ADMIT_H_

#include <functional>

#include "counters/counters.h"
#include "flow/flow.h"

namespace umberdyke::net {

class FlowAdmission {
 public:
  using DeadlineCallback = std::function<void(FlowId)>;
  using InvalidRequestCallback = std::function<void(int request_class)>;
  FlowAdmission(Loop& loop, FlowTable& flows, Counters& counters, DeadlineCallback on_deadline,
                InvalidRequestCallback on_invalid_request)
      : loop_(loop),
        flows_(flows),
        counters_(counters),
        on_deadline_(std::move(on_deadline)),
        on_invalid_request_(std::move(on_invalid_request)) {}
  // The time of a flow with a long body begins with Taken, others' at once.
  // Null where another open flow has the request's id: that one is answered here.
  Flow* operator()(EdgeConnection& edge, FlowRequest request) const;
  void OnBodyReceived(Flow& flow) const;
  // The process ends: whatever is open, or comes yet, has its answer before this.
  void SetFinalDeadline(Time deadline);

 private:
  Loop& loop_;
  FlowTable& flows_;
  Counters& counters_;
  void StartDeadlineTimer(Flow& flow) const;

  const DeadlineCallback on_deadline_;
  Time final_deadline_ = Time::max();
  const InvalidRequestCallback on_invalid_request_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ADMIT_H_

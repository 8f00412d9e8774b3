// Stage 2: creates the flow, with its id and the timer that guarantees a response before the deadline.
#ifndef UMBERDYKE_FLOW_ADMIT_H_
#define UMBERDYKE_FLOW_ADMIT_H_

#include <functional>

#include "counters/counters.h"
#include "flow/flow.h"
#include "flow/repeat_guard.h"

namespace umberdyke::net {

class FlowAdmission {
 public:
  using DeadlineCallback = std::function<void(FlowId)>;
  using InvalidRequestCallback = std::function<void(int request_class)>;
  FlowAdmission(Loop& loop, FlowTable& flows, RepeatGuard& repeat_guard, Counters& counters,
                DeadlineCallback on_deadline, InvalidRequestCallback on_invalid_request)
      : loop_(loop),
        flows_(flows),
        repeat_guard_(repeat_guard),
        counters_(counters),
        on_deadline_(std::move(on_deadline)),
        on_invalid_request_(std::move(on_invalid_request)) {}
  // Returns null, after responding with 409, if a request with the same id is open, or may have run and must
  // not run again. The deadline timer starts at once, or in OnBodyReceived if the request has a streaming
  // body.
  Flow* operator()(EdgeConnection& edge, FlowRequest request) const;
  void OnBodyReceived(Flow& flow) const;
  // The client may have written all of a streaming body, which is not read on: the time of the request runs
  // from its earliest end. Returns false if that time is over.
  bool OnBodyHeldBack(Flow& flow) const;
  // For shutdown: all flows, open and future, are answered before `deadline`.
  void SetFinalDeadline(Time deadline);

 private:
  Loop& loop_;
  FlowTable& flows_;
  RepeatGuard& repeat_guard_;
  Counters& counters_;
  void StartDeadlineTimer(Flow& flow) const;

  const DeadlineCallback on_deadline_;
  Time final_deadline_ = Time::max();
  const InvalidRequestCallback on_invalid_request_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ADMIT_H_

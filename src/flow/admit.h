// Stage 2: creates the flow, with its id and the timer that guarantees it an end.
#ifndef UMBERDYKE_FLOW_ADMIT_H_
#define UMBERDYKE_FLOW_ADMIT_H_

#include <functional>

#include "counters/counters.h"
#include "flow/flow.h"
#include "flow/flow_deadlines.h"
#include "flow/repeat_guard.h"

namespace umberdyke::net {

class FlowAdmission {
 public:
  using InvalidRequestCallback = std::function<void(int request_class)>;
  FlowAdmission(FlowTable& flows, const FlowDeadlines& deadlines, RepeatGuard& repeat_guard,
                Counters& counters, InvalidRequestCallback on_invalid_request)
      : flows_(flows),
        deadlines_(deadlines),
        repeat_guard_(repeat_guard),
        counters_(counters),
        on_invalid_request_(std::move(on_invalid_request)) {}
  // Returns null, after responding with 409, if a request with the same id is open, or may have run and must
  // not run again.
  Flow* operator()(EdgeConnection& edge, FlowRequest request) const;

 private:
  FlowTable& flows_;
  const FlowDeadlines& deadlines_;
  RepeatGuard& repeat_guard_;
  Counters& counters_;
  const InvalidRequestCallback on_invalid_request_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ADMIT_H_

// The last stage: what came of attempts and flows goes into the counters and to the module, and a flow ends.
#ifndef UMBERDYKE_FLOW_BOOK_H_
#define UMBERDYKE_FLOW_BOOK_H_

#include "counters/counters.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/send.h"
#include "flow/tally.h"

namespace umberdyke::net {

class FlowRecorder {
 public:
  FlowRecorder(Loop& loop, FlowTable& flows, const Platform& platform, Decisions& decisions,
               FlowMetrics& metrics, Counters& counters)
      : loop_(loop),
        flows_(flows),
        platform_(platform),
        decisions_(decisions),
        metrics_(metrics),
        counters_(counters) {}

  // Marks the flow, where it is still open, with what the attempt tells of it.
  void RecordAttemptEnd(Flow* flow, Outcome outcome) const;
  // Tells the module; `settled` where the flow needs no answer any more.
  void ReportAttempt(const AttemptResult& result, bool settled) const;
  // Counts a request that was answered before it became a flow.
  void CountInvalidRequest(int request_class) const { metrics_.CountFlow(request_class, FlowEnd::kFailed); }
  // Lets go of a flow that is answered or left, and counts it.
  void CloseFlow(FlowId flow, FlowEnd ending) const;

 private:
  Loop& loop_;
  FlowTable& flows_;
  const Platform& platform_;
  Decisions& decisions_;
  FlowMetrics& metrics_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_BOOK_H_

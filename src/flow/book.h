// Last stage: records the results of attempts and flows in counters, metrics and the log, reports attempts to
// the decision module and removes ended flows.
#ifndef UMBERDYKE_FLOW_BOOK_H_
#define UMBERDYKE_FLOW_BOOK_H_

#include "counters/counters.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/flow_log.h"
#include "flow/repeat_guard.h"
#include "flow/send.h"
#include "flow/tally.h"

namespace umberdyke::net {

class FlowRecorder {
 public:
  FlowRecorder(Loop& loop, FlowTable& flows, const Platform& platform, Decisions& decisions,
               FlowMetrics& metrics, Counters& counters, const FlowLog& log,
               const AttemptSender& attempt_sender, RepeatGuard& repeat_guard)
      : loop_(loop),
        flows_(flows),
        platform_(platform),
        decisions_(decisions),
        metrics_(metrics),
        counters_(counters),
        log_(log),
        attempt_sender_(attempt_sender),
        repeat_guard_(repeat_guard) {}

  // Logs the attempt and updates the flow's state; `flow`: null if it has already ended.
  void RecordAttemptEnd(Flow* flow, const AttemptResult& result) const;
  // Counts the attempt and reports it to the decision module. `settled`: the flow needs no further response.
  void ReportAttempt(const AttemptResult& result, bool settled) const;
  // Counts a request that was rejected before it became a flow.
  void CountInvalidRequest(int request_class) const { metrics_.CountFlow(request_class, FlowEnd::kFailed); }
  // Removes a flow that was answered or whose client is gone, and counts it.
  void CloseFlow(FlowId flow, FlowEnd end, FlowEndCause cause) const;

 private:
  Loop& loop_;
  FlowTable& flows_;
  const Platform& platform_;
  Decisions& decisions_;
  FlowMetrics& metrics_;
  Counters& counters_;
  const FlowLog log_;
  const AttemptSender& attempt_sender_;
  RepeatGuard& repeat_guard_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_BOOK_H_

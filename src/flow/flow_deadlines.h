// Ends flows by time: each has one timer, and one rule that says when it is over.
#ifndef UMBERDYKE_FLOW_FLOW_DEADLINES_H_
#define UMBERDYKE_FLOW_FLOW_DEADLINES_H_

#include <functional>
#include <utility>

#include "flow/flow.h"

namespace umberdyke::net {

class FlowDeadlines {
 public:
  using Callback = std::function<void(FlowId)>;
  // `on_end` is called when a flow's timer fires; it asks IsOver.
  FlowDeadlines(Loop& loop, FlowTable& flows, Callback on_end)
      : loop_(loop), flows_(flows), on_end_(std::move(on_end)) {}

  // The timer starts at once, or in OnRequestReceived if the request has a streaming body.
  void OnAdmitted(Flow& flow) const;
  void OnRequestReceived(Flow& flow) const;
  // The client may have written all of a streaming body, which is not read on: the time of the request runs
  // from its earliest end. Returns false if that time is over.
  bool OnBodyHeldBack(Flow& flow) const;
  // The head of a response has been passed on: its end counts from now on.
  void OnResponseBegun(Flow& flow, const Message& head) const;
  void OnResponseBody(Flow& flow, size_t bytes) const;
  // The response is not read while its client lags.
  void OnResponsePaused(Flow& flow) const;
  void OnResponseResumed(Flow& flow) const;
  // For a flow whose timer has fired: whether its time is over. If not, the timer is started anew.
  bool IsOver(Flow& flow) const;
  // For shutdown: all flows, open and future, have a response or the beginning of one before `deadline`; a
  // flow whose request arrives at `late_from` or later has its whole response by then.
  void SetFinalDeadline(Time deadline, Time late_from);

 private:
  static Time EndOf(const Flow& flow);
  void StartTimer(Flow& flow) const;

  Loop& loop_;
  FlowTable& flows_;
  const Callback on_end_;
  Time final_deadline_ = Time::max();
  Time late_from_ = Time::max();
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_FLOW_DEADLINES_H_

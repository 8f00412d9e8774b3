// The last stage: what came of attempts and flows goes into the counters and to the module, and a flow ends.
#ifndef UMBERDYKE_FLOW_BOOK_H_
#define UMBERDYKE_FLOW_BOOK_H_

#include "counters/counters.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/send.h"

namespace umberdyke::net {

class Book {
 public:
  Book(Loop& loop, FlowTable& flows, const Platform& platform, Decisions& decisions, Counters& counters)
      : loop_(loop), flows_(flows), platform_(platform), decisions_(decisions), counters_(counters) {}

  // Marks the flow, where it is still open, with what the attempt tells of it.
  void Note(Flow* flow, Outcome outcome) const;
  // Tells the module; `settled` where the flow needs no answer any more.
  void Attempt(const AttemptResult& result, bool settled) const;
  // Lets go of a flow that is answered or left.
  void Close(FlowId flow) const;

 private:
  Loop& loop_;
  FlowTable& flows_;
  const Platform& platform_;
  Decisions& decisions_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_BOOK_H_

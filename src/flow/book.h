// The last stage: what came of attempts and flows goes into the counters and to the module, and a flow ends.
#ifndef UMBERDYKE_FLOW_BOOK_H_
#define UMBERDYKE_FLOW_BOOK_H_

#include "counters/counters.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/send.h"
#include "flow/tally.h"

namespace umberdyke::net {

class Book {
 public:
  Book(Loop& loop, FlowTable& flows, const Platform& platform, Decisions& decisions, Tally& tally,
       Counters& counters)
      : loop_(loop),
        flows_(flows),
        platform_(platform),
        decisions_(decisions),
        tally_(tally),
        counters_(counters) {}

  // Marks the flow, where it is still open, with what the attempt tells of it.
  void Note(Flow* flow, Outcome outcome) const;
  // Tells the module; `settled` where the flow needs no answer any more.
  void Attempt(const AttemptResult& result, bool settled) const;
  // Counts a request that was answered before it became a flow.
  void Refused(int request_class) const { tally_.Ended(request_class, Ending::kFailed); }
  // Lets go of a flow that is answered or left, and counts it.
  void Close(FlowId flow, Ending ending) const;

 private:
  Loop& loop_;
  FlowTable& flows_;
  const Platform& platform_;
  Decisions& decisions_;
  Tally& tally_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_BOOK_H_

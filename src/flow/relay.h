// The fifth stage: writes a flow's one final answer to its edge connection.
#ifndef UMBERDYKE_FLOW_RELAY_H_
#define UMBERDYKE_FLOW_RELAY_H_

#include <chrono>

#include "counters/counters.h"
#include "flow/flow.h"
#include "flow/tally.h"
#include "platform/platform.h"

namespace umberdyke::net {

class Relay {
 public:
  Relay(const Platform& platform, const Settings& settings, Counters& counters)
      : platform_(platform), settings_(settings), counters_(counters) {}

  Ending Served(Flow& flow, const Message& answer, bool draining) const;
  // A long answer goes on as it comes: its head, its pieces, and its end or that there is none. Pieces and
  // head are false where the client lags.
  bool Begin(Flow& flow, const Message& head, bool draining) const;
  bool Piece(Flow& flow, std::string piece) const { return flow.edge->AnswerPiece(std::move(piece)); }
  Ending Finish(Flow& flow) const;
  Ending Break(Flow& flow) const;
  // Says that trying again is harmless, where that is true; else it fails.
  Ending TurnDown(Flow& flow, std::chrono::microseconds retry_after, bool draining) const;
  Ending Failed(Flow& flow, bool draining) const;

 private:
  bool MayTurnDown(const Flow& flow) const;
  void Write(Flow& flow, std::string answer, bool keep_alive) const;

  const Platform& platform_;
  const Settings& settings_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_RELAY_H_

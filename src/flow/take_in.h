// The first stage: makes a flow's request of a message, or answers what is none.
#ifndef UMBERDYKE_FLOW_TAKE_IN_H_
#define UMBERDYKE_FLOW_TAKE_IN_H_

#include <optional>

#include "counters/counters.h"
#include "edge/edge_connection.h"
#include "platform/platform.h"

namespace umberdyke::net {

class TakeIn {
 public:
  TakeIn(const Platform& platform, Counters& counters) : platform_(platform), counters_(counters) {}
  // Nothing where the message was answered here: the sidecar's own pages and bad requests.
  std::optional<FlowRequest> operator()(EdgeConnection& edge, Message message, bool draining) const;
  void Refuse(EdgeConnection& edge, Parsed why) const;
  void RefuseSlow(EdgeConnection& edge) const;

 private:
  const Platform& platform_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_TAKE_IN_H_

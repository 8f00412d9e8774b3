// The first stage: makes a flow's request of a message, or answers what is none.
#ifndef UMBERDYKE_FLOW_TAKE_IN_H_
#define UMBERDYKE_FLOW_TAKE_IN_H_

#include <functional>
#include <optional>

#include "counters/counters.h"
#include "edge/edge_connection.h"
#include "platform/platform.h"

namespace umberdyke::net {

class RequestIntake {
 public:
  // `refused` hears of each request of a known class that is answered here.
  using InvalidRequestCallback = std::function<void(int request_class)>;
  RequestIntake(const Platform& platform, Counters& counters, InvalidRequestCallback on_invalid_request)
      : platform_(platform), counters_(counters), on_invalid_request_(std::move(on_invalid_request)) {}
  // Nothing where the message was answered here: the sidecar's own pages and bad requests. `ready` is what
  // the page of that name says; `leaving` connections end with their next answer.
  std::optional<FlowRequest> operator()(EdgeConnection& edge, Message message, bool long_body, bool ready,
                                        bool close_after) const;
  void RespondToInvalidRequest(EdgeConnection& edge, ParseResult error) const;
  void RespondToSlowRequest(EdgeConnection& edge) const;

 private:
  const Platform& platform_;
  Counters& counters_;
  const InvalidRequestCallback on_invalid_request_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_TAKE_IN_H_

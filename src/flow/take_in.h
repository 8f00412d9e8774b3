// Stage 1: turns an HTTP message into a flow request, or responds to it directly.
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
  // Called for each invalid request whose class is known.
  using InvalidRequestCallback = std::function<void(int request_class)>;
  RequestIntake(const Platform& platform, Counters& counters, InvalidRequestCallback on_invalid_request)
      : platform_(platform), counters_(counters), on_invalid_request_(std::move(on_invalid_request)) {}
  // Returns nothing if the message was answered here: the sidecar's own pages and invalid requests. `ready`:
  // what the readiness page reports. `close_after`: the connection closes after its next response.
  std::optional<FlowRequest> operator()(EdgeConnection& edge, Message message, bool streaming_body,
                                        bool ready, bool close_after) const;
  // Responds to input that the parser rejected, then closes the connection.
  void RespondToInvalidRequest(EdgeConnection& edge, ParseResult error) const;
  // Responds with 408 to a request that did not arrive in time, then closes the connection.
  void RespondToSlowRequest(EdgeConnection& edge) const;
  // Rejects a request that was dropped for the memory that all requests take, then closes the connection. It
  // was never forwarded, so the client may retry.
  void RespondToDroppedRequest(EdgeConnection& edge) const;

 private:
  const Platform& platform_;
  Counters& counters_;
  const InvalidRequestCallback on_invalid_request_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_TAKE_IN_H_

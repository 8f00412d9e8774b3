// Stage 5: writes a flow's final response to its edge connection.
#ifndef UMBERDYKE_FLOW_RELAY_H_
#define UMBERDYKE_FLOW_RELAY_H_

#include <chrono>

#include "counters/counters.h"
#include "flow/flow.h"
#include "flow/tally.h"
#include "platform/platform.h"

namespace umberdyke::net {

class ResponseWriter {
 public:
  ResponseWriter(const Platform& platform, const Settings& settings, Counters& counters)
      : platform_(platform), settings_(settings), counters_(counters) {}

  FlowEnd SendServed(Flow& flow, const Message& response, bool draining) const;
  // Streaming responses, of flow.passed_on: head, data, then FinishStreaming or AbortStreaming.
  // BeginStreaming and StreamData return false if the client lags and the upstream must be paused.
  bool BeginStreaming(Flow& flow, const Message& head, bool draining) const;
  bool StreamData(Flow& flow, std::string data) const { return flow.edge->SendResponseData(std::move(data)); }
  FlowEnd FinishStreaming(Flow& flow) const;
  FlowEnd AbortStreaming(Flow& flow) const;
  // Tells the client to retry later; sends a failure instead if a retry might execute the request twice.
  FlowEnd SendRejection(Flow& flow, std::chrono::microseconds retry_after, bool draining) const;
  FlowEnd SendFailure(Flow& flow, bool draining) const;
  // A rejection that invites the client to try elsewhere at once where that is harmless; a failure otherwise.
  // Closes the connection afterwards.
  FlowEnd SendElsewhere(Flow& flow) const;

 private:
  bool MayReject(const Flow& flow) const;
  void SendFinalResponse(Flow& flow, std::string response, bool keep_alive) const;

  const Platform& platform_;
  const Settings& settings_;
  Counters& counters_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_RELAY_H_

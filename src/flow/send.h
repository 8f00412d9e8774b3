// Stage 4: sends attempts to the real servers and reports the end of each exactly once.
#ifndef UMBERDYKE_FLOW_SEND_H_
#define UMBERDYKE_FLOW_SEND_H_

#include <functional>
#include <map>
#include <utility>

#include "counters/counters.h"
#include "flow/flow.h"
#include "flow/route.h"
#include "flow/tally.h"
#include "platform/platform.h"
#include "server/real_server.h"

namespace umberdyke::net {

struct AttemptResult {
  FlowId flow = 0;
  int attempt = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::kOk;
  Span elapsed{};
  Message response;
  ConnectionUse use;
};

class AttemptSender {
 public:
  using DoneCallback = std::function<void(AttemptResult)>;
  using FindOpenFlow = std::function<const Flow*(FlowId)>;  // null if its client is gone
  struct StreamingCallbacks {
    std::function<void(FlowId)> on_writable;  // more of the request body can be sent
    std::function<void(FlowId)>
        on_body_start;  // the first part of a body was sent; it is not kept for a retry
    std::function<void(FlowId)> on_body_sent;  // the last byte of the body was written
    // Whether a response may be passed on before all of it has arrived. One that is long begins all the same.
    std::function<bool(FlowId)> may_stream_response;
    std::function<void(FlowId, int attempt, const Message& head)> on_response_head;
    std::function<void(FlowId, int attempt, std::string data)> on_response_data;
  };
  AttemptSender(RealServers& servers, const AttemptRouter& router, const Platform& platform,
                FlowMetrics& metrics, Counters& counters, bool allow_parallel_attempts,
                FindOpenFlow find_open_flow, DoneCallback done, StreamingCallbacks streaming)
      : servers_(servers),
        router_(router),
        platform_(platform),
        metrics_(metrics),
        counters_(counters),
        allow_parallel_attempts_(allow_parallel_attempts),
        find_open_flow_(std::move(find_open_flow)),
        done_(std::move(done)),
        streaming_(std::move(streaming)) {}

  void operator()(Flow& flow, int attempt, const AttemptRoute& route);
  // Forwards what has arrived of a streaming body, if the attempt's connection can take more.
  void ForwardBody(Flow& flow);
  // Backpressure: stops or resumes reading the response that is passed on while the client lags.
  void PauseResponse(const Flow& flow);
  void ResumeResponse(const Flow& flow);
  // Gives up on the response that is passed on: its attempt ends as if the connection had broken.
  void BreakResponse(const Flow& flow);
  // Ends the attempt at once; does nothing if it has already ended.
  void Cancel(FlowId flow, int attempt);
  // The client is gone: cancels the attempts whose request is not fully written.
  void CancelUnsent(FlowId flow);
  // Whether a server has the whole request in an attempt that has not ended.
  bool HasWrittenAttempt(FlowId flow) const;
  size_t in_flight() const { return attempts_.size(); }
  static Outcome OutcomeOf(const ExchangeResult& end);

 private:
  struct Attempt {
    ExchangeId exchange;
    ServerId server;
    Time sent;
  };
  const Attempt* Find(FlowId flow, int attempt) const;
  const Attempt* PassedOnAttempt(const Flow& flow) const;
  void OnRequestSent(FlowId flow, bool streams_body);
  RealServers& servers_;
  const AttemptRouter& router_;
  const Platform& platform_;
  FlowMetrics& metrics_;
  Counters& counters_;
  const bool allow_parallel_attempts_;  // two attempts of one flow may be in flight, as for hedged requests
  const FindOpenFlow find_open_flow_;
  const DoneCallback done_;
  const StreamingCallbacks streaming_;
  std::map<std::pair<FlowId, int>, Attempt> attempts_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_SEND_H_

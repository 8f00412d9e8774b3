// The fourth stage: carries attempts to the real servers and tells how each ended, once.
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
};

class AttemptSender {
 public:
  using Done = std::function<void(AttemptResult)>;
  using Wanted = std::function<const Flow*(FlowId)>;  // null where its client has left
  struct Passing {
    std::function<void(FlowId)> room;         // for more of a long body
    std::function<void(FlowId)> body_begins;  // a piece of a long body has left: it is not kept
    std::function<void(FlowId)> body_ends;    // its last byte is written
    std::function<void(FlowId, int attempt, const Message& head)> answer;
    std::function<void(FlowId, int attempt, std::string piece)> piece;
  };
  AttemptSender(RealServers& servers, const AttemptRouter& route, const Platform& platform,
                FlowMetrics& metrics, Counters& counters, bool copies, Wanted wanted, Done done,
                Passing passing)
      : servers_(servers),
        route_(route),
        platform_(platform),
        metrics_(metrics),
        counters_(counters),
        copies_(copies),
        wanted_(std::move(wanted)),
        done_(std::move(done)),
        passing_(std::move(passing)) {}

  void operator()(Flow& flow, int attempt, const AttemptRoute& routed);
  // More of a long body has come, or its attempt has room for more.
  void ForwardBody(Flow& flow);
  // The client reads its long answer too slowly, or has caught up.
  void PauseResponse(const Flow& flow);
  void ResumeResponse(const Flow& flow);
  // Ends the attempt at once; nothing for one that is over.
  void Cancel(FlowId flow, int attempt);
  // The client has gone: attempts that have not left whole never do.
  void CancelUnsent(FlowId flow);
  size_t open() const { return attempts_.size(); }
  static Outcome OutcomeOf(const ExchangeResult& end);

 private:
  struct Attempt {
    ExchangeId exchange;
    ServerId server;
    Time sent;
  };
  const Attempt* AttemptOf(const Flow& flow) const;
  void Sent(FlowId flow, bool fed);
  RealServers& servers_;
  const AttemptRouter& route_;
  const Platform& platform_;
  FlowMetrics& metrics_;
  Counters& counters_;
  const bool copies_;  // two attempts of one flow may be in flight together
  const Wanted wanted_;
  const Done done_;
  const Passing passing_;
  std::map<std::pair<FlowId, int>, Attempt> attempts_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_SEND_H_

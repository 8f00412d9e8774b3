// Logs how attempts and flows ended. The frequent events are logged at level debug; failures also at info.
#ifndef UMBERDYKE_FLOW_FLOW_LOG_H_
#define UMBERDYKE_FLOW_FLOW_LOG_H_

#include <string_view>

#include "flow/flow.h"
#include "flow/send.h"
#include "flow/tally.h"
#include "log/log.h"
#include "membership/server_list.h"

namespace umberdyke::net {

// Why a flow ended.
enum class FlowEndCause {
  kResponse,         // a real server's response was relayed
  kResponseBroke,    // a streaming response broke on its way
  kResponseOverdue,  // a streaming response was not complete in time
  kShutdown,         // its response is long, and the process may be killed before it is complete
  kModuleRejected,   // the decision module rejected it
  kModuleFailed,     // the decision module gave it up
  kFinalDeadline,    // the decision module had not ended it by its deadline
  kMalformedBody,    // its streaming body turned out malformed
  kSlowBody,         // its streaming body did not arrive in time
  kClientGone,       // its client closed the connection
  kClientStalled,    // its client read nothing of the response for too long
  kWriteFailed,      // its response could not be written
};

// The cause of the end of a flow that is open when its client's connection ends.
FlowEndCause FlowEndCauseOf(EdgeCloseCause cause);

class FlowLog {
 public:
  FlowLog(log::Log& log, const ServerList& server_list, const std::vector<std::string>& class_names)
      : log_(log), server_list_(server_list), class_names_(class_names) {}

  // `flow`: null if it has ended before its attempt.
  void OnAttemptEnd(const Flow* flow, const AttemptResult& result) const;
  void OnFlowEnd(const Flow& flow, FlowEnd end, FlowEndCause cause) const;

 private:
  log::Log& log_;
  const ServerList& server_list_;
  const std::vector<std::string>& class_names_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_FLOW_LOG_H_

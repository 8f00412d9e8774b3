// Metrics for operators: request results by class, attempts sent and response latency. FlowRecorder counts
// flows, AttemptSender counts attempts when their last byte is written; there are no other callers.
#ifndef UMBERDYKE_FLOW_TALLY_H_
#define UMBERDYKE_FLOW_TALLY_H_

#include <algorithm>
#include <bit>
#include <chrono>
#include <cstdint>
#include <vector>

#include "loop/loop.h"
#include "platform/console_calls.h"

namespace umberdyke::net {

enum class FlowEnd {
  kServed,
  kRejected,
  kFailed,
  kClientGone,  // the client disconnected before the response was complete
};

class FlowMetrics {
 public:
  // `records_latency`: record the latency histogram, for a sidecar whose metrics can be queried.
  explicit FlowMetrics(const std::vector<std::string>& class_names, bool records_latency = false)
      : records_latency_(records_latency) {
    for (const std::string& name : class_names) figures_.classes.push_back({name, 0, 0, 0});
  }

  void CountFlow(int request_class, FlowEnd end, Span latency = {}) {
    ConsoleMetrics::PerClass& c = figures_.classes.at(static_cast<size_t>(request_class));
    ++(end == FlowEnd::kServed ? c.success : end == FlowEnd::kRejected ? c.overload : c.error);
    if (end != FlowEnd::kServed || !records_latency_) return;
    const auto ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(latency).count());
    const size_t bins = std::min<size_t>(figures_.slower.size(), static_cast<size_t>(std::bit_width(ms)));
    for (size_t i = 0; i < bins; ++i) ++figures_.slower[i];
  }
  void CountSentAttempt() { ++figures_.dispatches; }
  bool records_latency() const { return records_latency_; }
  const ConsoleMetrics& figures() const { return figures_; }

 private:
  const bool records_latency_;
  ConsoleMetrics figures_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_TALLY_H_

// Remembers requests whose clients have left without an answer, and which may have run and must not run
// again, by a hash of their ids. Such a client may send its request once more under the same id, to this
// process or to the one that replaces it. No I/O.
#ifndef UMBERDYKE_FLOW_REPEAT_GUARD_H_
#define UMBERDYKE_FLOW_REPEAT_GUARD_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "flow/flow.h"
#include "flow/tally.h"
#include "loop/loop.h"
#include "umberdyke/balancer.h"

namespace umberdyke::net {

using RequestIdHash = std::uint64_t;
RequestIdHash HashRequestId(std::string_view id);

class RepeatGuard {
 public:
  explicit RepeatGuard(const Settings& settings) : settings_(settings) {}

  // Whether a request of the class may take effect more than once if it is sent again.
  bool Applies(int request_class) const {
    return settings_.classes.at(static_cast<size_t>(request_class)).repeat != Repeat::kSafe;
  }
  // The flow has ended. `running`: a server has its request and has not answered.
  void OnFlowEnd(const Flow& flow, FlowEnd end, bool running);
  // The other process of a replacement sends a request of this id.
  void OnSentElsewhere(RequestIdHash id) { Remember(id, Clock::now() + kMemory); }
  bool Blocks(RequestIdHash id);
  // The ids that are remembered now.
  std::vector<RequestIdHash> Remembered() const;

 private:
  static constexpr Span kMemory = std::chrono::seconds(60);
  static constexpr size_t kMaxIds = 16'384;  // the oldest are dropped first

  struct Entry {
    RequestIdHash id;
    Time until;
  };
  void Remember(RequestIdHash id, Time until);
  void DropOldest();

  const Settings& settings_;
  std::unordered_map<RequestIdHash, Time> until_by_id_;
  std::deque<Entry> oldest_first_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_REPEAT_GUARD_H_

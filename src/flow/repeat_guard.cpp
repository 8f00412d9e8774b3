#include "flow/repeat_guard.h"

#include <xxhash.h>

#include <algorithm>

namespace umberdyke::net {

RequestIdHash HashRequestId(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }

// A request that is safe to repeat may only not be in flight twice, where its attempt can't be cancelled.
void RepeatGuard::OnFlowEnd(const Flow& flow, FlowEnd end, bool running) {
  const bool answered = end != FlowEnd::kClientGone && !flow.edge->ClientGone();
  if (answered) return;  // the id is free
  const RequestIdHash id = HashRequestId(flow.request.id);
  if (Applies(flow.request.request_class)) {
    if (running || flow.may_have_run || end == FlowEnd::kServed) Remember(id, Clock::now() + kMemory);
  } else if (running && !settings_.may_cancel && !settings_.parallel_attempts) {
    Remember(id, flow.deadline);
  }
}

bool RepeatGuard::Blocks(RequestIdHash id) {
  const Time now = Clock::now();
  while (!oldest_first_.empty() && oldest_first_.front().until <= now) DropOldest();
  const auto it = until_by_id_.find(id);
  return it != until_by_id_.end() && it->second > now;
}

std::vector<RequestIdHash> RepeatGuard::Remembered() const {
  std::vector<RequestIdHash> ids;
  ids.reserve(until_by_id_.size());
  for (const auto& [id, until] : until_by_id_) ids.push_back(id);
  return ids;
}

void RepeatGuard::Remember(RequestIdHash id, Time until) {
  Time& known = until_by_id_[id];
  if (known >= until) return;
  known = until;
  oldest_first_.push_back({id, until});
  while (oldest_first_.size() > kMaxIds) DropOldest();
}

void RepeatGuard::DropOldest() {
  const Entry oldest = oldest_first_.front();
  oldest_first_.pop_front();
  const auto it = until_by_id_.find(oldest.id);
  if (it != until_by_id_.end() && it->second <= oldest.until) until_by_id_.erase(it);
}

}  // namespace umberdyke::net

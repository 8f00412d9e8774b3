// The transitions of the journal and the backoff, see journal.h.
#include "owner/journal.h"

#include <algorithm>
#include <utility>

namespace umberdyke::owner {

std::optional<Journal> Journal::PrepareStep(Term by, std::string next_plan) const {
  if (by <= 0 || by < term) return std::nullopt;
  Journal next = *this;
  next.term = by;
  if (committed) {
    if (step == INT64_MAX) return std::nullopt;
    ++next.step;
    next.plan = std::move(next_plan);
  }  // else repeat the prepared step with its original plan
  next.committed = false;
  return next;
}

std::optional<Journal> Journal::Commit(Term by, std::string next_state) const {
  if (committed || by != term) return std::nullopt;
  Journal next = *this;
  next.committed = true;
  next.plan.clear();
  next.state = std::move(next_state);
  return next;
}

bool IsValidSuccessor(const Journal& previous, const Journal& next) {
  if (next.term < previous.term) return false;
  if (next.committed) return !previous.committed && next.step == previous.step && next.term == previous.term;
  if (previous.committed) return next.step == previous.step + 1;
  return next.step == previous.step && next.plan == previous.plan;
}

Moment Backoff::OnFailure() {
  const Moment wait = initial_ * (std::int64_t{1} << std::min(failures_, 16));
  ++failures_;
  return std::min(wait, max_);
}

}  // namespace umberdyke::owner

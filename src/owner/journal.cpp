#include "owner/journal.h"

#include <algorithm>
#include <utility>

namespace umberdyke::owner {

std::optional<Journal> Journal::Mean(Term by, std::string next_plan) const {
  if (by <= 0 || by < term) return std::nullopt;
  Journal next = *this;
  next.term = by;
  if (committed) {
    if (step == INT64_MAX) return std::nullopt;
    ++next.step;
    next.plan = std::move(next_plan);
  }  // else the one that was meant, as it was planned then
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

bool Follows(const Journal& before, const Journal& next) {
  if (next.term < before.term) return false;
  if (next.committed) return !before.committed && next.step == before.step && next.term == before.term;
  if (before.committed) return next.step == before.step + 1;
  return next.step == before.step && next.plan == before.plan;
}

Moment Backoff::Failed() {
  const Moment wait = first_ * (std::int64_t{1} << std::min(failures_, 16));
  ++failures_;
  return std::min(wait, most_);
}

}  // namespace umberdyke::owner

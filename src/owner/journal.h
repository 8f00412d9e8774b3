// A write-ahead journal of a duty's steps, from which a new owner continues where the last one stopped. Pure:
// the agent reads and writes the stored journal.
//
// A step is first *prepared* (its number, plan and term are in the journal), then executed at its receivers,
// then *committed*. Each write is one transaction that requires the owner's claim and the journal version
// that was read, so two owners cannot both continue from the same entry. A step that was prepared but not
// committed is executed again under the new term with the same number and plan; receivers recognize the
// duplicate by its number.
#ifndef UMBERDYKE_OWNER_JOURNAL_H_
#define UMBERDYKE_OWNER_JOURNAL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "owner/claim.h"
#include "owner/fence.h"

namespace umberdyke::owner {

struct Journal {
  Step step = 0;  // the latest that was prepared; 0: none yet
  bool committed = true;
  Term term = 0;      // of the owner that wrote this entry
  std::string plan;   // of the step: what a new owner needs to execute it again
  std::string state;  // the duty's state as of the last commit

  // The next entry to write; nullopt if it would break the order of steps or terms.
  std::optional<Journal> PrepareStep(Term by,
                                     std::string plan) const;  // the next step, or the uncommitted one again
  std::optional<Journal> Commit(Term by, std::string state) const;  // the prepared step, in its own term
  friend bool operator==(const Journal&, const Journal&) = default;
};

// Whether `next` is a valid entry after `previous`, whichever owner wrote it. For checkers.
bool IsValidSuccessor(const Journal& previous, const Journal& next);

// Exponential backoff of a failing duty.
class Backoff {
 public:
  Backoff(Moment initial, Moment max) : initial_(initial), max_(max) {}
  // Returns the delay before the next attempt: doubles with each failure, up to the maximum.
  Moment OnFailure();
  void OnSuccess() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Moment initial_, max_;
  int failures_ = 0;
};

}  // namespace umberdyke::owner

#endif  // UMBERDYKE_OWNER_JOURNAL_H_

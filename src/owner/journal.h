// The steps of a duty, so that a new owner goes on where the last one stopped. Pure: what is written where,
// and when, is the agent's work.
//
// A step is first *meant* (its number, plan and term stand in the journal), then done at its places, then
// *committed*. Each writing needs the owner's claim and the journal as it was read, in one transaction, so no
// two owners can both go on from the same place. A step that was meant and not committed is done again under
// the new term with the same number and plan; the places tell a repeat by the number.
#ifndef UMBERDYKE_OWNER_JOURNAL_H_
#define UMBERDYKE_OWNER_JOURNAL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "owner/claim.h"
#include "owner/fence.h"

namespace umberdyke::owner {

struct Journal {
  Step step = 0;  // the latest that was meant; 0: none yet
  bool committed = true;
  Term term = 0;      // of the owner that wrote this
  std::string plan;   // of the step: what a new owner needs to do it again
  std::string state;  // of the duty, as it was committed last

  // What the next writing would be; absent where it would break the order of steps or terms.
  std::optional<Journal> PrepareStep(Term by,
                                     std::string plan) const;       // the next step, or the same one again
  std::optional<Journal> Commit(Term by, std::string state) const;  // the one that was meant, by its own term
  friend bool operator==(const Journal&, const Journal&) = default;
};

// Whether `next` may follow `before` in the service, by whoever wrote it: for judges.
bool IsValidSuccessor(const Journal& previous, const Journal& next);

// How long a duty that failed waits: doubled each time, bounded.
class Backoff {
 public:
  Backoff(Moment initial, Moment max) : initial_(initial), max_(max) {}
  Moment OnFailure();
  void OnSuccess() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Moment initial_, max_;
  int failures_ = 0;
};

}  // namespace umberdyke::owner

#endif  // UMBERDYKE_OWNER_JOURNAL_H_

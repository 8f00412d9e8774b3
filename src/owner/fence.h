// The fence at a place of effect: what an older owner sent is refused once a newer one's was taken, and no
// step is done twice. Pure; the place hands in what the order said.
//
// A place that has just started has seen no term at all, so a term alone would let an old owner in. Each
// start of a place is a *life* with a name of its own, which an order has to bear. An owner asks for the name
// and then has the coordination service confirm its claim before it orders anything under that name: whoever
// was replaced before this life began learns it there (docs/owner.md).
#ifndef UMBERDYKE_OWNER_FENCE_H_
#define UMBERDYKE_OWNER_FENCE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "owner/claim.h"

namespace umberdyke::owner {

using Step = std::int64_t;  // of a duty's journal: 1, 2, ... over all terms

class Fence {
 public:
  enum class Decision {
    kAccept,            // new: do it
    kDuplicate,         // this very step was taken before: done, and not done again
    kStaleTerm,         // of an owner that has been replaced
    kStaleStep,         // overtaken by a later one
    kOtherIncarnation,  // made for an earlier life of this place
  };
  Decision Check(std::string_view incarnation, std::string_view own_incarnation, Term term, Step step) {
    if (incarnation != own_incarnation) return Decision::kOtherIncarnation;
    if (term < term_) return Decision::kStaleTerm;
    term_ = term;  // seen, whatever becomes of the step
    if (step == step_) return Decision::kDuplicate;
    if (step < step_) return Decision::kStaleStep;
    step_ = step;
    return Decision::kAccept;
  }
  Term term() const { return term_; }
  Step step() const { return step_; }

  friend bool operator==(const Fence&, const Fence&) = default;

 private:
  Term term_ = 0;
  Step step_ = 0;
};

}  // namespace umberdyke::owner

#endif  // UMBERDYKE_OWNER_FENCE_H_

// The fence at the receiver of an owner's orders. It checks the fencing token (term and step) of each order:
// it refuses orders of a replaced owner once it has seen a newer term, and never executes a step twice. Pure.
//
// A receiver that has just started has seen no term, so the term alone would let a replaced owner in. Each
// start of a receiver is therefore an *incarnation* ("life" in an order) with its own name, which an order
// must carry. An owner asks for that name and then has the coordination service confirm its claim before it
// sends an order under it; an owner replaced before this incarnation began finds out there (docs/owner.md).
#ifndef UMBERDYKE_OWNER_FENCE_H_
#define UMBERDYKE_OWNER_FENCE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "owner/claim.h"

namespace umberdyke::owner {

using Step = std::int64_t;  // step number in the duty's journal: 1, 2, ... across terms

class Fence {
 public:
  enum class Decision {
    kAccept,            // new: execute it
    kDuplicate,         // this step was accepted before; do not execute it again
    kStaleTerm,         // from an owner that has been replaced
    kStaleStep,         // a later step was accepted before
    kOtherIncarnation,  // addressed to an earlier incarnation of this receiver
  };
  // `incarnation` is the one that the order names.
  Decision Check(std::string_view incarnation, std::string_view own_incarnation, Term term, Step step) {
    if (incarnation != own_incarnation) return Decision::kOtherIncarnation;
    if (term < term_) return Decision::kStaleTerm;
    term_ = term;  // recorded even if the step is refused
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

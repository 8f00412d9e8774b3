// What a sidecar is doing, in one place: readiness, drain, activate and the notice to end share it. Pure.
#ifndef UMBERDYKE_SIDECAR_LIFE_H_
#define UMBERDYKE_SIDECAR_LIFE_H_

#include <string_view>

#include "loop/loop.h"

namespace umberdyke::net {

class Lifecycle {
 public:
  enum class State {
    kStarting,  // cannot serve yet
    kServing,
    kDrained,       // clients are sent elsewhere; what comes all the same is served
    kShuttingDown,  // told to end: nothing leads back
  };
  State state() const {
    if (ending_) return State::kShuttingDown;
    if (drained_) return State::kDrained;
    return can_serve_ ? State::kServing : State::kStarting;
  }
  std::string_view name() const {
    constexpr std::string_view kNames[] = {"starting", "serving", "drained", "ending"};
    return kNames[static_cast<int>(state())];
  }
  bool ready() const { return state() == State::kServing; }

  void StartServing(Time now) {
    can_serve_ = true;
    since_ = now;
  }
  Time since() const { return since_; }  // it serves; Time(): not yet
  // These three are told as often as anybody likes, in any order; false where it is ending already.
  bool Drain() {
    drained_ = drained_ || !ending_;
    return !ending_;
  }
  bool Activate() {
    drained_ = drained_ && ending_;
    return !ending_;
  }
  bool Shutdown() {
    const bool first = !ending_;
    ending_ = true;
    return first;
  }

 private:
  bool can_serve_ = false;
  Time since_{};
  bool drained_ = false;
  bool ending_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_LIFE_H_

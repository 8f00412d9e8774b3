// The lifecycle state of a sidecar, shared by readiness, drain, activate and shutdown. No I/O.
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
    kDrained,       // clients are sent elsewhere; requests that still arrive are served
    kShuttingDown,  // final: no call leads out of this state
  };
  State state() const {
    if (shutting_down_) return State::kShuttingDown;
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
    serving_since_ = now;
  }
  // When serving began; Time() if it has not yet.
  Time serving_since() const { return serving_since_; }
  // Drain, Activate and Shutdown may be called repeatedly and in any order. They return false if the sidecar
  // is already shutting down.
  bool Drain() {
    drained_ = drained_ || !shutting_down_;
    return !shutting_down_;
  }
  bool Activate() {
    drained_ = drained_ && shutting_down_;
    return !shutting_down_;
  }
  bool Shutdown() {
    const bool first = !shutting_down_;
    shutting_down_ = true;
    return first;
  }

 private:
  bool can_serve_ = false;
  Time serving_since_{};
  bool drained_ = false;
  bool shutting_down_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_LIFE_H_

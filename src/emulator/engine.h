// Simulated time: events in the order of their time, and of their making where times are equal, so that a run
// is the same on every machine and whatever runs beside it.
//
// Knows nothing of what an event means.
#ifndef UMBERDYKE_EMULATOR_ENGINE_H_
#define UMBERDYKE_EMULATOR_ENGINE_H_

#include <boost/heap/d_ary_heap.hpp>
#include <cmath>
#include <cstdint>

#include "umberdyke/balancer.h"

namespace umberdyke::emulator {

// Settings are in seconds.
inline Micros Seconds(double s) { return static_cast<Micros>(std::llround(s * 1e6)); }

struct Event {
  Micros at = 0;
  std::uint64_t order = 0;
  std::uint32_t kind : 8 = 0;
  std::uint32_t aux : 24 = 0;  // by kind: a life, an attempt
  std::uint32_t who = 0;       // by kind: a server, a sidecar, a job
  std::uint64_t what = 0;
};

class Engine {
 public:
  explicit Engine(Micros start) : now_(start) {}

  Micros now() const { return now_; }
  std::uint64_t done() const { return done_; }

  // A time that has passed counts as now.
  void At(Micros at, std::uint8_t kind, std::uint32_t who, std::uint64_t what = 0, std::uint32_t aux = 0) {
    Event event;
    event.at = at < now_ ? now_ : at;
    event.order = next_++;
    event.kind = kind;
    event.aux = aux & 0xffffff;
    event.who = who;
    event.what = what;
    heap_.push(event);
  }

  // The next event that is due by `until`, its time now being the time; none where there is no such.
  bool Next(Micros until, Event* event) {
    if (heap_.empty() || heap_.top().at > until) {
      now_ = until > now_ ? until : now_;
      return false;
    }
    *event = heap_.top();
    heap_.pop();
    now_ = event->at;
    ++done_;
    return true;
  }

 private:
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  boost::heap::d_ary_heap<Event, boost::heap::arity<4>, boost::heap::compare<Later>> heap_;
  Micros now_;
  std::uint64_t next_ = 0;
  std::uint64_t done_ = 0;
};

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_ENGINE_H_

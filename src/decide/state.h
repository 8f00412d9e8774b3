// What a balancer remembers: of each upstream, attempt and request, and in all. Types and plain facts about
// them; src/choice.cpp decides.
#ifndef UMBERDYKE_DECIDE_STATE_H_
#define UMBERDYKE_DECIDE_STATE_H_

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke {

constexpr int kNone = -1;  // no upstream

struct Upstream {
  UpstreamEntry entry;
  double chips = 0;
  int in_flight = 0;    // own calls
  Micros heard = 0;     // RcvTime: last answer, or last pick without a chip
  Micros answered = 0;  // last answer of any kind
  Micros reported = 0;  // last report
  double seen = 0;      // the last reported count as it came
  double count = 0;     // smoothed reported count
  bool counted = false;
  double window_sum = 0;  // reports of the present window
  int window_reports = 0;
  double mean = 0;  // mean of the last full window; 0: none yet
  struct ClassRecord {
    Micros avoided_until = 0;
    Micros avoided = 0;  // for how long; 0: the last call went well
    Micros served = 0;   // last call that went well
  };
  std::vector<ClassRecord> classes;
  int spoilt = 0;  // answers in a row that could not be read
  Micros ejected_until = 0;
  Micros ejection = 0;    // length of the last ejection; 0: in good standing
  int cold_sends = 0;     // sends that a cold upstream may still get in this span
  Micros cold_until = 0;  // end of the span
  bool unlisted = false;  // no longer in the list, but not known to be gone
  bool holder = false;    // stands in holders_
  int gone_windows = 0;   // full windows since it has gone
  bool vacant = false;    // forgotten: its place waits for another

  // Listed, but kept off by every class.
  bool Avoided(Micros now) const {
    if (vacant || unlisted || entry.state == UpstreamState::kGone) return false;
    const auto out = [now](const ClassRecord& c) { return now < c.avoided_until; };
    return entry.state == UpstreamState::kDraining || now < ejected_until ||
           std::all_of(classes.begin(), classes.end(), out);
  }
};

struct Attempt {
  int upstream = kNone;
  Micros sent = 0;
  Micros ready_at = 0;  // which life of the upstream it went to
  int zone = 0;         // of the upstream, which may be forgotten before the request is
  int cell = 0;
  bool open = true;
  bool may_have_run = true;
  bool called_off = false;
};

struct Held {
  Request request;
  Micros arrived = 0;
  Micros deadline = 0;
  std::vector<Attempt> attempts;
  int open = 0;
  double let_in = 1;  // chance with which it was let in
  bool streaming = false;
  Micros begun = 0;      // when it was: a long answer's time ends with its first bytes
  bool passing = false;  // its long body is under way: nothing is timed
  bool once = false;     // and none of it is kept, so that it can't be sent again
  bool waiting = false;  // in the queue for a server
  struct Asking {
    std::vector<int> asked;  // servers that were checked for the next attempt
    int unheard = 0;         // of them, how many have not answered yet
    int best = kNone;        // the lightest of those that have
    Micros until = 0;        // end of waiting for them; 0: not waiting
  } asking;
  bool stuck = false;  // out for so long, or at such length, that it says nothing of the load

  // Its long body has begun to leave, or is out: then its time begins.
  void Pass(Micros now, std::optional<Micros> time_left) {
    once = true;
    passing = !time_left;
    if (passing || attempts.empty()) return;
    arrived = attempts.back().sent = now;
    deadline = now + *time_left;
  }
};

// What came of the requests of one class, or of one tenant, wherever they went.
struct Kin {
  int heard = 0;          // answers seen
  double failed = 0;      // share of quick errors among the last answers
  double late = 0;        // share of those that got no answer in time
  Micros shut_until = 0;  // no more of them before this
  Micros shut = 0;        // for how long; 0: not shut
};

inline bool Contains(const std::vector<int>& some, int u) {
  return std::find(some.begin(), some.end(), u) != some.end();
}

inline bool ProvesNeverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

inline const Attempt* FirstThatMayHaveRun(const Held& held) {
  const auto first = std::find_if(held.attempts.begin(), held.attempts.end(),
                                  [](const Attempt& a) { return a.may_have_run; });
  return first == held.attempts.end() ? nullptr : &*first;
}

inline bool MayHaveRun(const Held& held) { return FirstThatMayHaveRun(held) != nullptr; }

// After this an answer earns nothing.
inline Micros UsefulUntil(const RequestClass& c, const Held& held) {
  if (c.late_share > 0) return held.deadline;
  Micros useful = held.arrived + c.aim;
  if (c.aim_stretch > 0) {  // the aim grows with the work; where that is unknown, nothing is cut short
    if (!held.request.expected_work) return held.deadline;
    useful += static_cast<Micros>(c.aim_stretch * static_cast<double>(*held.request.expected_work));
  }
  return std::min(useful, held.deadline);
}

// Everything that an instance remembers.
class State {
 protected:
  using HeldMap = std::unordered_map<RequestId, Held>;

  std::vector<Upstream> upstreams_;            // in list order; places of the forgotten are used again
  std::vector<int> vacant_;                    // those places
  std::unordered_map<UpstreamId, int> index_;  // never iterated
  std::vector<int> ready_;                     // those that may be sent to, in list order
  std::vector<int> near_;                      // those of them in the own zone
  std::vector<int> lately_served_;             // where the last calls that went well went, oldest first
  std::vector<int> holders_;                   // those that hold a chip, and some that did
  HeldMap held_;                               // never iterated
  std::vector<RequestId> asking_;              // requests that wait for their checks, oldest first
  std::deque<RequestId> waiting_;              // requests without a server, oldest first
  std::vector<double> tenant_rate_;
  std::vector<double> zone_bad_;   // share of calls that went wrong lately, by zone of the server
  std::vector<double> zone_part_;  // what the host leaves of each zone's part; those beyond it have all
  std::vector<Kin> kin_;           // of each class, then of each tenant
  double heaviest_ = 0;            // largest weight in the list: smaller ones are drawn the less often
  double most_points_ = 0;         // of the dearest class
  bool held_timer_ = false;
  int live_ = 0;
  double retry_tokens_ = 0;
  double latency_ = 0;         // mean latency of all served calls
  double aim_ = 0;             // mean aim of the served, late worth counted
  double steady_ = 0;          // mean latency over more answers: the least of a short mean is far too low
  double quiet_ = 0;           // answer time in quiet load
  double recent_answers_ = 0;  // fading sums: their ratio is the rate of answers
  double recent_time_ = 0;
  double answered_ = 0;  // since the last housekeeping
  double answers_seen_ = 0;
  double may_take_ = 0;  // time that a request may take on the mean; 0: unknown
  double took_ = 0;      // time that requests took lately, however they ended
  double slack_ = 0;     // and some more, for chance
  double limit_ = 0;     // most requests in hand; 0: no limit
  double mean_count_ = 0;
  double present_rate_ = 0;  // served by one warm upstream for this instance lately, a microsecond
  double warm_rate_ = 0;     // the most of that in the last minute or so
  double recent_sends_ = 0;  // fading sums: their ratio is the rate of own sends
  double sends_time_ = 0;
  double own_rate_ = 0;  // own sends, a microsecond
  double reset_interval_ = 0;
  Micros familiar_ = 0;  // how long a server is familiar after it served
  double served_ = 0;
  double sends_ = 0;
  Micros last_housekeeping_ = 0;
  Micros window_start_ = 0;
  Micros ask_delay_ = 0;
};

}  // namespace umberdyke

#endif  // UMBERDYKE_DECIDE_STATE_H_

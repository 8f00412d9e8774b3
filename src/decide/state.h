// State of a balancer: upstreams, attempts, requests and totals, with simple predicates on them. The
// decisions are in choice.cpp.
#ifndef UMBERDYKE_DECIDE_STATE_H_
#define UMBERDYKE_DECIDE_STATE_H_

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke {

constexpr int kNoUpstream = -1;  // index that stands for "none"
constexpr int kNoAttempt = -1;   // likewise

struct Upstream {
  UpstreamEntry entry;
  double chips = 0;                   // credits for sends, minted from the reported load
  int in_flight = 0;                  // own attempts
  Micros last_response_or_trial = 0;  // last response, or last pick without a chip ("RcvTime" in BLOC)
  Micros last_response = 0;           // last response of any kind
  Micros last_report = 0;             // last load report
  double raw_load = 0;                // last reported count of requests, unsmoothed
  double load = 0;                    // smoothed reported count of requests
  bool has_load = false;              // `load` is set
  double window_load_sum = 0;         // sum of the counts reported in the current window
  int window_reports = 0;             // their number
  double mean_load = 0;               // mean count of the last full window; 0: none yet
  struct ClassRecord {
    Micros avoided_until = 0;
    Micros avoid_duration = 0;  // of the last avoidance; 0: the last attempt succeeded
    Micros last_success = 0;    // end of the last successful attempt
  };
  std::vector<ClassRecord> classes;  // by request class
  int consecutive_malformed = 0;     // malformed responses in a row
  Micros ejected_until = 0;
  Micros ejection_duration = 0;  // of the last ejection; 0: an attempt succeeded since
  int cold_sends_left = 0;       // sends that a cold upstream may still get in this interval
  Micros cold_interval_end = 0;
  bool unlisted = false;         // missing from the list, but not known to be gone
  bool in_chip_holders = false;  // has an entry in chip_holders_
  int windows_since_gone = 0;    // full windows
  bool free_slot = false;        // removed; the slot may be reused for another upstream

  // True for a listed upstream that is draining, ejected, or avoided by every class.
  bool IsAvoided(Micros now) const {
    if (free_slot || unlisted || entry.state == UpstreamState::kGone) return false;
    const auto avoided = [now](const ClassRecord& c) { return now < c.avoided_until; };
    return entry.state == UpstreamState::kDraining || now < ejected_until ||
           std::all_of(classes.begin(), classes.end(), avoided);
  }
};

struct Attempt {
  int upstream = kNoUpstream;
  Micros sent_at = 0;
  Micros upstream_ready_at = 0;  // start time of the upstream process that the attempt went to
  int zone = 0;                  // copied, since the upstream may be removed before the request ends
  int cell = 0;
  bool open = true;  // has no outcome yet
  bool may_have_run = true;
  bool cancel_requested = false;
};

struct ActiveRequest {
  Request request;
  Micros arrived_at = 0;
  Micros deadline = 0;
  std::vector<Attempt> attempts;
  int open_attempts = 0;
  double admit_probability = 1;     // probability with which the request was admitted
  bool response_streaming = false;  // the response has begun to reach the client
  Micros response_started_at = 0;   // counts as the end of the request in time statistics
  bool body_streaming = false;      // the request body is being streamed: no timeout applies
  bool cannot_resend = false;       // the streamed request body was not kept
  bool queued = false;              // waits in the queue for an upstream
  struct Probing {
    std::vector<int> probed;  // upstreams probed for the next attempt
    int pending = 0;          // probes without a result
    int best = kNoUpstream;   // least loaded of those that reported
    Micros wait_until = 0;    // end of the wait for results; 0: not waiting
  } probing;
  // Not counted in in_flight_: a request that streams or has run for long does not reflect the load.
  bool excluded_from_limit = false;

  // Records progress of a streamed request body. Without `time_left` a part of it has been sent and the
  // request is not timed; with `time_left` the body is complete, and the request's time starts now.
  void OnBodyProgress(Micros now, std::optional<Micros> time_left) {
    cannot_resend = true;
    body_streaming = !time_left;
    if (body_streaming || attempts.empty()) return;
    arrived_at = attempts.back().sent_at = now;
    deadline = now + *time_left;
  }
};

// Outcomes of the requests of one class or one tenant, over all upstreams.
struct RequestGroup {
  int responses = 0;          // number of responses
  double error_share = 0;     // share of quick errors among recent responses
  double late_share = 0;      // share of recent requests without a response in time
  Micros blocked_until = 0;   // no request of the group is admitted before this time
  Micros block_duration = 0;  // of the last block; 0: not blocked
};

inline bool Contains(const std::vector<int>& upstreams, int u) {
  return std::find(upstreams.begin(), upstreams.end(), u) != upstreams.end();
}

inline bool ProvesNeverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

inline const Attempt* FirstAttemptThatMayHaveRun(const ActiveRequest& active) {
  const auto first = std::find_if(active.attempts.begin(), active.attempts.end(),
                                  [](const Attempt& a) { return a.may_have_run; });
  return first == active.attempts.end() ? nullptr : &*first;
}

inline bool MayHaveRun(const ActiveRequest& active) { return FirstAttemptThatMayHaveRun(active) != nullptr; }

// Returns the time after which a response earns nothing.
inline Micros UsefulUntil(const RequestClass& c, const ActiveRequest& active) {
  if (c.late_share > 0) return active.deadline;
  Micros useful = active.arrived_at + c.aim;
  if (c.aim_stretch > 0) {  // the aim grows with the work; if that is unknown, only the deadline applies
    if (!active.request.expected_work) return active.deadline;
    useful += static_cast<Micros>(c.aim_stretch * static_cast<double>(*active.request.expected_work));
  }
  return std::min(useful, active.deadline);
}

// All state of one instance. "Recent" sums and shares decay exponentially.
class BalancerState {
 protected:
  using ActiveRequestMap = std::unordered_map<RequestId, ActiveRequest>;

  std::vector<Upstream> upstreams_;                  // in list order; slots of removed ones are reused
  std::vector<int> free_slots_;                      // slots of removed upstreams
  std::unordered_map<UpstreamId, int> index_by_id_;  // never iterated
  std::vector<int> ready_;                           // upstreams that may be sent to, in list order
  std::vector<int> local_ready_;                     // those of them in this instance's zone
  std::vector<int> last_successful_upstreams_;  // upstreams of the last successful attempts, oldest first
  std::vector<int> chip_holders_;               // upstreams with a chip, and some that had one
  ActiveRequestMap active_requests_;            // never iterated
  std::vector<RequestId> probing_requests_;     // requests that wait for probe results, oldest first
  std::deque<RequestId> queued_requests_;       // requests that wait for an upstream, oldest first
  std::vector<double> tenant_recent_requests_;  // recent number of requests, by tenant
  std::vector<double> zone_failure_share_;      // share of recent attempts that failed, by upstream zone
  std::vector<double> zone_share_;              // share of its traffic that the host leaves to each zone
  std::vector<RequestGroup> request_groups_;    // one for each class, then one for each tenant
  double max_weight_ = 0;                       // largest weight of a ready upstream
  double max_points_ = 0;                       // largest `points` of a class
  bool queue_timer_set_ = false;
  int in_flight_ = 0;        // admitted requests that count against the limit
  double retry_tokens_ = 0;  // retry budget
  double mean_latency_ = 0;  // EWMA latency of successful attempts, microseconds
  double mean_aim_ = 0;      // EWMA aim of successful attempts, plus time for late worth
  // EWMA latency over more responses than mean_latency_; the minimum of a short mean would be far too low.
  double slow_mean_latency_ = 0;
  double baseline_latency_ = 0;  // latency without load
  double recent_successes_ = 0;  // recent_successes_ / recent_time_: rate of successes
  double recent_time_ = 0;
  double new_successes_ = 0;      // since the last housekeeping
  double total_successes_ = 0;    // up to the last housekeeping
  double target_time_ = 0;        // allowed mean of mean_request_time_; 0: unknown
  double mean_request_time_ = 0;  // EWMA time of requests, whatever their outcome
  double limit_slack_ = 0;        // allowance for chance on top of limit_
  double limit_ = 0;              // admission limit for in_flight_; 0: no limit
  double mean_load_ = 0;          // mean reported count of requests over all upstreams
  double current_warm_rate_ = 0;  // recent successes of this instance per warm upstream and us
  double peak_warm_rate_ = 0;     // maximum of that over about the last minute
  double recent_sends_ = 0;       // recent_sends_ / recent_sends_time_: rate of sends
  double recent_sends_time_ = 0;
  double send_rate_ = 0;             // own sends per microsecond
  double trial_interval_ = 0;        // an upstream silent for longer may be picked without a chip
  Micros recently_served_time_ = 0;  // how long a success counts as recent
  double new_warm_successes_ = 0;    // since the last housekeeping
  double new_sends_ = 0;             // since the last housekeeping
  Micros last_housekeeping_ = 0;
  Micros window_start_ = 0;
  Micros list_retry_delay_ = 0;
};

}  // namespace umberdyke

#endif  // UMBERDYKE_DECIDE_STATE_H_

// The interface of umberdyke: what a balancer is told (settings, events) and what it asks for (actions).
//
// A Balancer is one caller's copy of the decisions. It has no clock, I/O, threads or globals: the time and
// the seed come in by argument, and every call appends the actions to take, in order, to a vector of the
// caller's. Times are microseconds on a clock of the caller's that only advances.
#ifndef UMBERDYKE_BALANCER_H_
#define UMBERDYKE_BALANCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace umberdyke {

using Micros = std::int64_t;
using RequestId = std::uint64_t;
using UpstreamId = std::uint32_t;  // chosen by the host; only compared for equality, never ordered

// Whether a request may run more than once.
enum class Repeat { kSafe, kKeyed, kUnsafe };
// The upstreams that discard repeats of a keyed request.
enum class Group { kAll, kZone, kCell };

struct RequestClass {
  Repeat repeat = Repeat::kUnsafe;
  Group group = Group::kAll;
  Micros window = 0;       // kKeyed: how long repeats are discarded, from the first send that may have run
  Micros aim = 0;          // answers within this time earn the full worth
  Micros deadline = 0;     // what a client waits in all
  double points = 1;       // worth of an answer
  double aim_stretch = 0;  // the aim grows by this multiple of the request's own work
  double late_share = 0;   // share of the worth that an answer past the aim still earns
  bool stream = false;
};

struct Tenant {
  double allowance_per_s = 0;  // requests a second within its share, over all balancers; 0: unlimited
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  int balancers = 1;     // instances of this tier, this one included
  int tier = 0;          // the tier this instance sends to; 0 is the one that clients reach
  int zone = 0;          // where this instance stands
  int max_attempts = 1;  // for one request
  bool parallel_attempts = false;
  bool may_cancel = false;
  double check_price = 0;       // taken off the result (1 at best) for each check a request
  bool may_check = false;       // upstreams may be checked
  bool must_ask = false;        // the list of upstreams comes only when asked for
  bool passes_deadline = true;  // callers hand on the time they have left
  double over_share_worth = 1;  // worth of a request beyond its tenant's share
  Micros tick = 1000;           // least time between two events
  Micros max_retry_after = 0;   // 0: clients take no advice on when to come back
  Micros ask_every = 10'000'000;
  Micros connection_idle = 0;    // connections close after this time without a call
  double start_capacity = 1;     // a cold upstream can do this share of its work at least
  Micros cold_time = 0;          // and is warm after this time at the latest
  double fall_multiple = 0;      // it falls over when sent more than this multiple of what it can do
  Micros fall_time = 0;          // for this long
  Micros close_idle_within = 0;  // idle connections to a draining upstream close within this; 0: no such rule
  bool only_draining_binds = false;  // one that is gone, or not listed, without draining may still be sent to
  double tail_weight = 0;  // weight of the tail in the result: answers past the aim spoil it; 0: none
  double tail_slack = 0;   // share of late answers that the tail tolerates
};

// What an upstream said of its load; absent where it does not report the figure.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queue;
  std::optional<double> utilization;
  std::optional<double> latency_ms;
  std::optional<double> served_per_s;
  std::optional<double> errors_per_s;
};

enum class UpstreamState { kReady, kDraining, kGone };

struct UpstreamEntry {
  UpstreamId id = 0;
  UpstreamState state = UpstreamState::kReady;
  Micros ready_at = 0;  // its last start; 0: long ago
  double weight = 1;    // for comparison with others' only
  int kind = 0;
  int zone = 0;
  int cell = 0;
};

enum class ListUpdate { kChanges, kComplete, kCached, kFailed };

struct Request {
  RequestId id = 0;
  int request_class = 0;
  Micros time_left = 0;
  std::optional<Micros> expected_work;
  int tenant = 0;
  bool client_retry = false;
};

enum class Outcome {
  kOk,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent,
  kSpoilt,  // something came back, but no answer that can be read: it may have run
  kUnfit,   // the upstream says that the request itself is at fault
};

struct AttemptEnd {
  RequestId request = 0;
  int attempt = 0;
  UpstreamId upstream = 0;
  Outcome outcome = Outcome::kOk;
  Micros elapsed = 0;
  bool settled = false;  // the request has its final answer
  std::optional<LoadReport> report;
};

// Actions.
struct Send {
  RequestId request;
  UpstreamId upstream;
  Micros time_out;  // 0: until the client gives up
  // Later than this its last byte may not go out, however long its connection takes; 0: no such limit.
  Micros send_within = 0;
};
struct Cancel {
  RequestId request;
  int attempt;
};
struct Refuse {
  RequestId request;
  Micros retry_after;  // 0: no advice
};
struct Fail {
  RequestId request;
};
struct SetTimer {
  Micros delay;
  std::uint64_t token;
};
struct Subscribe {  // ask for the changes of the list from now on, or no longer
  bool on = true;
};
struct FetchList {};  // ask for the whole list once
struct Check {
  UpstreamId upstream;
};
struct CloseIdle {  // close idle connections
  UpstreamId upstream;
};
struct TellPeers {
  int peer;  // -1: all
  std::vector<std::uint8_t> content;
};
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer, Subscribe, FetchList, Check, CloseIdle,
                            TellPeers, Log>;
using Actions = std::vector<Action>;

class Balancer {
 public:
  // Throws std::invalid_argument, naming the setting, where settings make no sense.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now, Actions* out);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // An empty complete list leaves nobody to send to: requests wait for nearly half of their time, then are
  // answered.
  void OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions* out);
  // No time left, or less than an answer takes: answered at once. An unknown class throws
  // std::invalid_argument.
  void OnRequest(Micros now, const Request& request, Actions* out);
  // Unknown requests, attempts, upstreams and timers are disregarded, here and below.
  void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out);
  // A long answer has begun to reach the client: it ends the request, but its end may be a while off.
  void OnStreamStart(Micros now, RequestId request, int attempt, Actions* out);
  // The request has a long body that is passed on as it comes. Without `time_left`: a part of it has left, so
  // that it cannot be sent again, and nothing of it is timed; with it: all is out, and its time counts.
  void OnBody(Micros now, RequestId request, std::optional<Micros> time_left, Actions* out);
  void OnClientGone(Micros now, RequestId request, Actions* out);
  void OnTimer(Micros now, std::uint64_t token, Actions* out);
  // The result of a check that the host made; its report counts like one of an answer.
  void OnCheck(Micros now, UpstreamId upstream, Outcome outcome, const std::optional<LoadReport>& report,
               Actions* out);

  // What the host makes of whole zones: each zone's part of what it would get, by number; those beyond the
  // list have all of it. Nothing is sent to a zone of part 0, whoever asks.
  void OnZones(Micros now, const std::vector<double>& parts, Actions* out);

  // How many of the listed upstreams it keeps off now: draining, ejected, or avoided by all classes.
  int Avoided(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberdyke

#endif  // UMBERDYKE_BALANCER_H_

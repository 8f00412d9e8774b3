// Public interface of umberdyke: settings, events that the host reports, and actions that the balancer
// requests.
//
// A Balancer makes the decisions of one caller. It has no clock, I/O, threads or global state. The host
// passes the time and a seed, and each call appends the requested actions, in order, to the host's vector.
// All times and durations are in microseconds, on a clock of the host that never goes back.
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
using RequestId = std::uint64_t;   // chosen by the host; below 2^60, where timer tokens start
using UpstreamId = std::uint32_t;  // chosen by the host; only compared for equality, never ordered

// Whether a request may run more than once: always, if it carries an idempotency key, or never.
enum class Repeat { kSafe, kKeyed, kUnsafe };
// The upstreams that share the record of idempotency keys, and so discard repeats of a keyed request: all of
// them, those of the same zone, or those of the same cell.
enum class Group { kAll, kZone, kCell };

struct RequestClass {
  Repeat repeat = Repeat::kUnsafe;
  Group group = Group::kAll;  // kKeyed only
  Micros window = 0;  // kKeyed only: repeats are discarded for so long after the first send that may have run
  Micros aim = 0;     // a response within this time earns the full worth
  Micros deadline = 0;     // total time that a client waits
  double points = 1;       // worth of a response, at least 0
  double aim_stretch = 0;  // the aim grows by this multiple of the request's own work; 0: it is fixed
  double late_share = 0;   // share of the worth that a response after the aim still earns
  bool stream = false;     // the response is a stream: attempts are not timed out at the aim
};

struct Tenant {
  double allowance_per_s = 0;  // requests per second within its share, over all instances; 0: unlimited
};

// Durations, shares and factors must be finite and at least 0, unless a comment gives another range.
struct Settings {
  std::vector<RequestClass> classes;  // at least one; Request::request_class is an index into it
  std::vector<Tenant> tenants;        // Request::tenant is an index into it; may be empty
  int balancers = 1;                  // instances of this tier, including this one; at least 1
  int tier = 0;                       // tier that this instance sends to; 0 is the one that clients reach
  int zone = 0;                       // zone of this instance
  int max_attempts = 1;               // for one request; at least 1
  bool parallel_attempts = false;     // one request may have several attempts in flight
  bool may_cancel = false;            // the host carries out Cancel
  double check_price = 0;             // cost per request of one Check, as a share of the best possible result
  bool may_check = false;             // the host carries out Check
  bool must_ask = false;              // the host delivers the list of upstreams only after Subscribe
  bool passes_deadline = true;        // callers pass on the time that they have left
  double over_share_worth = 1;        // factor on the worth of a request beyond its tenant's share
  Micros tick = 1000;             // minimum time between two events, above 0; timers fire up to a tick late
  Micros max_retry_after = 0;     // longest Refuse::retry_after; 0: clients take no advice
  Micros ask_every = 10'000'000;  // longest interval between polls of the list, above 0
  Micros connection_idle = 0;     // idle connections to upstreams close after this time; 0: no reuse assumed
  double start_capacity = 1;      // share of its capacity that a cold upstream has at its start; 0 to 1
  Micros cold_time = 0;           // an upstream is warm this long after its start at the latest; 0: at once
  // A cold upstream fails if it is sent more than this multiple of its capacity; 0: cold ones are sent
  // nothing.
  double fall_multiple = 0;
  Micros fall_time = 0;          // how long such a failure lasts
  Micros close_idle_within = 0;  // for idle connections to a draining upstream; 0: no such rule
  // An upstream that is gone or not listed, but did not drain, may still be sent to.
  bool only_draining_binds = false;
  double tail_weight = 0;  // weight of late responses (after the aim) in the result; 0: none
  double tail_slack = 0;   // share of late responses that costs nothing
};

// Load that an upstream reported; a figure that it does not report is absent.
struct LoadReport {
  std::optional<double> in_flight;    // requests
  std::optional<double> queue;        // requests; used if in_flight is absent
  std::optional<double> utilization;  // share of capacity
  std::optional<double> latency_ms;
  std::optional<double> served_per_s;
  std::optional<double> errors_per_s;
};

enum class UpstreamState { kReady, kDraining, kGone };

struct UpstreamEntry {
  UpstreamId id = 0;
  UpstreamState state = UpstreamState::kReady;
  Micros ready_at = 0;  // time of its last start; 0: long ago
  double weight = 1;    // relative to other upstreams
  int kind = 0;
  int zone = 0;
  int cell = 0;
};

// Changes only, the complete list, a complete list from a cache that may be outdated, or a failed poll.
enum class ListUpdate { kChanges, kComplete, kCached, kFailed };

struct Request {
  RequestId id = 0;
  int request_class = 0;                // index into Settings::classes
  Micros time_left = 0;                 // until the client gives up
  std::optional<Micros> expected_work;  // for RequestClass::aim_stretch; absent: unknown
  int tenant = 0;                       // index into Settings::tenants; any other value: no tenant
  bool client_retry = false;            // the client has sent it before
};

enum class Outcome {
  kOk,
  kError,          // error response of the upstream
  kRejected,       // the upstream rejected it without running it
  kTimeout,        // no response in time; it may have run
  kConnectFailed,  // never sent
  kReset,          // the connection broke; it may have run
  kCancelled,      // after Cancel; it may have run
  kNotSent,        // the host did not send it
  kSpoilt,         // malformed response; it may have run
  kUnfit,          // the upstream reports that the request itself is invalid
};

struct AttemptEnd {
  RequestId request = 0;
  int attempt = 0;  // number of the Send for this request, from 0
  UpstreamId upstream = 0;
  Outcome outcome = Outcome::kOk;
  Micros elapsed = 0;    // since the send
  bool settled = false;  // the request has its final response
  std::optional<LoadReport> report;
};

// Actions that the host carries out.
struct Send {
  RequestId request;
  UpstreamId upstream;
  Micros time_out;  // from now; 0: until the client gives up
  // The last byte must be sent within this time, even if the connection takes longer to open; 0: no limit.
  Micros send_within = 0;
};
struct Cancel {
  RequestId request;
  int attempt;  // as in AttemptEnd
};
struct Refuse {  // end the request with a rejection; a retry by the client is harmless
  RequestId request;
  Micros retry_after;  // 0: no advice
};
struct Fail {  // end the request with an error; a retry by the client may not be safe
  RequestId request;
};
struct SetTimer {  // call OnTimer with the token after the delay
  Micros delay;
  std::uint64_t token;
};
struct Subscribe {  // start to deliver changes of the list, or stop
  bool on = true;
};
struct FetchList {};  // deliver the complete list once
struct Check {        // probe the upstream, then call OnCheck
  UpstreamId upstream;
};
struct CloseIdle {  // close idle connections to the upstream
  UpstreamId upstream;
};
struct TellPeers {  // send the content to other instances
  int peer;         // -1: all
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
  // Throws std::invalid_argument, which names the setting, if a setting is invalid.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now, Actions* out);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // After an empty complete list there is no upstream to send to: requests are queued for nearly half of
  // their time and then refused or failed.
  void OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions* out);
  // Refuses or fails the request at once if its time left is shorter than a response takes. Throws
  // std::invalid_argument for an unknown class.
  void OnRequest(Micros now, const Request& request, Actions* out);
  // This and the calls below ignore unknown requests, attempts, upstreams and timers.
  void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out);
  // The streaming response of `attempt` has begun to reach the client. The attempt may end much later; the
  // request is not sent again, and its other attempts are cancelled where they may be.
  void OnStreamStart(Micros now, RequestId request, int attempt, Actions* out);
  // The request has a streaming body. Without `time_left`, a part of it was sent: the request cannot be sent
  // again, and no timeout applies. With `time_left`, the whole body was sent, and the request is timed from
  // now on.
  void OnBody(Micros now, RequestId request, std::optional<Micros> time_left, Actions* out);
  void OnClientGone(Micros now, RequestId request, Actions* out);
  void OnTimer(Micros now, std::uint64_t token, Actions* out);
  // Result of a Check, or of a check that the host made on its own; the report counts like that of a
  // response.
  void OnCheck(Micros now, UpstreamId upstream, Outcome outcome, const std::optional<LoadReport>& report,
               Actions* out);

  // Sets, by zone number, the share of its normal traffic that each zone gets; zones beyond the list get all
  // of it. Nothing is sent to a zone with share 0.
  void OnZones(Micros now, const std::vector<double>& parts, Actions* out);

  // Number of listed upstreams that get no requests now: draining, ejected, or avoided by all classes.
  int Avoided(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberdyke

#endif  // UMBERDYKE_BALANCER_H_

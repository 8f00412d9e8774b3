// Leader election: one candidate's claim to own a duty, which is work that only one agent of the fleet does.
//
// Implements the usual ZooKeeper election recipe. Each candidate creates an ephemeral sequential node. The
// lowest number owns the duty, and every other candidate watches only its predecessor. The owner's *term* is
// the id of the transaction that created its node, so terms grow from one owner to the next.
//
// src/owner decides which request to send to the coordination service next and until when an owner may act.
// It knows nothing of the service's protocol, processes, sockets or the decision module, and reads no clock:
// callers pass the time, from a clock that also runs while the machine is suspended. An owner's own view is
// never enough to stop a replaced owner; the fence (fence.h) does that where the effect takes place.
#ifndef UMBERDYKE_OWNER_CLAIM_H_
#define UMBERDYKE_OWNER_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::owner {

using Moment = std::chrono::microseconds;  // on a clock that runs during suspension; arbitrary origin
using Term = std::int64_t;                 // above zero
using Session = std::int64_t;              // above zero

// The name of a node in the duty's claims folder: "c-ID-NUMBER".
struct ClaimName {
  std::string id;
  std::int64_t number = 0;  // sequence number from the service; ten digits or more
};
// Returns nullopt for any other name.
std::optional<ClaimName> ReadClaimName(std::string_view name);
std::string ClaimPrefix(std::string_view id);  // the service appends the sequence number

struct ClaimSettings {
  std::string id;  // of this run of the candidate; characters 0-9, a-z
  Moment session_timeout{std::chrono::milliseconds(4000)};  // as the service granted it
  Moment clock_margin{std::chrono::milliseconds(1000)};     // subtracted from it for clock drift
  Moment resign_cooldown{std::chrono::milliseconds(8000)};  // before it claims the duty again
  friend bool operator==(const ClaimSettings&, const ClaimSettings&) = default;
};

enum class EndReason {
  kResigned,     // on request
  kLost,         // its node was deleted by hand, or with a session that another run of it ended
  kExpired,      // its session expired
  kUnconfirmed,  // its lease ran out before the service confirmed it again
};
std::string_view EndReasonText(EndReason reason);

// A request to the service, or a notification to the code that does the work. The response carries the
// request's ticket; a response with any but the newest ticket is ignored.
struct Action {
  enum class Kind {
    kList,     // sync, then read the names of all claims; reported by OnListed
    kCreate,   // create an ephemeral sequential node with prefix `name`; OnCreated
    kRead,     // read the node `name`; OnRead
    kWatch,    // check that `name` exists and watch for its deletion; OnWatched
    kConfirm,  // a write without effect that requires `name` to exist; OnConfirmed
    kRemove,   // delete the node `name`; OnRemoved
    kBegin,    // ownership starts, under `term`
    kEnd,      // ownership ends
    kWake,     // call Tick at `at`
  };
  Kind kind;
  std::uint64_t ticket = 0;
  std::string name;
  Term term = 0;
  EndReason reason = EndReason::kLost;
  Moment at{};
};
using Actions = std::vector<Action>;

// The result of a call. kUnknown: the connection broke, and the call may or may not have taken effect.
enum class CallResult { kOk, kAbsent, kRefused, kUnknown };

class Claim {
 public:
  enum class State {
    kDisconnected,
    kListing,
    kCreating,
    kWatching,
    kReading,
    kConfirming,
    kOwning,
    kResigning,
    kCoolingDown
  };

  explicit Claim(ClaimSettings settings) : settings_(std::move(settings)) {}

  // The connection is up, with a new session or the previous one. `granted`: the session timeout.
  void OnConnected(Moment now, Session session, Moment granted, Actions* out);
  // The connection broke; the session may still be alive.
  void OnDisconnected(Moment now, Actions* out);
  void OnSessionExpired(Moment now, Actions* out);
  void OnListed(Moment now, std::uint64_t ticket, CallResult result, const std::vector<std::string>& names,
                Actions* out);
  void OnCreated(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnRead(Moment now, std::uint64_t ticket, CallResult result, Term created, Session owner, Actions* out);
  void OnWatched(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnConfirmed(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnRemoved(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  // A watch reported that the claim `name` was deleted.
  void OnNodeDeleted(Moment now, std::string_view name, Actions* out);
  void Tick(Moment now, Actions* out);
  // Gives up the claim. An owner stops at once. Claims the duty again after `resign_cooldown`.
  void Resign(Moment now, Actions* out);

  // Whether an effect may begin now. The lease runs from when the confirm request was sent, not answered.
  bool MayAct(Moment now) const { return state_ == State::kOwning && now < act_until_; }
  Moment act_until() const { return act_until_; }
  // Wrongly starts the lease at the response. Only for the explorer and faulty stand-ins, which show that
  // this breaks mutual exclusion.
  void OverrideConfirmSentTime(Moment answered) { confirm_sent_ = answered; }
  State state() const { return state_; }
  Term term() const { return term_; }
  const std::string& name() const { return own_node_; }  // its node, empty until known
  const std::string& predecessor() const { return predecessor_; }
  const std::string& id() const { return id_; }

  friend bool operator==(const Claim&, const Claim&) = default;
  // Appends all state that decides the next action, as text; the explorer uses it to skip visited states.
  // Tickets are left out: IsPending tells whether a response still counts.
  void Print(std::string* out) const;
  bool IsPending(std::uint64_t ticket) const { return ticket == ticket_; }

 private:
  void ListClaims(Actions* out);
  void RequestConfirm(Moment now, Actions* out);
  void EndOwnership(EndReason reason, Actions* out);
  void ResetIdentity();
  std::uint64_t Request(Action::Kind kind, const std::string& name, Actions* out);
  void WakeAt(Moment at, Actions* out);
  void RetryLater(Moment now, Actions* out);  // after kRetryDelay

  ClaimSettings settings_;
  State state_ = State::kDisconnected;
  bool connected_ = false;
  Session session_ = 0;
  std::string id_ =
      settings_.id;  // unique per session, so that another session's node is not taken for its own
  int sessions_ = 0;
  std::string own_node_, predecessor_;
  Term term_ = 0;
  bool begin_reported_ = false;  // kBegin was sent, and no kEnd since
  Moment confirm_sent_{};        // when the latest confirm request was sent
  bool confirm_in_flight_ = false;
  Moment act_until_{};
  Moment confirm_at_{};
  Moment cooldown_until_{};
  Moment retry_at_{};
  std::uint64_t ticket_ = 0;
};

}  // namespace umberdyke::owner

#endif  // UMBERDYKE_OWNER_CLAIM_H_

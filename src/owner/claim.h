// One candidate's claim to one duty: who does work on behalf of the fleet, one at a time.
//
// The published recipe on a coordination service: each candidate keeps an ephemeral node with a number in its
// name; the lowest owns the duty, and each of the others watches only the one before it. The owner's *term*
// is the number of the transaction that created its node, so it only grows from one owner to the next.
//
// What this room is for: deciding what is asked of the service next, and until when an owner may act. It may
// not know the service's protocol, processes, sockets or the decision module, and reads no clock: time comes
// in, on a clock that also counts a suspended machine's time. An owner's own belief is never enough to keep
// an old owner's work out; that is the fence's task (fence.h), where the effect lands.
#ifndef UMBERDYKE_OWNER_CLAIM_H_
#define UMBERDYKE_OWNER_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::owner {

using Moment = std::chrono::microseconds;  // since some origin, on the clock that counts suspension
using Term = std::int64_t;                 // above zero
using Session = std::int64_t;              // above zero

// A child of the duty's folder of claims: "c-ID-NUMBER". Absent where it is no such name.
struct ClaimName {
  std::string id;
  std::int64_t number = 0;  // given by the service, growing; ten digits or more
};
std::optional<ClaimName> ReadClaimName(std::string_view name);
std::string ClaimPrefix(std::string_view id);  // what the service puts its number behind

struct ClaimSettings {
  std::string id;  // of this life of this candidate; of the characters 0-9, a-z
  Moment session_timeout{std::chrono::milliseconds(4000)};  // the session's time, as the service granted it
  Moment clock_margin{
      std::chrono::milliseconds(1000)};  // taken off it: clocks of two machines run a little apart
  Moment resign_cooldown{std::chrono::milliseconds(8000)};  // after a resignation, before it stands again
  friend bool operator==(const ClaimSettings&, const ClaimSettings&) = default;
};

enum class EndReason {
  kResigned,     // it was told to
  kLost,         // its node has gone: by hand, or with a session that another life of it ended
  kExpired,      // its session has run out
  kUnconfirmed,  // its time to act is over and the service has not confirmed it again
};
std::string_view EndReasonText(EndReason reason);

// What is to be asked of the service, or said to whoever does the work. A ticket comes back with the answer;
// an answer to any other but the newest ticket of its kind counts for nothing.
struct Action {
  enum class Kind {
    kList,     // sync, then read the names of all claims; answer: Listed
    kCreate,   // `name` is the prefix; ephemeral and sequential; answer: Created
    kRead,     // the node `name`; answer: Read
    kWatch,    // whether `name` is there, and a notice once it has gone; answer: Watched
    kConfirm,  // a write that changes nothing and needs `name`; answer: Confirmed
    kRemove,   // the node `name`; answer: Removed
    kBegin,    // owner from now on, under `term`
    kEnd,      // and no longer
    kWake,     // Tick at `at`
  };
  Kind kind;
  std::uint64_t ticket = 0;
  std::string name;
  Term term = 0;
  EndReason reason = EndReason::kLost;
  Moment at{};
};
using Actions = std::vector<Action>;

// How a call ended: kUnknown where the connection broke, so that it may or may not have been done.
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

  // A connection is up: with a new session, or with the one from before.
  void OnConnected(Moment now, Session session, Moment granted, Actions* out);
  // It broke; the session may live on.
  void OnDisconnected(Moment now, Actions* out);
  void OnSessionExpired(Moment now, Actions* out);
  void OnListed(Moment now, std::uint64_t ticket, CallResult result, const std::vector<std::string>& names,
                Actions* out);
  void OnCreated(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnRead(Moment now, std::uint64_t ticket, CallResult result, Term created, Session owner, Actions* out);
  void OnWatched(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnConfirmed(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  void OnRemoved(Moment now, std::uint64_t ticket, CallResult result, Actions* out);
  // A notice: that claim has gone.
  void OnNodeDeleted(Moment now, std::string_view name, Actions* out);
  void Tick(Moment now, Actions* out);
  // Leave the duty to another; where it owns it, its work ends at once. It stands again after `rest`.
  void Resign(Moment now, Actions* out);

  // May an effect begin now? Reckoned from when the confirming request was sent, never from its answer.
  bool MayAct(Moment now) const { return state_ == State::kOwning && now < act_until_; }
  Moment act_until() const { return act_until_; }
  // As a careless candidate would: its time reckoned from the answer. For the explorer and wrong stand-ins
  // alone, which show what comes of it.
  void OverrideConfirmSentTime(Moment answered) { confirm_sent_ = answered; }
  State state() const { return state_; }
  Term term() const { return term_; }
  const std::string& name() const { return own_node_; }  // of its node, once that is known
  const std::string& predecessor() const { return predecessor_; }
  const std::string& id() const { return id_; }

  friend bool operator==(const Claim&, const Claim&) = default;
  // All that decides what it does next, as text: for the explorer, which must not go the same way twice.
  // Tickets are left out; an answer is told by whether it is still awaited.
  void Print(std::string* out) const;
  bool IsPending(std::uint64_t ticket) const { return ticket == ticket_; }

 private:
  void ListClaims(Actions* out);
  void RequestConfirm(Moment now, Actions* out);
  void EndOwnership(EndReason reason, Actions* out);
  void ResetIdentity();
  std::uint64_t Request(Action::Kind kind, const std::string& name, Actions* out);
  void WakeAt(Moment at, Actions* out);
  void RetryLater(Moment now, Actions* out);  // the same again, a little later

  ClaimSettings settings_;
  State state_ = State::kDisconnected;
  bool connected_ = false;  // a connection is up
  Session session_ = 0;
  std::string id_ = settings_.id;  // of this session: another session's node must not pass for ours
  int sessions_ = 0;
  std::string own_node_, predecessor_;
  Term term_ = 0;
  bool begin_reported_ = false;  // kBegin was said, and no kEnd since
  Moment confirm_sent_{};        // when the confirming request was sent that is out
  bool confirm_in_flight_ = false;
  Moment act_until_{};
  Moment confirm_at_{};
  Moment cooldown_until_{};
  Moment retry_at_{};
  std::uint64_t ticket_ = 0;
};

}  // namespace umberdyke::owner

#endif  // UMBERDYKE_OWNER_CLAIM_H_

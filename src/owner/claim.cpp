// The state machine of the leader election, see claim.h.
#include "owner/claim.h"

#include <algorithm>
#include <utility>

namespace umberdyke::owner {
namespace {

using namespace std::chrono_literals;

constexpr Moment kRetryDelay = 100ms;   // after a failed call on a live connection
constexpr int kConfirmsPerSession = 4;  // confirm requests per session timeout
constexpr size_t kMaxDigits = 18;

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= 40 && std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == '.';
  });
}

}  // namespace

std::optional<ClaimName> ReadClaimName(std::string_view name) {
  if (!name.starts_with("c-")) return std::nullopt;
  const size_t dash = name.rfind('-');
  if (dash < 3 || dash + 1 >= name.size()) return std::nullopt;
  const std::string_view digits = name.substr(dash + 1);
  if (digits.size() < 10 || digits.size() > kMaxDigits) return std::nullopt;
  ClaimName claim{std::string(name.substr(2, dash - 2)), 0};
  if (!IsValidId(claim.id)) return std::nullopt;
  for (const char c : digits) {
    if (c < '0' || c > '9') return std::nullopt;
    claim.number = claim.number * 10 + (c - '0');
  }
  return claim;
}

std::string ClaimPrefix(std::string_view id) { return "c-" + std::string(id) + "-"; }

std::string_view EndReasonText(EndReason reason) {
  switch (reason) {
    case EndReason::kResigned:
      return "it resigned";
    case EndReason::kLost:
      return "its claim has gone";
    case EndReason::kExpired:
      return "its session has expired";
    case EndReason::kUnconfirmed:
      return "the service has not confirmed it in time";
  }
  return "";
}

std::uint64_t Claim::Request(Action::Kind kind, const std::string& name, Actions* out) {
  Action action{kind, ++ticket_, name, 0, EndReason::kLost, {}};
  out->push_back(std::move(action));
  return ticket_;
}

void Claim::WakeAt(Moment at, Actions* out) {
  out->push_back({Action::Kind::kWake, 0, "", 0, EndReason::kLost, at});
}

void Claim::ListClaims(Actions* out) {
  state_ = State::kListing;
  predecessor_.clear();
  Request(Action::Kind::kList, "", out);
}

void Claim::RetryLater(Moment now, Actions* out) {
  retry_at_ = now + kRetryDelay;
  WakeAt(retry_at_, out);
}

void Claim::EndOwnership(EndReason reason, Actions* out) {
  if (!std::exchange(begin_reported_, false)) return;
  out->push_back({Action::Kind::kEnd, 0, own_node_, term_, reason, {}});
}

// A new id per session: a node that the old session still holds will be deleted with that session.
void Claim::ResetIdentity() {
  ++sessions_;
  id_ = settings_.id + "." + std::to_string(sessions_);
  own_node_.clear();
  predecessor_.clear();
  term_ = 0;
  act_until_ = {};
  confirm_in_flight_ = false;
}

void Claim::OnConnected(Moment now, Session session, Moment granted, Actions* out) {
  connected_ = true;
  if (granted > Moment(0)) settings_.session_timeout = granted;
  if (session_ != 0 && session != session_) {  // the old one expired without a report
    EndOwnership(EndReason::kExpired, out);
    ResetIdentity();
    state_ = State::kDisconnected;
  }
  session_ = session;
  confirm_in_flight_ = false;
  if (now < cooldown_until_ && own_node_.empty()) {
    state_ = State::kCoolingDown;
    return WakeAt(cooldown_until_, out);
  }
  if (state_ == State::kResigning) {
    Request(Action::Kind::kRemove, own_node_, out);
    return;
  }
  // An owner continues until its lease ends, but checks at once that its node still exists.
  if (state_ == State::kOwning) return RequestConfirm(now, out);
  // If the response to a create was lost, the list shows the node by the id in its name.
  ListClaims(out);
}

void Claim::OnDisconnected(Moment now, Actions* out) {
  connected_ = false;
  confirm_in_flight_ = false;
  ++ticket_;  // ignore responses to requests in flight
  if (state_ == State::kOwning) return WakeAt(std::max(now, act_until_), out);
  if (state_ != State::kResigning) state_ = State::kDisconnected;
}

void Claim::OnSessionExpired(Moment /*now*/, Actions* out) {
  connected_ = false;
  ++ticket_;
  EndOwnership(EndReason::kExpired, out);
  session_ = 0;
  ResetIdentity();
  state_ = State::kDisconnected;
}

void Claim::OnListed(Moment now, std::uint64_t ticket, CallResult result,
                     const std::vector<std::string>& names, Actions* out) {
  if (ticket != ticket_ || state_ != State::kListing) return;
  if (result == CallResult::kUnknown) return;  // retried on the next connection
  if (result != CallResult::kOk) return RetryLater(now, out);
  std::vector<std::pair<std::int64_t, const std::string*>> claims;
  std::vector<const std::string*> own_claims;
  for (const std::string& name : names) {
    const auto claim = ReadClaimName(name);
    if (!claim) continue;  // not a claim; left to garbage collection
    claims.emplace_back(claim->number, &name);
    if (claim->id == id_) own_claims.push_back(&name);
  }
  std::sort(claims.begin(), claims.end());
  if (own_claims.empty()) {
    own_node_.clear();
    if (now < cooldown_until_) {
      state_ = State::kCoolingDown;
      return WakeAt(cooldown_until_, out);
    }
    state_ = State::kCreating;
    Request(Action::Kind::kCreate, ClaimPrefix(id_), out);
    return;
  }
  const auto at = std::find_if(claims.begin(), claims.end(),
                               [&](const auto& c) { return ReadClaimName(*c.second)->id == id_; });
  own_node_ = *at->second;
  if (now < cooldown_until_) {  // it resigned while the create was in flight
    state_ = State::kResigning;
    Request(Action::Kind::kRemove, own_node_, out);
    return;
  }
  // A create that was taken for lost succeeded late. Keep only the claim with the lowest number.
  for (const std::string* extra : own_claims) {
    if (*extra != own_node_) out->push_back({Action::Kind::kRemove, 0, *extra, 0, EndReason::kLost, {}});
  }
  if (at == claims.begin()) {
    state_ = State::kReading;
    Request(Action::Kind::kRead, own_node_, out);
    return;
  }
  predecessor_ = *std::prev(at)->second;
  state_ = State::kWatching;
  Request(Action::Kind::kWatch, predecessor_, out);
}

void Claim::OnCreated(Moment now, std::uint64_t ticket, CallResult result, Actions* out) {
  if (ticket != ticket_ || state_ != State::kCreating) return;
  if (result == CallResult::kUnknown) return;
  if (result == CallResult::kOk) return ListClaims(out);
  state_ = State::kListing;  // the folder is missing or not writable: retry
  RetryLater(now, out);
}

void Claim::OnWatched(Moment now, std::uint64_t ticket, CallResult result, Actions* out) {
  if (ticket != ticket_ || state_ != State::kWatching) return;
  if (result == CallResult::kUnknown || result == CallResult::kOk) return;
  if (result == CallResult::kAbsent) return ListClaims(out);  // deleted since the list was read
  state_ = State::kListing;
  RetryLater(now, out);
}

void Claim::OnNodeDeleted(Moment now, std::string_view name, Actions* out) {
  if (state_ == State::kWatching && name == predecessor_) return ListClaims(out);
  if (name != own_node_ || own_node_.empty()) return;
  if (state_ == State::kOwning) RequestConfirm(now, out);
}

void Claim::OnRead(Moment now, std::uint64_t ticket, CallResult result, Term created, Session owner,
                   Actions* out) {
  if (ticket != ticket_ || state_ != State::kReading) return;
  if (result == CallResult::kUnknown) return;
  if (result == CallResult::kAbsent || (result == CallResult::kOk && owner != session_)) {
    ResetIdentity();  // the node is missing or belongs to another session: not this claim
    return ListClaims(out);
  }
  if (result != CallResult::kOk || created <= 0) {
    state_ = State::kListing;
    return RetryLater(now, out);
  }
  term_ = created;
  state_ = State::kConfirming;
  RequestConfirm(now, out);
}

void Claim::RequestConfirm(Moment now, Actions* out) {
  if (!connected_ || confirm_in_flight_) return;
  confirm_sent_ = now;
  confirm_in_flight_ = true;
  Request(Action::Kind::kConfirm, own_node_, out);
}

void Claim::OnConfirmed(Moment now, std::uint64_t ticket, CallResult result, Actions* out) {
  if (ticket != ticket_ || !confirm_in_flight_) return;
  if (state_ != State::kConfirming && state_ != State::kOwning) return;
  confirm_in_flight_ = false;
  if (result == CallResult::kUnknown) return;
  if (result == CallResult::kAbsent) {
    EndOwnership(EndReason::kLost, out);
    ResetIdentity();
    return ListClaims(out);
  }
  if (result != CallResult::kOk) {
    confirm_at_ = now + kRetryDelay;
    return WakeAt(confirm_at_, out);
  }
  // The service received the request after `confirm_sent_`, so the session lives at least its timeout from
  // there.
  act_until_ = std::max(act_until_, confirm_sent_ + settings_.session_timeout - settings_.clock_margin);
  confirm_at_ = confirm_sent_ + settings_.session_timeout / kConfirmsPerSession;
  if (now < act_until_) {
    state_ = State::kOwning;
    if (!std::exchange(begin_reported_, true))
      out->push_back({Action::Kind::kBegin, 0, own_node_, term_, EndReason::kLost, {}});
  } else {
    confirm_at_ = now;  // the response came after the lease had ended
  }
  WakeAt(std::max(now, std::min(confirm_at_, act_until_)), out);
}

void Claim::Tick(Moment now, Actions* out) {
  switch (state_) {
    case State::kCoolingDown:
      if (now < cooldown_until_) return WakeAt(cooldown_until_, out);
      if (connected_) ListClaims(out);
      return;
    case State::kListing:
      if (connected_ && retry_at_ > Moment(0) && now >= retry_at_) {
        retry_at_ = {};
        ListClaims(out);
      }
      return;
    case State::kResigning:
      if (connected_ && retry_at_ > Moment(0) && now >= retry_at_) {
        retry_at_ = {};
        Request(Action::Kind::kRemove, own_node_, out);
      }
      return;
    case State::kConfirming:
    case State::kOwning:
      if (state_ == State::kOwning && now >= act_until_) {
        // It may still be the owner, but no effect may begin until the service confirms it.
        EndOwnership(EndReason::kUnconfirmed, out);
        state_ = connected_ ? State::kConfirming : State::kDisconnected;
      }
      if (connected_ && !confirm_in_flight_ && now >= confirm_at_) RequestConfirm(now, out);
      if (state_ == State::kOwning) {
        WakeAt(confirm_in_flight_ || !connected_ ? act_until_ : std::min(confirm_at_, act_until_), out);
      }
      return;
    default:
      return;
  }
}

void Claim::Print(std::string* out) const {
  for (const std::int64_t number :
       {static_cast<std::int64_t>(state_), std::int64_t{connected_}, session_, std::int64_t{sessions_}, term_,
        std::int64_t{begin_reported_}, std::int64_t{confirm_in_flight_},
        confirm_in_flight_ ? confirm_sent_.count() : 0, act_until_.count(), confirm_at_.count(),
        cooldown_until_.count(), retry_at_.count()}) {
    out->append(std::to_string(number)).push_back(',');
  }
  out->append(own_node_).push_back(',');
  out->append(predecessor_).push_back(';');
}

void Claim::Resign(Moment now, Actions* out) {
  cooldown_until_ = now + settings_.resign_cooldown;
  if (state_ == State::kDisconnected || state_ == State::kResigning) return;
  EndOwnership(EndReason::kResigned, out);
  act_until_ = {};
  confirm_in_flight_ = false;
  if (own_node_.empty()) {
    // A create may be in flight: its node shows up in the next list and is removed then.
    if (state_ == State::kCoolingDown || state_ == State::kListing) {
      state_ = State::kCoolingDown;
      ++ticket_;
      return WakeAt(cooldown_until_, out);
    }
    return;
  }
  state_ = State::kResigning;
  Request(Action::Kind::kRemove, own_node_, out);
}

void Claim::OnRemoved(Moment now, std::uint64_t ticket, CallResult result, Actions* out) {
  if (ticket != ticket_ || state_ != State::kResigning) return;
  if (result == CallResult::kUnknown) return;  // retried on the next connection
  if (result == CallResult::kRefused) return RetryLater(now, out);
  ResetIdentity();
  state_ = State::kCoolingDown;
  WakeAt(cooldown_until_, out);
}

}  // namespace umberdyke::owner

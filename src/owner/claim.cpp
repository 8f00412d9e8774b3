#include "owner/claim.h"

#include <algorithm>
#include <utility>

namespace umberdyke::owner {
namespace {

using namespace std::chrono_literals;

constexpr Moment kAgain = 100ms;  // after a call that failed, on a connection that stands
constexpr int kConfirmsEach = 4;  // confirmations in a session's time
constexpr size_t kMostDigits = 18;

bool Plain(std::string_view id) {
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
  if (digits.size() < 10 || digits.size() > kMostDigits) return std::nullopt;
  ClaimName read{std::string(name.substr(2, dash - 2)), 0};
  if (!Plain(read.id)) return std::nullopt;
  for (const char c : digits) {
    if (c < '0' || c > '9') return std::nullopt;
    read.number = read.number * 10 + (c - '0');
  }
  return read;
}

std::string ClaimPrefix(std::string_view id) { return "c-" + std::string(id) + "-"; }

std::string_view WhyText(Why why) {
  switch (why) {
    case Why::kResigned:
      return "it resigned";
    case Why::kLost:
      return "its claim has gone";
    case Why::kExpired:
      return "its session has expired";
    case Why::kUnconfirmed:
      return "the service has not confirmed it in time";
  }
  return "";
}

std::uint64_t Claim::Ask(Action::Kind kind, const std::string& name, Actions* out) {
  Action action{kind, ++ticket_, name, 0, Why::kLost, {}};
  out->push_back(std::move(action));
  return ticket_;
}

void Claim::WakeAt(Moment at, Actions* out) {
  out->push_back({Action::Kind::kWake, 0, "", 0, Why::kLost, at});
}

void Claim::Look(Actions* out) {
  state_ = State::kLooking;
  before_.clear();
  Ask(Action::Kind::kList, "", out);
}

void Claim::Try(Moment now, Actions* out) {
  retry_at_ = now + kAgain;
  WakeAt(retry_at_, out);
}

void Claim::End(Why why, Actions* out) {
  if (!std::exchange(begun_, false)) return;
  out->push_back({Action::Kind::kEnd, 0, own_, term_, why, {}});
}

// Names of one session must not pass for those of the next: a node that its old session still holds will go.
void Claim::NewId() {
  ++lives_;
  id_ = settings_.id + "." + std::to_string(lives_);
  own_.clear();
  before_.clear();
  term_ = 0;
  act_until_ = {};
  confirm_out_ = false;
}

void Claim::Opened(Moment now, Session session, Moment granted, Actions* out) {
  open_ = true;
  if (granted > Moment(0)) settings_.session = granted;
  if (session_ != 0 && session != session_) {  // the old one ran out unheard
    End(Why::kExpired, out);
    NewId();
    state_ = State::kAway;
  }
  session_ = session;
  confirm_out_ = false;
  if (now < rest_until_ && own_.empty()) {
    state_ = State::kResting;
    return WakeAt(rest_until_, out);
  }
  if (state_ == State::kLeaving) {
    Ask(Action::Kind::kRemove, own_, out);
    return;
  }
  // An owner goes on while its time lasts; whether its node still stands is asked at once.
  if (state_ == State::kOwning) return Confirm(now, out);
  // A creation whose answer was lost shows in the list, by the id in its name.
  Look(out);
}

void Claim::Interrupted(Moment now, Actions* out) {
  open_ = false;
  confirm_out_ = false;
  ++ticket_;  // answers that were out come no more
  if (state_ == State::kOwning) return WakeAt(std::max(now, act_until_), out);
  if (state_ != State::kLeaving) state_ = State::kAway;
}

void Claim::Expired(Moment /*now*/, Actions* out) {
  open_ = false;
  ++ticket_;
  End(Why::kExpired, out);
  session_ = 0;
  NewId();
  state_ = State::kAway;
}

void Claim::Listed(Moment now, std::uint64_t ticket, Told told, const std::vector<std::string>& names,
                   Actions* out) {
  if (ticket != ticket_ || state_ != State::kLooking) return;
  if (told == Told::kUnknown) return;  // the next connection looks again
  if (told != Told::kOk) return Try(now, out);
  std::vector<std::pair<std::int64_t, const std::string*>> claims;
  std::vector<const std::string*> mine;
  for (const std::string& name : names) {
    const auto read = ReadClaimName(name);
    if (!read) continue;  // nobody's claim: tidying's concern
    claims.emplace_back(read->number, &name);
    if (read->id == id_) mine.push_back(&name);
  }
  std::sort(claims.begin(), claims.end());
  if (mine.empty()) {
    own_.clear();
    if (now < rest_until_) {
      state_ = State::kResting;
      return WakeAt(rest_until_, out);
    }
    state_ = State::kCreating;
    Ask(Action::Kind::kCreate, ClaimPrefix(id_), out);
    return;
  }
  const auto at = std::find_if(claims.begin(), claims.end(),
                               [&](const auto& c) { return ReadClaimName(*c.second)->id == id_; });
  own_ = *at->second;
  if (now < rest_until_) {  // it resigned while this was being made
    state_ = State::kLeaving;
    Ask(Action::Kind::kRemove, own_, out);
    return;
  }
  // A creation that was believed lost, and came through late: one claim is enough. The lowest stays.
  for (const std::string* extra : mine) {
    if (*extra != own_) out->push_back({Action::Kind::kRemove, 0, *extra, 0, Why::kLost, {}});
  }
  if (at == claims.begin()) {
    state_ = State::kReading;
    Ask(Action::Kind::kRead, own_, out);
    return;
  }
  before_ = *std::prev(at)->second;
  state_ = State::kWatching;
  Ask(Action::Kind::kWatch, before_, out);
}

void Claim::Created(Moment now, std::uint64_t ticket, Told told, Actions* out) {
  if (ticket != ticket_ || state_ != State::kCreating) return;
  if (told == Told::kUnknown) return;
  if (told == Told::kOk) return Look(out);
  state_ = State::kLooking;  // the folder is not there, or not ours to write: asked again
  Try(now, out);
}

void Claim::Watched(Moment now, std::uint64_t ticket, Told told, Actions* out) {
  if (ticket != ticket_ || state_ != State::kWatching) return;
  if (told == Told::kUnknown || told == Told::kOk) return;
  if (told == Told::kAbsent) return Look(out);  // it went in between
  state_ = State::kLooking;
  Try(now, out);
}

void Claim::Gone(Moment now, std::string_view name, Actions* out) {
  if (state_ == State::kWatching && name == before_) return Look(out);
  if (name != own_ || own_.empty()) return;
  if (state_ == State::kOwning) Confirm(now, out);
}

void Claim::Read(Moment now, std::uint64_t ticket, Told told, Term created, Session owner, Actions* out) {
  if (ticket != ticket_ || state_ != State::kReading) return;
  if (told == Told::kUnknown) return;
  if (told == Told::kAbsent || (told == Told::kOk && owner != session_)) {
    NewId();  // another session's node under our name, or none: no claim of ours
    return Look(out);
  }
  if (told != Told::kOk || created <= 0) {
    state_ = State::kLooking;
    return Try(now, out);
  }
  term_ = created;
  state_ = State::kConfirming;
  Confirm(now, out);
}

void Claim::Confirm(Moment now, Actions* out) {
  if (!open_ || confirm_out_) return;
  asked_ = now;
  confirm_out_ = true;
  Ask(Action::Kind::kConfirm, own_, out);
}

void Claim::Confirmed(Moment now, std::uint64_t ticket, Told told, Actions* out) {
  if (ticket != ticket_ || !confirm_out_) return;
  if (state_ != State::kConfirming && state_ != State::kOwning) return;
  confirm_out_ = false;
  if (told == Told::kUnknown) return;
  if (told == Told::kAbsent) {
    End(Why::kLost, out);
    NewId();
    return Look(out);
  }
  if (told != Told::kOk) {
    confirm_at_ = now + kAgain;
    return WakeAt(confirm_at_, out);
  }
  // The service heard of the session after `asked_`, so it lets the session live for that long from then on.
  act_until_ = std::max(act_until_, asked_ + settings_.session - settings_.margin);
  confirm_at_ = asked_ + settings_.session / kConfirmsEach;
  if (now < act_until_) {
    state_ = State::kOwning;
    if (!std::exchange(begun_, true)) out->push_back({Action::Kind::kBegin, 0, own_, term_, Why::kLost, {}});
  } else {
    confirm_at_ = now;  // the answer came too late to be worth anything
  }
  WakeAt(std::max(now, std::min(confirm_at_, act_until_)), out);
}

void Claim::Tick(Moment now, Actions* out) {
  switch (state_) {
    case State::kResting:
      if (now < rest_until_) return WakeAt(rest_until_, out);
      if (open_) Look(out);
      return;
    case State::kLooking:
      if (open_ && retry_at_ > Moment(0) && now >= retry_at_) {
        retry_at_ = {};
        Look(out);
      }
      return;
    case State::kLeaving:
      if (open_ && retry_at_ > Moment(0) && now >= retry_at_) {
        retry_at_ = {};
        Ask(Action::Kind::kRemove, own_, out);
      }
      return;
    case State::kConfirming:
    case State::kOwning:
      if (state_ == State::kOwning && now >= act_until_) {
        // It may still be the owner, and knows nothing of it: no effect begins until it is confirmed.
        End(Why::kUnconfirmed, out);
        state_ = open_ ? State::kConfirming : State::kAway;
      }
      if (open_ && !confirm_out_ && now >= confirm_at_) Confirm(now, out);
      if (state_ == State::kOwning) {
        WakeAt(confirm_out_ || !open_ ? act_until_ : std::min(confirm_at_, act_until_), out);
      }
      return;
    default:
      return;
  }
}

void Claim::Print(std::string* out) const {
  for (const std::int64_t number :
       {static_cast<std::int64_t>(state_), std::int64_t{open_}, session_, std::int64_t{lives_}, term_,
        std::int64_t{begun_}, std::int64_t{confirm_out_}, confirm_out_ ? asked_.count() : 0,
        act_until_.count(), confirm_at_.count(), rest_until_.count(), retry_at_.count()}) {
    out->append(std::to_string(number)).push_back(',');
  }
  out->append(own_).push_back(',');
  out->append(before_).push_back(';');
}

void Claim::Resign(Moment now, Actions* out) {
  rest_until_ = now + settings_.rest;
  if (state_ == State::kAway || state_ == State::kLeaving) return;
  End(Why::kResigned, out);
  act_until_ = {};
  confirm_out_ = false;
  if (own_.empty()) {
    // A creation may be out: what it made shows in the list, and is removed from there.
    if (state_ == State::kResting || state_ == State::kLooking) {
      state_ = State::kResting;
      ++ticket_;
      return WakeAt(rest_until_, out);
    }
    return;
  }
  state_ = State::kLeaving;
  Ask(Action::Kind::kRemove, own_, out);
}

void Claim::Removed(Moment now, std::uint64_t ticket, Told told, Actions* out) {
  if (ticket != ticket_ || state_ != State::kLeaving) return;
  if (told == Told::kUnknown) return;  // asked again on the next connection
  if (told == Told::kRefused) return Try(now, out);
  NewId();
  state_ = State::kResting;
  WakeAt(rest_until_, out);
}

}  // namespace umberdyke::owner

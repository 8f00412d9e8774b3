#include "edge/edge_connection.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A client that sends nothing, or no whole request, has its answer or its end within 3 s of connecting.
constexpr Span kSlowest = 2500ms;         // for the whole of a request: from the connect or first byte
constexpr Span kLongestWrite = 10s;       // for a client to read an answer; longer than any waits for one
constexpr Span kLinger = 400ms;           // for the other side to read the last answer and close
constexpr Span kFirstRequest = 400ms;     // a new connection brings a request by then, or is spared first
constexpr size_t kMostAhead = 16 * 1024;  // input kept for later while a request is out

}  // namespace

EdgeConnection::EdgeConnection(Loop& loop, EdgeOwner& owner)
    : loop_(loop), owner_(owner), stream_(loop, this), patience_(loop, [this] { Late(); }) {}

bool EdgeConnection::Accept(Listener& listener) {
  if (!stream_.Accept(listener.raw())) return false;
  stream_.Read();
  patience_.Start(kSlowest);
  return true;
}

bool EdgeConnection::silent() const {
  return !answered_ && state_ == State::kReading && Clock::now() - rested_ > kFirstRequest;
}

void EdgeConnection::OnData(std::string_view bytes) {
  if (state_ == State::kLingering) return;
  input_.append(bytes);
  if (state_ == State::kReading) {
    Advance();
  } else if (input_.size() > kMostAhead) {
    stream_.Pause();
  }
}

void EdgeConnection::Advance() {
  if (state_ != State::kReading || !stream_.open() || input_.empty()) return;
  const bool had_begun = parser_.begun();
  size_t used = 0;
  const Parsed parsed = parser_.Feed(input_, &used);
  input_.erase(0, used);
  if (parsed == Parsed::kMore) {
    if (!had_begun && parser_.begun() && answered_) patience_.Start(kSlowest);
    return;
  }
  patience_.Stop();
  state_ = State::kBusy;
  if (parsed == Parsed::kComplete) {
    owner_.OnRequest(*this, parser_.Take());
  } else {
    closing_ = true;
    owner_.OnBadInput(*this, parsed);
  }
}

void EdgeConnection::Answer(std::string bytes, bool keep_alive) {
  if (!stream_.open()) return;
  closing_ = closing_ || !keep_alive;
  state_ = State::kWriting;
  const Stream::Wrote wrote = stream_.Write(std::move(bytes));
  if (wrote == Stream::Wrote::kAll) {
    Finish();
  } else if (wrote == Stream::Wrote::kLater) {
    patience_.Start(kLongestWrite);
  } else if (wrote == Stream::Wrote::kBroken) {
    loop_.Post(alive_, [this] {
      if (stream_.open()) owner_.OnGone(*this);
    });
  }
}

void EdgeConnection::OnWritten(bool ok) {
  if (!ok) return owner_.OnGone(*this);
  Finish();
}

// A connection that is closed with input unread would take its last answer along: it lingers instead.
void EdgeConnection::Finish() {
  patience_.Stop();
  stream_.Read();
  answered_ = true;
  rested_ = Clock::now();
  if (closing_) {
    state_ = State::kLingering;
    input_.clear();
    stream_.EndSending();
    patience_.Start(kLinger);
    return;
  }
  state_ = State::kReading;
  if (!input_.empty()) {
    loop_.Post(alive_, [this] { Advance(); });
  } else {
    owner_.OnRested();
  }
}

void EdgeConnection::CloseWhenIdle() {
  if (idle()) return owner_.OnGone(*this);
  closing_ = true;
}

void EdgeConnection::Late() {
  if (state_ == State::kLingering || state_ == State::kWriting) return owner_.OnGone(*this);
  if (state_ != State::kReading) return;
  if (idle()) return owner_.OnGone(*this);  // it never asked for anything
  state_ = State::kBusy;
  closing_ = true;
  owner_.OnSlowInput(*this);
}

}  // namespace umberdyke::net

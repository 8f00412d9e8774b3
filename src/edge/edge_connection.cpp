#include "edge/edge_connection.h"

#include <algorithm>
#include <utility>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A client that sends nothing, or no whole request, has its answer or its end within 3 s of connecting.
constexpr Span kSlowest = 2500ms;         // for a head: from the connect or first byte
constexpr Span kBodyBegins = 1500ms;      // for a body, and more for each byte of it that has come
constexpr double kSlowestRate = 32'000;   // bytes a second: half of what the slowest clients do
constexpr Span kMostCredit = 2500ms;      // but never more than this at once
constexpr Span kLongestWrite = 10s;       // for a client to read some of an answer
constexpr Span kLinger = 400ms;           // for the other side to read the last answer and close
constexpr Span kLingerLong = 2s;          // where it is still sending a body that nobody wants
constexpr Span kFirstRequest = 400ms;     // a connection brings something by then, or is spared first
constexpr Span kLookAgain = 40ms;         // for the close of a connection that is not read
constexpr size_t kMostAhead = 16 * 1024;  // input kept for later while a request is out

}  // namespace

EdgeConnection::EdgeConnection(Loop& loop, EdgeOwner& owner, StreamingBufferLimit& passing)
    : loop_(loop), owner_(owner), passing_(passing), stream_(loop, this), patience_(loop, [this] {
        Late();
      }) {
  parser_.StreamLongBodies();
}

EdgeConnection::~EdgeConnection() { EndPassing(); }

void EdgeConnection::EndPassing() {
  if (std::exchange(taking_, false)) passing_.EndTransfer();
  if (std::exchange(answering_, false)) passing_.EndTransfer();
}

bool EdgeConnection::Accept(Listener& listener) {
  if (!stream_.Accept(listener)) return false;
  stream_.Read();
  patience_.Start(kSlowest);
  return true;
}

bool EdgeConnection::first_request_overdue() const {
  return !answered_ && state_ == State::kReading && Clock::now() - rested_ > kFirstRequest;
}

void EdgeConnection::OnData(std::string_view bytes) {
  if (state_ == State::kLingering) return;
  rested_ = Clock::now();
  input_.append(bytes);
  if (state_ == State::kReading || state_ == State::kTaking) {
    Advance();
  } else if (input_.size() > kMostAhead) {
    PauseReading();
  }
}

// The request that is out, or its body, waits while more has come than is read: a close behind that would go
// unread as well, and is looked for.
bool EdgeConnection::NotRead() const {
  if (state_ == State::kTaking) return body_.size() >= passing_.window();
  return state_ == State::kBusy && input_.size() > kMostAhead;
}

void EdgeConnection::PauseReading() {
  stream_.Pause();
  if (NotRead()) patience_.Start(kLookAgain);
}

void EdgeConnection::Advance() {
  const bool takes = state_ == State::kReading || state_ == State::kTaking;
  if (!takes || !stream_.open() || input_.empty()) return;
  const bool had_begun = parser_.message_started();
  const bool had_head = parser_.head_complete();
  size_t used = 0;
  const ParseResult parsed = parser_.Feed(input_, &used);
  input_.erase(0, used);
  if (parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete) {
    if (state_ == State::kTaking || parser_.is_streaming()) return TakeMore(parsed);
  }
  if (parsed == ParseResult::kIncomplete) {
    if (parser_.head_complete() && !had_head) {
      slowest_ = Clock::now() + kBodyBegins;
      if (parser_.message().Find("Expect") != nullptr) Continue();
    }
    if (parser_.head_complete()) {
      Credit(used);
    } else if (!had_begun && parser_.message_started() && answered_) {
      patience_.Start(kSlowest);
    }
    if (rests_no_more_ && idle() && stream_.ReadWouldBlock()) Linger(kLinger);
    return;
  }
  input_.erase(0, std::min(input_.find_first_not_of("\r\n"), input_.size()));  // belongs to no request
  patience_.Stop();
  waited_ = false;
  state_ = State::kBusy;
  if (parsed == ParseResult::kComplete) {
    owner_.OnRequest(*this, parser_.Take());
  } else {
    closing_ = true;
    owner_.OnInvalidRequest(*this, parsed);
  }
}

// A long body: what one read gave is kept until it is taken, and no more is read over a window.
void EdgeConnection::TakeMore(ParseResult parsed) {
  const bool first = state_ != State::kTaking;
  const size_t before = body_.size();
  Message head;
  if (first) {
    head = parser_.TakeHead();
    if (slowest_ < Clock::now()) slowest_ = Clock::now() + kBodyBegins;
    state_ = State::kTaking;
    taking_ = true;
    passing_.BeginTransfer();
    stream_.LimitUnsentBytes();
  }
  body_ += parser_.TakeBodyPart();
  if (parsed == ParseResult::kComplete) {
    body_whole_ = true;
    patience_.Stop();
    parser_.Take();
    state_ = State::kBusy;
  } else if (NotRead()) {
    PauseReading();  // it is not the client that waits
  } else {
    Credit(body_.size() - before);
  }
  if (!first) return owner_.OnBodyData(*this);
  const bool wants_continue = head.Find("Expect") != nullptr;
  owner_.OnStreamingRequest(*this, std::move(head));
  if (wants_continue && state_ == State::kTaking && stream_.open()) Continue();
}

// What comes puts the end of patience off, by the time that the slowest may take for it.
void EdgeConnection::Credit(size_t bytes) {
  const auto more = std::chrono::duration<double>(static_cast<double>(bytes) / kSlowestRate);
  const Time now = Clock::now();
  slowest_ = std::min(std::max(slowest_, now) + std::chrono::duration_cast<Span>(more), now + kMostCredit);
  patience_.Start(slowest_ - now);
}

// A client that asks first gets its answer before the body that it holds back.
void EdgeConnection::Continue() {
  if (!std::exchange(continued_, true)) stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string EdgeConnection::TakeBody() {
  std::string taken = std::exchange(body_, {});
  if (state_ == State::kTaking && !taken.empty()) {
    slowest_ = std::max(slowest_, Clock::now() + kBodyBegins);
    Credit(0);
    stream_.Read();
  }
  return taken;
}

bool EdgeConnection::Write(std::string bytes) {
  const Stream::WriteResult wrote = stream_.Write(std::move(bytes));
  if (wrote == Stream::WriteResult::kQueued) {
    unwritten_ = stream_.unwritten();
    patience_.Start(kLongestWrite);
  } else if (wrote == Stream::WriteResult::kFailed) {
    loop_.Post(alive_, [this] {
      if (stream_.open()) owner_.OnClosed(*this);
    });
  }
  return wrote == Stream::WriteResult::kWritten;
}

void EdgeConnection::SendResponse(std::string bytes, bool keep_alive) {
  if (!stream_.open()) return;
  closing_ = closing_ || !keep_alive || state_ == State::kTaking;
  state_ = State::kWriting;
  if (Write(std::move(bytes))) Finish();
}

bool EdgeConnection::BeginResponse(std::string head, const Framing& framing, bool keep_alive) {
  if (!stream_.open()) return false;
  closing_ = closing_ || !keep_alive;
  state_ = State::kWriting;
  patience_.Stop();
  framing_ = framing;
  answering_ = true;
  passing_.BeginTransfer();
  stream_.LimitUnsentBytes();
  return Write(std::move(head));
}

bool EdgeConnection::SendResponseData(std::string piece) {
  if (!stream_.open()) return false;
  Write(WriteBodyPart(std::move(piece), framing_));
  return stream_.unwritten() < passing_.window();
}

void EdgeConnection::EndResponse() {
  if (!stream_.open()) return;
  ending_ = true;
  const std::string last = WriteBodyEnd(framing_);
  if (!last.empty()) Write(last);
  if (stream_.unwritten() == 0) Finish();
}

void EdgeConnection::AbortResponse() {
  const bool tells_end = framing_.chunked || framing_.content_length;
  if (!tells_end) stream_.Reset();
  owner_.OnClosed(*this);
}

void EdgeConnection::OnWritten(bool ok) {
  if (!ok) return owner_.OnClosed(*this);
  if (state_ != State::kWriting) return;
  if (stream_.unwritten() > 0) {
    patience_.Start(kLongestWrite);
  } else if (!answering_ || ending_) {
    return Finish();
  } else {
    patience_.Stop();
  }
  if (answering_ && !ending_ && stream_.unwritten() < passing_.window()) owner_.OnWritable(*this);
}

// A connection that is closed with input unread would take its last answer along: it lingers instead.
void EdgeConnection::Finish() {
  patience_.Stop();
  stream_.Read();
  answered_ = true;
  rested_ = Clock::now();
  const bool unwanted = taking_ && !body_whole_;
  EndPassing();
  ending_ = continued_ = body_whole_ = false;
  body_.clear();
  if (closing_) return Linger(unwanted ? kLingerLong : kLinger);
  state_ = State::kReading;
  if (!input_.empty()) {
    loop_.Post(alive_, [this] { Advance(); });
  } else if (rests_no_more_ && stream_.ReadWouldBlock()) {
    Linger(kLinger);
  } else {
    owner_.OnIdle();
  }
}

// The end of a connection that owes nothing: the other side hears of it and closes. What still comes crosses
// the end, is read so that no reset takes the last answer along, and goes nowhere.
void EdgeConnection::Linger(Span most) {
  state_ = State::kLingering;
  input_.clear();
  stream_.EndSending();
  patience_.Start(most);
}

// After a stall the loop's timers run before it reads: what looks idle may hold a request.
void EdgeConnection::CloseWhenIdle() {
  rests_no_more_ = true;
  if (idle() && stream_.ReadWouldBlock()) Linger(kLinger);
}

void EdgeConnection::Late() {
  if (state_ == State::kLingering) return owner_.OnClosed(*this);
  if (state_ == State::kWriting) {
    const size_t before = std::exchange(unwritten_, stream_.unwritten());
    if (unwritten_ >= before) return owner_.OnClosed(*this);
    return patience_.Start(kLongestWrite);  // slowly, but it reads
  }
  if (NotRead()) return ClientGone() ? owner_.OnClosed(*this) : patience_.Start(kLookAgain);
  if (state_ != State::kReading && state_ != State::kTaking) return;
  // The loop's timers run before it reads: what waits there is looked at first, once.
  if (!stream_.ReadWouldBlock() && !std::exchange(waited_, true)) return patience_.Start(0ms);
  if (idle()) return owner_.OnClosed(*this);  // it never asked for anything
  if (state_ == State::kReading) state_ = State::kBusy;
  closing_ = true;
  owner_.OnRequestTimeout(*this);
}

}  // namespace umberdyke::net

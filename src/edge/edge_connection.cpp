#include "edge/edge_connection.h"

#include <algorithm>
#include <utility>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// A client that sends nothing, or no whole request, has its answer or its end within 3 s of connecting.
constexpr Span kHeadTimeout = 2500ms;             // for a head: from the connect or first byte
constexpr Span kBodyGrace = 1500ms;               // for a body, and more for each byte of it that has come
constexpr double kMinBodyRate = 32'000;           // bytes a second: half of what the slowest clients do
constexpr Span kMaxBodyWait = 2500ms;             // but never more than this at once
constexpr Span kWriteTimeout = 10s;               // for a client to read some of an answer
constexpr Span kLingerTimeout = 400ms;            // for the other side to read the last answer and close
constexpr Span kUnreadBodyLingerTimeout = 2s;     // where it is still sending a body that nobody wants
constexpr Span kFirstRequestTimeout = 400ms;      // a connection brings something by then, or is spared first
constexpr Span kClosePollInterval = 40ms;         // for the close of a connection that is not read
constexpr size_t kMaxPipelinedInput = 16 * 1024;  // input kept for later while a request is out

}  // namespace

EdgeConnection::EdgeConnection(Loop& loop, EdgeOwner& owner, StreamingBufferLimit& buffer_limit)
    : loop_(loop), owner_(owner), buffer_limit_(buffer_limit), stream_(loop, this), timeout_(loop, [this] {
        OnTimeout();
      }) {
  parser_.StreamLongBodies();
}

EdgeConnection::~EdgeConnection() { EndTransfers(); }

void EdgeConnection::EndTransfers() {
  if (std::exchange(request_streaming_, false)) buffer_limit_.EndTransfer();
  if (std::exchange(response_streaming_, false)) buffer_limit_.EndTransfer();
}

bool EdgeConnection::Accept(Listener& listener) {
  if (!stream_.Accept(listener)) return false;
  stream_.Read();
  timeout_.Start(kHeadTimeout);
  return true;
}

bool EdgeConnection::first_request_overdue() const {
  return !has_responded_ && state_ == State::kReading && Clock::now() - last_activity_ > kFirstRequestTimeout;
}

void EdgeConnection::OnData(std::string_view bytes) {
  if (state_ == State::kLingering) return;
  last_activity_ = Clock::now();
  input_.append(bytes);
  if (state_ == State::kReading || state_ == State::kStreamingBody) {
    Advance();
  } else if (input_.size() > kMaxPipelinedInput) {
    PauseReading();
  }
}

// The request that is out, or its body, waits while more has come than is read: a close behind that would go
// unread as well, and is looked for.
bool EdgeConnection::InputBufferFull() const {
  if (state_ == State::kStreamingBody) return body_.size() >= buffer_limit_.window();
  return state_ == State::kAwaitingResponse && input_.size() > kMaxPipelinedInput;
}

void EdgeConnection::PauseReading() {
  stream_.Pause();
  if (InputBufferFull()) timeout_.Start(kClosePollInterval);
}

void EdgeConnection::Advance() {
  const bool takes = state_ == State::kReading || state_ == State::kStreamingBody;
  if (!takes || !stream_.open() || input_.empty()) return;
  const bool had_started = parser_.message_started();
  const bool had_head = parser_.head_complete();
  size_t used = 0;
  const ParseResult parsed = parser_.Feed(input_, &used);
  input_.erase(0, used);
  if (parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete) {
    if (state_ == State::kStreamingBody || parser_.is_streaming()) return ReceiveBody(parsed);
  }
  if (parsed == ParseResult::kIncomplete) {
    if (parser_.head_complete() && !had_head) {
      body_deadline_ = Clock::now() + kBodyGrace;
      if (parser_.message().Find("Expect") != nullptr) SendContinue();
    }
    if (parser_.head_complete()) {
      ExtendBodyDeadline(used);
    } else if (!had_started && parser_.message_started() && has_responded_) {
      timeout_.Start(kHeadTimeout);
    }
    if (close_when_idle_ && idle() && stream_.ReadWouldBlock()) Linger(kLingerTimeout);
    return;
  }
  input_.erase(0, std::min(input_.find_first_not_of("\r\n"), input_.size()));  // belongs to no request
  timeout_.Stop();
  timeout_deferred_ = false;
  state_ = State::kAwaitingResponse;
  if (parsed == ParseResult::kComplete) {
    owner_.OnRequest(*this, parser_.Take());
  } else {
    close_after_response_ = true;
    owner_.OnInvalidRequest(*this, parsed);
  }
}

// A long body: what one read gave is kept until it is taken, and no more is read over a window.
void EdgeConnection::ReceiveBody(ParseResult parsed) {
  const bool first = state_ != State::kStreamingBody;
  const size_t before = body_.size();
  Message head;
  if (first) {
    head = parser_.TakeHead();
    if (body_deadline_ < Clock::now()) body_deadline_ = Clock::now() + kBodyGrace;
    state_ = State::kStreamingBody;
    request_streaming_ = true;
    buffer_limit_.BeginTransfer();
    stream_.LimitUnsentBytes();
  }
  body_ += parser_.TakeBodyPart();
  if (parsed == ParseResult::kComplete) {
    body_received_ = true;
    timeout_.Stop();
    parser_.Take();
    state_ = State::kAwaitingResponse;
  } else if (InputBufferFull()) {
    PauseReading();  // it is not the client that waits
  } else {
    ExtendBodyDeadline(body_.size() - before);
  }
  if (!first) return owner_.OnBodyData(*this);
  const bool wants_continue = head.Find("Expect") != nullptr;
  owner_.OnStreamingRequest(*this, std::move(head));
  if (wants_continue && state_ == State::kStreamingBody && stream_.open()) SendContinue();
}

// What comes puts the end of patience off, by the time that the slowest may take for it.
void EdgeConnection::ExtendBodyDeadline(size_t bytes) {
  const auto more = std::chrono::duration<double>(static_cast<double>(bytes) / kMinBodyRate);
  const Time now = Clock::now();
  body_deadline_ =
      std::min(std::max(body_deadline_, now) + std::chrono::duration_cast<Span>(more), now + kMaxBodyWait);
  timeout_.Start(body_deadline_ - now);
}

// A client that asks first gets its answer before the body that it holds back.
void EdgeConnection::SendContinue() {
  if (!std::exchange(continue_sent_, true)) stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string EdgeConnection::TakeBody() {
  std::string taken = std::exchange(body_, {});
  if (state_ == State::kStreamingBody && !taken.empty()) {
    body_deadline_ = std::max(body_deadline_, Clock::now() + kBodyGrace);
    ExtendBodyDeadline(0);
    stream_.Read();
  }
  return taken;
}

bool EdgeConnection::Write(std::string bytes) {
  const Stream::WriteResult wrote = stream_.Write(std::move(bytes));
  if (wrote == Stream::WriteResult::kQueued) {
    last_unwritten_ = stream_.unwritten();
    timeout_.Start(kWriteTimeout);
  } else if (wrote == Stream::WriteResult::kFailed) {
    loop_.Post(alive_, [this] {
      if (stream_.open()) owner_.OnClosed(*this);
    });
  }
  return wrote == Stream::WriteResult::kWritten;
}

void EdgeConnection::SendResponse(std::string bytes, bool keep_alive) {
  if (!stream_.open()) return;
  close_after_response_ = close_after_response_ || !keep_alive || state_ == State::kStreamingBody;
  state_ = State::kWritingResponse;
  if (Write(std::move(bytes))) FinishResponse();
}

bool EdgeConnection::BeginResponse(std::string head, const Framing& framing, bool keep_alive) {
  if (!stream_.open()) return false;
  close_after_response_ = close_after_response_ || !keep_alive;
  state_ = State::kWritingResponse;
  timeout_.Stop();
  framing_ = framing;
  response_streaming_ = true;
  buffer_limit_.BeginTransfer();
  stream_.LimitUnsentBytes();
  return Write(std::move(head));
}

bool EdgeConnection::SendResponseData(std::string piece) {
  if (!stream_.open()) return false;
  Write(WriteBodyPart(std::move(piece), framing_));
  return stream_.unwritten() < buffer_limit_.window();
}

void EdgeConnection::EndResponse() {
  if (!stream_.open()) return;
  response_ended_ = true;
  const std::string last = WriteBodyEnd(framing_);
  if (!last.empty()) Write(last);
  if (stream_.unwritten() == 0) FinishResponse();
}

void EdgeConnection::AbortResponse() {
  const bool tells_end = framing_.chunked || framing_.content_length;
  if (!tells_end) stream_.Reset();
  owner_.OnClosed(*this);
}

void EdgeConnection::OnWritten(bool ok) {
  if (!ok) return owner_.OnClosed(*this);
  if (state_ != State::kWritingResponse) return;
  if (stream_.unwritten() > 0) {
    timeout_.Start(kWriteTimeout);
  } else if (!response_streaming_ || response_ended_) {
    return FinishResponse();
  } else {
    timeout_.Stop();
  }
  if (response_streaming_ && !response_ended_ && stream_.unwritten() < buffer_limit_.window()) {
    owner_.OnWritable(*this);
  }
}

// A connection that is closed with input unread would take its last answer along: it lingers instead.
void EdgeConnection::FinishResponse() {
  timeout_.Stop();
  stream_.Read();
  has_responded_ = true;
  last_activity_ = Clock::now();
  const bool unwanted = request_streaming_ && !body_received_;
  EndTransfers();
  response_ended_ = continue_sent_ = body_received_ = false;
  body_.clear();
  if (close_after_response_) return Linger(unwanted ? kUnreadBodyLingerTimeout : kLingerTimeout);
  state_ = State::kReading;
  if (!input_.empty()) {
    loop_.Post(alive_, [this] { Advance(); });
  } else if (close_when_idle_ && stream_.ReadWouldBlock()) {
    Linger(kLingerTimeout);
  } else {
    owner_.OnIdle();
  }
}

// The end of a connection that owes nothing: the other side hears of it and closes. What still comes crosses
// the end, is read so that no reset takes the last answer along, and goes nowhere.
void EdgeConnection::Linger(Span timeout) {
  state_ = State::kLingering;
  input_.clear();
  stream_.EndSending();
  timeout_.Start(timeout);
}

// After a stall the loop's timers run before it reads: what looks idle may hold a request.
void EdgeConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (idle() && stream_.ReadWouldBlock()) Linger(kLingerTimeout);
}

void EdgeConnection::OnTimeout() {
  if (state_ == State::kLingering) return owner_.OnClosed(*this);
  if (state_ == State::kWritingResponse) {
    const size_t before = std::exchange(last_unwritten_, stream_.unwritten());
    if (last_unwritten_ >= before) return owner_.OnClosed(*this);
    return timeout_.Start(kWriteTimeout);  // slowly, but it reads
  }
  if (InputBufferFull()) return ClientGone() ? owner_.OnClosed(*this) : timeout_.Start(kClosePollInterval);
  if (state_ != State::kReading && state_ != State::kStreamingBody) return;
  // The loop's timers run before it reads: what waits there is looked at first, once.
  if (!stream_.ReadWouldBlock() && !std::exchange(timeout_deferred_, true)) return timeout_.Start(0ms);
  if (idle()) return owner_.OnClosed(*this);  // it never asked for anything
  if (state_ == State::kReading) state_ = State::kAwaitingResponse;
  close_after_response_ = true;
  owner_.OnRequestTimeout(*this);
}

}  // namespace umberdyke::net

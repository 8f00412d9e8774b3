#include "edge/edge_connection.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// These ensure that a client without a complete request gets a response or a close within 3 s of connecting.
constexpr Span kHeadTimeout = 2500ms;             // for the head, from the connect or its first byte
constexpr Span kBodyGrace = 1500ms;               // for the body, extended with each byte that arrives
constexpr double kMinBodyRate = 32'000;           // bytes per second: half the rate of the slowest clients
constexpr Span kMaxBodyWait = 2500ms;             // upper bound of the extended time, from now
constexpr Span kWriteTimeout = 10s;               // without any progress of a pending write
constexpr Span kLingerTimeout = 400ms;            // for the client to read the last response and close
constexpr Span kUnreadBodyLingerTimeout = 2s;     // likewise, while it still sends an unwanted body
constexpr Span kFirstRequestTimeout = 400ms;      // see first_request_overdue()
constexpr Span kClosePollInterval = 40ms;         // to detect a close while reading is paused
constexpr size_t kMaxPipelinedInput = 16 * 1024;  // buffered while a request is processed
constexpr size_t kReadBytesOverLimit = 1024;      // at a time, while all requests together hold too much
// Requests that one client has sent ahead: so many are parsed before other connections get their turn, and
// after so many in a row only kMaxRequestsInTurn for each kFloodInterval.
constexpr int kMaxRequestsInTurn = 4;
constexpr int kFloodRequests = 256;
constexpr Span kFloodInterval = 1ms;
constexpr size_t kMaxClientSendBuffer = 2'621'440;  // what a client's kernel holds; Linux on loopback
// A client's kernel holds its close back behind bytes for which this one has no space. With less unread than
// this there is space.
constexpr size_t kMinHidingBytes = 32 * 1024;
constexpr Span kMaxHiddenTime = 50ms;           // nothing is sent for clients that have left for 100 ms
constexpr size_t kMaxIdleInputCapacity = 1024;  // kept for the next input

}  // namespace

std::string_view NameOf(EdgeCloseCause cause) {
  switch (cause) {
    case EdgeCloseCause::kClientClosed:
      break;
    case EdgeCloseCause::kWriteFailed:
      return "a response could not be written";
    case EdgeCloseCause::kWriteStalled:
      return "the client did not read its response";
    case EdgeCloseCause::kResponseAborted:
      return "the response broke on its way";
    case EdgeCloseCause::kNoRequest:
      return "no request came";
    case EdgeCloseCause::kShed:
      return "descriptors ran short";
    case EdgeCloseCause::kLingerEnded:
      return "after its last response";
  }
  return "closed by the client";
}

EdgeConnection::EdgeConnection(Loop& loop, EdgeOwner& owner, StreamingBufferLimit& buffer_limit,
                               MessageBufferLimit& request_limit)
    : loop_(loop),
      owner_(owner),
      buffer_limit_(buffer_limit),
      request_limit_(request_limit),
      stream_(loop, this),
      timeout_(loop, [this] { OnTimeout(); }),
      parse_timer_(loop, [this] { ParseNextRequest(); }) {
  parser_.StreamLongBodies();
}

EdgeConnection::~EdgeConnection() {
  Close();
  EndTransfers();
}

void EdgeConnection::Close() {
  timeout_.Stop();
  parse_timer_.Stop();
  stream_.Close();
  UpdateHeldBytes();
  UpdateStreamedBytes();
}

// The owner may drop unfinished requests in turn, also the one of this connection.
void EdgeConnection::UpdateHeldBytes() {
  const size_t before = held_bytes_;
  held_bytes_ = stream_.open() ? input_.capacity() + parser_.HeldBytes() + request_bytes_ : 0;
  if (held_bytes_ == before) return;
  request_limit_.Update(before, held_bytes_);
  if (held_bytes_ > before && request_limit_.exceeded()) owner_.OnRequestBufferLimitExceeded();
}

void EdgeConnection::UpdateStreamedBytes() {
  const size_t before = streamed_bytes_;
  streamed_bytes_ = stream_.open() ? body_bytes_ + stream_.unwritten() : 0;
  buffer_limit_.Update(before, streamed_bytes_);
}

// As long as the kernel holds nothing unread of a body that is not whole, or holds less than is missing by
// more than the client's kernel can hold, the client has not written all of it.
void EdgeConnection::UpdateEarliestBodyEnd() {
  const size_t unread = stream_.UnreadBytes();
  const bool far_from_end =
      body_length_ && *body_length_ > body_received_bytes_ + unread + kMaxClientSendBuffer;
  if (unread == 0) held_back_ = false;
  if (!held_back_ || far_from_end) earliest_body_end_ = Clock::now();
}

void EdgeConnection::NoteVisibleClose() {
  if (stream_.UnreadBytes() < kMinHidingBytes) close_visible_at_ = Clock::now();
}

bool EdgeConnection::MayHideClose() const {
  const bool paused = input_paused_ || body_paused_;
  return paused && stream_.UnreadBytes() >= kMinHidingBytes &&
         Clock::now() - close_visible_at_ > kMaxHiddenTime;
}

// Reading pauses, as the server lags.
void EdgeConnection::HoldBodyBack() {
  UpdateEarliestBodyEnd();
  owner_.OnBodyHeldBack(*this);
}

void EdgeConnection::DropInput() {
  parser_.Take();
  input_ = std::string();
  UpdateHeldBytes();
}

void EdgeConnection::DropUnfinishedRequest() {
  body_unread_ = parser_.head_complete();
  timeout_.Stop();
  state_ = State::kAwaitingResponse;
  close_after_response_ = true;
  DropInput();
}

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
  const bool read_all = bytes.size() < std::min(MaxReadBytes(), loop_.read_buffer().size());
  read_all ? static_cast<void>(close_visible_at_ = last_activity_) : NoteVisibleClose();
  input_.append(bytes);
  if (!parse_pending_) ParseInput();
  if (stream_.open()) ReadUnlessEnoughInput();
  UpdateHeldBytes();
}

size_t EdgeConnection::MaxReadBytes() const {
  if (state_ == State::kStreamingBody) return buffer_limit_.read_size();
  return request_limit_.exceeded() ? kReadBytesOverLimit : std::numeric_limits<size_t>::max();
}

// What is there waits for its turn, or for the answer to the request before it.
bool EdgeConnection::HoldsEnoughInput() const {
  if (state_ == State::kStreamingBody || state_ == State::kLingering) return false;
  return input_.size() > kMaxPipelinedInput || (!input_.empty() && request_limit_.exceeded());
}

void EdgeConnection::ReadUnlessEnoughInput() {
  if (state_ == State::kStreamingBody && InputBufferFull()) return;
  input_paused_ = HoldsEnoughInput();
  input_paused_ ? PauseReading() : stream_.Read();
}

// Requests that have been sent ahead are parsed a few in each turn of the loop, so that a client that sends
// at full speed leaves time for the others.
void EdgeConnection::ParseInputLater() {
  if (std::exchange(parse_pending_, true)) return;
  const auto parse = [this] { ParseNextRequest(); };
  if (++requests_in_turn_ < kMaxRequestsInTurn) return loop_.Post(alive_, parse);
  requests_in_turn_ = 0;
  requests_without_pause_ += kMaxRequestsInTurn;
  const bool floods = requests_without_pause_ >= kFloodRequests && !close_when_idle_;
  if (floods) return parse_timer_.Start(kFloodInterval);
  loop_.PostAfterPoll(alive_, parse);
}

void EdgeConnection::ParseNextRequest() {
  parse_pending_ = false;
  ParseInput();
  if (!stream_.open()) return;
  if (input_.empty()) requests_without_pause_ = 0;
  ReadUnlessEnoughInput();
  UpdateHeldBytes();
}

// While this holds, reading is paused. A close by the client would go unread too, and is polled for instead.
bool EdgeConnection::InputBufferFull() const {
  if (state_ == State::kStreamingBody) return body_bytes_ >= buffer_limit_.read_ahead();
  return state_ == State::kAwaitingResponse && input_paused_;
}

void EdgeConnection::PauseReading() {
  stream_.Pause();
  if (InputBufferFull()) timeout_.Start(kClosePollInterval);
}

void EdgeConnection::ParseInput() {
  const bool reads_input = state_ == State::kReading || state_ == State::kStreamingBody;
  if (!reads_input || !stream_.open() || input_.empty()) return;
  const bool had_started = parser_.message_started();
  const bool had_head = parser_.head_complete();
  size_t consumed = 0;
  const ParseResult parsed = parser_.Feed(input_, &consumed);
  input_.erase(0, consumed);
  if (input_.empty() && input_.capacity() > kMaxIdleInputCapacity) input_ = std::string();
  if (parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete) {
    if (state_ == State::kStreamingBody || parser_.is_streaming()) return ReceiveBody(parsed);
  }
  if (parsed == ParseResult::kIncomplete) {
    if (parser_.head_complete() && !had_head) {
      body_deadline_ = Clock::now() + kBodyGrace;
      if (parser_.message().Find("Expect") != nullptr) SendContinue();
    }
    if (parser_.head_complete()) {
      ExtendBodyDeadline(consumed);
    } else if (!had_started && parser_.message_started() && has_responded_) {
      timeout_.Start(kHeadTimeout);
    }
    if (close_when_idle_ && idle() && stream_.ReadWouldBlock()) Linger(kLingerTimeout);
    return;
  }
  input_.erase(0, std::min(input_.find_first_not_of("\r\n"), input_.size()));  // blank lines between requests
  timeout_.Stop();
  timeout_deferred_ = false;
  state_ = State::kAwaitingResponse;
  if (parsed == ParseResult::kComplete) {
    Message message = parser_.Take();
    request_bytes_ = message.HeldBytes();
    owner_.OnRequest(*this, std::move(message));
  } else {
    close_after_response_ = true;
    owner_.OnInvalidRequest(*this, parsed);
  }
}

// Buffers what one read gave of a streaming body until TakeBody, and pauses reading at a full window.
void EdgeConnection::ReceiveBody(ParseResult parsed) {
  const bool first = state_ != State::kStreamingBody;
  Message head;
  if (first) {
    head = parser_.TakeHead();
    body_length_ = head.content_length;
    body_received_bytes_ = 0;
    held_back_ = body_paused_ = false;
    request_bytes_ = head.HeldBytes();
    if (body_deadline_ < Clock::now()) body_deadline_ = Clock::now() + kBodyGrace;
    state_ = State::kStreamingBody;
    request_streaming_ = true;
    buffer_limit_.BeginTransfer();
    stream_.LimitUnsentBytes();
  }
  const size_t before = body_received_bytes_;
  if (std::string part = parser_.TakeBodyPart(); !part.empty()) {
    body_received_bytes_ += part.size();
    body_bytes_ += part.capacity();
    body_.push_back(std::move(part));
  }
  UpdateStreamedBytes();
  if (parsed == ParseResult::kComplete) {
    if (!held_back_) earliest_body_end_ = Clock::now();
    body_received_ = true;
    timeout_.Stop();
    parser_.Take();
    state_ = State::kAwaitingResponse;
  } else if (UpdateEarliestBodyEnd(); InputBufferFull()) {
    held_back_ = body_paused_ = true;
    PauseReading();  // no timeout: the client is not the slow side
  } else {
    ExtendBodyDeadline(body_received_bytes_ - before);
  }
  if (!first) return owner_.OnBodyData(*this);
  const bool wants_continue = head.Find("Expect") != nullptr;
  owner_.OnStreamingRequest(*this, std::move(head));
  if (wants_continue && state_ == State::kStreamingBody && stream_.open()) SendContinue();
}

// Extends the body deadline by the time that `bytes` take at kMinBodyRate.
void EdgeConnection::ExtendBodyDeadline(size_t bytes) {
  const auto extension = std::chrono::duration<double>(static_cast<double>(bytes) / kMinBodyRate);
  const Time now = Clock::now();
  body_deadline_ = std::min(std::max(body_deadline_, now) + std::chrono::duration_cast<Span>(extension),
                            now + kMaxBodyWait);
  timeout_.Start(body_deadline_ - now);
}

// Answers Expect: 100-continue; the client holds its body back until then.
void EdgeConnection::SendContinue() {
  if (!std::exchange(continue_sent_, true)) stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string EdgeConnection::TakeBody(size_t most) {
  std::string taken;
  while (!body_.empty() && taken.size() < most) {
    std::string& next = body_.front();
    body_bytes_ -= next.capacity();
    taken.empty() ? taken.swap(next) : static_cast<void>(taken.append(next));
    body_.pop_front();
  }
  UpdateStreamedBytes();
  if (state_ == State::kStreamingBody && !taken.empty() && !InputBufferFull()) ResumeBody();
  return taken;
}

void EdgeConnection::ResumeBody() {
  body_paused_ = false;
  body_deadline_ = std::max(body_deadline_, Clock::now() + kBodyGrace);
  ExtendBodyDeadline(0);
  stream_.Read();
}

bool EdgeConnection::Write(std::string bytes) {
  const Stream::WriteResult wrote = stream_.Write(std::move(bytes));
  UpdateStreamedBytes();
  if (wrote == Stream::WriteResult::kQueued) {
    last_unwritten_ = stream_.unwritten();
    timeout_.Start(kWriteTimeout);
  } else if (wrote == Stream::WriteResult::kFailed) {
    loop_.Post(alive_, [this] {
      if (stream_.open()) owner_.OnClosed(*this, EdgeCloseCause::kWriteFailed);
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

bool EdgeConnection::SendResponseData(std::string data) {
  if (!stream_.open()) return false;
  Write(WriteBodyPart(std::move(data), framing_));
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
  // Without framing a regular close would look like the end of the body.
  if (!framing_.marks_end()) stream_.Reset();
  owner_.OnClosed(*this, EdgeCloseCause::kResponseAborted);
}

void EdgeConnection::AbortUnframedResponse() {
  const bool writes_stream = state_ == State::kWritingResponse && response_streaming_;
  if (writes_stream && !framing_.marks_end()) AbortResponse();
}

void EdgeConnection::OnEnd() {
  const bool lingers = state_ == State::kLingering;
  owner_.OnClosed(*this, lingers ? EdgeCloseCause::kLingerEnded : EdgeCloseCause::kClientClosed);
}

void EdgeConnection::OnWritten(bool ok) {
  if (!ok) return owner_.OnClosed(*this, EdgeCloseCause::kWriteFailed);
  UpdateStreamedBytes();
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

// Lingers instead of closing: closing with unread input would send a reset, which may discard the response.
void EdgeConnection::FinishResponse() {
  timeout_.Stop();
  has_responded_ = true;
  last_activity_ = Clock::now();
  const bool unread_body = body_unread_ || (request_streaming_ && !body_received_);
  EndTransfers();
  response_ended_ = continue_sent_ = body_received_ = false;
  body_.clear();
  body_bytes_ = 0;
  UpdateStreamedBytes();
  request_bytes_ = 0;
  UpdateHeldBytes();
  if (close_after_response_) return Linger(unread_body ? kUnreadBodyLingerTimeout : kLingerTimeout);
  state_ = State::kReading;
  ReadUnlessEnoughInput();
  if (!input_.empty()) {
    ParseInputLater();
  } else if (close_when_idle_ && stream_.ReadWouldBlock()) {
    Linger(kLingerTimeout);
  } else {
    owner_.OnIdle();
  }
}

// Shuts down the sending side and waits for the client to close. Input that still arrives is read and
// discarded, because a reset could make the client lose the last response.
void EdgeConnection::Linger(Span timeout) {
  state_ = State::kLingering;
  parse_timer_.Stop();
  DropInput();
  stream_.Read();
  stream_.EndSending();
  timeout_.Start(timeout);
}

// After a stall the loop runs timers before reads: a connection that looks idle may have an unread request.
void EdgeConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (idle() && stream_.ReadWouldBlock()) Linger(kLingerTimeout);
}

void EdgeConnection::OnTimeout() {
  if (state_ == State::kLingering) return owner_.OnClosed(*this, EdgeCloseCause::kLingerEnded);
  if (state_ == State::kWritingResponse) {
    const size_t before = std::exchange(last_unwritten_, stream_.unwritten());
    if (last_unwritten_ >= before) return owner_.OnClosed(*this, EdgeCloseCause::kWriteStalled);
    return timeout_.Start(kWriteTimeout);  // slow, but it makes progress
  }
  if (InputBufferFull()) {
    if (ClientGone()) return owner_.OnClosed(*this, EdgeCloseCause::kClientClosed);
    NoteVisibleClose();
    timeout_.Start(kClosePollInterval);
    if (state_ == State::kStreamingBody) HoldBodyBack();
    return;
  }
  if (state_ == State::kStreamingBody && body_paused_) return ResumeBody();  // others hold less now
  if (state_ != State::kReading && state_ != State::kStreamingBody) return;
  // The loop runs timers before reads: pending input is read first, once.
  if (!stream_.ReadWouldBlock() && !std::exchange(timeout_deferred_, true)) return timeout_.Start(0ms);
  if (idle()) return owner_.OnClosed(*this, EdgeCloseCause::kNoRequest);
  if (state_ == State::kReading) state_ = State::kAwaitingResponse;
  close_after_response_ = true;
  owner_.OnRequestTimeout(*this);
}

}  // namespace umberdyke::net

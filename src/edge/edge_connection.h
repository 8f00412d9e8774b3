// A client's connection: requests in one at a time, each answered once, in order. Short bodies are held
// whole; long ones, of requests and of answers, pass in pieces, and each side is read no faster than the
// other takes it.
#ifndef UMBERDYKE_EDGE_EDGE_CONNECTION_H_
#define UMBERDYKE_EDGE_EDGE_CONNECTION_H_

#include <memory>
#include <string>

#include "http1/http.h"
#include "loop/loop.h"
#include "passing/room.h"

namespace umberdyke::net {

class EdgeConnection;

class EdgeOwner {
 public:
  virtual void OnRequest(EdgeConnection& edge, Message message) = 0;
  // The head of a request whose body is long; it follows by TakeBody.
  virtual void OnStreamingRequest(EdgeConnection& edge, Message head) = 0;
  virtual void OnBodyData(EdgeConnection& edge) = 0;  // more of it has come, or its end
  // More of the answer that is being passed on may be written.
  virtual void OnWritable(EdgeConnection& edge) = 0;
  // The input is no request; one answer is due, after which the connection closes.
  virtual void OnInvalidRequest(EdgeConnection& edge, ParseResult error) = 0;
  virtual void OnRequestTimeout(EdgeConnection& edge) = 0;
  // It has answered and waits for the next request; it may be closed from here.
  virtual void OnIdle() = 0;
  // It is closed, by either side; the owner lets go of it.
  virtual void OnClosed(EdgeConnection& edge) = 0;

 protected:
  ~EdgeOwner() = default;
};

class EdgeConnection : public StreamCallbacks {
 public:
  EdgeConnection(Loop& loop, EdgeOwner& owner, StreamingBufferLimit& buffer_limit);
  ~EdgeConnection();

  bool Accept(Listener& listener);
  // The one answer to the request that is out; while its body is still coming, the connection ends with it.
  void SendResponse(std::string bytes, bool keep_alive);
  // The same in pieces: false where the client lags, then OnWritable follows.
  bool BeginResponse(std::string head, const Framing& framing, bool keep_alive);
  bool SendResponseData(std::string piece);
  void EndResponse();
  // The answer cannot be finished: the client sees that it is not whole.
  void AbortResponse();
  // What has come of a long body and was not taken yet.
  std::string TakeBody();
  bool body_received() const { return body_received_; }
  bool body_consumed() const { return body_received_ && body_.empty(); }  // and taken

  // Closes between requests: now, or once all that has come is answered.
  void CloseWhenIdle();
  // More has come than the request that is out.
  bool HasPipelinedInput() const { return stream_.open() && (!input_.empty() || !stream_.ReadWouldBlock()); }
  // THE word on whether its client has gone, also where that stands behind bytes that nobody has read.
  bool ClientGone() const { return !stream_.open() || stream_.PeerClosed(); }
  // Its time ends with it: what is buried lives on until the loop has run the timers that are due.
  void Close() {
    timeout_.Stop();
    stream_.Close();
  }
  bool idle() const { return state_ == State::kReading && !parser_.message_started() && input_.empty(); }
  // Idle after an answer, so that it may be closed at no cost but a connect.
  bool idle_after_response() const { return has_responded_ && idle(); }
  bool NoUnreadInput() const {
    return stream_.ReadWouldBlock();
  }  // and nothing of a next request waits unread
  // Has brought no whole request though it had the time for it: the first to be closed under pressure.
  bool first_request_overdue() const;
  bool lingering() const { return state_ == State::kLingering; }  // has ended, and waits for the other side
  bool has_started_request() const { return has_responded_ || parser_.message_started(); }
  Time last_activity() const { return last_activity_; }  // since when nothing has come from it
  std::uint64_t flow = 0;                                // the owner's note of the request that is out

 private:
  enum class State { kReading, kStreamingBody, kAwaitingResponse, kWritingResponse, kLingering };

  void OnData(std::string_view bytes) override;
  void OnEnd() override { owner_.OnClosed(*this); }
  void OnWritten(bool ok) override;
  void Advance();
  void ReceiveBody(ParseResult parsed);
  void ExtendBodyDeadline(size_t bytes);
  void SendContinue();
  void EndTransfers();
  void FinishResponse();
  void Linger(Span timeout);
  void PauseReading();
  bool InputBufferFull() const;
  void OnTimeout();
  bool Write(std::string bytes);

  Loop& loop_;
  EdgeOwner& owner_;
  StreamingBufferLimit& buffer_limit_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  State state_ = State::kReading;
  std::string input_;  // what came and is not parsed yet
  std::string body_;   // of a long one, not taken yet
  bool body_received_ = false;
  bool request_streaming_ = false;   // a long body counts among the transfers
  bool response_streaming_ = false;  // and so does a long answer
  bool response_ended_ = false;      // all of which has been given
  bool continue_sent_ = false;
  Framing framing_;
  size_t last_unwritten_ = 0;          // when it was last looked at
  bool close_after_response_ = false;  // with the answer that is due
  bool close_when_idle_ = false;       // and as soon as it has nothing to answer
  bool timeout_deferred_ = false;      // its time was up while bytes waited unread
  bool has_responded_ = false;
  Time last_activity_ = Clock::now();
  Time body_deadline_{};  // for the rest of the request's body
  Timer timeout_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_EDGE_EDGE_CONNECTION_H_

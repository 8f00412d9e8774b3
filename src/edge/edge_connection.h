// A client's connection. Handles one request at a time and sends one response to each, in order. Short bodies
// are buffered whole; long bodies, of requests and responses, are streamed with backpressure in both
// directions.
#ifndef UMBERDYKE_EDGE_EDGE_CONNECTION_H_
#define UMBERDYKE_EDGE_EDGE_CONNECTION_H_

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "http1/http.h"
#include "loop/loop.h"
#include "passing/message_buffer_limit.h"
#include "passing/streaming_buffer_limit.h"

namespace umberdyke::net {

class EdgeConnection;

// Why a client's connection ends.
enum class EdgeCloseCause {
  kClientClosed,     // the client closed it, or it broke
  kWriteFailed,      // a response could not be written
  kWriteStalled,     // the client read nothing of its response for too long
  kResponseAborted,  // the response broke on its way
  kNoRequest,        // no request came
  kShed,             // closed while idle, as descriptors ran short
  kLingerEnded,      // the response was written, and the client has had time to read it
};

// Why it ended, in words for the log.
std::string_view NameOf(EdgeCloseCause cause);

// Receives a connection's events.
class EdgeOwner {
 public:
  virtual void OnRequest(EdgeConnection& edge, Message message) = 0;
  // The head of a request with a streaming body; the body is read by TakeBody.
  virtual void OnStreamingRequest(EdgeConnection& edge, Message head) = 0;
  virtual void OnBodyData(EdgeConnection& edge) = 0;  // more of the body, or its end, has arrived
  // The body is not read on, as the server lags, and the client may have written all of it.
  virtual void OnBodyHeldBack(EdgeConnection& edge) = 0;
  // More of the streaming response may be written.
  virtual void OnWritable(EdgeConnection& edge) = 0;
  // The input is malformed or too long. The owner must send one response, after which the connection closes.
  virtual void OnInvalidRequest(EdgeConnection& edge, ParseResult error) = 0;
  // The request did not arrive in time. The owner must respond as above.
  virtual void OnRequestTimeout(EdgeConnection& edge) = 0;
  // The connection holds more than before, and all together hold more than they may.
  virtual void OnRequestBufferLimitExceeded() = 0;
  // A response is complete and the connection waits for the next request. May be closed inside this call.
  virtual void OnIdle() = 0;
  // The connection is finished or broken; the owner must release it.
  virtual void OnClosed(EdgeConnection& edge, EdgeCloseCause cause) = 0;

 protected:
  ~EdgeOwner() = default;
};

class EdgeConnection : public StreamCallbacks {
 public:
  EdgeConnection(Loop& loop, EdgeOwner& owner, StreamingBufferLimit& buffer_limit,
                 MessageBufferLimit& request_limit);
  ~EdgeConnection();

  // Returns false if no connection could be accepted.
  bool Accept(Listener& listener);
  // Responds to the current request. Closes the connection afterwards if the request body is incomplete.
  void SendResponse(std::string bytes, bool keep_alive);
  // The same as a stream. BeginResponse and SendResponseData return false if the client lags; OnWritable
  // follows.
  bool BeginResponse(std::string head, const Framing& framing, bool keep_alive);
  bool SendResponseData(std::string data);
  void EndResponse();
  // Closes the connection so that the client can tell that the response is incomplete.
  void AbortResponse();
  // The same, if a response is not complete whose end the client could only tell by a regular close, as the
  // kernel does when the process is killed.
  void AbortUnframedResponse();
  // Returns the next bytes of a streaming body that has arrived, about `most` of them; none if all are taken.
  std::string TakeBody(size_t most);
  bool body_received() const { return body_received_; }
  bool body_consumed() const { return body_received_ && body_.empty(); }
  // The client has not written the last byte of the streaming body before this time. It may have since then:
  // what it has written may lie unread in its kernel and in this one's.
  Time earliest_body_end() const { return earliest_body_end_; }

  // The memory that its requests take: unfinished, pipelined, and complete ones until they are answered.
  size_t held_bytes() const { return held_bytes_; }
  size_t unwritten_bytes() const { return stream_.unwritten(); }  // of its responses
  // A request has begun to arrive, and nothing of it has been handed to the owner.
  bool has_unfinished_request() const {
    return state_ == State::kReading && parser_.message_started() && input_.empty();
  }
  // Drops the unfinished request. The owner must send one response, after which the connection closes.
  void DropUnfinishedRequest();

  // Closes the connection between requests: now, or when all received requests are answered.
  void CloseWhenIdle();
  // Whether input beyond the current request has arrived.
  bool HasPipelinedInput() const { return stream_.open() && (!input_.empty() || !stream_.ReadWouldBlock()); }
  // Whether the client has disconnected, even if unread bytes precede its close. No other check is reliable.
  bool ClientGone() const { return !stream_.open() || stream_.PeerClosed(); }
  // Whether the client may have disconnected unseen: so much is unread that its close may lie behind that.
  bool MayHideClose() const;
  // Also stops the timer: after its deferred destruction begins, the loop may still run timers that are due.
  void Close();
  bool idle() const { return state_ == State::kReading && !parser_.message_started() && input_.empty(); }
  // Closing such a connection costs the client no more than a reconnect.
  bool idle_after_response() const { return has_responded_ && idle(); }
  bool NoUnreadInput() const { return stream_.ReadWouldBlock(); }  // nor an unread close by the client
  // No complete request so far and no input for kFirstRequestTimeout: shed before others under pressure.
  bool first_request_overdue() const;
  bool lingering() const { return state_ == State::kLingering; }  // closing; waits for the client to close
  bool has_started_request() const { return has_responded_ || parser_.message_started(); }
  Time last_activity() const { return last_activity_; }  // last input or completed response
  std::uint64_t flow = 0;                                // set by the owner: id of the current flow, or 0

 private:
  enum class State { kReading, kStreamingBody, kAwaitingResponse, kWritingResponse, kLingering };

  void OnData(std::string_view bytes) override;
  void OnEnd() override;
  void OnWritten(bool ok) override;
  void ParseInput();
  void ParseInputLater();
  void ParseNextRequest();
  size_t MaxReadBytes() const override;
  bool HoldsEnoughInput() const;
  void ReadUnlessEnoughInput();
  void UpdateHeldBytes();
  void UpdateStreamedBytes();
  void UpdateEarliestBodyEnd();
  void NoteVisibleClose();
  void HoldBodyBack();
  void ResumeBody();
  void DropInput();
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
  MessageBufferLimit& request_limit_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  State state_ = State::kReading;
  std::string input_;                         // not parsed yet
  std::list<std::string> body_;               // of a streaming request, until TakeBody
  size_t body_bytes_ = 0;                     // memory that body_ takes
  std::uint64_t body_received_bytes_ = 0;     // of the streaming request so far
  std::optional<std::uint64_t> body_length_;  // as announced
  size_t streamed_bytes_ = 0;                 // as last counted in buffer_limit_
  size_t request_bytes_ = 0;                  // of the complete request, until it is answered
  size_t held_bytes_ = 0;                     // as last counted in request_limit_
  bool body_received_ = false;
  bool request_streaming_ = false;   // counted as a transfer in buffer_limit_
  bool response_streaming_ = false;  // likewise
  bool response_ended_ = false;      // EndResponse was called
  bool continue_sent_ = false;
  bool input_paused_ = false;       // enough pipelined input is buffered
  bool parse_pending_ = false;      // ParseNextRequest will be called
  int requests_in_turn_ = 0;        // parsed from buffered input since the loop last polled
  int requests_without_pause_ = 0;  // parsed from buffered input since that was last empty
  bool body_unread_ = false;        // the client may still send the body of a dropped request
  Framing framing_;
  size_t last_unwritten_ = 0;          // at the last check for write progress
  bool close_after_response_ = false;  // after the current response
  bool close_when_idle_ = false;       // as soon as no request is pending
  bool timeout_deferred_ = false;      // the timeout fired while input was unread
  bool has_responded_ = false;
  Time last_activity_ = Clock::now();
  Time close_visible_at_ = Clock::now();  // when a close by the client would last have been seen
  Time body_deadline_{};                  // for the rest of the request body
  bool body_paused_ = false;              // the body is not read
  bool held_back_ = false;                // reading of the body has paused, and not caught up since
  Time earliest_body_end_{};
  Timer timeout_;
  Timer parse_timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_EDGE_EDGE_CONNECTION_H_

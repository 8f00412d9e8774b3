// Pooled HTTP/1.1 connections to the real servers and the exchanges on them. An exchange sends one request
// and receives one response; this class never retries a request.
#ifndef UMBERDYKE_SERVER_REAL_SERVER_H_
#define UMBERDYKE_SERVER_REAL_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "counters/counters.h"
#include "http1/http.h"
#include "log/log.h"
#include "loop/loop.h"
#include "membership/server_list.h"
#include "passing/message_buffer_limit.h"
#include "passing/streaming_buffer_limit.h"
#include "server/connection.h"
#include "server/idle_connections.h"

namespace umberdyke::net {

using ExchangeId = std::uint64_t;

// What an exchange was doing when it ended, for the log.
enum class ExchangePhase {
  kUnassigned,    // it had no connection
  kConnecting,    // its connection was being opened
  kAwaitingRest,  // its connection still rested after its last response
  kSending,       // part of the request was not written
  kAwaitingHead,  // the request was written; the response had no complete head
  kAwaitingBody,  // the head of the response had arrived, nothing of its body
  kReceiving,     // part of the body had arrived
};

// How an exchange used its connection, for the log.
struct ConnectionUse {
  std::uint64_t connection = 0;    // numbered from the start of the process; 0: the exchange had none
  bool reused = false;             // the connection has carried other exchanges
  Span idle{};                     // since the last exchange on it
  int responses = 0;               // that it has carried before
  std::optional<Span> first_byte;  // from the last byte of the request to the first of the response
  ExchangePhase phase = ExchangePhase::kUnassigned;  // at its end
  size_t sent_bytes = 0;                             // of the request, written or waiting to be written
  size_t received_bytes = 0;                         // of the response, and what came with it
};

// What is left of an exchange that was cancelled.
struct CancelledExchange {
  bool written = false;  // the complete request had been written
  ConnectionUse use;
};

struct ExchangeResult {
  enum class Code {
    kResponse,      // a complete response, or only its head (streamed body, or a long body that is not read)
    kNotConnected,  // connect failed, or the connection broke or was answered before the request was written
    kReset,         // the connection broke after the request was written, or a streamed response failed
    kMalformed,     // the response is malformed, too long, or stalled before it was complete
    kTimedOut,      // the request was written, but no complete response arrived in time
    kNotSent,       // no free connection, make_request returned nothing, or send_by has passed
  };
  Code code;
  Message response;  // without its body where the body was streamed
  // Up to the complete response, or up to the first body bytes of a streamed response. Starts at the call of
  // Start, or at the last request byte where the request body was streamed.
  Span latency{};
  ConnectionUse use;
};

// Callbacks of an exchange. All except make_request and on_done may be empty.
struct ExchangeEvents {
  // Returns the text of the request, or nothing to cancel it. Called right before the first byte is written;
  // `left` is the time that remains for the response.
  std::function<std::optional<std::string>(Span left)> make_request;
  std::function<void()> on_written;  // the last byte of the request is written
  // Streaming request body: the head or a part of the body is written, and there is buffer space for more.
  std::function<void()> on_buffer_space;
  // Whether a response that is short so far may be streamed before it is complete. Without it, it may.
  std::function<bool()> may_stream_response;
  // Streaming response with status 200: the head, then the body in parts. Whoever receives it sees to its
  // end. Without on_response_head, and for other statuses, a response that is too long to buffer ends the
  // exchange with its head.
  std::function<void(const Message& head)> on_response_head;
  std::function<void(std::string part)> on_response_body;
  // Called once, except after Cancel, and never from inside Start. The connection is closed or idle by then.
  std::function<void(ExchangeResult)> on_done;
};

class RealServers : public ServerConnectionOwner {
 public:
  struct Limits {
    std::chrono::microseconds connect_timeout;
    std::chrono::microseconds idle_timeout;  // real servers close connections that are idle for this long
    int max_connections;
  };

  RealServers(Loop& loop, const Limits& limits, StreamingBufferLimit& streaming_limit,
              MessageBufferLimit& response_limit, Counters& counters, log::Log& log);
  ~RealServers();

  // Starts an exchange on an idle connection, or on a new one. The exchange ends with kNotSent or kReset
  // where the last byte of the request is not written by `send_by`; streaming request bodies ignore
  // `send_by`.
  ExchangeId Start(ServerId server, const Address& address, Span timeout, Time send_by, ExchangeEvents events,
                   bool streams_request = false);
  // Writes the next part of a streaming request body, of at most BufferSpace bytes or a little more.
  void SendBody(ExchangeId exchange, std::string bytes);
  size_t BufferSpace(ExchangeId exchange) const;
  // Ends a streaming request body. `timeout` for the response starts once the last byte is written.
  void EndBody(ExchangeId exchange, Span timeout);
  // Backpressure for a streaming response: stops and restarts reading from the real server.
  void PauseResponse(ExchangeId exchange);
  void ResumeResponse(ExchangeId exchange);
  // Gives up on the response of an exchange, which ends with kReset as if its connection had broken. A
  // streaming response has no time limit of its own.
  void Break(ExchangeId exchange);
  // Closes the exchange's connection; on_done is not called. Returns nothing for an exchange that has already
  // ended.
  std::optional<CancelledExchange> Cancel(ExchangeId exchange);
  // Closes the idle connections to `server`.
  void CloseIdle(ServerId server);
  // Closes idle connections that are close to the idle timeout. Call it about once a second.
  void CloseExpired();
  bool IsWritten(ExchangeId id) const;  // the last byte of the request is written
  // Sets the connection limit and closes idle connections above it.
  void SetMaxConnections(int max_connections);
  int open_connections() const { return open_connections_; }

 private:
  void Assign(ServerExchange& exchange, ServerId server, const Address& address);
  void Reassign(ServerExchange& exchange);
  void OpenConnection(ServerExchange& exchange, ServerId server, const Address& address);
  void Reuse(ServerExchange& exchange);
  std::unique_ptr<ServerConnection> Connect(ServerId server, const Address& address);
  void OpenSpare(ServerId server, const Address& address);
  void OnSpareConnected(ServerConnection& connection, bool success);
  ServerExchange* FindAwaitingRest(const ServerConnection& spare);
  void ReleaseConnection(ServerExchange& exchange);
  static ExchangePhase PhaseOf(const ServerExchange& exchange);
  static ConnectionUse UseOf(const ServerExchange& exchange);
  void SendRequest(ServerExchange& exchange);
  void ArmTimer(ServerExchange& exchange, Time limit);
  void OnRequestWritten(ServerExchange& exchange);
  void OnResponseProgress(ServerConnection& connection, ParseResult parsed);
  void FinishResponse(ServerConnection& connection);
  void EndLater(ExchangeId id, ExchangeResult::Code code);
  void ArmResponseTimer(ServerExchange& exchange);
  bool MayHoldResponse(const ServerExchange& exchange) const;
  void EndHold(ServerExchange& exchange);
  bool BeginStreaming(ServerConnection& connection);
  void UpdateBufferedBytes(ServerExchange& exchange, size_t bytes);
  void UpdateUnwrittenBytes(ServerExchange& exchange, size_t bytes);
  void ReleaseBufferSpace(ServerExchange& exchange);
  void LogSurplusBytes(const ServerConnection& connection, size_t bytes, std::string_view when);
  void OnConnected(ServerConnection& connection, bool success) override;
  void OnData(ServerConnection& connection, std::string_view bytes) override;
  void OnEnd(ServerConnection& connection) override;
  void OnWritten(ServerConnection& connection, bool success) override;
  void OnTimeout(ExchangeId id);
  void End(ServerExchange& exchange, ExchangeResult::Code code, Message response = {});
  bool CloseOldestIdle();
  void Destroy(std::unique_ptr<ServerConnection> connection);

  Loop& loop_;
  Limits limits_;
  StreamingBufferLimit& streaming_limit_;
  MessageBufferLimit& response_limit_;
  Counters& counters_;
  log::Log& log_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  int open_connections_ = 0;
  ExchangeId last_id_ = 0;
  std::uint64_t last_connection_ = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<ServerExchange>> exchanges_;
  IdleConnections idle_;
  std::unordered_map<ServerId, std::unique_ptr<ServerConnection>> spares_;  // connecting, for no exchange yet
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_REAL_SERVER_H_

// Connections to the real servers, kept warm between requests, and the exchanges on them: one request out,
// one whole response back. Nothing here sends a request a second time.
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
#include "loop/loop.h"
#include "membership/server_list.h"
#include "passing/room.h"

namespace umberdyke::net {

using ExchangeId = std::uint64_t;

struct ExchangeResult {
  enum class Code {
    kResponse,
    kNotConnected,  // refused, never up, or broken before the request's last byte was written
    kReset,         // broken after that
    kMalformed,     // the response made no sense, or is not the one that was asked for
    kTimedOut,      // no whole response in time, though the request was written
    kNotSent,       // every descriptor is in use, nobody wants it any more, or it is too late to send it
  };
  Code code;
  Message response;  // without a body where it was told in pieces
  Span latency{};    // of a long response: to its first bytes; of a body that was streams_request: from its
                     // last byte on
};

// What the one that starts an exchange is asked and told. All but request and done may be empty.
struct ExchangeEvents {
  // The request's text, asked for right before its first byte goes out, with the time that is left for its
  // response by then; nothing where it is not to be sent any more.
  std::function<std::optional<std::string>(Span left)> make_request;
  std::function<void()> on_written;  // the request's last byte is written
  // A body that is streams_request: its head is out, or has_body of it is, and there is room for more.
  std::function<void()> on_buffer_space;
  // A long response of 200: its head, then its body in pieces. Without this, a long response is spoilt.
  std::function<void(const Message& head)> on_response_head;
  std::function<void(std::string piece)> on_response_body;
  // Follows in any case but Cancel, never from inside Start; the connection is closed or at rest by then.
  std::function<void(ExchangeResult)> on_done;
};

class RealServers {
 public:
  struct Limits {
    std::chrono::microseconds connect_timeout;
    std::chrono::microseconds idle_timeout;  // real servers close what stood idle for this long
    int max_connections;
  };

  RealServers(Loop& loop, const Limits& limits, StreamingBufferLimit& streaming_limit, Counters& counters);
  ~RealServers();

  // The request's last byte is written by `send_by`, or never; a body that is streams_request knows no such
  // time.
  ExchangeId Start(ServerId server, const Address& address, Span timeout, Time send_by, ExchangeEvents events,
                   bool streams_request = false);
  // More of the request's body, where it is streams_request; `room` says when. The time-out runs from its
  // end.
  void SendBody(ExchangeId exchange, std::string bytes);
  bool HasBufferSpace(ExchangeId exchange) const;
  void EndBody(ExchangeId exchange, Span timeout);
  // The long response's reader lags, or has caught up.
  void PauseResponse(ExchangeId exchange);
  void ResumeResponse(ExchangeId exchange);
  // Closes the exchange's connection; `done` does not follow. Says whether the request had been written
  // whole; nothing for an exchange that is over.
  std::optional<bool> Cancel(ExchangeId exchange);
  void CloseIdle(ServerId server);
  // Closes connections near the end of their idle time.
  void CloseExpired();
  bool IsWritten(ExchangeId id) const;  // the request's last byte is written
  // From now on so many connections at limit; those at rest over that close.
  void SetMaxConnections(int descriptors);
  int open_connections() const { return open_connections_; }

 private:
  struct Connection;
  struct Exchange;

  void SendRequest(Exchange& exchange);
  void ArmTimer(Exchange& exchange, Time limit);
  void OnRequestWritten(Exchange& exchange);
  void OnResponseProgress(Connection& connection, ParseResult parsed);
  void FinishResponse(Connection& connection);
  void EndLater(ExchangeId id, ExchangeResult::Code code);
  void ArmResponseTimer(Exchange& exchange);
  void ReleaseBufferSpace(const Exchange& exchange);
  void OnConnected(Connection& connection, bool success);
  void OnData(Connection& connection, std::string_view bytes);
  void OnEnd(Connection& connection);
  void OnWritten(Connection& connection, bool success);
  void OnTimeout(ExchangeId id);
  void End(Exchange& exchange, ExchangeResult::Code code, Message response = {});
  std::unique_ptr<Connection> TakeIdle(ServerId server, const Address& address);
  bool CloseOldestIdle();
  void Destroy(std::unique_ptr<Connection> connection);
  bool WithinIdleTimeout(const Connection& connection) const;

  Loop& loop_;
  Limits limits_;
  StreamingBufferLimit& streaming_limit_;
  Counters& counters_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  int open_connections_ = 0;
  std::optional<Time> last_excess_data_;  // when a server last sent more than its response
  ExchangeId last_id_ = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<ServerId, std::vector<std::unique_ptr<Connection>>> idle_;  // newest last
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_REAL_SERVER_H_

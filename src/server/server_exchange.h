// The state of one exchange with a real server: its request, what of its response has arrived, its times.
// RealServers alone uses it.
#ifndef UMBERDYKE_SERVER_SERVER_EXCHANGE_H_
#define UMBERDYKE_SERVER_SERVER_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "http1/http.h"
#include "loop/loop.h"
#include "server/connection.h"
#include "server/real_server.h"

namespace umberdyke::net {

// Limit without progress for a streaming request body.
constexpr Span kStreamStallTimeout = std::chrono::seconds(10);

// What of an exchange's response has arrived, which decides how long the next part is waited for.
enum class ResponseProgress {
  kNone,          // nothing
  kBuffered,      // a part, which is buffered until the response is complete
  kHeld,          // the same, of a response without a length or a long one: for kResponseHoldTime at most
  kWholeAwaited,  // the same, until the exchange's time is over: it must not be streamed while it is short
  kBodyAwaited,   // the head of a response without a length that was held in vain: its body will be streamed
  kStreamed,      // the head and part of the body have been passed on
};

struct ServerExchange {
  ServerExchange(Loop& loop, ExchangeId i, const std::function<void(ExchangeId)>& on_timeout)
      : id(i), timer(loop, [on_timeout, i] { on_timeout(i); }) {}

  void Close() { timer.Stop(); }
  bool streams_response() const { return response == ResponseProgress::kStreamed; }

  const ExchangeId id;
  ExchangeEvents events;
  ConnectionUse use;
  Time started{};
  Time written_at{};
  Time deadline{};
  Time send_by = Time::max();
  bool connecting = false;
  bool awaiting_rest = false;  // the connection still rests after its last response
  bool written = false;
  bool streams_request = false;        // the request body is streamed
  bool request_body_complete = false;  // EndBody was called
  bool paused = false;                 // PauseResponse was called
  ResponseProgress response = ResponseProgress::kNone;
  size_t buffered_bytes = 0;   // of the response, as last counted in the response limit
  size_t unwritten_bytes = 0;  // of a streaming request, as last counted in the streaming limit
  Span timeout{};              // for the response to a streaming request; starts after the body
  Span latency{};              // of a streamed response
  Message response_head;       // of a streamed response
  std::unique_ptr<ServerConnection> connection;
  Timer timer;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_SERVER_EXCHANGE_H_

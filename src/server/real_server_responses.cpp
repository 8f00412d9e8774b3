// The responses of exchanges: what has arrived of them, how long the rest is waited for, and backpressure.
#include <algorithm>
#include <utility>

#include "server/real_server.h"
#include "server/server_exchange.h"

namespace umberdyke::net {

using Code = ExchangeResult::Code;
using namespace std::chrono_literals;

namespace {

// A buffered response with a longer gap between its parts is malformed.
constexpr Span kResponseStallTimeout = 250ms;
// How long a response of unknown length is buffered, waiting for its end, before it is streamed.
constexpr Span kResponseHoldTime = 100ms;
// Where buffered responses hold too much memory, one with at least so much of its body is streamed.
constexpr size_t kMinBodyStreamedEarly = 4 * 1024;

}  // namespace

void RealServers::PauseResponse(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second->paused) return;
  it->second->paused = true;
  it->second->connection->stream.Pause();
}

void RealServers::ResumeResponse(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || !it->second->paused) return;
  it->second->paused = false;
  it->second->connection->stream.Read();
}

void RealServers::OnData(ServerConnection& connection, std::string_view bytes) {
  ServerExchange* exchange = connection.exchange;
  if (exchange == nullptr || exchange->awaiting_rest) {  // the connection can't be trusted any more
    counters_.Add("answers_behind_answers");
    LogSurplusBytes(connection, bytes.size(), "idle");
    return OnEnd(connection);
  }
  exchange->use.received_bytes += bytes.size();
  if (exchange->written && !exchange->use.first_byte)
    exchange->use.first_byte = Clock::now() - exchange->written_at;
  size_t used = 0;
  const ParseResult parsed = connection.parser.Feed(bytes, &used);
  // Bytes after the response don't belong to it, and later data on this connection can't be trusted.
  if (parsed == ParseResult::kComplete && used < bytes.size()) {
    counters_.Add("answers_with_excess");
    connection.excess_data = true;
    LogSurplusBytes(connection, bytes.size() - used, "behind the response");
  }
  OnResponseProgress(connection, parsed);
}

// Handles the part of a response that has arrived so far, or the complete response.
void RealServers::OnResponseProgress(ServerConnection& connection, ParseResult parsed) {
  ServerExchange* exchange = connection.exchange;
  HttpParser& parser = connection.parser;
  // Before the request is completely written, only an error status for a streaming request body is accepted.
  if (!exchange->written) {
    const int status = parser.message().status;
    const bool refused = exchange->streams_request && parser.head_complete() && status / 100 > 2;
    if (parsed == ParseResult::kIncomplete && !refused && exchange->streams_request) return;
    if (refused && (parsed == ParseResult::kComplete || parsed == ParseResult::kIncomplete)) {
      return End(*exchange, Code::kResponse, parser.TakeHead());
    }
    counters_.Add("answers_unasked");
    LogSurplusBytes(connection, 0, "before the request");
    return End(*exchange, Code::kNotConnected);
  }
  // The server has received the request if it responds.
  if (std::exchange(exchange->send_by, Time::max()) != Time::max()) ArmTimer(*exchange, exchange->deadline);
  if (parsed != ParseResult::kIncomplete && parsed != ParseResult::kComplete) {
    counters_.Add("answers_malformed");
    return End(*exchange, exchange->streams_response() ? Code::kReset : Code::kMalformed);
  }
  UpdateBufferedBytes(*exchange, parser.HeldBytes());
  const bool stream_early =
      response_limit_.exceeded() && parser.message().body.size() >= kMinBodyStreamedEarly;
  if (parsed == ParseResult::kIncomplete && stream_early) parser.StartStreaming();
  const bool body_unwanted = parser.message().status != 200 || !exchange->events.on_response_head;
  const bool ready_to_stream =
      parsed == ParseResult::kComplete || !parser.message().body.empty() || body_unwanted;
  if (parser.is_streaming() && ready_to_stream && !exchange->streams_response()) {
    if (body_unwanted) return End(*exchange, Code::kResponse, parser.TakeHead());
    if (!BeginStreaming(connection)) return;
  }
  if (exchange->streams_response()) {
    connection.max_read_bytes = streaming_limit_.read_size();
    if (std::string part = parser.TakeBodyPart(); !part.empty())
      exchange->events.on_response_body(std::move(part));
    if (connection.exchange != exchange) return;
    UpdateBufferedBytes(*exchange, parser.HeldBytes());
  }
  if (parsed == ParseResult::kComplete) return FinishResponse(connection);
  if (parser.message_started()) return ArmResponseTimer(*exchange);
  exchange->response =
      ResponseProgress::kNone;  // an interim response is complete, the next one has not begun
  ArmTimer(*exchange, exchange->deadline);
}

// Passes on the head of a response whose body will be streamed. The exchange has no time limit from now on:
// its receiver ends it by Break. Returns false if that cancelled the exchange.
bool RealServers::BeginStreaming(ServerConnection& connection) {
  ServerExchange& exchange = *connection.exchange;
  exchange.response = ResponseProgress::kStreamed;
  exchange.timer.Stop();
  exchange.latency = Clock::now() - exchange.started;
  connection.stream.LimitUnsentBytes();
  streaming_limit_.BeginTransfer();
  exchange.response_head = connection.parser.TakeHead();
  exchange.events.on_response_head(exchange.response_head);
  return connection.exchange == &exchange;
}

// Arms the timer for the next part of the response.
void RealServers::ArmResponseTimer(ServerExchange& exchange) {
  switch (exchange.response) {
    case ResponseProgress::kStreamed:      // its receiver ends it
    case ResponseProgress::kHeld:          // further parts do not extend the hold time
    case ResponseProgress::kWholeAwaited:  // nor the exchange's own time
    case ResponseProgress::kBodyAwaited:
      return;
    case ResponseProgress::kNone:
    case ResponseProgress::kBuffered:
      break;
  }
  const bool holds = MayHoldResponse(exchange);
  if (holds && exchange.events.may_stream_response && !exchange.events.may_stream_response()) {
    exchange.response = ResponseProgress::kWholeAwaited;
    return ArmTimer(exchange, exchange.deadline);
  }
  exchange.response = holds ? ResponseProgress::kHeld : ResponseProgress::kBuffered;
  ArmTimer(exchange, Clock::now() + (holds ? kResponseHoldTime : kResponseStallTimeout));
}

// A response that is too long to be buffered, or may be, is streamed if it is not complete soon.
bool RealServers::MayHoldResponse(const ServerExchange& exchange) const {
  const HttpParser& parser = exchange.connection->parser;
  const bool may_be_long =
      parser.head_complete() && (!parser.message().content_length || parser.is_streaming());
  return may_be_long && parser.message().status == 200 && exchange.events.on_response_head;
}

// The response is not complete within its hold time: streams it. The head of a long one is passed on without
// its body, which may begin much later. One without a length that has no body yet may still be short: the
// time of the exchange goes on as if nothing had arrived.
void RealServers::EndHold(ServerExchange& exchange) {
  ServerConnection& connection = *exchange.connection;
  const bool is_long = connection.parser.is_streaming();
  exchange.response = ResponseProgress::kBodyAwaited;
  connection.parser.StartStreaming();
  if (!connection.parser.message().body.empty())
    return OnResponseProgress(connection, ParseResult::kIncomplete);
  if (is_long) return static_cast<void>(BeginStreaming(connection));
  counters_.Add("answers_without_body_yet");
  ArmTimer(exchange, exchange.deadline);
}

void RealServers::LogSurplusBytes(const ServerConnection& connection, size_t bytes, std::string_view when) {
  const std::string server = PrintAddress(connection.address);
  const auto after =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - connection.idle_since).count();
  log_.Say(log::Event::kSurplusBytes,
           "server " + server + " sent " + std::to_string(bytes) + " bytes " + std::string(when) +
               ", after " + std::to_string(connection.responses) + " responses on connection " +
               std::to_string(connection.id),
           {{"server", server},
            {"connection", static_cast<std::int64_t>(connection.id)},
            {"bytes", static_cast<std::int64_t>(bytes)},
            {"responses", std::int64_t{connection.responses}},
            {"after_us", std::int64_t{after}},
            {"when", std::string(when)}});
}

void RealServers::FinishResponse(ServerConnection& connection) {
  ServerExchange& exchange = *connection.exchange;
  ++connection.responses;
  Message response = connection.parser.Take();
  if (exchange.streams_response()) response = std::move(exchange.response_head);
  if (exchange.paused) connection.stream.Read();  // the next exchange on it is read at once
  if (response.keep_alive && !connection.excess_data) idle_.Add(std::move(exchange.connection));
  End(exchange, Code::kResponse, std::move(response));
}

void RealServers::UpdateUnwrittenBytes(ServerExchange& exchange, size_t bytes) {
  streaming_limit_.Update(std::exchange(exchange.unwritten_bytes, bytes), bytes);
}

void RealServers::UpdateBufferedBytes(ServerExchange& exchange, size_t bytes) {
  response_limit_.Update(std::exchange(exchange.buffered_bytes, bytes), bytes);
}

}  // namespace umberdyke::net

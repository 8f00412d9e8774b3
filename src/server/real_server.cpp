#include "server/real_server.h"

#include <algorithm>
#include <cstring>

#include "server/server_exchange.h"

namespace umberdyke::net {

using Code = ExchangeResult::Code;
using namespace std::chrono_literals;

namespace {

// A spare connection that is not established by then is given up. Slow networks need over a second.
constexpr Span kSpareConnectTimeout = 2s;

}  // namespace

RealServers::RealServers(Loop& loop, const Limits& limits, StreamingBufferLimit& streaming_limit,
                         MessageBufferLimit& response_limit, Counters& counters, log::Log& log)
    : loop_(loop),
      limits_(limits),
      streaming_limit_(streaming_limit),
      response_limit_(response_limit),
      counters_(counters),
      log_(log),
      idle_(limits.idle_timeout,
            [this](std::unique_ptr<ServerConnection> connection) { Destroy(std::move(connection)); }) {}

RealServers::~RealServers() = default;

ExchangeId RealServers::Start(ServerId server, const Address& address, Span timeout, Time send_by,
                              ExchangeEvents events, bool streams_request) {
  const ExchangeId id = ++last_id_;
  ServerExchange& exchange = *(exchanges_[id] = std::make_unique<ServerExchange>(
                                   loop_, id, [this](ExchangeId timed_out) { OnTimeout(timed_out); }));
  exchange.events = std::move(events);
  exchange.streams_request = streams_request;
  if (streams_request) streaming_limit_.BeginTransfer();
  exchange.started = Clock::now();
  exchange.deadline = exchange.started + timeout;
  if (!streams_request) exchange.send_by = send_by;
  Assign(exchange, server, address);
  return id;
}

// Gives the exchange an idle connection or a new one.
void RealServers::Assign(ServerExchange& exchange, ServerId server, const Address& address) {
  exchange.connection = idle_.Take(server, address);
  if (exchange.connection == nullptr) return OpenConnection(exchange, server, address);
  exchange.connection->exchange = &exchange;
  const Span rest_left = idle_.RestLeft(*exchange.connection);
  if (rest_left == Span::zero()) return Reuse(exchange);
  counters_.Add("connections_awaited");
  exchange.awaiting_rest = true;
  ArmTimer(exchange, Clock::now() + rest_left);
  OpenSpare(server, address);
}

// Opens a connection that the next exchange that waits for a rested one gets. One at a time for each server.
void RealServers::OpenSpare(ServerId server, const Address& address) {
  if (open_connections_ >= limits_.max_connections || spares_.contains(server)) return;
  std::unique_ptr<ServerConnection> spare = Connect(server, address);
  if (spare != nullptr) spares_.emplace(server, std::move(spare));
}

void RealServers::OnSpareConnected(ServerConnection& connection, bool success) {
  const auto it = spares_.find(connection.server);
  if (!INVARIANT(it != spares_.end() && it->second.get() == &connection, counters_)) return;
  std::unique_ptr<ServerConnection> spare = std::move(it->second);
  spares_.erase(it);
  if (!success) return Destroy(std::move(spare));
  spare->stream.Read();
  ServerExchange* exchange = FindAwaitingRest(*spare);
  if (exchange == nullptr) return idle_.Add(std::move(spare));
  idle_.PutBack(std::exchange(exchange->connection, std::move(spare)));
  exchange->connection->exchange = exchange;
  exchange->awaiting_rest = false;
  exchange->use.connection = exchange->connection->id;
  SendRequest(*exchange);
}

ServerExchange* RealServers::FindAwaitingRest(const ServerConnection& spare) {
  const auto it = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const auto& entry) {
    return entry.second->awaiting_rest && entry.second->connection->server == spare.server &&
           std::memcmp(&entry.second->connection->address, &spare.address, sizeof spare.address) == 0;
  });
  return it == exchanges_.end() ? nullptr : it->second.get();
}

// Returns null without a socket, for example because descriptors ran out.
std::unique_ptr<ServerConnection> RealServers::Connect(ServerId server, const Address& address) {
  counters_.Add("connections_opened");
  ++open_connections_;
  auto connection = std::make_unique<ServerConnection>(loop_, *this, ++last_connection_, server, address);
  connection->idle_since = Clock::now();
  if (connection->stream.Connect(address)) return connection;
  Destroy(std::move(connection));
  return nullptr;
}

void RealServers::Reuse(ServerExchange& exchange) {
  const ServerConnection& connection = *exchange.connection;
  exchange.awaiting_rest = false;
  exchange.use.connection = connection.id;
  exchange.use.reused = true;
  exchange.use.idle = Clock::now() - connection.idle_since;
  exchange.use.responses = connection.responses;
  counters_.Add("connections_reused");
  SendRequest(exchange);
}

// The connection that the exchange waited for has ended, or can't be trusted any more.
void RealServers::Reassign(ServerExchange& exchange) {
  const ServerId server = exchange.connection->server;
  const Address address = exchange.connection->address;
  Destroy(std::move(exchange.connection));
  exchange.awaiting_rest = false;
  Assign(exchange, server, address);
}

void RealServers::OpenConnection(ServerExchange& exchange, ServerId server, const Address& address) {
  if (open_connections_ >= limits_.max_connections && !CloseOldestIdle()) {
    counters_.Add("connections_no_room");
    return EndLater(exchange.id, Code::kNotSent);
  }
  exchange.connection = Connect(server, address);
  if (exchange.connection == nullptr) {  // the real server is not to blame
    counters_.Add("connections_no_room");
    CloseOldestIdle();
    return EndLater(exchange.id, Code::kNotSent);
  }
  exchange.connection->exchange = &exchange;
  exchange.use.connection = exchange.connection->id;
  exchange.connecting = true;
  ArmTimer(exchange, Clock::now() + limits_.connect_timeout);
}

// Arms the timer for `limit`, but no later than the deadline of the exchange and its send_by time.
void RealServers::ArmTimer(ServerExchange& exchange, Time limit) {
  const Time deadline = std::min({limit, exchange.deadline, exchange.send_by});
  exchange.timer.Start(std::max<Span>(deadline - Clock::now(), Span::zero()));
}

// Builds the request only now: while the connection was opened, the server list may have changed, the client
// may have left, and part of the timeout has passed.
void RealServers::SendRequest(ServerExchange& exchange) {
  const Time now = Clock::now();
  std::optional<std::string> request;
  if (now < exchange.send_by)
    request = exchange.events.make_request(std::max<Span>(exchange.deadline - now, 0ms));
  if (!request) return EndLater(exchange.id, Code::kNotSent);
  // What is there already can't be the response, and whatever follows can't be told from it.
  if (!exchange.connection->stream.ReadWouldBlock()) {
    if (!exchange.connection->stream.PeerClosed()) {
      counters_.Add("answers_unasked");
      LogSurplusBytes(*exchange.connection, 0, "before the request");
    }
    return EndLater(exchange.id, Code::kNotConnected);
  }
  exchange.use.sent_bytes = request->size();
  const Stream::WriteResult wrote = exchange.connection->stream.Write(std::move(*request));
  if (wrote == Stream::WriteResult::kFailed) {
    EndLater(exchange.id, Code::kNotConnected);
  } else if (exchange.streams_request) {
    exchange.connection->stream.LimitUnsentBytes();
    exchange.timer.Start(kStreamStallTimeout);
    loop_.Post(alive_, [this, id = exchange.id] {
      if (const auto it = exchanges_.find(id); it != exchanges_.end()) it->second->events.on_buffer_space();
    });
  } else if (wrote == Stream::WriteResult::kWritten) {
    OnRequestWritten(exchange);
  } else {
    ArmTimer(exchange, exchange.deadline);
  }
}

// Ends the exchange from the event loop, never inside the call that starts it or sends its body. Until then
// it may have no connection, so its timer must not fire.
void RealServers::EndLater(ExchangeId id, Code code) {
  if (const auto it = exchanges_.find(id); it != exchanges_.end()) it->second->timer.Stop();
  loop_.Post(alive_, [this, id, code] {
    if (const auto it = exchanges_.find(id); it != exchanges_.end()) End(*it->second, code);
  });
}

void RealServers::OnRequestWritten(ServerExchange& exchange) {
  exchange.written = true;
  exchange.written_at = Clock::now();
  if (exchange.streams_request) {
    exchange.started = Clock::now();
    exchange.deadline = exchange.started + exchange.timeout;
  }
  ArmTimer(exchange, exchange.deadline);
  if (exchange.events.on_written) exchange.events.on_written();
}

void RealServers::SendBody(ExchangeId id, std::string bytes) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || bytes.empty()) return;
  it->second->timer.Start(kStreamStallTimeout);
  it->second->use.sent_bytes += bytes.size();
  if (it->second->connection->stream.Write(std::move(bytes)) == Stream::WriteResult::kFailed) {
    EndLater(id, Code::kNotConnected);
  }
  UpdateUnwrittenBytes(*it->second, it->second->connection->stream.unwritten());
}

size_t RealServers::BufferSpace(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return 0;
  const ServerExchange& exchange = *it->second;
  // Without a connection, the exchange is about to end as not sent.
  if (exchange.connection == nullptr || exchange.connecting || exchange.awaiting_rest) return 0;
  const size_t window = streaming_limit_.window();
  const size_t unwritten = exchange.connection->stream.unwritten();
  return unwritten < window ? window - unwritten : 0;
}

bool RealServers::IsWritten(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it != exchanges_.end() && it->second->written;
}

void RealServers::EndBody(ExchangeId id, Span timeout) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  it->second->request_body_complete = true;
  it->second->timeout = timeout;
  if (it->second->connection->stream.unwritten() == 0) OnRequestWritten(*it->second);
}

void RealServers::OnConnected(ServerConnection& connection, bool success) {
  if (connection.exchange == nullptr) return OnSpareConnected(connection, success);
  ServerExchange& exchange = *connection.exchange;
  exchange.connecting = false;
  connection.idle_since = Clock::now();
  if (!success) return End(exchange, Code::kNotConnected);
  connection.stream.Read();
  SendRequest(exchange);
}

void RealServers::OnEnd(ServerConnection& connection) {
  if (ServerExchange* exchange = connection.exchange; exchange != nullptr) {
    if (exchange->awaiting_rest) return Reassign(*exchange);
    // A response without a length ends when the server closes the connection cleanly.
    const bool complete_at_close = exchange->written && connection.stream.closed_cleanly() &&
                                   connection.parser.head_complete() &&
                                   connection.parser.FeedEnd() == ParseResult::kComplete;
    if (complete_at_close) {
      connection.excess_data = true;
      return OnResponseProgress(connection, ParseResult::kComplete);
    }
    return End(*exchange, exchange->written ? Code::kReset : Code::kNotConnected);
  }
  std::unique_ptr<ServerConnection> ended = idle_.Remove(connection);
  if (INVARIANT(ended != nullptr, counters_)) Destroy(std::move(ended));
}

void RealServers::OnWritten(ServerConnection& connection, bool success) {
  if (connection.exchange == nullptr) return;
  ServerExchange& exchange = *connection.exchange;
  if (!success) return End(exchange, Code::kNotConnected);
  if (!exchange.streams_request) return OnRequestWritten(exchange);
  UpdateUnwrittenBytes(exchange, connection.stream.unwritten());
  exchange.timer.Start(kStreamStallTimeout);
  if (connection.stream.unwritten() > 0) return;
  if (exchange.request_body_complete) {
    if (!exchange.written) OnRequestWritten(exchange);
  } else {
    exchange.events.on_buffer_space();
  }
}

void RealServers::OnTimeout(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  ServerExchange& exchange = *it->second;
  if (exchange.awaiting_rest) {
    const bool in_time = Clock::now() < std::min(exchange.deadline, exchange.send_by);
    if (!in_time) return End(exchange, Code::kNotSent);
    // The loop runs timers before reads: bytes or a close may have come meanwhile.
    return exchange.connection->stream.ReadWouldBlock() ? Reuse(exchange) : Reassign(exchange);
  }
  if (Clock::now() >= exchange.send_by) {
    const bool held_back = !exchange.connecting && exchange.connection->stream.HasUnackedBytes();
    if (exchange.written && !held_back) {  // the server has received the request
      exchange.send_by = Time::max();
      return ArmTimer(exchange, exchange.deadline);
    }
    counters_.Add("repeats_too_late");
    return End(exchange, exchange.written ? Code::kReset : Code::kNotSent);
  }
  if (exchange.connecting) counters_.Add("connect_timeouts");
  if (exchange.response == ResponseProgress::kHeld) return EndHold(exchange);
  if (exchange.response == ResponseProgress::kBuffered && Clock::now() < exchange.deadline) {
    counters_.Add("answers_unfinished");
    return End(exchange, Code::kMalformed);
  }
  End(exchange, exchange.written ? Code::kTimedOut : Code::kNotConnected);
}

// The connection is closed or idle before on_done runs, so that two attempts are never in flight at once.
void RealServers::End(ServerExchange& exchange, Code code, Message response) {
  const auto it = exchanges_.find(exchange.id);
  std::unique_ptr<ServerExchange> ended = std::move(it->second);
  exchanges_.erase(it);
  const ConnectionUse use = UseOf(*ended);
  ReleaseConnection(*ended);
  const auto done = std::move(ended->events.on_done);
  const Span latency = ended->streams_response() ? ended->latency : Clock::now() - ended->started;
  ReleaseBufferSpace(*ended);
  loop_.DestroyLater(std::move(ended));
  done({code, std::move(response), latency, use});
}

void RealServers::Break(ExchangeId id) {
  if (const auto it = exchanges_.find(id); it != exchanges_.end()) End(*it->second, Code::kReset);
}

std::optional<CancelledExchange> RealServers::Cancel(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return std::nullopt;
  std::unique_ptr<ServerExchange> ended = std::move(it->second);
  exchanges_.erase(it);
  ReleaseBufferSpace(*ended);
  const CancelledExchange cancelled{ended->written, UseOf(*ended)};
  ReleaseConnection(*ended);
  loop_.DestroyLater(std::move(ended));
  return cancelled;
}

ExchangePhase RealServers::PhaseOf(const ServerExchange& exchange) {
  if (exchange.connecting) return ExchangePhase::kConnecting;
  if (exchange.awaiting_rest) return ExchangePhase::kAwaitingRest;
  if (exchange.streams_response()) return ExchangePhase::kReceiving;
  if (exchange.connection == nullptr) {  // handed back after a complete response
    return exchange.use.received_bytes > 0 ? ExchangePhase::kReceiving : ExchangePhase::kUnassigned;
  }
  if (!exchange.written) return ExchangePhase::kSending;
  const HttpParser& parser = exchange.connection->parser;
  if (!parser.head_complete()) return ExchangePhase::kAwaitingHead;
  return parser.message().body.empty() ? ExchangePhase::kAwaitingBody : ExchangePhase::kReceiving;
}

ConnectionUse RealServers::UseOf(const ServerExchange& exchange) {
  ConnectionUse use = exchange.use;
  use.phase = PhaseOf(exchange);
  return use;
}

// Nothing was sent on a connection that still rests, so it stays.
void RealServers::ReleaseConnection(ServerExchange& exchange) {
  if (exchange.connection == nullptr) return;
  if (exchange.awaiting_rest) return idle_.PutBack(std::move(exchange.connection));
  Destroy(std::move(exchange.connection));
}

void RealServers::ReleaseBufferSpace(ServerExchange& exchange) {
  UpdateBufferedBytes(exchange, 0);
  UpdateUnwrittenBytes(exchange, 0);
  if (exchange.streams_request) streaming_limit_.EndTransfer();
  if (exchange.streams_response()) streaming_limit_.EndTransfer();
}

void RealServers::SetMaxConnections(int descriptors) {
  limits_.max_connections = descriptors;
  while (open_connections_ > descriptors && CloseOldestIdle()) {
  }
}

void RealServers::CloseIdle(ServerId server) {
  idle_.CloseAll(server);
  if (auto spare = spares_.extract(server)) Destroy(std::move(spare.mapped()));
}

void RealServers::CloseExpired() {
  idle_.CloseExpired();
  std::vector<ServerId> late;
  for (const auto& [server, spare] : spares_) {
    if (Clock::now() - spare->idle_since >= kSpareConnectTimeout) late.push_back(server);
  }
  for (const ServerId server : late) Destroy(std::move(spares_.extract(server).mapped()));
}

bool RealServers::CloseOldestIdle() {
  if (!spares_.empty()) {
    Destroy(std::move(spares_.extract(spares_.begin()).mapped()));
  } else if (!idle_.CloseOldest()) {
    return false;
  }
  counters_.Add("connections_shed");
  return true;
}

void RealServers::Destroy(std::unique_ptr<ServerConnection> connection) {
  --open_connections_;
  loop_.DestroyLater(std::move(connection));
}

}  // namespace umberdyke::net

#include "server/real_server.h"

#include <algorithm>
#include <cstring>

namespace umberdyke::net {

using Code = ExchangeResult::Code;
using namespace std::chrono_literals;

namespace {

constexpr Span kSilence = 250ms;   // within an answer that is held whole: what goes on longer is spoilt
constexpr Span kHoldBack = 100ms;  // for the end of an answer of unknown length, before it is passed on
constexpr Span kSettled = 25ms;    // a second answer comes within this of the first
constexpr Span kNoisy = 60s;       // servers that sent more than their answers are expected to for so long
constexpr Span kNoProgress = 10s;  // of a long body, in either direction

}  // namespace

struct RealServers::Connection : StreamUser {
  Connection(RealServers& o, ServerId s, const Address& a)
      : owner(o), server(s), address(a), stream(o.loop_, this), parser(HttpParser::Kind::kResponse) {
    parser.StreamLongBodies();
  }

  void OnConnected(bool ok) override { owner.Connected(*this, ok); }
  void OnData(std::string_view bytes) override { owner.Data(*this, bytes); }
  void OnEnd() override { owner.Ended(*this); }
  void OnWritten(bool ok) override { owner.Written(*this, ok); }

  RealServers& owner;
  const ServerId server;
  const Address address;
  Stream stream;
  HttpParser parser;
  Exchange* exchange = nullptr;  // null: at rest
  bool excess = false;           // more came than was asked for
  Time rested{};
};

struct RealServers::Exchange {
  Exchange(RealServers& owner, ExchangeId i) : id(i), timer(owner.loop_, [&owner, i] { owner.Late(i); }) {}

  const ExchangeId id;
  ExchangeEvents events;
  Time started{};
  Time until{};
  Time send_by = Time::max();
  bool connecting = false;
  bool written = false;
  bool answering = false;  // some of the answer has come
  bool fed = false;        // the body comes in pieces
  bool fed_whole = false;  // and all of it has been given
  bool passing = false;    // the answer goes on in pieces
  bool paused = false;     // its reader lags
  bool holding = false;    // it may yet turn out short
  Span time_out{};         // of a body that is fed: from its end on
  Span took{};             // of a long answer
  Message head;            // of that
  std::unique_ptr<Connection> connection;
  Timer timer;
};

RealServers::RealServers(Loop& loop, const Limits& limits, StreamingBufferLimit& passing, Counters& counters)
    : loop_(loop), limits_(limits), passing_(passing), counters_(counters) {}

RealServers::~RealServers() = default;

ExchangeId RealServers::Start(ServerId server, const Address& address, Span time_out, Time send_by,
                              ExchangeEvents events, bool fed) {
  const ExchangeId id = ++last_;
  Exchange& exchange = *(exchanges_[id] = std::make_unique<Exchange>(*this, id));
  exchange.events = std::move(events);
  exchange.fed = fed;
  if (fed) passing_.BeginTransfer();
  exchange.started = Clock::now();
  exchange.until = exchange.started + time_out;
  if (!fed) exchange.send_by = send_by;
  exchange.connection = TakeWarm(server, address);
  if (exchange.connection != nullptr) {
    exchange.connection->exchange = &exchange;
    counters_.Add("connections_reused");
    Begin(exchange);
    return id;
  }
  if (open_ >= limits_.max_connections && !ShedOldest()) {
    counters_.Add("connections_no_room");
    EndLater(id, Code::kNotSent);
    return id;
  }
  counters_.Add("connections_opened");
  ++open_;
  exchange.connection = std::make_unique<Connection>(*this, server, address);
  exchange.connection->exchange = &exchange;
  exchange.connecting = true;
  Await(exchange, exchange.started + limits_.connect_timeout);
  // No socket, such as for want of descriptors: the real server is not to blame.
  if (!exchange.connection->stream.Connect(address)) {
    counters_.Add("connections_no_room");
    ShedOldest();
    EndLater(id, Code::kNotSent);
  }
  return id;
}

// Until some time, but not past the exchange's own, nor past that by which its last byte has to be out.
void RealServers::Await(Exchange& exchange, Time most) {
  const Time until = std::min({most, exchange.until, exchange.send_by});
  exchange.timer.Start(std::max<Span>(until - Clock::now(), Span::zero()));
}

// The list may have changed while the connection came up, the client may have left, and its time has gone on.
void RealServers::Begin(Exchange& exchange) {
  const Time now = Clock::now();
  std::optional<std::string> request;
  if (now < exchange.send_by)
    request = exchange.events.make_request(std::max<Span>(exchange.until - now, 0ms));
  if (!request) return EndLater(exchange.id, Code::kNotSent);
  const Stream::Wrote wrote = exchange.connection->stream.Write(std::move(*request));
  if (wrote == Stream::Wrote::kBroken) {
    EndLater(exchange.id, Code::kNotConnected);
  } else if (exchange.fed) {
    exchange.connection->stream.KeepQueueShort();
    exchange.timer.Start(kNoProgress);
    loop_.Post(alive_, [this, id = exchange.id] {
      if (const auto it = exchanges_.find(id); it != exchanges_.end()) it->second->events.on_buffer_space();
    });
  } else if (wrote == Stream::Wrote::kAll) {
    Sent(exchange);
  } else {
    Await(exchange, exchange.until);
  }
}

// Never from inside the call that starts or feeds it.
void RealServers::EndLater(ExchangeId id, Code how) {
  loop_.Post(alive_, [this, id, how] {
    if (const auto it = exchanges_.find(id); it != exchanges_.end()) End(*it->second, how);
  });
}

void RealServers::Sent(Exchange& exchange) {
  exchange.written = true;
  if (exchange.fed) {
    exchange.started = Clock::now();
    exchange.until = exchange.started + exchange.time_out;
  }
  Await(exchange, exchange.until);
  if (exchange.events.on_written) exchange.events.on_written();
}

void RealServers::SendBody(ExchangeId id, std::string bytes) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || bytes.empty()) return;
  it->second->timer.Start(kNoProgress);
  if (it->second->connection->stream.Write(std::move(bytes)) == Stream::Wrote::kBroken) {
    EndLater(id, Code::kNotConnected);
  }
}

bool RealServers::HasBufferSpace(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second->connecting) return false;
  return it->second->connection->stream.unwritten() < passing_.window();
}

bool RealServers::IsWritten(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it != exchanges_.end() && it->second->written;
}

void RealServers::EndBody(ExchangeId id, Span time_out) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  it->second->fed_whole = true;
  it->second->time_out = time_out;
  if (it->second->connection->stream.unwritten() == 0) Sent(*it->second);
}

void RealServers::PauseResponse(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second->paused) return;
  it->second->paused = true;
  it->second->timer.Stop();  // whoever reads it has a deadline of its own
  it->second->connection->stream.Pause();
}

void RealServers::ResumeResponse(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || !it->second->paused) return;
  it->second->paused = false;
  AwaitMore(*it->second);
  it->second->connection->stream.Read();
}

void RealServers::Connected(Connection& connection, bool ok) {
  Exchange& exchange = *connection.exchange;
  exchange.connecting = false;
  if (!ok) return End(exchange, Code::kNotConnected);
  connection.stream.Read();
  Begin(exchange);
}

void RealServers::Data(Connection& connection, std::string_view bytes) {
  Exchange* exchange = connection.exchange;
  if (exchange == nullptr) {  // nothing was asked: not to be trusted any more
    excess_seen_ = Clock::now();
    counters_.Add("answers_behind_answers");
    return Ended(connection);
  }
  size_t used = 0;
  const ParseResult parsed = connection.parser.Feed(bytes, &used);
  // More than the answer is no part of it, but nothing that follows on this connection can be trusted.
  if (parsed == ParseResult::kComplete && used < bytes.size()) {
    counters_.Add("answers_with_excess");
    excess_seen_ = Clock::now();
    connection.excess = true;
  }
  Answering(connection, parsed);
}

// What has come of an answer so far, or all of it.
void RealServers::Answering(Connection& connection, ParseResult parsed) {
  Exchange* exchange = connection.exchange;
  HttpParser& parser = connection.parser;
  // Before the request has gone out whole, only a body that is refused half-way has its answer.
  if (!exchange->written) {
    const int status = parser.message().status;
    const bool refused = exchange->fed && parser.head_complete() && status / 100 > 2;
    if (parsed == ParseResult::kIncomplete && !refused && exchange->fed) return;
    if (refused && (parsed == ParseResult::kComplete || parsed == ParseResult::kIncomplete)) {
      return End(*exchange, Code::kResponse, parser.TakeHead());
    }
    counters_.Add("answers_unasked");
    return End(*exchange, Code::kNotConnected);
  }
  // Whoever answers has the request.
  if (std::exchange(exchange->send_by, Time::max()) != Time::max()) Await(*exchange, exchange->until);
  if (parsed != ParseResult::kIncomplete && parsed != ParseResult::kComplete) {
    counters_.Add("answers_malformed");
    return End(*exchange, exchange->passing ? Code::kReset : Code::kMalformed);
  }
  const bool some = parsed == ParseResult::kComplete || !parser.message().body.empty();
  if (parser.is_streaming() && some && !exchange->passing) {
    if (parser.message().status != 200 || !exchange->events.on_response_head) {
      return End(*exchange, Code::kResponse, parser.TakeHead());  // nobody reads what follows
    }
    exchange->passing = true;
    exchange->took = Clock::now() - exchange->started;
    connection.stream.KeepQueueShort();
    passing_.BeginTransfer();
    exchange->head = parser.TakeHead();
    exchange->events.on_response_head(exchange->head);
    if (connection.exchange != exchange) return;  // nobody wants it
  }
  if (exchange->passing) {
    if (std::string piece = parser.TakeBodyPart(); !piece.empty())
      exchange->events.on_response_body(std::move(piece));
    if (connection.exchange != exchange) return;
  }
  if (parsed == ParseResult::kComplete) return EndAnswered(connection);
  if (parser.message_started()) AwaitMore(*exchange);
}

// How long for, until something more of the answer comes.
void RealServers::AwaitMore(Exchange& exchange) {
  const HttpParser& parser = exchange.connection->parser;
  if (exchange.passing) {
    if (!exchange.paused) exchange.timer.Start(kNoProgress);
    return;
  }
  const Span left = exchange.until - Clock::now();
  const bool known = !parser.head_complete() || parser.message().content_length.has_value();
  // The pieces of an answer of unknown length do not put off its being passed on.
  if (!known && parser.message().status == 200 && exchange.events.on_response_head) {
    if (!std::exchange(exchange.holding, true)) exchange.timer.Start(std::clamp<Span>(left, 0ms, kHoldBack));
  } else {
    exchange.timer.Start(std::clamp<Span>(left, 0ms, kSilence));
  }
  exchange.answering = true;
}

void RealServers::EndAnswered(Connection& connection) {
  Exchange& exchange = *connection.exchange;
  Message answer = connection.parser.Take();
  if (exchange.passing) answer = std::move(exchange.head);
  if (answer.keep_alive && !connection.excess) {
    connection.exchange = nullptr;
    connection.rested = Clock::now();
    idle_[connection.server].push_back(std::move(exchange.connection));
  }
  End(exchange, Code::kResponse, std::move(answer));
}

void RealServers::Ended(Connection& connection) {
  if (Exchange* exchange = connection.exchange; exchange != nullptr) {
    // An answer without a length ends here too, where the other side has closed as it should.
    const bool ends = exchange->written && connection.stream.ended_well() &&
                      connection.parser.head_complete() &&
                      connection.parser.FeedEnd() == ParseResult::kComplete;
    if (ends) {
      connection.excess = true;
      return Answering(connection, ParseResult::kComplete);
    }
    return End(*exchange, exchange->written ? Code::kReset : Code::kNotConnected);
  }
  auto& idle = idle_[connection.server];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [&](const auto& c) { return c.get() == &connection; });
  if (!INVARIANT(it != idle.end(), counters_)) return;
  std::unique_ptr<Connection> gone = std::move(*it);
  idle.erase(it);
  Discard(std::move(gone));
}

void RealServers::Written(Connection& connection, bool ok) {
  if (connection.exchange == nullptr) return;
  Exchange& exchange = *connection.exchange;
  if (!ok) return End(exchange, Code::kNotConnected);
  if (!exchange.fed) return Sent(exchange);
  exchange.timer.Start(kNoProgress);
  if (connection.stream.unwritten() > 0) return;
  if (exchange.fed_whole) {
    if (!exchange.written) Sent(exchange);
  } else {
    exchange.events.on_buffer_space();
  }
}

void RealServers::Late(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = *it->second;
  if (Clock::now() >= exchange.send_by) {
    const bool held_back = !exchange.connecting && exchange.connection->stream.HeldBack();
    if (exchange.written && !held_back) {  // the server has it
      exchange.send_by = Time::max();
      return Await(exchange, exchange.until);
    }
    counters_.Add("repeats_too_late");
    return End(exchange, exchange.written ? Code::kReset : Code::kNotSent);
  }
  if (exchange.connecting) counters_.Add("connect_timeouts");
  if (exchange.passing) {
    counters_.Add("answers_stalled");
    return End(exchange, Code::kReset);
  }
  if (exchange.holding) {  // it goes on for longer than is held back
    exchange.holding = false;
    exchange.connection->parser.StartStreaming();
    return Answering(*exchange.connection, ParseResult::kIncomplete);
  }
  if (exchange.answering && Clock::now() < exchange.until) {
    counters_.Add("answers_unfinished");
    return End(exchange, Code::kMalformed);
  }
  End(exchange, exchange.written ? Code::kTimedOut : Code::kNotConnected);
}

// The connection is closed, or at rest, before anybody hears of the end: never two attempts in flight.
void RealServers::End(Exchange& exchange, Code how, Message answer) {
  const auto it = exchanges_.find(exchange.id);
  std::unique_ptr<Exchange> ended = std::move(it->second);
  exchanges_.erase(it);
  ended->timer.Stop();
  if (ended->connection != nullptr) Discard(std::move(ended->connection));
  const auto done = std::move(ended->events.on_done);
  const Span took = ended->passing ? ended->took : Clock::now() - ended->started;
  Forget(*ended);
  loop_.Bury(std::move(ended));
  done({how, std::move(answer), took});
}

std::optional<bool> RealServers::Cancel(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return std::nullopt;
  std::unique_ptr<Exchange> ended = std::move(it->second);
  exchanges_.erase(it);
  ended->timer.Stop();
  Forget(*ended);
  const bool written = ended->written;
  if (ended->connection != nullptr) Discard(std::move(ended->connection));
  loop_.Bury(std::move(ended));
  return written;
}

void RealServers::Forget(const Exchange& exchange) {
  if (exchange.fed) passing_.EndTransfer();
  if (exchange.passing) passing_.EndTransfer();
}

bool RealServers::Fresh(const Connection& connection) const {
  const auto margin = std::min<std::chrono::microseconds>(limits_.idle_timeout / 5, std::chrono::seconds(1));
  return Clock::now() - connection.rested < limits_.idle_timeout - margin;
}

// Guards against the rest of an earlier answer being read as the next one: a connection that has more to read
// is closed, and what comes some milliseconds late has come on one that has settled. The newest of those, so
// that the others may rest until they are swept. One that has not settled serves where there is no other,
// lest calls that come one right after another cost a new connection each; but not while servers are known to
// send more than their answers.
std::unique_ptr<RealServers::Connection> RealServers::TakeWarm(ServerId server, const Address& address) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return nullptr;
  auto& idle = it->second;  // newest last
  const Time now = Clock::now();
  const bool noisy = excess_seen_ && now - *excess_seen_ < kNoisy;
  while (!idle.empty()) {
    const auto settled =
        std::find_if(idle.rbegin(), idle.rend(), [&](const auto& c) { return now - c->rested >= kSettled; });
    if (settled == idle.rend() && noisy) return nullptr;
    const auto at = settled == idle.rend() ? std::prev(idle.end()) : std::prev(settled.base());
    std::unique_ptr<Connection> connection = std::move(*at);
    idle.erase(at);
    const bool same = std::memcmp(&connection->address, &address, sizeof address) == 0;
    if (same && Fresh(*connection) && connection->stream.Quiet()) return connection;
    Discard(std::move(connection));
  }
  return nullptr;
}

void RealServers::SetMaxConnections(int descriptors) {
  limits_.max_connections = descriptors;
  while (open_ > descriptors && ShedOldest()) {
  }
}

bool RealServers::ShedOldest() {
  std::vector<std::unique_ptr<Connection>>* oldest = nullptr;
  for (auto& [server, idle] : idle_) {
    if (!idle.empty() && (oldest == nullptr || idle.front()->rested < oldest->front()->rested))
      oldest = &idle;
  }
  if (oldest == nullptr) return false;
  std::unique_ptr<Connection> connection = std::move(oldest->front());
  oldest->erase(oldest->begin());
  Discard(std::move(connection));
  counters_.Add("connections_shed");
  return true;
}

void RealServers::CloseIdle(ServerId server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  for (auto& connection : it->second) Discard(std::move(connection));
  idle_.erase(it);
}

void RealServers::CloseExpired() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& idle = it->second;
    while (!idle.empty() && !Fresh(*idle.front())) {
      Discard(std::move(idle.front()));
      idle.erase(idle.begin());
    }
    it = idle.empty() ? idle_.erase(it) : std::next(it);  // servers come and go, and their numbers with them
  }
}

void RealServers::Discard(std::unique_ptr<Connection> connection) {
  connection->stream.Abort();
  connection->exchange = nullptr;
  --open_;
  loop_.Bury(std::move(connection));
}

}  // namespace umberdyke::net

#include "server/real_server.h"

#include <algorithm>
#include <cstring>

namespace umberdyke::net {

using How = ExchangeEnd::How;
using namespace std::chrono_literals;

namespace {

constexpr Span kLongestAnswer = 250ms;  // from an answer's first byte to its last: 64 KiB at most

}  // namespace

struct RealServers::Connection : StreamUser {
  Connection(RealServers& o, ServerId s, const Address& a)
      : owner(o), server(s), address(a), stream(o.loop_, this), parser(HttpParser::Kind::kResponse) {}

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
  Time rested{};
};

struct RealServers::Exchange {
  Exchange(RealServers& owner, ExchangeId i) : id(i), timer(owner.loop_, [&owner, i] { owner.Late(i); }) {}

  const ExchangeId id;
  std::string request;
  ExchangeEvents events;
  Time started{};
  Time until{};
  bool connecting = false;
  bool written = false;
  bool answering = false;  // some of the answer has come
  std::unique_ptr<Connection> connection;
  Timer timer;
};

RealServers::RealServers(Loop& loop, const Limits& limits, Counters& counters)
    : loop_(loop), limits_(limits), counters_(counters) {}

RealServers::~RealServers() = default;

ExchangeId RealServers::Start(ServerId server, const Address& address, std::string request, Span time_out,
                              ExchangeEvents events) {
  const ExchangeId id = ++last_;
  Exchange& exchange = *(exchanges_[id] = std::make_unique<Exchange>(*this, id));
  exchange.request = std::move(request);
  exchange.events = std::move(events);
  exchange.started = Clock::now();
  exchange.until = exchange.started + time_out;
  const auto end_later = [this, id](How how) {
    loop_.Post(alive_, [this, id, how] {
      if (const auto it = exchanges_.find(id); it != exchanges_.end()) End(*it->second, how);
    });
  };
  exchange.connection = TakeWarm(server, address);
  if (exchange.connection != nullptr) {
    exchange.connection->exchange = &exchange;
    counters_.Add("connections_reused");
    exchange.timer.Start(time_out);
    Begin(exchange);
    return id;
  }
  if (open_ >= limits_.descriptors && !ShedOldest()) {
    counters_.Add("connections_no_room");
    end_later(How::kNoRoom);
    return id;
  }
  counters_.Add("connections_opened");
  ++open_;
  exchange.connection = std::make_unique<Connection>(*this, server, address);
  exchange.connection->exchange = &exchange;
  exchange.connecting = true;
  exchange.timer.Start(std::min<Span>(limits_.connect_timeout, time_out));
  // No socket, such as for want of descriptors: the real server is not to blame.
  if (!exchange.connection->stream.Connect(address)) {
    counters_.Add("connections_no_room");
    ShedOldest();
    end_later(How::kNoRoom);
  }
  return id;
}

void RealServers::Begin(Exchange& exchange) {
  const Stream::Wrote wrote = exchange.connection->stream.Write(std::move(exchange.request));
  if (wrote == Stream::Wrote::kAll) Sent(exchange);
  if (wrote != Stream::Wrote::kBroken) return;
  loop_.Post(alive_, [this, id = exchange.id] {
    if (const auto it = exchanges_.find(id); it != exchanges_.end()) End(*it->second, How::kNotConnected);
  });
}

void RealServers::Sent(Exchange& exchange) {
  exchange.written = true;
  if (exchange.events.sent) exchange.events.sent();
}

void RealServers::Connected(Connection& connection, bool ok) {
  Exchange& exchange = *connection.exchange;
  exchange.connecting = false;
  // The list may have changed while the connection came up.
  if (!ok || !exchange.events.may_begin()) return End(exchange, How::kNotConnected);
  exchange.timer.Start(std::max<Span>(exchange.until - Clock::now(), Span::zero()));
  connection.stream.Read();
  Begin(exchange);
}

void RealServers::Data(Connection& connection, std::string_view bytes) {
  Exchange* exchange = connection.exchange;
  if (exchange == nullptr) return Ended(connection);  // nothing was asked: not to be trusted any more
  // What comes before the request has gone out whole belongs to something else.
  if (!exchange->written) {
    counters_.Add("answers_unasked");
    return End(*exchange, How::kNotConnected);
  }
  size_t used = 0;
  const Parsed parsed = connection.parser.Feed(bytes, &used);
  if (parsed == Parsed::kMore) {
    if (connection.parser.begun() && !exchange->answering) {
      exchange->answering = true;
      exchange->timer.Start(std::clamp<Span>(exchange->until - Clock::now(), 0ms, kLongestAnswer));
    }
    return;
  }
  if (parsed != Parsed::kComplete) {
    counters_.Add("answers_malformed");
    return End(*exchange, How::kSpoilt);
  }
  Message answer = connection.parser.Take();
  // More than the answer is no part of it, but nothing that follows on this connection can be trusted.
  if (used < bytes.size()) counters_.Add("answers_with_excess");
  if (answer.keep_alive && used == bytes.size()) {
    connection.exchange = nullptr;
    connection.rested = Clock::now();
    idle_[connection.server].push_back(std::move(exchange->connection));
  }
  End(*exchange, How::kAnswered, std::move(answer));
}

void RealServers::Ended(Connection& connection) {
  if (Exchange* exchange = connection.exchange; exchange != nullptr) {
    // An answer without a length ends here too, but whether it is whole cannot be known.
    return End(*exchange, exchange->written ? How::kBroken : How::kNotConnected);
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
  if (!ok) return End(*connection.exchange, How::kNotConnected);
  Sent(*connection.exchange);
}

void RealServers::Late(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  if (it->second->connecting) counters_.Add("connect_timeouts");
  if (it->second->answering && Clock::now() < it->second->until) {
    counters_.Add("answers_unfinished");
    return End(*it->second, How::kSpoilt);
  }
  End(*it->second, it->second->written ? How::kTimedOut : How::kNotConnected);
}

// The connection is closed, or at rest, before anybody hears of the end: never two attempts in flight.
void RealServers::End(Exchange& exchange, How how, Message answer) {
  const auto it = exchanges_.find(exchange.id);
  std::unique_ptr<Exchange> ended = std::move(it->second);
  exchanges_.erase(it);
  ended->timer.Stop();
  if (ended->connection != nullptr) Discard(std::move(ended->connection));
  const auto done = std::move(ended->events.done);
  const Span took = Clock::now() - ended->started;
  loop_.Bury(std::move(ended));
  done({how, std::move(answer), took});
}

std::optional<bool> RealServers::GiveUp(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return std::nullopt;
  std::unique_ptr<Exchange> ended = std::move(it->second);
  exchanges_.erase(it);
  ended->timer.Stop();
  const bool written = ended->written;
  if (ended->connection != nullptr) Discard(std::move(ended->connection));
  loop_.Bury(std::move(ended));
  return written;
}

bool RealServers::Fresh(const Connection& connection) const {
  const auto margin = std::min<std::chrono::microseconds>(limits_.idle / 5, std::chrono::seconds(1));
  return Clock::now() - connection.rested < limits_.idle - margin;
}

// The newest: the others may then rest until they are swept. Guards against the rest of an earlier answer
// being read as the next one: a connection that has more to read is closed. Resting for a while first would
// cost calls that come one right after another a new connection each.
std::unique_ptr<RealServers::Connection> RealServers::TakeWarm(ServerId server, const Address& address) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(it->second.back());
    it->second.pop_back();
    const bool same = std::memcmp(&connection->address, &address, sizeof address) == 0;
    if (same && Fresh(*connection) && connection->stream.Quiet()) return connection;
    Discard(std::move(connection));
  }
  return nullptr;
}

void RealServers::LimitTo(int descriptors) {
  limits_.descriptors = descriptors;
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

void RealServers::Sweep() {
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
  connection->stream.Close();
  connection->exchange = nullptr;
  --open_;
  loop_.Bury(std::move(connection));
}

}  // namespace umberdyke::net

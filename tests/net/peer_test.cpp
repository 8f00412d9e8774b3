// What sidecars of one tier tell each other of the list: the messages, and what is made of them.
#include <catch2/catch.hpp>

#include "membership/call_backoff.h"
#include "membership/peer_message.h"
#include "membership/server_list.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

ListedServer Server(const std::string& id, UpstreamState state, std::chrono::milliseconds started) {
  ListedServer server;
  server.id = id;
  server.address = *ParseAddress("127.0.0.1:9");
  server.state = state;
  if (started > 0ms) server.started = started;
  return server;
}

// A list of one server, s0, that started at 5 ms, at version 3.
struct List {
  List() { Tell(3, UpstreamState::kReady, 5ms); }
  void Tell(std::int64_t version, UpstreamState state, std::chrono::milliseconds started) {
    server_list.Apply({version, false, {Server("s0", state, started)}, 0}, ListUpdate::kChanges);
  }
  UpstreamState State() const { return server_list.Find(0)->state; }
  Counters counters;
  ServerList server_list{counters, [](const ServerListEvent&) {}};
};

// Guards against a datagram that is longer than peers may send, and entries that are lost between two.
TEST_CASE("news of many servers goes in datagrams of 256 bytes at most, and comes as it was", "[peer]") {
  PeerReport news;
  news.current = true;
  for (std::uint32_t i = 0; i < 1000; ++i) news.closed.push_back({i * 0x9e3779b97f4a7c15u, i});
  std::vector<ClosedServer> read;
  for (const std::string& bytes : EncodePeerReport(news, 64)) {
    CHECK(bytes.size() <= 256);
    const auto message = DecodePeerMessage(bytes);
    REQUIRE(message);
    const auto& part = std::get<PeerReport>(*message);
    CHECK(part.current);
    read.insert(read.end(), part.closed.begin(), part.closed.end());
  }
  CHECK(read == news.closed);
  CHECK(EncodePeerReport(news, 3).size() == 3);
  CHECK(EncodePeerReport({}, 64).size() == 1);
  const auto question = DecodePeerMessage(EncodePeerQuery({1234567890123}));
  REQUIRE(question);
  CHECK(std::get<PeerQuery>(*question).version == 1234567890123);
}

// Guards against strangers and damaged datagrams.
TEST_CASE("what is no message of a peer is nothing", "[peer]") {
  const std::string good = EncodePeerQuery({7});
  for (size_t size = 0; size < good.size(); ++size) CHECK_FALSE(DecodePeerMessage(good.substr(0, size)));
  CHECK_FALSE(DecodePeerMessage(good + "x"));
  CHECK_FALSE(DecodePeerMessage("UDL2" + good.substr(4)));
  CHECK_FALSE(DecodePeerMessage(EncodePeerReport({true, {{1, 2}}}, 1).front() + "x"));
  CHECK_FALSE(DecodePeerMessage(std::string(257, 'U')));
}

// Guards against news of an earlier life that closes the next one, and news older than the own list.
TEST_CASE("a peer closes only the life that it names, and nothing that the own list knows better", "[peer]") {
  const ClosedServer earlier{HashIncarnation("s0", 4ms), 9};
  const ClosedServer known{HashIncarnation("s0", 5ms), 3};
  const ClosedServer news{HashIncarnation("s0", 5ms), 4};
  List list;
  list.server_list.ApplyPeerReport({earlier, known}, 3);
  CHECK(list.State() == UpstreamState::kReady);
  list.server_list.ApplyPeerReport({news}, 3);
  CHECK(list.State() == UpstreamState::kDraining);
  CHECK(list.server_list.ClosedSince(3) == std::vector<ClosedServer>{news});  // told on
  CHECK(list.server_list.ClosedSince(4).empty());
  list.Tell(5, UpstreamState::kReady, 6ms);
  CHECK(list.State() == UpstreamState::kReady);
  list.server_list.ApplyPeerReport({news}, 3);
  CHECK(list.State() == UpstreamState::kReady);
}

// Guards against waits that end too late for a change to be learnt in time, and against a storm of calls.
TEST_CASE("waits after refusals are long, grow in large tiers, and end in time in small ones", "[peer]") {
  for (const int callers : {1, 31, 32, 330}) {
    CallBackoff backoff(7, callers);
    Span longest{};
    for (int i = 0; i < 200; ++i) {
      const Span wait = backoff.NextDelay(CallFailure::kOverloaded, false);
      CHECK(wait >= 1500ms);
      longest = std::max(longest, wait);
    }
    CHECK((callers < 32) == (longest < 6s));
    CHECK(longest < 10s);
    CHECK(backoff.NextDelay(CallFailure::kStreamEnded, false) < 300ms);
    CHECK(backoff.ReconnectJitter() <= std::min<Span>(10ms * callers, 2s));
    backoff.Reset();
    CHECK(backoff.NextDelay(CallFailure::kOverloaded, false) <= 3600ms);
  }
}

}  // namespace
}  // namespace umberdyke::net

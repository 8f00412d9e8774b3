// Tests the messages in which sidecars of one tier report draining servers to each other, and their effect.
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

// A list at version 3 with one server, s0, that started at 5 ms.
struct List {
  List() { Update(3, UpstreamState::kReady, 5ms); }
  void Update(std::int64_t version, UpstreamState state, std::chrono::milliseconds started) {
    server_list.Apply({version, false, {Server("s0", state, started)}, 0}, ListUpdate::kChanges);
  }
  UpstreamState State() const { return server_list.Find(0)->state; }
  Counters counters;
  ServerList server_list{counters, [](const ServerListEvent&) {}};
};

// Fails if a datagram is longer than peers may send, or if entries are lost at a datagram boundary.
TEST_CASE("a report on many servers is split into datagrams of at most 256 bytes without loss", "[peer]") {
  PeerReport report;
  report.current = true;
  for (std::uint32_t i = 0; i < 1000; ++i) report.closed.push_back({i * 0x9e3779b97f4a7c15u, i});
  std::vector<ClosedServer> read;
  for (const std::string& bytes : EncodePeerReport(report, 64)) {
    CHECK(bytes.size() <= 256);
    const auto message = DecodePeerMessage(bytes);
    REQUIRE(message);
    const auto& part = std::get<PeerReport>(*message);
    CHECK(part.current);
    read.insert(read.end(), part.closed.begin(), part.closed.end());
  }
  CHECK(read == report.closed);
  CHECK(EncodePeerReport(report, 3).size() == 3);
  CHECK(EncodePeerReport({}, 64).size() == 1);
  const auto query = DecodePeerMessage(EncodePeerQuery({1234567890123}));
  REQUIRE(query);
  CHECK(std::get<PeerQuery>(*query).version == 1234567890123);
}

// Fails if a damaged datagram, or one of another protocol, is accepted.
TEST_CASE("a datagram that is not a valid peer message is ignored", "[peer]") {
  const std::string good = EncodePeerQuery({7});
  for (size_t size = 0; size < good.size(); ++size) CHECK_FALSE(DecodePeerMessage(good.substr(0, size)));
  CHECK_FALSE(DecodePeerMessage(good + "x"));
  CHECK_FALSE(DecodePeerMessage("UDL2" + good.substr(4)));
  CHECK_FALSE(DecodePeerMessage(EncodePeerReport({true, {{1, 2}}}, 1).front() + "x"));
  CHECK_FALSE(DecodePeerMessage(std::string(257, 'U')));
}

// Fails if a report on an earlier run of a server closes its current run, or if a report that is older than
// the sidecar's own list is applied.
TEST_CASE("a peer report closes only the server run it names, and only if it is newer than the list",
          "[peer]") {
  const ClosedServer earlier_run{HashIncarnation("s0", 4ms), 9};
  const ClosedServer outdated{HashIncarnation("s0", 5ms), 3};
  const ClosedServer newer{HashIncarnation("s0", 5ms), 4};
  List list;
  list.server_list.ApplyPeerReport({earlier_run, outdated}, 3);
  CHECK(list.State() == UpstreamState::kReady);
  list.server_list.ApplyPeerReport({newer}, 3);
  CHECK(list.State() == UpstreamState::kDraining);
  CHECK(list.server_list.ClosedSince(3) == std::vector<ClosedServer>{newer});  // passed on to other peers
  CHECK(list.server_list.ClosedSince(4).empty());
  list.Update(5, UpstreamState::kReady, 6ms);
  CHECK(list.State() == UpstreamState::kReady);
  list.server_list.ApplyPeerReport({newer}, 3);
  CHECK(list.State() == UpstreamState::kReady);
}

// Fails if the backoff is too long to learn of a change in time, or so short that calls overload discovery.
TEST_CASE("the backoff after rejections is at least 1.5 s, longer in large tiers, and bounded", "[peer]") {
  for (const int callers : {1, 31, 32, 330}) {
    CallBackoff backoff(7, callers);
    Span longest{};
    for (int i = 0; i < 200; ++i) {
      const Span delay = backoff.NextDelay(CallFailure::kOverloaded, false);
      CHECK(delay >= 1500ms);
      longest = std::max(longest, delay);
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

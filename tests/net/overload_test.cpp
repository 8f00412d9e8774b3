// Tests a tier of sidecars whose discovery service is too slow to answer all of them at once.
#include <catch2/catch.hpp>

#include "busy_discovery.h"
#include "site.h"

namespace umberdyke::net {
namespace {

constexpr int kSidecars = 40;
// Discovery needs 6.8 s for one call of each sidecar, so it answers three in ten calls before it rejects
// them.
constexpr Span kWorkPerCall = 170ms;

// The sidecars of one tier, their real servers s0 and s1, and discovery.
struct Tier {
  Tier(bool peers, int seed) : discovery(loop, kWorkPerCall) {
    std::vector<std::string> lines;
    for (auto& server : servers) {
      server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
      lines.push_back(ServerLine("s" + std::to_string(lines.size()), server.address()));
    }
    std::string text = ConfigText(discovery.address(), ListText(0, true, lines));
    text = Replaced(text, R"("balancers":1)", R"("balancers":)" + std::to_string(kSidecars));
    for (int i = 0; i < kSidecars; ++i) configs.push_back(Replaced(text, "8c1f30d27a5be964", Seed(seed, i)));
    if (peers) AddPeers();
    for (const std::string& config : configs) Start(config);
  }
  static std::string Seed(int seed, int i) {
    return "8c1f30d2" + std::to_string(1000 + seed) + std::to_string(1000 + i);
  }

  // Adds the peer addresses to the configurations. The ports were free a moment ago.
  void AddPeers() {
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<Party>> port_holders;
    for (int i = 0; i < kSidecars; ++i) {
      port_holders.push_back(std::make_unique<Party>(loop));
      addresses.push_back(port_holders.back()->address());
    }
    std::string all;
    for (const std::string& address : addresses) all += (all.empty() ? "\"" : ",\"") + address + "\"";
    for (size_t i = 0; i < configs.size(); ++i) {
      configs[i] = Replaced(configs[i], R"("known":)",
                            R"("peer_listen":")" + addresses[i] + R"(","peers":[)" + all + R"(],"known":)");
      configs[i] = Replaced(configs[i], R"("cancel":true)", R"("cancel":true,"peers":true)");
    }
  }

  void Start(const std::string& config) {
    sidecars.push_back(std::make_unique<Sidecar>(loop, ParseConfig(config, NoEnvironment()), log::NullLog()));
  }
  int SidecarsWithoutDrain() const {
    return static_cast<int>(std::count_if(sidecars.begin(), sidecars.end(), [](const auto& s) {
      return s->counters().Of("discovery_changes") == 0;
    }));
  }
  void Drain() { discovery.Change(ListText(1, false, {ServerLine("s1", servers[1].address(), "draining")})); }
  // Sends each sidecar four requests and returns how many reach the draining server.
  int SentToDraining() {
    const int before = servers[1].requests;
    std::vector<std::unique_ptr<Client>> clients;
    for (const auto& sidecar : sidecars) {
      for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<Client>(loop, sidecar->address()));
        clients.back()->Send(Look("4000", "r" + std::to_string(clients.size())));
      }
    }
    loop.AdvanceTime(1s);
    return servers[1].requests - before;
  }

  Loop loop;
  BusyDiscovery discovery;
  Party servers[2] = {Party(loop), Party(loop)};
  std::vector<std::string> configs;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
};

// Fails if rejected calls cause a retry storm: retried at once, they would keep discovery's queue full for
// good.
TEST_CASE("sidecars whose calls to discovery were refused do not keep it overloaded", "[overload]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Tier tier(false, seed);
    tier.loop.AdvanceTime(20s);
    tier.discovery.Down();
    tier.loop.AdvanceTime(4s);
    tier.discovery.Up();
    tier.Drain();
    tier.loop.AdvanceTime(15s);
    INFO("seed " << seed);
    CHECK(tier.SidecarsWithoutDrain() == 0);
  }
}

// Fails if a draining server gets requests because discovery answers some sidecars in time and others late. A
// change counts as known 6 s after discovery had it.
TEST_CASE("sidecars that still wait for discovery learn of a drain from their peers", "[overload]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Tier tier(true, seed);
    tier.loop.AdvanceTime(20s);
    tier.discovery.Down();
    tier.loop.AdvanceTime(4s);
    tier.discovery.Up();
    tier.Drain();
    tier.loop.AdvanceTime(6s);
    INFO("seed " << seed);
    CHECK(tier.SidecarsWithoutDrain() > 0);
    CHECK(tier.SentToDraining() == 0);
  }
}

// Fails if a process never receives from its peers because its predecessor held the address at its start.
TEST_CASE("a sidecar whose peer address is in use listens there once it is free", "[overload]") {
  Tier tier(true, 1);
  const auto config = ParseConfig(tier.configs[0], NoEnvironment());
  Sidecar second(tier.loop, config, log::NullLog());
  tier.loop.AdvanceTime(2s);
  const auto tries = second.counters().Of("peers_not_heard");
  CHECK(tries > 1);
  tier.sidecars.erase(tier.sidecars.begin());
  tier.loop.AdvanceTime(2s);
  CHECK(second.counters().Of("peers_not_heard") <= tries + 1);
}

}  // namespace
}  // namespace umberdyke::net

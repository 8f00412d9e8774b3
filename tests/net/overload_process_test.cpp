// Tests a tier of real processes whose discovery service is too slow to answer all of them in time.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/busy_discovery.h"
#include "net/site.h"

namespace umberdyke::net {
namespace {

constexpr int kProcesses = 12;
// Discovery needs 6 s for all calls, so it answers four of the first twelve before it rejects the others.
constexpr Span kWorkPerCall = 500ms;

struct ProcessTier {
  ProcessTier() : discovery(loop, kWorkPerCall) {
    std::vector<std::string> lines;
    for (Party& server : servers) {
      server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
      lines.push_back(ServerLine("s" + std::to_string(lines.size()), server.address()));
    }
    std::string peers;
    for (int i = 0; i < kProcesses; ++i) {
      listen_addresses.push_back(lab::OwnAddress() + ":" + std::to_string(18100 + i));
      peer_addresses.push_back(lab::OwnAddress() + ":" + std::to_string(18200 + i));
      peers += (i == 0 ? "\"" : ",\"") + peer_addresses.back() + "\"";
    }
    std::filesystem::create_directories(folder);
    const std::string known = ListText(0, true, lines);
    for (int i = 0; i < kProcesses; ++i) {
      std::string text = ConfigText(discovery.address(), known);
      text = Replaced(text, "127.0.0.1:0", listen_addresses[i]);
      text = Replaced(text, "8c1f30d27a5be964", "8c1f30d27a5b" + std::to_string(1000 + i));
      text = Replaced(text, R"("balancers":1)", R"("balancers":)" + std::to_string(kProcesses));
      text = Replaced(text, R"("cancel":true)", R"("cancel":true,"peers":true)");
      const std::string own = R"("peer_listen":")" + peer_addresses[i] + R"(","peers":[)" + peers + "],";
      text = Replaced(text, R"("known":)", own + R"("known":)");
      const std::string file = folder + "/" + std::to_string(i) + ".json";
      REQUIRE(files::WriteFileAtomically(file, text).empty());
      processes.push_back(std::make_unique<lab::Process>(
          std::vector<std::string>{UMBERDYKE_PROGRAM, "--config", file}, file + ".log"));
    }
  }
  ~ProcessTier() { std::filesystem::remove_all(folder); }

  void Wait(Span time) {
    loop.RunUntil([] { return false; }, time);
  }
  // Sends each process four requests and returns how many of them reach the draining server.
  int SentToDraining() {
    const int before = servers[1].requests;
    std::vector<std::unique_ptr<Client>> clients;
    for (const std::string& address : listen_addresses) {
      for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<Client>(loop, *ParseAddress(address)));
        clients.back()->Send(Look("4000", "r" + std::to_string(clients.size())));
      }
    }
    Wait(1s);
    for (const auto& client : clients) answered += static_cast<int>(client->answers.size());
    return servers[1].requests - before;
  }

  const std::string folder =
      (std::filesystem::temp_directory_path() / ("umberdyke-overload-" + std::to_string(getpid()))).string();
  Loop loop;
  BusyDiscovery discovery;
  Party servers[2] = {Party(loop), Party(loop)};
  std::vector<std::string> listen_addresses;
  std::vector<std::string> peer_addresses;
  std::vector<std::unique_ptr<lab::Process>> processes;
  int answered = 0;
};

// Fails if processes whose calls discovery has rejected for 6 s send requests to a draining server.
TEST_CASE("processes that still wait for discovery send nothing to a draining server", "[overload]") {
  ProcessTier tier;
  tier.discovery.Change(ListText(1, false, {ServerLine("s1", tier.servers[1].address(), "draining")}));
  tier.Wait(6s);
  CHECK(tier.discovery.refused() > 0);
  CHECK(tier.SentToDraining() == 0);
  CHECK(tier.answered == 4 * kProcesses);
}

}  // namespace
}  // namespace umberdyke::net

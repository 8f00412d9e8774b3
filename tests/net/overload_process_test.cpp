// A tier of real processes on a discovery service that cannot answer all of them in time.
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
// All calls take discovery 6 s; four of the first twelve are answered before they are refused.
constexpr Span kWork = 500ms;

struct ProcessTier {
  ProcessTier() : discovery(loop, kWork) {
    std::vector<std::string> lines;
    for (Party& server : servers) {
      server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
      lines.push_back(ServerLine("s" + std::to_string(lines.size()), server.address()));
    }
    std::string peers;
    for (int i = 0; i < kProcesses; ++i) {
      clients_at.push_back(lab::OwnAddress() + ":" + std::to_string(18100 + i));
      peers_at.push_back(lab::OwnAddress() + ":" + std::to_string(18200 + i));
      peers += (i == 0 ? "\"" : ",\"") + peers_at.back() + "\"";
    }
    std::filesystem::create_directories(folder);
    const std::string known = ListText(0, true, lines);
    for (int i = 0; i < kProcesses; ++i) {
      std::string text = ConfigText(discovery.address(), known);
      text = Replaced(text, "127.0.0.1:0", clients_at[i]);
      text = Replaced(text, "8c1f30d27a5be964", "8c1f30d27a5b" + std::to_string(1000 + i));
      text = Replaced(text, R"("balancers":1)", R"("balancers":)" + std::to_string(kProcesses));
      text = Replaced(text, R"("cancel":true)", R"("cancel":true,"peers":true)");
      const std::string own = R"("peer_listen":")" + peers_at[i] + R"(","peers":[)" + peers + "],";
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
  // How many of the requests to each process reach the draining server.
  int SentToDraining() {
    const int before = servers[1].requests;
    std::vector<std::unique_ptr<Client>> clients;
    for (const std::string& address : clients_at) {
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
  std::vector<std::string> clients_at;
  std::vector<std::string> peers_at;
  std::vector<std::unique_ptr<lab::Process>> processes;
  int answered = 0;
};

// Guards against sends to a draining server by processes that discovery has refused for 6 s.
TEST_CASE("processes that discovery keeps waiting send nothing to a server that drains", "[overload]") {
  ProcessTier tier;
  tier.discovery.Change(ListText(1, false, {ServerLine("s1", tier.servers[1].address(), "draining")}));
  tier.Wait(6s);
  CHECK(tier.discovery.refused() > 0);
  CHECK(tier.SentToDraining() == 0);
  CHECK(tier.answered == 4 * kProcesses);
}

}  // namespace
}  // namespace umberdyke::net

// Simulates discovery on 127.0.0.1:8500 and three real servers on 127.0.0.1:9001 to 9003, for trying out the
// sidecar.
#include <csignal>
#include <cstdio>

#include "party.h"

namespace {

using namespace umberdyke::net;
using namespace std::chrono_literals;

constexpr Span kServiceTime = 40ms;          // time that a real server takes for a request
constexpr Span kKeepaliveInterval = 2000ms;  // an empty line this often shows that a watch stream is alive

std::string ServerList(int servers) {
  std::string all;
  for (int i = 1; i <= servers; ++i) {
    const std::string number = std::to_string(i);
    all += (all.empty() ? "" : ",") + std::string(R"({"id":"toy-)") + number + R"(","addr":"127.0.0.1:900)" +
           number + R"(","zone":"east","kind":"std","cell":0,"state":"ready","weight":1.0,"started_ms":0})";
  }
  return R"({"version":1,"full":true,"servers":[)" + all + "]}\n";
}

// One chunk of a response with chunked transfer encoding.
std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  Loop loop;
  const Signal interrupt(loop, SIGINT, [&] { loop.Stop(); });
  const Signal term(loop, SIGTERM, [&] { loop.Stop(); });
  std::vector<std::unique_ptr<Timer>> responses;
  std::vector<std::unique_ptr<Party>> parties;
  for (int i = 1; i <= 3; ++i) {
    parties.push_back(std::make_unique<Party>(loop, "127.0.0.1:900" + std::to_string(i)));
    Party& party = *parties.back();
    party.script = [&loop, &responses, &party, i](Party::Peer& peer) {
      // A connection carries one request at a time, so its index identifies the request to answer.
      size_t index = 0;
      while (party.peers[index].get() != &peer) ++index;
      responses.push_back(std::make_unique<Timer>(loop, [&party, index, i] {
        Party::Peer& requester = *party.peers[index];
        requester.Answer(200,
                         "lot found by toy-" + std::to_string(i) + " (" + requester.last.method + " " +
                             requester.last.target + ")\n",
                         {{"X-Server-Load", R"({"inflight":1,"queue":0})"}});
      }));
      responses.back()->Start(kServiceTime);
    };
  }
  parties.push_back(std::make_unique<Party>(loop, "127.0.0.1:8500"));
  Party& discovery = *parties.back();
  discovery.script = [](Party::Peer& peer) {
    if (peer.last.target.find("stream=1") == std::string::npos) return peer.Answer(200, ServerList(3));
    peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(ServerList(3)));
  };
  Timer* keepalive_timer = nullptr;
  Timer keepalive(loop, [&] {
    for (const auto& peer : discovery.peers) {
      if (peer->last.target.find("stream=1") != std::string::npos) peer->Reply(Chunk("\n"));
    }
    keepalive_timer->Start(kKeepaliveInterval);
  });
  keepalive_timer = &keepalive;
  keepalive.Start(kKeepaliveInterval);
  for (const auto& party : parties) {
    if (party->error.empty()) continue;
    std::fprintf(stderr, "toy server: cannot listen: %s\n", party->error.c_str());
    return 1;
  }
  std::printf("toy server: discovery on 127.0.0.1:8500, real servers on 127.0.0.1:9001 to 9003\n");
  std::fflush(stdout);
  loop.Run();
  return 0;
}

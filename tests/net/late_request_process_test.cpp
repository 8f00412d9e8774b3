// Tests that a real process which has been told to end leaves no request unanswered that comes late, on any
// way to its end. Clients use their connections for as long as these stay open, up to SIGKILL.
#include <algorithm>
#include <catch2/catch.hpp>

#include "handover/cluster.h"
#include "net/paced_peers.h"

namespace umberdyke::net {
namespace {

constexpr Span kKillDelay = 3700ms;  // SIGKILL follows this long after SIGTERM at the earliest
constexpr size_t kPiece = 128 * 1024;
constexpr int kPieces = 16;
constexpr Span kPieceInterval = 250ms;  // so a long response takes 4 s
constexpr Span kShortResponseTime = 300ms;
constexpr size_t kUploadLength = 100'000;

// One process, whose server answers by the id of the request: "long..." with a long response that takes
// longer than the process lives, "drip..." with a short one in parts, others at once.
struct EndingProcess {
  EndingProcess() {
    cluster.server.script = [this](Party::Peer& peer) { Serve(peer); };
    process = cluster.Start();
    REQUIRE(cluster.WaitUntilReady(process));
  }
  void Serve(Party::Peer& peer) {
    const std::string id = *peer.last.Find("X-Request-ID");
    runs.push_back(id);
    if (id.starts_with("long")) {
      peer.Reply("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kPiece) + "\r\n\r\n");
      for (int i = 0; i < kPieces; ++i) {
        After(i * kPieceInterval, [&peer] { peer.Reply(std::string(kPiece, 'l')); });
      }
    } else if (id.starts_with("drip")) {
      peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndrip\r\n");
      After(kShortResponseTime, [&peer] { peer.Reply("4\r\ndrop\r\n0\r\n\r\n"); });
    } else if (id.starts_with("slow")) {
      After(800ms, [&peer] { peer.Answer(200, "slow"); });
    } else {
      After(kShortResponseTime, [&peer, id] { peer.Answer(200, id); });
    }
  }
  void After(Span delay, std::function<void()> task) {
    timers.push_back(std::make_unique<Timer>(cluster.loop, std::move(task)));
    timers.back()->Start(delay);
  }
  // A connection that has carried a request.
  std::unique_ptr<Client> Connect() {
    auto client = std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.listen()));
    client->Send(cluster.Request());
    REQUIRE(cluster.loop.RunUntil([&] { return client->answers.size() == 1; }, 3s));
    return client;
  }
  void Terminate() {
    terminated_at = Clock::now();
    cluster.SignalProcess(process, SIGTERM);
  }
  void WaitUntil(Span after_sigterm) { cluster.Wait(terminated_at + after_sigterm - Clock::now()); }
  // The clients' connections end with the process.
  void Kill() {
    WaitUntil(kKillDelay);
    cluster.SignalProcess(process, SIGKILL);
    REQUIRE(cluster.WaitForExit(process).has_value());
    cluster.Wait(50ms);
  }

  HandoverCluster cluster;
  int process = 0;
  Time terminated_at{};
  std::vector<std::string> runs;
  std::vector<std::unique_ptr<Timer>> timers;
};

enum class Way { kPlain, kReplaced, kDrained, kReloaded };

// Fails if a process takes requests late, and passes on long responses that the kill cuts off.
TEST_CASE("a request that comes late after SIGTERM has its whole answer by SIGKILL", "[late-request]") {
  const Way way = GENERATE(Way::kPlain, Way::kReplaced, Way::kDrained, Way::kReloaded);
  const Span sent_after = GENERATE(Span(750ms), Span(1200ms), Span(1900ms));
  CAPTURE(static_cast<int>(way), sent_after.count());
  EndingProcess ending;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(ending.Connect());
  if (way == Way::kReplaced) REQUIRE(ending.cluster.WaitUntilReady(ending.cluster.Start()));
  if (way == Way::kDrained) CHECK(ending.cluster.CallConsole(0, "PUT /v1/sidecar/drain") == 200);
  if (way == Way::kReloaded) ending.cluster.SignalProcess(ending.process, SIGHUP);
  ending.Terminate();
  if (way == Way::kReloaded) {
    ending.After(300ms, [&] { ending.cluster.SignalProcess(ending.process, SIGHUP); });
  }
  ending.WaitUntil(sent_after);
  const std::vector<std::string> requests = {Look("4000", "long1"),
                                             Replaced(Hand(), "X-Request-ID: b2", "X-Request-ID: long2"),
                                             Look("4000", "drip")};
  std::vector<Client*> senders;  // those that have not been sent elsewhere
  for (size_t i = 0; i < clients.size(); ++i) {
    if (clients[i]->ended) continue;
    clients[i]->Send(requests[i]);
    senders.push_back(clients[i].get());
  }
  ending.Kill();
  for (const Client* client : senders) CHECK(client->answers.size() == 2);
  const bool drip_ran = std::find(ending.runs.begin(), ending.runs.end(), "drip") != ending.runs.end();
  INFO(ending.cluster.Log(0));
  if (drip_ran) CHECK(clients[2]->answers.back().body == "dripdrop");
}

// Fails if only idle connections are looked at: these requests come late on connections that are in use.
TEST_CASE("requests that are complete late after SIGTERM have whole answers by SIGKILL", "[late-request]") {
  EndingProcess ending;
  const auto upload = ending.Connect();
  const auto pipelined = ending.Connect();
  ending.Terminate();
  ending.WaitUntil(400ms);
  const std::string body(kUploadLength, 'u');
  upload->Send(
      "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: long-upload\r\nX-Priority-Class: hand\r\n"
      "X-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nIdempotency-Key: k\r\nContent-Length: " +
      std::to_string(kUploadLength) + "\r\n\r\n" + body.substr(0, kUploadLength / 2));
  pipelined->Send(Look("4000", "slow"));
  ending.WaitUntil(1s);
  upload->Send(body.substr(kUploadLength / 2));
  pipelined->Send(Look("4000", "long-behind"));
  ending.Kill();
  CHECK(upload->answers.size() == 2);
  CHECK(pipelined->answers.size() == 3);
}

// Fails if the kill closes a response that ends with its connection in the middle, as if it were complete.
TEST_CASE("a response that ends with its connection is reset before SIGKILL cuts it", "[late-request]") {
  EndingProcess ending;
  ending.cluster.server.script = [&](Party::Peer& peer) {
    peer.Reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    for (int i = 0; i < kPieces; ++i) {
      ending.After(i * kPieceInterval, [&peer] { peer.Reply(std::string(kPiece, 'l')); });
    }
  };
  const std::string request = Replaced(Look("4000", "unframed"), "HTTP/1.1", "HTTP/1.0");
  PacedClient client(ending.cluster.loop, *ParseAddress(ending.cluster.listen()), request, 0);
  REQUIRE(ending.cluster.loop.RunUntil([&] { return client.received > 0; }, 3s));
  ending.Terminate();
  ending.Kill();
  REQUIRE(client.ended_at);
  CHECK(client.status() == 200);
  CHECK_FALSE(client.IsChunked());
  CHECK(client.received < kPieces * kPiece);
  CHECK_FALSE(client.closed_cleanly);
}

}  // namespace
}  // namespace umberdyke::net

// Tests that a real process answers long requests in time, and passes long responses on, at any pace of its
// servers.
#include <catch2/catch.hpp>

#include "net/paced_site.h"

namespace umberdyke::net {
namespace {

// Fails if the limit for a pause in a response that is held whole cuts off one that is longer.
TEST_CASE("a long response whose body begins long after its head is passed on whole", "[long]") {
  constexpr size_t kLength = 145'269;
  constexpr size_t kPiece = 15'000;
  const int memory_mb = GENERATE(32, 192);
  const Span pause = GENERATE(Span(300ms), Span(900ms), Span(1800ms));
  CAPTURE(memory_mb, pause.count());
  PacedSite site(memory_mb);
  site.paced.on_request = [&](PacedServer::Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\n");
    for (size_t at = 0, i = 0; at < kLength; at += kPiece, ++i) {
      const size_t piece = std::min(kPiece, kLength - at);
      site.After(pause + i * 50ms, [&peer, piece] { peer.Write(std::string(piece, 'r')); });
    }
  };
  const std::string request_class = GENERATE("look", "hand");
  const std::string request = request_class == "look" ? Look("2500", "late") : Hand(request_class);
  PacedClient client(site.loop, *ParseAddress(site.listen_address), request, 0);
  site.loop.RunUntil([&] { return client.received > kLength || client.ended_at; }, 6s);
  CHECK(client.status() == 200);
  CHECK(client.received > kLength);
  CHECK(client.first_byte_at.value_or(Time::max()) - *client.written_at < 2500ms + kLatestAnswer);
  CHECK(site.paced.requests == 1);
}

struct SlowlyReadRequest {
  size_t length;
  double written_per_second;  // 0: at once
  double read_per_second;     // 0: at once, up to stop_after
  size_t stop_after;
  int clients;
};

// Fails if what lies unread in the kernel, or a server that stops reading, keeps a client without its answer.
TEST_CASE("a long request that its server reads slowly has its answer in time", "[long]") {
  constexpr int kTimeoutMs = 1500;
  const int memory_mb = GENERATE(32, 192);
  const auto slow = GENERATE(
      SlowlyReadRequest{969'855, 172'900, 103'595, kNoLimit, 1},
      SlowlyReadRequest{835'895, 996'000, 109'167, kNoLimit, 1},
      SlowlyReadRequest{908'837, 962'000, 97'154, kNoLimit, 24}, SlowlyReadRequest{198'775, 0, 0, 5'860, 1},
      SlowlyReadRequest{198'775, 0, 0, 5'860, 60}, SlowlyReadRequest{2'500'000, 0, 109'167, kNoLimit, 12},
      SlowlyReadRequest{300'000, 601'000, 400'000, kNoLimit, 1});
  CAPTURE(memory_mb, slow.length, slow.read_per_second, slow.clients);
  PacedSite site(memory_mb);
  site.paced.bytes_per_second = slow.read_per_second;
  site.paced.stop_after = slow.stop_after;
  site.paced.on_request = [](PacedServer::Peer& peer) { peer.Write(WriteResponse(200, {}, "ok", true)); };
  std::vector<std::unique_ptr<PacedClient>> clients;
  for (int i = 0; i < slow.clients; ++i) {
    clients.push_back(std::make_unique<PacedClient>(
        site.loop, *ParseAddress(site.listen_address),
        LongRequest("slow" + std::to_string(i), slow.length, kTimeoutMs), slow.written_per_second));
  }
  const auto answered = [](const auto& client) { return client->first_byte_at.has_value(); };
  site.loop.RunUntil([&] { return std::all_of(clients.begin(), clients.end(), answered); }, 14s);
  INFO(site.Ask("GET /-/counters HTTP/1.1\r\n\r\n").body);
  int late = 0;
  for (const auto& client : clients) {
    REQUIRE((client->written_at || client->first_byte_at));
    const Time due = client->written_at.value_or(Time::max() - 10s) + std::chrono::milliseconds(kTimeoutMs) +
                     kLatestAnswer;
    if (!client->first_byte_at || *client->first_byte_at > due) ++late;
  }
  CHECK(late == 0);
  // A server that reads in time is waited for.
  const bool reads_in_time = slow.read_per_second == 400'000;
  if (reads_in_time) CHECK(clients.front()->status() == 200);
  CHECK_FALSE(site.process->Ended().has_value());
}

// Fails if the time limit that an interim response started goes on for the final one.
TEST_CASE("a final response long after an interim response in two parts is passed on", "[long]") {
  PacedSite site(32);
  site.paced.on_request = [&](PacedServer::Peer& peer) {
    peer.Write("HTTP/1.1 102 Proces");
    site.After(100ms, [&peer] { peer.Write("sing\r\n\r\n"); });
    site.After(900ms, [&peer] { peer.Write(WriteResponse(200, {}, "whole", true)); });
  };
  const Message answer = site.Ask(Hand("unsafe"));
  CHECK(answer.status == 200);
  CHECK(answer.body == "whole");
  CHECK(site.paced.requests == 1);
}

// Fails if a client waits for seconds for a short response that has fallen silent.
TEST_CASE("a response without a length that falls silent is cut soon after its time", "[long]") {
  constexpr Span kTime = 2500ms;
  PacedSite site(32);
  site.paced.on_request = [](PacedServer::Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nr\r\n");
  };
  PacedClient client(site.loop, *ParseAddress(site.listen_address), Look("2500", "silent"), 0);
  REQUIRE(site.loop.RunUntil([&] { return client.ended_at.has_value(); }, 8s));
  CHECK(*client.ended_at - *client.written_at < kTime + kLatestAnswer);
}

// Fails if a connection on which reading has paused for a slow client is used again without being read.
TEST_CASE("a connection whose response made its client lag carries the next request", "[long]") {
  PacedSite site(32);
  site.paced.on_request = [](PacedServer::Peer& peer) {
    const bool first = *peer.request.Find("X-Request-ID") == "lag";
    peer.Write(WriteResponse(200, {}, std::string(first ? 3'400'000 : 2, 'r'), true));
  };
  for (int i = 0; i < 12; ++i) {
    PacedClient slow(site.loop, *ParseAddress(site.listen_address), Look("2500", "lag"), 0);
    slow.reads = false;
    site.Wait(60ms + i * 1ms);
    slow.stream.Read();
    REQUIRE(site.loop.RunUntil([&] { return slow.received > 3'400'000; }, 8s));
    site.Wait(40ms);
    const int before = site.paced.requests;
    CHECK(Settled(site.Ask(Look("2500", "next" + std::to_string(i))).status));
    CHECK(site.paced.requests <= before + 1);
  }
}

}  // namespace
}  // namespace umberdyke::net

// Tests that a real process ends each response that it passes on: by its client's time, or once nothing more
// comes of a long one; and that it passes on what a server still gives.
#include <catch2/catch.hpp>
#include <csignal>

#include "net/paced_site.h"

namespace umberdyke::net {
namespace {

constexpr Span kSocketSlack = 50ms;
constexpr Span kWorkTime = 100ms;  // of the server, before its response

// A response that a server gives piece by piece.
struct PacedResponse {
  std::string head;
  bool chunked;
  size_t piece;
  Span interval;
  int pieces;  // 0: it never ends
};

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

// Gives the next piece, and the others after it, for as long as the connection is open.
void WritePieces(PacedSite& site, PacedServer::Peer& peer, const PacedResponse& response, int written) {
  if (!peer.stream.open()) return;
  const Framing framing{std::nullopt, response.chunked};
  if (response.pieces > 0 && written == response.pieces) return peer.Write(WriteBodyEnd(framing));
  peer.Write(WriteBodyPart(std::string(response.piece, 'r'), framing));
  site.After(response.interval,
             [&site, &peer, &response, written] { WritePieces(site, peer, response, written + 1); });
}

void Serve(PacedSite& site, const PacedResponse& response) {
  site.paced.on_request = [&site, &response](PacedServer::Peer& peer) {
    site.After(kWorkTime, [&site, &peer, &response] {
      peer.Write(response.head);
      WritePieces(site, peer, response, 0);
    });
  };
}

// Fails if a pause is measured by the time of the attempt, or one in a long response by the client's time.
TEST_CASE("a response whose server pauses for seconds is passed on whole", "[response-end]") {
  struct Paused {
    std::string head;
    bool chunked;
    size_t first;  // bytes before the pause
    Span pause;
    size_t rest;
    int timeout_ms;
    std::string request_class;
  };
  const std::string long_head = "HTTP/1.1 200 OK\r\nContent-Length: 122880\r\n\r\n";
  const auto response = GENERATE_COPY(
      // Within the client's time, and beyond that of the attempt.
      Paused{kChunkedHead, true, 20'480, 2800ms, 102'400, 4000, "look"},
      Paused{kChunkedHead, true, 20'480, 2800ms, 4'096, 4000, "unsafe"},
      Paused{kUnframedHead, false, 20'480, 2800ms, 102'400, 4000, "any"},
      Paused{long_head, false, 20'480, 2800ms, 102'400, 4000, "unsafe"},
      // Beyond the client's time, in a response that is long already, or announces that it will be.
      Paused{kChunkedHead, true, 81'920, 2800ms, 40'960, 1500, "hand"},
      Paused{long_head, false, 20'480, 2800ms, 102'400, 1500, "look"},
      Paused{long_head, false, 81'920, 4500ms, 40'960, 600, "unsafe"});
  CAPTURE(response.head, response.first, response.rest, response.timeout_ms, response.request_class);
  PacedSite site(32);
  const Framing framing{std::nullopt, response.chunked};
  site.paced.on_request = [&](PacedServer::Peer& peer) {
    site.After(kWorkTime,
               [&] { peer.Write(response.head + WriteBodyPart(std::string(response.first, 'f'), framing)); });
    site.After(kWorkTime + response.pause, [&] {
      peer.Write(WriteBodyPart(std::string(response.rest, 'r'), framing) + WriteBodyEnd(framing));
      if (response.head == kUnframedHead) peer.stream.Close();
    });
  };
  const std::string request =
      response.request_class == "look"
          ? Look(std::to_string(response.timeout_ms), "pause")
          : LongRequest("pause", 4, response.timeout_ms, kNoLimit, response.request_class);
  PacedClient client(site.loop, *ParseAddress(site.listen_address), request, 0);
  const size_t length = response.first + response.rest;
  const auto is_whole = [&] {
    return client.received > length && (client.HasLastChunk() || !client.IsChunked());
  };
  site.loop.RunUntil([&] { return client.ended_at || is_whole(); }, kWorkTime + response.pause + 1s);
  CHECK(client.status() == 200);
  CHECK(is_whole());
  CHECK(site.paced.requests == 1);
}

// Fails if the pieces of a response each put off its end, so that its client never has one.
TEST_CASE("a short response that keeps on coming is cut soon after its client's time", "[response-end]") {
  const auto response =
      GENERATE(PacedResponse{kChunkedHead, true, 64, 300ms, 0}, PacedResponse{kChunkedHead, true, 1, 20ms, 0},
               PacedResponse{kUnframedHead, false, 64, 300ms, 0},
               PacedResponse{"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n", false, 64, 100ms, 0});
  const int timeout_ms = GENERATE(600, 2500);
  CAPTURE(response.head, response.piece, timeout_ms);
  PacedSite site(32);
  Serve(site, response);
  PacedClient client(site.loop, *ParseAddress(site.listen_address), Look(std::to_string(timeout_ms), "drip"),
                     0);
  const Span latest = std::chrono::milliseconds(timeout_ms) + kLatestAnswer + kSocketSlack;
  site.loop.RunUntil([&] { return client.ended_at || client.status() > 200; }, latest);
  CHECK((client.ended_at || client.status() > 200));
  CHECK_FALSE(client.HasLastChunk());
  CHECK(site.Ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200);
}

// Fails if the end of a response leaves no time to a process that is held up as the request comes, and once
// more.
TEST_CASE("a process that is held up twice cuts a short response in time", "[response-end]") {
  constexpr Span kHeldUp = 150ms;
  constexpr Span kTimeout = 600ms;
  PacedSite site(32);
  const PacedResponse response{kChunkedHead, true, 64, 300ms, 0};
  Serve(site, response);
  const auto hold_up = [&] {
    site.process->Tell(SIGSTOP);
    site.After(kHeldUp, [&] { site.process->Tell(SIGCONT); });
  };
  hold_up();
  PacedClient client(site.loop, *ParseAddress(site.listen_address),
                     Look(std::to_string(kTimeout / 1ms), "held"), 0);
  site.After(kTimeout + kLatestAnswer - 2 * kSocketSlack, hold_up);
  const Span latest = kTimeout + kLatestAnswer + kSocketSlack;
  CHECK(site.loop.RunUntil([&] { return client.ended_at.has_value(); }, latest));
  site.Wait(2 * kHeldUp);  // the process runs again
}

// Fails if a length that is announced frees a response from its client's time before it brings anything.
TEST_CASE("a long response that brings next to nothing is cut soon after its client's time",
          "[response-end]") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n";
  const std::string body = GENERATE("", "r");
  const bool trickles = GENERATE(false, true);
  const int timeout_ms = GENERATE(600, 2500);
  CAPTURE(body.size(), trickles, timeout_ms);
  PacedSite site(32);
  const PacedResponse response{head + body, false, 64, 300ms, 0};
  if (trickles) {
    Serve(site, response);
  } else {
    site.paced.on_request = [&](PacedServer::Peer& peer) { peer.Write(head + body); };
  }
  PacedClient client(site.loop, *ParseAddress(site.listen_address), Look(std::to_string(timeout_ms), "bare"),
                     0);
  const Span latest = std::chrono::milliseconds(timeout_ms) + kLatestAnswer + kSocketSlack;
  site.loop.RunUntil([&] { return client.ended_at.has_value(); }, latest);
  CHECK(client.ended_at);
  CHECK(client.received < 90'000);
}

// Fails if a long response that has fallen silent for good leaves its client without an end.
TEST_CASE("a long response that falls silent for good is cut", "[response-end]") {
  const bool chunked = GENERATE(true, false);
  const std::string head = chunked ? kChunkedHead : "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n";
  PacedSite site(32);
  const Framing framing{std::nullopt, chunked};
  site.paced.on_request = [&](PacedServer::Peer& peer) {
    peer.Write(head + WriteBodyPart(std::string(80 * 1024, 'r'), framing));
  };
  PacedClient client(site.loop, *ParseAddress(site.listen_address), Look("600", "silent"), 0);
  CHECK(site.loop.RunUntil([&] { return client.ended_at.has_value(); }, 10s + 1s));
  CHECK_FALSE(client.HasLastChunk());
}

}  // namespace
}  // namespace umberdyke::net

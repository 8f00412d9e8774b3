// Tests of streaming request and response bodies on real sockets: integrity in any framing and pace, bounded
// memory, and bodies that are cut off.
#include <catch2/catch.hpp>
#include <set>

#include "net/site.h"
#include "passing/streaming_buffer_limit.h"

namespace umberdyke::net {
namespace {

std::string Pattern(size_t size) {
  std::string body(size, '\0');
  for (size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + (i * 31 + i / 977) % 26);
  return body;
}

std::string Chunked(const std::string& body, size_t piece) {
  std::string chunks;
  char size[16];
  for (size_t at = 0; at < body.size(); at += piece) {
    const std::string part = body.substr(at, piece);
    std::snprintf(size, sizeof size, "%zx;e=1\r\n", part.size());
    chunks += size + part + "\r\n";
  }
  return chunks + "0\r\nX-Trailer: t\r\n\r\n";
}

std::string StreamingHandRequest(const std::string& framing, const std::string& extra_headers = "") {
  return "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: big\r\nX-Priority-Class: hand\r\nX-Tenant-Id: "
         "acme\r\n"
         "X-Timeout-Ms: 4000\r\nIdempotency-Key: k\r\n" +
         extra_headers + framing + "\r\n\r\n";
}

// A client that stores the raw bytes that it reads, at a pace the test controls.
class RawClient : public StreamCallbacks {
 public:
  RawClient(Loop& loop, const Address& to) : stream(loop, this) { stream.Connect(to); }
  void OnConnected(bool) override {
    stream.Read();
    if (!request_on_connect.empty()) stream.Write(request_on_connect);
    up = true;
  }
  void OnData(std::string_view bytes) override { received.append(bytes); }
  void OnEnd() override { ended = true; }
  Stream stream;
  std::string request_on_connect, received;
  bool up = false;
  bool ended = false;
};

// A server that reads a streaming request and responds with the size of its body.
class StreamingServer : public StreamCallbacks {
 public:
  explicit StreamingServer(Loop& loop) : loop_(loop), listener_(loop, [this] { OnConnection(); }) {
    listener_.Listen(*ParseAddress("127.0.0.1:0"));
  }
  std::string address() const { return PrintAddress(listener_.address()); }
  void OnData(std::string_view bytes) override {
    while (!bytes.empty()) {
      size_t used = 0;
      parsed = parser.Feed(bytes, &used);
      bytes.remove_prefix(used);
      if (parsed != ParseResult::kComplete) break;
      heads.push_back(parser.Take());
      if (respond) peer->Write(WriteResponse(200, {}, std::to_string(body.size()), true));
    }
  }
  void OnEnd() override { ended = true; }
  std::unique_ptr<Stream> peer;
  HttpParser parser{HttpParser::Kind::kRequest};
  ParseResult parsed = ParseResult::kIncomplete;
  std::string body;
  std::vector<Message> heads;
  bool respond = true;
  bool ended = false;
  bool read_on_accept = true;
  int connections = 0;

 private:
  void OnConnection() {
    ++connections;
    parser.StreamBodyTo([this](std::string_view piece) { body.append(piece); });
    peer = std::make_unique<Stream>(loop_, this);
    peer->Accept(listener_);
    if (read_on_accept) peer->Read();
  }
  Loop& loop_;
  Listener listener_;
};

struct StreamingSite : Site {
  StreamingSite() : Site(1), sink(loop) {
    REQUIRE(Until([&] { return watch != nullptr; }));
    Tell(ListText(2, true, {ServerLine("sink", sink.address())}));
    REQUIRE(Until([&] { return sidecar->counters().Of("discovery_changes") == 1; }));
  }
  StreamingServer sink;
};

// A body could be truncated, duplicated or rejected for its length, in any framing.
TEST_CASE("a streaming body reaches its server whole, by length or chunked, also after 100 Continue",
          "[passing]") {
  const std::string body = Pattern(3'000'000);
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {"Content-Length: 3000000", body, ""},
      {"Transfer-Encoding: chunked", Chunked(body, 50'000), ""},
      {"Transfer-Encoding: chunked", Chunked(body, 777), "Expect: 100-continue\r\n"},
      {"Content-Length: 3000000", body, "Expect: 100-continue\r\n"},
  };
  for (const auto& [framing, bytes, more] : cases) {
    INFO(framing << more);
    StreamingSite site;
    const auto client = site.Connect();
    client->Send(StreamingHandRequest(framing, more));
    REQUIRE(site.Until([&] { return client->up; }));
    client->Send(bytes);
    REQUIRE(site.Until([&] { return !client->answers.empty() || client->ended; }));
    REQUIRE(client->answers.size() == 1);
    CHECK(client->answers[0].status == 200);
    CHECK(client->answers[0].body == "3000000");
    CHECK(client->answers[0].keep_alive);
    CHECK(site.sink.body == body);
    REQUIRE(site.sink.heads.size() == 1);
    CHECK(*site.sink.heads[0].Find("Idempotency-Key") == "k");
    CHECK(site.sink.heads[0].Find("X-Trailer") == nullptr);
    client->Send(Look());  // the connection can be reused
    REQUIRE(site.Until([&] { return client->answers.size() == 2; }));
  }
}

// Memory must not grow with what a server does not read, and the client must not be disconnected for it.
TEST_CASE("backpressure from a server that does not read stops the client until it reads again",
          "[passing]") {
  StreamingSite site;
  site.sink.read_on_accept = false;
  const std::string body = Pattern(12'000'000);
  const auto client = site.Connect();
  client->Send(StreamingHandRequest("Content-Length: 12000000"));
  REQUIRE(site.Until([&] { return client->up; }));
  client->Send(body);
  site.loop.RunUntil([] { return false; }, 400ms);
  const size_t unsent = client->stream.unwritten();
  CHECK(unsent > 0);  // still in the client, as kernel buffers and windows are full
  CHECK(client->answers.empty());
  site.sink.peer->Read();
  REQUIRE(site.Until([&] { return !client->answers.empty(); }));
  CHECK(client->answers[0].status == 200);
  CHECK(site.sink.body == body);
}

// A request whose body data is no longer buffered must not be retried.
TEST_CASE("a request is not retried after part of its body was sent", "[passing]") {
  Site site(3);
  // Test peers handle complete messages only: this request never completes before the connection is closed.
  const auto client = site.Connect();
  client->Send(StreamingHandRequest("Content-Length: 1000000"));
  REQUIRE(site.Until([&] { return client->up; }));
  client->Send(std::string(300'000, 'x'));
  const auto peer = [&]() -> Party::Peer* {
    for (auto& server : site.real) {
      if (!server->peers.empty()) return server->peers[0].get();
    }
    return nullptr;
  };
  REQUIRE(site.Until([&] { return peer() != nullptr; }));
  site.loop.RunUntil([] { return false; }, 100ms);
  peer()->stream.Close();
  REQUIRE(site.Until([&] { return !client->answers.empty(); }));
  CHECK(client->answers[0].status == 503);  // it never ran, so a retry by the client is harmless
  CHECK_FALSE(client->answers[0].keep_alive);
  CHECK(site.sidecar->counters().Of("attempts_sent") == 1);
}

// A malformed body must not be forwarded as complete, and an attempt must not outlive its request.
TEST_CASE("a streaming body that is malformed, or whose client disconnects, aborts its attempt",
          "[passing]") {
  for (const bool client_leaves : {false, true}) {
    INFO(client_leaves);
    StreamingSite site;
    const auto client = site.Connect();
    client->Send(StreamingHandRequest("Transfer-Encoding: chunked"));
    REQUIRE(site.Until([&] { return client->up; }));
    std::string valid_part = Chunked(std::string(200'000, 'x'), 10'000);
    valid_part.resize(valid_part.find("0\r\nX-Trailer"));
    client->Send(valid_part);
    REQUIRE(site.Until([&] { return site.sink.body.size() > 100'000; }));
    if (client_leaves) {
      client->stream.Close();
    } else {
      client->Send("zz\r\nno chunk\r\n0\r\n\r\n" + Look());
      REQUIRE(site.Until([&] { return client->ended; }));
      REQUIRE(client->answers.size() == 1);  // the bytes that follow are not read as a request
      CHECK(client->answers[0].status == 400);
    }
    REQUIRE(site.Until([&] { return site.sink.ended; }));
    CHECK(site.sink.heads.empty());  // the server never saw the end of the body
    CHECK(site.sink.connections == 1);
    CHECK(site.sidecar->counters().Of("attempts_sent") == 1);
    CHECK(site.sidecar->counters().Of("invariant_broken") == 0);
    CHECK(site.Ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200);
  }
}

// The sidecar must not wait for the rest of a body that the server has rejected.
TEST_CASE("a response that arrives before the body is complete ends the request", "[passing]") {
  StreamingSite site;
  const auto client = site.Connect();
  client->Send(StreamingHandRequest("Content-Length: 10000000"));
  REQUIRE(site.Until([&] { return client->up; }));
  client->Send(std::string(200'000, 'x'));
  REQUIRE(site.Until([&] { return site.sink.body.size() > 100'000; }));
  site.sink.peer->Write("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(site.Until([&] { return !client->answers.empty(); }));
  CHECK(client->answers[0].status == 503);
  CHECK(site.Until([&] { return site.sink.ended; }));
}

// A slow client must not be timed out as a stalled one, and a stalled one must not be waited for.
TEST_CASE("a slow body is waited for, a stalled one times out", "[passing]") {
  StreamingSite site;
  const auto slow = site.Connect();
  slow->Send(StreamingHandRequest("Content-Length: 80000"));
  REQUIRE(site.Until([&] { return slow->up; }));
  const Time start = Clock::now();
  for (int i = 0; i < 40; ++i) {  // 64 kB/s for longer than the timeout of a request head
    slow->Send(std::string(2'000, 'x'));
    site.loop.RunUntil([] { return false; }, 70ms);
  }
  REQUIRE(site.Until([&] { return !slow->answers.empty() || slow->ended; }));
  CHECK(Clock::now() - start > 2600ms);
  REQUIRE(slow->answers.size() == 1);
  CHECK(slow->answers[0].status == 200);

  std::string other = StreamingHandRequest("Content-Length: 80000");
  other.replace(other.find("big"), 3, "sil");
  const auto silent = site.Connect();
  const Time asked = Clock::now();
  silent->Send(other + std::string(70'000, 'x'));
  REQUIRE(site.Until([&] { return !silent->answers.empty(); }));
  CHECK(silent->answers[0].status == 408);
  CHECK(Clock::now() - asked < 3s);
  CHECK(site.sidecar->counters().Of("requests_slow") == 1);
}

// A response could be truncated, delayed or sent to another request's client, in any framing.
TEST_CASE("a streaming response reaches its client whole in every framing, without delay", "[passing]") {
  const std::string body = Pattern(3'000'000);
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\nX-Lot: 7\r\n\r\n" + body,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Lot: 7\r\n\r\n" + Chunked(body, 9'999),
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Lot: 7\r\n\r\n" + body,
      "HTTP/1.0 200 OK\r\nX-Lot: 7\r\n\r\n" + body,
  };
  for (size_t i = 0; i < answers.size(); ++i) {
    for (const bool old_client : {false, true}) {
      INFO(answers[i].substr(0, 60) << old_client);
      Site site(1);
      site.Script([&](Party::Peer& peer) {
        peer.Reply(answers[i]);
        if (i >= 2) peer.stream.EndSending();
      });
      std::string request = Look();
      if (old_client) request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
      RawClient client(site.loop, site.sidecar->address());
      client.request_on_connect = request;
      HttpParser parser(HttpParser::Kind::kResponse);
      std::string received;
      parser.StreamBodyTo([&](std::string_view piece) { received.append(piece); });
      size_t fed = 0;
      ParseResult parsed = ParseResult::kIncomplete;
      REQUIRE(site.Until([&] {
        size_t used = 0;
        if (fed < client.received.size())
          parsed = parser.Feed(std::string_view(client.received).substr(fed), &used);
        fed += used;
        if (client.ended && parsed == ParseResult::kIncomplete) parsed = parser.FeedEnd();
        return parsed != ParseResult::kIncomplete;
      }));
      CHECK(parsed == ParseResult::kComplete);
      CHECK(received == body);
      CHECK(parser.message().Find("X-Lot") != nullptr);
      CHECK(site.sidecar->counters().Of("flows_served") == 1);
      if (i < 2) CHECK(site.sidecar->counters().Of("invariant_broken") == 0);
    }
  }
}

// Memory must not grow with what a client does not read, and the rest of the response must not be lost.
TEST_CASE("backpressure from a client that does not read stops the server until it reads again",
          "[passing]") {
  Site site(1);
  const std::string body = Pattern(16'000'000);
  site.Script(
      [&](Party::Peer& peer) { peer.Reply("HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" + body); });
  RawClient client(site.loop, site.sidecar->address());
  client.request_on_connect = Look();
  REQUIRE(site.Until([&] { return !client.received.empty(); }));
  client.stream.Pause();
  site.loop.RunUntil([] { return false; }, 600ms);
  CHECK(site.real[0]->peers[0]->stream.unwritten() > 0);
  client.stream.Read();
  REQUIRE(site.Until([&] { return client.received.size() > body.size(); }));
  CHECK(client.received.substr(client.received.size() - body.size()) == body);
}

// A truncated response must not look complete to the client.
TEST_CASE("a truncated streaming response is visible as truncated", "[passing]") {
  const std::vector<std::string> starts = {
      "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2dc6c0\r\n",
  };
  for (const std::string& start : starts) {
    INFO(start);
    Site site(2);
    site.Script([&](Party::Peer& peer) {
      peer.Reply(start + std::string(500'000, 'x'));
      peer.stream.EndSending();
    });
    RawClient client(site.loop, site.sidecar->address());
    client.request_on_connect = Hand();
    REQUIRE(site.Until([&] { return client.ended; }));
    CHECK(client.received.size() < 3'000'000);
    CHECK(client.received.find("\r\n0\r\n") == std::string::npos);
    CHECK(site.Requests() == 1);
    CHECK(site.sidecar->counters().Of("flows_broken") == 1);
    CHECK(site.Ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200);
  }
}

// The start of a response must not be held back until its end arrives.
TEST_CASE("a response of unknown length is forwarded promptly, in pieces of one byte", "[passing]") {
  Site site(1);
  Party::Peer* server = nullptr;
  site.Script([&](Party::Peer& peer) {
    server = &peer;
    peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
  });
  RawClient client(site.loop, site.sidecar->address());
  client.request_on_connect = Look();
  const Time start = Clock::now();
  REQUIRE(site.Until([&] { return client.received.find("\r\n\r\n1\r\na\r\n") != std::string::npos; }));
  CHECK(Clock::now() - start < 1s);
  for (const char c : std::string("1\r\nb\r\n0\r\n\r\n")) {
    server->Reply(std::string(1, c));
    site.loop.RunUntil([] { return false; }, 5ms);
  }
  CHECK(site.Until([&] { return client.received.find("1\r\nb\r\n0\r\n\r\n") != std::string::npos; }));
}

// What all transfers hold together must stay within their share of the memory, and leave some to new ones.
TEST_CASE("the windows of all transfers hold a quarter of the memory, half of that if it is shared",
          "[passing]") {
  constexpr size_t kShare = (24u << 20) / 4;
  StreamingBufferLimit limit(24 << 20);
  CHECK(limit.window() == StreamingBufferLimit::kMaxWindow);
  CHECK(limit.read_ahead() == StreamingBufferLimit::kMaxReadAhead);
  size_t all = 0;
  for (int i = 0; i < 400; ++i) {
    limit.BeginTransfer();
    const size_t window = limit.window();
    limit.Update(0, window);
    all += window;
    CHECK(all <= kShare + static_cast<size_t>(i + 1) * StreamingBufferLimit::kMinWindow);
  }
  CHECK(limit.held() == all);
  CHECK(limit.window() <= StreamingBufferLimit::kMinWindow);
  CHECK(limit.read_ahead() <= StreamingBufferLimit::kMinWindow);
  limit.Update(all, 0);
  limit.Update(0, kShare / 2 + 1);
  CHECK(limit.read_ahead() < kShare / 2);
  limit.SetShared(true);
  CHECK(limit.read_ahead() == StreamingBufferLimit::kMinWindow);
  CHECK(limit.window() == StreamingBufferLimit::kMinWindow);
  CHECK(limit.read_size() == StreamingBufferLimit::kMinRead);
  CHECK(limit.peak() == all);
  for (int i = 0; i < 20'000; ++i) limit.EndTransfer();
  CHECK(limit.transfers() == 0);
}

}  // namespace
}  // namespace umberdyke::net

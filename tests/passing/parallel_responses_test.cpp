// Tests that one response alone reaches a client where two attempts of its request are in flight.
#include <catch2/catch.hpp>

#include "net/site.h"

namespace umberdyke::net {
namespace {

constexpr size_t kLength = 400'000;  // of the passed-on response: long enough to be streamed
constexpr size_t kPiece = 20'000;

// Reads responses of any length.
class StreamClient : public StreamCallbacks {
 public:
  StreamClient(Loop& loop, const Address& to, std::string request)
      : stream(loop, this), request_(std::move(request)) {
    parser_.StreamBodyTo([this](std::string_view piece) { body.append(piece); });
    stream.Connect(to);
  }
  void OnConnected(bool) override {
    stream.Read();
    stream.Write(request_);
  }
  void OnData(std::string_view bytes) override {
    while (!bytes.empty() && !malformed) {
      size_t used = 0;
      const ParseResult parsed = parser_.Feed(bytes, &used);
      bytes.remove_prefix(used);
      malformed = parsed != ParseResult::kComplete && parsed != ParseResult::kIncomplete;
      if (parsed != ParseResult::kComplete) continue;
      statuses.push_back(parser_.Take().status);
      bodies.push_back(std::exchange(body, {}));
    }
  }
  void OnEnd() override { ended = true; }

  Stream stream;
  std::vector<int> statuses;
  std::vector<std::string> bodies;
  std::string body;  // of the response that is arriving
  bool malformed = false;
  bool ended = false;

 private:
  const std::string request_;
  HttpParser parser_{HttpParser::Kind::kResponse};
};

std::string ResponseHead(size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Two servers that both have one client's request and have not answered.
struct ParallelSite : Site {
  explicit ParallelSite(bool may_cancel)
      : Site(2, 1024, NoEnvironment(),
             [&](std::string* config) {
               *config = Replaced(
                   *config, "\"cancel\":true",
                   std::string("\"cancel\":") + (may_cancel ? "true" : "false") + ",\"parallel_tries\":true");
             }),
        client(loop, sidecar->address(), Look()) {
    REQUIRE(Until([&] { return Requests() == 1; }));
    first = real[0]->requests == 1 ? real[0]->peers[0].get() : real[1]->peers[0].get();
    REQUIRE(Until([&] { return real[0]->requests == 1 && real[1]->requests == 1; }));
    second = first == real[0]->peers[0].get() ? real[1]->peers[0].get() : real[0]->peers[0].get();
  }
  // The client's next responses come whole on the same connection, so nothing was left in front of them. The
  // decision module, which has seen one slow response, may reject some of the requests.
  void CheckNextResponses() {
    Script([](Party::Peer& peer) { peer.Answer(200, "next"); });
    while (client.statuses.back() != 200 || client.statuses.size() == 1) {
      const size_t responses = client.statuses.size();
      REQUIRE(responses < 20);
      client.stream.Write(Look("4000", "next" + std::to_string(responses)));
      REQUIRE(Until([&] { return client.statuses.size() > responses || client.malformed || client.ended; }));
      REQUIRE(client.statuses.size() == responses + 1);
      CHECK(Settled(client.statuses.back()));
    }
    CHECK(client.bodies.back() == "next");
    CHECK(sidecar->counters().Of("invariant_broken") == 0);
  }
  void Wait(Span time) {
    loop.RunUntil([] { return false; }, time);
  }

  StreamClient client;
  Party::Peer* first = nullptr;   // of the first attempt
  Party::Peer* second = nullptr;  // of the one beside it
};

enum class Late { kLongResponse, kUnknownLength, kShortResponse, kError, kReset, kMalformed };

// What the attempt whose response is not passed on gets from its server.
void RespondLate(Late late, Party::Peer& peer) {
  switch (late) {
    case Late::kLongResponse:
      return peer.Reply(ResponseHead(kLength) + std::string(kLength / 2, 'l'));
    case Late::kUnknownLength:
      return peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlll\r\n");
    case Late::kShortResponse:
      return peer.Answer(200, "short");
    case Late::kError:
      return peer.Answer(500, "error");
    case Late::kReset:
      return peer.stream.Reset();
    case Late::kMalformed:
      return peer.Reply("no response\r\n\r\n");
  }
}

// Fails if pieces of two servers' responses reach one client as one response, or if the end of an attempt
// that is not passed on ends or aborts the response that is.
TEST_CASE("of two attempts' responses the client gets the one that began, whole and alone", "[parallel]") {
  const bool may_cancel = GENERATE(true, false);
  const bool first_begins = GENERATE(true, false);
  const Late late = GENERATE(Late::kLongResponse, Late::kUnknownLength, Late::kShortResponse, Late::kError,
                             Late::kReset, Late::kMalformed);
  CAPTURE(may_cancel, first_begins, static_cast<int>(late));
  ParallelSite site(may_cancel);
  Party::Peer& passed_on = first_begins ? *site.first : *site.second;
  Party::Peer& other = first_begins ? *site.second : *site.first;
  passed_on.Reply(ResponseHead(kLength) + std::string(kPiece, 'w'));
  REQUIRE(site.Until([&] { return !site.client.body.empty(); }));
  if (other.stream.open()) RespondLate(late, other);
  for (size_t sent = kPiece; sent < kLength; sent += kPiece) {
    site.Wait(10ms);
    if (late == Late::kLongResponse) other.Reply(std::string(kPiece / 2, 'l'));
    passed_on.Reply(std::string(kPiece, 'w'));
  }
  REQUIRE(site.Until([&] { return !site.client.statuses.empty() || site.client.ended; }));
  REQUIRE(site.client.statuses.size() == 1);
  CHECK(site.client.statuses[0] == 200);
  CHECK(site.client.bodies[0] == std::string(kLength, 'w'));
  CHECK(site.sidecar->counters().Of("flows_served") == 1);
  site.CheckNextResponses();
}

// Fails if the response that was not passed on keeps its server and a connection busy.
TEST_CASE("an attempt is cancelled where the response of the other one is passed on", "[parallel]") {
  const bool first_begins = GENERATE(true, false);
  CAPTURE(first_begins);
  ParallelSite site(true);
  Party::Peer& passed_on = first_begins ? *site.first : *site.second;
  const Party::Peer& other = first_begins ? *site.second : *site.first;
  passed_on.Reply(ResponseHead(kLength) + std::string(kPiece, 'w'));
  CHECK(site.loop.RunUntil([&] { return other.ended; }, 500ms));
}

// Fails if a paused attempt, whose client has gone, is left behind where the decision module may not cancel.
TEST_CASE("the attempt of a client that lags and leaves ends with it", "[parallel]") {
  const bool may_cancel = GENERATE(true, false);
  CAPTURE(may_cancel);
  ParallelSite site(may_cancel);
  site.first->Reply(ResponseHead(16'000'000) + std::string(kPiece, 'w'));
  REQUIRE(site.Until([&] { return !site.client.body.empty(); }));
  site.client.stream.Pause();
  site.first->Reply(std::string(16'000'000 - kPiece, 'w'));
  site.Wait(400ms);
  site.client.stream.Close();
  CHECK(site.loop.RunUntil([&] { return site.first->ended; }, 500ms));
}

// Fails if a client that lags pauses the attempt that is not passed on: the other one's data would pile up.
TEST_CASE("a client that lags slows the attempt whose response it gets", "[parallel]") {
  constexpr size_t kLong = 16'000'000;
  const bool may_cancel = GENERATE(true, false);
  const bool first_begins = GENERATE(true, false);
  CAPTURE(may_cancel, first_begins);
  ParallelSite site(may_cancel);
  Party::Peer& passed_on = first_begins ? *site.first : *site.second;
  passed_on.Reply(ResponseHead(kLong) + std::string(kPiece, 'w'));
  REQUIRE(site.Until([&] { return !site.client.body.empty(); }));
  site.client.stream.Pause();
  passed_on.Reply(std::string(kLong - kPiece, 'w'));
  site.Wait(400ms);
  CHECK(passed_on.stream.unwritten() > 0);
  site.client.stream.Read();
  REQUIRE(site.Until([&] { return !site.client.statuses.empty() || site.client.ended; }));
  REQUIRE(site.client.statuses.size() == 1);
  CHECK(site.client.bodies[0].size() == kLong);
  site.CheckNextResponses();
}

}  // namespace
}  // namespace umberdyke::net

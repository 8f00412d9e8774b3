// Tests that a real process sends nothing for clients that have left, and runs nothing twice for them.
#include <catch2/catch.hpp>
#include <map>

#include "net/paced_peers.h"
#include "net/process_site.h"

namespace umberdyke::net {
namespace {

// Nothing may be sent for a client that has left for longer than this.
constexpr Span kMostAfterClose = 100ms;

// Fails if a close by the client that lies behind unread requests goes unseen, so that these are sent on.
TEST_CASE("requests behind which their client has closed are not sent on", "[departed]") {
  const size_t padding = GENERATE(10, 300);  // bytes of each request that only fill the buffers
  const bool server_fails = GENERATE(false, true);
  CAPTURE(padding, server_fails);
  ProcessSite site("departed");
  std::vector<Time> sends;
  site.server.script = [&](Party::Peer& peer) {
    sends.push_back(Clock::now());
    if (server_fails) return site.After(700ms, [&peer] { peer.stream.Reset(); });
    site.After(30ms, [&peer] { peer.Answer(200, "ok"); });
  };
  std::string ahead;
  for (int i = 0; i < 6000; ++i) {
    ahead += Replaced(Look("4000", "ahead" + std::to_string(i)), "lot=7", "lot=" + std::string(padding, '7'));
  }
  Time closed;
  {
    PacedClient client(site.loop, *ParseAddress(site.listen_address), ahead, 0);
    REQUIRE(site.loop.RunUntil([&] { return client.written_at.has_value(); }, 5s));
    site.Wait(400ms);
    closed = Clock::now();
  }
  site.Wait(1500ms);
  CHECK(std::count_if(sends.begin(), sends.end(), [&](Time at) { return at > closed + kMostAfterClose; }) ==
        0);
}

// Fails if a request that a server may still run is run again under the same id once its client has left.
TEST_CASE("an id that comes again after its client has left is not run twice", "[departed]") {
  const std::string request_class = GENERATE("hand", "any", "unsafe");
  const Span pause = GENERATE(Span(0ms), Span(300ms), Span(2500ms));
  CAPTURE(request_class, pause.count());
  ProcessSite site("id-again", [](std::string* config) {
    const std::string classes = "\"request_classes\":[";
    *config = Replaced(*config, classes,
                       classes + R"({"name":"unsafe","semantics":"side_effect","target_us":1500000,
                                    "hard_limit_us":4000000,"points":2},)");
  });
  int runs = 0;
  site.server.script = [&](Party::Peer& peer) {
    ++runs;
    site.After(2s, [&peer] { peer.Answer(200, "ok"); });
  };
  {
    Client first(site.loop, *ParseAddress(site.listen_address));
    first.Send(Hand(request_class));
    REQUIRE(site.loop.RunUntil([&] { return runs == 1; }, 5s));
  }
  site.Wait(pause);
  const Message answer = site.Ask(Hand(request_class));
  CHECK(answer.status == 409);  // neither served nor refused with the promise that it never ran
  CHECK(runs == 1);
}

// Fails if an answer that is written to a client that has just left makes its id free.
TEST_CASE("an id whose client leaves as its answer is written is not run twice", "[departed]") {
  const int status = GENERATE(200, 500);
  CAPTURE(status);
  ProcessSite site("id-crossing", [](std::string* config) {
    *config = Replaced(*config, "\"semantics\":\"token\",\"group\":\"all\"", "\"semantics\":\"side_effect\"");
  });
  std::map<std::string, int> runs;
  std::unique_ptr<Client> first;
  site.server.script = [&](Party::Peer& peer) {
    ++runs[*peer.last.Find("X-Request-ID")];
    if (first != nullptr) first->stream.Close();
    peer.Answer(status, "");
  };
  for (int i = 0; i < 60; ++i) {
    const std::string id = "crossing" + std::to_string(i);
    const std::string request = Replaced(Hand("any"), "b2", id);
    first = std::make_unique<Client>(site.loop, *ParseAddress(site.listen_address));
    first->Send(request);
    REQUIRE(site.loop.RunUntil([&] { return runs[id] == 1 || !first->answers.empty(); }, 5s));
    site.Wait(10ms);
    first.reset();
    site.Ask(request);
    CHECK(runs[id] <= 1);
  }
}

}  // namespace
}  // namespace umberdyke::net

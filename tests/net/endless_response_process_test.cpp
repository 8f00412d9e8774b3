// Tests that a real process keeps serving while a server's response never ends.
#include <catch2/catch.hpp>
#include <csignal>

#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr Span kAim = 1500ms;        // of the class in ConfigText, when an attempt times out
constexpr Span kGrace = 500ms;       // a request is lost if its response comes later than this after its time
constexpr Span kKillDelay = 3700ms;  // SIGKILL follows this long after SIGTERM
constexpr Span kServerWork = 50ms;

// Fails if an attempt whose response has a head and no body keeps the process from all other work once the
// attempt's time is over, until the request's time is over or, where attempts can't be cancelled, for good.
TEST_CASE("a response without a length that never begins its body leaves the process serving", "[endless]") {
  const bool may_cancel = GENERATE(true, false);
  const std::string head =
      GENERATE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0000", "HTTP/1.1 200 OK\r\n\r\n");
  CAPTURE(may_cancel, head);
  ProcessSite site("endless", [&](std::string* config) {
    if (!may_cancel) *config = Replaced(*config, "\"cancel\":true", "\"cancel\":false");
  });
  site.server.script = [&](Party::Peer& peer) {
    if (site.server.requests == 1) return peer.Reply(head);
    site.After(kServerWork, [&peer, id = *peer.last.Find("X-Request-ID")] { peer.Answer(200, id); });
  };
  Client first(site.loop, *ParseAddress(site.listen_address));
  const Time start = Clock::now();
  first.Send(Look("2500", "first"));
  site.Wait(kAim + 150ms);
  for (int i = 0; i < 4; ++i) {
    const Time asked = Clock::now();
    CHECK(site.Ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200);
    CHECK(Settled(site.Ask(Look("1000", "other" + std::to_string(i))).status));
    CHECK(Clock::now() - asked < 1000ms + kGrace);
    site.Wait(100ms);
  }
  REQUIRE(site.loop.RunUntil([&] { return !first.answers.empty(); }, 5s));
  CHECK(Clock::now() - start < 2500ms + kGrace);
  site.process->Tell(SIGTERM);
  CHECK(site.loop.RunUntil([&] { return site.process->Ended().has_value(); }, kKillDelay));
}

}  // namespace
}  // namespace umberdyke::net

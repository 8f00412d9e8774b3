// Tests that a new server at the address of one that has gone is not taken for the old one.
#include <catch2/catch.hpp>

#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr int kStart = 2'000'000;  // of the new server

std::string StartedLine(const std::string& id, const std::string& address, const std::string& zone) {
  return Replaced(ServerLine(id, address, "ready", zone), "\"started_ms\":0",
                  "\"started_ms\":" + std::to_string(kStart));
}

// Fails if a keyed request that the old server may have run is repeated at the new one, which belongs to
// another zone and so does not know its key.
TEST_CASE("a keyed request is not repeated at a new server of another zone at the old address",
          "[replaced]") {
  const bool soft_removal = GENERATE(false, true);
  const bool told_gone = GENERATE(false, true);
  CAPTURE(soft_removal, told_gone);
  ProcessSite site("replaced", [&](std::string* config) {
    if (!soft_removal) return;
    *config = Replaced(*config, "\"rules\":{", "\"rules\":{\"soft_removal\":true,");
  });
  REQUIRE(site.loop.RunUntil([&] { return site.watch != nullptr; }, 5s));
  const std::string address = site.server.address();
  site.Wait(50ms);
  int runs = 0;
  site.server.script = [&](Party::Peer& peer) {
    if (++runs > 1) return peer.Answer(200, "new");
    std::vector<std::string> lines = {StartedLine("s1", address, "west")};
    if (told_gone) lines.push_back(ServerLine("s0", address, "gone"));
    site.Tell(ListText(2, false, lines));
    site.After(100ms, [&peer] { peer.stream.Reset(); });  // the old process has died
  };
  const Message answer = site.Ask(Hand("hand"));
  CHECK(answer.status != 0);
  CHECK(answer.status != 200);
  CHECK(runs == 1);
}

// Fails if work for the server that has gone goes to the new one: the share of the old one in traffic, and
// requests that were bound to it.
TEST_CASE("a server whose address another one has taken over is no longer counted or sent to", "[replaced]") {
  const bool soft_removal = GENERATE(false, true);
  CAPTURE(soft_removal);
  ProcessSite site("taken-over", [&](std::string* config) {
    *config = Replaced(*config, "\"limits\":", "\"console\":\"" + lab::OwnAddress() + ":18302\",\"limits\":");
    if (soft_removal) *config = Replaced(*config, "\"rules\":{", "\"rules\":{\"soft_removal\":true,");
  });
  site.server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  REQUIRE(site.loop.RunUntil([&] { return site.watch != nullptr; }, 5s));
  site.Tell(ListText(2, false, {StartedLine("s1", site.server.address(), "west")}));
  site.Wait(100ms);
  Client console(site.loop, *ParseAddress(lab::OwnAddress() + ":18302"));
  console.Send("GET /v1/metrics HTTP/1.1\r\n\r\n");
  REQUIRE(site.loop.RunUntil([&] { return !console.answers.empty(); }, 5s));
  CHECK(console.answers.front().body.find("targets=1\n") != std::string::npos);
  CHECK(Settled(site.Ask(Look("1000", "after")).status));
}

}  // namespace
}  // namespace umberdyke::net

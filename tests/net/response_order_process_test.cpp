// Tests that a real process never passes on bytes that its servers did not send in response to the request.
#include <catch2/catch.hpp>

#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr Span kWork = 250ms;  // longer than any delay of a copy, so that copies come before true responses

struct LateCopy {
  Span copy_delay;    // from the response to its copy
  Span client_pause;  // from the response to the client's next request
};

// Sends four requests in turn to a server that answers each twice, and checks the responses.
void CheckWithLateCopies(const LateCopy& late) {
  CAPTURE(late.copy_delay.count(), late.client_pause.count());
  ProcessSite site("late-copy");
  site.server.script = [&](Party::Peer& peer) {
    const std::string id = *peer.last.Find("X-Request-ID");
    site.After(kWork, [&peer, id] { peer.Answer(200, id); });
    site.After(kWork + late.copy_delay, [&peer, id] { peer.Answer(200, id); });
  };
  Client client(site.loop, *ParseAddress(site.listen_address));
  for (size_t i = 1; i <= 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    client.Send(Look("4000", id));
    REQUIRE(site.loop.RunUntil([&] { return client.answers.size() == i; }, 5s));
    CHECK(client.answers.back().status == 200);
    CHECK(client.answers.back().body == id);
    site.Wait(late.client_pause);
  }
}

// Fails if a copy of a response, some milliseconds late, reaches the client of the next request.
TEST_CASE("a late copy of a response is not passed on as the response to the next request", "[order]") {
  CheckWithLateCopies(GENERATE(LateCopy{2ms, 0ms}, LateCopy{10ms, 0ms}, LateCopy{20ms, 0ms}));
}

// Fails if a copy that comes later than connections rest reaches the client of the next request.
TEST_CASE("a copy of a response that is tens of milliseconds late is not passed on", "[order]") {
  CheckWithLateCopies(GENERATE(LateCopy{60ms, 30ms}, LateCopy{120ms, 60ms}, LateCopy{200ms, 100ms}));
}

}  // namespace
}  // namespace umberdyke::net

// Tests of the order in which the event loop runs timers and reads.
#include <catch2/catch.hpp>

#include "party.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr int kManyFirings = 1000;  // ends a test in which the loop runs nothing but the timer

// Fails if a timer that starts itself again without delay keeps the loop from reading its sockets.
TEST_CASE("a timer that starts itself again without delay does not keep the loop from reading", "[timer]") {
  const Span delay = GENERATE(0ms, 1ms);
  CAPTURE(delay.count());
  Loop loop;
  Party server(loop);
  bool read = false;
  server.script = [&](Party::Peer&) { read = true; };
  int firings = 0;
  std::unique_ptr<Timer> again;
  std::unique_ptr<Timer> other;
  const auto restart = [&](std::unique_ptr<Timer>& timer) {
    if (++firings >= kManyFirings || read) return;
    const Time until = Clock::now() + 2ms;  // longer than the delay, so that the timers are always overdue
    while (Clock::now() < until) {
    }
    timer->Start(delay);
  };
  again = std::make_unique<Timer>(loop, [&] { restart(again); });
  other = std::make_unique<Timer>(loop, [&] { restart(other); });
  Party::Peer client(loop, server);
  REQUIRE(client.stream.Connect(*ParseAddress(server.address())));
  loop.RunReady();
  client.stream.Write("GET / HTTP/1.1\r\n\r\n");
  again->Start(0ms);
  other->Start(0ms);
  CHECK(loop.RunUntil([&] { return read; }, 1s));
  CHECK(firings < 20);
}

// Fails if a timer that was started inside another one's callback fires before its delay is over.
TEST_CASE("a timer started by a timer that ran for long does not fire early", "[timer]") {
  Loop loop;
  Time due{};
  Time fired{};
  Timer second(loop, [&] { fired = Clock::now(); });
  Timer first(loop, [&] {
    const Time until = Clock::now() + 30ms;
    while (Clock::now() < until) {
    }
    due = Clock::now() + 20ms;
    second.Start(20ms);
  });
  first.Start(0ms);
  REQUIRE(loop.RunUntil([&] { return fired != Time{}; }, 1s));
  CHECK(fired >= due);
  CHECK(fired < due + 20ms);
}

}  // namespace
}  // namespace umberdyke::net

// Tests of the rule that ends a response which is being passed on, at its bounds.
#include "flow/response_deadline.h"

#include <catch2/catch.hpp>

#include "http1/http.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

const Time kBegin = Time() + 1h;
const Time kClientDeadline = kBegin + 2s;
const Time kInTime = kClientDeadline + ResponseDeadline::kLateResponseGrace;

ResponseDeadline Begun(std::optional<std::uint64_t> announced) {
  ResponseDeadline deadline;
  deadline.Begin(kClientDeadline, announced);
  return deadline;
}

// Fails if progress of a short response puts off its end, or 64 KiB count as more than 64 KiB.
TEST_CASE("a response of up to 64 KiB ends by its client's time, whatever comes", "[response-end]") {
  const auto announced =
      GENERATE(std::optional<std::uint64_t>(), std::optional<std::uint64_t>(kMaxBufferedBody));
  ResponseDeadline deadline = Begun(announced);
  CHECK(deadline.end() == kInTime);
  deadline.OnBody(kInTime - 1ms, kMaxBufferedBody);
  CHECK_FALSE(deadline.is_long());
  CHECK(deadline.end() == kInTime);
}

// Fails if a response that grows past 64 KiB is ended by its client's time.
TEST_CASE("a response that has brought more than 64 KiB goes on until it has been silent", "[response-end]") {
  ResponseDeadline deadline = Begun(std::nullopt);
  deadline.OnBody(kBegin, 1);
  deadline.OnBody(kInTime - 1ms, kMaxBufferedBody);
  CHECK(deadline.is_long());
  CHECK(deadline.end() == kInTime - 1ms + ResponseDeadline::kMaxSilence);
  deadline.OnBody(kInTime + 5s, 4 * ResponseDeadline::kMinBodyRate);
  CHECK(deadline.end() == kInTime + 5s + ResponseDeadline::kMaxSilence);
}

// Fails if any byte of a response that announces its length counts as progress.
TEST_CASE("a response that announces much and brings little ends by its client's time", "[response-end]") {
  ResponseDeadline deadline = Begun(kMaxBufferedBody + 1);
  for (Time now = kBegin; now < kInTime; now += 300ms) deadline.OnBody(now, 64);
  CHECK(deadline.end() == kInTime);
  deadline.OnBody(kInTime - 1ms, 5 * ResponseDeadline::kMinBodyRate);
  CHECK(deadline.end() > kInTime);
  CHECK(deadline.end() < kBegin + 6s);
}

// Fails if the pause of a client that does not read is taken for one of the server.
TEST_CASE("time in which a response is not read does not count", "[response-end]") {
  const std::uint64_t announced = GENERATE(0, 1'000'000);
  ResponseDeadline deadline = Begun(announced);
  deadline.OnBody(kBegin, 20'480);
  const Time before = deadline.end();
  deadline.Pause(kBegin + 1s);
  deadline.Pause(kBegin + 2s);
  CHECK(deadline.end() == Time::max());
  deadline.Resume(kBegin + 31s);
  deadline.Resume(kBegin + 40s);
  CHECK(deadline.end() == before + 30s);
}

}  // namespace
}  // namespace umberdyke::net

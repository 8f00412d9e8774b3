// Tests that one client that sends requests at full speed on one connection takes neither time nor memory
// from the others.
#include <catch2/catch.hpp>

#include "net/memory_limit.h"
#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr int kMemoryMb = 32;

ProcessSite::Change SmallestMemory() {
  return [](std::string* config) { *config = WithMemoryLimit(*config, kMemoryMb); };
}

// Counts the answers on a connection without parsing them one by one.
class CountingClient : public StreamCallbacks {
 public:
  CountingClient(Loop& loop, const Address& to, std::string bytes)
      : stream(loop, this), bytes_(std::move(bytes)) {
    stream.Connect(to);
  }
  void OnConnected(bool ok) override {
    if (!ok) return;
    stream.Read();
    stream.Write(bytes_);
  }
  void OnData(std::string_view bytes) override {
    for (size_t at = bytes.find("HTTP/1.1 "); at != std::string_view::npos;
         at = bytes.find("HTTP/1.1 ", at + 1))
      ++answers;
  }
  void OnEnd() override { stream.Close(); }
  Stream stream;
  int answers = 0;

 private:
  const std::string bytes_;
};

// Fails if what one client has sent ahead is all worked off before another client gets its turn.
TEST_CASE("requests sent ahead by one client do not hold up the requests of others", "[flood]") {
  constexpr int kAhead = 60'000;
  constexpr int kMostBetween = 2'000;  // of the flood, while another client waits for an answer of its own
  const std::string one =
      GENERATE("GET /nothing HTTP/1.1\r\n\r\n", "GET /-/ready HTTP/1.1\r\n\r\n",
               "GET /api HTTP/1.1\r\nX-Request-ID: a\r\nX-Priority-Class: look\r\nX-Tenant-Id: acme\r\n"
               "X-Timeout-Ms: 0\r\n\r\n");
  CAPTURE(one);
  ProcessSite site("flood", SmallestMemory());
  site.server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  std::string ahead;
  for (int i = 0; i < kAhead; ++i) ahead += one;
  CountingClient flood(site.loop, *ParseAddress(site.listen_address), ahead);
  REQUIRE(site.loop.RunUntil([&] { return flood.answers > 0; }, 5s));
  int most_between = 0;
  for (int i = 0; i < 10 && flood.answers < kAhead; ++i) {
    const int before = flood.answers;
    CHECK(Settled(site.Ask(Look("1000", "other" + std::to_string(i))).status));
    most_between = std::max(most_between, flood.answers - before);
  }
  CHECK(most_between < kMostBetween);
}

// Fails if the input of a connection grows by more than what its requests take from it.
TEST_CASE("ever new requests sent ahead by one client keep a process within its memory limit", "[flood]") {
  constexpr Span kTime = 8s;
  constexpr size_t kMostUnwritten = 1'000'000;
  const std::string request_class = GENERATE("look", "any");
  CAPTURE(request_class);
  ProcessSite site("flood-memory", SmallestMemory());
  site.server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  Client flood(site.loop, *ParseAddress(site.listen_address));
  int sent = 0;
  const auto send_more = [&] {
    if (!flood.up || flood.stream.unwritten() > kMostUnwritten) return;
    std::string more;
    for (int i = 0; i < 1000; ++i) {
      const std::string id = "new" + std::to_string(sent++);
      more += request_class == "look" ? Look("1000", id) : Replaced(Hand(request_class), "b2", id);
    }
    flood.Send(more);
  };
  const Time start = Clock::now();
  site.loop.RunUntil(
      [&] {
        send_more();
        flood.answers.clear();
        return flood.ended || !flood.stream.open();
      },
      kTime);
  CHECK(Clock::now() - start >= kTime);  // it was not closed
  INFO(site.Ask("GET /-/counters HTTP/1.1\r\n\r\n").body);
  CHECK(Settled(site.Ask(Look("1000", "other")).status));
  if (kMeasuresMemory) CHECK(site.process->PeakMb() * 1e6 < kMemoryMb * 1024.0 * 1024.0);
  CHECK_FALSE(site.process->Ended().has_value());
}

}  // namespace
}  // namespace umberdyke::net

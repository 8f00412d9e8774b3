// Tests that hundreds of clients at once, with requests and responses of any length and pace, keep a real
// process within its memory limit.
#include <catch2/catch.hpp>

#include "net/memory_limit.h"
#include "net/paced_peers.h"
#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr int kClients = 440;
constexpr Span kCrowdTime = 3s;
constexpr int kTimeoutMs = 2500;

enum class Kind {
  kPipelinedGets,       // small requests at full speed
  kPipelinedPosts,      // the same with bodies
  kPipelinedUnknown,    // requests for a path that does not exist
  kSlowlyReadRequests,  // long ones, to servers that read slowly
  kHalfRequests,        // long ones that stop half way
  kManyFields,          // begun heads of short fields
  kUnreadResponses,     // long responses that clients do not read
  kMixed,               // all of these
};
constexpr int kKinds = 7;  // besides kMixed

std::string Pipelined(Kind kind, int client) {
  constexpr int kRequests = 1500;
  std::string all;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "p" + std::to_string(client) + "." + std::to_string(i);
    if (kind == Kind::kPipelinedUnknown) all += "GET /nothing HTTP/1.1\r\nHost: s\r\n\r\n";
    if (kind == Kind::kPipelinedGets) all += Look("2500", id);
    if (kind == Kind::kPipelinedPosts) all += LongRequest(id, 4, kTimeoutMs);
  }
  return all;
}

std::string BytesOf(Kind kind, int client) {
  constexpr size_t kLong = 1'000'000;
  const std::string id = "c" + std::to_string(client);
  switch (kind) {
    case Kind::kPipelinedGets:
    case Kind::kPipelinedPosts:
    case Kind::kPipelinedUnknown:
      return Pipelined(kind, client);
    case Kind::kSlowlyReadRequests:
      return LongRequest(id, kLong, kTimeoutMs);
    case Kind::kHalfRequests:
      return LongRequest(id, kLong, kTimeoutMs, kLong / 2);
    case Kind::kManyFields: {
      std::string head = "GET /api HTTP/1.1\r\n";
      for (int i = 0; i < 250; ++i) head += "abcdefghijklmnopqrstuvwx: y\r\n";
      return head;
    }
    case Kind::kUnreadResponses:
      return Look(std::to_string(kTimeoutMs), id);
    case Kind::kMixed:
      break;
  }
  return BytesOf(static_cast<Kind>(client % kKinds), client);
}

Kind KindOfClient(Kind kind, int client) {
  return kind == Kind::kMixed ? static_cast<Kind>(client % kKinds) : kind;
}

// Fails if the parts of the memory that are limited one by one, or bytes that no limit counts, take the
// process over its limit, for which it would be killed with all requests that it has.
TEST_CASE("hundreds of slow or fast clients at once keep a process within its memory limit", "[memory]") {
  const int memory_mb = GENERATE(32, 192);
  const auto kind = static_cast<Kind>(GENERATE(range(0, kKinds + 1)));
  CAPTURE(memory_mb, static_cast<int>(kind));
  ProcessSite site("crowd-memory",
                   [memory_mb](std::string* config) { *config = WithMemoryLimit(*config, memory_mb); });
  PacedServer paced(site.loop);
  const bool slow = kind == Kind::kSlowlyReadRequests || kind == Kind::kMixed;
  paced.bytes_per_second = slow ? 100'000 : 0;
  paced.on_request = [&](PacedServer::Peer& peer) {
    const std::string* id = peer.request.Find("X-Request-ID");  // probes have none
    const bool is_regular = id == nullptr || id->starts_with("regular");
    const bool is_long = !is_regular && (kind == Kind::kUnreadResponses || kind == Kind::kMixed);
    peer.Write(WriteResponse(200, {}, std::string(is_long ? 2'000'000 : 2, 'r'), true));
  };
  REQUIRE(site.loop.RunUntil([&] { return site.watch != nullptr; }, 5s));
  site.Tell(ListText(2, true, {ServerLine("paced", paced.address())}));
  site.Wait(50ms);

  std::vector<std::unique_ptr<PacedClient>> clients;
  const Time start = Clock::now();
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<PacedClient>(site.loop, *ParseAddress(site.listen_address), BytesOf(kind, i), 0));
    const Kind one = KindOfClient(kind, i);
    clients.back()->reads = one != Kind::kUnreadResponses;
    if (i % 20 == 0) site.Wait(1ms);
  }
  int regular = 0;
  while (Clock::now() - start < kCrowdTime && !site.process->Ended()) {
    const Time asked = Clock::now();
    const Message answer = site.Ask(Look("1000", "regular" + std::to_string(regular++)));
    CHECK(answer.status != 0);
    CHECK(Clock::now() - asked < 1500ms);
    site.Wait(100ms);
  }
  INFO(site.Ask("GET /-/counters HTTP/1.1\r\n\r\n").body);
  if (kMeasuresMemory) CHECK(site.process->PeakMb() * 1e6 < memory_mb * 1024.0 * 1024.0);
  CHECK_FALSE(site.process->Ended().has_value());
}

}  // namespace
}  // namespace umberdyke::net

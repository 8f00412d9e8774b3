// Tests that what clients send and never finish keeps a real process within its memory limit.
#include <catch2/catch.hpp>

#include "net/memory_limit.h"
#include "net/process_site.h"

namespace umberdyke::net {
namespace {

constexpr Span kEndOfBadClients = 3s;  // a bad client gets an error or a close within this time
constexpr Span kServerWork = 50ms;

std::string PostHead(int number, size_t length) {
  return "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: bad" + std::to_string(number) +
         "\r\nX-Priority-Class: look\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

std::string Lines(const std::string& line, size_t count) {
  std::string lines;
  for (size_t i = 0; i < count; ++i) lines += line;
  return lines;
}

// The change of a configuration that sets its memory limit.
ProcessSite::Change MemoryLimit(int memory_mb) {
  return [memory_mb](std::string* config) { *config = WithMemoryLimit(*config, memory_mb); };
}

struct UnfinishedRequests {
  std::string name;
  int memory_mb;
  int clients;
  std::function<std::string(int number)> begin;  // what each client sends
};

std::vector<UnfinishedRequests> AllUnfinishedRequests() {
  const std::string get = "GET /api HTTP/1.1\r\n";
  return {
      {"heads of empty lines", 64, 120, [=](int) { return get + Lines("a:\r\n", 16000); }},
      {"heads of empty lines, smallest limit", 32, 400, [=](int) { return get + Lines("a:\r\n", 16000); }},
      {"heads of short lines below every limit", 32, 440,
       [=](int) { return get + Lines("abc: d\r\n", 250); }},
      {"heads of long lines below every limit", 32, 440,
       [=](int) { return get + Lines("x-padding: " + std::string(60, 'p') + "\r\n", 200); }},
      {"half-written bodies", 32, 440,
       [](int number) { return PostHead(number, 64'000) + std::string(60'000, 'b'); }},
      {"half-written bodies in chunks", 32, 440,
       [](int number) {
         std::string head = PostHead(number, 1);
         head = Replaced(head, "Content-Length: 1", "Transfer-Encoding: chunked");
         return head + Lines("3e8\r\n" + std::string(1000, 'b') + "\r\n", 60);
       }},
      {"half-written bodies that are streamed", 32, 440,
       [](int number) { return PostHead(number, 1'000'000) + std::string(100'000, 'b'); }},
      {"input behind a request in flight", 32, 440,
       [](int number) { return Look("4000", "first" + std::to_string(number)) + std::string(40'000, '\n'); }},
  };
}

// Fails if heads of many short lines, or half-written bodies of many clients, take the process over its
// memory limit, for which it would be killed with all requests that it has.
TEST_CASE("unfinished requests of many clients keep a process within its memory limit", "[memory]") {
  const auto cases = AllUnfinishedRequests();
  const UnfinishedRequests& bad = cases[GENERATE(range(size_t{0}, AllUnfinishedRequests().size()))];
  CAPTURE(bad.name);
  ProcessSite site("request-memory", MemoryLimit(bad.memory_mb));
  site.server.script = [&](Party::Peer& peer) {
    site.After(kServerWork, [&peer, id = *peer.last.Find("X-Request-ID")] { peer.Answer(200, id); });
  };
  std::vector<std::unique_ptr<Client>> clients;
  const Time start = Clock::now();
  for (int i = 0; i < bad.clients; ++i) {
    clients.push_back(std::make_unique<Client>(site.loop, *ParseAddress(site.listen_address)));
    clients.back()->Send(bad.begin(i));
    if (i % 20 == 0) site.Wait(2ms);
  }
  int regular = 0;
  const auto has_end = [](const std::unique_ptr<Client>& client) {
    return !client->answers.empty() || client->ended || !client->stream.open();
  };
  while (Clock::now() - start < kEndOfBadClients) {
    const std::string id = "regular" + std::to_string(regular++);
    const Message answer = site.Ask(Look("1000", id));
    CHECK(Settled(answer.status));
    site.Wait(100ms);
  }
  CHECK(std::all_of(clients.begin(), clients.end(), has_end));
  if (kMeasuresMemory) CHECK(site.process->PeakMb() * 1e6 < bad.memory_mb * 1024.0 * 1024.0);
  CHECK_FALSE(site.process->Ended().has_value());
}

// Fails if responses that servers have begun and not finished take the process over its memory limit.
TEST_CASE("unfinished responses to many clients keep a process within its memory limit", "[memory]") {
  constexpr int kMemoryMb = 24;
  constexpr int kClients = 440;
  const std::string body(60'000, 'r');
  ProcessSite site("response-memory", MemoryLimit(kMemoryMb));
  site.server.script = [&](Party::Peer& peer) {
    peer.Reply("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    for (int part = 0; part < 10; ++part) {
      site.After(part * 100ms, [&peer, text = body.substr(0, body.size() / 10)] { peer.Reply(text); });
    }
  };
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(site.loop, *ParseAddress(site.listen_address)));
    clients.back()->Send(Look("4000", "r" + std::to_string(i)));
    if (i % 20 == 0) site.Wait(2ms);
  }
  const auto has_answer = [](const std::unique_ptr<Client>& client) { return !client->answers.empty(); };
  REQUIRE(site.loop.RunUntil([&] { return std::all_of(clients.begin(), clients.end(), has_answer); }, 8s));
  INFO(site.Ask("GET /-/counters HTTP/1.1\r\n\r\n").body);
  int served = 0;
  for (const auto& client : clients) {
    const Message& answer = client->answers.front();
    CHECK(Settled(answer.status));
    if (answer.status == 200) CHECK(answer.body == body);
    if (answer.status == 200) ++served;
  }
  CHECK(served >= kClients / 3);  // fewer would not show much; the decision module rejects some
  if (kMeasuresMemory) CHECK(site.process->PeakMb() * 1e6 < kMemoryMb * 1024.0 * 1024.0);
}

}  // namespace
}  // namespace umberdyke::net

// The console on real sockets: its requests and limits, the metrics, and draining.
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <sstream>

#include "net/site.h"
#include "sidecar/life.h"

namespace umberdyke::net {
namespace {

Environment WithConsole() {
  return [](const std::string& name) -> std::optional<std::string> {
    return name == "ROUTER_CONSOLE" ? std::optional<std::string>("127.0.0.1:0") : std::nullopt;
  };
}

struct ConsoleSite : Site {
  explicit ConsoleSite(int servers = 1, int descriptors = 1024) : Site(servers, descriptors, WithConsole()) {}
  Message Call(const std::string& line) {
    return AskAt(sidecar->console_address(), line + " HTTP/1.1\r\nHost: c\r\n\r\n");
  }
  std::map<std::string, int> Metrics() {
    std::istringstream lines(Call("GET /v1/metrics").body);
    std::map<std::string, int> metrics;
    for (std::string line; std::getline(lines, line);) {
      metrics[line.substr(0, line.find('='))] = std::stoi(line.substr(line.find('=') + 1));
    }
    return metrics;
  }
  int ReadyPage() { return Ask("GET /-/ready HTTP/1.1\r\n\r\n").status; }
};

// Guards against a console that listens without being configured.
TEST_CASE("no console listens unless configured, and the variable overrides the file", "[console]") {
  const std::string text = ConfigText("127.0.0.1:1", "null");
  CHECK_FALSE(ParseConfig(text, NoEnvironment()).console.has_value());
  CHECK(ParseConfig(text, WithConsole()).console.has_value());
  std::string with = text;
  with.insert(1, R"("console":"127.0.0.1:7",)");
  CHECK(PrintAddress(*ParseConfig(with, NoEnvironment()).console) == "127.0.0.1:7");
  CHECK(PrintAddress(*ParseConfig(with, WithConsole()).console) == "127.0.0.1:0");
  for (const char* bad : {"7", "\"here\"", "\"host:80\"", "\"127.0.0.1:x\""}) {
    std::string broken = text;
    broken.insert(1, std::string("\"console\":") + bad + ",");
    INFO(bad);
    CHECK_THROWS_AS(ParseConfig(broken, NoEnvironment()), ConfigError);
  }
}

// Guards against wrong responses to valid and invalid requests, and against crashes on invalid ones.
TEST_CASE("each request gets its response and each invalid one its error, one per connection", "[console]") {
  ConsoleSite site;
  const std::vector<std::pair<std::string, int>> cases = {
      {"GET /v1/readyz HTTP/1.1\r\n\r\n", 200},
      {"GET /v1/readyz?verbose=1 HTTP/1.0\r\n\r\n", 200},
      {"GET /v1/metrics HTTP/1.1\r\n\r\n", 200},
      {"PUT /v1/sidecar/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 200},
      {"GET /v1/readyz HTTP/1.1\r\n\r\n", 503},
      {"PUT /v1/sidecar/activate HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200},
      {"GET /v1/readyz HTTP/1.1\r\n\r\nGET /v1/metrics HTTP/1.1\r\n\r\n", 200},
      {"PUT /v1/readyz HTTP/1.1\r\n\r\n", 405},
      {"GET /v1/sidecar/drain HTTP/1.1\r\n\r\n", 405},
      {"POST /v1/sidecar/activate HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
      {"GET /v1/sidecar HTTP/1.1\r\n\r\n", 404},
      {"GET /-/ready HTTP/1.1\r\n\r\n", 404},
      {"GET /v1/readyz HTTP/x.1\r\n\r\n", 400},
      {"\x16\x03\x01 rubbish\r\n\r\n", 400},
      {"GET /v1/metrics HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400},
      {"PUT /v1/sidecar/drain HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"GET /v1/metrics HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n", 431},
      {"PUT /v1/sidecar/drain HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
  };
  for (const auto& [text, status] : cases) {
    INFO(text.substr(0, 90));
    Client client(site.loop, site.sidecar->console_address());
    client.Send(text);
    REQUIRE(site.Until([&] { return client.ended; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].status == status);
    CHECK_FALSE(client.answers[0].keep_alive);
    if (status == 405) CHECK(client.answers[0].Find("Allow") != nullptr);
  }
  CHECK(site.ReadyPage() == 200);
}

// Guards against callers that block the console: silent ones, ones with half a request, and more than its
// connection limit, while clients use up all descriptors reserved for clients.
TEST_CASE("a console request is answered within a second whatever other callers do", "[console]") {
  ConsoleSite site(1, 128);
  Party::Peer* held_peer = nullptr;
  site.Script([&](Party::Peer& peer) { held_peer = &peer; });
  std::vector<std::unique_ptr<Client>> others;
  for (int i = 0; i < 80; ++i) {
    others.push_back(site.Connect());
    if (i % 2 == 0) others.back()->Send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  }
  for (int i = 0; i < 60; ++i) {
    others.push_back(std::make_unique<Client>(site.loop, site.sidecar->console_address()));
    if (i % 2 == 0) others.back()->Send("GET /v1/metrics HT");
  }
  for (int i = 0; i < 20; ++i) {
    const Time start = Clock::now();
    CHECK(site.Call("GET /v1/readyz").status == 200);
    CHECK(Clock::now() - start < 1s);
  }
  CHECK(site.sidecar->counters().Of("console_shed") > 0);
  // Each remaining caller is answered or closed before the request timeout.
  const Time start = Clock::now();
  CHECK(site.Until([&] {
    return std::all_of(others.begin() + 80, others.end(), [](const auto& c) { return c->ended; });
  }));
  CHECK(Clock::now() - start < 4s);
}

// Guards against removing a connection twice when its end is read in the loop turn in which its timer fires.
// Found on the test cluster, with links that delayed a response for as long as a connection may linger.
TEST_CASE("a connection that closes as its timer fires is removed once", "[console]") {
  ConsoleSite site;
  const Address console = site.sidecar->console_address();
  for (int i = 0; i < 3; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&console), sizeof(sockaddr_in)) == 0);
    const std::string call = "GET /v1/readyz HTTP/1.1\r\n\r\n";
    REQUIRE(write(fd, call.data(), call.size()) == static_cast<ssize_t>(call.size()));
    // The end is read at 385 ms, and the same loop turn lasts past the linger timeout of 400 ms.
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    bool slept = false;
    const FdWatcher slow_reader(site.loop, ends[0], [&] {
      char byte;
      if (read(ends[0], &byte, 1) == 1) usleep(30'000);
      slept = true;
    });
    Timer close_timer(site.loop, [&] {
      close(fd);
      CHECK(write(ends[1], "x", 1) == 1);
    });
    close_timer.Start(385ms);
    REQUIRE(site.Until([&] { return slept; }));
    site.loop.RunUntil([] { return false; }, 50ms);
    close(ends[1]);
  }
  CHECK(site.sidecar->counters().Of("invariant_broken") == 0);
}

// Guards against metrics that miss a request or count it twice, however it ends.
TEST_CASE("each request is counted once, by its class and result", "[console]") {
  ConsoleSite site;
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  for (int i = 0; i < 3; ++i) CHECK(site.Ask(Look()).status == 200);
  std::map<std::string, int> metrics = site.Metrics();
  CHECK(metrics["success.look"] == 3);
  CHECK(metrics["dispatches"] == 3);
  CHECK(metrics["concurrent"] == 0);
  CHECK(metrics["targets"] == 1);
  CHECK(metrics["targets_disabled"] == 0);

  site.Script([](Party::Peer& peer) { peer.Answer(500, ""); });
  CHECK(site.Ask(Hand()).status == 502);
  site.Script([](Party::Peer& peer) { peer.Answer(400, ""); });
  CHECK(site.Ask(Hand()).status == 400);
  Party::Peer* held_peer = nullptr;
  site.Script([&](Party::Peer& peer) { held_peer = &peer; });
  const auto waiting = site.Connect();
  waiting->Send(Hand());
  REQUIRE(site.Until([&] { return held_peer != nullptr; }));
  CHECK(site.Metrics()["concurrent"] == 1);
  CHECK(site.Ask(Hand()).status == 409);  // another flow with this id is open
  waiting->stream.Close();
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("flows_left") == 1; }));
  CHECK(site.Ask(Hand("unheard-of")).status == 400);  // not counted: it has no class
  CHECK(site.Ask("GET" + Hand().substr(4)).status == 400);

  site.Tell(ListText(2, true, {}));
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("discovery_changes") == 1; }));
  CHECK(site.Ask(Look("300")).status == 503);
  metrics = site.Metrics();
  CHECK(metrics["success.look"] == 3);
  CHECK(metrics["overload.look"] == 1);
  CHECK(metrics["error.hand"] == 5);
  CHECK(metrics["success.hand"] + metrics["overload.hand"] == 0);
  CHECK(metrics["concurrent"] == 0);
  CHECK(metrics["targets"] == 0);
  CHECK(metrics.size() == 3 * 3 + 4);
}

// Guards against counting a server as available that the decision module does not use.
TEST_CASE("draining and ejected servers count as listed and disabled", "[console]") {
  ConsoleSite site(4);
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  REQUIRE(site.Until([&] { return site.watch != nullptr; }));
  site.Tell(ListText(2, false, {ServerLine("s0", site.real[0]->address(), "draining")}));
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("discovery_changes") == 1; }));
  std::map<std::string, int> metrics = site.Metrics();
  CHECK(metrics["targets"] == 4);
  CHECK(metrics["targets_disabled"] == 1);
  site.real[1]->script = [](Party::Peer& peer) { peer.stream.Close(); };
  for (int i = 0; i < 30 && site.real[1]->requests == 0; ++i) site.Ask(Look());
  metrics = site.Metrics();
  CHECK(metrics["targets"] == 4);
  CHECK(metrics["targets_disabled"] == 2);
}

// Guards against a class name that reads as another metric or as two lines.
TEST_CASE("special characters in a class name are escaped in the metrics", "[console]") {
  ConsoleMetrics metrics;
  metrics.classes.push_back({"a=7\nsuccess.b", 1, 2, 3});
  metrics.classes.push_back({"", 4, 5, 6});
  const std::string text = FormatMetrics(metrics);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2 * 3 + 4);
  CHECK(text.find("success.a%3D7%0Asuccess.b=1\n") == 0);
  CHECK(text.find("success.=4\n") != std::string::npos);
}

// Guards against clients that stay connected after a drain, and against a close that crosses a request.
TEST_CASE("a drained sidecar is not ready, serves what arrives and closes every connection", "[console]") {
  ConsoleSite site;
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  const auto kept = site.Connect();
  const auto idle = site.Connect();
  for (const auto& client : {kept.get(), idle.get()}) {
    client->Send(Look());
    REQUIRE(site.Until([&] { return !client->answers.empty(); }));
  }
  CHECK(kept->answers[0].keep_alive);
  const Time start = Clock::now();
  REQUIRE(site.Call("PUT /v1/sidecar/drain").status == 200);
  CHECK(site.ReadyPage() == 503);
  CHECK(site.Call("GET /v1/readyz").status == 503);
  CHECK(site.Call("PUT /v1/sidecar/drain").status == 200);  // a repeat succeeds too
  // Requests are still served, on an old connection and on a new one, each as the last of its connection.
  kept->Send(Look());
  REQUIRE(site.Until([&] { return kept->answers.size() == 2; }));
  CHECK(kept->answers[1].status == 200);
  CHECK_FALSE(kept->answers[1].keep_alive);
  const Message late = site.Ask(Look());
  CHECK(late.status == 200);
  CHECK_FALSE(late.keep_alive);
  const auto silent = site.Connect();
  REQUIRE(site.Until([&] { return kept->ended; }));
  CHECK_FALSE(idle->ended);  // not yet: its client may be sending a request
  REQUIRE(site.Until([&] { return idle->ended && silent->ended; }));
  CHECK(Clock::now() - start < 2s);

  CHECK(site.Call("PUT /v1/sidecar/activate").status == 200);
  CHECK(site.Call("GET /v1/readyz").status == 200);
  CHECK(site.ReadyPage() == 200);
  CHECK(site.Ask(Look()).keep_alive);
}

// Guards against drain and activate requests that leave a wrong state.
TEST_CASE("the sidecar's state is right after drain, activate and end in any order", "[console]") {
  Lifecycle lifecycle;
  CHECK(lifecycle.state() == Lifecycle::State::kStarting);
  CHECK(lifecycle.Drain());
  lifecycle.StartServing(Clock::now());
  CHECK(lifecycle.state() == Lifecycle::State::kDrained);
  CHECK(lifecycle.Activate());
  CHECK(lifecycle.Activate());
  CHECK(lifecycle.ready());
  CHECK(lifecycle.Drain());
  CHECK(lifecycle.Drain());
  CHECK(lifecycle.Shutdown());
  CHECK_FALSE(lifecycle.Shutdown());
  CHECK_FALSE(lifecycle.Activate());
  CHECK_FALSE(lifecycle.Drain());
  CHECK(lifecycle.state() == Lifecycle::State::kShuttingDown);
}

// Guards against a drained sidecar that does not end, and against a console that stops before the end.
TEST_CASE("a drained sidecar ends as usual, and a reload does not undo the drain", "[console]") {
  ConsoleSite site;
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  CHECK(site.Call("PUT /v1/sidecar/drain").status == 200);
  site.sidecar->Reload(
      [&] { return ParseConfig(ConfigText(site.discovery.address(), "null"), WithConsole()); });
  CHECK(site.Call("GET /v1/readyz").status == 503);
  bool ended = false;
  site.sidecar->Shutdown([&] { ended = true; });
  CHECK(site.Call("PUT /v1/sidecar/activate").status == 409);
  CHECK(site.Call("GET /v1/metrics").status == 200);
  CHECK(site.Ask(Look()).status == 200);
  CHECK(site.Until([&] { return ended; }));
}

}  // namespace
}  // namespace umberdyke::net

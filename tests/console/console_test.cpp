// The second address on real sockets: its calls, its bounds, the figures, and sending clients away.
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
  std::map<std::string, int> Figures() {
    std::istringstream lines(Call("GET /v1/metrics").body);
    std::map<std::string, int> figures;
    for (std::string line; std::getline(lines, line);) {
      figures[line.substr(0, line.find('='))] = std::stoi(line.substr(line.find('=') + 1));
    }
    return figures;
  }
  int ReadyPage() { return Ask("GET /-/ready HTTP/1.1\r\n\r\n").status; }
};

// Guards against a second address that nobody asked for.
TEST_CASE("no console is opened where none is set, and the variable goes before the file", "[console]") {
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

// Guards against calls that are answered as something else, and against dying of them.
TEST_CASE("every call has its answer, and what is none its error, one to a connection", "[console]") {
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

// Guards against callers that hold the console shut: silent, half-written, and more than it has room for,
// while clients hold every descriptor of theirs.
TEST_CASE("a call is answered within a second whoever else sits there", "[console]") {
  ConsoleSite site(1, 128);
  Party::Peer* held = nullptr;
  site.Script([&](Party::Peer& peer) { held = &peer; });
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
  // Those that stay have an answer or a close within the time that a call may take.
  const Time start = Clock::now();
  CHECK(site.Until([&] {
    return std::all_of(others.begin() + 80, others.end(), [](const auto& c) { return c->ended; });
  }));
  CHECK(Clock::now() - start < 4s);
}

// Guards against a caller that leaves in the turn of the loop in which its time ends as well: found by the
// bed, with links that held an answer for as long as a caller may linger.
TEST_CASE("a caller that leaves as its time ends leaves once", "[console]") {
  ConsoleSite site;
  const Address console = site.sidecar->console_address();
  for (int i = 0; i < 3; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&console), sizeof(sockaddr_in)) == 0);
    const std::string call = "GET /v1/readyz HTTP/1.1\r\n\r\n";
    REQUIRE(write(fd, call.data(), call.size()) == static_cast<ssize_t>(call.size()));
    // Its end is read at 385 ms, and the same turn of the loop goes on past the 400 ms that it may linger.
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    bool slept = false;
    const FdWatcher slow(site.loop, ends[0], [&] {
      char byte;
      if (read(ends[0], &byte, 1) == 1) usleep(30'000);
      slept = true;
    });
    Timer late(site.loop, [&] {
      close(fd);
      CHECK(write(ends[1], "x", 1) == 1);
    });
    late.Start(385ms);
    REQUIRE(site.Until([&] { return slept; }));
    site.loop.RunUntil([] { return false; }, 50ms);
    close(ends[1]);
  }
  CHECK(site.sidecar->counters().Of("invariant_broken") == 0);
}

// Guards against figures that miss or double a request, however it ends.
TEST_CASE("every request is counted once, under its class and how it ended", "[console]") {
  ConsoleSite site;
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  for (int i = 0; i < 3; ++i) CHECK(site.Ask(Look()).status == 200);
  std::map<std::string, int> figures = site.Figures();
  CHECK(figures["success.look"] == 3);
  CHECK(figures["dispatches"] == 3);
  CHECK(figures["concurrent"] == 0);
  CHECK(figures["targets"] == 1);
  CHECK(figures["targets_disabled"] == 0);

  site.Script([](Party::Peer& peer) { peer.Answer(500, ""); });
  CHECK(site.Ask(Hand()).status == 502);
  site.Script([](Party::Peer& peer) { peer.Answer(400, ""); });
  CHECK(site.Ask(Hand()).status == 400);
  Party::Peer* held = nullptr;
  site.Script([&](Party::Peer& peer) { held = &peer; });
  const auto waiting = site.Connect();
  waiting->Send(Hand());
  REQUIRE(site.Until([&] { return held != nullptr; }));
  CHECK(site.Figures()["concurrent"] == 1);
  CHECK(site.Ask(Hand()).status == 409);  // its id is open in another flow
  waiting->stream.Close();
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("flows_left") == 1; }));
  CHECK(site.Ask(Hand("unheard-of")).status == 400);  // of no class: nobody's count
  CHECK(site.Ask("GET" + Hand().substr(4)).status == 400);

  site.Tell(ListText(2, true, {}));
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("discovery_changes") == 1; }));
  CHECK(site.Ask(Look("300")).status == 503);
  figures = site.Figures();
  CHECK(figures["success.look"] == 3);
  CHECK(figures["overload.look"] == 1);
  CHECK(figures["error.hand"] == 5);
  CHECK(figures["success.hand"] + figures["overload.hand"] == 0);
  CHECK(figures["concurrent"] == 0);
  CHECK(figures["targets"] == 0);
  CHECK(figures.size() == 3 * 3 + 4);
}

// Guards against counting a server as in use that the module keeps off.
TEST_CASE("servers that drain or are ejected are listed and disabled", "[console]") {
  ConsoleSite site(4);
  site.Script([](Party::Peer& peer) { peer.Answer(200, "ok"); });
  REQUIRE(site.Until([&] { return site.watch != nullptr; }));
  site.Tell(ListText(2, false, {ServerLine("s0", site.real[0]->address(), "draining")}));
  REQUIRE(site.Until([&] { return site.sidecar->counters().Of("discovery_changes") == 1; }));
  std::map<std::string, int> figures = site.Figures();
  CHECK(figures["targets"] == 4);
  CHECK(figures["targets_disabled"] == 1);
  site.real[1]->script = [](Party::Peer& peer) { peer.stream.Close(); };
  for (int i = 0; i < 30 && site.real[1]->requests == 0; ++i) site.Ask(Look());
  figures = site.Figures();
  CHECK(figures["targets"] == 4);
  CHECK(figures["targets_disabled"] == 2);
}

// Guards against a name that would read as another figure, or as two lines.
TEST_CASE("a hostile class name breaks neither the form nor the line", "[console]") {
  ConsoleMetrics figures;
  figures.classes.push_back({"a=7\nsuccess.b", 1, 2, 3});
  figures.classes.push_back({"", 4, 5, 6});
  const std::string text = FormatMetrics(figures);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2 * 3 + 4);
  CHECK(text.find("success.a%3D7%0Asuccess.b=1\n") == 0);
  CHECK(text.find("success.=4\n") != std::string::npos);
}

// Guards against clients that stay after they were sent away, and against a close that crosses a request.
TEST_CASE("drained, it says no, serves what comes and lets every connection go", "[console]") {
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
  CHECK(site.Call("PUT /v1/sidecar/drain").status == 200);  // as often as anybody likes
  // What still comes is served, on a connection that was there and on a new one, and each is the last there.
  kept->Send(Look());
  REQUIRE(site.Until([&] { return kept->answers.size() == 2; }));
  CHECK(kept->answers[1].status == 200);
  CHECK_FALSE(kept->answers[1].keep_alive);
  const Message late = site.Ask(Look());
  CHECK(late.status == 200);
  CHECK_FALSE(late.keep_alive);
  const auto silent = site.Connect();
  REQUIRE(site.Until([&] { return kept->ended; }));
  CHECK_FALSE(idle->ended);  // not at once: its client may be asking
  REQUIRE(site.Until([&] { return idle->ended && silent->ended; }));
  CHECK(Clock::now() - start < 2s);

  CHECK(site.Call("PUT /v1/sidecar/activate").status == 200);
  CHECK(site.Call("GET /v1/readyz").status == 200);
  CHECK(site.ReadyPage() == 200);
  CHECK(site.Ask(Look()).keep_alive);
}

// Guards against two notices that undo one another.
TEST_CASE("the life of a sidecar goes on from any order of notices", "[console]") {
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

// Guards against a drain that hides the end, and against an end that the console forgets.
TEST_CASE("a drain under way ends like any other, and reloads change nothing of it", "[console]") {
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

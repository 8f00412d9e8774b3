// From a description to an answer: two applications that share a host are written, checked, and all their
// sidecars started as processes on loopback; each serves a request, and each ends when it is told to.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cases.h"
#include "ctl/command.h"
#include "files/files.h"
#include "lab/common/process.h"
#include "net/site.h"

namespace umberdyke::net {
namespace {

namespace fs = std::filesystem;

TEST_CASE("two applications on one host, written and checked by the tool, each serve on loopback",
          "[serve]") {
  Loop loop;
  Party server(loop), discovery(loop);
  server.script = [](Party::Peer& peer) {
    peer.Answer(200, "lot 7", {{"X-Server-Load", R"({"inflight":1,"queue":0})"}});
  };
  discovery.script = [&](Party::Peer& peer) {
    peer.Reply(ListResponse(ListText(1, true, {ServerLine("s1", server.address())})));
  };
  const fs::path folder = fs::temp_directory_path() / ("umberdyke-serve-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const std::string host = lab::OwnAddress();
  std::vector<std::string> descriptions, files;
  for (const char* name : {"linen-track", "valet-desk"}) {
    std::string text = config::TextOf(std::string(UMBERDYKE_SOURCE "/examples/apps/") + name + ".toml");
    for (const char* port : {"8500", "8501", "8600", "8601"}) {
      text = Replaced(text, std::string("discovery = \"127.0.0.1:") + port,
                      "discovery = \"" + discovery.address());
    }
    text = Replaced(Replaced(text, "127.0.0.1:80", host + ":80"), "address = \"127.0.0.1\"",
                    "address = \"" + host + "\"");
    descriptions.push_back((folder / (std::string(name) + ".toml")).string());
    REQUIRE(files::WriteFileAtomically(descriptions.back(), text).empty());
  }
  std::ostringstream said;
  const auto ctl = [&](std::vector<std::string> arguments) { return ctl::Run(arguments, {said, said}); };
  INFO(said.str());
  REQUIRE(ctl({"config", "check", descriptions[0], descriptions[1]}) == 0);
  for (const std::string& d : descriptions) {
    REQUIRE(ctl({"config", "write", d, "--host", "front-a", "--out", (folder / "out").string()}) == 0);
  }
  std::vector<std::string> check = {"config", "check"};
  for (const auto& entry : fs::directory_iterator(folder / "out")) files.push_back(entry.path().string());
  check.insert(check.end(), files.begin(), files.end());
  REQUIRE(files.size() == 4);
  REQUIRE(ctl(check) == 0);

  std::vector<std::unique_ptr<lab::Process>> sidecars;
  for (const std::string& file : files) {
    sidecars.push_back(std::make_unique<lab::Process>(
        std::vector<std::string>{UMBERDYKE_PROGRAM, "--config", file, "--log-format", "json"},
        file + ".log"));
  }
  // The class and tenant of each application, and where its entry listens.
  const std::vector<std::pair<std::string, std::string>> asks = {
      {":8081", "X-Priority-Class: lot-status\r\nX-Tenant-Id: kesar-wash\r\n"},
      {":8082", "X-Priority-Class: lot-status\r\nX-Tenant-Id: narmada-linen\r\n"},
      {":8091", "X-Priority-Class: menu\r\n"},
      {":8092", "X-Priority-Class: menu\r\n"}};
  for (const auto& [port, headers] : asks) {
    INFO(port);
    const auto ask = [&](const std::string& request, Span most) {
      Client client(loop, *ParseAddress(host + port));
      client.Send(request);
      loop.RunUntil([&] { return !client.answers.empty() || client.ended; }, most);
      return client.answers.empty() ? Message() : client.answers.front();
    };
    int ready = 0;
    for (int i = 0; i < 200 && ready != 200; ++i) {
      if (i > 0) loop.RunUntil([] { return false; }, 50ms);
      ready = ask("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n", 100ms).status;
    }
    CHECK(ready == 200);
    const Message answer = ask("GET /api?lot=7 HTTP/1.1\r\nHost: s\r\nX-Request-ID: a" + port.substr(1) +
                                   "\r\n" + headers + "X-Timeout-Ms: 2000\r\n\r\n",
                               5s);
    CHECK(answer.status == 200);
    CHECK(answer.body == "lot 7");
  }
  for (const auto& sidecar : sidecars) sidecar->Tell(SIGTERM);
  for (size_t i = 0; i < sidecars.size(); ++i) {
    std::optional<int> status;
    loop.RunUntil([&] { return (status = sidecars[i]->Ended()).has_value(); }, 10s);
    CHECK(status == 0);
    // Every line of the log is JSON, and the first and last event are the start and the end.
    std::istringstream lines(config::TextOf(files[i] + ".log"));
    std::vector<std::string> events;
    for (std::string line; std::getline(lines, line);) {
      const auto json = nlohmann::json::parse(line, nullptr, false);
      INFO(line);
      REQUIRE(json.is_object());
      for (const char* field : {"time", "level", "event", "instance", "text"}) CHECK(json.contains(field));
      events.push_back(json["event"]);
    }
    REQUIRE(events.size() >= 2);
    CHECK(events.front() == "listening");
    CHECK(events.back() == "ended");
  }
  fs::remove_all(folder);
}

// Guards against a start that waits for discovery: killed together, all begin again at their addresses, and
// the calls of every second one are refused, those of the others never answered; half have their lists
// pushed.
TEST_CASE("nine in ten of the processes that are restarted together are ready within 10 s", "[serve]") {
  Loop loop;
  Party discovery(loop);
  discovery.script = [&](Party::Peer& peer) {
    if (discovery.requests % 2 == 0) peer.Answer(503, "");
  };
  const fs::path folder = fs::temp_directory_path() / ("umberdyke-restart-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const std::string host = lab::OwnAddress();
  constexpr int kProcesses = 20;
  const auto address = [&](int i) { return host + ":" + std::to_string(8100 + i); };
  const auto start = [&](int i) {
    const std::string file = (folder / (std::to_string(i) + ".json")).string();
    std::string text = ConfigText(discovery.address(), ListText(1, true, {ServerLine("s", "127.0.0.1:9")}));
    text = Replaced(text, "127.0.0.1:0", address(i));
    if (i % 2 == 0) text = Replaced(text, R"("discovery":"ask")", R"("discovery":"push")");
    REQUIRE(files::WriteFileAtomically(file, text).empty());
    return std::make_unique<lab::Process>(std::vector<std::string>{UMBERDYKE_PROGRAM, "--config", file},
                                          file + ".log");
  };
  const auto ready = [&](int i) {
    Client client(loop, *ParseAddress(address(i)));
    client.Send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    loop.RunUntil([&] { return !client.answers.empty() || client.ended; }, 50ms);
    return !client.answers.empty() && client.answers[0].status == 200;
  };
  for (int life = 0; life < 2; ++life) {
    std::vector<std::unique_ptr<lab::Process>> processes;
    for (int i = 0; i < kProcesses; ++i) processes.push_back(start(i));
    const Time end = Clock::now() + 10s;
    std::vector<bool> are(kProcesses);
    while (Clock::now() < end && std::count(are.begin(), are.end(), true) < kProcesses) {
      for (int i = 0; i < kProcesses; ++i) are[i] = are[i] || ready(i);
    }
    INFO("life " << life);
    CHECK(std::count(are.begin(), are.end(), true) >= kProcesses * 9 / 10);
  }  // killed here
  fs::remove_all(folder);
}

TEST_CASE("a file that breaks a rule starts no sidecar, and --check tells every finding", "[serve]") {
  config::Findings none;
  const auto app =
      config::ReadApplication("a", config::TextOf(UMBERDYKE_SOURCE "/examples/apps/linen-track.toml"), &none);
  const std::string good = config::WriteSidecars(*app, "front-a").front().text;
  const std::string bad =
      config::Edited(config::Edited(good, "\"most_tries\": 5", "\"most_tries\": 9"), ": 300000", ": 900000");
  const fs::path path = fs::temp_directory_path() / ("umberdyke-bad-" + std::to_string(getpid()) + ".json");
  const auto run = [&](const std::string& text, std::vector<std::string> more) {
    REQUIRE(files::WriteFileAtomically(path.string(), text).empty());
    std::vector<std::string> arguments = {UMBERDYKE_PROGRAM, "--config", path.string()};
    arguments.insert(arguments.end(), more.begin(), more.end());
    lab::Process process(arguments, path.string() + ".log");
    std::optional<int> status;
    Loop loop;
    loop.RunUntil([&] { return (status = process.Ended()).has_value(); }, 10s);
    return status;
  };
  CHECK(run(bad, {}) == 2);
  CHECK(config::TextOf(path.string() + ".log").find("too-many-attempts") != std::string::npos);
  CHECK(run(bad, {"--check"}) == 1);
  CHECK(run(good, {"--check"}) == 0);
  CHECK(run(good.substr(0, good.size() / 2), {}) == 2);
  CHECK(run(good, {"--no-such-option"}) == 2);
  CHECK(run(good, {"--version"}) == 0);
  fs::remove(path);
  const std::vector<std::string> check = {UMBERDYKE_PROGRAM, "--check", "--config", path.string()};
  CHECK(lab::Process(check, path.string() + ".log").Ended() != std::optional(0));
  fs::remove(path.string() + ".log");
}

}  // namespace
}  // namespace umberdyke::net

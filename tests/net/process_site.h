// A test site whose sidecar is a real process, for faults that would stop or end the test's own process too.
#ifndef UMBERDYKE_TESTS_NET_PROCESS_SITE_H_
#define UMBERDYKE_TESTS_NET_PROCESS_SITE_H_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/site.h"

namespace umberdyke::net {

// A real process in front of one server, which the test scripts on its own loop.
struct ProcessSite {
  using Change = std::function<void(std::string* config)>;
  explicit ProcessSite(const std::string& name, const Change& change = {})
      : folder((std::filesystem::temp_directory_path() / ("umberdyke-" + name + std::to_string(getpid())))
                   .string()),
        listen_address(lab::OwnAddress() + ":18301") {
    discovery.script = [this](Party::Peer& peer) {
      watch = &peer;
      peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    const std::string known = ListText(1, true, {ServerLine("s0", server.address())});
    std::string text = Replaced(ConfigText(discovery.address(), known), "127.0.0.1:0", listen_address);
    if (change) change(&text);
    std::filesystem::create_directories(folder);
    REQUIRE(files::WriteFileAtomically(folder + "/n0.json", text).empty());
    process = std::make_unique<lab::Process>(
        std::vector<std::string>{UMBERDYKE_PROGRAM, "--config", folder + "/n0.json"}, folder + "/n0.log");
    REQUIRE(loop.RunUntil([this] { return Ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200; }, 10s));
  }
  ~ProcessSite() { std::filesystem::remove_all(folder); }

  void After(Span delay, std::function<void()> task) {
    timers.push_back(std::make_unique<Timer>(loop, std::move(task)));
    timers.back()->Start(delay);
  }
  void Wait(Span time) {
    loop.RunUntil([] { return false; }, time);
  }
  // Reports a change of the server list.
  void Tell(const std::string& line) { watch->Reply(ListChunk(line)); }
  Message Ask(const std::string& request) {
    Client client(loop, *ParseAddress(listen_address));
    client.Send(request);
    loop.RunUntil([&] { return !client.answers.empty() || client.ended || !client.stream.open(); }, 5s);
    return client.answers.empty() ? Message() : client.answers.front();
  }

  const std::string folder;
  Loop loop;
  Party discovery{loop};
  Party::Peer* watch = nullptr;
  Party server{loop};
  const std::string listen_address;
  std::unique_ptr<lab::Process> process;
  std::vector<std::unique_ptr<Timer>> timers;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_PROCESS_SITE_H_

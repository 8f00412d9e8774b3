// A test cluster: sidecars as real processes that share one address, one server and discovery.
#ifndef UMBERDYKE_TESTS_HANDOVER_CLUSTER_H_
#define UMBERDYKE_TESTS_HANDOVER_CLUSTER_H_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/site.h"

namespace umberdyke::net {

// A test cluster of one server and discovery, in which sidecars run as processes.
struct HandoverCluster {
  HandoverCluster() : server(loop), discovery(loop) {
    folder = std::filesystem::temp_directory_path() / ("umberdyke-handover-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder / "run");
    host = lab::OwnAddress();
    server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
    discovery.script = [this](Party::Peer& peer) {
      peer.Reply(ListResponse(ListText(2, true, {ServerLine("s1", server.address())})));
    };
  }
  ~HandoverCluster() {
    processes.clear();
    std::filesystem::remove_all(folder);
  }
  std::string listen() const { return host + ":8081"; }
  // Where a process offers its listening socket to successors.
  std::string HandoverSocket() const {
    return (folder / "run" / ("umberdyke-" + host + "-8081.sock")).string();
  }
  std::string console(int number) const { return host + ":" + std::to_string(9800 + number); }

  // Starts the next process of the sidecar and returns its number, which selects its console address.
  int Start(const std::string& run_folder = "run", const std::string& limits = "",
            const Site::Change& change = {}) {
    const int number = static_cast<int>(processes.size());
    const std::string file = (folder / ("config" + std::to_string(number) + ".json")).string();
    std::string text =
        ConfigText(discovery.address(), ListText(1, true, {ServerLine("s1", server.address())}));
    text.insert(1, "\"console\":\"" + console(number) + "\",");
    text.replace(text.find("127.0.0.1:0"), 11, listen());
    if (!limits.empty()) text.replace(text.find("{\"sockets\":1024}"), 16, limits);
    // In tier 1 no request is rejected for its expected duration. In this test it is microseconds, so one
    // hiccup would cause rejections.
    text.replace(text.find("\"tier\":0"), 8, "\"tier\":1");
    if (change) change(&text);
    REQUIRE(files::WriteFileAtomically(file, text).empty());
    std::vector<std::string> arguments = {"/usr/bin/env", "TMPDIR=" + (folder / run_folder).string(),
                                          UMBERDYKE_PROGRAM, "--config", file};
    arguments.insert(arguments.end(), options.begin(), options.end());
    processes.push_back(std::make_unique<lab::Process>(arguments, file + ".log"));
    return number;
  }
  std::string Log(int number) const {  // empty until the process has written to it
    return files::ReadFile((folder / ("config" + std::to_string(number) + ".json.log")).string(), 1 << 20)
        .text;
  }
  int CallConsole(int number, const std::string& line, Span timeout = 1s) {
    Client client(loop, *ParseAddress(console(number)));
    client.Send(line + " HTTP/1.1\r\n\r\n");
    loop.RunUntil([&] { return !client.answers.empty() || client.ended; }, timeout);
    return client.answers.empty() ? 0 : client.answers[0].status;
  }
  bool WaitUntilReady(int number, Span timeout = 6s) {
    const Time until = Clock::now() + timeout;
    while (Clock::now() < until) {
      if (CallConsole(number, "GET /v1/readyz", 200ms) == 200) return true;
      loop.RunUntil([] { return false; }, 10ms);
    }
    return false;
  }
  void Wait(Span time) {
    loop.RunUntil([] { return false; }, time);
  }
  int SendRequest() {
    Client client(loop, *ParseAddress(listen()));
    const Time start = Clock::now();
    client.Send(Request());
    loop.RunUntil([&] { return !client.answers.empty() || client.ended; }, 3s);
    const int status = client.answers.empty() ? 0 : client.answers[0].status;
    if (status == 200) return status;
    // For the failure message: make each process print its counters, and add all logs.
    for (const auto& process : processes) process->Tell(SIGUSR1);
    loop.RunUntil([] { return false; }, 200ms);
    for (size_t i = 0; i < processes.size(); ++i) UNSCOPED_INFO(Log(static_cast<int>(i)));
    UNSCOPED_INFO(std::chrono::duration<double>(Clock::now() - start).count() << " s, status " << status);
    return status;
  }
  std::string Request() {
    std::string text = Look();
    return text.replace(text.find("a1"), 2, "r" + std::to_string(++requests_made));
  }
  std::optional<int> WaitForExit(int number, Span timeout = 6s) {
    std::optional<int> status;
    loop.RunUntil([&] { return (status = processes[static_cast<size_t>(number)]->Ended()).has_value(); },
                  timeout);
    return status;
  }
  void SignalProcess(int number, int signal) { processes[static_cast<size_t>(number)]->Tell(signal); }

  Loop loop;
  Party server, discovery;
  std::filesystem::path folder;
  std::string host;
  std::vector<std::unique_ptr<lab::Process>> processes;
  std::vector<std::string> options;  // of the program, besides --config
  int requests_made = 0;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_HANDOVER_CLUSTER_H_

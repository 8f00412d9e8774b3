// Tests of replacing a sidecar process under load, with real processes that share one address.
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

#include "config/cases.h"
#include "files/files.h"
#include "handover/cluster.h"

namespace umberdyke::net {
namespace {

namespace fs = std::filesystem;

// Clients that reuse connections, open new ones, and count the result of every request.
class Load {
 public:
  Load(HandoverCluster& cluster, int client_count)
      : cluster_(cluster),
        client_count_(static_cast<size_t>(client_count)),
        timer_(cluster.loop, [this] { Step(); }) {
    timer_.Start(2ms);
  }
  void Stop() { stopping_ = true; }
  bool Finished() const { return clients_.empty(); }
  int answered = 0, lost = 0, other = 0, sent = 0;

 private:
  struct LoadClient {
    std::unique_ptr<Client> connection;
    size_t requests = 0;
    size_t max_requests = 0;
  };
  void Step() {
    for (auto it = clients_.begin(); it != clients_.end();) {
      LoadClient& client = *it;
      const bool answered_all = client.connection->answers.size() == client.requests;
      if (answered_all && (client.connection->ended || stopping_ || client.requests == client.max_requests)) {
        CountResponses(client);
        it = clients_.erase(it);
      } else if (client.connection->ended) {
        CountResponses(client);
        ++lost;  // the connection ended without a response
        it = clients_.erase(it);
      } else {
        if (answered_all && client.connection->answers.back().keep_alive) SendNext(client);
        ++it;
      }
    }
    while (!stopping_ && clients_.size() < client_count_) {
      clients_.push_back({std::make_unique<Client>(cluster_.loop, *ParseAddress(cluster_.listen())), 0,
                          sent % 3 == 0 ? size_t{1} : size_t{20}});
      SendNext(clients_.back());
    }
    timer_.Start(2ms);
  }
  void SendNext(LoadClient& client) {
    client.connection->Send(cluster_.Request());
    ++client.requests;
    ++sent;
  }
  void CountResponses(const LoadClient& client) {
    for (const Message& answer : client.connection->answers) ++(answer.status == 200 ? answered : other);
  }
  HandoverCluster& cluster_;
  const size_t client_count_;
  bool stopping_ = false;
  std::vector<LoadClient> clients_;
  Timer timer_;
};

// A request could be lost in the accept queue or elsewhere while processes replace each other.
TEST_CASE("fifty replacements under load lose no request", "[handover]") {
  HandoverCluster cluster;
  int serving = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(serving));
  Load load(cluster, 6);
  for (int i = 0; i < 50; ++i) {
    const int next = cluster.Start();
    REQUIRE(cluster.WaitUntilReady(next));
    cluster.SignalProcess(serving, SIGTERM);
    if (i % 10 == 9) CHECK(cluster.WaitForExit(serving) == 0);
    serving = next;
    cluster.Wait(20ms);
  }
  load.Stop();
  REQUIRE(cluster.loop.RunUntil([&] { return load.Finished(); }, 6s));
  CHECK(load.lost == 0);
  CHECK(load.other == 0);
  CHECK(load.answered == load.sent);
  CHECK(load.sent > 500);

  CHECK(cluster.Log(serving).find("takes over") != std::string::npos);
  CHECK(cluster.SendRequest() == 200);
}

int BindUnixSocket(const std::string& path) {
  const int fd = socket(AF_UNIX, SOCK_STREAM, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  return fd;
}

// A start must not depend on leftovers at the socket path or on another program that listens there.
TEST_CASE("a start succeeds whatever is at the path of the handover socket", "[handover]") {
  HandoverCluster cluster;
  const std::string path = cluster.HandoverSocket();
  SECTION("a regular file") { REQUIRE(files::WriteFileAtomically(path, "not a socket").empty()); }
  SECTION("a folder at the socket path") { fs::create_directories(path + "/deep"); }
  SECTION("no runtime folder") { fs::remove_all(cluster.folder / "run"); }
  SECTION("a socket that nobody listens on") { close(BindUnixSocket(path)); }
  SECTION("a program that accepts and never replies") {
    const int fd = BindUnixSocket(path);
    REQUIRE(listen(fd, 4) == 0);
    const int first = cluster.Start();
    CHECK(cluster.WaitUntilReady(first));
    CHECK(cluster.SendRequest() == 200);
    close(fd);
  }
  const int next = cluster.Start();
  CHECK(cluster.WaitUntilReady(next));
  CHECK(cluster.SendRequest() == 200);
  cluster.SignalProcess(next, SIGTERM);
  CHECK(cluster.WaitForExit(next) == 0);
}

// New processes that fail before they serve must not use up resources of the old process.
TEST_CASE("a new process that dies or hangs before it serves does not affect the old one", "[handover]") {
  HandoverCluster cluster;
  const int old = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old));
  cluster.discovery.script = {};  // new processes wait for their list and are not ready for a while
  for (const int signal : {SIGKILL, SIGTERM, SIGSTOP}) {
    const int next = cluster.Start();
    REQUIRE(
        cluster.loop.RunUntil([&] { return cluster.Log(next).find("takes over") != std::string::npos; }, 3s));
    CHECK(cluster.CallConsole(next, "GET /v1/readyz") == 503);
    cluster.SignalProcess(next, signal);
    for (int i = 0; i < 20; ++i) CHECK(cluster.SendRequest() == 200);
    CHECK(cluster.CallConsole(old, "GET /v1/readyz") == 200);
  }
  // A later process still takes over.
  const int last = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(last));
  cluster.SignalProcess(old, SIGTERM);
  CHECK(cluster.WaitForExit(old) == 0);
  for (int i = 0; i < 10; ++i) CHECK(cluster.SendRequest() == 200);
}

// Without a takeover, clients would stay in the accept queue after the old process was killed.
TEST_CASE("an old process that is killed or hangs leaves the clients to the new one", "[handover]") {
  HandoverCluster cluster;
  const int old = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old));
  SECTION("killed while the new one waits for its list") {
    cluster.discovery.script = {};
    const int next = cluster.Start();
    REQUIRE(
        cluster.loop.RunUntil([&] { return cluster.Log(next).find("takes over") != std::string::npos; }, 3s));
    cluster.SignalProcess(old, SIGKILL);
    for (int i = 0; i < 10; ++i) CHECK(cluster.SendRequest() == 200);
    CHECK(cluster.WaitUntilReady(next));
  }
  SECTION("killed once the new one serves") {
    const int next = cluster.Start();
    REQUIRE(cluster.WaitUntilReady(next));
    cluster.SignalProcess(old, SIGKILL);
    for (int i = 0; i < 10; ++i) CHECK(cluster.SendRequest() == 200);
  }
  SECTION("it does not reply") {
    cluster.SignalProcess(old, SIGSTOP);
    const int next = cluster.Start();
    CHECK(cluster.WaitUntilReady(next));
    cluster.SignalProcess(old, SIGKILL);
    REQUIRE(cluster.WaitForExit(old).has_value());
    for (int i = 0; i < 10; ++i) CHECK(cluster.SendRequest() == 200);
  }
}

// The new process must not exit because an earlier build holds the address exclusively.
TEST_CASE("a process listens on an address that another program held, once it is free", "[handover]") {
  HandoverCluster cluster;
  auto holder = std::make_unique<Party>(cluster.loop, cluster.listen());
  REQUIRE(holder->error.empty());
  const int next = cluster.Start();
  CHECK_FALSE(cluster.WaitUntilReady(next, 500ms));
  CHECK(cluster.CallConsole(next, "GET /v1/readyz") == 503);
  CHECK(cluster.Log(next).find("cannot listen yet") != std::string::npos);
  holder.reset();
  CHECK(cluster.WaitUntilReady(next));
  CHECK(cluster.SendRequest() == 200);
}

// The server list must stay current in each process while the other one runs.
TEST_CASE("discovery may move while a process is replaced, and a drain may be under way", "[handover]") {
  HandoverCluster cluster;
  const int old = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old));
  CHECK(cluster.CallConsole(old, "PUT /v1/sidecar/drain") == 200);
  const int next = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(next));  // the drain applied to the old process only
  Party moved(cluster.loop), fresh(cluster.loop);
  fresh.script = [](Party::Peer& peer) { peer.Answer(200, "new"); };
  moved.script = [&](Party::Peer& peer) {
    peer.Reply(ListResponse(ListText(9, true, {ServerLine("s2", fresh.address())})));
  };
  for (const int number : {old, next}) {
    const std::string file = (cluster.folder / ("config" + std::to_string(number) + ".json")).string();
    const std::string text = config::TextOf(file);
    REQUIRE(
        files::WriteFileAtomically(file, config::Edited(text, cluster.discovery.address(), moved.address()))
            .empty());
    cluster.SignalProcess(number, SIGHUP);
  }
  cluster.SignalProcess(old, SIGTERM);
  REQUIRE(cluster.loop.RunUntil([&] { return moved.requests >= 1; }, 5s));
  cluster.Wait(300ms);
  for (int i = 0; i < 5; ++i) CHECK(cluster.SendRequest() == 200);
  CHECK(fresh.requests >= 5);
  CHECK(cluster.WaitForExit(old) == 0);
  CHECK(cluster.SendRequest() == 200);
}

// Memory must not grow with streaming bodies, and the console must not wait for them. Many run at once in
// both directions, with readers and writers that stall, under half of the usual limits.
TEST_CASE("long bodies stay within half of the limits, and the console answers beside them", "[handover]") {
  HandoverCluster cluster;
  const std::string body(3'000'000, 'x');
  cluster.server.script = [&](Party::Peer& peer) { peer.Answer(200, body); };
  const int sidecar = cluster.Start("run", R"({"sockets":192,"memory_mb":24})");
  REQUIRE(cluster.WaitUntilReady(sidecar));
  std::vector<std::unique_ptr<Client>> readers, writers, silent;
  for (int i = 0; i < 30; ++i) {  // they read the response head and then pause
    readers.push_back(std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.listen())));
    readers.back()->Send(cluster.Request());
    REQUIRE(cluster.loop.RunUntil([&] { return readers.back()->up; }, 3s));
    readers.back()->stream.Pause();
  }
  for (int i = 0; i < 20; ++i) {
    std::string head = Hand();
    head.replace(head.find("b2"), 2, "w" + std::to_string(i));
    head.replace(head.find("Content-Length: 4"), 17, "Content-Length: 3000000");
    writers.push_back(std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.listen())));
    writers.back()->Send(head + std::string(1'000'000, 'y'));
  }
  Span longest{};
  for (int i = 0; i < 60; ++i) {
    silent.push_back(std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.console(sidecar))));
    const Time start = Clock::now();
    CHECK(cluster.CallConsole(sidecar, "GET /v1/metrics") == 200);
    longest = std::max(longest, Clock::now() - start);
  }
  const double peak = cluster.processes[0]->PeakMb();
  const int descriptors = cluster.processes[0]->Descriptors();
  std::printf("long bodies: 50 at once, peak %.1f MB, %d descriptors, longest call %.1f ms\n", peak,
              descriptors, std::chrono::duration<double, std::milli>(longest).count());
  CHECK(longest < 1s);
  CHECK(descriptors <= 192);
  CHECK(descriptors >= 50);
#ifndef __SANITIZE_ADDRESS__
  CHECK(peak < 24);
#endif
}

// Clients that wait for a free connection at the old process must not be closed when it exits.
TEST_CASE("clients that wait behind the old process's limit are answered by the new one", "[handover]") {
  HandoverCluster cluster;
  std::vector<Party::Peer*> held;
  cluster.server.script = [&](Party::Peer& peer) { held.push_back(&peer); };
  const int old = cluster.Start("run", R"({"sockets":64})");  // sixteen clients at a time
  REQUIRE(cluster.WaitUntilReady(old));
  std::vector<std::unique_ptr<Client>> clients;
  const auto send_request = [&] {
    clients.push_back(std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.listen())));
    clients.back()->Send(cluster.Request());
  };
  for (int i = 0; i < 16; ++i) send_request();
  REQUIRE(cluster.loop.RunUntil([&] { return held.size() == 16; }, 6s));
  cluster.server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  for (int i = 0; i < 3; ++i) send_request();
  REQUIRE(cluster.loop.RunUntil([&] { return clients.back()->up; }, 3s));
  cluster.Wait(100ms);  // time for a process that would accept them too early
  const int next = cluster.Start("run", R"({"sockets":64})");
  REQUIRE(cluster.WaitUntilReady(next));
  cluster.SignalProcess(old, SIGTERM);
  REQUIRE(cluster.loop.RunUntil(
      [&] { return cluster.Log(old).find("is shutting down") != std::string::npos; }, 3s));
  for (Party::Peer* peer : held) peer->Answer(200, "ok");
  CHECK(cluster.loop.RunUntil(
      [&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); });
      },
      3s));
  CHECK(cluster.WaitForExit(old) == 0);
}

// Settings must not mix: requests held by the old process use the old settings until it exits.
TEST_CASE("each of two processes uses its own classes and tenants", "[handover]") {
  HandoverCluster cluster;
  Party::Peer* held = nullptr;
  cluster.server.script = [&](Party::Peer& peer) { held = &peer; };
  const int old = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old));
  Client before(cluster.loop, *ParseAddress(cluster.listen()));
  before.Send(cluster.Request());
  REQUIRE(cluster.loop.RunUntil([&] { return held != nullptr; }, 3s));
  cluster.server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  const auto other = [](const std::string& text) {
    return Replaced(Replaced(text, "look", "peek"), "acme", "bolt");
  };
  const int next = cluster.Start("run", "", [&](std::string* text) { *text = other(*text); });
  REQUIRE(cluster.WaitUntilReady(next));
  cluster.SignalProcess(old, SIGTERM);
  REQUIRE(cluster.loop.RunUntil(
      [&] { return cluster.Log(old).find("is shutting down") != std::string::npos; }, 3s));
  const auto status = [&](const std::string& request) {
    Client client(cluster.loop, *ParseAddress(cluster.listen()));
    client.Send(request);
    cluster.loop.RunUntil([&] { return !client.answers.empty() || client.ended; }, 3s);
    return client.answers.empty() ? 0 : client.answers[0].status;
  };
  CHECK(status(other(cluster.Request())) == 200);
  CHECK(status(cluster.Request()) == 400);
  CHECK(status(Replaced(cluster.Request(), "look", "peek")) == 400);
  held->Answer(200, "late");
  CHECK(cluster.loop.RunUntil([&] { return !before.answers.empty(); }, 3s));
  CHECK(before.answers.at(0).body == "late");
  CHECK(cluster.WaitForExit(old) == 0);
}

// Two processes together must not hold more descriptors than one sidecar may.
TEST_CASE("two processes share a sidecar's descriptors and say who serves", "[handover]") {
  HandoverCluster cluster;
  const int old = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old));
  const int next = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(next));
  REQUIRE(cluster.loop.RunUntil(
      [&] { return cluster.Log(old).find("shares its limits with another") != std::string::npos; }, 3s));
  CHECK(cluster.Log(next).find("shares its limits with another") != std::string::npos);
  cluster.SignalProcess(old, SIGTERM);
  CHECK(cluster.WaitForExit(old) == 0);
  CHECK(cluster.loop.RunUntil(
      [&] { return cluster.Log(next).find("its limits to itself") != std::string::npos; }, 3s));
}

// Fails if an id whose client has left one process of a replacement runs again through the other one.
TEST_CASE("an id that comes again at the other process of a replacement is not run twice", "[handover]") {
  HandoverCluster cluster;
  std::map<std::string, int> runs;
  cluster.server.script = [&](Party::Peer& peer) { ++runs[*peer.last.Find("X-Request-ID")]; };
  const auto send_and_leave = [&](const std::string& id) {
    Client client(cluster.loop, *ParseAddress(cluster.listen()));
    const int before = runs[id];
    client.Send(Replaced(Hand("hand"), "b2", id));
    cluster.loop.RunUntil([&] { return runs[id] > before || !client.answers.empty() || client.ended; }, 1s);
  };
  const int old_process = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old_process));
  send_and_leave("before");
  const int new_process = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(new_process));
  for (int i = 0; i < 12; ++i) {  // either process may accept each of these connections
    send_and_leave("during" + std::to_string(i));
    send_and_leave("during" + std::to_string(i));
    send_and_leave("during" + std::to_string(i));
  }
  cluster.SignalProcess(old_process, SIGTERM);
  cluster.Wait(100ms);
  send_and_leave("before");
  for (const auto& [id, count] : runs) {
    CAPTURE(id);
    CHECK(count <= 1);
  }
  CHECK(runs["before"] == 1);
  CHECK(runs.size() == 13);
}

// Fails if a predecessor that is held up as it is asked for its socket is taken for one that shares no ids.
TEST_CASE("an id is not run twice where the old process was held up during the takeover", "[handover]") {
  HandoverCluster cluster;
  int runs = 0;
  cluster.server.script = [&](Party::Peer&) { ++runs; };
  const auto send_and_leave = [&] {
    Client client(cluster.loop, *ParseAddress(cluster.listen()));
    const int before = runs;
    client.Send(Hand("hand"));
    cluster.loop.RunUntil([&] { return runs > before || !client.answers.empty() || client.ended; }, 1s);
  };
  const int old_process = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old_process));
  send_and_leave();
  REQUIRE(runs == 1);
  cluster.SignalProcess(old_process, SIGSTOP);
  const int new_process = cluster.Start();
  cluster.Wait(700ms);  // longer than it waits for a reply
  cluster.SignalProcess(old_process, SIGCONT);
  REQUIRE(cluster.WaitUntilReady(new_process));
  cluster.SignalProcess(old_process, SIGTERM);
  cluster.Wait(100ms);
  send_and_leave();
  CHECK(runs == 1);
}

}  // namespace
}  // namespace umberdyke::net

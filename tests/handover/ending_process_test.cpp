// Tests that one of two processes of a sidecar survives the end of the other one, whatever else comes in the
// same turn of its loop. A stopped process finds all that came meanwhile in one turn.
#include <sys/socket.h>
#include <sys/un.h>

#include "handover/cluster.h"

namespace umberdyke::net {
namespace {

// Two processes that serve, and a connection to each that has carried a request.
struct TwoProcesses {
  TwoProcesses() : old_process(StartReady()), to_old(Connect()) {
    new_process = StartReady();
    cluster.SignalProcess(old_process, SIGTERM);  // it leaves new connections to the other one
    REQUIRE(cluster.loop.RunUntil([&] { return Says(old_process, "is shutting down"); }, 3s));
    to_new = Connect();
  }
  int StartReady() {
    const int number = cluster.Start();
    REQUIRE(cluster.WaitUntilReady(number));
    return number;
  }
  std::unique_ptr<Client> Connect() {
    auto client = std::make_unique<Client>(cluster.loop, *ParseAddress(cluster.listen()));
    client->Send(cluster.Request());
    REQUIRE(cluster.loop.RunUntil([&] { return client->answers.size() == 1; }, 3s));
    return client;
  }
  bool Says(int number, const std::string& text) const {
    return cluster.Log(number).find(text) != std::string::npos;
  }
  void Stop(int number) {
    cluster.SignalProcess(number, SIGSTOP);
    cluster.Wait(50ms);
  }
  void Continue(int number) { cluster.SignalProcess(number, SIGCONT); }
  bool Answers(const Client& client, size_t count) {
    return cluster.loop.RunUntil([&] { return client.answers.size() == count || client.ended; }, 3s) &&
           client.answers.size() == count;
  }
  void CheckRuns(int number) {
    CAPTURE(cluster.Log(number));
    CHECK_FALSE(cluster.WaitForExit(number, 300ms).has_value());
    CHECK(cluster.processes[static_cast<size_t>(number)]->EndSignal() == 0);
  }

  HandoverCluster cluster;
  int old_process;
  std::unique_ptr<Client> to_old, to_new;
  int new_process = 0;
};

// Fails if the link's own event, in the turn in which a request has found its end, reads a link that is gone.
TEST_CASE("a request in the turn in which the replaced process ends does not crash the new one",
          "[handover-end]") {
  const int requests = GENERATE(1, 3);
  CAPTURE(requests);
  TwoProcesses two;
  std::vector<std::unique_ptr<Client>> clients;
  clients.push_back(std::move(two.to_new));
  while (static_cast<int>(clients.size()) < requests) clients.push_back(two.Connect());
  two.Stop(two.new_process);
  for (const auto& client : clients) client->Send(two.cluster.Request());
  two.cluster.Wait(50ms);
  two.cluster.SignalProcess(two.old_process, SIGKILL);
  REQUIRE(two.cluster.WaitForExit(two.old_process).has_value());
  two.Continue(two.new_process);
  for (const auto& client : clients) CHECK(two.Answers(*client, 2));
  two.CheckRuns(two.new_process);
  CHECK(two.cluster.SendRequest() == 200);
}

// The same, where the replaced process ends by itself and its clients come to the new one in that moment.
TEST_CASE("clients that come as the replaced process ends by itself are answered by the new one",
          "[handover-end]") {
  TwoProcesses two;
  two.Stop(two.new_process);
  two.to_new->Send(two.cluster.Request());
  REQUIRE(two.cluster.WaitForExit(two.old_process) == 0);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(std::make_unique<Client>(two.cluster.loop, *ParseAddress(two.cluster.listen())));
    clients.back()->Send(two.cluster.Request());
  }
  two.cluster.Wait(50ms);
  two.Continue(two.new_process);
  CHECK(two.Answers(*two.to_new, 2));
  for (const auto& client : clients) CHECK(two.Answers(*client, 1));
  two.CheckRuns(two.new_process);
}

// Fails if the old process removes a successor twice: as a request finds its end, and by the link's event.
TEST_CASE("a request in the turn in which the new process ends does not crash the replaced one",
          "[handover-end]") {
  TwoProcesses two;
  two.Stop(two.old_process);
  two.to_old->Send(two.cluster.Request());
  two.cluster.Wait(50ms);
  two.cluster.SignalProcess(two.new_process, SIGKILL);
  REQUIRE(two.cluster.WaitForExit(two.new_process).has_value());
  two.Continue(two.old_process);
  CHECK(two.Answers(*two.to_old, 2));
  CHECK(two.cluster.WaitForExit(two.old_process) == 0);  // at the end of its grace period
  CHECK(two.cluster.processes[static_cast<size_t>(two.old_process)]->EndSignal() == 0);
}

// A link to `cluster`'s serving process that a test writes to, as a successor would.
class FakeSuccessor {
 public:
  explicit FakeSuccessor(const HandoverCluster& cluster) : fd_(socket(AF_UNIX, SOCK_STREAM, 0)) {
    const std::string path = cluster.HandoverSocket();
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  }
  ~FakeSuccessor() { End(); }
  FakeSuccessor(const FakeSuccessor&) = delete;
  FakeSuccessor& operator=(const FakeSuccessor&) = delete;
  void Write(const std::string& bytes) {
    REQUIRE(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  void End() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

// Fails if a link that ends, or breaks the protocol, in the turn of a request is used after its removal.
TEST_CASE("a link that breaks in the turn of a request does not crash the process", "[handover-end]") {
  const std::string last_bytes = GENERATE("", "S", "R123", "S?", "x");  // the third is half a record
  const bool ends = GENERATE(true, false);
  const bool request_first = GENERATE(true, false);
  CAPTURE(last_bytes, ends, request_first);
  HandoverCluster cluster;
  const int number = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(number));
  Client client(cluster.loop, *ParseAddress(cluster.listen()));
  client.Send(cluster.Request());
  REQUIRE(cluster.loop.RunUntil([&] { return client.answers.size() == 1; }, 3s));
  FakeSuccessor successor(cluster);
  successor.Write("umberdyke listener 2\n");
  REQUIRE(cluster.loop.RunUntil(
      [&] { return cluster.Log(number).find("listener passed") != std::string::npos; }, 3s));
  cluster.SignalProcess(number, SIGSTOP);
  cluster.Wait(30ms);
  if (request_first) client.Send(cluster.Request());
  cluster.Wait(30ms);
  successor.Write(last_bytes);
  if (ends) successor.End();
  if (!request_first) client.Send(cluster.Request());
  cluster.Wait(30ms);
  cluster.SignalProcess(number, SIGCONT);
  CHECK(cluster.loop.RunUntil([&] { return client.answers.size() == 2; }, 3s));
  cluster.Wait(100ms);
  CHECK_FALSE(cluster.processes[0]->Ended().has_value());
  CHECK(cluster.processes[0]->EndSignal() == 0);
  CHECK(cluster.SendRequest() == 200);
}

// Fails if a new configuration that is announced while a process starts, or as it ends, ends it by SIGHUP.
TEST_CASE("a process survives SIGHUP from its start to its exit", "[handover-end]") {
  HandoverCluster cluster;
  const int old_process = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(old_process));
  cluster.SignalProcess(old_process, SIGSTOP);  // the next process waits for its reply
  const int new_process = cluster.Start();
  cluster.Wait(300ms);
  cluster.SignalProcess(new_process, SIGHUP);
  cluster.Wait(50ms);
  cluster.SignalProcess(old_process, SIGCONT);
  CHECK(cluster.WaitUntilReady(new_process));
  CHECK(cluster.loop.RunUntil(
      [&] { return cluster.Log(new_process).find("reloaded its configuration") != std::string::npos; }, 3s));
  cluster.SignalProcess(old_process, SIGTERM);
  const lab::Process& ending = *cluster.processes[static_cast<size_t>(old_process)];
  for (int i = 0; i < 6000 && !cluster.processes[static_cast<size_t>(old_process)]->Ended(); ++i) {
    ending.Tell(SIGHUP);
    usleep(1000);
  }
  CHECK(cluster.WaitForExit(old_process) == 0);
  CHECK(ending.EndSignal() == 0);
  CHECK(cluster.SendRequest() == 200);
}

// Fails if a process that cannot accept a successor's connection asks for it over and over without a pause.
TEST_CASE("a process without free descriptors does not spin while a successor waits", "[handover-end]") {
  HandoverCluster cluster;
  const int number = cluster.Start();
  REQUIRE(cluster.WaitUntilReady(number));
  const lab::Process& process = *cluster.processes[0];
  cluster.Wait(1s);                      // connections of the console end
  REQUIRE(process.LimitDescriptors(3));  // the standard ones
  const double before = process.ProcessorSeconds();
  FakeSuccessor successor(cluster);
  successor.Write("umberdyke listener 2\n");
  cluster.Wait(1s);
  const double used = process.ProcessorSeconds() - before;
  REQUIRE(process.LimitDescriptors(1024));
  CHECK(used < 0.25);  // a quarter of a processor
  CHECK(cluster.loop.RunUntil(
      [&] { return cluster.Log(number).find("listener passed") != std::string::npos; }, 3s));
  CHECK(cluster.SendRequest() == 200);
}

}  // namespace
}  // namespace umberdyke::net

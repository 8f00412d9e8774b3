// Bad clients arrive by the hundred: each sends a head that never ends, of 64 kB in short header lines, and
// stays. The platform kills a sidecar that goes over `memory_mb`, as it says; the sidecar has to stay under
// it.
#include <sys/resource.h>

#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int kMemoryMb = 192, kSockets = 1024;  // the most that the pages give
constexpr int kServers = 4;
constexpr int kBadClients = 400, kPerThread = 20, kHeaderLines = 16000;
constexpr double kTroubleAt = 3, kEnd = 9, kInterval = 0.1;

std::atomic<int> g_answered{0}, g_unanswered{0};

void Ask(int port, int number) {
  const std::string id = NextId();
  const std::string request = number % 2 == 0 ? LotStatus(id, 4000) : Handover(id, 4000, "lot 7 handed over");
  const int fd = ConnectTo(port);
  if (fd < 0 || !SendAll(fd, request)) {
    Record("client: %s could not be sent", id.c_str());
    if (fd >= 0) close(fd);
    return;
  }
  Record("client: sent %s", id.c_str());
  Message answer;
  Reader reader(fd);
  const double sent = Now();
  const ReadEnd end = reader.Read(&answer, sent + 4.5);
  close(fd);
  ++(end == ReadEnd::kMessage ? g_answered : g_unanswered);
  Record("client: %s got %s after %.3f s", id.c_str(),
         end == ReadEnd::kMessage ? std::to_string(answer.status()).c_str() : Name(end), Now() - sent);
}

// Opens connections one after the other and begins a head on each of them.
void BeginHeads(int port) {
  std::string head = "GET /api HTTP/1.1\r\n";
  for (int line = 0; line < kHeaderLines; ++line) head += "a:\r\n";
  std::vector<int> open;
  for (int i = 0; i < kPerThread; ++i) {
    const int fd = ConnectTo(port);
    if (fd < 0) continue;
    const timeval patience{2, 0};  // one that waits in the kernel's queue may not get rid of all its bytes
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    SendAll(fd, head);
    open.push_back(fd);
  }
  // Reads whatever is sent: an error or a close.
  std::map<std::string, int> ends;
  for (const int fd : open) {
    Message answer;
    Reader reader(fd);
    const ReadEnd end = reader.Read(&answer, kTroubleAt + 4);
    ++ends[end == ReadEnd::kMessage ? std::to_string(answer.status()) : Name(end)];
    close(fd);
  }
  std::string text;
  for (const auto& [what, count] : ends) text += " " + what + ": " + std::to_string(count);
  Record("bad clients: %zu begun heads ended as%s", open.size(), text.c_str());
}

}  // namespace

int main() {
  Start();
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 4096);
  setrlimit(RLIMIT_NOFILE, &files);
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "s-" + std::to_string(i);
    servers.push_back(std::make_unique<Server>(id, [id](int fd, const Message& request) {
      const std::string rid = request.Header("X-Request-ID");
      Record("%s: runs %s", id.c_str(), rid.c_str());
      Sleep(0.1);
      return SendAll(fd, Answer("answer to " + rid));
    }));
  }
  Discovery discovery(servers);
  Sidecar::Options options;
  options.memory_mb = kMemoryMb;
  options.sockets = kSockets;
  Sidecar sidecar(discovery, options);
  Start() = std::chrono::steady_clock::now();
  std::atomic<bool> done{false}, killed{false};
  std::atomic<long> most{0}, most_anonymous{0};
  std::thread platform([&] {  // keeps the limit
    while (!done) {
      const long all = sidecar.Resident(), anonymous = sidecar.ResidentAnonymous();
      most = std::max(most.load(), all);
      most_anonymous = std::max(most_anonymous.load(), anonymous);
      // The sidecar's own pages alone, so that the program's file counts in its favour.
      if (anonymous > 1024L * kMemoryMb && !killed.exchange(true)) {
        Record(
            "platform: the sidecar holds %ld kB, %ld kB of them no file's, over its limit of %d MB: killed",
            all, anonymous, kMemoryMb);
        kill(sidecar.pid(), SIGKILL);
      }
      Sleep(0.005);
    }
  });
  std::vector<std::thread> clients, others;
  int number = 0;
  for (double at = 0; at < kEnd && !killed; at += kInterval) {
    Sleep(at - Now());
    if (Trouble() && at >= kTroubleAt && others.empty()) {
      Record("bad clients: %d of them begin a head each", kBadClients);
      for (int i = 0; i < kBadClients / kPerThread; ++i) others.emplace_back(BeginHeads, sidecar.port());
    }
    clients.emplace_back(Ask, sidecar.port(), number++);
  }
  for (std::thread& client : clients) client.join();
  for (std::thread& other : others) other.join();
  done = true;
  platform.join();
  char text[300];
  std::snprintf(
      text, sizeof text,
      "limit %d MB, %d descriptors; most %ld kB, %ld kB of them no file's; requests answered %d, not %d",
      kMemoryMb, kSockets, most.load(), most_anonymous.load(), g_answered.load(), g_unanswered.load());
  if (!killed && !sidecar.Alive()) Finish(sidecar, kBroken, std::string("the sidecar ended; ") + text);
  Finish(sidecar, killed ? kBroken : kHeld, text);
}

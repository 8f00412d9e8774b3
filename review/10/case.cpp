// A planned restart while clients go on using the connections that they have, and ask for long answers.
#include <memory>

#include "rig.h"

using namespace rig;

namespace {

constexpr int kClients = 6;
constexpr int kTimeoutMs = 4000;
constexpr double kKill = 3.0 + 0.7;   // after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s more
constexpr double kAskAfter = 1.2;     // after SIGTERM, on connections that are still open then
constexpr size_t kPiece = 128 * 1024;
constexpr int kPieces = 16;           // 2 MiB in all
constexpr double kBetween = 0.25;     // so 4 s in all

std::mutex mutex;
int taken = 0, whole = 0, cut = 0, elsewhere = 0;

}  // namespace

int main() {
  Begin(100);
  const auto handler = [](int fd, const Request& request) {
    if (request.head.start.find("long") == std::string::npos) return SendAll(fd, Ok("short"));
    Record("endpoint: request %s runs", request.id.c_str());
    bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kPiece) + "\r\n\r\n");
    for (int i = 0; open && i < kPieces; ++i) {
      open = SendAll(fd, std::string(kPiece, static_cast<char>('a' + i)));
      Sleep(kBetween);
    }
    Record("endpoint: request %s: %s", request.id.c_str(), open ? "all given" : "its connection ended on the way");
    if (!open) close(fd);
    return open;
  };
  std::vector<std::unique_ptr<Server>> endpoints;
  std::vector<Listed> servers;
  for (int i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_unique<Server>(handler));
    servers.push_back({"e" + std::to_string(i), endpoints.back()->port(), i % 2 == 0 ? "ahmedabad" : "vadodara"});
  }
  Discovery discovery(5, servers);
  const int listen = FreePort();
  Settings settings;
  settings.known = servers;
  const std::string path = Folder() + "/config.json";
  WriteFile(path, Config(settings, listen, discovery.port()));
  const Process sidecar = StartRun({{"ROUTER_CONFIG", path}, {"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(listen, sidecar);
  Sleep(1);
  const double term = Now() + 1;
  std::vector<std::thread> clients;
  for (int c = 1; c <= kClients; ++c) {
    clients.emplace_back([&, c] {
      const std::string id = "req-" + std::to_string(c);
      const int fd = Connect(listen);
      std::string rest;
      SendAll(fd, StatusRequest(id + "-short", kTimeoutMs));
      const Answer first = ReadAnswer(fd, Now() + 5, &rest);
      if (first.status != 200) Finish(kCouldNotRun, "a short request was not served");
      Sleep(term + kAskAfter + 0.01 * c - Now());
      if (Receive(fd, Now() + 0.001, &rest) != Got::kNothing) {
        Record("client %d: the sidecar has ended the connection; the client goes elsewhere", c);
        const std::lock_guard<std::mutex> lock(mutex);
        ++elsewhere;
        close(fd);
        return;
      }
      const double sent = Now();
      std::string request = StatusRequest(id, kTimeoutMs);
      request.replace(request.find("?lot="), 5, "?long=");
      SendAll(fd, request);
      Record("client %d: request %s sent %.3f s after SIGTERM", c, id.c_str(), sent - term);
      const Answer answer = ReadAnswer(fd, Now() + 15, &rest);
      Record("client %d: request %s: status %d, %s %.3f s after SIGTERM, first byte %.3f s after it was sent", c,
             id.c_str(), answer.status, answer.ending.c_str(), answer.at - term, answer.first_at - sent);
      const std::lock_guard<std::mutex> lock(mutex);
      ++taken;
      answer.whole ? ++whole : ++cut;
      if (!answer.whole) Record("BROKEN: %s came %.2f s after SIGTERM and SIGKILL found it unanswered", id.c_str(),
                                sent - term);
      close(fd);
    });
  }
  Sleep(term - Now());
  if (Trouble()) {
    Record("SIGTERM");
    sidecar.Signal(SIGTERM);
    for (const double kill_at = term + kKill; Now() < kill_at && sidecar.Running();) Sleep(0.005);
    Record("SIGKILL");
    sidecar.Signal(SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  Record("%d long requests sent, %d answered whole, %d unanswered at SIGKILL, %d clients went elsewhere", taken, whole,
         cut, elsewhere);
  if (cut > 0) Finish(kBroken, "requests that came more than 0.7 s after SIGTERM were unanswered at SIGKILL");
  if (taken == 0 && !Trouble()) Finish(kCouldNotRun, "nothing was asked");
  Finish(kHeld, "no request was lost");
}

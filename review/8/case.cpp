// Some answers of an endpoint are spoilt: they keep on coming in small chunks and never end.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kRequests = 8;
constexpr int kTimeoutMs = 1500;
constexpr double kSlack = 0.5 + 0.05;  // after its time a request is lost

}  // namespace

int main() {
  Begin(100);
  const auto handler = [](int fd, const Request& request) {
    const bool spoilt = Trouble() && atoi(request.id.c_str() + 4) % 2 == 0;
    Record("endpoint: request %s runs, its answer is %s", request.id.c_str(), spoilt ? "endless" : "sound");
    Sleep(0.1);
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!spoilt) return SendAll(fd, head + Chunk("lot 7 is clean") + "0\r\n\r\n");
    size_t sent = 0;
    std::string unused;
    for (bool open = SendAll(fd, head); open; sent += 64) {
      open = SendAll(fd, Chunk(std::string(64, '.')));
      open = open && Receive(fd, Now() + 0.3, &unused) == Got::kNothing;
    }
    Record("endpoint: request %s: its connection was ended after %zu bytes", request.id.c_str(), sent);
    close(fd);
    return false;
  };
  Server e1(handler), e2(handler);
  const std::vector<Listed> servers = {{"e1", e1.port(), "ahmedabad"}, {"e2", e2.port(), "vadodara"}};
  Discovery discovery(5, servers);
  const int listen = FreePort();
  Settings settings;
  settings.known = servers;
  const std::string path = Folder() + "/config.json";
  WriteFile(path, Config(settings, listen, discovery.port()));
  const Process sidecar = StartRun({{"ROUTER_CONFIG", path}, {"TMPDIR", Folder()}}, Folder() + "/log");
  AwaitReady(listen, sidecar);
  Sleep(1);
  int late = 0, whole = 0;
  std::vector<std::thread> clients;
  for (int i = 1; i <= kRequests; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "req-" + std::to_string(i);
      Sleep(0.4 * i);
      const double sent = Now();
      const Answer answer = Call(listen, StatusRequest(id, kTimeoutMs), 12);
      const double took = answer.at - sent;
      const bool is_late = took > kTimeoutMs / 1000.0 + kSlack;
      Record("client: request %s: status %d, %zu bytes, %s after %.3f s; its time was %.1f s", id.c_str(),
             answer.status, answer.body.size(), answer.ending.c_str(), took, kTimeoutMs / 1000.0);
      if (is_late) Record("BROKEN: %s had no final answer %.2f s after its time", id.c_str(), kSlack);
      const std::lock_guard<std::mutex> lock(record_mutex);
      late += is_late ? 1 : 0;
      whole += answer.whole && answer.status == 200 ? 1 : 0;
    });
  }
  for (std::thread& client : clients) client.join();
  if (!sidecar.Running()) Finish(kBroken, "the sidecar has ended");
  Record("%d requests, %d answered whole, %d without a final answer in time", kRequests, whole, late);
  if (whole < kRequests / 2) Finish(kCouldNotRun, "the sound answers did not come");
  if (late > 0) Finish(kBroken, "requests had no final answer half a second after their time");
  Finish(kHeld, "each request had its final answer in time");
}

// An endpoint gives a long answer in pieces, with a pause of some seconds after the first.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kRequests = 6;
constexpr int kTimeoutMs = 4000;
const std::string kFirst(20 * 1024, 'a');
const std::string kRest(100 * 1024, 'b');

std::mutex mutex;
std::map<std::string, std::string> given;  // request: how its answer went

}  // namespace

int main() {
  Begin(100);
  const double pause = Trouble() ? 2.8 : 0.3;
  const auto handler = [pause](int fd, const Request& request) {
    Record("endpoint: request %s runs", request.id.c_str());
    Sleep(0.1);
    SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(kFirst));
    Record("endpoint: request %s: head and first %zu bytes given", request.id.c_str(), kFirst.size());
    std::string unused;
    const double until = Now() + pause;
    const Got got = Receive(fd, until, &unused);  // nothing comes, unless the sidecar gives up
    bool whole = got == Got::kNothing;
    for (size_t at = 0; whole && at < kRest.size(); at += 20 * 1024) whole = SendAll(fd, Chunk(kRest.substr(at, 20 * 1024)));
    whole = whole && SendAll(fd, "0\r\n\r\n");
    Record("endpoint: request %s: %s", request.id.c_str(),
           whole ? "the rest given" : "the sidecar has closed the connection while the answer was being given");
    const std::lock_guard<std::mutex> lock(mutex);
    given[request.id] = whole ? "whole" : "cut off by the sidecar";
    if (!whole) close(fd);
    return whole;
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
  int cut = 0, whole = 0;
  for (int i = 1; i <= kRequests; ++i) {
    const std::string id = "req-" + std::to_string(i);
    const double sent = Now();
    const Answer answer = Call(listen, StatusRequest(id, kTimeoutMs), kTimeoutMs / 1000.0);
    Sleep(0.2);
    const bool right = answer.whole && answer.status == 200 && answer.body == kFirst + kRest;
    const std::lock_guard<std::mutex> lock(mutex);
    Record("client: request %s: status %d, %zu bytes, %s after %.3f s of its %.1f s; the endpoint: %s", id.c_str(),
           answer.status, answer.body.size(), answer.ending.c_str(), answer.at - sent, kTimeoutMs / 1000.0,
           given[id].c_str());
    const bool in_time = answer.at - sent < kTimeoutMs / 1000.0 - 0.1;
    if (right) ++whole;
    if (!answer.whole && answer.status == 200 && in_time && given[id] != "whole") {
      ++cut;
      Record("BROKEN: %s: the answer was cut off while its endpoint still gave it", id.c_str());
    }
  }
  if (!sidecar.Running()) Finish(kBroken, "the sidecar has ended");
  Record("%d requests, %d answered whole, %d cut off", kRequests, whole, cut);
  if (cut > 0) Finish(kBroken, "answers were cut off while their endpoint still gave them");
  if (whole == 0) Finish(kCouldNotRun, "nothing was answered whole");
  Finish(kHeld, "no answer was cut off");
}

// Some answers arrive spoilt for a while: one in twelve has the head of an answer without a length, and then
// never ends. Every request has to get its final answer, at the latest 0.5 s after its time.
//
// The sidecar serves the second tier. Its only client is an endpoint of the first tier, whose calls carry the
// time that is left.
#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int kServers = 4;
constexpr int kSpoiltEach = 12;  // of the answers in the time of the trouble
constexpr double kTroubleFrom = 4, kTroubleTo = 16, kLastRequest = 20, kInterval = 0.05;
constexpr double kGrace =
    0.5;  // STANDING.md: up to half a second after its time a request only earns nothing

struct Totals {
  std::mutex mutex;
  std::map<std::string, int> ends;
  int lost = 0;
  double latest = 0;
};

void Ask(int port, int number, Totals* totals) {
  const std::string id = NextId();
  const int timeout_ms = 500 + (number * 370) % 3401;  // what is left of the class's 4 s
  const std::string request =
      number % 2 == 0 ? LotStatus(id, timeout_ms) : Handover(id, timeout_ms, "lot 7 handed over");
  const int fd = ConnectTo(port);
  if (fd < 0) return Record("client: %s could not connect", id.c_str());
  if (!SendAll(fd, request)) return Record("client: %s could not be sent", id.c_str());
  const double sent = Now();  // its time counts from its last byte
  Record("client: sent %s, %s, time %d ms", id.c_str(), number % 2 == 0 ? "lot-status" : "handover",
         timeout_ms);
  Message answer;
  Reader reader(fd);
  const double due = sent + timeout_ms / 1000.0 + kGrace;
  // Waits longer than it has to, to tell a late answer from none.
  const ReadEnd end = reader.Read(&answer, due + 6);
  const double took = Now() - sent;
  // A close without an answer may have left the request unread, which is excused, and is not counted.
  const bool lost = end == ReadEnd::kTimeout || (end == ReadEnd::kMessage && Now() > due);
  close(fd);
  const std::string what = end == ReadEnd::kMessage ? std::to_string(answer.status()) : Name(end);
  Record("client: %s got %s after %.3f s%s", id.c_str(), what.c_str(), took,
         lost ? ", LOST: no answer by its time and 0.5 s more" : "");
  const std::lock_guard<std::mutex> lock(totals->mutex);
  ++totals->ends[what];
  if (lost) ++totals->lost;
  totals->latest = std::max(totals->latest, took - timeout_ms / 1000.0);
}

}  // namespace

int main() {
  Start();
  std::atomic<int> answers{0};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "s-" + std::to_string(i);
    servers.push_back(std::make_unique<Server>(id, [&answers, id](int fd, const Message& request) {
      const std::string rid = request.Header("X-Request-ID");
      Record("%s: runs %s", id.c_str(), rid.c_str());
      Sleep(0.12 +
            0.1 * static_cast<double>(std::hash<std::string>()(rid) % 100) / 100);  // 63% of 190 to 350 ms
      const std::string answer = AnswerWithoutLength("answer to " + rid);
      const bool trouble = Trouble() && Now() >= kTroubleFrom && Now() < kTroubleTo;
      if (trouble && ++answers % kSpoiltEach == 1) {
        Record("%s: spoils the answer to %s: it never ends after its head", id.c_str(), rid.c_str());
        SendAll(fd, answer.substr(0, answer.find("\r\n\r\n") + 4));
        Sleep(1000);  // the connection stays open
      }
      return SendAll(fd, answer);
    }));
  }
  Discovery discovery(servers, "ahmedabad", "ledger-std");
  Sidecar::Options options;
  options.settings = LinenTrackSettings(1);
  Sidecar sidecar(discovery, options);
  Start() = std::chrono::steady_clock::now();
  Totals totals;
  std::vector<std::thread> clients;
  std::atomic<bool> done{false};
  std::atomic<int> not_ready{0};
  std::thread prober([&] {  // readiness, as the platform sees it
    while (!done) {
      const bool ready = sidecar.Ready();
      if (!ready) ++not_ready;
      Record("platform: /-/ready %s", ready ? "says yes" : "does not answer within 1 s");
      Sleep(0.25);
    }
  });
  int number = 0;
  for (double at = 0; at < kLastRequest; at += kInterval) {
    Sleep(at - Now());
    clients.emplace_back(Ask, sidecar.port(), number++, &totals);
  }
  for (std::thread& client : clients) client.join();
  done = true;
  prober.join();
  std::string ends;
  for (const auto& [what, count] : totals.ends) ends += " " + what + ": " + std::to_string(count);
  char text[300];
  std::snprintf(text, sizeof text,
                "%d requests,%s; lost %d; latest end %.2f s after its time; not ready %d times", number,
                ends.c_str(), totals.lost, totals.latest, not_ready.load());
  if (!sidecar.Alive()) Finish(sidecar, kCouldNotRun, "the sidecar ended");
  Finish(sidecar, totals.lost > 0 ? kBroken : kHeld, text);
}

// Two of eight endpoints stand still for half a second every few seconds. The settings allow a second copy of
// a request while the first runs. Half of the answers are long. Every answer with status 200 has to be the
// body that the endpoints make for that request, unchanged; they all make the same one.
#include "kit/kit.h"

using namespace kit;

namespace {

constexpr int kServers = 8, kPausing = 2;  // 25%
constexpr double kPause = 0.5, kPauseEach = 2.5;
constexpr int kClients = 12;
constexpr double kTroubleFrom = 4, kEnd = 34, kThink = 0.12;
constexpr size_t kLong = 400'000, kPiece = 16'000;
constexpr double kPieceEach = 0.015;

struct Totals {
  std::mutex mutex;
  std::map<std::string, int> ends;
  int asked = 0, wrong = 0;
};

// The one right answer to a request, whichever endpoint makes it.
std::string BodyFor(const std::string& rid, bool is_long) {
  std::string body = "prices for " + rid + "\n";
  while (is_long && body.size() < kLong) body += rid + " " + std::to_string(body.size()) + "\n";
  return body;
}

// When a pausing endpoint goes on; now, unless it stands still.
double GoesOnAt(double now) {
  const double in_period = std::fmod(now - kTroubleFrom, kPauseEach);
  return now >= kTroubleFrom && in_period < kPause ? now + kPause - in_period : now;
}

void Client(int port, int number, Totals* totals) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  Sleep(kThink * number / kClients);
  for (int i = 0; Now() < kEnd; ++i) {
    const std::string rid = NextId();
    const bool is_long = i % 2 == 0;
    const int timeout_ms = 1680 + (i * 97 + number * 53) % 721;  // 70 to 100% of 2.4 s
    if (fd < 0) {
      fd = ConnectTo(port);
      reader = std::make_unique<Reader>(fd);
    }
    const std::string request =
        "GET /api?" + std::string(is_long ? "list" : "item") +
        " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + rid +
        "\r\nX-Priority-Class: price-check\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
    Message answer;
    ReadEnd end = ReadEnd::kReset;
    if (fd >= 0 && SendAll(fd, request)) end = reader->Read(&answer, Now() + timeout_ms / 1000.0 + 10);
    const std::string expected = BodyFor(rid, is_long);
    const bool is_http = answer.start_line.rfind("HTTP/1.1 ", 0) == 0;
    const bool wrong =
        end == ReadEnd::kMessage && (!is_http || (answer.status() == 200 && answer.body != expected));
    const std::string what = end != ReadEnd::kMessage ? Name(end)
                             : is_http                ? std::to_string(answer.status())
                                                      : "noise";
    if (wrong) {
      size_t at = 0;
      while (at < expected.size() && at < answer.body.size() && answer.body[at] == expected[at]) ++at;
      const size_t second = answer.body.find("HTTP/1.1 ");
      Record("client %d: %s got %s: WRONG: %zu bytes of %zu are right%s", number, rid.c_str(), what.c_str(),
             at, expected.size(),
             second == std::string::npos
                 ? ""
                 : (", a second answer begins at byte " + std::to_string(second)).c_str());
    } else {
      Record("client %d: %s got %s, %zu bytes", number, rid.c_str(), what.c_str(), answer.body.size());
    }
    {
      const std::lock_guard<std::mutex> lock(totals->mutex);
      ++totals->asked;
      ++totals->ends[what];
      if (wrong) ++totals->wrong;
    }
    if (wrong || end != ReadEnd::kMessage || answer.Header("Connection") == "close") {
      if (fd >= 0) close(fd);
      fd = -1;
    }
    Sleep(answer.status() == 503 ? 2 * kThink : kThink);
  }
  if (fd >= 0) close(fd);
}

}  // namespace

int main() {
  Start();
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "s-" + std::to_string(i);
    const bool pauses = Trouble() && i < kPausing;
    servers.push_back(std::make_unique<Server>(id, [id, pauses](int fd, const Message& request) {
      const auto stand_still = [&] {
        if (pauses) Sleep(GoesOnAt(Now()) - Now());
      };
      const std::string rid = request.Header("X-Request-ID");
      stand_still();
      Record("%s: runs %s", id.c_str(), rid.c_str());
      Sleep(0.02 + 0.02 * static_cast<double>(std::hash<std::string>()(rid) % 100) / 100);
      stand_still();
      const std::string body = BodyFor(rid, request.start_line.find("?list") != std::string::npos);
      if (!SendAll(fd,
                   "HTTP/1.1 200 OK\r\nX-Server-Load: "
                   "{\"queue\":0,\"inflight\":1,\"util\":0.2}\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n"))
        return false;
      for (size_t at = 0; at < body.size(); at += kPiece) {
        if (at > 0) Sleep(kPieceEach);
        stand_still();
        if (!SendAll(fd, body.substr(at, kPiece))) return false;
      }
      Record("%s: answered %s", id.c_str(), rid.c_str());
      return true;
    }));
  }
  Discovery discovery(servers, "ebene", "price-a");
  Sidecar::Options options;
  options.settings = CaisseLibreSettings(2);
  Sidecar sidecar(discovery, options);
  Start() = std::chrono::steady_clock::now();
  if (Trouble())
    Record("platform: from %.0f s on, %d of %d endpoints stand still for %.1f s every %.1f s", kTroubleFrom,
           kPausing, kServers, kPause, kPauseEach);
  Totals totals;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(Client, sidecar.port(), i, &totals);
  for (std::thread& client : clients) client.join();
  std::string ends;
  for (const auto& [what, count] : totals.ends) ends += " " + what + ": " + std::to_string(count);
  char text[300];
  std::snprintf(text, sizeof text, "%d requests,%s; %d answers were not what any endpoint made", totals.asked,
                ends.c_str(), totals.wrong);
  if (!sidecar.Alive()) Finish(sidecar, kCouldNotRun, "the sidecar ended");
  Finish(sidecar, totals.wrong > 0 ? kBroken : kHeld, text);
}

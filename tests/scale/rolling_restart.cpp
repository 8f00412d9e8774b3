// Measures what a rolling restart costs the clients of a few sidecars, by hand:
//
//   build/tests/rolling_restart build/umberdyke
//
// Four real processes on loopback, each before the same servers. Clients keep their connections, ask back to
// back, and go on to the next sidecar when theirs ends the connection. One request in five has a long
// response, of 0.6 MB over 0.5 to 3 s. The processes are told to end one after another, killed 3.7 s later,
// and started again. Prints how the requests ended.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/paced_peers.h"

namespace umberdyke::net {
namespace {

constexpr int kSidecars = 4;
constexpr int kServers = 4;
constexpr int kClients = 40;
constexpr int kPieces = 10;
constexpr size_t kPiece = 60'000;
constexpr Span kKillDelay = 3700ms;
constexpr Span kStartTime = 500ms;
constexpr Span kPauseAfterRejection = 50ms;

// Reads responses of any length on a connection that it keeps.
class AskingConnection : public StreamCallbacks {
 public:
  AskingConnection(Loop& loop, const Address& to) : stream(loop, this) {
    parser_.StreamBodyTo([](std::string_view) {});
    stream.Connect(to);
  }
  void OnConnected(bool success) override {
    connected = success;
    stream.Read();
    if (success && !unsent_.empty()) stream.Write(unsent_);
  }
  void OnData(std::string_view bytes) override {
    while (!bytes.empty()) {
      size_t used = 0;
      const ParseResult parsed = parser_.Feed(bytes, &used);
      bytes.remove_prefix(used);
      if (parsed == ParseResult::kComplete) statuses.push_back(parser_.Take().status);
      if (parsed != ParseResult::kComplete) return;
    }
  }
  void OnEnd() override { ended = true; }
  void Send(const std::string& request) {
    if (connected) {
      stream.Write(request);
    } else {
      unsent_ = request;
    }
  }

  Stream stream;
  std::vector<int> statuses;  // of the complete responses
  bool connected = false;
  bool ended = false;

 private:
  std::string unsent_;
  HttpParser parser_{HttpParser::Kind::kResponse};
};

class RollingRestart {
 public:
  explicit RollingRestart(const std::string& program)
      : program_(program),
        discovery_(loop_),
        folder_((std::filesystem::temp_directory_path() / ("umberdyke-rolling" + std::to_string(getpid())))
                    .string()) {
    std::filesystem::create_directories(folder_);
    discovery_.script = [](Party::Peer& peer) {
      peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    std::vector<std::string> lines;
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<PacedServer>(loop_));
      servers_.back()->on_request = [this](PacedServer::Peer& peer) { Serve(peer); };
      lines.push_back(ServerLine("s" + std::to_string(i), servers_.back()->address()));
    }
    config_ = ConfigText(discovery_.address(), ListText(1, true, lines));
    for (int i = 0; i < kSidecars; ++i) {
      processes_.emplace_back();
      Start(i);
    }
    Run(kStartTime);
    for (int i = 0; i < kClients; ++i) clients_.push_back({i % kSidecars, nullptr, "", 0, {}});
  }
  ~RollingRestart() { std::filesystem::remove_all(folder_); }

  void Play() {
    Load(3s);
    Print("before the restarts");
    for (int i = 0; i < kSidecars; ++i) Restart(i);
    Print("during the restarts");
  }

 private:
  struct AskingClient {
    int sidecar;
    std::unique_ptr<AskingConnection> connection;
    std::string id;  // of the open request
    size_t answers = 0;
    Time next_at{};
  };

  std::string AddressOf(int sidecar) const {
    return lab::OwnAddress() + ":" + std::to_string(18'700 + sidecar);
  }
  void Start(int sidecar) {
    const std::string file = folder_ + "/n" + std::to_string(sidecar) + ".json";
    const std::string text = Replaced(config_, "127.0.0.1:0", AddressOf(sidecar));
    if (!files::WriteFileAtomically(file, text).empty()) std::abort();
    processes_[static_cast<size_t>(sidecar)] =
        std::make_unique<lab::Process>(std::vector<std::string>{program_, "--config", file},
                                       folder_ + "/n" + std::to_string(sidecar) + ".log");
  }
  void Restart(int sidecar) {
    lab::Process& process = *processes_[static_cast<size_t>(sidecar)];
    const Time begun = Clock::now();
    process.Tell(SIGTERM);
    while (!process.Ended() && Clock::now() < begun + kKillDelay) Load(10ms);
    if (!process.Ended()) ++ended_["processes killed"];
    process.Tell(SIGKILL);
    Load(20ms);
    Start(sidecar);
    Load(kStartTime);
  }
  void Serve(PacedServer::Peer& peer) {
    const std::string* id = peer.request.Find("X-Request-ID");
    if (id == nullptr) return peer.Write(WriteResponse(200, {}, "", true));  // a probe
    if (!id->starts_with("long"))
      return After(Millis(30, 120), [&peer] { peer.Write(WriteResponse(200, {}, "short", true)); });
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kPiece) + "\r\n\r\n");
    const Span interval = Millis(50, 300);
    for (int i = 0; i < kPieces; ++i) After(i * interval, [&peer] { peer.Write(std::string(kPiece, 'l')); });
  }
  void Run(Span time) {
    loop_.RunUntil([] { return false; }, time);
  }
  void Load(Span time) {
    for (const Time end = Clock::now() + time; Clock::now() < end; Run(5ms)) {
      for (AskingClient& client : clients_) Step(client);
    }
  }
  void Step(AskingClient& client) {
    if (client.connection && !client.id.empty() && client.connection->statuses.size() > client.answers) {
      client.answers = client.connection->statuses.size();
      const int status = client.connection->statuses.back();
      ++ended_[KindOf(client.id) + " answered " + std::to_string(status)];
      if (status != 200) client.next_at = Clock::now() + kPauseAfterRejection;
      client.id.clear();
    }
    const bool gone = client.connection && (client.connection->ended || !client.connection->stream.open());
    if (gone) {
      const bool was_up = client.connection->connected;
      if (!client.id.empty())
        ++ended_[KindOf(client.id) + (was_up ? " without a whole answer" : " not connected")];
      client = {(client.sidecar + 1) % kSidecars, nullptr, "", 0, {}};
    }
    if (!client.id.empty() || Clock::now() < client.next_at) return;
    if (!client.connection)
      client.connection = std::make_unique<AskingConnection>(loop_, *ParseAddress(AddressOf(client.sidecar)));
    client.id = (Between(0, 4) == 0 ? "long" : "short") + std::to_string(++requests_);
    client.connection->Send(Look("4000", client.id));
  }
  static std::string KindOf(const std::string& id) { return id.starts_with("long") ? "long" : "short"; }
  void Print(const std::string& when) {
    std::printf("%s\n", when.c_str());
    for (const auto& [what, count] : ended_) std::printf("  %6d %s\n", count, what.c_str());
    ended_.clear();
  }
  int Between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
  Span Millis(int low, int high) { return std::chrono::milliseconds(Between(low, high)); }
  void After(Span delay, std::function<void()> task) {
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(task)));
    timers_.back()->Start(delay);
  }

  const std::string program_;
  Loop loop_;
  Party discovery_;
  const std::string folder_;
  std::string config_;
  std::mt19937 random_{1};
  std::vector<std::unique_ptr<PacedServer>> servers_;
  std::vector<std::unique_ptr<lab::Process>> processes_;
  std::vector<AskingClient> clients_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::map<std::string, int> ended_;
  int requests_ = 0;
};

}  // namespace
}  // namespace umberdyke::net

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: rolling_restart PROGRAM\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  umberdyke::net::RollingRestart restart(argv[1]);
  restart.Play();
}

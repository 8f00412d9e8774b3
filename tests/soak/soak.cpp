// A seeded soak of one real process on loopback: servers and clients of any pace, clients that leave and come
// again, a crowd on some seeds, and signals in series. Clients use their connections until the kill.
//
//   umberdyke_soak PROGRAM FIRST_SEED LAST_SEED
//
// Prints a line for each seed and each broken rule; exits with 1 if a rule was broken.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <random>
#include <set>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/paced_peers.h"

namespace umberdyke::net {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

constexpr Span kLoadTime = 5s;         // before SIGTERM
constexpr Span kKillDelay = 3700ms;    // from SIGTERM: the longest deadline, 3 s at most, and 0.7 s
constexpr Span kLateRequests = 700ms;  // what comes later than this after SIGTERM has its answer by the kill
constexpr Span kGrace = 500ms;         // after the time of a request
constexpr Span kMostAfterClose = 100ms;  // until which attempts may begin for a client that has left
constexpr Span kStallOfMachine = 50ms;   // a longer gap between two turns of this program is added to bounds
constexpr size_t kLongResponse = 150'000;
constexpr int kServers = 4;
constexpr int kCrowd = 300;

struct Draw {
  explicit Draw(unsigned seed) : random(seed) {}
  int Between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random); }
  std::mt19937 random;
};

// One request of a regular client and what became of it.
struct Request {
  std::string id;
  std::string request_class;
  int timeout_ms = 0;
  std::unique_ptr<PacedClient> client;
  std::optional<Time> leaves_at, left_at;
};

struct Run {
  Time at;
  std::string request_class;
};

class Soak {
 public:
  Soak(const std::string& program, unsigned seed)
      : draw_(seed), seed_(seed), discovery_(loop_), memory_mb_(draw_.Chance(0.5) ? 32 : 192) {
    folder_ = (std::filesystem::temp_directory_path() /
               ("umberdyke-soak" + std::to_string(getpid()) + "-" + std::to_string(seed)))
                  .string();
    std::filesystem::create_directories(folder_);
    listen_ = lab::OwnAddress() + ":18501";
    discovery_.script = [](Party::Peer& peer) {
      peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    std::vector<std::string> lines;
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<PacedServer>(loop_));
      if (draw_.Chance(0.25)) servers_.back()->bytes_per_second = draw_.Between(60, 400) * 1000;
      servers_.back()->on_request = [this](PacedServer::Peer& peer) { Serve(peer); };
      lines.push_back(ServerLine("s" + std::to_string(i), servers_.back()->address()));
    }
    std::string text =
        Replaced(ConfigText(discovery_.address(), ListText(1, true, lines)), "127.0.0.1:0", listen_);
    const std::string sockets = "\"sockets\":1024";
    text = Replaced(text, sockets, "\"memory_mb\":" + std::to_string(memory_mb_) + "," + sockets);
    const std::string classes = "\"request_classes\":[";
    text =
        Replaced(text, classes, classes + R"({"name":"unsafe","semantics":"side_effect","target_us":1500000,
                                 "hard_limit_us":4000000,"points":2},)");
    if (!files::WriteFileAtomically(folder_ + "/n0.json", text).empty())
      Break("cannot write its configuration");
    process_ = std::make_unique<lab::Process>(
        std::vector<std::string>{program, "--config", folder_ + "/n0.json"}, folder_ + "/n0.log");
    last_turn_ = Clock::now();
  }
  ~Soak() { std::filesystem::remove_all(folder_); }

  // Returns the number of broken rules.
  int Play() {
    if (!Until([this] { return Ready(); }, 10s)) {
      Break("did not become ready");
      return broken_;
    }
    const bool crowd = draw_.Chance(0.4);
    const bool flood = draw_.Chance(0.3);
    const Time start = Clock::now();
    if (crowd) BeginCrowd();
    if (flood) BeginFlood();
    while (Clock::now() - start < kLoadTime) {
      BeginRequest();
      if (draw_.Chance(0.02)) process_->Tell(SIGHUP);
      if (draw_.Chance(0.02)) Stop();
      Turn(std::chrono::milliseconds(draw_.Between(5, 35)));
    }
    End();
    Judge();
    std::printf(
        "seed %u: %d MB%s%s, %zu requests, peak %.1f MB, slowest turn %d ms, %d broken\n", seed_, memory_mb_,
        crowd ? ", crowd" : "", flood ? ", flood" : "", requests_.size(), peak_mb_,
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(slowest_turn_).count()),
        broken_);
    std::fflush(stdout);
    return broken_;
  }

 private:
  void Break(const std::string& what) {
    ++broken_;
    std::printf("seed %u: BROKEN %s\n", seed_, what.c_str());
  }
  bool Until(const std::function<bool()>& done, Span time) { return loop_.RunUntil(done, time); }
  void Turn(Span time) {
    const Time end = Clock::now() + time;
    loop_.RunUntil(
        [&] {
          const Time now = Clock::now();
          slowest_turn_ = std::max(slowest_turn_, now - last_turn_);
          last_turn_ = now;
          Leave(now);
          peak_mb_ = std::max(peak_mb_, process_->PeakMb());
          return now >= end;
        },
        time + 1s);
  }
  bool Ready() {
    Client client(loop_, *ParseAddress(listen_));
    client.Send("GET /-/ready HTTP/1.1\r\n\r\n");
    loop_.RunUntil([&] { return !client.answers.empty() || client.ended; }, 100ms);
    return !client.answers.empty() && client.answers.front().status == 200;
  }
  void Stop() {
    process_->Tell(SIGSTOP);
    After(100ms, [this] { process_->Tell(SIGCONT); });
  }
  void After(Span delay, std::function<void()> task) {
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(task)));
    timers_.back()->Start(delay);
  }

  void Serve(PacedServer::Peer& peer) {
    const std::string* header = peer.request.Find("X-Request-ID");
    if (header == nullptr) return peer.Write(WriteResponse(200, {}, "", true));  // a probe
    const std::string id = *header;
    runs_[id].push_back({Clock::now(), *peer.request.Find("X-Priority-Class")});
    const Span work = std::chrono::milliseconds(draw_.Between(5, 150));
    const int kind = draw_.Between(0, 19);
    if (kind == 0) return After(work, [&peer] { peer.stream.Reset(); });
    if (kind == 1) return After(work, [&peer] { peer.Write(WriteResponse(500, {}, "", true)); });
    if (kind == 2) return;                             // hangs
    const bool may_be_long = !id.starts_with("open");  // those clients take short responses alone
    if (kind > 5 || !may_be_long)
      return After(work, [&peer, id] { peer.Write(WriteResponse(200, {}, id, true)); });
    // A long response, its body late, in pieces.
    After(work, [&peer] {
      peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongResponse) + "\r\n\r\n");
    });
    const Span pause = std::chrono::milliseconds(draw_.Between(0, 900));
    for (size_t at = 0, i = 0; at < kLongResponse; at += 30'000, ++i) {
      After(work + pause + i * 30ms, [&peer, id, at] {
        std::string piece(30'000, 'r');
        if (at == 0) piece.replace(0, id.size(), id);
        peer.Write(piece);
      });
    }
    long_responses_.insert(id);
  }

  std::string TextOf(const Request& request, bool is_long) {
    if (request.request_class == "look") return Look(std::to_string(request.timeout_ms), request.id);
    const size_t length = is_long ? static_cast<size_t>(draw_.Between(70, 900)) * 1000 : 4;
    return LongRequest(request.id, length, request.timeout_ms, kNoLimit, request.request_class);
  }
  void BeginRequest() {
    auto request = std::make_unique<Request>();
    const char* const classes[] = {"look", "hand", "any", "unsafe"};
    request->request_class = classes[draw_.Between(0, 3)];
    request->timeout_ms = draw_.Between(300, 2800);
    // Some clients come again with the id of one that has left.
    Request* left = nullptr;
    for (auto& earlier : requests_) {
      if (earlier->left_at && !again_.contains(earlier->id) && earlier->request_class != "look" &&
          draw_.Chance(0.1))
        left = earlier.get();
    }
    request->id = left != nullptr ? left->id : "s" + std::to_string(seed_) + "." + std::to_string(next_id_++);
    if (left != nullptr) {
      request->request_class = left->request_class;
      again_.insert(left->id);
    }
    const bool is_long = draw_.Chance(0.1);
    request->client =
        std::make_unique<PacedClient>(loop_, *ParseAddress(listen_), TextOf(*request, is_long),
                                      is_long && draw_.Chance(0.5) ? draw_.Between(150, 900) * 1000 : 0);
    if (draw_.Chance(0.08))
      request->leaves_at = Clock::now() + std::chrono::milliseconds(draw_.Between(1, 300));
    requests_.push_back(std::move(request));
  }
  void Leave(Time now) {
    for (auto& request : requests_) {
      if (!request->leaves_at || request->left_at || now < *request->leaves_at) continue;
      if (!request->client->first_byte_at && !request->client->ended_at) request->left_at = now;
      request->client->stream.Close();
      request->leaves_at.reset();
    }
  }

  void BeginCrowd() {
    const int kind = draw_.Between(0, 3);
    for (int i = 0; i < kCrowd; ++i) {
      const std::string id = "crowd" + std::to_string(i);
      std::string bytes;
      if (kind == 0) bytes = LongRequest(id, 1'000'000, 2500);
      if (kind == 1) bytes = LongRequest(id, 1'000'000, 2500, 500'000);
      if (kind == 2) {
        bytes = "GET /api HTTP/1.1\r\n";
        for (int line = 0; line < 250; ++line) bytes += "abcdefghijklmnopqrst: u\r\n";
      }
      if (kind == 3) {
        for (int n = 0; n < 400; ++n) bytes += Look("2500", id + "." + std::to_string(n));
      }
      crowd_.push_back(std::make_unique<PacedClient>(loop_, *ParseAddress(listen_), std::move(bytes), 0));
    }
  }
  void BeginFlood() {
    std::string bytes;
    for (int i = 0; i < 20'000; ++i) bytes += "GET /nothing HTTP/1.1\r\n\r\n";
    crowd_.push_back(std::make_unique<PacedClient>(loop_, *ParseAddress(listen_), std::move(bytes), 0));
  }

  // SIGTERM in series, then clients go on until the kill at its earliest.
  void End() {
    terminated_at_ = Clock::now();
    for (int i = 0; i < draw_.Between(1, 4); ++i) After(i * 20ms, [this] { process_->Tell(SIGTERM); });
    std::vector<std::unique_ptr<Client>> open;
    for (int i = 0; i < 12; ++i) {
      open.push_back(std::make_unique<Client>(loop_, *ParseAddress(listen_)));
      open.back()->Send(Look("1000", "open" + std::to_string(seed_) + "." + std::to_string(i) + ".0"));
    }
    std::vector<int> sent(open.size(), 1);
    while (Clock::now() - terminated_at_ < kKillDelay - 60ms) {
      for (size_t i = 0; i < open.size(); ++i) {
        const bool answered = static_cast<int>(open[i]->answers.size()) == sent[i];
        if (!answered || open[i]->ended || !open[i]->stream.open()) continue;
        open[i]->Send(Look("1000", "open" + std::to_string(seed_) + "." + std::to_string(i) + "." +
                                       std::to_string(sent[i])));
        ++sent[i];
      }
      if (Clock::now() - terminated_at_ < 300ms) BeginRequest();
      Turn(20ms);
    }
    Turn(std::max<Span>(terminated_at_ + kKillDelay - Clock::now(), 0ms));
    peak_mb_ = std::max(peak_mb_, process_->PeakMb());
    const std::optional<int> ended = process_->Ended();
    if (ended && *ended != 0) Break("the process ended by itself with " + std::to_string(*ended));
    process_->Tell(SIGKILL);
    killed_at_ = Clock::now();
    Turn(100ms);
    for (size_t i = 0; i < open.size(); ++i) {
      const std::string id =
          "open" + std::to_string(seed_) + "." + std::to_string(i) + "." + std::to_string(sent[i] - 1);
      const bool unanswered = static_cast<int>(open[i]->answers.size()) < sent[i];
      if (unanswered && runs_.contains(id)) Break("open connection: " + id + " was sent on and not answered");
    }
  }

  void Judge() {
    const Span slack = slowest_turn_ > kStallOfMachine ? slowest_turn_ : Span(0);
    if (kMeasuresMemory && peak_mb_ * 1e6 > memory_mb_ * 1024.0 * 1024.0)
      Break("memory: " + std::to_string(peak_mb_) + " MB of " + std::to_string(memory_mb_));
    for (const auto& request : requests_) JudgeRequest(*request, slack);
    for (const auto& [id, runs] : runs_) {
      if (runs.front().request_class == "unsafe" && runs.size() > 1)
        Break("ran twice: " + id + " of class unsafe, " + std::to_string(runs.size()) + " times");
    }
    const std::string log = files::ReadFile(folder_ + "/n0.log", 8 << 20).text;
    if (log.find("invariant_broken") != std::string::npos) Break("an invariant");
  }
  void JudgeRequest(const Request& request, Span slack) {
    const PacedClient& client = *request.client;
    const std::string name = request.id + " of class " + request.request_class;
    const auto runs = runs_.find(request.id);
    if (request.left_at) {
      if (runs == runs_.end() || again_.contains(request.id)) return;
      for (const Run& run : runs->second) {
        // A long request reaches its server whole long after it was begun.
        if (client.written_at && run.at > *request.left_at + kMostAfterClose + 100ms + slack &&
            client.received == 0 && runs->second.size() > 1 && &run != &runs->second.front())
          Break("sent after its client had left: " + name);
      }
      return;
    }
    if (!client.written_at) return;
    const Time due = *client.written_at + std::chrono::milliseconds(request.timeout_ms) + kGrace + slack;
    const bool before_kill = due < killed_at_ || *client.written_at > terminated_at_ + kLateRequests;
    const bool closed = client.ended_at && !client.first_byte_at;
    if (closed && runs != runs_.end() && *client.ended_at < killed_at_)
      return Break("closed without an answer: " + name);
    if (!client.first_byte_at && !closed && before_kill) return Break("no answer: " + name);
    if (client.first_byte_at && *client.first_byte_at > due) return Break("late answer: " + name);
    if (client.status() == 200 && client.kept.find(request.id) == std::string::npos && client.received > 300)
      Break("another's answer: " + name);
  }

  Draw draw_;
  const unsigned seed_;
  Loop loop_;
  Party discovery_;
  const int memory_mb_;
  std::string folder_, listen_;
  std::vector<std::unique_ptr<PacedServer>> servers_;
  std::unique_ptr<lab::Process> process_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::vector<std::unique_ptr<PacedClient>> crowd_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::map<std::string, std::vector<Run>> runs_;
  std::set<std::string> again_, long_responses_;
  int next_id_ = 0;
  int broken_ = 0;
  double peak_mb_ = 0;
  Time last_turn_{}, terminated_at_{}, killed_at_{};
  Span slowest_turn_{};
};

}  // namespace
}  // namespace umberdyke::net

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: umberdyke_soak PROGRAM FIRST_SEED LAST_SEED\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int passed = 0;
  int failed = 0;
  for (unsigned seed = std::stoul(argv[2]); seed <= std::stoul(argv[3]); ++seed) {
    umberdyke::net::Soak soak(argv[1], seed);
    soak.Play() == 0 ? ++passed : ++failed;
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}

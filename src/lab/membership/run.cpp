#include "lab/membership/run.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <sstream>

#include "files/files.h"
#include "lab/common/process.h"
#include "lab/coordinator/ensemble.h"
#include "lab/membership/caller.h"
#include "lab/membership/sidecar_file.h"

namespace umberdyke::lab {

using net::Clock;
using net::Span;
using net::Time;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPath = "/linen-track/front";
constexpr auto kGiveUp = 4s;
constexpr auto kDoor = 100ms;  // after a restart connections of before may still be found broken
constexpr auto kSlack = 50ms;  // for the loop's own turns, which carry all the stand-ins

// A port that is free now: the sidecar binds it a moment later. On an address of our own, as any connection
// from 127.0.0.1 may take a port of that one in between.
std::string FreeAddress(net::Loop& loop) {
  net::Listener probe(loop, [] {});
  probe.Listen(*net::ParseAddress(OwnAddress() + ":0"));
  return net::PrintAddress(probe.address());
}

std::string PageRequest(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n"; }

class Runner {
 public:
  explicit Runner(const MembershipRun& run)
      : run_(run),
        random_(run.seed),
        ensemble_(loop_, std::vector<std::string>(static_cast<size_t>(run.addresses), "127.0.0.1:0"), {},
                  run.seed),
        ask_(loop_, [this] { AskNext(); }),
        fault_(loop_, [this] { FaultNext(); }),
        wait_(loop_, [this] { AwaitSidecar(); }) {
    ensemble_.on_read = [this](const std::string& path, const std::string& data, std::int64_t session,
                               Time when) {
      if (Mine(session)) return;
      for (const auto& server : servers_) {
        if (server->node() == path) server->Told(data, when);
      }
    };
  }

  MembershipReport Go() {
    Prepare();
    if (!report_.error.empty()) return report_;
    AskNext();
    fault_.Start(run_.pace);
    const auto done = [this] { return faults_done_ >= run_.faults && Clock::now() >= quiet_; };
    loop_.RunUntil(done, 10min);
    asking_ = false;
    ask_.Stop();
    loop_.RunUntil([this] { return open_ == 0 && !restarting_; }, kGiveUp + 3s);
    report_.lost += open_;
    ReadCounters();
    child_->Tell(SIGTERM);
    loop_.RunUntil([this] { return child_->Ended().has_value(); }, 10s);
    if (!child_->Ended()) report_.error = "the sidecar did not end";
    TakeLastWords();
    for (const auto& caller : callers_) report_.twice += static_cast<std::uint64_t>(caller->extra);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    return report_;
  }

 private:
  bool Mine(std::int64_t session) const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto& s) { return s->session() == session; });
  }
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  size_t Below(size_t n) { return static_cast<size_t>(random_() % n); }

  nodes::ClientSettings ClientSettings() const {
    nodes::ClientSettings client;
    client.servers = ensemble_.addresses();
    client.session = std::chrono::duration_cast<std::chrono::milliseconds>(run_.session);
    return client;
  }

  void Prepare() {
    std::string created;
    std::vector<TreeChange> changes;
    for (const char* path : {"/linen-track", kPath})
      ensemble_.tree().Create(path, "", {}, 0, 0, 0, {}, &created, &changes);
    for (int i = 0; i < run_.servers; ++i) {
      StandIn::Settings settings;
      settings.id = "s" + std::to_string(i);
      settings.zone = i % 2 == 0 ? "east" : "west";
      settings.path = kPath;
      servers_.push_back(std::make_unique<StandIn>(loop_, ClientSettings(), settings, report_.ledger,
                                                   run_.seed * 1000 + static_cast<std::uint64_t>(i)));
    }
    const auto registered = [this] {
      return std::all_of(servers_.begin(), servers_.end(),
                         [this](const auto& s) { return ensemble_.OwnerOf(s->node()) != 0; });
    };
    if (!loop_.RunUntil(registered, 10s)) {
      report_.error = "the stand-in servers could not register";
      return;
    }
    folder_ = (std::filesystem::temp_directory_path() /
               ("umberdyke-membership-" + std::to_string(getpid()) + "-" + std::to_string(run_.seed)))
                  .string();
    std::filesystem::create_directories(folder_);
    const std::string listen = FreeAddress(loop_);
    address_ = *net::ParseAddress(listen);
    if (const std::string error = files::WriteFileAtomically(
            folder_ + "/sidecar.json", SidecarFile(listen, kPath, ensemble_.addresses(), run_.session));
        !error.empty()) {
      report_.error = error;
      return;
    }
    StartSidecar();
    int ready = 0;
    for (int i = 0; i < 200 && ready != 200 && !child_->Ended(); ++i) {
      ready = Page("/-/ready", nullptr);
      if (ready != 200) loop_.RunUntil([] { return false; }, 25ms);
    }
    if (ready != 200) report_.error = "the sidecar did not start: " + files::ReadFile(log_, 4096).text;
    loop_.RunUntil([] { return false; }, 300ms);  // it reads the list
  }

  // A page of the sidecar's own, asked for beside the load.
  int Page(const std::string& path, std::string* body) {
    net::Message answer;
    Caller caller(loop_, address_);
    caller.Ask(PageRequest(path), [&](const net::Message& a) { answer = a; });
    loop_.RunUntil([&] { return !caller.asking; }, 500ms);
    if (body != nullptr) *body = answer.body;
    return answer.status;
  }

  void ReadCounters() {
    std::string body;
    Page("/-/counters", &body);
    std::istringstream lines(body);
    std::string name;
    std::uint64_t count = 0;
    while (lines >> name >> count) report_.counters[name] = count;
  }

  // --- Clients: on a schedule that no answer moves ---

  void AskNext() {
    if (!asking_) return;
    const Time now = Clock::now();
    while (next_ask_ <= now) {
      if (next_ask_ == Time()) next_ask_ = now;
      AskOne();
      next_ask_ +=
          Span(static_cast<Span::rep>(std::exponential_distribution<double>(run_.rate)(random_) * 1e9));
    }
    ask_.Start(std::max<Span>(1ms, next_ask_ - Clock::now()));
  }

  struct Call {
    std::string id, request;
    Time asked;
  };

  void AskOne() {
    const std::string id = "r" + std::to_string(report_.asked++);
    const bool handover = Unit() < 0.4;
    const auto call = std::make_shared<Call>();
    call->id = id;
    call->asked = Clock::now();
    call->request = (handover ? "POST /api HTTP/1.1\r\n" : "GET /api?lot=7 HTTP/1.1\r\n") +
                    std::string("Host: s\r\nX-Request-ID: ") + id +
                    "\r\nX-Priority-Class: " + (handover ? "handover" : "lot-status") +
                    "\r\nX-Timeout-Ms: 4000\r\n" +
                    (handover ? "Idempotency-Key: k-" + id + "\r\nContent-Length: 4\r\n\r\nlot7" : "\r\n");
    ++open_;
    Ask(call);
  }

  Caller& FreeCaller() {
    const auto free =
        std::find_if(callers_.begin(), callers_.end(), [](const auto& c) { return c->usable(); });
    if (free != callers_.end()) return **free;
    callers_.push_back(std::make_unique<Caller>(loop_, address_));
    return *callers_.back();
  }

  void Ask(const std::shared_ptr<Call>& call) {
    FreeCaller().Ask(call->request,
                     [this, call](const net::Message& answer) { Answered(call, answer.status); });
  }

  void Answered(const std::shared_ptr<Call>& call, int status) {
    const Time now = Clock::now();
    // While the sidecar is restarted its door is shut. What no server ever saw was never taken, and a client
    // knocks again; what one saw has to be answered.
    const bool shut = restarting_ || now - back_ < kDoor;
    if (status == 0 && shut && !report_.ledger.seen.contains(call->id) &&
        now - call->asked < kGiveUp - 500ms) {
      ++report_.knocked_again;
      return Later(25ms, [this, call] { Ask(call); });
    }
    --open_;
    if (status == 200) {
      ++report_.served;
    } else if (status == 503 || status == 429) {
      ++report_.turned_down;
    } else if (status != 0) {
      ++report_.failed;
    } else {
      ++report_.lost;
    }
    if (status != 0 && now - call->asked > kGiveUp + kSlack) ++report_.late;
  }

  // --- The sidecar's own life ---

  void StartSidecar() {
    log_ = folder_ + "/log." + std::to_string(++lives_);
    child_ = std::make_unique<Process>(
        std::vector<std::string>{run_.sidecar, "--config", folder_ + "/sidecar.json"}, log_);
  }

  // A planned restart, as a roll-out does it: told to end, waited for, started again on the same address.
  void RestartSidecar() {
    if (restarting_) return;
    restarting_ = true;
    ++report_.restarts;
    child_->Tell(SIGTERM);
    wait_.Start(20ms);
  }

  void AwaitSidecar() {
    if (child_ != nullptr && !started_again_) {
      const auto status = child_->Ended();
      if (!status) return wait_.Start(20ms);
      if (*status != 0) report_.error = "the sidecar ended with status " + std::to_string(*status);
      TakeLastWords();
      StartSidecar();
      started_again_ = true;
    }
    FreeCaller().Ask(PageRequest("/-/ready"), [this](const net::Message& answer) {
      if (answer.status != 200) return wait_.Start(25ms);
      restarting_ = started_again_ = false;
      back_ = Clock::now();
    });
  }

  // The counters of a life that is over stand in its log.
  void TakeLastWords() {
    const std::string text = files::ReadFile(log_, 1 << 20).text;
    const auto count = [&](const std::string& name) -> std::uint64_t {
      const size_t at = text.rfind(name + " ");
      return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + name.size() + 1, nullptr, 10);
    };
    report_.sidecar_broken_invariants += count("invariant_broken");
    report_.registered += count("membership_registered");
  }

  // --- Faults ---

  struct Fault {
    const char* name;
    double weight;
    std::function<void()> strike;
  };

  void Later(Span after, std::function<void()> task) {
    const size_t at = tasks_.size();
    tasks_.push_back(std::make_unique<net::Timer>(loop_, std::move(task)));
    tasks_[at]->Start(after);
    quiet_ = std::max(quiet_, Clock::now() + after + 1s);
  }

  Span Between(double least_ms, double most_ms) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(1000 * (least_ms + Unit() * (most_ms - least_ms))));
  }

  // A server that is up; at least a third always stay so.
  StandIn* Victim() {
    const auto up = std::count_if(servers_.begin(), servers_.end(),
                                  [](const auto& s) { return s->up() && !s->draining(); });
    StandIn* server = servers_[Below(servers_.size())].get();
    return 3 * up > static_cast<std::ptrdiff_t>(servers_.size()) && server->up() && !server->draining()
               ? server
               : nullptr;
  }

  std::int64_t SidecarSession() const { return ensemble_.OwnerOf("/linen-track/sidecar-front-1"); }

  void Members(bool all, const std::function<void(size_t)>& strike, const std::function<void(size_t)>& mend,
               Span after) {
    const size_t one = Below(ensemble_.members());
    for (size_t m = 0; m < ensemble_.members(); ++m) {
      if (!all && m != one) continue;
      strike(m);
      Later(after, [mend, m] { mend(m); });
    }
  }

  std::vector<Fault> Faults() {
    const auto faults = [this](size_t m) -> MemberFaults& { return ensemble_.faults(m); };
    const auto cut = [this, faults](bool all, Span after) {
      Members(
          all,
          [this, faults](size_t m) {
            faults(m).refuse = true;
            ensemble_.CloseConnections(m);
          },
          [faults](size_t m) { faults(m).refuse = false; }, after);
    };
    return {
        {"session of a server killed", 3,
         [this] {
           if (StandIn* s = Victim()) ensemble_.KillSession(s->session());
         }},
        {"session of the sidecar killed", 1, [this] { ensemble_.KillSession(SidecarSession()); }},
        {"session's time jumped", 1,
         [this] {
           if (StandIn* s = Victim()) ensemble_.JumpTimeout(s->session());
         }},
        {"sessions of a half killed at once", 0.7,
         [this] {
           for (size_t i = 0; i < servers_.size(); i += 2) ensemble_.KillSession(servers_[i]->session());
         }},
        {"notice lost", 2, [this] { ensemble_.LoseNextNotice(SidecarSession()); }},
        {"address cut", 2, [this, cut] { cut(false, Between(200, 900)); }},
        {"all addresses cut", 0.7, [this, cut] { cut(true, Between(300, 1500)); }},
        {"address silent", 1.5,
         [this, faults] {
           Members(
               false, [faults](size_t m) { faults(m).silent = true; },
               [this, faults](size_t m) {
                 faults(m).silent = false;
                 ensemble_.CloseConnections(m);
               },
               Between(200, 900));
         }},
        {"address late", 1.5,
         [this, faults] {
           Members(
               false,
               [faults](size_t m) {
                 faults(m).delay = 20ms;
                 faults(m).jitter = 60ms;
               },
               [faults](size_t m) { faults(m).delay = faults(m).jitter = Span(); }, Between(200, 900));
         }},
        {"address talks garbage", 1,
         [this, faults] {
           Members(
               false, [faults](size_t m) { faults(m).garbage = true; },
               [this, faults](size_t m) {
                 faults(m).garbage = false;
                 ensemble_.CloseConnections(m);
               },
               Between(100, 400));
         }},
        {"address half-closes", 1, [this, faults] { faults(Below(ensemble_.members())).half_close = true; }},
        {"address read-only", 0.7,
         [this, faults] {
           Members(
               false, [faults](size_t m) { faults(m).read_only = true; },
               [faults](size_t m) { faults(m).read_only = false; }, Between(200, 700));
         }},
        {"address lags", 1,
         [this] {
           Members(
               false, [this](size_t m) { ensemble_.SetLagging(m, true); },
               [this](size_t m) {
                 ensemble_.SetLagging(m, false);
                 ensemble_.CloseConnections(m);
               },
               Between(200, 700));
         }},
        {"sidecar restarts", 0.5, [this] { RestartSidecar(); }},
        {"server crashes", 2,
         [this] {
           if (StandIn* s = Victim()) {
             s->Crash();
             Later(Between(100, 1500), [s] { s->Start(); });
           }
         }},
        {"server drains", 3,
         [this] {
           StandIn* s = Victim();
           if (s == nullptr) return;
           s->Drain();
           Later(Between(700, 1500), [s] {
             if (s->up()) s->Crash();
             s->Start();
           });
         }},
        {"data that cannot be read", 1,
         [this] {
           StandIn* s = Victim();
           if (s == nullptr || ensemble_.OwnerOf(s->node()) == 0) return;
           Stat stat;
           std::string before;
           std::vector<TreeChange> changes;
           if (ensemble_.tree().Get(s->node(), {}, &before, &stat) != Code::kOk) return;
           ensemble_.tree().Set(s->node(), "{\"addr\": 7", -1, 0, {}, &stat, &changes);
           ensemble_.Apply(changes);
           Later(Between(100, 600), [s] { s->Declare(); });
         }},
    };
  }

  void FaultNext() {
    if (faults_done_ >= run_.faults) return;
    if (faults_.empty()) faults_ = Faults();
    double all = 0;
    for (const Fault& fault : faults_) all += fault.weight;
    double at = Unit() * all;
    const Fault* chosen = &faults_.back();
    for (const Fault& fault : faults_) {
      at -= fault.weight;
      if (at > 0) continue;
      chosen = &fault;
      break;
    }
    chosen->strike();
    ++report_.faults[chosen->name];
    ++faults_done_;
    quiet_ = std::max(quiet_, Clock::now() + 1s);
    if (run_.progress && faults_done_ % 20 == 0) {
      std::fprintf(stderr, "%d of %d faults, %llu asked, %llu served, %llu lost\n", faults_done_, run_.faults,
                   static_cast<unsigned long long>(report_.asked),
                   static_cast<unsigned long long>(report_.served),
                   static_cast<unsigned long long>(report_.lost));
    }
    fault_.Start(
        Span(static_cast<Span::rep>(static_cast<double>(run_.pace.count()) *
                                    std::min(4.0, std::exponential_distribution<double>(1)(random_)))));
  }

  const MembershipRun run_;
  MembershipReport report_;
  std::mt19937_64 random_;
  net::Loop loop_;
  Ensemble ensemble_;
  std::vector<std::unique_ptr<StandIn>> servers_;
  std::unique_ptr<Process> child_;
  std::string folder_;
  net::Address address_{};
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<net::Timer>> tasks_;
  std::vector<Fault> faults_;
  net::Timer ask_, fault_, wait_;
  Time next_ask_{}, quiet_{}, back_{};
  std::string log_;  // of the present life
  int lives_ = 0;
  bool restarting_ = false, started_again_ = false;
  bool asking_ = true;
  std::uint64_t open_ = 0;
  int faults_done_ = 0;
};

}  // namespace

MembershipReport Run(const MembershipRun& run) {
  std::signal(SIGPIPE, SIG_IGN);  // the client library writes to connections that have broken
  try {
    return Runner(run).Go();
  } catch (const std::exception& error) {
    MembershipReport report;
    report.error = error.what();
    return report;
  }
}

std::string Print(const MembershipRun& run, const MembershipReport& report) {
  std::ostringstream out;
  out << "seed " << run.seed << ", " << run.servers << " servers, " << run.faults << " faults\n"
      << "asked " << report.asked << ": served " << report.served << ", turned down " << report.turned_down
      << ", failed " << report.failed << " (knocked again at " << report.restarts << " restarts "
      << report.knocked_again << "); lost " << report.lost << ", late " << report.late << ", answered twice "
      << report.twice << "\n"
      << "run by the servers: " << report.ledger.runs << ", repeats dropped " << report.ledger.repeats_dropped
      << ", handovers run twice " << report.ledger.doubled << ", second copies at once "
      << report.ledger.at_once << ", sent to a drained server after 300 ms " << report.ledger.late_to_drained
      << "\n";
  for (const auto& [name, count] : report.faults) out << "  " << count << " x " << name << "\n";
  for (const auto& [name, count] : report.counters) {
    if (name.starts_with("membership")) out << "  sidecar: " << name << " " << count << "\n";
  }
  if (!report.error.empty()) out << "error: " << report.error << "\n";
  out << (report.clean() ? "clean\n" : "NOT CLEAN\n");
  return out.str();
}

}  // namespace umberdyke::lab

// A version of the sidecar, good or bad, as an agent starts it: the program itself behind a process that ends
// with the bed.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <list>
#include <string>

#include "lab/fleet/stand_ins.h"
#include "lab/membership/caller.h"
#include "loop/loop.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;
using net::Clock;
using net::Span;

namespace {

constexpr Span kPace = 5ms;
// Of `slow`: it stands still for 80 of 110 ms, once it has been up for a moment.
constexpr Span kStill = 80ms, kRuns = 30ms, kSound = 300ms;
constexpr Span kMixedEvery = 100ms;  // to each of the others

class Version {
 public:
  explicit Version(const VersionOptions& options) : options_(options) {}

  int Run() {
    if (options_.kind == "crash") return 3;
    if (options_.kind != "hang" && !Fork()) return 126;
    const net::Time began = Clock::now();
    for (;;) {
      const bool slow = options_.kind == "slow";
      loop_.RunUntil([] { return false; }, !slow ? kPace : stopped_ ? kStill : kRuns);
      if (kill(static_cast<pid_t>(options_.bed), 0) != 0) return 1;  // and the child with it
      int status = 0;
      if (child_ > 0 && waitpid(child_, &status, WNOHANG) == child_)
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      if (told_ && child_ < 0) return 0;
      if (told_ && !passed_on_) PassOn();
      if (slow && !passed_on_ && Clock::now() - began > kSound) {
        stopped_ = !stopped_;
        kill(child_, stopped_ ? SIGSTOP : SIGCONT);
      }
      if (options_.kind == "later" && Clock::now() - began > std::chrono::milliseconds(options_.later_ms)) {
        kill(child_, SIGKILL);
        return 4;
      }
      if (options_.kind == "mixed" && !passed_on_) Harm();
    }
  }

 private:
  bool Fork() {
    std::string name = "version";
    for (size_t i = 0; i + 1 < options_.arguments.size(); ++i) {
      if (options_.arguments[i] == "--config")
        name = std::filesystem::path(options_.arguments[i + 1]).stem().string();
    }
    name = name.substr(name.rfind('.') + 1);
    const std::string log = options_.logs + "/" + name + ".life." + std::to_string(net::MicrosNow());
    std::vector<std::string> words = {options_.sidecar};
    words.insert(words.end(), options_.arguments.begin(), options_.arguments.end());
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    child_ = fork();
    if (child_ != 0) return child_ > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (options_.kind == "leak") {
      const auto library =
          std::filesystem::read_symlink("/proc/self/exe").parent_path() / "umberdyke_leak.so";
      setenv("LD_PRELOAD", library.c_str(), 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);  // where it is a sanitized build
    }
    if (std::freopen(log.c_str(), "w", stderr) == nullptr) _exit(126);
    execv(argv[0], argv.data());
    _exit(127);
  }

  void PassOn() {
    passed_on_ = true;
    kill(child_, SIGCONT);
    kill(child_, SIGTERM);
  }

  // Asks every sidecar for what can't be done in time, so that those beside it turn down more than before.
  void Harm() {
    if (Clock::now() < harm_at_) return;
    harm_at_ = Clock::now() + kMixedEvery;
    callers_.remove_if([](const auto& caller) { return !caller->asking; });
    for (const std::string& other : options_.others) {
      const auto address = net::ParseAddress(other);
      if (!address || callers_.size() > 4 * options_.others.size()) continue;
      callers_.push_back(std::make_unique<Caller>(loop_, *address));
      callers_.back()->Ask("GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: m" + std::to_string(getpid()) +
                               "-" + std::to_string(++asked_) +
                               "\r\nX-Tenant-Id: far\r\nX-Priority-Class: count\r\nX-Timeout-Ms: 1\r\n\r\n",
                           [](const net::Message&) {});
    }
  }

  const VersionOptions& options_;
  net::Loop loop_;
  bool told_ = false;
  const net::Signal term_{loop_, SIGTERM, [this] { told_ = true; }};
  pid_t child_ = -1;
  bool passed_on_ = false, stopped_ = false;
  std::uint64_t asked_ = 0;
  net::Time harm_at_{};
  std::list<std::unique_ptr<Caller>> callers_;
};

}  // namespace

int RunVersion(const VersionOptions& options) { return Version(options).Run(); }

}  // namespace umberdyke::lab

// The processes of one sidecar in a soak: the one that serves, and those that it has replaced and that have
// until their kill to end.
#ifndef UMBERDYKE_TESTS_SOAK_SIDECAR_PROCESSES_H_
#define UMBERDYKE_TESTS_SOAK_SIDECAR_PROCESSES_H_

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "files/files.h"
#include "lab/common/process.h"
#include "net/site.h"

namespace umberdyke::net {

constexpr Span kKillDelay = 3700ms;  // from SIGTERM: the longest deadline, 3 s at most, and 0.7 s

struct SidecarProcess {
  std::unique_ptr<lab::Process> process;
  std::string file;  // its configuration
  std::string console;
  std::optional<Time> terminated_at, killed_at;
  bool serves = false;  // before, what it holds may be what its parent held
  bool end_seen = false;
};

class SidecarProcesses {
 public:
  using Broken = std::function<void(const std::string& what)>;
  // `config_text` makes the configuration of the process with the given console address.
  SidecarProcesses(std::string program, std::string folder,
                   std::function<std::string(const std::string& console)> config_text, Broken broken)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        config_text_(std::move(config_text)),
        broken_(std::move(broken)) {}

  // Starts a process, which replaces the one before once that is terminated.
  void Start(const std::string& address) {
    const std::string number = std::to_string(all_.size());
    auto added = std::make_unique<SidecarProcess>();
    added->file = folder_ + "/n" + number + ".json";
    added->console = address + ":" + std::to_string(kFirstConsolePort + static_cast<int>(all_.size()));
    WriteConfiguration(*added);
    added->process = std::make_unique<lab::Process>(
        std::vector<std::string>{"/usr/bin/env", "TMPDIR=" + folder_, program_, "--config", added->file},
        added->file + ".log");
    all_.push_back(std::move(added));
  }
  bool NewestServes() {
    SidecarProcess& one = *all_.back();
    one.serves = one.serves || files::ReadFile(one.file + ".log", kMaxLogBytes).text.find(" listens on ") !=
                                   std::string::npos;
    return one.serves;
  }
  // Tells all running processes to read their configuration anew.
  void Reload() {
    for (const auto& one : all_) {
      if (one->process->Ended()) continue;
      WriteConfiguration(*one);
      one->process->Tell(SIGHUP);
    }
  }
  SidecarProcess& newest() { return *all_.back(); }
  SidecarProcess& At(size_t index) { return *all_[index]; }
  size_t size() const { return all_.size(); }

  void Terminate(SidecarProcess& one) {
    one.process->Tell(SIGTERM);
    if (!one.terminated_at) one.terminated_at = Clock::now();
  }
  // Kills processes whose time is over, and reports any that ended in another way than they may.
  void Step(Time now) {
    for (const auto& one : all_) {
      if (one->serves) peak_mb_ = std::max(peak_mb_, one->process->PeakMb());
      CheckEnd(*one);
      if (!one->terminated_at || one->killed_at || now < *one->terminated_at + kKillDelay) continue;
      one->killed_at = now;
      one->process->Tell(SIGKILL);
    }
  }
  double peak_mb() const { return peak_mb_; }

  // Whether a request that was written at `written` and is due at `due` may have been lost with a process
  // that was killed. What is written later than `late` after SIGTERM has its answer by the kill.
  bool MayBeLostToKill(Time written, Time due, Span late) const {
    return std::any_of(all_.begin(), all_.end(), [&](const auto& one) {
      return one->killed_at && written < *one->killed_at && due >= *one->killed_at &&
             written <= *one->terminated_at + late;
    });
  }
  // Whether a connection that ended at `ended` ended with a killed process, and its request, sent at `sent`,
  // may have been too late for an answer.
  bool SentTooLateForKill(Time sent, Time ended) const {
    return std::any_of(all_.begin(), all_.end(), [&](const auto& one) {
      return EndedWith(one->killed_at, ended) && sent > *one->killed_at - kLastRequestBeforeKill;
    });
  }
  bool KilledJustBefore(Time at) const {
    return std::any_of(all_.begin(), all_.end(),
                       [&](const auto& one) { return EndedWith(one->killed_at, at); });
  }
  std::string Logs() const {
    std::string logs;
    for (const auto& one : all_) logs += files::ReadFile(one->file + ".log", kMaxLogBytes).text;
    return logs;
  }

 private:
  // Clients see the end of a killed process's connections in so long.
  static constexpr Span kKillSeenWithin = 200ms;
  // What is sent later before the kill may have no answer.
  static constexpr Span kLastRequestBeforeKill = 60ms;

  static bool EndedWith(const std::optional<Time>& killed_at, Time ended) {
    return killed_at && ended >= *killed_at && ended < *killed_at + kKillSeenWithin;
  }
  static constexpr int kFirstConsolePort = 18'600;
  static constexpr size_t kMaxLogBytes = size_t{8} << 20;

  void WriteConfiguration(const SidecarProcess& one) {
    if (!files::WriteFileAtomically(one.file, config_text_(one.console)).empty())
      broken_("cannot write a configuration");
  }
  void CheckEnd(SidecarProcess& one) {
    const std::optional<int> status = one.process->Ended();
    if (!status || std::exchange(one.end_seen, true)) return;
    const int signal = one.process->EndSignal();
    if (signal != 0 && !(signal == SIGKILL && one.killed_at)) {
      broken_("a process ended by signal " + std::to_string(signal) + ": " + one.file);
    } else if (signal == 0 && (*status != 0 || !one.terminated_at)) {
      broken_("a process ended by itself with " + std::to_string(*status) + ": " + one.file);
    }
  }

  const std::string program_, folder_;
  const std::function<std::string(const std::string& console)> config_text_;
  const Broken broken_;
  std::vector<std::unique_ptr<SidecarProcess>> all_;
  double peak_mb_ = 0;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_SOAK_SIDECAR_PROCESSES_H_

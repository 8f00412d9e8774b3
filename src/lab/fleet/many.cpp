#include "lab/fleet/many.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "files/files.h"
#include "lab/common/process.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr int kTries = 3;

struct Job {
  std::uint64_t seed;
  int tries = 0;
  std::string out;
  std::unique_ptr<Process> process;
};

std::vector<std::string> Command(const Many& many, const Programs& programs, std::uint64_t seed,
                                 const std::string& out) {
  std::vector<std::string> command = {programs.lab,
                                      "fleet",
                                      "run",
                                      "--seed",
                                      std::to_string(seed),
                                      "--sidecar",
                                      programs.sidecar,
                                      "--agent",
                                      programs.agent,
                                      "--json",
                                      out,
                                      "--faults",
                                      std::to_string(many.faults)};
  if (many.sites) command.push_back("--sites");
  if (many.rollouts) command.push_back("--rollouts");
  if (!many.plans.empty()) {
    files::WriteFileAtomically(out + ".plan", Print(many.plans[seed]));
    command.insert(command.end(), {"--plan", out + ".plan"});
  }
  return command;
}

}  // namespace

BedPlan PlanOf(const Many& many, std::uint64_t seed) {
  if (!many.plans.empty()) return many.plans[seed];
  return many.rollouts ? DrawRolloutPlan(seed)
         : many.sites  ? DrawSitesPlan(seed)
                       : DrawPlan(seed, many.faults);
}

ManyReport RunMany(const Many& many, const Programs& programs) {
  ManyReport report;
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("umberdyke-many-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(folder);
  if (!many.keep.empty()) std::filesystem::create_directories(many.keep);
  std::vector<Job> waiting, running;
  for (int i = many.count - 1; i >= 0; --i) {
    waiting.push_back({many.first_seed + static_cast<std::uint64_t>(i), 0, "", nullptr});
  }
  const auto start = [&](Job job) {
    job.out = folder + "/" + std::to_string(job.seed) + "." + std::to_string(++job.tries);
    job.process = std::make_unique<Process>(Command(many, programs, job.seed, job.out), job.out + ".log");
    running.push_back(std::move(job));
  };
  const auto finish = [&](Job& job) {
    const Json json = Json::parse(files::ReadFile(job.out, 64 << 20).text, nullptr, false);
    if (!json.is_object()) {
      ++report.failed;
      report.failures.push_back("seed " + std::to_string(job.seed) + ": no report; " +
                                files::ReadFile(job.out + ".log", 2000).text);
      return;
    }
    if (json.value("void", false) && json["broken"].empty() && job.tries < kTries) {
      Job again{job.seed, job.tries, "", nullptr};
      waiting.push_back(std::move(again));
      return;
    }
    for (const char* name :
         {"asked", "served", "turned_down", "failed", "cut", "lost", "doubled", "orders", "steps", "terms"}) {
      report.sums[name] += json.value(name, std::uint64_t{0});
    }
    for (const auto& [name, value] : json["dangers"].items()) {
      // What is counted adds up; of what is the most, the most is told.
      const auto count = value.get<std::uint64_t>();
      const bool most = name.starts_with("most_") || name.starts_with("reached_");
      std::uint64_t& sum = report.dangers[name];
      sum = most ? std::max(sum, count) : sum + count;
    }
    for (const auto& [name, count] : json["faults"].items())
      report.faults[name] += count.get<std::uint64_t>();
    if (json.value("void", false) && json["broken"].empty()) {
      ++report.voided;
    } else if (json.value("clean", false)) {
      ++report.clean;
    } else {
      ++report.failed;
      std::string line = "seed " + std::to_string(job.seed) + ": " + json.value("error", "");
      for (const Json& one : json["broken"]) {
        line += " " + one.value("rule", "") + " (" + one.value("what", "") + ")";
        break;
      }
      report.failures.push_back(line);
      if (!many.keep.empty()) {
        files::WriteFileAtomically(many.keep + "/" + std::to_string(job.seed) + ".plan.json",
                                   Print(PlanOf(many, job.seed)));
        files::WriteFileAtomically(many.keep + "/" + std::to_string(job.seed) + ".report.json", json.dump(1));
      }
    }
  };
  while (!waiting.empty() || !running.empty()) {
    while (!waiting.empty() && static_cast<int>(running.size()) < many.jobs) {
      Job job = std::move(waiting.back());
      waiting.pop_back();
      start(std::move(job));
    }
    std::this_thread::sleep_for(20ms);
    for (size_t i = 0; i < running.size();) {
      if (!running[i].process->Ended()) {
        ++i;
        continue;
      }
      Job job = std::move(running[i]);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      finish(job);
    }
  }
  for (const std::string& danger : many.require) {
    if (report.dangers[danger] == 0) report.missing.push_back(danger);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return report;
}

std::string Print(const Many& many, const ManyReport& report) {
  std::ostringstream out;
  out << many.count << " plans from seed " << many.first_seed << ", " << many.faults
      << " faults each: " << report.clean << " clean, " << report.failed << " failed, " << report.voided
      << " void\n";
  for (const auto& [name, count] : report.sums) out << "  " << name << " " << count << "\n";
  for (const auto& [name, count] : report.dangers) out << "  danger: " << name << " " << count << "\n";
  for (const auto& [name, count] : report.faults) out << "  " << count << " x " << name << "\n";
  for (const std::string& failure : report.failures) out << "FAILED " << failure << "\n";
  for (const std::string& danger : report.missing)
    out << "NEVER AROSE: " << danger << ": the set proves nothing of it\n";
  out << (report.good() ? "good\n" : "NOT GOOD\n");
  return out.str();
}

BedPlan Shrink(BedPlan plan, const std::function<bool(const BedPlan&)>& fails, int most) {
  int asked = 0;
  const auto still = [&](const BedPlan& smaller) { return asked++ < most && fails(smaller); };
  // Halves, then quarters, and so on down to single faults, as long as one part can go.
  for (size_t part = std::max<size_t>(1, plan.faults.size() / 2); part >= 1; part /= 2) {
    for (size_t at = 0; at < plan.faults.size() && asked < most;) {
      BedPlan smaller = plan;
      const size_t end = std::min(plan.faults.size(), at + part);
      smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(at),
                           smaller.faults.begin() + static_cast<std::ptrdiff_t>(end));
      if (still(smaller)) {
        plan = std::move(smaller);
      } else {
        at = end;
      }
    }
    if (part == 1) break;
  }
  for (size_t i = 0; i < plan.faults.size(); ++i) {
    BedPlan shorter = plan;
    shorter.faults[i].for_ms /= 2;
    if (shorter.faults[i].for_ms >= 50 && still(shorter)) plan = std::move(shorter);
  }
  return plan;
}

}  // namespace umberdyke::lab

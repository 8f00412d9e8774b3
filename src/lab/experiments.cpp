#include "lab/experiments.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <sstream>

#include "emulator/world.h"
#include "experiment/recovery.h"
#include "experiment/report.h"
#include "experiment/runner.h"
#include "files/files.h"
#include "lab/common/process.h"

namespace umberdyke::lab {
namespace {

using experiment::Plan;

std::atomic<bool> interrupted{false};

// "a=1,b=2" into a point of the plan.
experiment::Point PointOf(const Plan& plan, const std::vector<std::string>& words) {
  experiment::Point point = plan.At(0);
  for (const std::string& word : words) {
    const std::size_t at = word.find('=');
    const std::string name = word.substr(0, at);
    if (at == std::string::npos || !point.contains(name))
      throw emulator::ScenarioError("--at " + word + ": it is NAME=VALUE with a swept figure");
    try {
      point[name] = std::stod(word.substr(at + 1));
    } catch (const std::exception&) {
      throw emulator::ScenarioError("--at " + word + ": the value is no number");
    }
  }
  return point;
}

int RunPlan(const std::string& file, std::string folder, unsigned threads, bool yes, bool quiet,
            std::uint64_t seeds) {
  Plan plan = experiment::ReadPlan(file);
  if (seeds > 0) plan.seeds = seeds;
  if (plan.Cells() > experiment::kMostCells) {
    std::cerr << "umberdyke_lab: " << plan.Cells() << " cells are more than " << experiment::kMostCells
              << "\n";
    return 2;
  }
  if (plan.Cells() > experiment::kAskCells && !yes) {
    std::cerr << "umberdyke_lab: " << plan.Cells() << " cells; give --yes to run so many\n";
    return 2;
  }
  experiment::RunOptions options;
  options.folder = folder;
  options.threads = threads;
  options.progress = quiet ? nullptr : &std::cerr;
  options.terminal = isatty(2) == 1;
  options.stop = &interrupted;
  interrupted = false;
  const auto before = std::signal(SIGINT, [](int) { interrupted = true; });
  const auto term = std::signal(SIGTERM, [](int) { interrupted = true; });
  const experiment::RunResult result = experiment::RunCells(plan, options);
  std::signal(SIGINT, before);
  std::signal(SIGTERM, term);
  if (!result.error.empty()) {
    std::cerr << "umberdyke_lab: " << result.error << "\n";
    return 2;
  }
  if (!folder.empty()) {
    // Where the plan is, so that the folder can be reported on by itself.
    std::string error = files::WriteFileAtomically(folder + "/experiment.path", file + "\n");
    if (error.empty() && !result.cells.empty()) error = experiment::WriteReport(plan, result.cells, folder);
    if (!error.empty()) {
      std::cerr << "umberdyke_lab: " << error << "\n";
      return 2;
    }
  }
  if (result.stopped) {
    std::cerr << "umberdyke_lab: stopped with " << result.cells.size() << " of " << plan.Cells()
              << " cells; the same command goes on from there\n";
    return 130;
  }
  std::cout << plan.title << "\n\n"
            << experiment::SummaryText(result.cells, experiment::TableFigures()) << "\n";
  int status = 0;
  for (const experiment::Cell& cell : result.cells) {
    if (cell.violation.empty()) continue;
    std::cout << cell.variant << " at " << experiment::PrintPoint(cell.at) << ": " << cell.violation << "\n";
    status = 1;
  }
  for (const experiment::Judged& j : experiment::Judge(plan, result.cells)) {
    std::cout << (j.holds ? "holds:         " : "does not hold: ") << j.text << " (line "
              << j.expectation.line << ")\n";
    if (!j.holds) status = 1;
  }
  std::printf("%zu cells run, %zu kept; %.0f events, %.2f million a second and core\n", result.ran,
              result.kept, static_cast<double>(result.events),
              result.core_s > 0 ? static_cast<double>(result.events) / result.core_s / 1e6 : 0.0);
  return status;
}

void AddRun(CLI::App& app, int* status) {
  static std::string file, folder;
  static unsigned threads = 0;
  static bool yes = false, quiet = false;
  static std::uint64_t seeds = 0;
  CLI::App* sub = app.add_subcommand("run", "Run an experiment in simulated time");
  sub->add_option("experiment", file, "A TOML file, as under experiments/")
      ->required()
      ->check(CLI::ExistingFile);
  sub->add_option("--out", folder, "Keep cells, tables, charts and a page here; an interrupted run goes on");
  sub->add_option("--threads", threads, "One for each core if left out")->check(CLI::Range(1u, 1024u));
  sub->add_option("--seeds", seeds, "So many in place of the file's")->check(CLI::Range(1, 100000));
  sub->add_flag("--yes", yes, "Also for more than 10,000 cells");
  sub->add_flag("--quiet", quiet, "No progress");
  sub->footer(
      "Exit status 1 where an expectation does not hold or a rule was broken, 2 for an error, 130 if "
      "interrupted.\nExample:\n  umberdyke_lab run experiments/paper-range.toml --out results/paper-range");
  sub->callback([status] { *status = RunPlan(file, folder, threads, yes, quiet, seeds); });
}

void AddReport(CLI::App& app, int* status) {
  static std::string folder, file;
  CLI::App* sub = app.add_subcommand("report", "Write the tables, charts and page of a folder anew");
  sub->add_option("folder", folder, "That a run has kept")->required()->check(CLI::ExistingDirectory);
  sub->add_option("--experiment", file, "The file, where it is not where the run found it");
  sub->callback([status] {
    std::string path = file;
    if (path.empty()) path = files::ReadFile(folder + "/experiment.path", 4096).text;
    while (!path.empty() && path.back() == '\n') path.pop_back();
    const Plan plan = experiment::ReadPlan(path);
    const std::string error = experiment::WriteReport(plan, experiment::ReadCells(folder), folder);
    if (!error.empty()) throw emulator::ScenarioError(error);
    std::cout << folder << "/page.html\n";
    *status = 0;
  });
}

void AddCompare(CLI::App& app, int* status) {
  static std::string before, after;
  static std::vector<std::string> figures;
  CLI::App* sub = app.add_subcommand("compare", "Tell by paired seeds what changed between two folders");
  sub->add_option("before", before, "A folder of a run")->required()->check(CLI::ExistingDirectory);
  sub->add_option("after", after, "Another of the same experiment")
      ->required()
      ->check(CLI::ExistingDirectory);
  sub->add_option("--figure", figures, "Only these");
  sub->footer("Exit status 1 where something was hurt.");
  sub->callback([status] {
    const auto changes = experiment::Compare(experiment::ReadCells(before), experiment::ReadCells(after),
                                             figures.empty() ? experiment::TableFigures() : figures);
    std::cout << experiment::PrintChanges(changes);
    for (const auto& change : changes) {
      if (change.worse) *status = 1;
    }
  });
}

void AddRecovery(CLI::App& app, int* status) {
  static std::string folder;
  static experiment::RecoveryOf of;
  CLI::App* sub =
      app.add_subcommand("recovery", "Tell how soon service is back, during a trouble and after it");
  sub->add_option("folder", folder, "That a run has kept")->required()->check(CLI::ExistingDirectory);
  sub->add_option("--from", of.from_s, "When the trouble begins, in seconds of the run")->required();
  sub->add_option("--to", of.to_s, "And when it ends")->required();
  sub->add_option("--bound", of.bound, "The variant that shows what can be had; bound if left out");
  sub->add_option("--within", of.within, "So near to it counts as having it; 0.02 if left out")
      ->check(CLI::Range(0.0, 1.0));
  sub->footer("Example:\n  umberdyke_lab recovery results/sites --from 15 --to 27");
  sub->callback([status] {
    std::cout << experiment::PrintRecoveries(experiment::Recoveries(experiment::ReadCells(folder), of));
    *status = 0;
  });
}

void AddTrace(CLI::App& app, int* status) {
  static std::string file, variant;
  static std::vector<std::string> at;
  static std::uint64_t seed = 0, request = 1;
  CLI::App* sub = app.add_subcommand("trace", "Print one request's life");
  sub->add_option("experiment", file, "A TOML file")->required()->check(CLI::ExistingFile);
  sub->add_option("--request", request, "Which, counted from 1 in the order of arrival")->required();
  sub->add_option("--variant", variant, "The first if left out");
  sub->add_option("--seed", seed, "The first if left out");
  sub->add_option("--at", at, "NAME=VALUE of a swept figure; the first value if left out");
  sub->callback([status] {
    const Plan plan = experiment::ReadPlan(file);
    const experiment::Variant* chosen = variant.empty() ? &plan.variants.front() : nullptr;
    for (const experiment::Variant& v : plan.variants) {
      if (v.name == variant) chosen = &v;
    }
    if (chosen == nullptr) throw emulator::ScenarioError("there is no variant called " + variant);
    std::ostringstream life;
    emulator::World world(plan.Resolve(*chosen, PointOf(plan, at)), chosen->policy,
                          seed > 0 ? seed : plan.first_seed, {request, &life});
    world.Run();
    if (life.str().empty())
      throw emulator::ScenarioError("the run has no request " + std::to_string(request));
    std::cout << life.str();
    *status = 0;
  });
}

void AddScale(CLI::App& app, int* status) {
  static std::string file, policy = "module";
  static std::vector<double> servers = {10, 100, 1000};
  static double sidecars = 0, rate = 0, seconds = 0;
  CLI::App* sub = app.add_subcommand("scale", "Measure speed and memory of the emulator as a site grows");
  sub->add_option("experiment", file, "A TOML file: its scenario")->required()->check(CLI::ExistingFile);
  sub->add_option("--servers", servers, "Of the first tier, one run each")->check(CLI::Range(1.0, 100000.0));
  sub->add_option("--sidecars", sidecars, "As many as the file says if left out");
  sub->add_option("--rate", rate, "Requests a second; the file's load if left out");
  sub->add_option("--seconds", seconds, "Simulated; the file's if left out");
  sub->add_option("--policy", policy, "Whose decisions")->check(CLI::IsMember(emulator::PolicyNames()));
  sub->footer(
      "Example:\n  umberdyke_lab scale experiments/scale.toml --servers 10 --servers 2000 --sidecars 1000");
  sub->callback([status] {
    const Plan plan = experiment::ReadPlan(file);
    std::printf("%8s %9s %9s %10s %12s %9s %10s %8s %8s %8s %8s\n", "servers", "sidecars", "rate/s",
                "requests", "events", "wall s", "events/s", "us/dec.", "MB", "service", "fairness");
    for (const double n : servers) {
      emulator::Scenario s = plan.scenario;
      emulator::SetFigure(&s, "tier1.servers", n);
      if (sidecars > 0) emulator::SetFigure(&s, "sidecars", sidecars);
      if (rate > 0) {
        s.load = 0;
        emulator::SetFigure(&s, "rate_per_s", rate);
      }
      if (seconds > 0) {
        emulator::SetFigure(&s, "duration_s", seconds);
        s.warm_up_s = std::min(s.warm_up_s, seconds / 5);
      }
      emulator::World world(s, policy, plan.first_seed);
      const auto m = *world.Run();
      std::printf("%8.0f %9.0f %9.0f %10llu %12llu %9.2f %10.0f %8.2f %8.1f %8.3f %8.3f\n", n, s.sidecars,
                  s.Rate(), static_cast<unsigned long long>(m.Requests()),
                  static_cast<unsigned long long>(m.events), m.wall_s,
                  static_cast<double>(m.events) / m.wall_s, 1e6 * m.wall_s / static_cast<double>(m.decisions),
                  ResidentMb(), m.Service(), m.fairness);
      std::fflush(stdout);
    }
    *status = 0;
  });
}

}  // namespace

void AddExperiments(CLI::App& app, int* status) {
  AddRun(app, status);
  AddReport(app, status);
  AddCompare(app, status);
  AddRecovery(app, status);
  AddTrace(app, status);
  AddScale(app, status);
}

}  // namespace umberdyke::lab

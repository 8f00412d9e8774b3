#include "lab/fleet/commands.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "files/files.h"
#include "lab/explore/explore.h"
#include "lab/explore/explore_rollout.h"
#include "lab/fleet/bed.h"
#include "lab/fleet/many.h"
#include "lab/fleet/measure.h"
#include "lab/fleet/stand_ins.h"

namespace umberdyke::lab {
namespace {

const std::vector<std::string> kWrongAgents = {"believes",     "unchecked", "skips", "repeats",
                                               "one-too-many", "forgets",   "twice", "never-back"};

struct Options {
  Programs programs;
  std::uint64_t seed = 1;
  int faults = 6;
  std::string plan, json, expect;
  Many many;
  int most = 60;
  int strike_writes = 0;
  std::string strike = "kill-agent", version = "good", what = "release";
  std::string out;
  Measure measure;
};

// This program, and the others beside it.
void FindPrograms(Programs* programs) {
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  programs->lab = self.string();
  if (programs->sidecar.empty()) programs->sidecar = (self.parent_path() / "umberdyke").string();
  if (programs->agent.empty()) programs->agent = (self.parent_path() / "umberdyke_agent").string();
}

void DescribePrograms(CLI::App* sub, Options* options) {
  sub->add_option("--sidecar", options->programs.sidecar,
                  "The sidecar's program; beside this one if not given");
  sub->add_option("--agent", options->programs.agent, "The agent's; likewise");
  sub->add_option("--wrong-agent", options->programs.wrong_agent, "A wrong stand-in in place of the agents")
      ->check(CLI::IsMember(kWrongAgents));
  sub->add_flag("--unfenced", options->programs.unfenced,
                "Consoles without a fence in place of the sidecars");
  sub->add_flag("--keep", options->programs.keep, "Leave the folder of logs, and name it");
  sub->add_flag("--progress", options->programs.progress, "A line for each fault on standard error");
}

// The plan of a file, or of the seed; absent, and said, where the file is no plan.
std::optional<BedPlan> PlanOf(const Options& options, int* status) {
  if (options.plan.empty()) {
    Many many = options.many;
    many.faults = options.faults;
    return PlanOf(many, options.seed);
  }
  const files::ReadResult read = files::ReadFile(options.plan, 1 << 20);
  auto plan = ReadPlan(read.text);
  *status = 2;
  if (!read.error.empty()) {
    std::cerr << read.error << "\n";
    return std::nullopt;
  }
  if (const auto* why = std::get_if<std::string>(&plan)) {
    std::cerr << options.plan << ": " << *why << "\n";
    return std::nullopt;
  }
  *status = 0;
  return std::get<BedPlan>(plan);
}

void AddRun(CLI::App& fleet, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* sub = fleet.add_subcommand("run", "Play one plan of faults, and judge it");
  DescribePrograms(sub, options.get());
  sub->add_option("--seed", options->seed, "Of the plan");
  sub->add_option("--faults", options->faults, "How many")->check(CLI::Range(0, 1000));
  sub->add_flag("--sites", options->many.sites, "Three zones, of which one or another is struck as a whole");
  sub->add_flag("--rollouts", options->many.rollouts,
                "Sixteen sidecars, of which releases, restarts and drains are made");
  sub->add_option("--plan", options->plan, "A file with a plan, in place of a seed");
  sub->add_option("--json", options->json, "A file for the report");
  sub->add_option("--expect", options->expect,
                  "A rule that has to break: for wrong stand-ins, which the judge must catch");
  sub->footer(
      "Exit status: 0 clean, 1 something broke, 2 the bed failed, 3 void.\nExample:\n  umberdyke_lab fleet "
      "run --seed 7 --progress");
  sub->callback([options, status] {
    FindPrograms(&options->programs);
    const auto plan = PlanOf(*options, status);
    if (!plan) return;
    const BedReport report = RunBed(*plan, options->programs);
    std::cout << Print(*plan, report);
    if (options->programs.keep) std::cout << "logs: " << report.folder << "\n";
    if (!options->json.empty()) files::WriteFileAtomically(options->json, PrintJson(*plan, report));
    *status = !report.error.empty() ? 2 : !report.verdict.clean() ? 1 : report.was_void ? 3 : 0;
    if (options->expect.empty() || *status == 2) return;
    const auto& broken = report.verdict.broken;
    const bool caught =
        std::any_of(broken.begin(), broken.end(), [&](const auto& b) { return b.first == options->expect; });
    std::cout << options->expect << (caught ? ": caught\n" : ": NOT CAUGHT\n");
    *status = caught ? 0 : 1;
  });
}

void AddPlans(CLI::App& fleet, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* sub = fleet.add_subcommand("plans", "Play many plans, some beside others");
  DescribePrograms(sub, options.get());
  sub->add_option("--first-seed", options->many.first_seed, "The others follow it");
  sub->add_option("--count", options->many.count, "How many")->check(CLI::Range(1, 100'000));
  sub->add_option("--jobs", options->many.jobs, "At once")->check(CLI::Range(1, 64));
  sub->add_option("--faults", options->many.faults, "Each")->check(CLI::Range(0, 1000));
  sub->add_flag("--sites", options->many.sites, "Three zones, of which one or another is struck as a whole");
  sub->add_flag("--rollouts", options->many.rollouts,
                "Sixteen sidecars, of which releases, restarts and drains are made");
  sub->add_option(
         "--strike-writes", options->strike_writes,
         "Instead: one release, restart or drain, whose owner is struck at its first writing, its second, "
         "and so on up to this one")
      ->check(CLI::Range(1, 10'000));
  sub->add_option("--strike", options->strike, "kill-agent or stop-agent")
      ->check(CLI::IsMember({"kill-agent", "stop-agent"}));
  sub->add_option("--version-kind", options->version,
                  "Of the release: good, crash, hang, errors, slow or later");
  sub->add_option("--what", options->what, "release, restart or drain")
      ->check(CLI::IsMember({"release", "restart", "drain"}));
  sub->add_option("--plan", options->plan, "A file with a plan, in place of seeds");
  sub->add_option("--keep-failing", options->many.keep, "A folder for failing plans and their reports");
  sub->add_option("--require", options->many.require, "A danger that has to arise in the set");
  sub->footer(
      "Exit status 1 where a plan failed, or a required danger never arose.\n"
      "Example:\n  umberdyke_lab fleet plans --count 500 --jobs 8 --require orders_old_term");
  sub->callback([options, status] {
    FindPrograms(&options->programs);
    if (!options->plan.empty()) {
      const auto plan = PlanOf(*options, status);
      if (!plan) return;
      options->many.plans.push_back(*plan);
    }
    for (int write = 1; write <= options->strike_writes; ++write)
      options->many.plans.push_back(QuietRollout(options->what, options->version, write, options->strike));
    if (!options->many.plans.empty()) {
      options->many.first_seed = 0;
      options->many.count = static_cast<int>(options->many.plans.size());
    }
    const ManyReport report = RunMany(options->many, options->programs);
    std::cout << Print(options->many, report);
    *status = report.good() ? 0 : 1;
  });
}

void AddShrink(CLI::App& fleet, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* sub = fleet.add_subcommand("shrink", "Cut a failing plan down to the least that still fails");
  DescribePrograms(sub, options.get());
  sub->add_option("--seed", options->seed, "Of the plan");
  sub->add_option("--faults", options->faults, "How many")->check(CLI::Range(0, 1000));
  sub->add_flag("--sites", options->many.sites, "Three zones, of which one or another is struck as a whole");
  sub->add_flag("--rollouts", options->many.rollouts,
                "Sixteen sidecars, of which releases, restarts and drains are made");
  sub->add_option("--plan", options->plan, "A file with a plan, in place of a seed");
  sub->add_option("--most", options->most, "Runs")->check(CLI::Range(1, 10'000));
  sub->add_option("--out", options->out, "A file for what is left of it")->required();
  sub->footer(
      "Exit status 1 where the plan does not fail.\nExample:\n  umberdyke_lab fleet shrink --seed 7 --out "
      "least.json");
  sub->callback([options, status] {
    FindPrograms(&options->programs);
    const auto plan = PlanOf(*options, status);
    if (!plan) return;
    const auto fails = [&](const BedPlan& smaller) {
      const BedReport report = RunBed(smaller, options->programs);
      return report.error.empty() && !report.verdict.clean();
    };
    *status = 1;
    if (!fails(*plan)) {
      std::cout << "the plan does not fail\n";
      return;
    }
    const BedPlan least = Shrink(*plan, fails, options->most);
    const std::string error = files::WriteFileAtomically(options->out, Print(least));
    std::cout << plan->faults.size() << " faults cut down to " << least.faults.size()
              << (error.empty() ? "\n" : ": " + error + "\n");
    *status = error.empty() ? 0 : 2;
  });
}

void AddMeasures(CLI::App& fleet, int* status) {
  const auto add = [&](const char* name, const char* what, const char* example, auto describe,
                       int (*run)(const Measure&)) {
    auto options = std::make_shared<Options>();
    CLI::App* sub = fleet.add_subcommand(name, what);
    DescribePrograms(sub, options.get());
    describe(sub, options.get());
    sub->footer(std::string("Example:\n  umberdyke_lab fleet ") + example);
    sub->callback([options, status, run] {
      FindPrograms(&options->programs);
      options->measure.programs = options->programs;
      *status = run(options->measure);
    });
  };
  add(
      "takeovers", "Measure the time without an owner after kills, stops and resignations",
      "takeovers --count 200",
      [](CLI::App* sub, Options* o) {
        sub->add_option("--count", o->measure.count, "Takeovers in all")->check(CLI::Range(3, 10'000));
        sub->add_option("--session-ms", o->measure.session_ms, "Of the agents")
            ->check(CLI::Range(200, 40'000));
      },
      MeasureTakeovers);
  add(
      "herd", "Count the messages at the service for each takeover", "herd --candidates 3 --candidates 300",
      [](CLI::App* sub, Options* o) {
        sub->add_option("--candidates", o->measure.sizes, "How many stand")->check(CLI::Range(2, 2000));
        sub->add_option("--count", o->measure.count, "Takeovers of each")->check(CLI::Range(1, 1000));
      },
      MeasureHerd);
  add(
      "rest", "Measure an agent's memory and processor at rest", "rest --sidecars 5 --sidecars 300",
      [](CLI::App* sub, Options* o) {
        sub->add_option("--sidecars", o->measure.sizes, "On its list")->check(CLI::Range(1, 2000));
        sub->add_option("--seconds", o->measure.seconds, "For each")->check(CLI::Range(1, 3600));
      },
      MeasureRest);
  add(
      "data-path", "Measure requests with agents and service alive, stopped and dead",
      "data-path --seconds 8",
      [](CLI::App* sub, Options* o) {
        sub->add_option("--seconds", o->measure.seconds, "For each")->check(CLI::Range(1, 3600));
        sub->add_option("--rate", o->measure.rate, "Requests a second")->check(CLI::Range(1.0, 2000.0));
      },
      MeasureDataPath);
  add(
      "releases", "Measure requests before, during and after a release of sixteen, by budget",
      "releases --out 1 --out 4 --out 0",
      [](CLI::App* sub, Options* o) {
        sub->add_option("--out", o->measure.sizes,
                        "So many out at once; 0: all ended at once and started again, without a release")
            ->check(CLI::Range(0, 16));
        sub->add_option("--seconds", o->measure.seconds, "Before and after it")->check(CLI::Range(1, 3600));
        sub->add_option("--rate", o->measure.rate, "Requests a second")->check(CLI::Range(1.0, 2000.0));
      },
      MeasureReleases);
}

void AddStandIns(CLI::App& fleet, int* status) {
  auto servers = std::make_shared<ServersOptions>();
  CLI::App* sub = fleet.add_subcommand("servers", "Stand-in servers, until SIGTERM; the bed starts them");
  sub->add_option("--coordinator", servers->coordinators, "Of the service; several")->required();
  sub->add_option("--path", servers->path, "Of their nodes");
  sub->add_option("--servers", servers->servers,
                  "A file with one zone's servers, in place of path and count");
  sub->add_option("--ledger", servers->ledger, "A file for what ran")->required();
  sub->add_option("--count", servers->count, "How many")->check(CLI::Range(1, 500));
  sub->add_option("--seed", servers->seed, "Of their work");
  sub->callback([servers, status] { *status = RunServers(*servers); });

  auto place = std::make_shared<std::pair<std::string, std::string>>();
  CLI::App* unfenced = fleet.add_subcommand("unfenced", "A wrong stand-in: a console without a fence");
  unfenced->add_option("--console", place->first, "Its address")->required();
  unfenced->add_option("--name", place->second, "Its name")->required();
  unfenced->callback([place, status] { *status = RunUnfenced(place->first, place->second); });

  auto version = std::make_shared<VersionOptions>();
  CLI::App* of =
      fleet.add_subcommand("version", "A version of the sidecar, good or bad; the bed's agents start it");
  of->add_option("--kind", version->kind, "good, crash, hang, slow, later, leak or mixed");
  of->add_option("--others", version->others, "Sidecars' addresses, for mixed, with commas between")
      ->delimiter(',')
      ->allow_extra_args(false);
  of->add_option("--sidecar", version->sidecar, "The program")->required();
  of->add_option("--logs", version->logs, "The folder for its log")->required();
  of->add_option("--bed", version->bed, "The process that it ends with")->required();
  of->add_option("arguments", version->arguments, "Of the program, behind --");
  of->callback([version, status] { *status = RunVersion(*version); });

  auto agent = std::make_shared<std::pair<std::string, std::string>>();
  CLI::App* wrong = fleet.add_subcommand("wrong-agent", "A wrong stand-in: the agent with a guard taken out");
  wrong->add_option("--config", agent->first, "Its file")->required();
  wrong->add_option("--wrong", agent->second, "Which")->required()->check(CLI::IsMember(kWrongAgents));
  wrong->callback([agent, status] { *status = RunWrongAgent(agent->first, agent->second); });
}

}  // namespace

void AddFleet(CLI::App& app, int* status) {
  CLI::App* fleet = app.add_subcommand("fleet", "The bed of several processes, with faults between them");
  fleet->require_subcommand(1);
  AddRun(*fleet, status);
  AddPlans(*fleet, status);
  AddShrink(*fleet, status);
  AddMeasures(*fleet, status);
  AddStandIns(*fleet, status);
}

void AddExplore(CLI::App& app, int* status) {
  auto bounds = std::make_shared<ExploreBounds>();
  auto without = std::make_shared<std::vector<std::string>>();
  CLI::App* sub =
      app.add_subcommand("explore", "Go through every interleaving of candidates and a fenced place");
  sub->add_option("--candidates", bounds->candidates, "Who stand for the duty")->check(CLI::Range(1, 5));
  sub->add_option("--ticks", bounds->ticks, "Of time; a session lasts two")->check(CLI::Range(0, 20));
  sub->add_option("--sessions", bounds->sessions, "Of each candidate, after its first")
      ->check(CLI::Range(0, 5));
  sub->add_option("--breaks", bounds->breaks, "Of connections")->check(CLI::Range(0, 5));
  sub->add_option("--repeats", bounds->repeats, "Of orders")->check(CLI::Range(0, 5));
  sub->add_option("--restarts", bounds->restarts, "Of the place")->check(CLI::Range(0, 5));
  sub->add_option("--resignations", bounds->resignations, "Of owners")->check(CLI::Range(0, 5));
  sub->add_option("--removals", bounds->removals, "Of claims, by hand")->check(CLI::Range(0, 5));
  sub->add_option("--steps", bounds->steps, "Of the duty")->check(CLI::Range(1, 5));
  sub->add_option("--most-states", bounds->most_states, "Give up beyond");
  sub->add_option("--without", *without, "A guard to take out")
      ->check(CLI::IsMember({"fence", "life", "check", "margin", "sent-time", "numbers"}));
  sub->footer(
      "Exit status 1 where something broke, 3 where not every state was seen.\n"
      "Example:\n  umberdyke_lab explore --candidates 2 --ticks 1 --without fence --removals 1");
  sub->callback([bounds, without, status] {
    const auto out = [&](const char* guard) {
      return std::find(without->begin(), without->end(), guard) == without->end();
    };
    const Guards guards{out("fence"),  out("life"),      out("check"),
                        out("margin"), out("sent-time"), out("numbers")};
    const Explored explored = Explore(*bounds, guards);
    std::cout << explored.states << " states, " << explored.ways << " ways, " << explored.takeovers
              << " takeovers, " << explored.refused << " late orders refused, " << explored.repeated
              << " repeated" << (explored.whole ? ", whole\n" : ", not whole\n");
    for (const std::string& step : explored.way) std::cout << "  " << step << "\n";
    if (!explored.broken.empty()) std::cout << "BROKEN: " << explored.broken << "\n";
    *status = !explored.broken.empty() ? 1 : explored.whole ? 0 : 3;
  });
}

void AddExploreRollout(CLI::App& app, int* status) {
  auto bounds = std::make_shared<RolloutBounds>();
  auto without = std::make_shared<std::vector<std::string>>();
  CLI::App* sub =
      app.add_subcommand("explore-rollout", "Go through every interleaving of owners, hosts and a release");
  sub->add_option("--units", bounds->units, "Each on a host of its own")->check(CLI::Range(2, 4));
  sub->add_option("--takeovers", bounds->takeovers, "Of the owner")->check(CLI::Range(0, 4));
  sub->add_option("--successors", bounds->successors, "Of the first host's agent")->check(CLI::Range(0, 3));
  sub->add_option("--crashes", bounds->crashes, "Of processes of the new version")->check(CLI::Range(0, 4));
  sub->add_flag("--halt", bounds->halt, "An operator halts it, and resumes");
  sub->add_flag("--back", bounds->back, "An operator takes it back");
  sub->add_flag("--servers", bounds->servers, "Servers that are restarted, in place of sidecars");
  auto way = std::make_shared<std::string>();
  sub->add_option("--way", *way, "A file of steps, a line each, that are gone as long as they can be");
  sub->add_option("--most-states", bounds->most_states, "Give up beyond");
  sub->add_option("--without", *without, "A guard to take out")
      ->check(CLI::IsMember({"journal", "permits", "reports", "sight", "order", "life"}));
  sub->footer(
      "Exit status 1 where something broke, 3 where not every state was seen.\n"
      "Example:\n  umberdyke_lab explore-rollout --without sight");
  sub->callback([bounds, without, way, status] {
    std::ifstream steps(*way);
    for (std::string step; std::getline(steps, step);) bounds->way.push_back(step);
    const auto kept = [&](const char* guard) {
      return std::find(without->begin(), without->end(), guard) == without->end();
    };
    const RolloutExplored explored = ExploreRollout(
        *bounds,
        {kept("journal"), kept("permits"), kept("reports"), kept("sight"), kept("order"), kept("life")});
    std::cout << explored.states << " states, " << explored.ways << " ways, " << explored.refused
              << " late writings refused, " << explored.held << " ends of what was gone, " << explored.over
              << " in which it was complete or over" << (explored.whole ? ", whole\n" : ", not whole\n");
    for (const std::string& step : explored.way) std::cout << "  " << step << "\n";
    if (!explored.broken.empty()) std::cout << "BROKEN: " << explored.broken << "\n";
    *status = !explored.broken.empty() ? 1 : explored.whole ? 0 : 3;
  });
}

}  // namespace umberdyke::lab

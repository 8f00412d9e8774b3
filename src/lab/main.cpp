// umberdyke_lab: stand-ins, runs and measurements on loopback, and experiments in simulated time.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>

#include "lab/coordinator/control.h"
#include "lab/coordinator/ensemble.h"
#include "lab/experiments.h"
#include "lab/fleet/commands.h"
#include "lab/membership/propagation.h"
#include "lab/membership/run.h"

namespace {

using namespace umberdyke;

struct Coordinator {
  std::vector<std::string> addresses;
  std::string control, commits;
  std::uint64_t seed = 1;
  std::int64_t zxid = 0;
  double most_s = 3600;
};

int Coordinate(const Coordinator& options) {
  net::Loop loop;
  const net::Signal interrupt(loop, SIGINT, [&] { loop.Stop(); });
  const net::Signal term(loop, SIGTERM, [&] { loop.Stop(); });
  lab::Ensemble ensemble(loop, options.addresses, {}, options.seed);
  ensemble.ContinueAt(options.zxid);
  if (!options.commits.empty()) lab::RecordCommits(&ensemble, options.commits);
  std::unique_ptr<lab::Control> control;
  if (!options.control.empty()) control = std::make_unique<lab::Control>(loop, options.control, ensemble);
  net::Timer end(loop, [&] { loop.Stop(); });  // it never outlives whoever forgot it
  end.Start(std::chrono::milliseconds(static_cast<std::int64_t>(options.most_s * 1000)));
  std::cout << "coordinator: listens on";
  for (const std::string& address : ensemble.addresses()) std::cout << " " << address;
  std::cout << std::endl;
  loop.Run();
  std::cout << "coordinator: ends after " << ensemble.count().requests << " requests" << std::endl;
  return 0;
}

void AddCoordinator(CLI::App& app, int* status) {
  static Coordinator options;
  CLI::App* sub = app.add_subcommand("coordinator", "Play a coordination service on one address or several");
  sub->add_option("--listen", options.addresses, "An address on loopback; several share one state")
      ->required();
  sub->add_option("--control", options.control,
                  "An address that takes commands, a line each; 'help' lists them");
  sub->add_option("--commits", options.commits, "A file that gets a JSON line for each write that was done");
  sub->add_option("--zxid", options.zxid, "Transactions begin behind this number")
      ->check(CLI::NonNegativeNumber);
  sub->add_option("--seed", options.seed, "Of the sessions' numbers and passwords");
  sub->add_option("--most-seconds", options.most_s, "It ends by itself after this")
      ->check(CLI::Range(1.0, 86400.0));
  sub->footer("Example:\n  umberdyke_lab coordinator --listen 127.0.0.1:2181 --listen 127.0.0.1:2182");
  sub->callback([status] { *status = Coordinate(options); });
}

void AddMembership(CLI::App& app, int* status) {
  static lab::MembershipRun run;
  static int pace_ms = 60;
  CLI::App* sub =
      app.add_subcommand("membership", "Run a sidecar under load while its membership is struck by faults");
  sub->add_option("--sidecar", run.sidecar, "The program to run")->required()->check(CLI::ExistingFile);
  sub->add_option("--seed", run.seed, "Of the load and the faults");
  sub->add_option("--servers", run.servers, "Stand-in servers")->check(CLI::Range(3, 500));
  sub->add_option("--rate", run.rate, "Requests a second")->check(CLI::Range(1.0, 5000.0));
  sub->add_option("--faults", run.faults, "How many")->check(CLI::Range(0, 100000));
  sub->add_option("--pace-ms", pace_ms, "Between two faults, on the mean")->check(CLI::Range(5, 60000));
  sub->footer(
      "Exit status 1 where a request was lost or doubled, or a drained server was sent to.\n"
      "Example:\n  umberdyke_lab membership --sidecar build/umberdyke --faults 200 --seed 7");
  sub->callback([status] {
    run.pace = std::chrono::milliseconds(pace_ms);
    run.progress = true;
    const lab::MembershipReport report = lab::Run(run);
    std::cout << lab::Print(run, report);
    *status = !report.error.empty() ? 2 : report.clean() ? 0 : 1;
  });
}

void AddPropagation(CLI::App& app, int* status) {
  static std::vector<int> nodes = {10, 100, 1000, 5000};
  static int changes = 200, pace = 20;
  CLI::App* sub = app.add_subcommand("propagation", "Measure how news of nodes reach a sidecar's list");
  sub->add_option("--nodes", nodes, "Lengths of the list")->check(CLI::Range(1, 100000));
  sub->add_option("--changes", changes, "Removals, each with a new node in its place")
      ->check(CLI::Range(1, 100000));
  sub->add_option("--pace-ms", pace, "Between two changes")->check(CLI::Range(1, 60000));
  sub->footer("Example:\n  umberdyke_lab propagation --nodes 10 --nodes 5000");
  sub->callback([status] {
    std::printf("%7s %9s %9s %9s %9s %9s %10s %8s %8s %8s\n", "nodes", "load ms", "gone p50", "gone p99",
                "added p50", "added p99", "bytes each", "reads", "cpu us", "MB");
    for (const int n : nodes) {
      const lab::Propagation p = lab::Measure(n, changes, pace);
      std::printf("%7d %9.1f %9.2f %9.2f %9.2f %9.2f %10.0f %8.2f %8.0f %8.1f %s\n", p.nodes, p.load_ms,
                  p.gone_p50_ms, p.gone_p99_ms, p.added_p50_ms, p.added_p99_ms, p.bytes_each, p.reads_each,
                  p.cpu_us_each, p.resident_mb, p.error.c_str());
      std::fflush(stdout);
      if (!p.error.empty()) *status = 1;
    }
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int status = 0;
  CLI::App app("Stand-ins, runs and measurements on loopback.", "umberdyke_lab");
  app.require_subcommand(1);
  AddCoordinator(app, &status);
  AddMembership(app, &status);
  AddPropagation(app, &status);
  lab::AddFleet(app, &status);
  lab::AddExplore(app, &status);
  lab::AddExploreRollout(app, &status);
  lab::AddExperiments(app, &status);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  } catch (const std::exception& error) {
    std::cerr << "umberdyke_lab: " << error.what() << std::endl;
    return 2;
  }
  return status;
}

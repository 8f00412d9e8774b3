// release, drain, undrain: what operators ask of the fleet's owner, and what it answers.
#include "ctl/release.h"

#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

#include "config/agent_file.h"
#include "fleet/layout.h"

namespace umberdyke::ctl {
namespace {

// Who asks, for the history: as the shell says.
std::string Asker() {
  const char* user = std::getenv("USER");
  char host[128] = {};
  if (gethostname(host, sizeof host - 1) != 0) host[0] = '\0';
  return std::string(user == nullptr ? "somebody" : user) + "@" + host;
}

int Ask(ReleaseOptions options, const Streams& streams) {
  int status = kDone;
  if (!LayoutIn(options.fleet.file, streams, &status)) return status;
  const auto service = ServiceOf(options.fleet, streams, &status);
  if (!service) return status;
  if (options.wish.by.empty()) options.wish.by = Asker();
  const auto result = fleet::Ask(*service, options.wish);
  if (const auto* why = std::get_if<fleet::Unreadable>(&result)) {
    streams.errors << config::OneLine(why->why, 4096) << "\n";
    return kUnreadable;
  }
  const auto& answer = std::get<fleet::Answered>(result);
  const std::string refused = config::OneLine(answer.refused, 4096);
  if (options.fleet.json()) {
    streams.out << nlohmann::ordered_json{{"id", answer.id}, {"refused", refused}}.dump(2) << "\n";
  } else if (refused.empty()) {
    streams.out << options.wish.verb << ": taken as " << answer.id << "\n";
  } else {
    streams.errors << options.wish.verb << " is refused: " << refused << "\n";
  }
  return refused.empty() ? kDone : kRefused;
}

void DescribeAsking(CLI::App& app, ReleaseOptions* options) {
  DescribeFleet(app, &options->fleet);
  app.add_option("--by", options->wish.by, "Who asks, for the history; the shell's user if left out");
  app.add_option("--why", options->wish.why, "And why")->type_name("TEXT");
}

using Shared = std::shared_ptr<ReleaseOptions>;

CLI::App* Add(CLI::App& parent, const char* name, const char* what, const Shared& options,
              const Streams& streams, int* status, int (*run)(const ReleaseOptions&, const Streams&)) {
  CLI::App* app = parent.add_subcommand(name, what);
  app->callback([options, &streams, status, run] { *status = run(*options, streams); });
  return app;
}

// A subcommand that leaves a wish.
CLI::App* AddWish(CLI::App& parent, const char* name, const char* what, const Shared& options,
                  const Streams& streams, int* status) {
  options->wish.verb = name;
  CLI::App* app = parent.add_subcommand(name, what);
  DescribeAsking(*app, options.get());
  app->callback([options, &streams, status] { *status = Ask(*options, streams); });
  return app;
}

void DescribeVersion(CLI::App& app, ReleaseOptions* options, bool required) {
  CLI::Option* label = app.add_option("--label", options->wish.to.label, "The version's name, for good");
  if (required) label->required();
  label->type_name("NAME");
  app.add_option("--program", options->wish.to.program,
                 "Its program on every host; the one that runs if left out")
      ->type_name("PATH");
  app.add_option("--files", options->wish.to.files,
                 "The folder of the sidecars' files on every host; the one that is used if left out")
      ->type_name("PATH");
}

}  // namespace

std::optional<rollout::Layout> LayoutIn(const std::string& file, const Streams& streams, int* status) {
  const auto app = LoadSound(file, streams, status);
  if (!app) return std::nullopt;
  if (!app->rollout.given) {
    streams.errors << file << ": application " << app->name.value
                   << " has no [rollout]: nothing is released here\n";
    *status = kRefused;
    return std::nullopt;
  }
  // Exactly what an agent reads.
  config::Findings findings;
  const auto agent = config::ReadAgentFile(file, config::WriteAgentFile(*app, app->hosts.front()), &findings);
  if (!agent) {
    PrintFindings(findings, false, streams.errors);
    *status = kRefused;
    return std::nullopt;
  }
  *status = kDone;
  return fleet::LayoutOf(*agent);
}

void AddRelease(CLI::App& app, const Streams& streams, int* status) {
  CLI::App* release =
      app.add_subcommand("release", "Take sidecars, or servers by a restart, from one version to the next");
  release->require_subcommand(1);
  const auto options = [] { return std::make_shared<ReleaseOptions>(); };

  Shared plan = options();
  CLI::App* sub = Add(*release, "plan", "What a release would do, in waves, within its budgets", plan,
                      streams, status, ShowPlan);
  DescribeFile(*sub, "The application's description, with its [rollout]", &plan->fleet.file,
               &plan->fleet.format);
  DescribeVersion(*sub, plan.get(), false);
  sub->footer("Asks nobody.\nExample:\n  umberdykectl release plan linen-track.toml --label r42");

  Shared start = options();
  sub = AddWish(*release, "start", "Begin a release of the sidecars", start, streams, status);
  DescribeVersion(*sub, start.get(), true);
  sub->footer(
      "Exit status: 0 begun, 1 refused, 2 no answer.\nExample:\n  umberdykectl release start "
      "linen-track.toml "
      "--label r42 --files /etc/umberdyke/r42 --why \"longer key window\"");

  Shared restart = options();
  sub = AddWish(*release, "restart", "Restart servers by their command, within the budgets", restart, streams,
                status);
  sub->add_option("select", restart->wish.select, "server, host or zone")
      ->required()
      ->check(CLI::IsMember({"server", "host", "zone"}));
  sub->add_option("name", restart->wish.name, "Which")->required();

  Shared status_of = options();
  sub = Add(*release, "status", "What is under way, who is out and why", status_of, streams, status,
            ShowStatus);
  DescribeFleet(*sub, &status_of->fleet);
  sub->footer("Exit status: 0 nothing is wrong, 1 something is halted or on its way back, 2 no answer.");

  Shared watch = options();
  sub = Add(*release, "watch", "The status, each time that it changes, until all is over or halted", watch,
            streams, status, Watch);
  DescribeFleet(*sub, &watch->fleet);
  sub->add_option("--every-ms", watch->every_ms, "Between two looks")->check(CLI::Range(50, 600'000));
  sub->add_option("--most-s", watch->most_s, "No longer than this; 0: until it is over")
      ->check(CLI::Range(0, 1'000'000));

  for (const auto& [name, what] : {std::pair("halt", "Nothing new goes out; what is out comes back"),
                                   {"resume", "Go on after a halt"},
                                   {"back", "Take what was changed back to the version before"},
                                   {"seal", "Keep the version: the one before may be thrown away"}}) {
    Shared command = options();
    sub = AddWish(*release, name, what, command, streams, status);
    sub->add_option("--job", command->wish.job, "Which, where there are several")->type_name("ID");
    sub->footer("Exit status: 0 done, 1 refused, 2 no answer.");
  }

  Shared history = options();
  sub = Add(*release, "history", "What was released, by whom and why, and how it ended", history, streams,
            status, ShowHistory);
  DescribeFleet(*sub, &history->fleet);
}

void AddDrain(CLI::App& app, const Streams& streams, int* status) {
  for (const auto& [name, what] :
       {std::pair("drain", "Put a sidecar, a server, a host or a zone aside, within the budgets"),
        {"undrain", "Take what was drained back"}}) {
    Shared options = std::make_shared<ReleaseOptions>();
    CLI::App* sub = AddWish(app, name, what, options, streams, status);
    sub->add_option("select", options->wish.select, "sidecar, server, host or zone")
        ->required()
        ->check(CLI::IsMember({"sidecar", "server", "host", "zone"}));
    sub->add_option("name", options->wish.name, "Which")->required();
    sub->footer(std::string("Exit status: 0 taken, 1 refused, 2 no answer.\nExample:\n  umberdykectl ") +
                name + " linen-track.toml server ledger-7");
  }
}

}  // namespace umberdyke::ctl

// sites: the plan for the loss of zones, from an application's description.
#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

#include "ctl/command.h"
#include "ctl/fleet.h"
#include "files/files.h"
#include "planner/planner.h"
#include "planner/proof.h"
#include "planner/tables.h"

namespace umberdyke::ctl {
namespace {

struct SitesOptions {
  std::string file, zone, out;
  std::string format = "text";
  bool pairs = false, ways = false;
};

// The description's network; absent, and said, where it is unsound or has no [sites].
std::optional<config::Application> Described(const std::string& file, const Streams& streams, int* status) {
  auto app = LoadSound(file, streams, status);
  if (!app) return std::nullopt;
  if (app->sites.given) return app;
  streams.errors << file << ": application " << app->name.value
                 << " has no [sites]: there is nothing to plan from\n";
  *status = kRefused;
  return std::nullopt;
}

// Every loss that is asked for, each proved. Absent, and said, where an answer breaks a rule of its own.
std::optional<std::vector<planner::Answer>> Solve(planner::Planner& planner,
                                                  const std::vector<planner::Loss>& losses,
                                                  const Streams& streams) {
  std::vector<planner::Answer> answers;
  for (const planner::Loss& loss : losses) {
    answers.push_back(planner.Solve(loss));
    for (const std::string& fault : planner::Faults(planner.network(), answers.back())) {
      streams.errors << "the planner's answer is wrong: " << fault << "\n";
      return std::nullopt;
    }
  }
  return answers;
}

// What `plan` and `drill` print from: the usual day, and each loss that is asked for.
struct Planned {
  config::Application app;
  planner::Network network;
  planner::Answer before;
  std::vector<planner::Answer> answers;
};

// Without a zone's name every loss, where `every`. Absent, and said, where there is no such zone.
std::optional<Planned> PlanFor(const SitesOptions& options, bool every, const Streams& streams, int* status) {
  auto app = Described(options.file, streams, status);
  if (!app) return std::nullopt;
  planner::Planner planner(planner::Describe(*app));
  const planner::Network& network = planner.network();
  *status = kRefused;
  std::vector<planner::Loss> losses;
  for (const planner::Loss& loss : planner::Losses(network, options.pairs, options.ways)) {
    bool named = every && options.zone.empty();
    for (const std::size_t zone : loss.zones) named = named || network.zones[zone] == options.zone;
    if (named) losses.push_back(loss);
  }
  if (losses.empty()) {
    streams.errors << "there is no zone " << config::Quoted(options.zone) << "\n";
    return std::nullopt;
  }
  planner::Answer before = planner.Solve({});
  auto answers = Solve(planner, losses, streams);
  if (!answers) return std::nullopt;
  *status = kDone;
  return Planned{std::move(*app), network, std::move(before), std::move(*answers)};
}

int Plan(const SitesOptions& options, const Streams& streams) {
  int status = kDone;
  const auto planned = PlanFor(options, true, streams, &status);
  if (!planned) return status;
  const auto& [app, network, before, answers] = *planned;
  const sites::Plan plan = planner::PlanOf(app, network, answers);
  if (!options.out.empty()) {
    const std::string error = files::WriteFileAtomically(options.out, sites::Print(plan) + "\n");
    if (!error.empty()) {
      streams.errors << error << "\n";
      return kUnreadable;
    }
  }
  if (options.format == "json") {
    streams.out << planner::PrintJson(network, before, answers);
    return kDone;
  }
  for (const planner::Answer& answer : answers)
    streams.out << planner::PrintTable(network, before, answer) << "\n";
  streams.out << planner::PrintReturn(plan);
  return kDone;
}

int Check(const SitesOptions& options, const Streams& streams) {
  int status = kDone;
  const auto app = Described(options.file, streams, &status);
  if (!app) return status;
  planner::Planner planner(planner::Describe(*app));
  std::vector<planner::Loss> losses = {{}};  // the usual day first
  for (const planner::Loss& loss : planner::Losses(planner.network(), options.pairs, options.ways))
    losses.push_back(loss);
  const auto answers = Solve(planner, losses, streams);
  if (!answers) return kRefused;
  nlohmann::ordered_json found = nlohmann::ordered_json::array();
  for (const planner::Answer& answer : *answers) {
    const std::string why = planner::Short(planner.network(), answer);
    if (why.empty()) continue;
    status = kRefused;
    found.push_back({{"lost", planner::Name(planner.network(), answer.loss)}, {"why", why}});
    if (options.format == "text")
      streams.out << options.file << ":" << app->sites.place.line << ": " << why << "\n";
  }
  if (options.format == "json") {
    streams.out << found.dump(2) << "\n";
  } else if (status == kDone) {
    streams.out << "each of " << losses.size() - 1 << " losses is carried by the others, with "
                << 100 * planner.network().keep_free << "% of every zone left free\n";
  }
  return status;
}

int Drill(const SitesOptions& options, const Streams& streams) {
  int status = kDone;
  const auto planned = PlanFor(options, false, streams, &status);
  if (!planned) return status;
  const auto& [app, network, before, answers] = *planned;
  const std::string why = planner::Short(network, answers.front());
  streams.out << "A drill for the loss of " << options.zone << ".\n\n"
              << "Before:\n  1. umberdykectl sites check " << options.file << "\n"
              << "  2. umberdykectl fleet status " << options.file
              << " : every duty has an owner, nobody is unknown\n"
              << "  3. no release and no drain is under way in any zone\n\n";
  if (!why.empty()) streams.out << "STOP: " << why << "\n\n";
  streams.out << "What will happen:\n"
              << planner::PrintTable(network, before, answers.front()) << "\nThe drill:\n";
  int step = 3;
  for (const config::SidecarText& sidecar : app.sidecars) {
    const config::HostText* host = app.Host(sidecar.host.value);
    if (host == nullptr || host->zone.value != options.zone || !sidecar.console.given) continue;
    streams.out << "  " << ++step << ". on " << host->name.value << ": curl -X PUT http://"
                << sidecar.console.value << "/v1/sidecar/drain    (clients of " << sidecar.name.value
                << " go elsewhere)\n";
  }
  streams.out << "  " << step + 1 << ". cut the zone's ways, or stop its servers\n"
              << "  " << step + 2 << ". watch each sidecar's GET /v1/fleet: zone." << options.zone
              << "=lost within two seconds, refusals in the order above\n"
              << "  " << step + 3
              << ". stop the drill where another zone refuses what is inside its share, or a "
              << "server falls over\n"
              << "  " << step + 4 << ". undo it all; "
              << planner::PrintReturn(planner::PlanOf(app, network, answers));
  return why.empty() ? kDone : kRefused;
}

// The owner's newest word, as agents keep it.
int Show(const FleetOptions& options, const Streams& streams) {
  int status = kDone;
  const auto app = Described(options.file, streams, &status);
  if (!app) return status;
  const auto view = LookAt(options, streams, &status);
  if (!view) return status;
  std::vector<std::string> zones;
  for (const auto& zone : app->zones) zones.push_back(zone.value);
  sites::Directive directive;
  if (!view->sites_text.empty()) {
    auto read = sites::ReadDirective(view->sites_text, app->name.value, zones);
    if (const auto* why = std::get_if<std::string>(&read)) {
      streams.errors << *why << "\n";
      return kRefused;
    }
    directive = std::get<sites::Directive>(std::move(read));
  }
  nlohmann::ordered_json json = {{"age_ms", view->sites_age_ms}, {"zones", nlohmann::ordered_json::object()}};
  for (std::size_t z = 0; z < zones.size(); ++z) {
    const int zone = static_cast<int>(z);
    const bool lost = std::find(directive.lost.begin(), directive.lost.end(), zone) != directive.lost.end();
    const auto returning = directive.returning.find(zone);
    const double part = lost ? 0 : returning == directive.returning.end() ? 1 : returning->second;
    const char* state = lost ? "lost" : part < 1 ? "returning" : "sound";
    if (lost) status = kRefused;
    json["zones"][zones[z]] = {{"state", state}, {"part", part}};
    if (options.json()) continue;
    streams.out << zones[z] << ": " << state;
    if (part > 0 && part < 1) streams.out << ", " << 100 * part << "% of its share";
    streams.out << "\n";
  }
  if (options.json()) {
    streams.out << json.dump(2) << "\n";
  } else if (view->sites_age_ms < 0) {
    streams.out << "the fleet's owner has said nothing of zones yet\n";
  } else {
    streams.out << "said by the fleet's owner " << view->sites_age_ms / 1000 << " s ago\n";
  }
  return status;
}

void Describe(CLI::App& app, SitesOptions* options) {
  DescribeFile(app, "The application's description, with its [sites]", &options->file, &options->format);
}

}  // namespace

void AddSites(CLI::App& app, const Streams& streams, int* status) {
  CLI::App* sites = app.add_subcommand("sites", "What becomes of the load where a zone is lost");
  sites->require_subcommand(1);

  auto plan = std::make_shared<SitesOptions>();
  CLI::App* sub =
      sites->add_subcommand("plan", "Where load goes for each loss, what is refused, and the return");
  Describe(*sub, plan.get());
  sub->add_option("--zone", plan->zone, "Losses of this zone alone")->type_name("NAME");
  sub->add_flag("--pairs", plan->pairs, "Also the loss of each two zones");
  sub->add_flag("--ways", plan->ways, "Also the loss of each way between two");
  sub->add_option("--out", plan->out, "A file for the plan as sidecars hold it")->type_name("FILE");
  sub->footer("Example:\n  umberdykectl sites plan linen-track.toml --pairs");
  sub->callback([plan, &streams, status] { *status = Plan(*plan, streams); });

  auto check = std::make_shared<SitesOptions>();
  sub = sites->add_subcommand("check", "Whether every loss is carried by the other zones");
  Describe(*sub, check.get());
  sub->add_flag("--pairs", check->pairs, "Also the loss of each two zones");
  sub->add_flag("--ways", check->ways, "Also the loss of each way between two");
  sub->footer(
      "Exit status: 0 it is, 1 requests inside their share would be refused (each loss is named), 2 "
      "unreadable.\n"
      "Example:\n  umberdykectl sites check linen-track.toml --ways");
  sub->callback([check, &streams, status] { *status = Check(*check, streams); });

  auto drill = std::make_shared<SitesOptions>();
  sub = sites->add_subcommand("drill", "Instructions for a drill of one zone's loss");
  Describe(*sub, drill.get());
  sub->add_option("--zone", drill->zone, "Which")->required()->type_name("NAME");
  sub->footer("Example:\n  umberdykectl sites drill linen-track.toml --zone surat");
  sub->callback([drill, &streams, status] { *status = Drill(*drill, streams); });

  auto show = std::make_shared<FleetOptions>();
  sub = sites->add_subcommand("show", "What the fleet's owner says of zones now");
  DescribeFleet(*sub, show.get());
  sub->footer(
      "Exit status: 0 no zone is lost, 1 one is, 2 no answer.\n"
      "Example:\n  umberdykectl sites show linen-track.toml");
  sub->callback([show, &streams, status] { *status = Show(*show, streams); });
}

}  // namespace umberdyke::ctl

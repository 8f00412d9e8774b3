// fleet status, fleet owner: who owns which duty, which agents are there, and the newest census.
#include <nlohmann/json.hpp>
#include <ostream>

#include "ctl/fleet.h"

namespace umberdyke::ctl {
namespace {

using Json = nlohmann::ordered_json;

std::string Age(std::int64_t ms) {
  if (ms < 0) return "at an unknown time";
  if (ms < 10'000) return std::to_string(ms) + " ms ago";
  return std::to_string(ms / 1000) + " s ago";
}

Json DutyJson(const fleet::DutyView& duty) {
  Json json;
  json["duty"] = duty.name;
  if (duty.standers.empty()) {
    json["owner"] = nullptr;
  } else {
    const fleet::Stander& owner = duty.standers.front();
    json["owner"] = {{"host", owner.agent.host},
                     {"zone", owner.agent.zone},
                     {"instance", owner.agent.instance},
                     {"version", owner.agent.version},
                     {"term", owner.term}};
  }
  json["standing_by"] = duty.standers.empty() ? 0 : duty.standers.size() - 1;
  json["step"] = duty.journal.step;
  json["committed"] = duty.journal.committed;
  json["journal_term"] = duty.journal.term;
  json["journal_age_ms"] = duty.journal_age_ms;
  json["troubles"] = duty.troubles;
  return json;
}

void PrintDuty(const fleet::DutyView& duty, std::ostream& out) {
  out << duty.name << ": ";
  if (duty.standers.empty()) {
    out << "no owner, and nobody stands for it\n";
  } else {
    const fleet::Stander& owner = duty.standers.front();
    out << "host " << config::OneLine(owner.agent.host) << " under term " << owner.term << ", "
        << duty.standers.size() - 1 << " standing by\n";
  }
  out << "  step " << duty.journal.step << (duty.journal.committed ? " is done" : " is under way")
      << ", written " << Age(duty.journal_age_ms) << "\n";
  if (!duty.standers.empty() && duty.journal.term != 0 && duty.journal.term != duty.standers.front().term) {
    out << "  its journal was written last under term " << duty.journal.term << "\n";
  }
  for (const std::string& trouble : duty.troubles)
    out << "  cannot be read: " << config::OneLine(trouble) << "\n";
}

// 1 where a duty has no owner or something cannot be read, so that scripts may ask.
int Sound(const fleet::View& view, const std::string& duty) {
  bool sound = view.troubles.empty();
  for (const fleet::DutyView& one : view.duties) {
    if (!duty.empty() && one.name != duty) continue;
    sound = sound && !one.standers.empty() && one.troubles.empty();
  }
  return sound ? kDone : kRefused;
}

void PrintCensus(const fleet::View& view, std::ostream& out) {
  if (!view.census) {
    out << "census: none has been published yet\n";
    return;
  }
  out << "census: step " << view.census->step << ", " << Age(view.census_age_ms) << "\n";
  for (const auto& [where, sum] : fleet::Sums(*view.census)) {
    out << "  " << config::OneLine(where.first) << " " << config::OneLine(where.second) << ":";
    for (const auto& [state, count] : sum.states) out << " " << count << " " << config::OneLine(state);
    for (const auto& [version, count] : sum.versions)
      out << ", " << count << " of " << config::OneLine(version);
    out << ", " << sum.concurrent << " requests in hand\n";
  }
  for (const fleet::CensusEntry& entry : view.census->sidecars) {
    if (entry.state != "unknown") continue;
    out << "  unknown: " << config::OneLine(entry.name) << " on " << config::OneLine(entry.host) << ", in "
        << entry.unknown_steps << " censuses in a row\n";
  }
}

int Status(const FleetOptions& options, const Streams& streams) {
  int status = kDone;
  const auto view = LookAt(options, streams, &status);
  if (!view) return status;
  if (options.json()) {
    Json json;
    json["agents"] = Json::array();
    for (const fleet::Agent& agent : view->agents) {
      json["agents"].push_back({{"host", agent.host},
                                {"zone", agent.zone},
                                {"instance", agent.instance},
                                {"version", agent.version}});
    }
    json["hosts"] = view->hosts;
    json["duties"] = Json::array();
    for (const fleet::DutyView& duty : view->duties) json["duties"].push_back(DutyJson(duty));
    json["census"] = view->census ? Json::parse(view->census_text, nullptr, false) : Json(nullptr);
    json["census_age_ms"] = view->census_age_ms;
    json["troubles"] = view->troubles;
    streams.out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
    return Sound(*view, "");
  }
  for (const fleet::DutyView& duty : view->duties) PrintDuty(duty, streams.out);
  streams.out << "agents: " << view->agents.size() << " at work";
  for (const fleet::Agent& agent : view->agents) streams.out << " " << config::OneLine(agent.host);
  streams.out << "\n";
  for (const std::string& host : view->hosts) {
    const bool there = std::any_of(view->agents.begin(), view->agents.end(),
                                   [&](const fleet::Agent& agent) { return agent.host == host; });
    if (!there) streams.out << "  " << config::OneLine(host) << " had one once\n";
  }
  PrintCensus(*view, streams.out);
  for (const std::string& trouble : view->troubles) {
    streams.out << "cannot be read: " << config::OneLine(trouble) << "\n";
  }
  return Sound(*view, "");
}

int Owner(const FleetOptions& options, const Streams& streams) {
  int status = kDone;
  const auto view = LookAt(options, streams, &status);
  if (!view) return status;
  Json json = Json::array();
  bool found = options.duty.empty();
  for (const fleet::DutyView& duty : view->duties) {
    if (!options.duty.empty() && duty.name != options.duty) continue;
    found = true;
    json.push_back(DutyJson(duty));
    if (!options.json()) PrintDuty(duty, streams.out);
  }
  if (!found) {
    streams.errors << "there is no duty " << config::Quoted(options.duty) << "\n";
    return kRefused;
  }
  if (options.json()) streams.out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
  return Sound(*view, options.duty);
}

}  // namespace

void AddFleetStatus(CLI::App& fleet, const Streams& streams, int* status) {
  auto options = std::make_shared<FleetOptions>();
  CLI::App* app = fleet.add_subcommand("status", "Duties and their owners, agents, and the newest census");
  DescribeFleet(*app, options.get());
  app->footer(
      "Exit status: 0 each duty has an owner, 1 one has none or something cannot be read, 2 no answer.\n"
      "Example:\n  umberdykectl fleet status linen-track.toml");
  app->callback([options, &streams, status] { *status = Status(*options, streams); });
}

void AddFleetOwner(CLI::App& fleet, const Streams& streams, int* status) {
  auto options = std::make_shared<FleetOptions>();
  CLI::App* app = fleet.add_subcommand("owner", "Who owns a duty, or each");
  DescribeFleet(*app, options.get());
  app->add_option("--duty", options->duty, "One duty alone")->type_name("NAME");
  app->footer(
      "Exit status as for status.\nExample:\n  umberdykectl fleet owner linen-track.toml --duty census");
  app->callback([options, &streams, status] { *status = Owner(*options, streams); });
}

}  // namespace umberdyke::ctl

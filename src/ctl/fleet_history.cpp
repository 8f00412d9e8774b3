// fleet history: who owned a duty, the newest last.
#include <nlohmann/json.hpp>
#include <ostream>

#include "ctl/fleet.h"

namespace umberdyke::ctl {
namespace {

int History(const FleetOptions& options, const Streams& streams) {
  int status = kDone;
  const auto view = LookAt(options, streams, &status);
  if (!view) return status;
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  bool found = false;
  for (const fleet::DutyView& duty : view->duties) {
    if (!options.duty.empty() && duty.name != options.duty) continue;
    found = true;
    if (!options.json()) streams.out << duty.name << ":\n";
    for (const fleet::Tenure& t : duty.history) {
      json.push_back({{"duty", duty.name},
                      {"term", t.term},
                      {"host", t.host},
                      {"instance", t.instance},
                      {"from_step", t.from},
                      {"without_ms", t.without_ms}});
      if (options.json()) continue;
      streams.out << "  term " << t.term << ": host " << config::OneLine(t.host) << ", from step " << t.from;
      if (t.without_ms >= 0) streams.out << ", " << t.without_ms << " ms after the one before it had gone";
      streams.out << "\n";
    }
    if (!options.json() && duty.history.empty()) streams.out << "  nobody has owned it yet\n";
    for (const std::string& trouble : duty.troubles) {
      streams.errors << "cannot be read: " << config::OneLine(trouble) << "\n";
      status = kRefused;
    }
  }
  if (!found && !options.duty.empty()) {
    streams.errors << "there is no duty " << config::Quoted(options.duty) << "\n";
    return kRefused;
  }
  if (options.json()) {
    streams.out << json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << "\n";
  }
  return status;
}

}  // namespace

void AddFleetHistory(CLI::App& fleet, const Streams& streams, int* status) {
  auto options = std::make_shared<FleetOptions>();
  CLI::App* app = fleet.add_subcommand("history", "Who owned the duties, the newest last");
  DescribeFleet(*app, options.get());
  app->add_option("--duty", options->duty, "One duty alone")->type_name("NAME");
  app->footer("Example:\n  umberdykectl fleet history linen-track.toml --duty census --format json");
  app->callback([options, &streams, status] { *status = History(*options, streams); });
}

}  // namespace umberdyke::ctl

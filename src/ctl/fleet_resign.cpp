// fleet resign: asks the owner of a duty to leave it to another.
#include <nlohmann/json.hpp>
#include <ostream>

#include "ctl/fleet.h"

namespace umberdyke::ctl {
namespace {

int Resign(const FleetOptions& options, const Streams& streams) {
  int status = kDone;
  const auto service = ServiceOf(options, streams, &status);
  if (!service) return status;
  const auto result = fleet::AskToResign(*service, options.duty);
  if (const auto* why = std::get_if<fleet::Unreadable>(&result)) {
    streams.errors << config::OneLine(why->why, 4096) << "\n";
    return kUnreadable;
  }
  const auto& resigned = std::get<fleet::Resigned>(result);
  if (options.json()) {
    streams.out << nlohmann::ordered_json{{"duty", options.duty},
                                          {"before", resigned.before},
                                          {"after", resigned.after},
                                          {"host", resigned.host}}
                       .dump(2)
                << "\n";
  } else if (resigned.after == 0) {
    streams.out << options.duty << ": the owner of term " << resigned.before
                << " has left it; nobody else stands\n";
  } else {
    streams.out << options.duty << ": host " << config::OneLine(resigned.host) << " owns it under term "
                << resigned.after << "\n";
  }
  return resigned.after == 0 ? kRefused : kDone;
}

}  // namespace

void AddFleetResign(CLI::App& fleet, const Streams& streams, int* status) {
  auto options = std::make_shared<FleetOptions>();
  CLI::App* app = fleet.add_subcommand("resign", "Ask a duty's owner to leave it to another");
  DescribeFleet(*app, options.get());
  app->add_option("--duty", options->duty, "The duty")->required()->type_name("NAME");
  app->footer(
      "Waits until another owns it. Exit status: 0 another does, 1 nobody else stands, 2 no answer or no "
      "owner.\n"
      "Example:\n  umberdykectl fleet resign linen-track.toml --duty census");
  app->callback([options, &streams, status] { *status = Resign(*options, streams); });
}

}  // namespace umberdyke::ctl

// fleet: what the agents of an application do on behalf of the fleet.
#include "ctl/fleet.h"

#include <ostream>

namespace umberdyke::ctl {

void DescribeFleet(CLI::App& app, FleetOptions* options) {
  DescribeFile(app, "The application's description, with its [fleet]", &options->file, &options->format);
  app.add_option("--patience-ms", options->patience_ms, "How long to wait for the coordination service")
      ->check(CLI::Range(50, 600'000))
      ->capture_default_str();
}

std::optional<fleet::Service> ServiceOf(const FleetOptions& options, const Streams& streams, int* status) {
  const auto app = LoadSound(options.file, streams, status);
  if (!app) return std::nullopt;
  if (!app->fleet.given) {
    streams.errors << options.file << ": application " << app->name.value
                   << " has no [fleet]: no agents run\n";
    *status = kRefused;
    return std::nullopt;
  }
  fleet::Service service;
  for (const auto& address : app->fleet.coordinators) service.servers.push_back(address.value);
  service.path = app->fleet.path.value;
  service.application = app->name.value;
  service.auth_file = app->fleet.auth_file.value;
  service.patience = std::chrono::milliseconds(options.patience_ms);
  return service;
}

std::optional<fleet::View> LookAt(const FleetOptions& options, const Streams& streams, int* status) {
  const auto service = ServiceOf(options, streams, status);
  if (!service) return std::nullopt;
  auto view = fleet::Look(*service);
  if (const auto* why = std::get_if<fleet::Unreadable>(&view)) {
    streams.errors << config::OneLine(why->why, 4096) << "\n";
    *status = kUnreadable;
    return std::nullopt;
  }
  *status = kDone;
  return std::move(std::get<fleet::View>(view));
}

void AddFleet(CLI::App& app, const Streams& streams, int* status) {
  CLI::App* fleet =
      app.add_subcommand("fleet", "What the agents of an application do on behalf of the fleet");
  fleet->require_subcommand(1);
  AddFleetStatus(*fleet, streams, status);
  AddFleetOwner(*fleet, streams, status);
  AddFleetResign(*fleet, streams, status);
  AddFleetHistory(*fleet, streams, status);
}

}  // namespace umberdyke::ctl

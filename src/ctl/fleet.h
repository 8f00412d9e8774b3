// What the subcommands of 'umberdykectl fleet' share: where the application's agents keep their records, from
// its description, and how a person is told that they cannot be read.
#ifndef UMBERDYKE_CTL_FLEET_H_
#define UMBERDYKE_CTL_FLEET_H_

#include <memory>
#include <optional>
#include <string>

#include "ctl/command.h"
#include "fleet/view.h"

namespace umberdyke::ctl {

struct FleetOptions {
  std::string file, duty;
  std::string format = "text";
  int patience_ms = 5000;
  bool json() const { return format == "json"; }
};

// The common words of the command line.
void DescribeFleet(CLI::App& app, FleetOptions* options);
// Where the records are; absent, and said, where the description is unsound or has no [fleet].
std::optional<fleet::Service> ServiceOf(const FleetOptions& options, const Streams& streams, int* status);
// The records; absent, and said, where the service cannot be reached or they cannot be read.
std::optional<fleet::View> LookAt(const FleetOptions& options, const Streams& streams, int* status);

void AddFleetStatus(CLI::App& fleet, const Streams& streams, int* status);
void AddFleetOwner(CLI::App& fleet, const Streams& streams, int* status);
void AddFleetResign(CLI::App& fleet, const Streams& streams, int* status);
void AddFleetHistory(CLI::App& fleet, const Streams& streams, int* status);

}  // namespace umberdyke::ctl

#endif  // UMBERDYKE_CTL_FLEET_H_

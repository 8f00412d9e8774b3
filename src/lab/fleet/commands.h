// umberdyke_lab fleet: runs of the bed, many plans, cutting a failing one down, and measurements.
#ifndef UMBERDYKE_LAB_FLEET_COMMANDS_H_
#define UMBERDYKE_LAB_FLEET_COMMANDS_H_

#include <CLI/CLI.hpp>

namespace umberdyke::lab {

void AddFleet(CLI::App& app, int* status);
void AddExplore(CLI::App& app, int* status);
void AddExploreRollout(CLI::App& app, int* status);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_COMMANDS_H_

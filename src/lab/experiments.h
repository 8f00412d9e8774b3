// The commands of umberdyke_lab on the emulator: run, report, compare, trace, scale.
#ifndef UMBERDYKE_LAB_EXPERIMENTS_H_
#define UMBERDYKE_LAB_EXPERIMENTS_H_

#include <CLI/CLI.hpp>

namespace umberdyke::lab {

void AddExperiments(CLI::App& app, int* status);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_EXPERIMENTS_H_

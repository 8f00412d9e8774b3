// What the cells of an experiment gave, kept in files and read back: one file for each cell, written whole,
// so that an interrupted run goes on where it was.
#ifndef UMBERDYKE_EXPERIMENT_RESULTS_H_
#define UMBERDYKE_EXPERIMENT_RESULTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/metrics.h"
#include "experiment/plan.h"

namespace umberdyke::experiment {

struct Cell {
  std::string variant, policy;
  Point at;
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;
  std::vector<std::pair<double, double>> curve;  // response time in ms, share
  std::vector<emulator::Second> seconds;
  std::vector<std::vector<float>> heat;  // of the first seed only
  std::string violation;                 // a rule was broken: no figures
  double wall_s = 0;
};

// What has to be equal for a kept cell to stand for this one: the program, the scenario and the seed.
std::string KeyOf(const Plan& plan, const Variant& variant, const Point& at, std::uint64_t seed);
std::string NameOf(const Variant& variant, const std::string& key);

std::string Print(const Cell& cell, const std::string& key);
// None where the file is not there, or holds no whole cell with this key.
std::optional<Cell> ReadCell(const std::string& path, const std::string& key);

// All cells of a folder, in the order of variant, point and seed. Throws ScenarioError.
std::vector<Cell> ReadCells(const std::string& folder);

std::string RowsCsv(const std::vector<Cell>& cells);
std::string RowsJson(const std::vector<Cell>& cells, const std::string& title);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_RESULTS_H_

// An experiment as its file describes it: a scenario, what is swept, whose policies, which seeds, what is
// expected and what is drawn. Reads and checks; it runs nothing.
#ifndef UMBERDYKE_EXPERIMENT_PLAN_H_
#define UMBERDYKE_EXPERIMENT_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace umberdyke::experiment {

// A policy, and what else is different where it decides.
struct Variant {
  std::string name, policy;
  std::vector<std::pair<std::string, double>> set;
};

struct Sweep {
  std::string figure;
  std::vector<double> values;
};

using Point = std::map<std::string, double>;  // swept figures and their values

// On the mean over the seeds, for every point that `at` leaves open.
struct Expectation {
  std::string figure, variant;
  Point at;
  std::optional<double> below, above;
  std::string beside;  // another variant: this one is not worse than it by more than `by`
  double by = 0;
  bool higher = true;  // whether more of the figure is better, for `beside`
  long line = 0;
};

struct Chart {
  std::string kind;  // line, cdf, timeline, heat
  std::string figure, x, title;
  Point at;
  bool logarithmic = false;
};

struct Plan {
  std::string path, title, about;
  emulator::Scenario scenario;
  std::vector<Variant> variants;
  std::vector<Sweep> sweeps;
  std::uint64_t first_seed = 1, seeds = 5;
  std::vector<Expectation> expectations;
  std::vector<Chart> charts;

  std::size_t Points() const;
  std::size_t Cells() const;  // points x variants x seeds
  Point At(std::size_t index) const;
  // The scenario at a point for a variant, checked. Throws ScenarioError.
  emulator::Scenario Resolve(const Variant& variant, const Point& point) const;
};

// Throws ScenarioError with file, line and a plain sentence.
Plan ReadPlan(const std::string& path);

std::string PrintPoint(const Point& point);
// Whether `at` has every figure of `wanted` at its value.
bool Fits(const Point& at, const Point& wanted);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_PLAN_H_

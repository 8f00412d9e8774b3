// Runs the cells of an experiment over all cores, keeps each as soon as it is done, and can be stopped and
// taken up again: what is kept is not run again.
#ifndef UMBERDYKE_EXPERIMENT_RUNNER_H_
#define UMBERDYKE_EXPERIMENT_RUNNER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "experiment/plan.h"
#include "experiment/results.h"

namespace umberdyke::experiment {

constexpr std::size_t kAskCells = 10'000;      // more than this only with a word from whoever asks for them
constexpr std::size_t kMostCells = 1'000'000;  // and more than this never

struct RunOptions {
  std::string folder;
  unsigned threads = 0;              // 0: one for each core
  std::ostream* progress = nullptr;  // a bar with the time that is left
  bool terminal = false;             // it may be drawn over
  const std::atomic<bool>* stop = nullptr;
};

struct RunResult {
  std::vector<Cell> cells;  // in the order of the plan
  std::size_t kept = 0;     // that were there already
  std::size_t ran = 0;
  bool stopped = false;  // before all were done
  std::string error;     // a file that could not be written
  std::uint64_t events = 0;
  double wall_s = 0, core_s = 0;
};

// Without a folder nothing is kept.
RunResult RunCells(const Plan& plan, const RunOptions& options);
// One cell, here and now.
Cell RunOne(const Plan& plan, const Variant& variant, const Point& at, std::uint64_t seed, bool heat,
            const std::function<bool()>& stop, bool* stopped);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_RUNNER_H_

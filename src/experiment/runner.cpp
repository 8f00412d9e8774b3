#include "experiment/runner.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <mutex>
#include <thread>

#include "emulator/world.h"
#include "files/files.h"

namespace umberdyke::experiment {
namespace {

using Wall = std::chrono::steady_clock;
constexpr std::size_t kCurvePoints = 200;

struct Task {
  std::size_t variant = 0, point = 0;
  std::uint64_t seed = 0;
};

std::string Left(double seconds) {
  char text[32];
  if (seconds < 90) {
    std::snprintf(text, sizeof text, "%.0f s", seconds);
  } else if (seconds < 5400) {
    std::snprintf(text, sizeof text, "%.0f min", seconds / 60);
  } else {
    std::snprintf(text, sizeof text, "%.1f h", seconds / 3600);
  }
  return text;
}

class Bar {
 public:
  Bar(const RunOptions& options, std::size_t all) : options_(options), all_(all), start_(Wall::now()) {}
  void Show(std::size_t done, std::size_t ran) {
    if (options_.progress == nullptr) return;
    const auto now = Wall::now();
    const bool last = done == all_;
    if (!last && now - shown_ < std::chrono::milliseconds(options_.terminal ? 200 : 5000)) return;
    shown_ = now;
    const double spent = std::chrono::duration<double>(now - start_).count();
    const double left = ran > 0 ? spent / static_cast<double>(ran) * static_cast<double>(all_ - done) : 0;
    constexpr std::size_t kWidth = 30;
    const std::size_t full = all_ > 0 ? done * kWidth / all_ : kWidth;
    *options_.progress << (options_.terminal ? "\r[" : "[") << std::string(full, '#')
                       << std::string(kWidth - full, '.') << "] " << done << " of " << all_ << " cells, "
                       << (last ? Left(spent) + " in all" : "about " + Left(left) + " left") << "   "
                       << (options_.terminal && !last ? "" : "\n") << std::flush;
  }

 private:
  const RunOptions& options_;
  const std::size_t all_;
  const Wall::time_point start_;
  Wall::time_point shown_{};
};

}  // namespace

Cell RunOne(const Plan& plan, const Variant& variant, const Point& at, std::uint64_t seed, bool heat,
            const std::function<bool()>& stop, bool* stopped) {
  Cell cell;
  cell.variant = variant.name;
  cell.policy = variant.policy;
  cell.at = at;
  cell.seed = seed;
  *stopped = false;
  try {
    emulator::World world(plan.Resolve(variant, at), variant.policy, seed);
    const auto metrics = world.Run(stop);
    if (!metrics) {
      *stopped = true;
      return cell;
    }
    cell.figures = metrics->Figures();
    cell.curve = metrics->response.Curve(kCurvePoints);
    cell.seconds = metrics->seconds;
    if (heat) cell.heat = metrics->heat;
    cell.wall_s = metrics->wall_s;
  } catch (const emulator::Violation& violation) {
    cell.violation = violation.what();
  }
  return cell;
}

RunResult RunCells(const Plan& plan, const RunOptions& options) {
  RunResult result;
  const auto begin = Wall::now();
  std::vector<Task> tasks;
  // Seed by seed, so that an interrupted run has something of every point.
  for (std::uint64_t s = 0; s < plan.seeds; ++s) {
    for (std::size_t p = 0; p < plan.Points(); ++p) {
      for (std::size_t v = 0; v < plan.variants.size(); ++v) tasks.push_back({v, p, plan.first_seed + s});
    }
  }
  std::vector<std::optional<Cell>> cells(tasks.size());
  const std::string folder = options.folder.empty() ? "" : options.folder + "/cells";
  if (!folder.empty()) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
      result.error = folder + ": " + error.message();
      return result;
    }
  }
  Bar bar(options, tasks.size());
  std::mutex mutex;
  std::size_t next = 0, done = 0;
  const auto stop = [&] { return options.stop != nullptr && options.stop->load(std::memory_order_relaxed); };
  const auto work = [&] {
    for (;;) {
      std::size_t i;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (next == tasks.size() || stop() || !result.error.empty()) return;
        i = next++;
      }
      const Task& task = tasks[i];
      const Variant& variant = plan.variants[task.variant];
      const Point at = plan.At(task.point);
      const std::string key = KeyOf(plan, variant, at, task.seed);
      const std::string path = folder + "/" + NameOf(variant, key);
      if (!folder.empty()) {
        if (auto cell = ReadCell(path, key)) {
          const std::lock_guard<std::mutex> lock(mutex);
          cells[i] = std::move(*cell);
          ++result.kept;
          bar.Show(++done, result.ran);
          continue;
        }
      }
      bool stopped = false;
      Cell cell = RunOne(plan, variant, at, task.seed, task.seed == plan.first_seed, stop, &stopped);
      if (stopped) return;
      std::string error;
      if (!folder.empty()) error = files::WriteFileAtomically(path, Print(cell, key));
      const std::lock_guard<std::mutex> lock(mutex);
      if (!error.empty() && result.error.empty()) result.error = error;
      result.core_s += cell.wall_s;
      if (cell.figures.contains("events"))
        result.events += static_cast<std::uint64_t>(cell.figures["events"]);
      cells[i] = std::move(cell);
      ++result.ran;
      bar.Show(++done, result.ran);
    }
  };
  const unsigned cores = std::max(1u, std::thread::hardware_concurrency());
  const std::size_t threads =
      std::min<std::size_t>(options.threads > 0 ? options.threads : cores, tasks.size());
  std::vector<std::thread> pool;
  for (std::size_t t = 0; t < threads; ++t) pool.emplace_back(work);
  for (std::thread& thread : pool) thread.join();
  for (auto& cell : cells) {
    if (cell) result.cells.push_back(std::move(*cell));
  }
  result.stopped = result.cells.size() < tasks.size();
  result.wall_s = std::chrono::duration<double>(Wall::now() - begin).count();
  return result;
}

}  // namespace umberdyke::experiment

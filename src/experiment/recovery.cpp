#include "experiment/recovery.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "experiment/report.h"

namespace umberdyke::experiment {
namespace {

constexpr std::size_t kWindow = 10;  // seconds

// Share of the worth asked from one second up to another.
double Served(const Cell& cell, std::size_t from, std::size_t to) {
  double asked = 0, gained = 0;
  for (std::size_t i = from; i < std::min(to, cell.seconds.size()); ++i) {
    asked += cell.seconds[i].asked;
    gained += cell.seconds[i].gained;
  }
  return asked > 0 ? gained / asked : 1;
}

double MeanServed(const Group& group, std::size_t from, std::size_t to) {
  std::vector<double> values;
  for (const Cell* cell : group.cells) values.push_back(Served(*cell, from, to));
  return MeanOf(values).mean;
}

}  // namespace

std::vector<Recovery> Recoveries(const std::vector<Cell>& cells, const RecoveryOf& of) {
  const std::vector<Group> groups = GroupsOf(cells);
  const auto from = static_cast<std::size_t>(std::max(0.0, of.from_s));
  const auto to = static_cast<std::size_t>(std::max(0.0, of.to_s));
  std::vector<Recovery> all;
  for (const Group& group : groups) {
    const auto bound = std::find_if(groups.begin(), groups.end(), [&](const Group& g) {
      return g.variant == of.bound && g.at == group.at;
    });
    if (bound == groups.end()) throw emulator::ScenarioError("there is no variant called " + of.bound);
    const std::size_t end = group.cells.front()->seconds.size();
    if (from + 2 > to || to + 2 * kWindow > end)
      throw emulator::ScenarioError("the trouble has to leave 20 s before the end of " + std::to_string(end) +
                                    " s, and to last 2 s at least");
    Recovery r;
    r.variant = group.variant;
    r.at = group.at;
    r.can = MeanServed(*bound, from + (to - from) / 2, to);
    r.whole = MeanServed(*bound, end - kWindow, end);
    std::vector<double> back, full;
    for (const Cell* cell : group.cells) {
      std::size_t at = from;
      while (at < to && Served(*cell, at, to) < r.can - of.within) ++at;
      if (at == to) ++r.never_back;
      back.push_back(static_cast<double>(at - from));
      at = to;
      while (at + kWindow <= end && Served(*cell, at, at + kWindow) < r.whole - of.within) ++at;
      if (at + kWindow > end) ++r.never_full;
      full.push_back(static_cast<double>(at - to));
    }
    r.back_s = MeanOf(back);
    r.full_s = MeanOf(full);
    all.push_back(std::move(r));
  }
  return all;
}

std::string PrintRecoveries(const std::vector<Recovery>& recoveries) {
  std::vector<std::vector<std::string>> rows = {
      {"variant", "at", "can be had", "back s", "never", "at the end", "full s", "never"}};
  for (const Recovery& r : recoveries) {
    rows.push_back({r.variant, PrintPoint(r.at), Short(r.can), With(r.back_s), std::to_string(r.never_back),
                    Short(r.whole), With(r.full_s), std::to_string(r.never_full)});
  }
  return Columns(rows);
}

}  // namespace umberdyke::experiment

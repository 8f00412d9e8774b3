#include "rollout/budget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace umberdyke::rollout {
namespace {

constexpr std::array<const char*, 5> kNames = {"fleet", "tier", "zone", "kind", "host"};

}  // namespace

const char* Name(By by) { return kNames[static_cast<std::size_t>(by)]; }

std::optional<By> ByOf(const std::string& name) {
  const auto it = std::find(kNames.begin(), kNames.end(), name);
  if (it == kNames.end()) return std::nullopt;
  return static_cast<By>(it - kNames.begin());
}

const std::string& GroupOf(const Unit& unit, By by) {
  static const std::string kAll;
  switch (by) {
    case By::kTier:
      return unit.tier;
    case By::kZone:
      return unit.zone;
    case By::kKind:
      return unit.kind;
    case By::kHost:
      return unit.host;
    case By::kFleet:
      break;
  }
  return kAll;
}

int MostOut(const Budget& budget, int size) {
  const int by_share = static_cast<int>(std::floor(budget.share * size + 1e-9));
  const int most = budget.most >= 0 ? budget.most : std::max(budget.share > 0 ? 1 : 0, by_share);
  return std::max(0, std::min(most, size - budget.least_ready));
}

Budgets::Budgets(std::vector<Budget> budgets, const std::vector<Unit>& units) : budgets_(std::move(budgets)) {
  for (std::size_t b = 0; b < budgets_.size(); ++b) {
    std::map<std::string, std::size_t> places;
    std::vector<Group>& groups = groups_.emplace_back();
    for (const Unit& unit : units) {
      if (unit.server != budgets_[b].servers) continue;
      const std::string& group = GroupOf(unit, budgets_[b].by);
      if (!budgets_[b].group.empty() && budgets_[b].group != group) continue;
      const auto [it, is_new] = places.try_emplace(group, groups.size());
      if (is_new) groups.push_back({group, 0});
      ++groups[it->second].size;
      of_[unit.name].emplace_back(b, it->second);
    }
  }
}

std::string Budgets::Told(const Budget& budget, const Group& group, int out) const {
  return std::to_string(out) + " of " + std::to_string(group.size) +
         (budget.servers ? " servers" : " sidecars") +
         (budget.by == By::kFleet ? "" : std::string(" of ") + Name(budget.by) + " " + group.name) +
         " are out, and " + std::to_string(Most(budget, group)) + " may be";
}

Budgets::Out::Out(const Budgets& budgets, std::set<std::string> names)
    : budgets_(budgets), names_(std::move(names)) {
  for (const auto& groups : budgets_.groups_) counts_.emplace_back(groups.size(), 0);
  for (const std::string& name : names_) Count(name);
}

void Budgets::Out::Count(const std::string& unit) {
  const auto it = budgets_.of_.find(unit);
  if (it == budgets_.of_.end()) return;
  for (const auto& [budget, group] : it->second) ++counts_[budget][group];
}

void Budgets::Out::Add(const std::string& unit) {
  if (names_.insert(unit).second) Count(unit);
}

std::string Budgets::Out::Against(const std::string& unit) const {
  const auto it = budgets_.of_.find(unit);
  if (names_.contains(unit) || it == budgets_.of_.end()) return "";
  for (const auto& [b, g] : it->second) {
    const Group& group = budgets_.groups_[b][g];
    if (counts_[b][g] + 1 > Most(budgets_.budgets_[b], group))
      return budgets_.Told(budgets_.budgets_[b], group, counts_[b][g]);
  }
  return "";
}

bool Budgets::Out::Full(bool servers) const {
  for (std::size_t b = 0; b < budgets_.budgets_.size(); ++b) {
    const Budget& budget = budgets_.budgets_[b];
    if (budget.servers != servers || budget.by != By::kFleet) continue;
    for (std::size_t g = 0; g < counts_[b].size(); ++g) {
      if (counts_[b][g] >= Most(budget, budgets_.groups_[b][g])) return true;
    }
  }
  return false;
}

std::vector<std::string> Budgets::Overdrawn(const std::set<std::string>& out) const {
  const Out counted(*this, out);
  std::vector<std::string> lines;
  for (std::size_t b = 0; b < budgets_.size(); ++b) {
    for (std::size_t g = 0; g < groups_[b].size(); ++g) {
      const int already = counted.counts_[b][g];
      if (already > Most(budgets_[b], groups_[b][g]))
        lines.push_back(Told(budgets_[b], groups_[b][g], already));
    }
  }
  return lines;
}

}  // namespace umberdyke::rollout

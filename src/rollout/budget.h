// How many units may be out at once: of all, of a tier, a zone, a kind or a host. Whoever cannot serve is
// out, whatever the reason.
#ifndef UMBERDYKE_ROLLOUT_BUDGET_H_
#define UMBERDYKE_ROLLOUT_BUDGET_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rollout/units.h"

namespace umberdyke::rollout {

enum class By { kFleet, kTier, kZone, kKind, kHost };
const char* Name(By by);
std::optional<By> ByOf(const std::string& name);
// The group of a unit: its tier, zone, kind or host; empty for the fleet.
const std::string& GroupOf(const Unit& unit, By by);

struct Budget {
  bool servers = false;  // of real servers; else of sidecars
  By by = By::kFleet;
  std::string group;    // just this tier, zone, kind or host; empty: each
  int most = -1;        // so many may be out; -1: as `share` says
  double share = 1;     // of the group, rounded down, but one at least where it is above zero
  int least_ready = 0;  // so many have to be able whatever the others say
  friend bool operator==(const Budget&, const Budget&) = default;
};
// So many of a group of `size` may be out.
int MostOut(const Budget& budget, int size);

class Budgets {
 public:
  Budgets(std::vector<Budget> budgets, const std::vector<Unit>& units);

  // Those that are out, counted by group: for asking about many units one after another.
  class Out {
   public:
    Out(const Budgets& budgets, std::set<std::string> names);
    // Why this unit may not go out as well; empty: it may. One that is out already costs nothing.
    std::string Against(const std::string& unit) const;
    void Add(const std::string& unit);
    bool contains(const std::string& unit) const { return names_.contains(unit); }
    // Nothing more may go at all of sidecars, or of servers.
    bool Full(bool servers) const;

   private:
    friend class Budgets;
    void Count(const std::string& unit);
    const Budgets& budgets_;
    std::set<std::string> names_;
    std::vector<std::vector<int>> counts_;  // by budget and group
  };
  std::string Against(const Unit& unit, const std::set<std::string>& out) const {
    return Out(*this, out).Against(unit.name);
  }
  // Every group with more out than its budget has, one line each.
  std::vector<std::string> Overdrawn(const std::set<std::string>& out) const;
  const std::vector<Budget>& list() const { return budgets_; }

 private:
  struct Group {
    std::string name;
    int size = 0;
  };
  std::string Told(const Budget& budget, const Group& group, int out) const;
  static int Most(const Budget& budget, const Group& group) { return MostOut(budget, group.size); }

  const std::vector<Budget> budgets_;
  std::vector<std::vector<Group>> groups_;  // of each budget
  // By unit: the groups that it is in, as budget and place.
  std::unordered_map<std::string, std::vector<std::pair<std::size_t, std::size_t>>> of_;
};

}  // namespace umberdyke::rollout

#endif  // UMBERDYKE_ROLLOUT_BUDGET_H_

// The rules of [rollout]: budgets that let something go and not everything, and all that an agent needs to
// take a sidecar from one version to the next.
#include <algorithm>
#include <cmath>
#include <map>

#include "config/application.h"

namespace umberdyke::config {
namespace {

class RolloutChecker {
 public:
  RolloutChecker(const Application& app, Findings* findings) : app_(app), findings_(findings) {}

  void Run() {
    const RolloutText& rollout = app_.rollout;
    if (!app_.fleet.given)
      Tell(rollout.place, "rollout-without-fleet",
           "[rollout] is given, and there is no [fleet] whose agents could do it");
    for (const SidecarText& sidecar : app_.sidecars) {
      if (sidecar.console_spare.given || !sidecar.console.given) continue;
      Tell(sidecar.place, "spare-missing",
           "sidecar " + Quoted(sidecar.name.value) +
               " has no console_spare, where its next process would be asked");
    }
    for (const auto* path : {&rollout.program, &rollout.files, &rollout.run_folder}) {
      if (path->given && !path->value.empty() && path->value[0] != '/')
        Tell(path->place, "not-absolute", Quoted(path->value) + " is no absolute path");
    }
    bool sidecars = false;
    for (const RolloutText::Budget& budget : rollout.budgets) {
      sidecars = sidecars || budget.of.value == 0;
      Check(budget);
    }
    if (!sidecars)
      Tell(rollout.place, "budget-missing",
           "no [[rollout.budget]] is of sidecars, so that all might go out at once");
    const bool of_servers = std::any_of(rollout.budgets.begin(), rollout.budgets.end(),
                                        [](const RolloutText::Budget& b) { return b.of.value == 1; });
    if (!app_.servers.empty() && !of_servers)
      Tell(rollout.place, "budget-missing",
           "no [[rollout.budget]] is of servers, so that all might go out at once");
  }

 private:
  void Tell(const Place& place, std::string_view rule, std::string reason) {
    findings_->Add(app_.file, place, rule, std::move(reason));
  }

  std::string GroupOf(int by, const std::string& tier, const std::string& host,
                      const std::string& kind) const {
    switch (by) {
      case 1:
        return tier;
      case 2: {
        const HostText* text = app_.Host(host);
        return text == nullptr ? "" : text->zone.value;
      }
      case 3:
        return kind;
      case 4:
        return host;
      default:
        return "";
    }
  }

  void Check(const RolloutText::Budget& budget) {
    if (budget.most.given == budget.share.given) {
      return Tell(budget.place, "budget-form",
                  "a budget is either so many (most) or a share, and this one is " +
                      std::string(budget.most.given ? "both" : "neither"));
    }
    std::map<std::string, int> sizes;
    if (budget.of.value == 0) {
      for (const SidecarText& s : app_.sidecars)
        ++sizes[GroupOf(budget.by.value, s.tier.value, s.host.value, "")];
    } else {
      for (const ServerText& s : app_.servers)
        ++sizes[GroupOf(budget.by.value, s.tier.value, s.host.value, s.kind.value)];
    }
    if (budget.group.given && !sizes.contains(budget.group.value)) {
      return Tell(budget.group.place, "unknown-name",
                  std::string("there is no ") + kBudgetGroups[budget.by.value] + " " +
                      Quoted(budget.group.value) + " with " +
                      (budget.of.value == 0 ? "sidecars" : "servers"));
    }
    for (const auto& [group, size] : sizes) {
      if (budget.group.given && group != budget.group.value) continue;
      const int by_share =
          std::max(budget.share.value > 0 ? 1 : 0, static_cast<int>(std::floor(budget.share.value * size)));
      const auto most = static_cast<int>(budget.most.given ? budget.most.value : by_share);
      const int may = std::max(0, std::min(most, size - static_cast<int>(budget.least_ready.value)));
      const std::string of = std::to_string(size) + (budget.of.value == 0 ? " sidecars" : " servers") +
                             (group.empty() ? "" : " of " + Quoted(group));
      if (may == 0) return Tell(budget.place, "budget-none", "of the " + of + " none may ever be out");
      if (may >= size && size > 1)
        return Tell(budget.place, "budget-all", "the " + of + " may all be out at once");
    }
  }

  const Application& app_;
  Findings* const findings_;
};

}  // namespace

void CheckRollout(const Application& application, Findings* findings) {
  if (application.rollout.given) RolloutChecker(application, findings).Run();
}

}  // namespace umberdyke::config

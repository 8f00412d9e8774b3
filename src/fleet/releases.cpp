#include "fleet/releases.h"

#include <algorithm>
#include <utility>

#include "fleet/caller.h"
#include "owner/claim.h"

namespace umberdyke::fleet {
namespace {

using namespace std::chrono_literals;

rollout::State StateIn(Caller& caller, const Paths& paths, nodes::NodeStat* stat) {
  const auto journal = ReadJournal(caller.Get(paths.Journal("rollout"), nullptr, stat));
  if (const auto* bad = std::get_if<Unreadable>(&journal)) throw *bad;
  std::string why;
  auto state = rollout::ReadState(std::get<owner::Journal>(journal).state, &why);
  if (!state) throw Unreadable{why};
  return std::move(*state);
}

void NeedDuty(Caller& caller, const Service& service, const Paths& paths) {
  caller.CheckRoot();
  const auto duties = caller.Children(paths.Duties());
  if (std::find(duties.begin(), duties.end(), "rollout") == duties.end())
    throw Unreadable{"no agent under " + service.path + " has a [rollout]"};
}

std::string OwnerIn(Caller& caller, const Paths& paths) {
  std::pair<std::int64_t, std::string> first{INT64_MAX, ""};
  for (const std::string& name : caller.Children(paths.Claims("rollout"))) {
    if (const auto read = owner::ReadClaimName(name)) first = std::min(first, {read->number, name});
  }
  if (first.second.empty()) return "";
  const auto agent = ReadAgent(caller.Get(paths.Claims("rollout") + "/" + first.second));
  const auto* good = std::get_if<Agent>(&agent);
  return good == nullptr ? "" : good->host;
}

}  // namespace

std::variant<Releases, Unreadable> LookAtReleases(const Service& service) {
  try {
    Caller caller(service);
    const Paths paths{service.path};
    NeedDuty(caller, service, paths);
    Releases releases;
    nodes::NodeStat stat;
    releases.state = StateIn(caller, paths, &stat);
    if (stat.modified_ms > 0)
      releases.age_ms = std::max<std::int64_t>(0, nodes::WallMillis() - stat.modified_ms);
    std::string last;
    for (const rollout::Permit& permit : releases.state.permits) {
      if (permit.host == last) continue;
      last = permit.host;
      std::string why;
      const auto reports = rollout::ReadReports(caller.Get(paths.Reports(permit.host)), &why);
      if (!reports) throw Unreadable{why};
      for (const auto& [unit, report] : *reports) releases.reports[unit] = report;
    }
    releases.owner = OwnerIn(caller, paths);
    releases.wishes = caller.Children(paths.Wishes()).size();
    return releases;
  } catch (const Unreadable& why) {
    return why;
  }
}

std::variant<Answered, Unreadable> Ask(const Service& service, rollout::Wish wish) {
  try {
    Caller caller(service);
    const Paths paths{service.path};
    NeedDuty(caller, service, paths);
    wish.application = service.application;
    const std::string path = caller.CreateSequential(paths.Wishes() + "/r-", rollout::Print(wish));
    const std::string id = path.substr(path.rfind('/') + 1);
    try {
      for (;;) {
        const rollout::State state = StateIn(caller, paths, nullptr);
        for (const auto& [answered, refused] : state.answers) {
          if (answered == id) return Answered{id, refused};
        }
        caller.Rest(50ms);
      }
    } catch (const Unreadable& why) {
      // The wish stands, and would be done by an owner that comes when nobody wants it any more.
      try {
        Caller again(service);
        if (again.Do({{nodes::Op::Kind::kDelete, path, "", -1}}) == nodes::kOk)
          return Unreadable{"no owner answered, and the wish was taken back: " + why.why};
      } catch (const Unreadable&) {
      }
      return Unreadable{"the wish " + id + " was left, and what became of it is not known: " + why.why};
    }
  } catch (const Unreadable& why) {
    return why;
  }
}

}  // namespace umberdyke::fleet

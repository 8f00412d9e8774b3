#include "fleet/view.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "files/files.h"
#include "fleet/caller.h"
#include "owner/claim.h"

namespace umberdyke::fleet {
namespace {

using namespace std::chrono_literals;
using nodes::NodeStat;

template <typename T>
void Take(ReadAs<T> read, T* into, const std::string& path, std::vector<std::string>* troubles) {
  if (auto* good = std::get_if<T>(&read)) {
    *into = std::move(*good);
  } else {
    troubles->push_back(path + ": " + std::get<Unreadable>(read).why);
  }
}

// The claims in order, as the service stands.
std::vector<std::string> Standers(Caller& caller, const std::string& path) {
  std::vector<std::pair<std::int64_t, std::string>> order;
  for (const std::string& name : caller.Children(path)) {
    if (const auto read = owner::ReadClaimName(name)) order.emplace_back(read->number, name);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> names;
  for (auto& [number, name] : order) names.push_back(std::move(name));
  return names;
}

DutyView LookAt(Caller& caller, const Paths& paths, const std::string& duty) {
  DutyView view;
  view.name = duty;
  for (const std::string& name : Standers(caller, paths.Claims(duty))) {
    Stander stander;
    stander.name = name;
    NodeStat stat;
    bool there = false;
    const std::string path = paths.Claims(duty) + "/" + name;
    const std::string text = caller.Get(path, &there, &stat);
    if (!there) continue;  // it went while we looked
    Take(ReadAgent(text), &stander.agent, path, &view.troubles);
    stander.term = stat.created_zxid;
    view.standers.push_back(std::move(stander));
  }
  NodeStat stat;
  Take(ReadJournal(caller.Get(paths.Journal(duty), nullptr, &stat)), &view.journal, paths.Journal(duty),
       &view.troubles);
  if (stat.modified_ms > 0)
    view.journal_age_ms = std::max<std::int64_t>(0, nodes::WallMillis() - stat.modified_ms);
  Take(ReadHistory(caller.Get(paths.History(duty))), &view.history, paths.History(duty), &view.troubles);
  return view;
}

}  // namespace

std::variant<std::string, Unreadable> ReadAuth(const std::string& auth_file) {
  if (auth_file.empty()) return std::string();
  files::ReadResult read = files::ReadFile(auth_file, 4096);
  if (!read.error.empty()) return Unreadable{"auth_file: " + read.error};
  while (!read.text.empty() && (read.text.back() == '\n' || read.text.back() == '\r')) read.text.pop_back();
  if (read.text.find(':') == std::string::npos) return Unreadable{"auth_file holds no user:password"};
  return std::move(read.text);
}

std::variant<View, Unreadable> Look(const Service& service) {
  try {
    Caller caller(service);
    caller.CheckRoot();
    const Paths paths{service.path};
    View view;
    for (const std::string& host : caller.Children(paths.Agents())) {
      Agent agent;
      bool there = false;
      const std::string text = caller.Get(paths.Agent(host), &there);
      if (!there) continue;
      Take(ReadAgent(text), &agent, paths.Agent(host), &view.troubles);
      if (agent.host.empty()) agent.host = host;
      view.agents.push_back(std::move(agent));
    }
    view.hosts = caller.Children(paths.Hosts());
    for (const std::string& duty : caller.Children(paths.Duties()))
      view.duties.push_back(LookAt(caller, paths, duty));
    NodeStat stat;
    bool there = false;
    view.census_text = caller.Get(paths.Census(), &there, &stat);
    if (there && !view.census_text.empty()) {
      Census census;
      const size_t before = view.troubles.size();
      Take(ReadCensus(view.census_text), &census, paths.Census(), &view.troubles);
      if (view.troubles.size() == before) view.census = std::move(census);
      view.census_age_ms = std::max<std::int64_t>(0, nodes::WallMillis() - stat.modified_ms);
    }
    view.sites_text = caller.Get(paths.Sites(), &there, &stat);
    if (there && !view.sites_text.empty())
      view.sites_age_ms = std::max<std::int64_t>(0, nodes::WallMillis() - stat.modified_ms);
    return view;
  } catch (const Unreadable& why) {
    return why;
  }
}

std::variant<Resigned, Unreadable> AskToResign(const Service& service, const std::string& duty) {
  try {
    Caller caller(service);
    caller.CheckRoot();
    const Paths paths{service.path};
    const std::vector<std::string> duties = caller.Children(paths.Duties());
    if (std::find(duties.begin(), duties.end(), duty) == duties.end()) {
      return Unreadable{"there is no duty " + duty + " under " + service.path};
    }
    const DutyView before = LookAt(caller, paths, duty);
    if (before.standers.empty()) return Unreadable{"nobody owns " + duty};
    const owner::Term term = before.standers.front().term;
    // The wish holds for this owner and no other; written with its claim still there, or not at all.
    const std::string claim = paths.Claims(duty) + "/" + before.standers.front().name;
    bool there = false;
    caller.Get(paths.Resign(duty), &there);
    const nodes::Op wish{there ? nodes::Op::Kind::kSet : nodes::Op::Kind::kCreate, paths.Resign(duty),
                         PrintResign(term), -1};
    const int rc = caller.Do({{nodes::Op::Kind::kCheck, claim, "", -1}, wish});
    if (rc != nodes::kOk) return Unreadable{"the wish could not be left: " + nodes::ErrorText(rc)};
    for (;;) {
      const DutyView now = LookAt(caller, paths, duty);
      if (now.standers.empty()) return Resigned{term, 0, ""};
      const Stander& owner = now.standers.front();
      const bool took_over =
          owner.term != term && !now.history.empty() && now.history.back().term == owner.term;
      if (took_over) return Resigned{term, owner.term, owner.agent.host};
      caller.Rest(50ms);
    }
  } catch (const Unreadable& why) {
    return why;
  }
}

}  // namespace umberdyke::fleet

#include "agent/tidying.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace umberdyke::agent {

using Json = nlohmann::json;
using nodes::NodeStat;
using nodes::Op;

namespace {

constexpr size_t kMostAtOnce = 32;  // of one step; the rest follows in the next

}  // namespace

// A round of reading: what was asked and has not answered keeps it open.
struct TidyingDuty::Search {
  std::uint64_t run = 0;
  size_t open = 1;
  bool broken = false;
  std::vector<Found> found;
  std::function<void(Search&)> done;
  void Over() {
    if (--open == 0) done(*this);
  }
};

TidyingDuty::TidyingDuty(nodes::NodeClient& client, const config::AgentFile& settings,
                         const fleet::Paths& paths, std::vector<std::string> duties, net::Counters& counters)
    : client_(client), settings_(settings), paths_(paths), duties_(std::move(duties)), counters_(counters) {}

// The node as it stands; `by_owner`: it is nobody's where no session owns it, else whoever asks has said so.
void TidyingDuty::Look(const std::shared_ptr<Search>& search, const std::string& path, bool by_owner) {
  ++search->open;
  const std::weak_ptr<char> alive = alive_;
  client_.Read(path,
               [this, alive, search, path, by_owner](int rc, const std::string& data, const NodeStat& stat) {
                 if (alive.expired() || search->run != run_) return;
                 if (rc == nodes::kOk) {
                   search->found.push_back({path, data, stat.version, !by_owner || stat.owner == 0});
                 } else if (rc != nodes::kNoNode) {
                   search->broken = true;
                 }
                 search->Over();
               });
}

void TidyingDuty::Prepare(const owner::Journal& journal,
                          std::function<void(std::optional<std::string>)> done) {
  ++run_;
  if (!journal.committed) return done("");  // its plan stands
  auto search = std::make_shared<Search>();
  search->run = run_;
  search->done = [this, done](Search& over) {
    if (over.broken) return done(std::nullopt);
    std::string plan = Plan(over.found);
    if (plan.empty()) return done(std::nullopt);
    done(std::move(plan));
  };
  const std::weak_ptr<char> alive = alive_;
  const auto names = [&](const std::string& path, std::function<void(const std::string& name)> each) {
    ++search->open;
    client_.Names(path,
                  [this, alive, search, each](int rc, const std::vector<std::string>& all, const NodeStat&) {
                    if (alive.expired() || search->run != run_) return;
                    if (rc != nodes::kOk && rc != nodes::kNoNode) search->broken = true;
                    for (const std::string& name : all) each(name);
                    search->Over();
                  });
  };
  const auto ephemeral = [&](const std::string& path) {
    names(path, [this, search, path](const std::string& name) { Look(search, path + "/" + name, true); });
  };
  client_.Sync(paths_.base, [](int) {});
  ephemeral(paths_.Agents());
  for (const std::string& path : settings_.registers) ephemeral(path);
  for (const std::string& duty : duties_) {
    ephemeral(paths_.Claims(duty));
    // A wish that its owner has not taken for a while is for one that has gone.
    Look(search, paths_.Resign(duty), false);
  }
  names(paths_.Hosts(), [this, search](const std::string& host) {
    const auto& hosts = settings_.hosts;
    if (std::find(hosts.begin(), hosts.end(), host) != hosts.end()) return;
    // Described no longer; while its agent lives it is somebody's all the same.
    ++search->open;
    client_.Exists(paths_.Agent(host), false, [this, search, host](int rc, const NodeStat&) {
      if (search->run != run_) return;
      if (rc == nodes::kNoNode) Look(search, paths_.Host(host), false);
      search->Over();
    });
  });
  search->Over();
}

std::string TidyingDuty::Plan(const std::vector<Found>& found) {
  Json steps = Json::array();
  std::map<std::string, std::pair<int, net::Time>> still;
  for (const Found& one : found) {
    if (!one.nobodys) continue;
    const auto it = marked_.find(one.path);
    const bool same = it != marked_.end() && it->second.first == one.version;
    if (same) still[one.path] = it->second;
    if (steps.size() >= kMostAtOnce) continue;
    if (!same) {
      steps.push_back({{"what", "mark"}, {"path", one.path}, {"version", one.version}});
    } else if (net::Clock::now() - it->second.second >= settings_.tidy_after) {
      steps.push_back({{"what", "remove"}, {"path", one.path}, {"version", one.version}});
    }
  }
  marked_ = std::move(still);
  return steps.empty() ? "" : steps.dump();
}

void TidyingDuty::Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) {
  ++run_;
  const Json plan = Json::parse(work.plan, nullptr, false);
  auto search = std::make_shared<Search>();
  search->run = run_;
  search->done = [this, plan, may_act, done, state = work.state](Search& over) {
    Done result;
    result.state = state;
    if (over.broken || !may_act()) {
      result.why = over.broken ? "the service does not answer" : "its time to act is over";
      return done(std::move(result));
    }
    // Each node as it stands now against the plan: what has changed since is somebody's, or is done already.
    for (const Json& step : plan) {
      const std::string path = step.value("path", "");
      const int version = step.value("version", -1);
      const auto it =
          std::find_if(over.found.begin(), over.found.end(), [&](const Found& f) { return f.path == path; });
      if (it == over.found.end() || !it->nobodys || it->version != version) continue;
      if (step.value("what", "") == "remove") {
        result.with.push_back({Op::Kind::kDelete, path, "", version});
        counters_.Add("tidied");
      } else {
        result.with.push_back({Op::Kind::kSet, path, it->data, version});
        marked_[path] = {version + 1, net::Clock::now()};
        counters_.Add("tidying_marked");
      }
    }
    result.worked = true;
    done(std::move(result));
  };
  if (plan.is_array()) {
    for (const Json& step : plan) {
      const std::string path = step.value("path", "");
      const bool host = path.starts_with(paths_.Hosts() + "/"), wish = path.ends_with("/resign");
      if (!path.empty()) Look(search, path, !host && !wish);
    }
  }
  search->Over();
}

}  // namespace umberdyke::agent

#include "agent/rollout.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "fleet/layout.h"
#include "platform/server_pages.h"
#include "sites/plan.h"

namespace umberdyke::agent {

using nodes::NodeStat;
using nodes::Op;

namespace {

std::uint64_t SumOf(const Said& said, std::string_view prefix) {
  std::uint64_t sum = 0;
  for (const auto& [name, value] : said.lines) {
    if (!name.starts_with(prefix)) continue;
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    sum += number;
  }
  return sum;
}

std::vector<std::uint64_t> ListIn(const Said& said, std::string_view name) {
  std::vector<std::uint64_t> numbers;
  const auto it = said.lines.find(name);
  if (it == said.lines.end()) return numbers;
  const char* at = it->second.data();
  const char* end = at + it->second.size();
  while (at < end) {
    std::uint64_t number = 0;
    const auto [next, error] = std::from_chars(at, end, number);
    if (error != std::errc()) break;
    numbers.push_back(number);
    at = next == end ? end : next + 1;
  }
  return numbers;
}

std::map<std::string, std::vector<rollout::Permit>> ByHost(const rollout::State& state) {
  std::map<std::string, std::vector<rollout::Permit>> by_host;
  for (const rollout::Permit& permit : state.permits) by_host[permit.host].push_back(permit);
  return by_host;
}

rollout::Layout Wrongly(rollout::Layout layout, const WrongRollout& wrong) {
  if (!wrong.one_too_many) return layout;
  for (rollout::Budget& budget : layout.budgets) {
    if (budget.most >= 0) ++budget.most;
  }
  return layout;
}

}  // namespace

RolloutDuty::RolloutDuty(net::Loop& loop, nodes::NodeClient& client, const config::AgentFile& settings,
                         const fleet::Paths& paths, net::Counters& counters, log::Log& log,
                         WrongRollout wrong)
    : client_(client),
      settings_(settings),
      paths_(paths),
      counters_(counters),
      log_(log),
      wrong_(wrong),
      sidecars_(loop, settings, counters),
      rollout_(Wrongly(fleet::LayoutOf(settings), wrong)) {}

void RolloutDuty::Stop() {
  ++run_;
  sidecars_.Drop();
  // Whoever owns it next, this one included, counts anew.
  rollout_.Forget();
  looked_ = {};
}

// --- One look ---

void RolloutDuty::Over(const Shared& reading, std::function<void()> next) {
  if (--reading->open > 0) return;
  if (!reading->broken) return next();
  counters_.Add("rollout_unread");
  if (!reading->why.empty())
    log_.Say(log::Event::kFleetRefused, "releases stand still: " + reading->why, {{"why", reading->why}});
  reading->done(std::nullopt);
}

void RolloutDuty::Names(const Shared& reading, const std::string& path,
                        std::function<void(const std::string&)> each) {
  ++reading->open;
  const std::weak_ptr<char> alive = alive_;
  client_.Names(path, [this, alive, run = run_, reading, each](int rc, const auto& names, const NodeStat&) {
    if (alive.expired() || run != run_) return;
    if (rc != nodes::kOk && rc != nodes::kNoNode) reading->broken = true;
    for (const std::string& name : names) each(name);
    each("");  // the last
  });
}

void RolloutDuty::Text(const Shared& reading, const std::string& path,
                       std::function<void(bool, const std::string&, const NodeStat&)> take) {
  const std::weak_ptr<char> alive = alive_;
  client_.Read(
      path, [this, alive, run = run_, reading, take](int rc, const std::string& text, const NodeStat& stat) {
        if (alive.expired() || run != run_) return;
        if (rc != nodes::kOk && rc != nodes::kNoNode) reading->broken = true;
        take(rc == nodes::kOk, text, stat);
      });
}

void RolloutDuty::Prepare(const owner::Journal& journal,
                          std::function<void(std::optional<std::string>)> done) {
  ++run_;
  before_.reset();  // what an earlier look led to is no step any more
  const auto reading = std::make_shared<Reading>();
  reading->done = std::move(done);
  reading->state_text = journal.state;
  std::string why;
  auto state = rollout::ReadState(journal.state, &why);
  if (!state) {
    reading->broken = true;
    reading->why = why;
    return Over(reading, [] {});
  }
  reading->state = std::move(*state);
  client_.Sync(paths_.Rollout(), [](int) {});
  ReadWishes(reading);
}

void RolloutDuty::ReadWishes(const Shared& reading) {
  const auto next = [this, reading] {
    // At rest nobody is asked for anything.
    if (reading->state.jobs.empty() && reading->state.permits.empty() && reading->wishes.empty()) {
      rollout_.Forget();
      looked_ = {};
      Keep(*reading, reading->state);
      return reading->done(std::nullopt);
    }
    reading->open = 1;
    ReadReports(reading);
  };
  Names(reading, paths_.Wishes(), [this, reading, next](const std::string& name) {
    if (name.empty()) return Over(reading, next);
    reading->wishes.push_back(name);
    ++reading->open;
    Text(reading, paths_.Wishes() + "/" + name,
         [this, reading, next, name](bool there, const std::string& text, const NodeStat&) {
           std::string why;
           auto wish = there ? rollout::ReadWish(text, &why) : std::nullopt;
           if (!wish && there) {
             wish = rollout::Wish();  // answered with why
             wish->why = why;
           }
           if (wish) {
             wish->id = name;
             reading->look.wishes.push_back(std::move(*wish));
           }
           Over(reading, next);
         });
  });
  Over(reading, next);
}

// Before anybody is asked how it is: what hosts say has happened by then.
void RolloutDuty::ReadReports(const Shared& reading) {
  const auto next = [this, reading] {
    std::sort(reading->look.wishes.begin(), reading->look.wishes.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    reading->open = 1;
    LookAtAll(reading);
  };
  Names(reading, paths_.Permits(), [this, reading, next](const std::string& name) {
    if (name.empty()) return Over(reading, next);
    reading->permit_nodes.insert(name);
  });
  for (const auto& [host, permits] : ByHost(reading->state)) {
    ++reading->open;
    Text(reading, paths_.Reports(host),
         [this, reading, next](bool there, const std::string& text, const NodeStat&) {
           std::string why;
           auto reports = rollout::ReadReports(there ? text : "", &why);
           if (!reports) {
             reading->broken = true;
             reading->why = why;
           } else {
             for (auto& [unit, report] : *reports) reading->look.reports[unit] = std::move(report);
           }
           Over(reading, next);
         });
  }
  if (settings_.sites) {
    ++reading->open;
    Text(reading, paths_.Sites(),
         [this, reading, next](bool there, const std::string& text, const NodeStat&) {
           const auto& zones = settings_.sites->zones;
           const auto read = sites::ReadDirective(there ? text : "", settings_.application, zones);
           if (const auto* directive = std::get_if<sites::Directive>(&read)) {
             for (const int zone : directive->lost)
               reading->look.lost_zones.push_back(zones[static_cast<std::size_t>(zone)]);
           }
           Over(reading, next);
         });
  }
  Over(reading, next);
}

void RolloutDuty::LookAtAll(const Shared& reading) {
  const auto next = [this, reading] { Decide(reading); };
  const std::weak_ptr<char> alive = alive_;
  ++reading->open;
  sidecars_.Ask([this, alive, run = run_, reading, next] {
    if (alive.expired() || run != run_) return;
    for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
      if (const Said* said = sidecars_.Of(sidecar.name); said != nullptr)
        reading->look.sights[sidecar.name] = SeenOf(*said);
    }
    Over(reading, next);
  });
  for (const config::AgentFile::Server& server : settings_.real_servers) {
    ++reading->open;
    Text(
        reading, server.nodes + "/" + server.name,
        [this, reading, next, name = server.name](bool there, const std::string& text, const NodeStat& stat) {
          const auto node = there ? net::ParseServerNode(text) : std::nullopt;
          rollout::Seen& seen = reading->look.sights[name];
          seen.heard = true;  // the service answered; without a node it is down
          seen.able = node && !node->draining;
          seen.life = std::to_string(stat.created_zxid);
          Over(reading, next);
        });
  }
  Over(reading, next);
}

rollout::Seen RolloutDuty::SeenOf(const Said& said) const {
  rollout::Seen seen;
  seen.heard = true;
  seen.able = said.Text("state") == "serving";
  seen.label = said.Text("release");
  seen.life = said.Text("life");
  seen.up = rollout::milliseconds(std::max<std::int64_t>(0, said.Number("up_ms")));
  const std::uint64_t bad = SumOf(said, "error.") + SumOf(said, "overload.");
  seen.answered = SumOf(said, "success.") + bad;
  seen.bad = bad;
  seen.slower = ListIn(said, "slower");
  seen.resident_kb = static_cast<std::uint64_t>(std::max<std::int64_t>(0, said.Number("resident_kb")));
  return seen;
}

void RolloutDuty::Decide(const Shared& reading) {
  const net::Time now = net::Clock::now();
  if (looked_ != net::Time())
    reading->look.since = std::chrono::duration_cast<rollout::milliseconds>(now - looked_);
  looked_ = now;
  if (wrong_.forgets) {
    for (auto& [unit, seen] : reading->look.sights) {
      const auto report = reading->look.reports.find(unit);
      if (report == reading->look.reports.end()) continue;
      // As if it were back as soon as it goes.
      report->second.said = rollout::Said::kDone;
      seen.able = true;
      seen.up = rollout::milliseconds(1'000'000);
      if (const auto* permit = rollout::PermitOf(reading->state, unit)) seen.label = permit->to.label;
    }
  }
  rollout::State after = rollout_.Decide(reading->state, reading->look);
  if (wrong_.twice) {
    for (rollout::Permit& permit : after.permits) {
      if (rollout::PermitOf(reading->state, permit.unit) != nullptr) permit.serial = ++after.serial;
    }
  }
  if (wrong_.never_back) {
    std::erase_if(after.permits, [](const rollout::Permit& p) { return p.action == rollout::Do::kBack; });
  }
  const bool same = after == reading->state && reading->wishes.empty();
  Keep(*reading, std::move(after));
  reading->done(same ? std::nullopt : std::optional<std::string>(""));
}

void RolloutDuty::Keep(const Reading& reading, rollout::State after) {
  before_ = reading.state_text;
  after_ = std::move(after);
  wishes_ = reading.wishes;
  permit_nodes_ = reading.permit_nodes;
}

// --- The step ---

void RolloutDuty::Do(const Work& work, std::function<bool()> /*may_act*/, std::function<void(Done)> done) {
  Done result;
  if (!before_ || work.state != *before_) {  // nothing was decided on the state that this one is to follow
    result.why = "the state is another one";
    return done(std::move(result));
  }
  std::string why;
  const auto before = rollout::ReadState(work.state, &why);
  const auto old = before ? ByHost(*before) : std::map<std::string, std::vector<rollout::Permit>>();
  const auto now = ByHost(after_);
  std::set<std::string> hosts;
  for (const auto* all : {&old, &now}) {
    for (const auto& [host, permits] : *all) hosts.insert(host);
  }
  const auto of = [](const auto& all, const std::string& host) {
    const auto it = all.find(host);
    return it == all.end() ? std::vector<rollout::Permit>() : it->second;
  };
  for (const std::string& host : hosts) {
    const auto permits = of(now, host);
    if (permits == of(old, host)) continue;
    const bool there = permit_nodes_.contains(host);
    result.with.push_back({there ? Op::Kind::kSet : Op::Kind::kCreate, paths_.Permits(host),
                           rollout::PrintPermits(permits), -1});
  }
  for (const std::string& wish : wishes_)
    result.with.push_back({Op::Kind::kDelete, paths_.Wishes() + "/" + wish, "", -1});
  result.worked = true;
  result.state = rollout::Print(after_);
  if (result.state.size() > fleet::kLargestRecord / 2) {
    result.worked = false;
    result.why = "the state of releases is too large";
  }
  std::string told;
  for (const rollout::Job& job : after_.jobs)
    told += job.id + " " + rollout::Name(job.phase) + " wave " + std::to_string(job.wave + 1) + " " +
            job.reason + "; ";
  if (told != told_) {
    log_.Say(log::Event::kRollout, "releases: " + (told.empty() ? "none under way" : told), {{"jobs", told}});
    told_ = told;
  }
  for (std::int64_t i = before ? before->serial : after_.serial; i < after_.serial; ++i)
    counters_.Add("permits_granted");
  done(std::move(result));
}

}  // namespace umberdyke::agent

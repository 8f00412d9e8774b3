#include "agent/census.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::agent {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr net::Span kCallTime = 1s;
constexpr size_t kMostRemembered = 2000;  // names in the duty's state

std::int64_t Number(const std::map<std::string, std::string, std::less<>>& lines, std::string_view name) {
  const auto it = lines.find(name);
  std::int64_t number = -1;
  if (it != lines.end()) std::from_chars(it->second.data(), it->second.data() + it->second.size(), number);
  return number;
}

std::string Text(const std::map<std::string, std::string, std::less<>>& lines, std::string_view name) {
  const auto it = lines.find(name);
  return it == lines.end() ? "" : it->second.substr(0, 64);
}

}  // namespace

CensusDuty::CensusDuty(net::Loop& loop, const config::AgentFile& settings, const fleet::Paths& paths,
                       net::Counters& counters)
    : settings_(settings), paths_(paths), counters_(counters), client_(loop) {}

void CensusDuty::Prepare(const owner::Journal& /*journal*/,
                         std::function<void(std::optional<std::string>)> done) {
  client_.Drop();
  seen_.clear();
  if (settings_.sidecars.empty()) return done("");
  const auto left = std::make_shared<size_t>(settings_.sidecars.size());
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    client_.Call(sidecar.console, net::FleetRequest(), kCallTime,
                 [this, left, done, name = sidecar.name](ConsoleAnswer answer) {
                   if (answer.status == 200) {
                     Seen seen;
                     seen.lines = ReadLines(answer.body);
                     // Another sidecar at that address, or another application's, is not the one that is
                     // meant.
                     const bool same = Text(seen.lines, "name") == name &&
                                       Text(seen.lines, "application") == settings_.application;
                     if (same) seen.life = Text(seen.lines, "life");
                     counters_.Add(same ? "consoles_asked" : "consoles_of_others");
                     if (same) seen_[name] = std::move(seen);
                   } else {
                     counters_.Add("consoles_silent");
                   }
                   if (--*left == 0) done("");
                 });
  }
}

fleet::Census CensusDuty::Sum(const Work& work) const {
  const Json before = Json::parse(work.state, nullptr, false);
  fleet::Census census;
  census.term = work.term;
  census.step = work.step;
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    fleet::CensusEntry entry;
    entry.name = sidecar.name;
    entry.zone = sidecar.zone;
    entry.tier = sidecar.tier;
    entry.host = sidecar.host;
    const auto it = seen_.find(sidecar.name);
    if (it == seen_.end()) {
      entry.state = "unknown";
      const bool counted =
          before.is_object() && before.contains(sidecar.name) && before[sidecar.name].is_number();
      entry.unknown_steps = 1 + (counted ? before[sidecar.name].get<std::int64_t>() : 0);
    } else {
      const auto& lines = it->second.lines;
      entry.state = Text(lines, "state");
      entry.version = Text(lines, "version");
      entry.targets = Number(lines, "targets");
      entry.targets_disabled = Number(lines, "targets_disabled");
      entry.concurrent = Number(lines, "concurrent");
    }
    census.sidecars.push_back(std::move(entry));
  }
  return census;
}

void CensusDuty::Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) {
  const fleet::Census census = Sum(work);
  auto result = std::make_shared<Done>();
  result->worked = true;
  result->with.push_back({nodes::Op::Kind::kSet, paths_.Census(), fleet::Print(census), -1});
  Json state = Json::object();
  for (const fleet::CensusEntry& entry : census.sidecars) {
    if (entry.unknown_steps > 0 && state.size() < kMostRemembered) state[entry.name] = entry.unknown_steps;
  }
  result->state = state.dump();
  const std::string text = fleet::Print(census, net::kLongestNote);
  const auto left = std::make_shared<size_t>(1);
  const auto one_less = [left, result, done] {
    if (--*left == 0) done(std::move(*result));
  };
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    const auto it = seen_.find(sidecar.name);
    if (it == seen_.end() || it->second.life.empty()) continue;
    if (!may_act()) {  // what is left out is the next owner's
      result->worked = false;
      result->why = "its time to act is over";
      break;
    }
    ++*left;
    const net::FleetOrder order{"census", settings_.application, it->second.life, work.term, work.step, text};
    client_.Call(sidecar.console, net::OrderRequest(order), kCallTime,
                 [this, one_less, result](ConsoleAnswer answer) {
                   const auto lines = ReadLines(answer.body);
                   if (answer.status == 200) {
                     counters_.Add("orders_sent");
                   } else if (answer.status == 409 && Text(lines, "verdict") == "of an older term") {
                     result->worked = false;
                     result->replaced = true;
                   } else {
                     counters_.Add(answer.status == 0 ? "orders_unanswered"
                                                      : "orders_refused");  // the next census asks it again
                   }
                   one_less();
                 });
  }
  one_less();
}

}  // namespace umberdyke::agent

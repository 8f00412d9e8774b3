#include "agent/census.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::agent {
namespace {

using Json = nlohmann::json;

constexpr size_t kMostRemembered = 2000;  // names in the duty's state

}  // namespace

CensusDuty::CensusDuty(net::Loop& loop, const config::AgentFile& settings, const fleet::Paths& paths,
                       net::Counters& counters)
    : settings_(settings), paths_(paths), sidecars_(loop, settings, counters) {}

void CensusDuty::Prepare(const owner::Journal& /*journal*/,
                         std::function<void(std::optional<std::string>)> done) {
  sidecars_.Ask([done] { done(""); });
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
    const Said* said = sidecars_.Of(sidecar.name);
    if (said == nullptr) {
      entry.state = "unknown";
      const bool counted =
          before.is_object() && before.contains(sidecar.name) && before[sidecar.name].is_number();
      entry.unknown_steps = 1 + (counted ? before[sidecar.name].get<std::int64_t>() : 0);
    } else {
      entry.state = said->Text("state");
      entry.version = said->Text("version");
      entry.targets = said->Number("targets");
      entry.targets_disabled = said->Number("targets_disabled");
      entry.concurrent = said->Number("concurrent");
    }
    census.sidecars.push_back(std::move(entry));
  }
  return census;
}

void CensusDuty::Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) {
  const fleet::Census census = Sum(work);
  Done result;
  result.worked = true;
  result.with.push_back({nodes::Op::Kind::kSet, paths_.Census(), fleet::Print(census), -1});
  Json state = Json::object();
  for (const fleet::CensusEntry& entry : census.sidecars) {
    if (entry.unknown_steps > 0 && state.size() < kMostRemembered) state[entry.name] = entry.unknown_steps;
  }
  result.state = state.dump();
  sidecars_.Order("census", work, fleet::Print(census, net::kMaxNoteBytes), std::move(may_act),
                  std::move(result), std::move(done));
}

}  // namespace umberdyke::agent

#include "sites/decide.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace umberdyke::sites {

using Json = nlohmann::json;

std::string Print(const Standing& standing) {
  Json json = Json::array();
  for (const auto& [zone, z] : standing.zones)
    json.push_back({{"zone", zone}, {"lost", z.lost}, {"step", z.step}, {"held_ms", z.held.count()}});
  return json.dump();
}

Standing ReadStanding(std::string_view text) {
  Standing standing;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) return standing;
  for (const Json& one : json) {
    if (!one.is_object()) continue;
    const int zone = one.value("zone", -1);
    if (zone < 0 || static_cast<std::size_t>(zone) >= kMostZones) continue;
    standing.zones[zone] = {one.value("lost", false), one.value("step", std::size_t{0}),
                            milliseconds(one.value("held_ms", std::int64_t{0}))};
  }
  return standing;
}

Standing Decide(const std::vector<Report>& reports, const Plan& plan, const Standing& before,
                milliseconds since) {
  Standing after;
  const int zones = static_cast<int>(plan.zones.size());
  std::vector<int> say_lost(plan.zones.size()), say(plan.zones.size());
  for (const Report& report : reports) {
    for (int zone = 0; zone < zones && !report.cut_off; ++zone) {
      const auto z = static_cast<std::size_t>(zone);
      if (report.zone == zone || z >= report.states.size() || !report.states[z]) continue;
      ++say[z];
      if (report.states[z] == State::kLost) ++say_lost[z];
    }
  }
  std::size_t lost = 0;
  for (int zone = 0; zone < zones; ++zone) {
    const auto z = static_cast<std::size_t>(zone);
    const auto was = before.zones.find(zone);
    if (2 * say_lost[z] > say[z]) {
      after.zones[zone].lost = true;
      ++lost;
      continue;
    }
    if (was == before.zones.end()) continue;
    if (say[z] == 0) {  // nobody can tell: it stays as it was
      after.zones[zone] = was->second;
      lost += was->second.lost ? 1 : 0;
      continue;
    }
    Standing::Zone next = was->second;
    if (next.lost) {
      next = {};
    } else {
      next.held += since;
    }
    if (next.step < plan.back.size() && next.held >= plan.back[next.step].hold) {
      ++next.step;
      next.held = milliseconds(0);
    }
    if (next.step < plan.back.size()) after.zones[zone] = next;
  }
  // Whoever says that every zone is lost knows nothing.
  if (lost == plan.zones.size()) after.zones.clear();
  return after;
}

Directive DirectiveOf(const Standing& standing, const Plan& plan) {
  Directive directive;
  directive.application = plan.application;
  for (const auto& [zone, z] : standing.zones) {
    if (zone >= static_cast<int>(plan.zones.size())) continue;
    if (z.lost) {
      directive.lost.push_back(zone);
    } else if (z.step < plan.back.size()) {
      directive.returning[zone] = plan.back[z.step].part;
    }
  }
  return directive;
}

}  // namespace umberdyke::sites

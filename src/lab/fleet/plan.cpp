#include "lab/fleet/plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace umberdyke::lab {

using Json = nlohmann::ordered_json;
using Of = FaultKind::Of;

const std::vector<FaultKind>& FaultKinds() {
  static const std::vector<FaultKind> kinds = {
      {"kill-agent", 2, 100, 900, Of::kAgent, "SIGKILL, and started again after the time"},
      {"end-agent", 1, 100, 900, Of::kAgent, "SIGTERM, and started again after the time"},
      {"stop-agent", 2, 300, 1800, Of::kAgent, "SIGSTOP, and woken after the time"},
      {"late-agent", 4, 900, 2200, Of::kAgent,
       "its calls to the consoles are held, then it is stopped; woken after half the time, let go after all "
       "of it"},
      {"hold-consoles", 2, 300, 1800, Of::kAgent, "its links to the consoles are held"},
      {"cut-consoles", 1.5, 200, 1200, Of::kAgent, "its links to the consoles are refused"},
      {"slow-consoles", 1, 300, 1200, Of::kAgent, "its links to the consoles are late, and narrow"},
      {"hold-service", 2.5, 200, 1800, Of::kAgent, "its links to the service are held"},
      {"cut-service", 2, 200, 1500, Of::kAgent, "its links to the service are refused"},
      {"slow-service", 1, 300, 1200, Of::kAgent, "its links to the service are late"},
      {"kill-sidecar", 1.5, 50, 400, Of::kSidecar, "SIGKILL, and started again after the time"},
      {"end-sidecar", 1, 50, 400, Of::kSidecar, "SIGTERM, and started again once it has ended"},
      {"cut-sidecar", 1, 200, 1200, Of::kSidecar, "its links to the service are refused"},
      {"lag-member", 1, 300, 1500, Of::kMember, "it knows of commits 150 ms later"},
      {"cut-member", 1.5, 300, 1500, Of::kMember, "it is cut off from the leader, and answers reads"},
      {"silent-member", 1, 200, 1000, Of::kMember, "it answers nothing"},
      {"no-majority", 0.7, 200, 900, Of::kService, "nobody is served"},
      {"new-leader", 1, 0, 0, Of::kService, "all connections break, and a new epoch begins"},
      {"lose-answer", 2, 0, 0, Of::kService, "the next write is committed and its answer lost"},
      {"expire-owner", 1.5, 0, 0, Of::kAgent, "the session of its claim is ended"},
      {"remove-claim", 1.5, 0, 0, Of::kAgent, "its claim is removed by hand, its session lives"},
      {"wish", 1.5, 0, 0, Of::kAgent, "an operator wishes that the owner resigns"},
      {"storm", 0.5, 50, 300, Of::kService, "all agents are killed, and started at once after the time"},
  };
  return kinds;
}

const std::vector<FaultKind>& SiteFaultKinds() {
  static const std::vector<FaultKind> kinds = {
      {"kill-site", 3, 1500, 3500, Of::kZone, "all its processes killed, and started again after the time"},
      {"stop-site", 2, 1500, 3000, Of::kZone, "all its processes stopped, and woken after the time"},
      {"cut-site", 3, 1500, 3500, Of::kZone, "its links to the others and to the service are held"},
      {"cut-servers", 2, 1500, 3000, Of::kZone, "its servers' links alone are held, from all zones"},
      {"kill-servers", 2, 1000, 3000, Of::kZone, "its servers alone are killed, and come back cold"},
      {"half-site", 1.5, 1500, 3000, Of::kZone, "half of its servers' links are held"},
      {"flap-site", 1.5, 2500, 4000, Of::kZone, "its servers are stopped and woken every 700 ms"},
  };
  return kinds;
}

const std::vector<FaultKind>& RolloutFaultKinds() {
  static const std::vector<FaultKind> kinds = {
      {"kill-agent", 4, 100, 1500, Of::kAgent, "SIGKILL, and started again after the time"},
      {"end-agent", 1, 100, 900, Of::kAgent, "SIGTERM, and started again after the time"},
      {"stop-agent", 4, 300, 2500, Of::kAgent, "SIGSTOP, and woken after the time"},
      {"hold-consoles", 1, 300, 1800, Of::kAgent, "its links to the other hosts' consoles are held"},
      {"cut-consoles", 1, 200, 1200, Of::kAgent, "its links to the other hosts' consoles are refused"},
      {"slow-consoles", 1, 300, 1200, Of::kAgent,
       "its links to the other hosts' consoles are late, and narrow"},
      {"hold-service", 2, 200, 1800, Of::kAgent, "its links to the service are held"},
      {"cut-service", 2, 200, 1500, Of::kAgent, "its links to the service are refused"},
      {"slow-service", 1, 300, 1200, Of::kAgent, "its links to the service are late"},
      {"kill-sidecar", 1, 50, 400, Of::kSidecar,
       "SIGKILL where the bed runs it, and started again after the time"},
      {"kill-server", 1, 200, 900, Of::kServer, "SIGKILL, and started again after the time"},
      {"lag-member", 1, 300, 1500, Of::kMember, "it knows of commits 150 ms later"},
      {"cut-member", 1, 300, 1500, Of::kMember, "it is cut off from the leader, and answers reads"},
      {"no-majority", 0.7, 200, 2500, Of::kService, "nobody is served"},
      {"new-leader", 1, 0, 0, Of::kService, "all connections break, and a new epoch begins"},
      {"lose-answer", 2, 0, 0, Of::kService, "the next write is committed and its answer lost"},
      {"expire-owner", 1, 0, 0, Of::kAgent, "the session of its claim is ended"},
      {"remove-claim", 1, 0, 0, Of::kAgent, "its claim is removed by hand, its session lives"},
      {"storm", 0.5, 50, 300, Of::kService, "all agents are killed, and started at once after the time"},
      {"wish-halt", 0.7, 300, 1200, Of::kService, "an operator halts it, and resumes after the time"},
      {"wish-back", 0.5, 0, 0, Of::kService, "an operator takes it back"},
  };
  return kinds;
}

BedPlan QuietRollout(const std::string& rollout, const std::string& version, int strike_write,
                     const std::string& strike) {
  BedPlan plan;
  plan.rollout = rollout;
  plan.version = version;
  plan.strike_write = strike_write;
  plan.strike = strike;
  plan.sidecars = 16;
  plan.agents = 5;
  plan.servers = 24;
  plan.census_ms = 500;
  plan.tidy_ms = 1000;
  plan.length_ms = 1500;
  plan.rate = version == "errors" || version == "slow" ? 200 : version == "mixed" ? 120 : 80;
  return plan;
}

BedPlan DrawRolloutPlan(std::uint64_t seed) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 5);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
  const auto between = [&](int least, int most) {
    return least + static_cast<int>(unit() * (most - least + 1));
  };
  const double what = unit();
  static const char* const kVersions[] = {"crash", "hang", "errors", "slow", "later", "leak", "mixed"};
  const bool bad = unit() < 0.4;
  BedPlan plan = QuietRollout(what < 0.7    ? "release"
                              : what < 0.85 ? "restart"
                                            : "drain",
                              bad && what < 0.7 ? kVersions[between(0, 6)] : "good", 0, "kill-agent");
  plan.seed = seed;
  plan.length_ms = 6000;
  double all = 0;
  for (const FaultKind& kind : RolloutFaultKinds()) all += kind.weight;
  const int faults = between(1, 4);
  for (int i = 0; i < faults; ++i) {
    double draw = unit() * all;
    const FaultKind* chosen = &RolloutFaultKinds().back();
    for (const FaultKind& kind : RolloutFaultKinds()) {
      draw -= kind.weight;
      if (draw > 0) continue;
      chosen = &kind;
      break;
    }
    BedFault fault{chosen->name, between(600, plan.length_ms - 500), 0, 0, between(0, 2)};
    if (chosen->most_ms > 0) fault.for_ms = between(chosen->least_ms, chosen->most_ms);
    const int most = chosen->of == Of::kAgent     ? plan.agents
                     : chosen->of == Of::kSidecar ? plan.sidecars
                     : chosen->of == Of::kServer  ? plan.servers
                     : chosen->of == Of::kMember  ? plan.members
                                                  : 1;
    fault.who = between(0, most - 1);
    if (chosen->of == Of::kAgent && unit() < 0.6) fault.who = kOwnerOfRollout;
    plan.faults.push_back(std::move(fault));
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const BedFault& a, const BedFault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

BedPlan DrawSitesPlan(std::uint64_t seed) {
  BedPlan plan;
  plan.seed = seed;
  plan.zones = 4;
  plan.agents = 4;
  plan.sidecars = 12;
  plan.servers = 9;
  plan.rate = 90;
  plan.length_ms = 5000;
  plan.census_ms = 500;
  plan.tidy_ms = 1000;
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 3);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
  const auto between = [&](int least, int most) {
    return least + static_cast<int>(unit() * (most - least + 1));
  };
  if (seed % 4 == 0) {
    // One server does 17 a second: all do 150, what one zone has 50, and 120 come.
    plan.slots = 1;
    plan.work_ms = 60;
    plan.rate = 120;
    plan.length_ms = 9000;
    const int at = between(800, 1500), time = between(5500, 6500), first = between(0, 2);
    plan.faults.push_back({"kill-servers", at, time, first, 0});
    plan.faults.push_back({"kill-servers", at + between(0, 300), time, (first + 1) % 3, 0});
    if (unit() < 0.4)
      plan.faults.push_back({"kill-agent", at + between(200, time), between(100, 900), kOwnerOfSites, 0});
    return plan;
  }
  const auto strike = [&](int at) {
    double all = 0;
    for (const FaultKind& kind : SiteFaultKinds()) all += kind.weight;
    double draw = unit() * all;
    const FaultKind* chosen = &SiteFaultKinds().back();
    for (const FaultKind& kind : SiteFaultKinds()) {
      draw -= kind.weight;
      if (draw > 0) continue;
      chosen = &kind;
      break;
    }
    const int time = between(chosen->least_ms, chosen->most_ms);
    plan.faults.push_back({chosen->name, at, time, between(0, 2), between(0, 2)});
    return time;
  };
  const int first = between(400, 1200);
  const int time = strike(first);
  if (unit() < 0.25) strike(first + between(0, time));         // a second site, or the same, meanwhile
  if (unit() < 0.3) strike(first + time + between(100, 900));  // while the first returns
  if (unit() < 0.4)
    plan.faults.push_back({"kill-agent", first + between(200, time), between(100, 900), kOwnerOfSites, 0});
  if (unit() < 0.2)
    plan.faults.push_back({"kill-sidecar", first + between(100, time), between(50, 400), between(0, 11), 0});
  if (unit() < 0.15) plan.faults.push_back({"new-leader", first + between(100, time), 0, 0, 0});
  if (unit() < 0.15)
    plan.faults.push_back({"no-majority", first + between(100, time), between(200, 900), 0, 0});
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const BedFault& a, const BedFault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

BedPlan DrawPlan(std::uint64_t seed, int faults) {
  BedPlan plan;
  plan.seed = seed;
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
  const auto between = [&](int least, int most) {
    return least + static_cast<int>(unit() * (most - least + 1));
  };
  // Terms beyond 2^32 and near 2^63 come about as well.
  const double where = unit();
  if (where < 0.15) plan.zxid = (std::int64_t{1} << 32) - 20;
  if (where > 0.9) plan.zxid = INT64_MAX - (std::int64_t{64} << 32);
  double all = 0;
  for (const FaultKind& kind : FaultKinds()) all += kind.weight;
  for (int i = 0; i < faults; ++i) {
    double at = unit() * all;
    const FaultKind* chosen = &FaultKinds().back();
    for (const FaultKind& kind : FaultKinds()) {
      at -= kind.weight;
      if (at > 0) continue;
      chosen = &kind;
      break;
    }
    BedFault fault;
    fault.kind = chosen->name;
    fault.at_ms = between(300, plan.length_ms - 1000);
    fault.for_ms = chosen->most_ms == 0 ? 0 : between(chosen->least_ms, chosen->most_ms);
    fault.way = between(0, 2);
    const double of_owner = unit();
    const int most = chosen->of == Of::kAgent     ? plan.agents
                     : chosen->of == Of::kSidecar ? plan.sidecars
                     : chosen->of == Of::kMember  ? plan.members
                                                  : 1;
    fault.who = between(0, most - 1);
    if (chosen->of == Of::kAgent && of_owner < 0.7)
      fault.who = of_owner < 0.5 ? kOwnerOfCensus : kOwnerOfTidying;
    plan.faults.push_back(std::move(fault));
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const BedFault& a, const BedFault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

std::string Print(const BedPlan& plan) {
  Json faults = Json::array();
  for (const BedFault& f : plan.faults) {
    faults.push_back(
        {{"kind", f.kind}, {"at_ms", f.at_ms}, {"for_ms", f.for_ms}, {"who", f.who}, {"way", f.way}});
  }
  return Json{{"seed", plan.seed},
              {"zones", plan.zones},
              {"sidecars", plan.sidecars},
              {"agents", plan.agents},
              {"members", plan.members},
              {"servers", plan.servers},
              {"rate", plan.rate},
              {"slots", plan.slots},
              {"work_ms", plan.work_ms},
              {"length_ms", plan.length_ms},
              {"session_ms", plan.session_ms},
              {"margin_ms", plan.margin_ms},
              {"rest_ms", plan.rest_ms},
              {"census_ms", plan.census_ms},
              {"tidy_ms", plan.tidy_ms},
              {"tidy_after_ms", plan.tidy_after_ms},
              {"zxid", plan.zxid},
              {"rollout", plan.rollout},
              {"version", plan.version},
              {"strike_write", plan.strike_write},
              {"strike", plan.strike},
              {"most_out", plan.most_out},
              {"faults", faults}}
             .dump(1) +
         "\n";
}

std::variant<BedPlan, std::string> ReadPlan(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::string("the plan is no JSON object");
  BedPlan plan;
  try {
    const auto number = [&](const Json& from, const char* key, int* into, int least, int most) {
      if (!from.contains(key)) return;
      const auto value = from.at(key).get<std::int64_t>();
      if (value < least || value > most) throw std::out_of_range(std::string(key) + " is out of range");
      *into = static_cast<int>(value);
    };
    plan.seed = json.value("seed", plan.seed);
    plan.zxid = json.value("zxid", plan.zxid);
    plan.rate = json.value("rate", plan.rate);
    plan.rollout = json.value("rollout", plan.rollout);
    plan.version = json.value("version", plan.version);
    plan.strike = json.value("strike", plan.strike);
    number(json, "strike_write", &plan.strike_write, 0, 100'000);
    number(json, "most_out", &plan.most_out, 0, 400);
    if (plan.zxid < 0) throw std::out_of_range("zxid is out of range");
    if (!(plan.rate >= 0 && plan.rate <= 2000)) throw std::out_of_range("rate is out of range");
    number(json, "zones", &plan.zones, 2, 4);
    number(json, "sidecars", &plan.sidecars, 1, 400);
    number(json, "agents", &plan.agents, 1, 400);
    number(json, "members", &plan.members, 1, 9);
    number(json, "servers", &plan.servers, 1, 200);
    number(json, "slots", &plan.slots, 0, 1000);
    number(json, "work_ms", &plan.work_ms, 1, 60'000);
    number(json, "length_ms", &plan.length_ms, 100, 600'000);
    number(json, "session_ms", &plan.session_ms, 200, 40'000);
    number(json, "margin_ms", &plan.margin_ms, 1, 20'000);
    number(json, "rest_ms", &plan.rest_ms, 0, 600'000);
    number(json, "census_ms", &plan.census_ms, 10, 600'000);
    number(json, "tidy_ms", &plan.tidy_ms, 10, 600'000);
    number(json, "tidy_after_ms", &plan.tidy_after_ms, 0, 600'000);
    for (const Json& one : json.value("faults", Json::array())) {
      BedFault fault;
      fault.kind = one.at("kind").get<std::string>();
      const auto known = [&](const std::vector<FaultKind>& kinds) {
        return std::any_of(kinds.begin(), kinds.end(),
                           [&](const FaultKind& k) { return fault.kind == k.name; });
      };
      if (!known(FaultKinds()) && !(plan.zones > 2 && known(SiteFaultKinds())) &&
          !(!plan.rollout.empty() && known(RolloutFaultKinds()))) {
        return "there is no fault of the kind " + Json(fault.kind).dump();
      }
      number(one, "at_ms", &fault.at_ms, 0, 600'000);
      number(one, "for_ms", &fault.for_ms, 0, 600'000);
      number(one, "who", &fault.who, -4, 400);
      number(one, "way", &fault.way, 0, 2);
      plan.faults.push_back(std::move(fault));
    }
  } catch (const std::exception& error) {
    return std::string("the plan cannot be read: ") + error.what();
  }
  return plan;
}

}  // namespace umberdyke::lab

#include "planner/tables.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "planner/proof.h"

namespace umberdyke::planner {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kBar = 30;  // characters for a whole capacity
constexpr double kSmall = 0.05;
constexpr int kSteps = 5;
constexpr std::size_t kFewZones = 12;

std::string Bar(double load, double capacity, double usable) {
  if (capacity <= 0) return std::string(kBar, ' ');
  std::string bar(kBar, '.');
  const auto at = [&](double x) {
    return std::clamp(static_cast<int>(std::lround(kBar * x / capacity)), 0, kBar);
  };
  std::fill(bar.begin(), bar.begin() + at(load), '#');
  if (at(usable) < kBar) bar[static_cast<std::size_t>(at(usable))] = '|';
  return bar;
}

template <typename... Args>
void Line(std::string* out, const char* format, Args... args) {
  char text[400];
  std::snprintf(text, sizeof text, format, args...);
  *out += text;
}

double Share(double part, double all) { return all > 0 ? part / all : 0; }

}  // namespace

std::string PrintTable(const Network& network, const Answer& before, const Answer& during) {
  std::string out;
  Line(&out, "%s lost: %.1f of %.1f requests a second are served, %.1f refused\n",
       Name(network, during.loss).c_str(), during.done, during.asked, during.refused());
  for (std::size_t t = 0; t < network.tiers.size(); ++t) {
    Line(&out, "  %-14s %-12s %9s %9s %9s\n", ("tier " + network.tiers[t].name).c_str(), "zone", "can do",
         "before", "during");
    for (std::size_t z = 0; z < network.zones.size(); ++z) {
      const double can = network.tiers[t].capacity[z];
      Line(&out, "  %-14s %-12s %9.1f %9.1f %9.1f  before %s\n", "", network.zones[z].c_str(), can,
           before.load[t][z], during.load[t][z], Bar(before.load[t][z], can, network.Usable(t, z)).c_str());
      if (during.loss.Takes(z)) {
        Line(&out, "  %-57s  during lost\n", "");
      } else {
        Line(&out, "  %-57s  during %s\n", "", Bar(during.load[t][z], can, network.Usable(t, z)).c_str());
      }
    }
  }
  const auto moves = [&](const std::vector<std::vector<double>>& was,
                         const std::vector<std::vector<double>>& is, const std::string& what) {
    for (std::size_t from = 0; from < network.zones.size(); ++from) {
      for (std::size_t to = 0; to < network.zones.size(); ++to) {
        if (from == to || std::max(is[from][to], was[from][to]) < kSmall) continue;
        Line(&out, "  %s of %s go to %s: %.1f a second (%.1f before)\n", what.c_str(),
             network.zones[from].c_str(), network.zones[to].c_str(), is[from][to], was[from][to]);
      }
    }
  };
  moves(before.flow, during.flow, "requests");
  for (std::size_t e = 0; e < network.edges.size(); ++e)
    moves(before.calls[e], during.calls[e], "calls to " + network.tiers[network.edges[e].to].name);
  for (std::size_t p = 0; p < network.parts.size(); ++p) {
    const Part& part = network.parts[p];
    double asked = 0, served = 0;
    for (std::size_t z = 0; z < network.zones.size(); ++z) {
      asked += part.rate[z];
      served += std::min(part.rate[z], during.served[p][z]);
    }
    if (asked < kSmall) continue;
    Line(&out, "  %zu. %s: %.1f of %.1f refused (%.0f%%)%s\n", part.rank + 1, part.name.c_str(),
         asked - served, asked, 100 * Share(asked - served, asked), part.stays ? ", stays in its zone" : "");
  }
  for (const std::string& name : network.held_to_zone) {
    out += "  " + name +
           ": a repeat of what may have run stays in its zone for the window of its key, or fails\n";
  }
  return out;
}

std::string PrintReturn(const sites::Plan& plan) {
  std::string out = "the return of a zone, while it stays healthy:\n";
  for (const sites::Step& step : plan.back) {
    Line(&out, "  %3.0f%% of its share for %.1f s\n", 100 * step.part,
         std::chrono::duration<double>(step.hold).count());
  }
  return out;
}

std::string PrintJson(const Network& network, const Answer& before, const std::vector<Answer>& answers) {
  const auto by_zone = [&](const std::vector<double>& values) {
    Json json = Json::object();
    for (std::size_t z = 0; z < values.size(); ++z)
      json[network.zones[z]] = std::round(values[z] * 1000) / 1000;
    return json;
  };
  const auto one = [&](const Answer& answer) {
    Json json;
    json["lost"] = Json::array();
    for (const std::size_t zone : answer.loss.zones) json["lost"].push_back(network.zones[zone]);
    if (answer.loss.way)
      json["cut"] = {network.zones[answer.loss.way->first], network.zones[answer.loss.way->second]};
    json["asked"] = answer.asked;
    json["served"] = answer.done;
    json["refused"] = answer.refused();
    json["refused_inside_shares"] = answer.refused_inside;
    for (std::size_t t = 0; t < network.tiers.size(); ++t)
      json["load"][network.tiers[t].name] = by_zone(answer.load[t]);
    for (std::size_t z = 0; z < network.zones.size(); ++z)
      json["requests"][network.zones[z]] = by_zone(answer.flow[z]);
    for (std::size_t p = 0; p < network.parts.size(); ++p) {
      std::vector<double> refused = network.parts[p].rate;
      for (std::size_t z = 0; z < refused.size(); ++z) refused[z] -= answer.served[p][z];
      json["order"].push_back({{"part", network.parts[p].name}, {"refused", by_zone(refused)}});
    }
    return json;
  };
  Json json;
  json["application"] = network.application;
  json["zones"] = network.zones;
  for (const Tier& tier : network.tiers) json["can_do"][tier.name] = by_zone(tier.capacity);
  json["keep_free"] = network.keep_free;
  json["before"] = one(before);
  json["losses"] = Json::array();
  for (const Answer& answer : answers) json["losses"].push_back(one(answer));
  return json.dump(2) + "\n";
}

sites::Plan PlanOf(const config::Application& app, const Network& network,
                   const std::vector<Answer>& answers) {
  sites::Plan plan;
  plan.application = network.application;
  plan.zones = network.zones;
  plan.probes_per_s = app.sites.probes.value;
  plan.follow = app.sites.follow.value;
  plan.silence = std::chrono::duration_cast<std::chrono::milliseconds>(app.sites.silence.value);
  for (const Part& part : network.parts) {
    if (std::find(plan.order.begin(), plan.order.end(), part.name) == plan.order.end())
      plan.order.push_back(part.name);
  }
  for (const Answer& answer : answers) {
    if (answer.loss.way) continue;  // each side finds out by itself which ways it has
    sites::Loss loss;
    for (const std::size_t zone : answer.loss.zones) loss.lost.push_back(static_cast<int>(zone));
    // Sidecars of a tier follow that tier's own share: requests for the first, calls for those below.
    for (std::size_t t = 0; t < network.tiers.size(); ++t) {
      std::vector<std::vector<double>> sums(network.zones.size(), std::vector<double>(network.zones.size()));
      const auto add = [&](const std::vector<std::vector<double>>& sent) {
        for (std::size_t a = 0; a < sent.size(); ++a) {
          for (std::size_t b = 0; b < sent.size(); ++b) sums[a][b] += sent[a][b];
        }
      };
      if (t == 0) add(answer.flow);
      for (std::size_t e = 0; e < network.edges.size(); ++e) {
        if (network.edges[e].to == t) add(answer.calls[e]);
      }
      for (auto& row : sums) {
        double all = 0;
        for (const double x : row) all += x;
        for (double& x : row) x = all > 1e-9 ? x / all : 0;
      }
      loss.shares.push_back(std::move(sums));
    }
    plan.losses.push_back(std::move(loss));
  }
  // A zone comes back cold everywhere at once: each step is what its servers can surely do by then.
  const double start = app.start_capacity.value;
  const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(app.cold_time.value);
  for (int i = 0; i < kSteps; ++i) {
    const double grown = static_cast<double>(i) / kSteps;
    const double part = cold.count() > 0 ? start + (1 - start) * grown : (1 + i) / double(kSteps);
    const auto hold = cold.count() > 0 ? cold / kSteps : std::chrono::milliseconds(500);
    plan.back.push_back({std::clamp(part, 0.05, 1.0), std::max(hold, std::chrono::milliseconds(200))});
  }
  return plan;
}

sites::Plan MakePlan(const config::Application& app) {
  Planner planner(Describe(app));
  const Network& network = planner.network();
  std::vector<Answer> answers;
  for (const Loss& loss : Losses(network, network.zones.size() <= kFewZones, false)) {
    if (loss.zones.size() >= network.zones.size()) continue;  // with all lost there is nothing to plan
    answers.push_back(planner.Solve(loss));
    const std::vector<std::string> faults = Faults(network, answers.back());
    if (!faults.empty()) throw std::runtime_error("the planner's answer is wrong: " + faults.front());
  }
  return PlanOf(app, network, answers);
}

}  // namespace umberdyke::planner

// A release in simulated time: src/rollout decides who goes out; sidecars send their clients away, empty, and
// come back knowing nothing; servers drain, restart and come back cold.
#include <algorithm>
#include <cmath>

#include "emulator/world.h"

namespace umberdyke::emulator {

namespace {

constexpr Micros kLookEvery = 500'000;
constexpr Micros kDrain = 1'000'000;  // of a server: told to leave, until it is down
constexpr double kWarmSidecar = 2;    // seconds

rollout::milliseconds Ms(double seconds) {
  return rollout::milliseconds(static_cast<std::int64_t>(1000 * seconds));
}

}  // namespace

struct World::Rolling {
  Trouble trouble;
  std::vector<std::uint32_t> units;  // sidecars or servers, by the place in the layout
  std::map<std::string, std::size_t> places;
  std::vector<bool> changed;
  std::vector<std::int64_t> going;  // the permit that a unit goes on; 0: none
  std::map<std::string, rollout::Report> reports;
  std::unique_ptr<rollout::Rollout> rollout;
  rollout::State state;
  Micros began = 0, looked = 0;
  bool over = false;
};

void World::BeginRelease(const Trouble& trouble) {
  if (trouble.count < 1) return;  // none, for comparison
  auto release = std::make_shared<Rolling>();
  release->trouble = trouble;
  release->began = engine_.now();
  const bool sidecars = trouble.front > 0;
  const Tier& tier = tiers_[static_cast<std::size_t>(trouble.tier) - 1];
  rollout::Layout layout;
  layout.application = "emulated";
  layout.base = {"first", "", ""};
  for (std::uint32_t i = 0; i < (sidecars ? tier.sidecars : tier.count); ++i) {
    const std::uint32_t at = (sidecars ? tier.first_sidecar : tier.first) + i;
    const int zone = sidecars ? sidecars_[at].zone : servers_[at]->zone;
    const std::string name = "u" + std::to_string(i);
    release->places[name] = release->units.size();
    release->units.push_back(at);
    layout.units.push_back({name, !sidecars, "h" + std::to_string(i), "z" + std::to_string(zone), "t", ""});
  }
  rollout::Budget budget;
  budget.servers = !sidecars;
  budget.most = static_cast<int>(trouble.count);
  layout.budgets.push_back(budget);
  layout.settings.stand = Ms(trouble.within_s);
  layout.settings.warm_sidecar = Ms(kWarmSidecar);
  layout.settings.warm_server =
      Ms(std::max(1.0, scenario_.tiers[static_cast<std::size_t>(trouble.tier) - 1].cold_s));
  layout.settings.gone_after = Ms(3600);
  release->changed.assign(release->units.size(), false);
  release->going.assign(release->units.size(), 0);
  release->rollout = std::make_unique<rollout::Rollout>(layout);
  metrics_.release_s = -1;
  releases_.push_back(std::move(release));
  LookAtRelease(static_cast<std::uint32_t>(releases_.size() - 1));
}

rollout::Look World::LookAt(const Rolling& release) const {
  rollout::Look look;
  look.reports = release.reports;
  const Micros now = engine_.now();
  for (const auto& [name, place] : release.places) {
    rollout::Seen& seen = look.sights[name];
    seen.heard = true;
    seen.label = release.changed[place] ? "next" : "first";
    if (release.trouble.front > 0) {
      const Sidecar& s = sidecars_[release.units[place]];
      seen.able = s.up && !s.away;
      seen.life = std::to_string(s.life);
      seen.up = rollout::milliseconds((now - s.began) / 1000);
    } else {
      const Server& s = *servers_[release.units[place]];
      seen.able = s.up && !s.draining;
      seen.life = std::to_string(s.started);
      seen.up = rollout::milliseconds((now - s.started) / 1000);
    }
  }
  if (release.looked == 0) {
    rollout::Wish wish;
    wish.id = "release";
    wish.application = "emulated";
    wish.verb = release.trouble.front > 0 ? "start" : "restart";
    wish.to.label = "next";
    wish.select = "zone";
    wish.name = "z0";
    look.wishes.push_back(wish);
    // Servers are named zone by zone.
    for (int zone = 1; release.trouble.front <= 0 && zone < static_cast<int>(scenario_.zones); ++zone) {
      wish.id = "release" + std::to_string(zone);
      wish.name = "z" + std::to_string(zone);
      look.wishes.push_back(wish);
    }
  } else {
    look.since = rollout::milliseconds((now - release.looked) / 1000);
  }
  return look;
}

// One that may go: what its host would do next.
void World::Replace(Rolling& release, std::uint32_t place) {
  const std::uint32_t unit = release.units[place];
  const Micros now = engine_.now(), away = Seconds(release.trouble.for_s);
  if (release.trouble.front <= 0) {
    servers_[unit]->draining = true;
    List(unit, UpstreamState::kDraining);
    engine_.At(now + kDrain, kServerDown, unit);
    engine_.At(now + kDrain + std::max<Micros>(100'000, away), kServerUp, unit);
    return;
  }
  sidecars_[unit].away = true;
}

void World::LookAtRelease(std::uint32_t index) {
  Rolling& release = *releases_[index];
  if (release.over) return;
  const Micros now = engine_.now();
  engine_.At(now + kLookEvery, kLook, index);
  // Hosts first: what they say has happened when the owner looks.
  std::vector<std::uint32_t> open(sidecars_.size(), 0);
  if (release.trouble.front > 0) {
    flows_.Each([&](Name, Flow& flow) {
      if (!flow.over) ++open[flow.sidecar];
    });
  }
  for (std::size_t place = 0; place < release.units.size(); ++place) {
    if (release.going[place] == 0) continue;
    const std::uint32_t unit = release.units[place];
    rollout::Report& report = release.reports["u" + std::to_string(place)];
    if (release.trouble.front > 0) {
      Sidecar& s = sidecars_[unit];
      if (s.up && s.away && open[unit] == 0) {
        SidecarDown(unit);
        engine_.At(now + std::max<Micros>(100'000, Seconds(release.trouble.for_s)), kSidecarUp, unit);
      }
      if (!s.up || s.away) continue;
    } else if (!servers_[unit]->up || servers_[unit]->draining) {
      continue;
    }
    report.said = rollout::Said::kDone;
    release.changed[place] = true;
    release.going[place] = 0;
  }
  release.state = release.rollout->Decide(release.state, LookAt(release));
  release.looked = now;
  metrics_.release_out = std::max(metrics_.release_out, static_cast<double>(release.state.permits.size()));
  for (const rollout::Permit& permit : release.state.permits) {
    const std::size_t place = release.places.at(permit.unit);
    rollout::Report& report = release.reports[permit.unit];
    if (report.serial == permit.serial) continue;
    report = {permit.serial, rollout::Said::kGoing, "", ""};
    release.going[place] = permit.serial;
    Replace(release, static_cast<std::uint32_t>(place));
  }
  const bool complete =
      std::all_of(release.state.jobs.begin(), release.state.jobs.end(),
                  [](const rollout::Job& job) { return job.phase == rollout::Phase::kStands; });
  if (!complete) return;
  release.over = true;
  metrics_.release_s = static_cast<double>(now - release.began) / 1e6;
}

}  // namespace umberdyke::emulator

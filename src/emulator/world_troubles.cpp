// Troubles: what strikes servers, sidecars, the network, the list and the traffic, and when it is over.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "emulator/world.h"

namespace umberdyke::emulator {

// Drawn from a stream of its own and from all of them, whatever the policy did before: every policy meets the
// same blow.
std::vector<std::uint32_t> World::Victims(const Trouble& trouble, std::uint32_t first, std::uint32_t count) {
  std::vector<std::uint32_t> all(count);
  std::iota(all.begin(), all.end(), first);
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[troubles_.Below(i)]);
  const double wanted = trouble.count > 0 ? trouble.count : std::ceil(trouble.share * count);
  all.resize(std::min<std::size_t>(all.size(), static_cast<std::size_t>(wanted)));
  return all;
}

void World::Strike(std::size_t index) {
  const Trouble& t = scenario_.troubles[index];
  const Micros now = engine_.now();
  if (t.every_s > 0 && now + Seconds(t.every_s) <= begin_ + Seconds(t.until_s))
    engine_.At(now + Seconds(t.every_s), kTrouble, static_cast<std::uint32_t>(index));
  const Tier& tier = tiers_[static_cast<std::size_t>(t.tier) - 1];
  const std::size_t blow = struck_.size();
  struck_.emplace_back();
  const auto over = [&](double after_s) {
    engine_.At(now + Seconds(after_s), kTroubleOver, static_cast<std::uint32_t>(index), blow);
  };
  if (t.kind == "jump" || t.kind == "flood") {
    ScaleTraffic(t, false);
    return over(t.for_s);
  }
  if (t.kind == "list-late") {
    late_factor_ *= t.factor;
    return over(t.for_s);
  }
  if (t.kind == "partition") {
    ++cut_[static_cast<std::size_t>(t.zone)];
    return over(t.for_s);
  }
  if (t.kind == "release") return BeginRelease(t);
  if (t.kind == "zone-lost") {
    LoseZone(t);
    if (t.cut > 0) ++cut_[static_cast<std::size_t>(t.zone)];
    return over(t.for_s);
  }
  if (t.kind == "restart") {
    for (const std::uint32_t s : Victims(t, tier.first_sidecar, tier.sidecars)) {
      const Micros when = now + Seconds(troubles_.Unit() * t.within_s);
      engine_.At(when, kSidecarDown, s, static_cast<std::uint64_t>(Seconds(t.for_s)));
    }
    return;
  }
  if (t.kind == "add") {
    int wanted = static_cast<int>(std::max(1.0, t.count));
    for (auto it = unborn_.begin(); it != unborn_.end() && wanted > 0;) {
      if (servers_[*it]->tier != static_cast<int>(t.tier) - 1) {
        ++it;
        continue;
      }
      engine_.At(now, kServerUp, *it);
      it = unborn_.erase(it);
      --wanted;
    }
    return;
  }
  const std::vector<std::uint32_t> victims = Victims(t, tier.first, tier.count);
  for (const std::uint32_t v : victims) {
    Server& server = *servers_[v];
    if (!server.up) continue;
    if (t.kind == "slow") {
      server.SetSlow(t.factor);
    } else if (t.kind == "fail-fast") {
      server.fails_fast = true;
    } else if (t.kind == "crash") {
      ServerDown(v);
      engine_.At(now + Seconds(t.for_s), kServerUp, v);
      continue;
    } else if (t.kind == "drain") {
      server.draining = true;
      List(v, UpstreamState::kDraining);
      engine_.At(now + Seconds(t.for_s), kServerDown, v);
      engine_.At(now + Seconds(t.for_s + std::max(0.5, t.within_s)), kServerUp, v);
      continue;
    }
    struck_[blow].push_back(v);
  }
  if (t.kind == "slow" || t.kind == "fail-fast") over(t.for_s);
}

// Its servers, or a share of them, and where asked for its sidecars; all of it is back after the time, cold,
// or spread over `within_s`.
void World::LoseZone(const Trouble& t) {
  const auto zone = static_cast<int>(t.zone);
  const auto back = [&] { return engine_.now() + Seconds(t.for_s + troubles_.Unit() * t.within_s); };
  for (std::size_t tier = 0; tier < tiers_.size(); ++tier) {
    if (t.only > 0 && static_cast<std::size_t>(t.only) != tier + 1) continue;
    for (std::uint32_t i = 0; i < tiers_[tier].count; ++i) {
      const std::uint32_t server = tiers_[tier].first + i;
      if (servers_[server]->zone != zone || !servers_[server]->up) continue;
      if (t.share > 0 && troubles_.Unit() >= t.share) continue;
      ServerDown(server);
      engine_.At(back(), kServerUp, server);
    }
  }
  for (std::uint32_t s = 0; t.front > 0 && s < sidecars_.size(); ++s) {
    if (sidecars_[s].zone != zone || !sidecars_[s].up) continue;
    engine_.At(back(), kSidecarUp, s);
    SidecarDown(s);
  }
}

void World::ScaleTraffic(const Trouble& t, bool over) {
  const auto scale = [&](double* rate) { *rate = over ? *rate / t.factor : *rate * t.factor; };
  if (t.kind == "jump") scale(&jump_);
  for (std::size_t i = 0; i < tenant_factor_.size(); ++i) {
    if (t.kind == "flood" && scenario_.tenants[i].name == t.tenant) scale(&tenant_factor_[i]);
  }
  GatherTenants();
  RateChanged();
}

void World::Over(std::size_t index, std::size_t blow) {
  const Trouble& t = scenario_.troubles[index];
  if (t.kind == "jump" || t.kind == "flood") {
    ScaleTraffic(t, true);
  } else if (t.kind == "list-late") {
    late_factor_ /= t.factor;
  } else if (t.kind == "partition" || (t.kind == "zone-lost" && t.cut > 0)) {
    --cut_[static_cast<std::size_t>(t.zone)];
  }
  for (const std::uint32_t v : struck_[blow]) {
    if (t.kind == "slow") servers_[v]->SetSlow(1);
    if (t.kind == "fail-fast") servers_[v]->fails_fast = false;
  }
}

void World::List(std::uint32_t index, UpstreamState state) {
  const Server& server = *servers_[index];
  Tier& tier = tiers_[static_cast<std::size_t>(server.tier)];
  UpstreamEntry entry;
  entry.id = index;
  entry.state = state;
  entry.zone = server.zone;
  entry.ready_at = server.started;
  tier.changes.push_back(entry);
  for (std::uint32_t i = 0; i < tier.sidecars; ++i) {
    const std::uint32_t s = tier.first_sidecar + i;
    const double late = late_.Between(scenario_.list_late_low_s, scenario_.list_late_high_s) * late_factor_;
    engine_.At(engine_.now() + static_cast<Micros>(late * 1e6), kTold, s, tier.changes.size(),
               sidecars_[s].life);
  }
}

void World::ServerDown(std::uint32_t index) {
  Server& server = *servers_[index];
  if (!server.up) return;
  for (const Name name : server.Stop()) {
    const Job job = *jobs_.Find(name);
    if (job.call != kNobody) {
      jobs_.Find(name)->call = kNobody;  // it is not there any more to hear
      GaveUp(job.call);
    }
    if (const Flow* flow = flows_.Find(job.flow); flow != nullptr) {
      const int zone = sidecars_[flow->sidecar].zone;
      if (!CutOff(server.zone, zone))
        engine_.At(engine_.now() + Way(server.zone, zone), kEnd, static_cast<std::uint32_t>(Outcome::kReset),
                   job.flow, job.attempt);
    }
    FreeJob(name);
  }
  List(index, UpstreamState::kGone);
}

void World::ServerUp(std::uint32_t index) {
  Server& server = *servers_[index];
  if (server.up) return;
  const TierSpec& spec = scenario_.tiers[static_cast<std::size_t>(server.tier)];
  server.Start(spec.cold_s > 0);
  // Also one that is warm at once has a start of its own: what was learnt of its last life is void.
  if (server.started == 0) server.started = engine_.now();
  List(index, UpstreamState::kReady);
}

// All that it held is lost to its clients; its servers see their connections close.
void World::SidecarDown(std::uint32_t index) {
  Sidecar& s = sidecars_[index];
  if (!s.up) return;
  s.up = false;
  s.died = engine_.now();
  std::vector<Name> lost;
  flows_.Each([&](Name name, Flow& flow) {
    if (flow.sidecar == index) lost.push_back(name);
  });
  s.policy.reset();
  for (const Name name : lost) {
    Flow* flow = flows_.Find(name);
    if (flow == nullptr) continue;
    for (std::uint32_t i = 0; i < flow->attempts; ++i) {
      const Attempt& t = flow->tries[i];
      if (t.open && t.job != kNobody)
        engine_.At(engine_.now() + Way(s.zone, servers_[t.server]->zone), kLate, 0, t.job);
    }
    if (!flow->over) {
      flow->over = true;
      Inform(name, *flow, Final::kLost, 0);
    }
    flows_.Free(name);
  }
}

}  // namespace umberdyke::emulator

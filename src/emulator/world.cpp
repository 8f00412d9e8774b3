#include "emulator/world.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>

namespace umberdyke::emulator {
namespace {

constexpr Micros kBegin = 1'000'000;  // a start at 0 would mean long ago to the module
constexpr std::size_t kMostHeat = 64;

Repeat RepeatOf(const ClassSpec& c) {
  return c.repeats == "safe" ? Repeat::kSafe : c.repeats == "keyed" ? Repeat::kKeyed : Repeat::kUnsafe;
}

}  // namespace

World::World(const Scenario& scenario, const std::string& policy, std::uint64_t seed, Trace trace)
    : scenario_(scenario),
      policy_(policy),
      seed_(seed),
      trace_(trace),
      engine_(kBegin),
      arrivals_(seed, "arrivals"),
      work_(seed, "work"),
      network_(seed, "network"),
      late_(seed, "late"),
      troubles_(seed, "troubles"),
      reports_(seed, "reports"),
      picks_(seed, "picks"),
      clients_(seed, "clients") {
  CheckScenario(scenario_);
  begin_ = kBegin;
  counted_from_ = kBegin + Seconds(scenario_.warm_up_s);
  end_ = kBegin + Seconds(scenario_.duration_s);
  maker_ = [this](const Caller& caller, Micros now, Actions* out) {
    return MakePolicy(policy_, caller, now, out);
  };
}

World::~World() = default;

void World::Build() {
  double sum = 0;
  for (const ClassSpec& c : scenario_.classes) class_shares_.push_back(sum += c.share);
  tenant_factor_.assign(scenario_.tenants.size(), 1);
  GatherTenants();
  tenant_tokens_.resize(scenario_.tenants.size());
  tenant_since_.assign(scenario_.tenants.size(), kBegin);
  for (std::size_t t = 0; t < scenario_.tenants.size(); ++t)
    tenant_tokens_[t] = scenario_.tenants[t].allowance_per_s;
  const auto zones = static_cast<std::size_t>(scenario_.zones);
  cut_.assign(zones, 0);
  front_.resize(zones);
  for (int tier = 0; tier < static_cast<int>(scenario_.tiers.size()); ++tier) BuildTier(tier);
  for (std::uint32_t s = 0; s < tiers_[0].sidecars; ++s) {
    front_[static_cast<std::size_t>(sidecars_[s].zone)].push_back(s);
  }
  for (std::uint32_t s = 0; s < sidecars_.size(); ++s) StartSidecar(s, ListUpdate::kComplete);
  sent_.assign(tiers_[0].count, 0);
  sent_in_2s_.assign(tiers_[0].count, 0);
  heat_size_ = std::min<std::size_t>(kMostHeat, tiers_[0].count);
  metrics_.heat.resize(heat_size_);
  area_before_.assign(heat_size_, 0);
  metrics_.seconds.resize(static_cast<std::size_t>(std::ceil(scenario_.duration_s)) + 1);
  engine_.At(kBegin + 1'000'000, kEverySecond, 0);
  for (std::size_t t = 0; t < scenario_.troubles.size(); ++t)
    engine_.At(kBegin + Seconds(scenario_.troubles[t].at_s), kTrouble, static_cast<std::uint32_t>(t));
  if (scenario_.arrivals == "closed") {
    const double spread = scenario_.think_ms + scenario_.MeanWork(scenario_.classes[0]);
    for (std::uint32_t c = 0; c < static_cast<std::uint32_t>(scenario_.callers); ++c)
      engine_.At(kBegin + static_cast<Micros>(arrivals_.Unit() * spread * 1000), kArrive, c);
    return;
  }
  next_arrival_ = static_cast<double>(kBegin);
  NextArrival();
  if (scenario_.arrivals == "bursty")
    engine_.At(kBegin + static_cast<Micros>(arrivals_.Exponential(scenario_.calm_s) * 1e6), kBurst, 0);
}

void World::BuildTier(int index) {
  const TierSpec& spec = scenario_.tiers[static_cast<std::size_t>(index)];
  tiers_.emplace_back();
  Tier& tier = tiers_.back();
  tier.first = static_cast<std::uint32_t>(servers_.size());
  const auto born = static_cast<std::uint32_t>(spec.servers);
  tier.count = born;
  // Those that are added later exist from the start, down and in no list.
  for (const Trouble& t : scenario_.troubles) {
    if (t.kind != "add" || static_cast<int>(t.tier) != index + 1) continue;
    const double blows =
        t.every_s > 0 ? std::floor((std::min(t.until_s, scenario_.duration_s) - t.at_s) / t.every_s) + 1 : 1;
    tier.count += static_cast<std::uint32_t>(std::max(1.0, t.count) * std::max(0.0, blows));
  }
  Stream speeds(seed_ + static_cast<std::uint64_t>(index), "speeds");
  tier.mean_work = 1000 * scenario_.MeanWork() * spec.work_share;
  for (std::uint32_t i = 0; i < tier.count; ++i) {
    const double speed = 1 + spec.speed_spread * speeds.Between(-1, 1);
    const auto at = static_cast<std::uint32_t>(servers_.size());
    servers_.push_back(std::make_unique<Server>(engine_, jobs_, static_cast<Server::Host&>(*this),
                                                scenario_.tiers[static_cast<std::size_t>(index)], at, index,
                                                ZoneOf(i), speed));
    if (i >= born) {
      servers_.back()->Stop();
      unborn_.push_back(at);
      continue;
    }
    if (spec.start_cold > 0) servers_.back()->Start(spec.cold_s > 0);
    UpstreamEntry entry;
    entry.id = at;
    entry.zone = ZoneOf(i);
    entry.ready_at = servers_.back()->started;
    tier.changes.push_back(entry);
  }
  tier.first_sidecar = static_cast<std::uint32_t>(sidecars_.size());
  tier.sidecars = index == 0 ? static_cast<std::uint32_t>(scenario_.sidecars)
                             : tiers_[static_cast<std::size_t>(index) - 1].count;
  for (std::uint32_t i = 0; i < tier.sidecars; ++i) {
    Sidecar& s = sidecars_.emplace_back();
    s.tier = index;
    s.zone = index == 0 ? static_cast<int>(i % static_cast<std::uint32_t>(scenario_.zones)) : ZoneOf(i);
    s.told = tier.changes.size();
    Settings& settings = s.settings;
    for (const ClassSpec& c : scenario_.classes) {
      RequestClass rc;
      rc.repeat = RepeatOf(c);
      rc.group = c.group == "zone" ? Group::kZone : Group::kAll;
      rc.window = Seconds(c.window_s);
      rc.aim = static_cast<Micros>(c.aim_ms * 1000);
      rc.deadline = static_cast<Micros>(c.give_up_ms * 1000);
      rc.points = c.points;
      rc.late_share = c.late_share;
      settings.classes.push_back(rc);
    }
    for (const TenantSpec& t : scenario_.tenants) settings.tenants.push_back({t.allowance_per_s});
    settings.balancers = static_cast<int>(tier.sidecars);
    settings.tier = index;
    settings.zone = s.zone;
    settings.max_attempts = static_cast<int>(scenario_.attempts);
    settings.may_cancel = true;
    settings.may_check = scenario_.probes > 0;
    settings.must_ask = true;
    settings.over_share_worth = scenario_.over_share_worth;
    settings.max_retry_after = Seconds(scenario_.retry_after_s);
    settings.start_capacity = spec.cold_share;
    settings.cold_time = Seconds(spec.cold_s);
    settings.fall_multiple = spec.fall_multiple;
    settings.fall_time = Seconds(spec.fall_s);
    settings.close_idle_within = Seconds(scenario_.drain_ms / 1000);
  }
}

void World::StartSidecar(std::uint32_t index, ListUpdate kind) {
  Sidecar& s = sidecars_[index];
  const Tier& tier = tiers_[static_cast<std::size_t>(s.tier)];
  const std::uint64_t words[3] = {seed_, index, s.life};
  const Caller caller{s.settings, scenario_, XXH3_64bits(words, sizeof words), picks_, *this};
  Actions actions;
  s.policy = maker_(caller, engine_.now(), &actions);
  Carry(index, actions);
  // The last word on each server, in the order of the list.
  std::vector<UpstreamEntry> list;
  std::unordered_map<UpstreamId, std::size_t> at;
  s.leaving.clear();
  for (std::size_t i = 0; i < s.told; ++i) {
    const UpstreamEntry& entry = tier.changes[i];
    const auto [it, is_new] = at.try_emplace(entry.id, list.size());
    if (is_new) {
      list.push_back(entry);
    } else {
      list[it->second] = entry;
    }
  }
  for (const UpstreamEntry& entry : list) {
    if (entry.state != UpstreamState::kReady) s.leaving.try_emplace(entry.id, engine_.now());
  }
  With(index, [&](Policy& p, Actions* out) { p.OnList(engine_.now(), kind, list, out); });
}

std::optional<Metrics> World::Run(const std::function<bool()>& stop) {
  const auto wall = std::chrono::steady_clock::now();
  Build();
  Event event;
  while (engine_.Next(end_, &event)) {
    last_[seen_++ % last_.size()] = event;
    if ((seen_ & 0x3fff) == 0 && stop && stop()) return std::nullopt;
    Dispatch(event);
  }
  Metrics out;
  Finish(&out);
  out.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - wall).count();
  return out;
}

void World::Dispatch(const Event& event) {
  const Micros now = engine_.now();
  if (event.kind < kServerEvents) return servers_[event.who]->OnEvent(event);
  switch (event.kind) {
    case kArrive:
      return Arrive(event.who == 0xffffffff
                        ? (event.aux == (arrival_turn_ & 0xffffff) ? 0xffffffff : 0xfffffffe)
                        : event.who);
    case kBurst:
      bursting_ = !bursting_;
      engine_.At(now + static_cast<Micros>(
                           arrivals_.Exponential(bursting_ ? scenario_.burst_s : scenario_.calm_s) * 1e6),
                 kBurst, 0);
      return RateChanged();
    case kTryAgain:
      return Try(event.what, true);
    case kGiveUp:
      return GaveUp(event.what);
    case kReach:
      return Reach(event.what, event.aux, event.who);
    case kAnswer:
      return Answer(event.what);
    case kChecked:
      return Checked(event.what);
    case kEnd: {
      const Flow* flow = flows_.Find(event.what);
      return EndAttempt(event.what, event.aux, static_cast<Outcome>(event.who), nullptr,
                        flow != nullptr && flow->over);
    }
    case kTimeOut:
      return EndAttempt(event.what, event.aux, Outcome::kTimeout, nullptr, false);
    case kTimer:
      if ((sidecars_[event.who].life & 0xffffff) != event.aux || !sidecars_[event.who].up) return;
      return With(event.who, [&](Policy& p, Actions* out) { p.OnTimer(now, event.what, out); });
    case kTold:
      return Hear(event.who, event.aux, event.what);
    case kLate:
      return CancelAtServer(event.what);
    case kAsked:
      return Ask(static_cast<std::uint32_t>(event.what), event.who);
    case kTrouble:
      return Strike(event.who);
    case kTroubleOver:
      return Over(event.who, event.what);
    case kServerUp:
      return ServerUp(event.who);
    case kServerDown:
      return ServerDown(event.who);
    case kSidecarDown:
      engine_.At(now + static_cast<Micros>(event.what), kSidecarUp, event.who);
      return SidecarDown(event.who);
    case kSidecarUp: {
      Sidecar& s = sidecars_[event.who];
      if (s.up) return;
      s.up = true;
      s.away = false;
      s.began = now;
      ++s.life;
      return StartSidecar(event.who, ListUpdate::kCached);
    }
    case kLook:
      return LookAtRelease(event.who);
    case kEverySecond:
      return EverySecond();
    default:
      Broken("an event of no kind");
  }
}

void World::EverySecond() {
  const Micros now = engine_.now();
  engine_.At(now + 1'000'000, kEverySecond, 0);
  const auto at = static_cast<std::size_t>((now - begin_) / 1'000'000 - 1);
  if (at >= metrics_.seconds.size()) return;
  Second& second = metrics_.seconds[at];
  for (std::uint32_t i = 0; i < tiers_[0].count; ++i) {
    Server& server = *servers_[i];
    second.in_system += static_cast<double>(server.in_system());
    if (server.collapsed()) ++second.collapsed;
    if (i >= heat_size_) continue;
    server.Settle();
    const std::int64_t area = server.counts().area;
    metrics_.heat[i].push_back(static_cast<float>(static_cast<double>(area - area_before_[i]) / 1e6));
    area_before_[i] = area;
  }
  if ((at + 1) % 2 != 0) return;
  if (now > counted_from_ + 2'000'000) {
    double sum = 0, squares = 0, n = 0;
    for (std::uint32_t i = 0; i < tiers_[0].count; ++i) {
      if (!servers_[i]->up) continue;
      sum += sent_in_2s_[i];
      squares += static_cast<double>(sent_in_2s_[i]) * sent_in_2s_[i];
      n += 1;
    }
    if (n > 0 && sum > 0) {
      const double deviation = std::sqrt(std::max(0.0, squares / n - sum / n * (sum / n)));
      imbalance_calls_sum_ += deviation;
      imbalance_sum_ += deviation / (sum / n);
      ++imbalance_spans_;
    }
  }
  std::fill(sent_in_2s_.begin(), sent_in_2s_.end(), 0);
}

void World::Finish(Metrics* out) {
  const double span = static_cast<double>(end_ - begin_);
  for (auto& server : servers_) server->Close();
  jobs_.Each([&](Name, Job& job) {
    if (job.check || job.state == Job::State::kOver) return;
    servers_[job.server]->AddPresent(end_ - job.arrived);
  });
  std::uint64_t open = 0;
  requests_.Each([&](Name, const Client& c) { open += c.over ? 0 : 1; });
  if (numbers_ != concluded_ + open) Broken("requests were lost: " + std::to_string(numbers_) + " came");
  double area = 0, sojourn = 0, taken = 0, collapsed = 0, busy = 0;
  for (std::uint32_t i = 0; i < servers_.size(); ++i) {
    const Server::Counts& c = servers_[i]->counts();
    if (c.area != c.sojourn) {
      Broken("Little's law: server " + std::to_string(i) + " held calls for " + std::to_string(c.area) +
             " us, and their times make " + std::to_string(c.sojourn) + " us");
    }
    metrics_.collapses += c.collapses;
    metrics_.falls += c.falls;
    metrics_.turned_away += c.turned_away;
    collapsed += static_cast<double>(c.collapsed);
    if (i >= tiers_[0].count) continue;
    area += static_cast<double>(c.area);
    sojourn += static_cast<double>(c.sojourn);
    taken += static_cast<double>(c.taken);
    busy += static_cast<double>(c.busy);
  }
  metrics_.collapsed_share = collapsed / (span * static_cast<double>(servers_.size()));
  metrics_.busy_share = busy / (span * scenario_.tiers[0].cores * tiers_[0].count);
  metrics_.mean_in_system = area / span;
  metrics_.arrival_rate = taken / span * 1e6;
  metrics_.mean_sojourn_s = taken > 0 ? sojourn / taken / 1e6 : 0;
  metrics_.little_error =
      area > 0 ? std::abs(metrics_.mean_in_system - metrics_.arrival_rate * metrics_.mean_sojourn_s) /
                     metrics_.mean_in_system
               : 0;
  if (imbalance_spans_ > 0) {
    metrics_.imbalance = imbalance_sum_ / imbalance_spans_;
    metrics_.imbalance_calls = imbalance_calls_sum_ / imbalance_spans_;
  }
  double sum = 0, squares = 0;
  for (const std::uint32_t n : sent_) {
    sum += n;
    squares += static_cast<double>(n) * n;
  }
  if (squares > 0) metrics_.fairness = sum * sum / (squares * static_cast<double>(sent_.size()));
  metrics_.events = engine_.done();
  metrics_.seconds.resize(static_cast<std::size_t>(scenario_.duration_s));
  *out = std::move(metrics_);
}

// In turn; where the first zone is larger it takes its share of each hundred first.
int World::ZoneOf(std::uint32_t index) const {
  const auto zones = static_cast<std::uint32_t>(scenario_.zones);
  if (scenario_.first_zone <= 0 || zones < 2) return static_cast<int>(index % zones);
  const double before = std::floor(index * scenario_.first_zone),
               after = std::floor((index + 1) * scenario_.first_zone);
  if (after > before) return 0;
  return 1 + static_cast<int>((index - static_cast<std::uint32_t>(before)) % (zones - 1));
}

Micros World::Way(int from, int to) {
  const bool near = from == to;
  const double low = near ? scenario_.near_low_ms : scenario_.far_low_ms;
  const double high = near ? scenario_.near_high_ms : scenario_.far_high_ms;
  if (high <= 0) return 0;
  return static_cast<Micros>(1000 * (low < high ? network_.Between(low, high) : low));
}

bool World::CutOff(int from, int to) const {
  return from != to && (cut_[static_cast<std::size_t>(from)] > 0 || cut_[static_cast<std::size_t>(to)] > 0);
}

std::string World::Say(const Event& event) const {
  static constexpr std::array<const char*, kChecked + 1> names = {
      "piece done",  "crowded",     "calmed",       "calmed at last", "arrives", "burst",
      "tries again", "gives up",    "reaches",      "answer",         "ends",    "time-out",
      "timer",       "list told",   "cancel",       "asked",          "trouble", "trouble over",
      "server up",   "server down", "sidecar down", "sidecar up",     "second",  "checked"};
  std::ostringstream text;
  text << "  " << static_cast<double>(event.at - begin_) / 1e6
       << " s: " << (event.kind < names.size() ? names[event.kind] : "?") << " who " << event.who << " what "
       << event.what << " aux " << event.aux;
  return text.str();
}

void World::Broken(const std::string& what) const {
  std::ostringstream text;
  text << "rule broken: " << what << " (policy " << policy_ << ", seed " << seed_ << ", at "
       << static_cast<double>(engine_.now() - begin_) / 1e6 << " s)\nthe last events:\n";
  const std::uint64_t n = std::min<std::uint64_t>(seen_, last_.size());
  for (std::uint64_t i = seen_ - n; i < seen_; ++i) text << Say(last_[i % last_.size()]) << "\n";
  throw Violation(text.str());
}

bool World::Traced(Name name) const {
  const Client* client = trace_.out == nullptr ? nullptr : requests_.Find(name);
  return client != nullptr && client->number == trace_.request;
}

void World::Write(const std::string& text) const {
  char time[32];
  std::snprintf(time, sizeof time, "%12.6f s  ", static_cast<double>(engine_.now() - begin_) / 1e6);
  *trace_.out << time << text << "\n";
}

double World::InSystem(UpstreamId upstream) const {
  return static_cast<double>(servers_[upstream]->in_system());
}
double World::Backlog(UpstreamId upstream) const { return servers_[upstream]->Backlog(); }
double World::Speed(UpstreamId upstream) const { return servers_[upstream]->Speed(); }
bool World::Serves(UpstreamId upstream) const {
  return servers_[upstream]->up && !servers_[upstream]->fails_fast;
}
double World::Able(int tier, int zone) const {
  const Tier& t = tiers_[static_cast<std::size_t>(tier)];
  double able = 0;
  for (std::uint32_t i = 0; i < t.count; ++i) {
    const Server& server = *servers_[t.first + i];
    if (server.up && !server.fails_fast && !CutOff(zone, server.zone))
      able += server.Speed() * scenario_.tiers[static_cast<std::size_t>(tier)].cores;
  }
  return able;
}
double* World::budget(int tier, int zone) const {
  const auto part = cut_[static_cast<std::size_t>(zone)] > 0 ? static_cast<std::size_t>(zone) + 1 : 0;
  const std::size_t at = 2 * (part * tiers_.size() + static_cast<std::size_t>(tier));
  if (budget_.size() < 2 * tiers_.size() * (cut_.size() + 1))
    budget_.resize(2 * tiers_.size() * (cut_.size() + 1));
  return &budget_[at];
}
bool World::Reaches(int zone, UpstreamId upstream) const { return !CutOff(zone, servers_[upstream]->zone); }
double World::Work(RequestId request) const {
  const Flow* flow = flows_.Find(request);
  return flow == nullptr ? 0 : flow->work;
}

}  // namespace umberdyke::emulator

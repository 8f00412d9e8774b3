#include "emulator/scenario.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "emulator/fields.h"

namespace umberdyke::emulator {
namespace {

constexpr double kLarge = 1e6;
constexpr double kDay = 86400;

}  // namespace

template <>
const std::vector<Figure<Scenario>>& Figures<Scenario>() {
  using S = Scenario;
  static const std::vector<Figure<S>> figures = {
      {"duration_s", &S::duration_s, 0.1, 30 * kDay},
      {"warm_up_s", &S::warm_up_s, 0, 30 * kDay},
      {"rate_per_s", &S::rate_per_s, 0, kLarge},
      {"load", &S::load, 0, 100},
      {"burst_factor", &S::burst_factor, 0, 1000},
      {"burst_s", &S::burst_s, 0.001, kDay},
      {"calm_s", &S::calm_s, 0.001, kDay},
      {"callers", &S::callers, 0, kLarge, true},
      {"think_ms", &S::think_ms, 0, 1e7},
      {"sidecars", &S::sidecars, 1, 100'000, true},
      {"zones", &S::zones, 1, 64, true},
      {"first_zone", &S::first_zone, 0, 0.95},
      {"near_low_ms", &S::near_low_ms, 0, 10'000},
      {"near_high_ms", &S::near_high_ms, 0, 10'000},
      {"far_low_ms", &S::far_low_ms, 0, 10'000},
      {"far_high_ms", &S::far_high_ms, 0, 10'000},
      {"client_retries", &S::client_retries, 0, 10, true},
      {"client_wait_ms", &S::client_wait_ms, 0, 1e6},
      {"client_patience", &S::client_patience, 0.05, 1},
      {"front_blind_s", &S::front_blind_s, 0, 3600},
      {"list_late_low_s", &S::list_late_low_s, 0, 3600},
      {"list_late_high_s", &S::list_late_high_s, 0, 3600},
      {"report_low_ms", &S::report_low_ms, 0, 1e6},
      {"report_high_ms", &S::report_high_ms, 0, 1e6},
      {"report_noise", &S::report_noise, 0, 1},
      {"attempts", &S::attempts, 1, kMostAttempts, true},
      {"connect_timeout_ms", &S::connect_timeout_ms, 1, 60'000},
      {"retry_after_s", &S::retry_after_s, 0, 3600},
      {"probes", &S::probes, 0, 1, true},
      {"drain_ms", &S::drain_ms, 0, 300},
      {"over_share_worth", &S::over_share_worth, 0, 1},
      {"bloc_capacity", &S::bloc_capacity, 0, kLarge},
  };
  return figures;
}

template <>
const std::vector<Figure<ClassSpec>>& Figures<ClassSpec>() {
  using C = ClassSpec;
  static const std::vector<Figure<C>> figures = {
      {"share", &C::share, 0, kLarge},
      {"work_ms", &C::work_ms, 0.001, 1e6},
      {"work_cv", &C::work_cv, 0, 20},
      {"work_low_ms", &C::work_low_ms, 0, 1e6},
      {"work_high_ms", &C::work_high_ms, 0, 1e6},
      {"aim_ms", &C::aim_ms, 1, 1e8},
      {"give_up_ms", &C::give_up_ms, 1, 1e8},
      {"points", &C::points, 0, 1e6},
      {"late_share", &C::late_share, 0, 1},
      {"window_s", &C::window_s, 0, kDay},
  };
  return figures;
}

template <>
const std::vector<Figure<TenantSpec>>& Figures<TenantSpec>() {
  static const std::vector<Figure<TenantSpec>> figures = {
      {"share", &TenantSpec::share, 0, kLarge},
      {"allowance_per_s", &TenantSpec::allowance_per_s, 0, kLarge},
  };
  return figures;
}

template <>
const std::vector<Figure<TierSpec>>& Figures<TierSpec>() {
  using T = TierSpec;
  static const std::vector<Figure<T>> figures = {
      {"servers", &T::servers, 1, 100'000, true},      {"cores", &T::cores, 1, 1024, true},
      {"slots", &T::slots, 0, kLarge, true},           {"room", &T::room, 0, kLarge, true},
      {"work_share", &T::work_share, 0.0001, 100},     {"calls", &T::calls, 0, 20},
      {"speed_spread", &T::speed_spread, 0, 0.9},      {"start_cold", &T::start_cold, 0, 1, true},
      {"cold_share", &T::cold_share, 0.01, 1},         {"cold_s", &T::cold_s, 0, 3600},
      {"fall_multiple", &T::fall_multiple, 0, 1000},   {"fall_s", &T::fall_s, 0, 3600},
      {"crowd_waiting", &T::crowd_waiting, 0, kLarge}, {"crowd_s", &T::crowd_s, 0.001, 3600},
      {"crowd_slow", &T::crowd_slow, 1, 1000},         {"crowd_idle_s", &T::crowd_idle_s, 0.001, 3600},
      {"crowd_most_s", &T::crowd_most_s, 0.001, kDay}, {"drops_waiting", &T::drops_waiting, 0, 1, true},
  };
  return figures;
}

template <>
const std::vector<Figure<Trouble>>& Figures<Trouble>() {
  using T = Trouble;
  static const std::vector<Figure<T>> figures = {
      {"at_s", &T::at_s, 0, 30 * kDay},
      {"for_s", &T::for_s, 0, kDay},
      {"within_s", &T::within_s, 0, kDay},
      {"share", &T::share, 0, 1},
      {"count", &T::count, 0, kLarge, true},
      {"factor", &T::factor, 0, 1000},
      {"tier", &T::tier, 1, kMostTiers, true},
      {"zone", &T::zone, -1, 63, true},
      {"every_s", &T::every_s, 0, kDay},
      {"until_s", &T::until_s, 0, 30 * kDay},
      {"only", &T::only, 0, kMostTiers, true},
      {"front", &T::front, 0, 1, true},
      {"cut", &T::cut, 0, 1, true},
  };
  return figures;
}

template <>
const std::vector<Word<Scenario>>& Words<Scenario>() {
  static const std::vector<Word<Scenario>> words = {
      {"arrivals", &Scenario::arrivals, {"poisson", "bursty", "even", "closed"}}};
  return words;
}
template <>
const std::vector<Word<ClassSpec>>& Words<ClassSpec>() {
  static const std::vector<Word<ClassSpec>> words = {
      {"name", &ClassSpec::name, {}},
      {"work", &ClassSpec::work, {"fixed", "exponential", "uniform", "normal", "lognormal"}},
      {"repeats", &ClassSpec::repeats, {"safe", "keyed", "never"}},
      {"group", &ClassSpec::group, {"all", "zone"}}};
  return words;
}
template <>
const std::vector<Word<TenantSpec>>& Words<TenantSpec>() {
  static const std::vector<Word<TenantSpec>> words = {{"name", &TenantSpec::name, {}}};
  return words;
}
template <>
const std::vector<Word<TierSpec>>& Words<TierSpec>() {
  static const std::vector<Word<TierSpec>> words;
  return words;
}
template <>
const std::vector<Word<Trouble>>& Words<Trouble>() {
  static const std::vector<Word<Trouble>> words = {
      {"kind",
       &Trouble::kind,
       {"slow", "crash", "drain", "jump", "flood", "restart", "add", "partition", "fail-fast", "list-late",
        "zone-lost", "release"}},
      {"tenant", &Trouble::tenant, {}}};
  return words;
}

template <typename T>
std::string CheckFigure(const Figure<T>& figure, double value) {
  if (!std::isfinite(value) || value < figure.least || value > figure.most) {
    char text[160];
    std::snprintf(text, sizeof text, "%s is %g; it goes from %g to %g", figure.name, value, figure.least,
                  figure.most);
    return text;
  }
  if (figure.whole && value != std::floor(value)) return std::string(figure.name) + " is a whole number";
  return "";
}
template std::string CheckFigure(const Figure<Scenario>&, double);
template std::string CheckFigure(const Figure<ClassSpec>&, double);
template std::string CheckFigure(const Figure<TenantSpec>&, double);
template std::string CheckFigure(const Figure<TierSpec>&, double);
template std::string CheckFigure(const Figure<Trouble>&, double);

namespace {

template <typename T>
void SetIn(T* object, std::string_view name, std::string_view whole, double value) {
  for (const Figure<T>& figure : Figures<T>()) {
    if (name != figure.name) continue;
    if (const std::string wrong = CheckFigure(figure, value); !wrong.empty()) throw ScenarioError(wrong);
    object->*figure.at = value;
    return;
  }
  throw ScenarioError("there is no figure called " + std::string(whole));
}

// "tier2.room": 2 and "room"; 0 where the name does not begin so.
std::size_t Numbered(std::string_view name, std::string_view prefix, std::string_view* rest) {
  if (!name.starts_with(prefix)) return 0;
  std::size_t number = 0;
  const char* end = name.data() + name.size();
  const auto read = std::from_chars(name.data() + prefix.size(), end, number);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != '.') return 0;
  *rest = std::string_view(read.ptr + 1, static_cast<std::size_t>(end - read.ptr - 1));
  return number;
}

}  // namespace

void SetFigure(Scenario* scenario, std::string_view name, double value) {
  std::string_view rest;
  if (const std::size_t tier = Numbered(name, "tier", &rest); tier > 0) {
    if (tier > scenario->tiers.size()) throw ScenarioError("there is no tier for " + std::string(name));
    return SetIn(&scenario->tiers[tier - 1], rest, name, value);
  }
  if (const std::size_t trouble = Numbered(name, "trouble", &rest); trouble > 0) {
    if (trouble > scenario->troubles.size())
      throw ScenarioError("there is no trouble for " + std::string(name));
    return SetIn(&scenario->troubles[trouble - 1], rest, name, value);
  }
  if (name.starts_with("class.")) {
    for (ClassSpec& c : scenario->classes) {
      const std::string prefix = "class." + c.name + ".";
      if (name.starts_with(prefix)) return SetIn(&c, name.substr(prefix.size()), name, value);
    }
    throw ScenarioError("there is no class for " + std::string(name));
  }
  SetIn(scenario, name, name, value);
}

double Scenario::MeanWork(const ClassSpec& c) const {
  return c.work == "uniform" ? (c.work_low_ms + c.work_high_ms) / 2 : c.work_ms;
}

double Scenario::MeanWork() const {
  double shares = 0, work = 0;
  for (const ClassSpec& c : classes) {
    shares += c.share;
    work += c.share * MeanWork(c);
  }
  return work / shares;
}

double Scenario::Capacity(std::size_t tier) const {
  const TierSpec& t = tiers[tier];
  return 1000 * t.servers * t.cores / (MeanWork() * t.work_share);
}

double Scenario::Rate() const { return load > 0 ? load * Capacity(0) : rate_per_s; }

void CheckScenario(const Scenario& s) {
  const auto need = [](bool holds, const std::string& what) {
    if (!holds) throw ScenarioError(what);
  };
  need(!s.classes.empty(), "there is no class of requests");
  need(!s.tenants.empty(), "there is no tenant");
  need(!s.tiers.empty() && s.tiers.size() <= kMostTiers, "there are " + std::to_string(s.tiers.size()) +
                                                             " tiers; 1 to " + std::to_string(kMostTiers) +
                                                             " can be");
  need(s.warm_up_s < s.duration_s, "warm_up_s is not below duration_s: nothing would be counted");
  need(s.near_low_ms <= s.near_high_ms && s.far_low_ms <= s.far_high_ms, "a latency's low is above its high");
  need(s.report_low_ms <= s.report_high_ms, "report_low_ms is above report_high_ms");
  need(s.list_late_low_s <= s.list_late_high_s, "list_late_low_s is above list_late_high_s");
  need(s.arrivals != "closed" || s.callers >= 1, "closed arrivals need callers");
  need(s.arrivals == "closed" || s.Rate() > 0, "no requests come: rate_per_s and load are 0");
  double shares = 0;
  for (const ClassSpec& c : s.classes) {
    shares += c.share;
    need(c.work != "uniform" || (c.work_low_ms > 0 && c.work_low_ms <= c.work_high_ms),
         "class " + c.name + ": uniform work needs work_low_ms above 0 and not above work_high_ms");
    need(c.repeats != "keyed" || c.window_s > 0, "class " + c.name + ": a keyed class needs window_s");
    for (const ClassSpec& other : s.classes) {
      need(&other == &c || other.name != c.name, "two classes are called " + c.name);
    }
  }
  need(shares > 0, "the classes' shares are all 0");
  double tenants = 0;
  for (const TenantSpec& t : s.tenants) tenants += t.share;
  need(tenants > 0, "the tenants' shares are all 0");
  for (std::size_t i = 0; i < s.tiers.size(); ++i) {
    need(s.tiers[i].calls == 0 || i + 1 < s.tiers.size(),
         "tier " + std::to_string(i + 1) + " calls a tier that is not there");
  }
  for (const Trouble& t : s.troubles) {
    need(t.tier <= static_cast<double>(s.tiers.size()), "a trouble strikes a tier that is not there");
    need(t.zone < s.zones, "a trouble strikes a zone that is not there");
    need(t.kind != "zone-lost" || t.front == 0 || s.zones > 1, "with the only zone lost nobody can be asked");
    const bool known =
        t.tenant.empty() || std::any_of(s.tenants.begin(), s.tenants.end(),
                                        [&](const TenantSpec& o) { return o.name == t.tenant; });
    need(known, "a trouble names the tenant " + t.tenant + ", which is not there");
    need(t.kind != "flood" || !t.tenant.empty(), "a flood needs its tenant");
    need((t.kind != "partition" && t.kind != "zone-lost") || t.zone >= 0, t.kind + " needs its zone");
    need(t.only <= static_cast<double>(s.tiers.size()), "a lost zone's tier is not there");
    need((t.kind != "slow" && t.kind != "jump" && t.kind != "flood" && t.kind != "list-late") || t.factor > 0,
         t.kind + " needs a factor above 0");
    need((t.kind != "slow" && t.kind != "crash" && t.kind != "drain" && t.kind != "restart" &&
          t.kind != "add" && t.kind != "fail-fast") ||
             t.share > 0 || t.count > 0,
         t.kind + " needs a share or a count");
    need(t.every_s == 0 || t.until_s > t.at_s,
         t.kind + " comes again each every_s until until_s, which is missing");
  }
}

}  // namespace umberdyke::emulator

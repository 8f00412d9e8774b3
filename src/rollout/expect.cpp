#include "rollout/expect.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace umberdyke::rollout {

void Evidence::Add(const Side& changed, const Side& before) {
  changed_.all += changed.all;
  changed_.bad += changed.bad;
  before_.all += before.all;
  before_.bad += before.bad;
  // Where only one side was asked, nothing is learnt.
  if (changed.all <= 0 || before.all <= 0) return;
  const double usual = changed.all / (changed.all + before.all);
  for (std::size_t i = 0; i < logs_.size(); ++i) {
    const double worse = kTimesWorse[i] * usual / (kTimesWorse[i] * usual + 1 - usual);
    logs_[i] += changed.bad * std::log(worse / usual) + before.bad * std::log((1 - worse) / (1 - usual));
  }
}

double Evidence::Ratio(double spread) const {
  double sum = 0;
  for (const double log : logs_) sum += std::exp(std::min(600.0, log / std::max(1.0, spread)));
  return sum / static_cast<double>(logs_.size());
}

void Watch::Look(const std::vector<Unit>& units, const Sights& sights,
                 const std::map<std::string, bool>& changed) {
  struct Sides {
    Side served;
    Slow slow;
  };
  std::map<std::string, std::array<Sides, 2>> tiers;  // of the changed ones and of the others
  for (const Unit& unit : units) {
    const auto seen = sights.find(unit.name);
    if (unit.server || seen == sights.end() || !seen->second.heard) continue;
    if (!looked_) {
      began_.all += static_cast<double>(seen->second.answered);
      began_.bad += static_cast<double>(seen->second.bad);
    }
    const auto side = changed.find(unit.name);
    if (side == changed.end() || !side->second) Weigh(unit, seen->second, false);
  }
  looked_ = true;
  for (const Unit& unit : units) {
    const auto seen = sights.find(unit.name);
    if (unit.server || seen == sights.end() || !seen->second.heard) continue;
    const Seen& now = seen->second;
    const auto side = changed.find(unit.name);
    const bool is_changed = side != changed.end() && side->second;
    if (is_changed) Weigh(unit, now, true);
    Of& of = of_[unit.name];
    if (of.life != now.life || of.changed != is_changed) {
      of = {unit.tier, now.life, is_changed, now, {}, {}};
      continue;
    }
    const auto since = [](std::uint64_t after, std::uint64_t before) {
      return after > before ? static_cast<double>(after - before) : 0.0;
    };
    const auto add = [](const Side& from, Side* into) {
      into->all += from.all;
      into->bad += from.bad;
    };
    const Side served{since(now.answered, of.last.answered), since(now.bad, of.last.bad)};
    Sides& sides = tiers[unit.tier][is_changed ? 0 : 1];
    add(served, &sides.served);
    add(served, &of.served);
    if (!is_changed && !rested_) add(served, &lately_);
    const std::size_t told = std::min({kBins, now.slower.size(), of.last.slower.size()});
    for (std::size_t i = 0; i < told; ++i) {
      const Side slow{std::max(0.0, served.all - served.bad), since(now.slower[i], of.last.slower[i])};
      add(slow, &sides.slow[i]);
      add(slow, &of.slow[i]);
    }
    of.last = now;
  }
  for (const auto& [name, sides] : tiers) {
    served_.Add(sides[0].served, sides[1].served);
    for (std::size_t i = 0; i < kBins; ++i) slow_[i].Add(sides[0].slow[i], sides[1].slow[i]);
  }
  rested_ = false;
  if (lately_.all > 2 * expect_.least) {
    lately_.all /= 2;
    lately_.bad /= 2;
  }
}

void Watch::Rest() {
  rested_ = true;
  lately_ = {};
}

// What a process holds, beside the largest of its tier that is not changed, also of one that was so once.
void Watch::Weigh(const Unit& unit, const Seen& now, bool changed) {
  if (now.resident_kb == 0) return;
  std::uint64_t& largest = largest_kb_[unit.tier];
  if (!changed) {
    largest = std::max(largest, now.resident_kb);
    return;
  }
  constexpr double kRoomKb = 8 * 1024;  // small ones differ by more than their like
  const double most = expect_.larger * static_cast<double>(largest) + kRoomKb;
  if (expect_.larger <= 0 || largest == 0 || static_cast<double>(now.resident_kb) <= most) return;
  if (leaks_.empty())
    leaks_ = unit.name + " holds " + std::to_string(now.resident_kb / 1024) + " MiB, beside " +
             std::to_string(largest / 1024) + " of the largest not changed";
}

// How much more the units of a side differ among themselves than chance has it.
template <typename Which>
double Watch::Spread(Which which) const {
  std::map<std::pair<std::string, bool>, Side> sides;
  for (const auto& [name, of] : of_) {
    Side& side = sides[{of.tier, of.changed}];
    side.all += which(of).all;
    side.bad += which(of).bad;
  }
  double sum = 0;
  int units = 0;
  for (const auto& [name, of] : of_) {
    const Side& side = sides[{of.tier, of.changed}];
    const double wanted = side.share() * which(of).all;
    if (wanted <= 0 || side.share() >= 1) continue;
    const double off = which(of).bad - wanted;
    sum += off * off / (wanted * (1 - side.share()));
    ++units;
  }
  const int free = units - static_cast<int>(sides.size());
  return free > 0 ? std::max(1.0, sum / free) : 1;
}

namespace {

std::string Figures(const Evidence& evidence) {
  const Side &changed = evidence.changed(), &before = evidence.before();
  char text[120];
  std::snprintf(text, sizeof text, "%.0f of %.0f, beside %.0f of %.0f of those not changed", changed.bad,
                changed.all, before.bad, before.all);
  return text;
}

bool Differs(const Evidence& evidence, double by) {
  return evidence.changed().share() - evidence.before().share() >= by / 2;
}

}  // namespace

std::string Watch::Slower() const {
  const bool any =
      std::any_of(slow_.begin(), slow_.end(), [&](const Evidence& e) { return Differs(e, expect_.slow_by); });
  if (!any) return "";
  double sum = 0, most = -1;
  std::size_t bin = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    const double ratio = slow_[i].Ratio(Spread([i](const Of& of) { return of.slow[i]; }));
    sum += ratio;
    if (!Differs(slow_[i], expect_.slow_by) || ratio <= most) continue;
    most = ratio;
    bin = i;
  }
  if (sum / static_cast<double>(kBins) * expect_.alarm < 1) return "";
  return std::to_string(1 << bin) + " ms and more " + Figures(slow_[bin]);
}

std::string Watch::Unwell() const {
  if (lately_.all < expect_.least || began_.all < expect_.least) return "";
  if (lately_.share() - began_.share() < expect_.unwell) return "";
  char text[120];
  std::snprintf(text, sizeof text, "not served %.0f of %.0f lately, beside %.0f of %.0f before it began",
                lately_.bad, lately_.all, began_.bad, began_.all);
  return text;
}

std::string Watch::Blame() const {
  if (!leaks_.empty()) return "changed sidecars hold more memory: " + leaks_;
  if (Differs(served_, expect_.worse) &&
      served_.Ratio(Spread([](const Of& of) { return of.served; })) * expect_.alarm >= 1)
    return "changed sidecars serve fewer: not served " + Figures(served_);
  if (const std::string told = Slower(); !told.empty())
    return "changed sidecars are slower: answers of " + told;
  return "";
}

}  // namespace umberdyke::rollout

#include "sites/watch.h"

#include <algorithm>
#include <utility>

namespace umberdyke::sites {
namespace {

constexpr Micros kAskEvery = 100'000;  // a zone under suspicion, until it answers or is lost
constexpr Micros kConfirm = 150'000;   // after a first sign of life the second is asked for sooner
constexpr Micros kTold = 100'000;      // an attempt that ended sooner than this was called off, not silent
constexpr Micros kStalled = 150'000;
constexpr double kLeastPart = 0.05;  // of a survivor that the plan gives nothing: others may need it

VerdictSettings SettingsOf(const WatchSettings& settings) {
  VerdictSettings verdict;
  if (!settings.plan) return verdict;
  verdict.silence = std::chrono::duration_cast<std::chrono::microseconds>(settings.plan->silence).count();
  verdict.back = settings.plan->back;
  return verdict;
}

std::optional<Sign> SignOf(Outcome outcome, Micros elapsed) {
  switch (outcome) {
    case Outcome::kOk:
    case Outcome::kError:
    case Outcome::kRejected:
    case Outcome::kSpoilt:
    case Outcome::kUnfit:
      return Sign::kAnswered;
    case Outcome::kConnectFailed:
    case Outcome::kReset:
      return Sign::kDead;
    case Outcome::kTimeout:
      return elapsed >= kTold ? std::optional(Sign::kSilent) : std::nullopt;
    case Outcome::kCancelled:  // the module calls off what stalls; a client that leaves ends others sooner
      return elapsed >= kStalled ? std::optional(Sign::kCalledOff) : std::nullopt;
    case Outcome::kNotSent:
      break;
  }
  return std::nullopt;
}

}  // namespace

Watch::Watch(WatchSettings settings, std::uint64_t seed, Micros /*now*/)
    : settings_(std::move(settings)), verdicts_(SettingsOf(settings_), settings_.own_zone), random_(seed) {}

void Watch::Listed(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries) {
  if (kind == ListUpdate::kFailed) return;
  if (kind != ListUpdate::kChanges) {
    servers_.clear();
    for (auto& zone : ready_) zone.clear();  // a zone that the list leaves out keeps its verdict
  }
  for (const UpstreamEntry& entry : entries) {
    if (entry.zone < 0 || static_cast<std::size_t>(entry.zone) >= kMostZones) continue;
    const Server before =
        std::exchange(servers_[entry.id], {entry.zone, entry.state == UpstreamState::kReady});
    const std::size_t most = static_cast<std::size_t>(std::max(before.zone, entry.zone)) + 1;
    if (ready_.size() < most) ready_.resize(most);
    if (before.ready) std::erase(ready_[static_cast<std::size_t>(before.zone)], entry.id);
    if (entry.state == UpstreamState::kReady)
      ready_[static_cast<std::size_t>(entry.zone)].push_back(entry.id);
  }
  std::vector<int> counts;
  for (const auto& zone : ready_) counts.push_back(static_cast<int>(zone.size()));
  verdicts_.Listed(now, counts);
  next_probe_.resize(std::max(next_probe_.size(), ready_.size()), 0);
}

void Watch::Ended(Micros now, UpstreamId server, Outcome outcome, Micros elapsed) {
  const auto it = servers_.find(server);
  const std::optional<Sign> sign = SignOf(outcome, elapsed);
  if (it != servers_.end() && sign) verdicts_.Heard(now, it->second.zone, server, *sign);
}

void Watch::Probed(Micros now, UpstreamId server, bool answered) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  verdicts_.Probed(now, it->second.zone, server, answered);
  const auto zone = static_cast<std::size_t>(it->second.zone);
  const int which = it->second.zone;
  if (answered && verdicts_.state(which) == State::kLost && !verdicts_.Alive(which))
    next_probe_[zone] = std::min(next_probe_[zone], now + kConfirm);
}

void Watch::Told(Micros now, Directive directive) { verdicts_.Told(now, std::move(directive)); }

std::optional<int> Watch::ZoneOf(UpstreamId server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? std::nullopt : std::optional(it->second.zone);
}

bool Watch::Lost(UpstreamId server) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && verdicts_.state(it->second.zone) == State::kLost;
}

// Draws are by servers; a plan's share is the zone's, so each server's part is its share of that.
std::vector<double> Watch::Parts(Micros now) const {
  std::vector<double> parts(ready_.size(), 1.0);
  const std::vector<int> lost = verdicts_.Lost();
  const auto own = static_cast<std::size_t>(settings_.own_zone);
  const Loss* loss =
      settings_.plan && settings_.plan->follow && !lost.empty() ? settings_.plan->Find(lost) : nullptr;
  if (loss != nullptr && static_cast<std::size_t>(settings_.tier) < loss->shares.size()) {
    const auto& tier = loss->shares[static_cast<std::size_t>(settings_.tier)];
    const std::vector<double>* row = own < tier.size() ? &tier[own] : nullptr;
    double most = 0;
    for (std::size_t z = 0; row != nullptr && z < std::min(parts.size(), row->size()); ++z) {
      parts[z] = ready_[z].empty() ? 0 : (*row)[z] / static_cast<double>(ready_[z].size());
      most = std::max(most, parts[z]);
    }
    for (double& part : parts) part = most > 0 ? std::max(kLeastPart, part / most) : 1;
  }
  for (std::size_t z = 0; z < parts.size(); ++z) parts[z] *= verdicts_.Part(now, static_cast<int>(z));
  return parts;
}

void Watch::Probe(Micros now, int zone, Turn* turn) {
  const auto z = static_cast<std::size_t>(zone);
  const bool lost = verdicts_.state(zone) == State::kLost;
  if (ready_[z].empty() || now < next_probe_[z] || (!lost && !verdicts_.Suspect(now, zone))) return;
  const double each =
      settings_.plan ? 1e6 * std::max(1, settings_.copies) / settings_.plan->probes_per_s : 1e6;
  // All copies begin together; each waits for a part of its turn drawn at random, then for all of it.
  std::uniform_real_distribution<double> unit(0, 1);
  const bool first = lost && next_probe_[z] == 0;
  next_probe_[z] = now + (lost ? static_cast<Micros>(each * (first ? unit(random_) : 1)) : kAskEvery);
  if (first) return;
  turn->probes.push_back(ready_[z][random_() % ready_[z].size()]);
  ++probes_;
}

Watch::Turn Watch::Act(Micros now) {
  Turn turn;
  verdicts_.Turn(now);
  turn.changes = verdicts_.TakeChanges();
  for (const Change& change : turn.changes) {
    if (static_cast<std::size_t>(change.zone) < next_probe_.size())
      next_probe_[static_cast<std::size_t>(change.zone)] = 0;
  }
  for (std::size_t zone = 0; zone < ready_.size(); ++zone) Probe(now, static_cast<int>(zone), &turn);
  std::vector<double> parts = Parts(now);
  // With nobody left to send to a verdict is of no use.
  if (std::none_of(parts.begin(), parts.end(), [](double part) { return part > 0; }))
    parts.assign(parts.size(), 1);
  if (parts != parts_ &&
      (!parts_.empty() || std::any_of(parts.begin(), parts.end(), [](double p) { return p < 1; }))) {
    parts_ = parts;
    turn.parts = std::move(parts);
  }
  return turn;
}

}  // namespace umberdyke::sites

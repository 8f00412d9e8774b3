// Feeds events of the sidecar to sites::Watch and applies the changes that it returns.
#include "sidecar/zone_watch.h"

#include <cstdio>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::net {
namespace {

constexpr Span kUpdateInterval = std::chrono::microseconds(sites::Watch::kPace);

Micros ToMicros(Span span) { return std::chrono::duration_cast<std::chrono::microseconds>(span).count(); }
Micros Now() { return ToMicros(Clock::now().time_since_epoch()); }

sites::WatchSettings WatchSettingsOf(const Config& config) {
  sites::WatchSettings settings;
  settings.own_zone = config.settings.zone;
  settings.tier = config.settings.tier;
  settings.copies = config.settings.balancers;
  settings.plan = config.sites;
  return settings;
}

log::Event EventForState(sites::State state) {
  return state == sites::State::kLost        ? log::Event::kZoneLost
         : state == sites::State::kReturning ? log::Event::kZoneReturning
                                             : log::Event::kZoneSound;
}

}  // namespace

ZoneWatch::ZoneWatch(Loop& loop, const Config& config, Counters& counters, log::Log& log, Owner owner)
    : config_(config),
      counters_(counters),
      log_(log),
      owner_(std::move(owner)),
      watch_(WatchSettingsOf(config), config.seed, Now()),
      timer_(loop, [this] { Update(); }) {
  timer_.Start(kUpdateInterval);
}

void ZoneWatch::OnListChange(const ServerListEvent& change) {
  std::vector<UpstreamEntry> entries;
  for (const ServerListEvent::Entry& entry : change.entries) {
    UpstreamEntry e;
    e.id = entry.server;
    e.state = entry.listed.state;
    e.zone = entry.listed.zone;
    entries.push_back(e);
  }
  watch_.Listed(Now(), change.kind, entries);
}

void ZoneWatch::OnAttemptEnd(ServerId server, Outcome outcome, Span elapsed) {
  watch_.Ended(Now(), server, outcome, ToMicros(elapsed));
}

void ZoneWatch::OnProbeResult(ServerId server, Outcome outcome) {
  if (outcome == Outcome::kNotSent || outcome == Outcome::kCancelled) return;
  const bool answered = outcome == Outcome::kOk || outcome == Outcome::kError ||
                        outcome == Outcome::kRejected || outcome == Outcome::kUnfit;
  watch_.Probed(Now(), server, answered);
}

bool ZoneWatch::IsBlocked(ServerId server) const {
  const std::optional<int> zone = watch_.ZoneOf(server);
  return zone && static_cast<size_t>(*zone) < zone_shares_.size() &&
         zone_shares_[static_cast<size_t>(*zone)] <= 0;
}

std::string ZoneWatch::CheckDirective(const std::string& text) const {
  const auto parsed = sites::ReadDirective(text, config_.application, config_.zone_names);
  const auto* error = std::get_if<std::string>(&parsed);
  return error == nullptr ? "" : *error;
}

void ZoneWatch::ApplyDirective(const std::string& text) {
  auto parsed = sites::ReadDirective(text, config_.application, config_.zone_names);
  if (auto* directive = std::get_if<sites::Directive>(&parsed); directive != nullptr)
    watch_.Told(Now(), std::move(*directive));
}

void ZoneWatch::Update() {
  timer_.Start(kUpdateInterval);
  const sites::Watch::Turn update = watch_.Act(Now());
  for (const sites::Change& change : update.changes) {
    const auto zone = static_cast<size_t>(change.zone);
    const std::string name =
        zone < config_.zone_names.size() ? config_.zone_names[zone] : std::to_string(change.zone);
    counters_.Add(std::string("zones_") + sites::Name(change.to));
    log_.Say(
        EventForState(change.to), "zone " + name + " is " + sites::Name(change.to) + ": " + change.why,
        {{"zone", name}, {"why", change.why}, {"cut_off", watch_.verdicts().cut_off()}, {"us", change.at}});
  }
  if (update.parts) {
    zone_shares_ = *update.parts;
    owner_.on_zone_shares(zone_shares_);
  }
  for (const UpstreamId server : update.probes) {
    const bool lost = watch_.Lost(server);
    counters_.Add(lost ? "probes_lost_zone" : "probes_suspect_zone");
    owner_.probe(server);
  }
}

std::string ZoneWatch::StatusLines() const {
  std::string out;
  for (size_t zone = 0; zone < config_.zone_names.size(); ++zone) {
    const std::string name = EscapeMetricName(config_.zone_names[zone]);
    char share[32];
    std::snprintf(share, sizeof share, "%g", zone < zone_shares_.size() ? zone_shares_[zone] : 1.0);
    if (watch_.verdicts().ByWord(static_cast<int>(zone))) out += "zone_by_word." + name + "=1\n";
    out += "zone." + name + "=" + sites::Name(watch_.verdicts().state(static_cast<int>(zone))) +
           "\nzone_part." + name + "=" + share + "\n";
  }
  return out + "zones_cut_off=" + (watch_.verdicts().cut_off() ? "1" : "0") + "\n";
}

}  // namespace umberdyke::net

#include "sidecar/zone_watch.h"

#include <cstdio>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::net {
namespace {

constexpr Span kPace = std::chrono::microseconds(sites::Watch::kPace);

Micros Count(Span span) { return std::chrono::duration_cast<std::chrono::microseconds>(span).count(); }
Micros Now() { return Count(Clock::now().time_since_epoch()); }

sites::WatchSettings SettingsOf(const Config& config) {
  sites::WatchSettings settings;
  settings.own_zone = config.settings.zone;
  settings.tier = config.settings.tier;
  settings.copies = config.settings.balancers;
  settings.plan = config.sites;
  return settings;
}

log::Event EventOf(sites::State state) {
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
      watch_(SettingsOf(config), config.seed, Now()),
      timer_(loop, [this] { Turn(); }) {
  timer_.Start(kPace);
}

void ZoneWatch::Listed(const ServerListEvent& change) {
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

void ZoneWatch::Ended(ServerId server, Outcome outcome, Span took) {
  watch_.Ended(Now(), server, outcome, Count(took));
}

void ZoneWatch::Probed(ServerId server, Outcome outcome) {
  if (outcome == Outcome::kNotSent || outcome == Outcome::kCancelled) return;
  const bool answered = outcome == Outcome::kOk || outcome == Outcome::kError ||
                        outcome == Outcome::kRejected || outcome == Outcome::kUnfit;
  watch_.Probed(Now(), server, answered);
}

bool ZoneWatch::Closed(ServerId server) const {
  const std::optional<int> zone = watch_.ZoneOf(server);
  return zone && static_cast<size_t>(*zone) < parts_.size() && parts_[static_cast<size_t>(*zone)] <= 0;
}

std::string ZoneWatch::Check(const std::string& text) const {
  const auto read = sites::ReadDirective(text, config_.application, config_.zone_names);
  const auto* why = std::get_if<std::string>(&read);
  return why == nullptr ? "" : *why;
}

void ZoneWatch::Take(const std::string& text) {
  auto read = sites::ReadDirective(text, config_.application, config_.zone_names);
  if (auto* directive = std::get_if<sites::Directive>(&read); directive != nullptr)
    watch_.Told(Now(), std::move(*directive));
}

void ZoneWatch::Turn() {
  timer_.Start(kPace);
  const sites::Watch::Turn turn = watch_.Act(Now());
  for (const sites::Change& change : turn.changes) {
    const auto zone = static_cast<size_t>(change.zone);
    const std::string name =
        zone < config_.zone_names.size() ? config_.zone_names[zone] : std::to_string(change.zone);
    counters_.Add(std::string("zones_") + sites::Name(change.to));
    log_.Say(
        EventOf(change.to), "zone " + name + " is " + sites::Name(change.to) + ": " + change.why,
        {{"zone", name}, {"why", change.why}, {"cut_off", watch_.verdicts().cut_off()}, {"us", change.at}});
  }
  if (turn.parts) {
    parts_ = *turn.parts;
    owner_.parts(parts_);
  }
  for (const UpstreamId server : turn.probes) {
    const bool lost = watch_.Lost(server);
    counters_.Add(lost ? "probes_lost_zone" : "probes_suspect_zone");
    owner_.probe(server);
  }
}

std::string ZoneWatch::Lines() const {
  std::string out;
  for (size_t zone = 0; zone < config_.zone_names.size(); ++zone) {
    const std::string name = EscapeMetricName(config_.zone_names[zone]);
    char part[32];
    std::snprintf(part, sizeof part, "%g", zone < parts_.size() ? parts_[zone] : 1.0);
    if (watch_.verdicts().ByWord(static_cast<int>(zone))) out += "zone_by_word." + name + "=1\n";
    out += "zone." + name + "=" + sites::Name(watch_.verdicts().state(static_cast<int>(zone))) +
           "\nzone_part." + name + "=" + part + "\n";
  }
  return out + "zones_cut_off=" + (watch_.verdicts().cut_off() ? "1" : "0") + "\n";
}

}  // namespace umberdyke::net

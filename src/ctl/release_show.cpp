// release plan, status, watch and history: what a person or a script is told.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <thread>

#include "ctl/release.h"

namespace umberdyke::ctl {
namespace {

using Json = nlohmann::ordered_json;
using rollout::Job;
using rollout::Phase;

std::string VersionText(const rollout::Version& v) {
  return v.label + " (" + v.program + ", files in " + v.files + ")";
}

// From now on, where nothing goes wrong: what is left of the units, as many at a time as the tightest budget
// has it, each as long as it takes to be warm; and what the waves have to stand.
std::int64_t SecondsLeft(const rollout::Layout& layout, const Job& job) {
  const bool servers = job.what == rollout::What::kRestart;
  int at_once = 1;
  for (const rollout::Budget& budget : layout.budgets) {
    if (budget.servers != servers || budget.by != rollout::By::kFleet) continue;
    const auto size = std::count_if(layout.units.begin(), layout.units.end(),
                                    [&](const rollout::Unit& unit) { return unit.server == servers; });
    at_once = std::max(1, rollout::MostOut(budget, static_cast<int>(size)));
  }
  const auto warm = servers ? layout.settings.warm_server : layout.settings.warm_sidecar;
  std::int64_t ms = 0;
  for (std::size_t w = job.wave; w < job.waves.size(); ++w) {
    const auto left = std::count_if(job.waves[w].begin(), job.waves[w].end(),
                                    [&](const std::string& unit) { return !job.changed.contains(unit); });
    ms += (left + at_once - 1) / at_once * warm.count() + layout.settings.stand.count();
  }
  return ms / 1000;
}

Json JobJson(const Job& job) {
  return {{"id", job.id},
          {"what", Name(job.what)},
          {"to", job.to.label},
          {"from", job.from.label},
          {"phase", Name(job.phase)},
          {"reason", job.reason},
          {"wave", job.wave + 1},
          {"waves", job.waves.size()},
          {"units", job.units()},
          {"changed", job.changed.size()},
          {"failed", job.failed},
          {"by", job.by},
          {"why", job.why}};
}

std::string JobLine(const Job& job) {
  std::ostringstream out;
  out << job.id << ": " << Name(job.what);
  if (job.what == rollout::What::kRelease) out << " of " << job.to.label << " over " << job.from.label;
  out << ", " << Name(job.phase);
  if (!job.reason.empty()) out << " (" << config::OneLine(job.reason) << ")";
  out << ", wave " << job.wave + 1 << " of " << job.waves.size() << ", " << job.changed.size() << " of "
      << job.units() << " done; by " << config::OneLine(job.by);
  if (!job.why.empty()) out << ": " << config::OneLine(job.why);
  return out.str();
}

std::optional<fleet::Releases> Look(const ReleaseOptions& options, const Streams& streams, int* status) {
  const auto service = ServiceOf(options.fleet, streams, status);
  if (!service) return std::nullopt;
  auto releases = fleet::LookAtReleases(*service);
  if (const auto* why = std::get_if<fleet::Unreadable>(&releases)) {
    streams.errors << config::OneLine(why->why, 4096) << "\n";
    *status = kUnreadable;
    return std::nullopt;
  }
  *status = kDone;
  return std::move(std::get<fleet::Releases>(releases));
}

}  // namespace

int StatusOf(const rollout::State& state) {
  const bool wrong = std::any_of(state.jobs.begin(), state.jobs.end(), [](const Job& job) {
    return job.phase == Phase::kHalted || (job.phase == Phase::kBack && job.what != rollout::What::kDrain);
  });
  return wrong ? kRefused : kDone;
}

std::string Told(const rollout::Layout& layout, const fleet::Releases& releases) {
  std::ostringstream out;
  const rollout::Version& runs = releases.state.current.label.empty() ? layout.base : releases.state.current;
  out << "version " << runs.label << ", owner " << (releases.owner.empty() ? "nobody" : releases.owner)
      << "\n";
  for (const Job& job : releases.state.jobs) {
    out << JobLine(job) << "\n";
    if (job.phase == Phase::kGoing && job.what != rollout::What::kDrain)
      out << "  about " << SecondsLeft(layout, job) << " s left\n";
    if (job.phase == Phase::kStands && job.what == rollout::What::kRelease)
      out << "  complete: 'release seal' keeps it, 'release back' takes it back\n";
    for (const auto& [unit, why] : job.failed)
      out << "  failed: " << unit << ": " << config::OneLine(why) << "\n";
  }
  for (const rollout::Permit& permit : releases.state.permits) {
    out << "  " << permit.unit << " on " << permit.host << ": may " << Name(permit.action);
    const auto report = releases.reports.find(permit.unit);
    if (permit.withdrawn) out << ", withdrawn";
    if (report != releases.reports.end() && report->second.serial == permit.serial)
      out << ", " << Name(report->second.said);
    out << "\n";
  }
  if (releases.state.jobs.empty()) out << "nothing is under way\n";
  if (releases.wishes > 0) out << releases.wishes << " wishes wait for an owner\n";
  if (releases.owner.empty() && !releases.state.jobs.empty())
    out << "nobody decides: what has a permit goes on, nothing new goes out\n";
  return out.str();
}

std::string ToldJson(const fleet::Releases& releases) {
  Json jobs = Json::array(), permits = Json::array();
  for (const Job& job : releases.state.jobs) jobs.push_back(JobJson(job));
  for (const rollout::Permit& permit : releases.state.permits) {
    const auto report = releases.reports.find(permit.unit);
    const bool said = report != releases.reports.end() && report->second.serial == permit.serial;
    permits.push_back({{"unit", permit.unit},
                       {"host", permit.host},
                       {"action", Name(permit.action)},
                       {"serial", permit.serial},
                       {"withdrawn", permit.withdrawn},
                       {"said", said ? Name(report->second.said) : ""}});
  }
  return Json{{"current", releases.state.current.label},
              {"owner", releases.owner},
              {"age_ms", releases.age_ms},
              {"jobs", jobs},
              {"permits", permits},
              {"wishes", releases.wishes}}
             .dump(2) +
         "\n";
}

int ShowPlan(const ReleaseOptions& options, const Streams& streams) {
  int status = kDone;
  const auto layout = LayoutIn(options.fleet.file, streams, &status);
  if (!layout) return status;
  rollout::Rollout rollout(*layout);
  rollout::Look look;
  rollout::Wish wish = options.wish;
  wish.id = "plan";
  wish.verb = "start";
  wish.application = layout->application;
  if (wish.to.label.empty()) wish.to.label = layout->base.label + "-next";
  look.wishes.push_back(wish);
  const rollout::State state = rollout.Decide({}, look);
  if (state.jobs.empty()) {
    streams.errors << "it would be refused: " << state.answers.back().second << "\n";
    return kRefused;
  }
  const Job& job = state.jobs.front();
  if (options.fleet.json()) {
    streams.out << Json{{"from", job.from.label},
                        {"to", job.to.label},
                        {"waves", job.waves},
                        {"stand_ms", layout->settings.stand.count()},
                        {"seconds", SecondsLeft(*layout, job)}}
                       .dump(2)
                << "\n";
    return kDone;
  }
  streams.out << "from " << VersionText(job.from) << "\nto   " << VersionText(job.to) << "\n";
  for (std::size_t w = 0; w < job.waves.size(); ++w) {
    streams.out << "wave " << w + 1 << ":";
    for (const std::string& unit : job.waves[w]) streams.out << " " << unit;
    streams.out << "; stands " << layout->settings.stand.count() / 1000.0 << " s\n";
  }
  for (const rollout::Budget& budget : layout->budgets) {
    streams.out << "out at most: ";
    if (budget.most >= 0) streams.out << budget.most;
    if (budget.most < 0) streams.out << 100 * budget.share << "%";
    streams.out << (budget.servers ? " servers" : " sidecars") << " of each " << Name(budget.by);
    if (!budget.group.empty()) streams.out << " " << budget.group;
    if (budget.least_ready > 0) streams.out << ", and " << budget.least_ready << " ready at least";
    streams.out << "\n";
  }
  streams.out << "about " << SecondsLeft(*layout, job)
              << " s where nothing goes wrong; asked of nobody yet\n";
  return kDone;
}

int ShowStatus(const ReleaseOptions& options, const Streams& streams) {
  int status = kDone;
  const auto layout = LayoutIn(options.fleet.file, streams, &status);
  if (!layout) return status;
  const auto releases = Look(options, streams, &status);
  if (!releases) return status;
  streams.out << (options.fleet.json() ? ToldJson(*releases) : Told(*layout, *releases));
  return StatusOf(releases->state);
}

int Watch(const ReleaseOptions& options, const Streams& streams) {
  int status = kDone;
  const auto layout = LayoutIn(options.fleet.file, streams, &status);
  if (!layout) return status;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(options.most_s);
  std::string last;
  for (;;) {
    const auto releases = Look(options, streams, &status);
    if (!releases) return status;
    const std::string now = options.fleet.json() ? ToldJson(*releases) : Told(*layout, *releases);
    if (now != last) streams.out << now << std::flush;
    last = now;
    const auto& jobs = releases->state.jobs;
    const bool on = std::any_of(jobs.begin(), jobs.end(), [](const Job& job) {
      return job.phase == Phase::kGoing || job.phase == Phase::kBack;
    });
    const bool late = options.most_s > 0 && std::chrono::steady_clock::now() >= end;
    if (!on && releases->state.permits.empty() && releases->wishes == 0) return StatusOf(releases->state);
    if (late) return kRefused;
    std::this_thread::sleep_for(std::chrono::milliseconds(options.every_ms));
  }
}

int ShowHistory(const ReleaseOptions& options, const Streams& streams) {
  int status = kDone;
  if (!LayoutIn(options.fleet.file, streams, &status)) return status;
  const auto releases = Look(options, streams, &status);
  if (!releases) return status;
  Json json = Json::array();
  for (const Job& job : releases->state.history) {
    json.push_back(JobJson(job));
    if (!options.fleet.json()) streams.out << JobLine(job) << "\n";
  }
  if (options.fleet.json()) streams.out << json.dump(2) << "\n";
  if (!options.fleet.json() && releases->state.history.empty()) streams.out << "nothing was released yet\n";
  return kDone;
}

}  // namespace umberdyke::ctl

#include "rollout/release.h"

#include <algorithm>

namespace umberdyke::rollout {
namespace {

constexpr std::size_t kLongestHistory = 16, kMostAnswers = 32;

bool GoodLabel(const std::string& label) {
  return !label.empty() && label.size() <= 64 && std::all_of(label.begin(), label.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

template <typename T>
void KeepLast(std::vector<T>* all, std::size_t most) {
  if (all->size() > most) all->erase(all->begin(), all->end() - static_cast<std::ptrdiff_t>(most));
}

}  // namespace

std::size_t Job::units() const {
  std::size_t count = 0;
  for (const auto& one : waves) count += one.size();
  return count;
}

const Permit* PermitOf(const State& state, const std::string& unit) {
  const auto it = std::find_if(state.permits.begin(), state.permits.end(),
                               [&](const Permit& p) { return p.unit == unit; });
  return it == state.permits.end() ? nullptr : &*it;
}

Rollout::Rollout(Layout layout) : layout_(std::move(layout)), budgets_(layout_.budgets, layout_.units) {
  for (const Unit& unit : layout_.units) units_.emplace(unit.name, &unit);
}

void Rollout::Forget() {
  known_.clear();
  stood_.clear();
  watches_.clear();
}

const Unit* Rollout::Find(const std::string& name) const {
  const auto it = units_.find(name);
  return it == units_.end() ? nullptr : it->second;
}

const Rollout::Known* Rollout::Of(const std::string& name) const {
  const auto it = known_.find(name);
  return it == known_.end() ? nullptr : &it->second;
}

// --- What is seen ---

void Rollout::Observe(const State& state, const Look& look) {
  lost_zones_ = look.lost_zones;
  for (const Unit& unit : layout_.units) {
    const auto seen = look.sights.find(unit.name);
    Known& known = known_[unit.name];
    const Seen now = seen == look.sights.end() ? Seen() : seen->second;
    const bool able = now.heard && now.able;
    // Between two looks it may have been away: only what both say counts.
    known.able =
        able && known.seen.able && known.life == now.life ? known.able + look.since : milliseconds(0);
    known.unable = able ? milliseconds(0) : known.unable + look.since;
    if (able) known.able = std::max(known.able, now.up);
    if (now.heard) known.life = now.life;
    known.seen = now;
    known.seen.able = able;
  }
  for (const Job& job : state.jobs) {
    // A restart changes no sidecar, and may harm all the same.
    if (job.what == What::kDrain) continue;
    Watch& watch = watches_.try_emplace(job.id, layout_.settings.expect).first->second;
    if (job.phase != Phase::kGoing) {
      watch.Rest();
      continue;
    }
    std::map<std::string, bool> changed;
    for (const std::string& unit : job.changed) changed[unit] = job.what == What::kRelease;
    // Those on their way are on neither side.
    std::vector<Unit> units;
    for (const Unit& unit : layout_.units) {
      if (PermitOf(state, unit.name) == nullptr) units.push_back(unit);
    }
    watch.Look(units, look.sights, changed);
  }
}

bool Rollout::Warm(const Unit& unit) const {
  const Known* known = Of(unit.name);
  const milliseconds wanted = unit.server ? layout_.settings.warm_server : layout_.settings.warm_sidecar;
  return known != nullptr && known->seen.able && known->able >= wanted;
}

bool Rollout::Runs(const std::string& unit, const Version& version) const {
  const Known* known = Of(unit);
  return known != nullptr && known->seen.heard && LabelOf(known->seen) == version.label;
}

std::set<std::string> Rollout::Out(const State& state) const {
  std::set<std::string> out;
  for (const Permit& permit : state.permits) out.insert(permit.unit);
  for (const Unit& unit : layout_.units) {
    const bool lost = std::find(lost_zones_.begin(), lost_zones_.end(), unit.zone) != lost_zones_.end();
    if (lost || !Warm(unit)) out.insert(unit.name);
  }
  return out;
}

// --- Permits that end ---

void Rollout::Close(State* state, const Look& look) const {
  std::erase_if(state->permits, [&](Permit& permit) {
    if (Find(permit.unit) == nullptr) return true;  // the description has it no longer
    const auto it = look.reports.find(permit.unit);
    if (it == look.reports.end() || it->second.serial != permit.serial) return false;
    const Report& report = it->second;
    const auto job = std::find_if(state->jobs.begin(), state->jobs.end(),
                                  [&](const Job& j) { return j.id == permit.job; });
    if (job == state->jobs.end()) return report.said != Said::kGoing;
    const Unit* unit = Find(permit.unit);
    switch (report.said) {
      case Said::kGoing:
        return false;
      case Said::kStayed:
        return true;
      case Said::kFailed:
        // Its host acts on it no more; whether the unit is out is seen from now on.
        job->failed[permit.unit] = report.why;
        return true;
      case Said::kDone:
        break;
    }
    if (permit.action == Do::kDrain) {
      permit.done = true;
      return false;
    }
    const bool versions = permit.action == Do::kGo || permit.action == Do::kBack;
    // Seen since the report, by whoever asked it; a host's word alone ends nothing.
    if (!Warm(*unit) || (versions && !Runs(permit.unit, permit.to))) return false;
    if (permit.action == Do::kGo || permit.action == Do::kRestart) job->changed.insert(permit.unit);
    if (permit.action == Do::kBack || permit.action == Do::kUndrain) {
      job->changed.erase(permit.unit);
      job->touched.erase(permit.unit);
    }
    return true;
  });
}

// --- Operators ---

void Rollout::Take(State* state, const Wish& wish) const {
  const bool taken = std::any_of(state->answers.begin(), state->answers.end(),
                                 [&](const auto& answer) { return answer.first == wish.id; });
  if (taken) return;
  state->answers.emplace_back(wish.id, Answer(state, wish));
  KeepLast(&state->answers, kMostAnswers);
}

std::string Rollout::Answer(State* state, const Wish& wish) const {
  if (wish.verb.empty()) return wish.why;
  if (wish.application != layout_.application)
    return "it is for application " + wish.application + ", and this is " + layout_.application;
  if (wish.verb == "start") return Start(state, wish);
  if (wish.verb == "restart" || wish.verb == "drain") return PutAside(state, wish);
  return Command(state, wish);
}

std::string Rollout::Start(State* state, const Wish& wish) const {
  if (!GoodLabel(wish.to.label))
    return "a version's label is of letters, digits, '-', '_' and '.', at most 64";
  const Version from = state->current.label.empty() ? layout_.base : state->current;
  if (wish.to.label == from.label) return "version " + from.label + " is the one that runs";
  for (const Job& job : state->history) {
    if (job.what == What::kRelease && job.to.label == wish.to.label && job.to != wish.to)
      return "version " + wish.to.label + " was something else before: give it a label of its own";
  }
  for (const Job& job : state->jobs) {
    if (job.what != What::kDrain) return job.id + " is not over";
  }
  std::vector<const Unit*> units;
  for (const Unit& unit : layout_.units) {
    if (!unit.server && PermitOf(*state, unit.name) == nullptr) units.push_back(&unit);
  }
  if (units.empty()) return "there is no sidecar that could be changed";
  Job job;
  job.id = wish.id;
  job.to = wish.to;
  if (job.to.program.empty()) job.to.program = from.program;
  if (job.to.files.empty()) job.to.files = from.files;
  job.from = from;
  job.by = wish.by;
  job.why = wish.why;
  job.waves = Waves(std::move(units));
  state->jobs.push_back(std::move(job));
  return "";
}

std::vector<const Unit*> Rollout::Selected(const std::string& select, const std::string& name) const {
  std::vector<const Unit*> units;
  for (const Unit& unit : layout_.units) {
    const bool named = select == "sidecar"  ? !unit.server && unit.name == name
                       : select == "server" ? unit.server && unit.name == name
                       : select == "host"   ? unit.host == name
                       : select == "zone"   ? unit.zone == name
                                            : false;
    if (named) units.push_back(&unit);
  }
  return units;
}

// One; then the rest of its host; then zone by zone.
std::vector<std::vector<std::string>> Rollout::Waves(std::vector<const Unit*> units) const {
  std::vector<std::vector<std::string>> waves;
  if (units.empty()) return waves;
  const Unit& first = *units.front();
  std::vector<std::string> zones = {first.zone};
  for (const Unit* unit : units) {
    if (std::find(zones.begin(), zones.end(), unit->zone) == zones.end()) zones.push_back(unit->zone);
  }
  const auto add = [&](auto belongs) {
    std::vector<std::string> wave;
    for (const Unit* unit : units) {
      if (unit != &first && belongs(*unit)) wave.push_back(unit->name);
    }
    if (!wave.empty()) waves.push_back(std::move(wave));
  };
  waves.push_back({first.name});
  add([&](const Unit& unit) { return unit.host == first.host; });
  for (const std::string& zone : zones)
    add([&](const Unit& unit) { return unit.host != first.host && unit.zone == zone; });
  return waves;
}

std::string Rollout::PutAside(State* state, const Wish& wish) const {
  std::vector<const Unit*> units = Selected(wish.select, wish.name);
  const bool restart = wish.verb == "restart";
  if (restart) std::erase_if(units, [](const Unit* unit) { return !unit->server; });
  if (units.empty())
    return "there is no " + wish.select + " " + wish.name + (restart ? " with servers" : " with units");
  for (const Job& job : state->jobs) {
    for (const auto& wave : job.waves) {
      for (const Unit* unit : units) {
        if (std::find(wave.begin(), wave.end(), unit->name) == wave.end()) continue;
        if (job.what == What::kRelease && job.changed.contains(unit->name) && job.phase == Phase::kStands)
          continue;
        return unit->name + " is part of " + job.id + ", which is not over";
      }
    }
  }
  Job job;
  job.id = wish.id;
  job.what = restart ? What::kRestart : What::kDrain;
  job.by = wish.by;
  job.why = wish.why;
  if (restart) {
    job.waves = Waves(std::move(units));
  } else {
    std::vector<std::string>& wave = job.waves.emplace_back();
    for (const Unit* unit : units) wave.push_back(unit->name);
  }
  state->jobs.push_back(std::move(job));
  return "";
}

std::string Rollout::Command(State* state, const Wish& wish) const {
  std::vector<Job*> found;
  for (Job& job : state->jobs) {
    if (wish.verb == "undrain") {
      if (job.what != What::kDrain) continue;
      const std::vector<const Unit*> units = Selected(wish.select, wish.name);
      const bool has = std::any_of(units.begin(), units.end(), [&](const Unit* unit) {
        return std::find(job.waves[0].begin(), job.waves[0].end(), unit->name) != job.waves[0].end();
      });
      if (has) found.push_back(&job);
    } else if (wish.job.empty() ? job.what != What::kDrain : job.id == wish.job) {
      found.push_back(&job);
    }
  }
  if (wish.verb == "undrain") {
    if (found.empty()) return "nothing of " + wish.select + " " + wish.name + " is drained";
    for (Job* job : found) {
      job->phase = Phase::kBack;
      job->reason = "undrained by " + wish.by;
    }
    return "";
  }
  if (found.empty())
    return wish.job.empty() ? "there is no release" : "there is no " + wish.job + " under way";
  if (found.size() > 1) return "there are several: name one";
  Job& job = *found.front();
  if (wish.verb == "halt") {
    if (job.phase != Phase::kGoing && job.phase != Phase::kBack) return job.id + " does not go on anyway";
    Halt(&job, "halted by " + wish.by + (wish.why.empty() ? "" : ": " + wish.why), false);
  } else if (wish.verb == "resume") {
    if (job.phase != Phase::kHalted) return job.id + " is not halted";
    job.phase = Phase::kGoing;
    job.reason.clear();
    // A failed unit that serves as before may be tried again.
    job.failed.clear();
  } else if (wish.verb == "back") {
    if (job.what != What::kRelease) return job.id + " has no way back: what was restarted is as it was";
    if (job.phase == Phase::kBack) return job.id + " is on its way back";
    job.phase = Phase::kBack;
    job.reason = "taken back by " + wish.by + (wish.why.empty() ? "" : ": " + wish.why);
  } else if (wish.verb == "seal") {
    if (job.phase != Phase::kStands) return job.id + " is not complete";
    job.phase = Phase::kSealed;
  } else {
    return "there is no " + wish.verb;
  }
  return "";
}

// --- Jobs ---

void Rollout::Halt(Job* job, const std::string& why, bool back) const {
  job->phase =
      back && job->what == What::kRelease && layout_.settings.back_by_itself ? Phase::kBack : Phase::kHalted;
  job->reason = why;
}

void Rollout::Advance(State* state, Job* job, const Look& look) {
  const auto none_out = [&] {
    return std::none_of(state->permits.begin(), state->permits.end(),
                        [&](const Permit& p) { return p.job == job->id; });
  };
  if (job->phase == Phase::kBack) {
    if (!none_out()) return;
    const bool all = std::all_of(job->touched.begin(), job->touched.end(), [&](const std::string& name) {
      const Unit* unit = Find(name);
      return unit == nullptr || (Warm(*unit) && (job->what != What::kRelease || Runs(name, job->from)));
    });
    if (all) job->phase = Phase::kTakenBack;
    return;
  }
  if (job->phase == Phase::kHalted) return;
  if (job->what == What::kDrain) {
    const bool all = std::all_of(job->waves[0].begin(), job->waves[0].end(), [&](const std::string& unit) {
      const Permit* permit = PermitOf(*state, unit);
      return permit != nullptr && permit->done;
    });
    job->phase = all ? Phase::kStands : Phase::kGoing;
    return;
  }
  if (job->phase != Phase::kGoing) return;
  for (const auto& wave : job->waves) {
    for (const std::string& name : wave) {
      const Unit* unit = Find(name);
      if (unit == nullptr) continue;
      if (std::find(look.lost_zones.begin(), look.lost_zones.end(), unit->zone) != look.lost_zones.end())
        return Halt(job, "zone " + unit->zone + " is lost", false);
    }
  }
  double heard = 0, sidecars = 0, changed_gone = 0, others = 0, others_gone = 0;
  std::string gone;
  for (const Unit& unit : layout_.units) {
    if (unit.server != (job->what == What::kRestart)) continue;
    const Known* known = Of(unit.name);
    ++sidecars;
    if (known->seen.heard) ++heard;
    if (PermitOf(*state, unit.name) != nullptr) continue;
    const bool is_gone = known->unable >= layout_.settings.gone_after;
    if (!job->changed.contains(unit.name)) {
      ++others;
      if (is_gone) ++others_gone;
    } else if (is_gone) {
      ++changed_gone;
      gone = unit.name;
    }
  }
  if (heard < layout_.settings.least_heard * sidecars && look.since.count() > 0)
    return Halt(job,
                "sight is lost: " + std::to_string(static_cast<int>(heard)) + " of " +
                    std::to_string(static_cast<int>(sidecars)) + " answer",
                false);
  // Where those not changed are gone in like measure, the release is not to blame; the budgets hold it.
  const double mine = changed_gone / std::max<double>(1, static_cast<double>(job->changed.size()));
  const double theirs = others > 0 ? others_gone / others : 0;
  if (changed_gone > 0 && theirs < mine / 2) job->failed[gone] = "it serves no more after it was changed";
  if (static_cast<int>(job->failed.size()) > layout_.settings.failures) {
    return Halt(job, job->failed.begin()->first + ": " + job->failed.begin()->second, true);
  }
  double answers = 0;
  if (const auto watch = watches_.find(job->id); watch != watches_.end()) {
    if (const std::string blame = watch->second.Blame(); !blame.empty()) return Halt(job, blame, true);
    // The release may be the cause or not: nothing new goes out while it is so, and nobody is blamed.
    if (const std::string unwell = watch->second.Unwell(); !unwell.empty())
      return Halt(job, "those not changed serve fewer: " + unwell, layout_.settings.back_when_unwell);
    answers = watch->second.answered_by_changed();
  }
  const std::vector<std::string>& wave = job->waves[job->wave];
  const bool whole = std::all_of(wave.begin(), wave.end(), [&](const std::string& unit) {
    return Find(unit) == nullptr || job->failed.contains(unit) ||
           (job->changed.contains(unit) && PermitOf(*state, unit) == nullptr);
  });
  Stand& stood = stood_[job->id];
  if (!whole) stood = {milliseconds(0), answers};
  if (whole) stood.time += look.since;
  if (!whole || stood.time < layout_.settings.stand) return;
  // Too few answers tell nothing; where hardly anybody asks it goes on all the same.
  const bool told = answers - stood.answers >= static_cast<double>(layout_.settings.stand_answers);
  const bool judged = job->what == What::kRelease && job->changed.size() < job->units();
  if (judged && !told && stood.time < 10 * layout_.settings.stand) return;
  stood = {milliseconds(0), answers};
  if (job->wave + 1 < job->waves.size()) {
    ++job->wave;
  } else {
    job->phase = job->what == What::kRelease ? Phase::kStands : Phase::kSealed;
  }
}

void Rollout::Withdraw(State* state, const Job& job) const {
  for (Permit& permit : state->permits) {
    if (permit.job == job.id &&
        (permit.action == Do::kGo || permit.action == Do::kRestart ||
         (permit.action == Do::kBack && job.phase == Phase::kHalted) ||
         (permit.action == Do::kDrain && job.phase == Phase::kHalted && !permit.done)))
      permit.withdrawn = true;
  }
}

// Who goes out, or comes back, now.
void Rollout::Grant(State* state) const {
  Budgets::Out out(budgets_, Out(*state));
  const auto grant = [&](Job& job, const std::string& name, Do action, const Version& to) {
    const Unit* unit = Find(name);
    if (unit == nullptr || PermitOf(*state, name) != nullptr) return;
    if (!out.Against(name).empty()) return;
    out.Add(name);
    job.touched.insert(name);
    state->permits.push_back({++state->serial, job.id, name, unit->host, action, to});
  };
  for (Job& job : state->jobs) {
    if (job.phase == Phase::kHalted || job.phase == Phase::kBack) Withdraw(state, job);
    if (job.phase == Phase::kBack && job.what == What::kRelease) {
      const std::set<std::string> touched = job.touched;
      for (const std::string& unit : touched) {
        const Known* known = Of(unit);
        // One that is not heard may be all right where it is: only what is seen, or failed here, is mended.
        const bool heard = known != nullptr && known->seen.heard;
        const bool dead =
            known != nullptr && !heard && (job.failed.contains(unit) || job.changed.contains(unit));
        if (heard ? !(Runs(unit, job.from) && known->seen.able) : dead) grant(job, unit, Do::kBack, job.from);
      }
    }
    if (job.phase == Phase::kBack && job.what == What::kDrain) {
      for (Permit& permit : state->permits) {
        if (permit.job != job.id || permit.action != Do::kDrain) continue;
        permit.serial = ++state->serial;
        permit.action = Do::kUndrain;
        permit.done = permit.withdrawn = false;
      }
    }
    if (job.phase != Phase::kGoing && !(job.phase == Phase::kStands && job.what == What::kDrain)) continue;
    const bool mixed = job.what == What::kDrain;
    for (const std::string& unit : job.waves[job.wave]) {
      if (!mixed && out.Full(job.what == What::kRestart)) break;
      const Known* known = Of(unit);
      if (job.changed.contains(unit) || job.failed.contains(unit)) continue;
      // One that somebody else has out, or that is not warm again, waits: it is not this release's to keep
      // out.
      if (known == nullptr || out.contains(unit)) continue;
      const Do action = job.what == What::kRelease   ? Do::kGo
                        : job.what == What::kRestart ? Do::kRestart
                                                     : Do::kDrain;
      grant(job, unit, action, job.to);
    }
  }
}

void Rollout::Finish(State* state) const {
  for (Job& job : state->jobs) {
    if (!job.over()) continue;
    if (job.what == What::kRelease && job.phase == Phase::kSealed) state->current = job.to;
    state->history.push_back(job);
  }
  std::erase_if(state->jobs, [](const Job& job) { return job.over(); });
  KeepLast(&state->history, kLongestHistory);
}

State Rollout::Decide(const State& before, const Look& look) {
  State state = before;
  Observe(state, look);
  Close(&state, look);
  for (const Wish& wish : look.wishes) Take(&state, wish);
  for (Job& job : state.jobs) Advance(&state, &job, look);
  Finish(&state);
  Grant(&state);
  for (auto it = stood_.begin(); it != stood_.end();) {
    const bool there = std::any_of(state.jobs.begin(), state.jobs.end(),
                                   [&](const Job& job) { return job.id == it->first; });
    it = there ? std::next(it) : stood_.erase(it);
  }
  std::erase_if(watches_, [&](const auto& one) {
    return std::none_of(state.jobs.begin(), state.jobs.end(),
                        [&](const Job& job) { return job.id == one.first; });
  });
  return state;
}

}  // namespace umberdyke::rollout

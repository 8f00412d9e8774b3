#include "rollout/hands.h"

#include <algorithm>
#include <cstdio>

namespace umberdyke::rollout {
namespace {

using Kind = Step::Kind;

Step Say(const Permit& permit, const std::optional<Report>& before, Said said, std::string why = "") {
  Step step{Kind::kSay, 0, "", {permit.serial, said, std::move(why), before ? before->note : ""}};
  if (before && before->serial == permit.serial && before->said == said) step.kind = Kind::kNothing;
  return step;
}

// With what is to be remembered before it is done.
Step Remember(Kind kind, int slot, const Permit& permit, const Progress& progress) {
  return {kind, slot, "", {permit.serial, Said::kGoing, "", progress.Print()}};
}

Step ToVersion(const Permit& permit, const std::optional<Report>& report, const Outside& outside,
               const Limits& limits, const Waits& waits, const Progress& progress) {
  int fresh = -1, unfit = -1, empty = -1;
  for (int i = 0; i < 2; ++i) {
    const Slot& slot = outside.slots[static_cast<std::size_t>(i)];
    if (slot.answers && slot.label == permit.to.label && !slot.ending) {
      // Two of the wanted version: the one that serves is it, and the other one goes.
      if (fresh < 0 || slot.serving) fresh = i;
    } else if (!slot.answers) {
      (slot.locked ? unfit : empty) = i;
    }
  }
  if (fresh >= 0 && outside.slots[static_cast<std::size_t>(fresh)].serving) {
    const int other = 1 - fresh;
    const Slot& rest = outside.slots[static_cast<std::size_t>(other)];
    if (!rest.answers && !rest.locked) return Say(permit, report, Said::kDone);
    if (rest.answers && !rest.ending) return {Kind::kEnd, other, rest.life, {}};
    if (waits.for_end < limits.end_within) return {};
    if (rest.locked) return {Kind::kKill, other, "", {}};
    return Say(permit, report, Said::kDone);  // it ends in its own time: nobody of this release's hangs on it
  }
  const int begun = fresh >= 0 ? fresh : unfit;
  if (begun >= 0) {
    const Slot& slot = outside.slots[static_cast<std::size_t>(begun)];
    if (waits.for_ready < limits.ready_within) return {};
    if (slot.locked) return {Kind::kKill, begun, "", {}};
    if (slot.answers) return {Kind::kEnd, begun, slot.life, {}};
    return {};
  }
  if (progress.starts >= limits.starts)
    return Say(permit, report, Said::kFailed, "version " + permit.to.label + " did not come up");
  if (empty < 0) return Say(permit, report, Said::kFailed, "neither console is free");
  Progress next = progress;
  ++next.starts;
  return Remember(Kind::kStart, empty, permit, next);
}

Step Aside(const Permit& permit, const std::optional<Report>& report, const Outside& outside) {
  const bool away = permit.action == Do::kDrain;
  for (int i = 0; i < 2; ++i) {
    const Slot& slot = outside.slots[static_cast<std::size_t>(i)];
    if (!slot.answers || slot.ending) continue;
    if (away && slot.serving) return {Kind::kPutAside, i, slot.life, {}};
    if (!away && slot.drained) return {Kind::kTakeBack, i, slot.life, {}};
    if (away ? slot.drained : slot.serving) return Say(permit, report, Said::kDone);
  }
  return {};
}

Step OfServer(const Permit& permit, const std::optional<Report>& report, const Outside& outside,
              const Limits& limits, const Waits& waits, const Progress& progress) {
  if (permit.action == Do::kUndrain) {
    if (!outside.listed) return {};
    return outside.draining ? Step{Kind::kTellReady, 0, "", {}} : Say(permit, report, Said::kDone);
  }
  if (permit.action == Do::kDrain) {
    if (outside.listed && !outside.draining) return {Kind::kTellLeaving, 0, "", {}};
    return outside.at_rest || !outside.listed ? Say(permit, report, Said::kDone) : Step();
  }
  if (progress.commanded) {
    if (outside.listed && outside.birth != progress.birth && !outside.draining)
      return Say(permit, report, Said::kDone);
    if (waits.for_ready < limits.ready_within) return {};
    // The life before the restart, told to leave: whatever became of the command, it may serve on.
    if (outside.listed && outside.draining) return {Kind::kTellReady, 0, "", {}};
    return Say(permit, report, Said::kFailed, "it did not come back after its restart");
  }
  if (outside.listed && !outside.draining) return {Kind::kTellLeaving, 0, "", {}};
  if (outside.listed && !outside.at_rest) return {};
  Progress next = progress;
  next.commanded = true;
  next.birth = outside.birth;
  return Remember(Kind::kCommand, 0, permit, next);
}

}  // namespace

std::string Progress::Print() const {
  return std::to_string(starts) + " " + std::to_string(birth) + " " + (commanded ? "1" : "0");
}

Progress Progress::Read(const std::string& note) {
  Progress progress;
  long long birth = 0;
  int commanded = 0;
  if (std::sscanf(note.c_str(), "%d %lld %d", &progress.starts, &birth, &commanded) != 3) return {};
  progress.birth = birth;
  progress.commanded = commanded != 0;
  return progress;
}

Step Next(const Permit& permit, const std::optional<Report>& report, bool server, const Outside& outside,
          const Limits& limits, const Waits& waits) {
  const bool mine = report && report->serial == permit.serial;
  if (report && report->serial > permit.serial) return {};  // an older permit than one that is known already
  if (!mine) {
    Step step{permit.withdrawn ? Kind::kStay : Kind::kClaim, 0, "", {}};
    step.report = {permit.serial, permit.withdrawn ? Said::kStayed : Said::kGoing, "", ""};
    return step;
  }
  // A drain holds after it is done: a process that was started anew is put aside again.
  const bool holds = permit.action == Do::kDrain && report->said == Said::kDone;
  if (report->said != Said::kGoing && !holds) return {};
  const Progress progress = Progress::Read(report->note);
  if (server) return OfServer(permit, report, outside, limits, waits, progress);
  if (permit.action == Do::kDrain || permit.action == Do::kUndrain) return Aside(permit, report, outside);
  return ToVersion(permit, report, outside, limits, waits, progress);
}

}  // namespace umberdyke::rollout

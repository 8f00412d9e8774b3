#include "sites/verdict.h"

#include <algorithm>
#include <utility>

namespace umberdyke::sites {
namespace {

constexpr Micros kLeastTime = 200'000;  // from the first failure to a verdict: a blink of the network is none
constexpr Micros kWordLives = 10'000'000;  // an owner says it anew each second or so
constexpr double kHintWeight = 0.25;
constexpr double kSilentWeight = 0.5;    // a silent attempt may be a slow one
constexpr std::size_t kFewestAlive = 2;  // servers of a lost zone that have to answer, or its only one
constexpr int kFewBad = 3;               // failures that make a step a bad one
constexpr double kBadShare = 0.3;        // and the share of its calls
constexpr int kRecent = 12;              // of its last calls, the older ones fading
constexpr int kIdleSteps = 3;            // a step without calls lasts so many times as long
constexpr int kMostDoublings = 20;

const std::vector<Step> kUsualSteps = {
    {0.25, milliseconds(1000)}, {0.5, milliseconds(1000)}, {0.75, milliseconds(1000)}};

Micros ToMicros(milliseconds time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

}  // namespace

const char* Name(State state) {
  switch (state) {
    case State::kSound:
      return "sound";
    case State::kLost:
      return "lost";
    case State::kReturning:
      return "returning";
  }
  return "sound";
}

Verdicts::Verdicts(VerdictSettings settings, int own_zone)
    : settings_(std::move(settings)), own_zone_(own_zone) {}

const std::vector<Step>& Verdicts::Steps() const {
  return settings_.back.empty() ? kUsualSteps : settings_.back;
}

Verdicts::Zone& Verdicts::Of(int zone) {
  if (zone >= Count()) zones_.resize(At(zone) + 1);
  return zones_[At(zone)];
}

void Verdicts::Listed(Micros now, const std::vector<int>& ready) {
  const std::size_t known = std::min(ready.size(), kMostZones);
  if (zones_.size() < known) zones_.resize(known);
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    zones_[z].ready = z < known ? ready[z] : 0;
    Judge(now, static_cast<int>(z));
  }
}

void Verdicts::Heard(Micros now, int zone, std::uint32_t server, Sign sign) {
  if (zone < 0 || At(zone) >= kMostZones) return;
  Zone& z = Of(zone);
  if (sign == Sign::kAnswered) {
    z.answered = now;
    z.failing_since = 0;
    z.failures = 0;
    z.failed.clear();
    ++z.good;
    if (z.state == State::kLost) z.alive.insert(server);
  } else {
    if (z.failing_since == 0) z.failing_since = now;
    z.failures += sign == Sign::kDead ? 1 : sign == Sign::kSilent ? kSilentWeight : kHintWeight;
    if (sign != Sign::kCalledOff) z.failed.insert(server);
    if (sign != Sign::kCalledOff) ++z.bad;
    z.alive.clear();
  }
  if (z.good + z.bad > kRecent) {
    z.good /= 2;
    z.bad /= 2;
  }
  Judge(now, zone);
}

void Verdicts::Probed(Micros now, int zone, std::uint32_t server, bool answered) {
  Heard(now, zone, server, answered ? Sign::kAnswered : Sign::kDead);
}

void Verdicts::Told(Micros now, Directive directive) {
  word_ = std::move(directive);
  word_at_ = now;
  for (int zone = 0; zone < Count(); ++zone) Judge(now, zone);
}

const Directive* Verdicts::Word(Micros now) const {
  return word_ && now - word_at_ < kWordLives ? &*word_ : nullptr;
}

void Verdicts::Turn(Micros now) {
  for (int zone = 0; zone < Count(); ++zone) Judge(now, zone);
}

bool Verdicts::Silent(const Zone& zone, Micros now) const {
  const std::size_t servers = std::min(settings_.servers, static_cast<std::size_t>(std::max(1, zone.ready)));
  const double failures = std::min(settings_.failures, 2.0 * static_cast<double>(servers));
  return zone.failing_since > 0 && now - zone.failing_since >= kLeastTime &&
         now - zone.answered >= settings_.silence && zone.failures >= failures &&
         zone.failed.size() >= servers;
}

// Where no other zone answers either the trouble is this sidecar's own, or everybody's: no zone is better
// than another. One that is called seldom answers where its last call did.
bool Verdicts::OthersAnswer(Micros now, int zone) const {
  for (int other = 0; other < Count(); ++other) {
    const Zone& z = zones_[At(other)];
    if (other == zone || z.answered == 0 || z.state == State::kLost) continue;
    const Micros since = now - z.answered;
    if (since < settings_.silence / 2 || (z.failing_since == 0 && since < 4 * settings_.silence)) return true;
  }
  return false;
}

bool Verdicts::Suspect(Micros now, int zone) const {
  if (zone >= Count()) return false;
  const Zone& z = zones_[At(zone)];
  return z.state != State::kLost && z.failures > 0 && z.ready > 0 &&
         now - z.failing_since < 4 * settings_.silence;
}

std::vector<int> Verdicts::Lost() const {
  std::vector<int> lost;
  for (int zone = 0; zone < Count(); ++zone) {
    if (zones_[At(zone)].state == State::kLost) lost.push_back(zone);
  }
  return lost;
}

bool Verdicts::cut_off() const {
  int others = 0;
  for (int zone = 0; zone < Count(); ++zone) {
    const Zone& z = zones_[At(zone)];
    if (zone == own_zone_ || (z.ready == 0 && z.state == State::kSound)) continue;
    if (z.state != State::kLost) return false;
    ++others;
  }
  return others >= 2;
}

bool Verdicts::Alive(int zone) const {
  const Zone& z = zones_[At(zone)];
  return z.alive.size() >= std::min(kFewestAlive, static_cast<std::size_t>(std::max(1, z.ready)));
}

void Verdicts::Judge(Micros now, int zone) {
  Zone& z = Of(zone);
  const Directive* word = Word(now);
  const bool told = word != nullptr && std::binary_search(word->lost.begin(), word->lost.end(), zone);
  const bool answers = z.answered > 0 && now - z.answered < settings_.silence;
  if (z.state != State::kLost) {
    if (Silent(z, now) && OthersAnswer(now, zone))
      return Lose(now, zone, "nothing comes from it, and others answer");
    // Not against what it knows itself: an answer of late holds, where nothing has failed since.
    const bool knows = z.answered > 0 && z.failing_since == 0 && now - z.answered < 4 * settings_.silence;
    if (told && !knows && !answers && OthersAnswer(now, zone)) {
      const int flaps = z.flaps;
      Lose(now, zone, "the fleet's owner says so");
      z.flaps = flaps;  // its own wait grows by what it saw itself
      z.held_until = now;
      z.by_word = true;
      return;
    }
    if (z.state == State::kReturning) StepOn(now, zone);
    return;
  }
  // What was taken on an owner's word alone is given back with it; else its servers have to answer.
  if (z.by_word && !told && z.failures == 0) return Return(now, zone, "the fleet's owner no longer says so");
  if (Alive(zone) && now >= z.held_until && (!told || answers)) Return(now, zone, "its servers answer again");
}

void Verdicts::Become(Micros now, int zone, State state, const std::string& why) {
  Zone& z = Of(zone);
  changes_.push_back({now, zone, z.state, state, why});
  z.state = state;
  z.since = now;
  z.good = z.bad = 0;
}

void Verdicts::Lose(Micros now, int zone, const std::string& why) {
  Zone& z = Of(zone);
  const bool again =
      z.state == State::kReturning || (z.sound_since > 0 && now - z.sound_since < settings_.calm);
  z.flaps = again ? std::min(z.flaps + 1, kMostDoublings) : 0;
  z.held_until = now + std::min(settings_.first_hold << z.flaps, settings_.longest_hold);
  z.alive.clear();
  z.by_word = false;
  Become(now, zone, State::kLost, why);
}

void Verdicts::Return(Micros now, int zone, const std::string& why) {
  Zone& z = Of(zone);
  z.step = 0;
  z.failures = 0;
  z.failing_since = 0;
  z.failed.clear();
  z.by_word = false;
  Become(now, zone, State::kReturning, why);
}

void Verdicts::StepOn(Micros now, int zone) {
  Zone& z = Of(zone);
  const std::vector<Step>& steps = Steps();
  if (z.bad >= kFewBad && z.bad > kBadShare * (z.good + z.bad)) {
    if (z.step == 0) return Lose(now, zone, "its calls fail as it returns");
    --z.step;
    z.since = now;
    z.good = z.bad = 0;
    return;
  }
  const Micros hold = ToMicros(steps[z.step].hold);
  if (now - z.since < (z.good > 0 ? hold : kIdleSteps * hold)) return;
  ++z.step;
  z.since = now;
  z.good = z.bad = 0;
  if (z.step < steps.size()) return;
  z.step = 0;
  z.sound_since = now;
  Become(now, zone, State::kSound, "it has taken its whole share");
}

double Verdicts::Part(Micros now, int zone) const {
  if (zone >= Count()) return 1;
  const Zone& z = zones_[At(zone)];
  double part = z.state == State::kLost ? 0 : z.state == State::kReturning ? Steps()[z.step].part : 1;
  if (const Directive* word = Word(now); word != nullptr) {
    const auto most = word->returning.find(zone);
    if (most != word->returning.end()) part = std::min(part, most->second);
  }
  return part;
}

}  // namespace umberdyke::sites

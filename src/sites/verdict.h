// Verdicts on zones: lost, returning or sound, from what came of own calls and probes, from the list, and
// from the owner's word. Pure; the time comes with each call.
//
// A zone is lost once nothing came from it for a while and several of its servers failed in that time, while
// others answer: one slow zone, or a few dead servers in it, is none. Where every zone but the own one is
// silent, this sidecar is the one that is cut off: it keeps to what it reaches, and says nothing for others.
// The word of an owner never goes before an own answer, and counts for no longer than it lives.
//
// A lost zone is probed and not sent to. It returns once probes are answered and a hold is over that doubles
// with each time that it came back for a moment; its part then rises step by step while all is well, and
// falls back at once.
#ifndef UMBERDYKE_SITES_VERDICT_H_
#define UMBERDYKE_SITES_VERDICT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sites/plan.h"
#include "umberdyke/balancer.h"

namespace umberdyke::sites {

enum class Sign {
  kAnswered,   // anything came back
  kSilent,     // nothing did, in all of an attempt's time
  kCalledOff,  // nothing did for so long that it was called off: a hint
  kDead,       // no connection, or it broke
};

enum class State { kSound, kLost, kReturning };
const char* Name(State state);

struct VerdictSettings {
  Micros silence = 700'000;       // without an answer
  double failures = 4;            // in that time; silent attempts count half
  std::size_t servers = 3;        // that failed, or all that the zone has
  Micros first_hold = 1'000'000;  // at least so long lost
  Micros longest_hold = 30'000'000;
  Micros calm = 60'000'000;  // sound for so long, and earlier losses are forgotten
  std::vector<Step> back;    // empty: a quarter each second
};

struct Change {
  Micros at = 0;
  int zone = 0;
  State from = State::kSound, to = State::kSound;
  std::string why;
};

class Verdicts {
 public:
  Verdicts(VerdictSettings settings, int own_zone);

  // How many servers of each zone the list has ready.
  void Listed(Micros now, const std::vector<int>& ready);
  void Heard(Micros now, int zone, std::uint32_t server, Sign sign);
  // What came of a probe: it counts as a call, and towards a return.
  void Probed(Micros now, int zone, std::uint32_t server, bool answered);
  void Told(Micros now, Directive directive);
  // Time has passed.
  void Turn(Micros now);

  State state(int zone) const { return zone < Count() ? zones_[At(zone)].state : State::kSound; }
  // Of its share: 0 while lost, a step's while it returns.
  double Part(Micros now, int zone) const;
  // Every other zone is lost to this sidecar, and there are at least two of them.
  bool cut_off() const;
  // Lost by the owner's word alone: no opinion of its own.
  bool ByWord(int zone) const { return zone < Count() && zones_[At(zone)].by_word; }
  // As many of its servers have answered since it was lost as a return needs.
  bool Alive(int zone) const;
  // Something failed there and nothing has come since: a probe would tell more.
  bool Suspect(Micros now, int zone) const;
  std::vector<int> Lost() const;  // ascending
  int Count() const { return static_cast<int>(zones_.size()); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Zone {
    State state = State::kSound;
    int ready = 0;
    Micros answered = 0;  // the last time; 0: never
    Micros failing_since = 0;
    double failures = 0;  // since the last answer
    std::set<std::uint32_t> failed, alive;
    Micros since = 0;  // of this state, or of this step
    Micros held_until = 0, sound_since = 0;
    int flaps = 0;
    std::size_t step = 0;
    int good = 0, bad = 0;  // in this step
    bool by_word = false;   // lost by the owner's word alone
  };
  static std::size_t At(int zone) { return static_cast<std::size_t>(zone); }
  Zone& Of(int zone);
  const std::vector<Step>& Steps() const;
  void Judge(Micros now, int zone);
  void Lose(Micros now, int zone, const std::string& why);
  void Return(Micros now, int zone, const std::string& why);
  void StepOn(Micros now, int zone);
  void Become(Micros now, int zone, State state, const std::string& why);
  bool Silent(const Zone& zone, Micros now) const;
  bool OthersAnswer(Micros now, int zone) const;
  const Directive* Word(Micros now) const;

  const VerdictSettings settings_;
  const int own_zone_;
  std::vector<Zone> zones_;
  std::vector<Change> changes_;
  std::optional<Directive> word_;
  Micros word_at_ = 0;
};

}  // namespace umberdyke::sites

#endif  // UMBERDYKE_SITES_VERDICT_H_

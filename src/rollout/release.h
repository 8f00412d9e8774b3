// Releases, restarts and drains as a state machine: who may go out next, what closes a permit, when to halt
// and how the way back goes. One owner at a time keeps the state; each change of it is one step of the duty's
// journal, written with the permits in one transaction.
//
// What rests on time (how long a unit is warm, how long a wave stood, what changed units did beside the
// others) is counted by one owner and kept in its memory: the next one counts anew, and nothing goes out
// meanwhile. A permit has no time: it ends when its host said what became of it and the unit was seen since.
#ifndef UMBERDYKE_ROLLOUT_RELEASE_H_
#define UMBERDYKE_ROLLOUT_RELEASE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rollout/budget.h"
#include "rollout/expect.h"
#include "rollout/units.h"

namespace umberdyke::rollout {

enum class What {
  kRelease,
  kRestart,
  kDrain
};  // sidecars to a version; servers by a command; units put aside
const char* Name(What what);
enum class Phase {
  kGoing,
  kHalted,     // nothing new goes out
  kBack,       // what was changed, or put aside, comes back
  kStands,     // all done: a release waits for its seal, a drain for its end
  kSealed,     // over, as it was meant
  kTakenBack,  // over, as it was before
};
const char* Name(Phase phase);

// What a sidecar runs: the program and the folder of its file.
struct Version {
  std::string label, program, files;
  friend bool operator==(const Version&, const Version&) = default;
};

enum class Do { kGo, kBack, kRestart, kDrain, kUndrain };
const char* Name(Do action);

struct Permit {
  std::int64_t serial = 0;  // growing, over all permits ever
  std::string job, unit, host;
  Do action = Do::kGo;
  Version to;
  bool withdrawn = false;  // not to be used any more, where it has not been
  bool done = false;       // of a drain: it is out, and stays so
  friend bool operator==(const Permit&, const Permit&) = default;
};

struct Job {
  std::string id;
  What what = What::kRelease;
  Version to, from;
  std::vector<std::vector<std::string>> waves;
  std::size_t wave = 0;
  Phase phase = Phase::kGoing;
  std::string reason;                         // of a halt or a way back
  std::string by, why;                        // who began it, and why
  std::set<std::string> touched;              // got a permit once
  std::set<std::string> changed;              // seen so since
  std::map<std::string, std::string> failed;  // and why
  bool over() const { return phase == Phase::kSealed || phase == Phase::kTakenBack; }
  std::size_t units() const;
  friend bool operator==(const Job&, const Job&) = default;
};

struct State {
  std::int64_t serial = 0;  // of the last permit
  Version current;          // sealed last; an empty label: none yet
  std::vector<Job> jobs;    // begun and not over, the oldest first
  std::vector<Permit> permits;
  std::vector<Job> history;                                  // over, the oldest first; bounded
  std::vector<std::pair<std::string, std::string>> answers;  // to wishes, by id; empty: done; bounded
  friend bool operator==(const State&, const State&) = default;
};
std::string Print(const State& state);
// An empty text is a state in which nothing was begun. Absent, with one line of why, where it cannot be read.
std::optional<State> ReadState(const std::string& text, std::string* why);

// What a host said of its newest permit for a unit.
enum class Said { kGoing, kDone, kFailed, kStayed };
const char* Name(Said said);
struct Report {
  std::int64_t serial = 0;
  Said said = Said::kGoing;
  std::string why;
  std::string note;  // of the host's own: what it did so far
  friend bool operator==(const Report&, const Report&) = default;
};

// What an operator asks for.
struct Wish {
  std::string id;
  std::string verb;  // start, restart, drain, undrain, halt, resume, back, seal
  std::string application, by, why;
  std::string job;           // of the last five; empty: the only one there is
  Version to;                // of start
  std::string select, name;  // of restart, drain and undrain: sidecar, server, host, zone, and which
  friend bool operator==(const Wish&, const Wish&) = default;
};
std::string Print(const Wish& wish);
std::optional<Wish> ReadWish(const std::string& text, std::string* why);

struct Settings {
  milliseconds warm_sidecar{2000}, warm_server{5000};  // able for so long before it counts as back
  milliseconds stand{30'000};                          // what a wave has to stand before the next
  // And until its changed ones have answered so many, for ten times as long at most.
  std::int64_t stand_answers = 0;
  milliseconds gone_after{5000};  // a changed unit that is not able for so long has failed
  int failures = 0;               // units that may fail before a release is halted
  bool back_by_itself = true;     // after a blame or failures
  bool back_when_unwell = false;  // and after a halt as those not changed do worse, outage or not
  double least_heard = 0.5;       // of all sidecars; below, sight is lost
  Expect expect;
  friend bool operator==(const Settings&, const Settings&) = default;
};

struct Layout {
  std::string application;
  std::vector<Unit> units;
  std::vector<Budget> budgets;
  Version base;  // what runs before the first release; an unnamed version is this one
  Settings settings;
};

// One look at everything. `reports` were read before the units were asked: what they say had happened by
// then.
struct Look {
  std::map<std::string, Report> reports;  // by unit
  Sights sights;
  std::vector<std::string> lost_zones;
  std::vector<Wish> wishes;
  milliseconds since{};  // this owner's last look; zero: it is its first
};

class Rollout {
 public:
  explicit Rollout(Layout layout);
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  // What the state becomes. The same state where there is nothing to do.
  State Decide(const State& before, const Look& look);
  // A new owner begins to count.
  void Forget();
  // Out now, by the latest look and this state.
  std::set<std::string> Out(const State& state) const;

 private:
  struct Known {
    std::string life;
    milliseconds able{}, unable{};
    Seen seen;
  };
  void Observe(const State& state, const Look& look);
  void Close(State* state, const Look& look) const;
  void Take(State* state, const Wish& wish) const;
  std::string Answer(State* state, const Wish& wish) const;
  std::string Start(State* state, const Wish& wish) const;
  std::string PutAside(State* state, const Wish& wish) const;
  std::string Command(State* state, const Wish& wish) const;
  void Advance(State* state, Job* job, const Look& look);
  void Halt(Job* job, const std::string& why, bool back) const;
  void Finish(State* state) const;
  void Grant(State* state) const;
  void Withdraw(State* state, const Job& job) const;
  std::vector<const Unit*> Selected(const std::string& select, const std::string& name) const;
  std::vector<std::vector<std::string>> Waves(std::vector<const Unit*> units) const;
  const Unit* Find(const std::string& name) const;
  const Known* Of(const std::string& name) const;
  bool Warm(const Unit& unit) const;
  bool Runs(const std::string& unit, const Version& version) const;
  std::string LabelOf(const Seen& seen) const { return seen.label.empty() ? layout_.base.label : seen.label; }

  const Layout layout_;
  const Budgets budgets_;
  std::unordered_map<std::string, const Unit*> units_;
  std::unordered_map<std::string, Known> known_;
  std::vector<std::string> lost_zones_;
  struct Stand {
    milliseconds time{};
    double answers = 0;  // of changed ones, when it began
  };
  std::map<std::string, Stand> stood_;    // by job
  std::map<std::string, Watch> watches_;  // by job
};

// What stands for one host in the service: its permits, and what it says of them, by unit.
std::string PrintPermits(const std::vector<Permit>& permits);
std::optional<std::vector<Permit>> ReadPermits(const std::string& text, std::string* why);
std::string PrintReports(const std::map<std::string, Report>& reports);
std::optional<std::map<std::string, Report>> ReadReports(const std::string& text, std::string* why);

// The first permit of a unit; nullptr where it has none.
const Permit* PermitOf(const State& state, const std::string& unit);

}  // namespace umberdyke::rollout

#endif  // UMBERDYKE_ROLLOUT_RELEASE_H_

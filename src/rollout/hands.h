// What the agent of a host does next for one permit, from what it sees outside: the two consoles of a sidecar
// and whether a process that it started lives, or a server's node and its load. It keeps no memory of its own
// that counts: after a restart the same sight leads to the same step, so nothing is begun twice.
#ifndef UMBERDYKE_ROLLOUT_HANDS_H_
#define UMBERDYKE_ROLLOUT_HANDS_H_

#include <array>
#include <optional>
#include <string>

#include "rollout/release.h"

namespace umberdyke::rollout {

// One of the two places where a process of a sidecar may be: its console's address, and a lock that a process
// started by an agent holds for as long as it lives.
struct Slot {
  bool answers = false;
  bool serving = false;  // else starting, drained or ending
  bool drained = false;
  bool ending = false;
  bool locked = false;  // a process that an agent started lives here
  std::string label, life;
};

struct Outside {
  std::array<Slot, 2> slots;  // of a sidecar
  bool listed = false;        // a server's node is there
  bool draining = false;      // and says that it leaves
  bool at_rest = false;       // nothing is under way there, and what was told to leave had its time
  std::int64_t birth = 0;     // of the node: another one after a restart
};

struct Limits {
  milliseconds ready_within{20'000};  // from a start until it serves, or until a server is back
  milliseconds end_within{20'000};    // from being told to end until it has
  int starts = 2;                     // of one permit: a second only where the first one's process is gone
};

// How far this permit is, as the agent reckons it; kept in the report's note, so that a successor goes on.
struct Progress {
  int starts = 0;
  std::int64_t birth = 0;  // of a server's node before its restart
  bool commanded = false;  // the operators' command was begun
  std::string Print() const;
  static Progress Read(const std::string& note);
  friend bool operator==(const Progress&, const Progress&) = default;
};

struct Step {
  enum class Kind {
    kNothing,      // wait, or all is done
    kClaim,        // say, together with the permit's being there, that it goes; nothing was done before
    kStay,         // likewise, that it never will
    kStart,        // a process in `slot`; say the progress first
    kEnd,          // the process of `life` in `slot`
    kKill,         // the one that was started in `slot`
    kPutAside,     // the sidecar in `slot`: its clients go elsewhere
    kTakeBack,     // and come again
    kTellLeaving,  // the server's node says that it leaves
    kTellReady,
    kCommand,  // the operators' own; say the progress first
    kSay,      // the report that is in `report`
  };
  Kind kind = Kind::kNothing;
  int slot = 0;
  std::string life;
  Report report;
};

// `waited`: since this agent last began to wait for the same thing; what it waits for is in the step's name.
struct Waits {
  milliseconds for_ready{}, for_end{};
};

// `server`: whether the permit's unit is one.
Step Next(const Permit& permit, const std::optional<Report>& report, bool server, const Outside& outside,
          const Limits& limits, const Waits& waits);

}  // namespace umberdyke::rollout

#endif  // UMBERDYKE_ROLLOUT_HANDS_H_

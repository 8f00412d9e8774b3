// Every interleaving, within bounds, of owners, hosts and a release under a budget of one: the real decisions
// (rollout/release.h, rollout/hands.h) and a model of the service and the processes between them.
//
// At any moment: an owner reads, looks or commits, at its own pace, also one that has been replaced; a host's
// agent reads, looks or acts, also one that was taken for dead and has a successor; processes come up, grow
// warm and end when they like; operators halt, resume and take back. Pure.
//
// A way that was found, or thought of, can be gone again by its steps.
#ifndef UMBERDYKE_LAB_EXPLORE_EXPLORE_ROLLOUT_H_
#define UMBERDYKE_LAB_EXPLORE_EXPLORE_ROLLOUT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace umberdyke::lab {

// What stands between two at work and one too many out; each may be taken out, to show that it is needed.
struct RolloutGuards {
  bool journal = true;  // an owner commits on the state that it read, or not at all
  bool permits = true;  // a host says that it goes on the permit that it read, or not at all
  bool reports = true;  // and on what it read of its own reports
  bool sight = true;    // a permit ends only when its unit was seen back
  bool order = true;    // reports are read before units are looked at
  bool life = true;     // an end is for the process that was seen
};

struct RolloutBounds {
  int units = 2;       // each on a host of its own; one may be out
  int takeovers = 1;   // of the owner; the one before may go on with what it has read
  int successors = 0;  // agents of the first host beside one that is taken for dead
  int crashes = 0;     // of processes of the new version; the release goes on after so many failures
  bool halt = false, back = false;  // by an operator, once each; a halt is resumed
  bool servers = false;             // the units are servers, and are restarted
  std::vector<std::string> way{};   // in place of every interleaving: just these steps, as long as they go
  std::uint64_t most_states = 3'000'000;
};

struct RolloutExplored {
  std::uint64_t states = 0, ways = 0;
  std::uint64_t refused = 0;     // writings on what had changed meanwhile: the danger arose
  std::uint64_t held = 0;        // ends meant for a process that was there no more
  std::uint64_t over = 0;        // states in which the release was complete, or taken back
  bool whole = false;            // every state within the bounds was seen
  std::string broken;            // what must hold and did not; empty: nothing
  std::vector<std::string> way;  // to the first state where it did not, a step a line
};

RolloutExplored ExploreRollout(const RolloutBounds& bounds, const RolloutGuards& guards = {});

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_EXPLORE_EXPLORE_ROLLOUT_H_

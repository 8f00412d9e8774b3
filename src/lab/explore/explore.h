// Every interleaving, within bounds, of candidates for one duty, the coordination service, and one place of
// effect: the real state machine (owner/claim.h), journal and fence, and a model of everything between them.
//
// What may happen at any moment: a message arrives or goes on waiting, a connection breaks with requests done
// or not, an answer is lost, an order is held for as long as one likes, comes twice or out of turn, a session
// runs out as soon as the service may let it, the place restarts, an owner resigns, and nobody does anything
// while time passes (a process that is stopped). Pure.
#ifndef UMBERDYKE_LAB_EXPLORE_EXPLORE_H_
#define UMBERDYKE_LAB_EXPLORE_EXPLORE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace umberdyke::lab {

// What stands between an old owner and harm; each may be taken out, to show that it is needed.
struct Guards {
  bool fence = true;      // the place refuses older terms
  bool life = true;       // and orders made for an earlier life of it
  bool check = true;      // writes to the service need the owner's claim
  bool margin = true;     // an owner stops before its session could have run out by a faster clock
  bool sent_time = true;  // its time is reckoned from when it asked, not from when it was answered
  bool numbers = true;    // the place tells a repeated step
};

struct ExploreBounds {
  int candidates = 3;
  int ticks = 3;     // of time; a session lasts two, and the service's clock may run one ahead
  int sessions = 1;  // of each candidate, after its first
  int breaks = 1;    // of connections
  int repeats = 1;   // of orders
  int restarts = 1;  // of the place
  int resignations = 1;
  int removals =
      0;  // of an owner's claim by hand, its session living on: then two may believe, and none may act
  int steps = 2;  // of the duty
  std::uint64_t most_states = 50'000'000;
};

struct Explored {
  std::uint64_t states = 0;
  std::uint64_t ways = 0;     // transitions taken
  std::uint64_t refused = 0;  // orders of replaced owners that came and were refused: the danger arose
  std::uint64_t repeated = 0;
  std::uint64_t takeovers = 0;
  bool whole = false;            // every state within the bounds was seen
  std::string broken;            // what must hold and did not; empty: nothing
  std::vector<std::string> way;  // to the first state where it did not, a step a line
};

Explored Explore(const ExploreBounds& bounds, const Guards& guards = {});

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_EXPLORE_EXPLORE_H_

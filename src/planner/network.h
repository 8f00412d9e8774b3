// What a plan for the loss of a zone is made from: zones with what their servers can do, ways between them,
// and the parts of the clients' requests in the order in which they are refused. Figures are usual requests a
// second: a request of the mean work over all classes counts 1.
//
// This room (src/planner) works out where load goes when a zone, two, or the way between two is lost, and
// proves what it says. It may not know sockets, clocks, files or what goes on now: figures come in, plans go
// out.
#ifndef UMBERDYKE_PLANNER_NETWORK_H_
#define UMBERDYKE_PLANNER_NETWORK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/application.h"

namespace umberdyke::planner {

struct Way {
  double ms = 0;  // one way
  double cost = 0;
};

struct Tier {
  std::string name;
  double calls = 1;              // that one client's request makes to it, over all tiers above
  std::vector<double> capacity;  // by zone: clients' requests a second whose calls here it can do
};

struct Edge {
  std::size_t from = 0, to = 0;  // tiers
  double share = 1;              // of the calls to `to` that come from `from`
};

// A part of the requests: those that go together where not all can be served.
struct Part {
  std::string name;
  std::size_t rank = 0;      // 0 goes first; parts of one rank go evenly
  double worth = 0;          // for the work of one usual request
  bool stays = false;        // served where it comes, or not at all
  bool inside = true;        // of a tenant's share, and no client's second try
  std::vector<double> rate;  // by zone
};

struct Network {
  std::string application;
  std::vector<std::string> zones;
  std::vector<Tier> tiers;  // callers first; clients reach the first
  std::vector<Edge> edges;
  std::vector<std::vector<std::optional<Way>>> ways;  // zone by zone, the same both ways; absent: none
  std::vector<Part> parts;                            // by rank
  double keep_free = 0;                               // share of every capacity that is left alone
  bool clients_move = true;                           // a lost zone's clients come to others
  // For words: classes whose repeats only their own zone's servers drop, and for how long.
  std::vector<std::string> held_to_zone;

  std::size_t ranks() const { return parts.empty() ? 0 : parts.back().rank + 1; }
  double Usable(std::size_t tier, std::size_t zone) const {
    return tiers[tier].capacity[zone] * (1 - keep_free);
  }
};

// Of a description without findings that has [sites].
Network Describe(const config::Application& application);

}  // namespace umberdyke::planner

#endif  // UMBERDYKE_PLANNER_NETWORK_H_

// The planner: for the loss of each zone, of each two, and of the way between two, where every zone's load
// goes and what is refused.
//
// Each is a linear program. It serves the most, the parts of a higher rank before any of a lower one, those
// of one rank evenly over the zones (in tenths); of all such answers it takes the one whose load goes over
// the quickest and cheapest ways, which leaves what can stay where it is. No zone is asked for more than the
// usable share of what it can do, at any tier. docs/sites.md says why a linear program, and which others were
// weighed.
#ifndef UMBERDYKE_PLANNER_PLANNER_H_
#define UMBERDYKE_PLANNER_PLANNER_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "planner/network.h"

namespace umberdyke::planner {

// What is lost: zones, or the way between two; nothing at all is the usual day.
struct Loss {
  std::vector<std::size_t> zones;
  std::optional<std::pair<std::size_t, std::size_t>> way;
  bool Takes(std::size_t zone) const;
};
std::string Name(const Network& network, const Loss& loss);

// All figures in usual requests a second.
struct Answer {
  Loss loss;
  std::vector<std::vector<double>> flow;  // [from][to]: clients' requests of a zone, where served
  std::vector<std::vector<std::vector<double>>> calls;  // [edge][from][to]
  std::vector<std::vector<double>> served;              // [part][zone]
  std::vector<std::vector<double>> load;                // [tier][zone]
  double asked = 0, done = 0;
  double worth_asked = 0, worth_done = 0;
  // That of the asked which is not served, and of it what is inside its share.
  double refused() const { return asked - done; }
  double refused_inside = 0;
};

class Planner {
 public:
  explicit Planner(Network network);
  ~Planner();
  const Network& network() const { return network_; }
  // Throws std::runtime_error where the solver fails.
  Answer Solve(const Loss& loss);

 private:
  struct Program;
  const Network network_;
  std::unique_ptr<Program> program_;
};

// Every loss of one zone, then of each two where `pairs`, then of each way where `ways`.
std::vector<Loss> Losses(const Network& network, bool pairs, bool ways);

}  // namespace umberdyke::planner

#endif  // UMBERDYKE_PLANNER_PLANNER_H_

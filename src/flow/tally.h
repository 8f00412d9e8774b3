// The operators' figures: what came of the requests of each class, and attempts written whole. Flows are
// counted at book and attempts where their last byte is written; nobody else counts.
#ifndef UMBERDYKE_FLOW_TALLY_H_
#define UMBERDYKE_FLOW_TALLY_H_

#include <cstdint>
#include <vector>

#include "platform/console_calls.h"

namespace umberdyke::net {

enum class Ending {
  kServed,
  kTurnedDown,
  kFailed,
  kLeft,  // the client went before its answer was whole
};

class Tally {
 public:
  explicit Tally(const std::vector<std::string>& class_names) {
    for (const std::string& name : class_names) figures_.classes.push_back({name, 0, 0, 0});
  }

  void Ended(int request_class, Ending ending) {
    Figures::OfClass& c = figures_.classes.at(static_cast<size_t>(request_class));
    ++(ending == Ending::kServed ? c.success : ending == Ending::kTurnedDown ? c.overload : c.error);
  }
  void Dispatched() { ++figures_.dispatches; }
  const Figures& figures() const { return figures_; }

 private:
  Figures figures_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_TALLY_H_

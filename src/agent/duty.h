// A duty: a named job that one agent at a time does for the fleet, a step after the other. Whoever adds one
// writes a class like census.h and adds it where the agent puts its duties together.
//
// A duty decides what a step is; the runner (runner.h) decides when, whether this agent may, and what is
// kept. Effects on the coordination service go into Done::with, which is written in one transaction with the
// step's commit and the check of the claim. Effects elsewhere carry term and step, and ask `may_act` before
// each.
#ifndef UMBERDYKE_AGENT_DUTY_H_
#define UMBERDYKE_AGENT_DUTY_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loop/loop.h"
#include "owner/journal.h"
#include "zookeeper/node_client.h"

namespace umberdyke::agent {

struct Work {
  owner::Term term = 0;
  owner::Step step = 0;
  std::string plan;
  std::string state;  // as committed last
};

struct Done {
  bool worked = false;
  bool replaced = false;  // a place of effect has seen a newer term
  std::string why;        // where it did not work
  std::string state;      // to be committed
  std::vector<nodes::Op> with;
};

class Duty {
 public:
  virtual ~Duty() = default;
  virtual std::string_view name() const = 0;
  virtual net::Span pace() const = 0;  // between two steps
  // Learns what the step needs and says its plan; absent: there is nothing to do now. Called before every
  // writing that means a step, also one that is done again: then its plan stands already, and only what is
  // learnt counts.
  virtual void Prepare(const owner::Journal& journal,
                       std::function<void(std::optional<std::string> plan)> done) = 0;
  virtual void Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) = 0;
  // Drops what is out; neither `done` follows any more.
  virtual void Stop() = 0;
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_DUTY_H_

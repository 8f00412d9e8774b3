// The stand-in coordination service told what to do wrong from outside its process: a line a command, each
// answered by one line that begins with "ok" or "no". For runs and for trying things by hand; on loopback,
// bounded.
#ifndef UMBERDYKE_LAB_COORDINATOR_CONTROL_H_
#define UMBERDYKE_LAB_COORDINATOR_CONTROL_H_

#include <list>
#include <memory>
#include <string>

#include "lab/coordinator/ensemble.h"

namespace umberdyke::lab {

class Control {
 public:
  // Throws std::runtime_error where the address cannot be listened on.
  Control(net::Loop& loop, const std::string& address, Ensemble& ensemble);
  ~Control();
  std::string address() const { return net::PrintAddress(listener_.address()); }

  // Also without a connection: what the commands are stands in `help`.
  static std::string Do(Ensemble& ensemble, const std::string& line);

 private:
  class Caller;
  void Come();
  void Gone(Caller* caller);

  net::Loop& loop_;
  Ensemble& ensemble_;
  std::list<std::unique_ptr<Caller>> callers_;
  net::Listener listener_;
};

// Writes every commit and refusal as a JSON line with its steady time in microseconds: what was done at this
// place of effect, for judges. Throws std::runtime_error where the file cannot be written.
void RecordCommits(Ensemble* ensemble, const std::string& path);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_COORDINATOR_CONTROL_H_

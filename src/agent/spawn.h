// Processes that an agent starts and that outlive it: a sidecar of a version, under a lock that is held for
// as long as the process lives, so that whoever comes later, this agent's successor first of all, can tell
// without a doubt whether it does.
#ifndef UMBERDYKE_AGENT_SPAWN_H_
#define UMBERDYKE_AGENT_SPAWN_H_

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "loop/loop.h"

namespace umberdyke::agent {

struct Command {
  std::vector<std::string> words;                                // the program first, by its path
  std::vector<std::pair<std::string, std::string>> environment;  // beside this process's own
  std::string lock;                                              // a file; empty: none
};
// The processes that were started here and are looked after while this lives; they live on without it.
class Children {
 public:
  explicit Children(net::Loop& loop) : loop_(loop) {}
  ~Children();
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;

  // Empty, or why it was not started; a lock that is held is such a reason. `ended` is told its status while
  // this lives; 128 and the signal where one ended it.
  std::string Spawn(const Command& command, std::function<void(int status)> ended);

 private:
  struct Child;
  static void Close(Child* child);

  net::Loop& loop_;
  std::set<Child*> all_;
};

// Whether a process that was started under this lock lives.
bool Locked(const std::string& lock);
// Ends it at once. False where none lives, or the lock does not say which it is.
bool KillLocked(const std::string& lock);

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_SPAWN_H_

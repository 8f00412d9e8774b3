// Handing the clients' listening socket from the running process of a sidecar to the one that replaces it, by
// a Unix socket in a folder that both see. docs/note-running.md says why this way.
//
// Knows nothing of flows or limits: it finds the other process, passes the socket, and tells when the other
// one comes, serves and goes. Whatever is wrong with the folder or the other process leaves an ordinary
// start.
#ifndef UMBERDYKE_HANDOVER_HANDOVER_H_
#define UMBERDYKE_HANDOVER_HANDOVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "loop/loop.h"

namespace umberdyke::net {

class Handover {
 public:
  struct Owner {
    std::function<int()> listener;  // the socket to pass; -1: there is none to pass now
    std::function<void()> changed;  // the other process has come, serves, or has gone
  };
  // `folder` empty: nobody is asked, and nobody can ask.
  Handover(Loop& loop, const std::string& folder, const Address& listen, Counters& counters, Owner owner);
  ~Handover();

  // Asks a predecessor for its listening socket; blocks for a moment at the most. The caller owns the socket.
  std::optional<int> Ask();
  // From now on whoever asks gets the socket, and a predecessor knows that it may leave.
  // Returns an empty text, or why nobody can ask.
  std::string Offer();

  bool predecessor() const { return predecessor_ != nullptr; }  // lives, and has passed its socket
  bool successor() const;                                       // lives, has the socket and serves
  bool shared() const { return predecessor() || !successors_.empty(); }

 private:
  struct Successor;
  void Come();
  void Hear(Successor& successor);
  void PredecessorGone();
  std::string PathError() const;

  Loop& loop_;
  const std::string path_;
  const Address listen_;
  Counters& counters_;
  const Owner owner_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  std::unique_ptr<FdWatcher> offer_;
  std::unique_ptr<FdWatcher> predecessor_;
  std::vector<std::unique_ptr<Successor>> successors_;
  bool offered_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HANDOVER_HANDOVER_H_

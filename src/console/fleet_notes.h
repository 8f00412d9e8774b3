// What the owners of fleet-wide duties have this sidecar hold: for each duty the latest note, taken once and
// never from an older owner (owner/fence.h). Notes are for people and programs on this host, who can read
// them while everything else is cut off; nothing of them touches a request.
//
// This room may not know who sends orders or why. It lives as long as the process: each start has a life of
// its own, drawn at random, which orders have to name.
#ifndef UMBERDYKE_CONSOLE_FLEET_NOTES_H_
#define UMBERDYKE_CONSOLE_FLEET_NOTES_H_

#include <functional>
#include <map>
#include <string>

#include "counters/counters.h"
#include "log/log.h"
#include "loop/loop.h"
#include "owner/fence.h"
#include "platform/console_calls.h"

namespace umberdyke::net {

// Of a duty whose notes are for this sidecar itself: whether a text can be used, and its use.
struct NoteHandler {
  std::function<std::string(const std::string& text)> check;  // why not; empty: it can
  std::function<void(const std::string& text)> take;
};

class FleetNotes {
 public:
  // `application`: whose orders are taken; empty: nobody's. `users` by duty; the others' notes are for
  // people.
  FleetNotes(std::string application, Counters& counters, log::Log& log,
             std::map<std::string, NoteHandler, std::less<>> users = {});

  // The whole answer: 200 taken, or taken before; 404 an unknown duty; 409 of another application, of an
  // older term or step, or a text that cannot be used; 412 made for another life of this process.
  std::string Take(FleetOrder order);
  std::string Show(const FleetNoteRequest& note) const;
  const std::string& life() const { return life_; }
  // Lines of "name=value": application, life, and the term, step and age of each duty's note.
  std::string Lines() const;

 private:
  struct Note {
    owner::Fence fence;
    std::string text;
    Time taken{};
  };
  std::string Answer(int status, const std::string& verdict, const Note* note) const;

  const std::string application_;
  const std::string life_;
  const std::map<std::string, NoteHandler, std::less<>> users_;
  Counters& counters_;
  log::Log& log_;
  std::map<std::string, Note, std::less<>> notes_;  // by duty; those that are known, and no others
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_CONSOLE_FLEET_NOTES_H_

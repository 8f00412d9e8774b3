// Keeps the latest note of each fleet-wide duty. The leader of a duty sends it in an order, which is applied
// once and never after an order of a newer leader (owner/fence.h). People and programs on this host can read
// the notes even when the host is cut off from everything else; requests are not affected by them.
//
// This module must not depend on who sends orders or why. Its state ends with the process: each process start
// draws a random id, its `life`, which orders must name.
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

// For a duty whose notes the sidecar itself uses.
struct NoteHandler {
  // Returns why `text` is unusable, or an empty string.
  std::function<std::string(const std::string& text)> check;
  std::function<void(const std::string& text)> apply;
};

class FleetNotes {
 public:
  // Accepts only orders for `application`; none if it is empty. `handlers` is keyed by duty; the notes of
  // other duties are only stored.
  FleetNotes(std::string application, Counters& counters, log::Log& log,
             std::map<std::string, NoteHandler, std::less<>> handlers = {});

  // Returns the whole HTTP response: 200 if the order is accepted now or was before; 404 for an unknown duty;
  // 409 for another application, an older term or step, or an unusable text; 412 for another `life`.
  std::string HandleOrder(FleetOrder order);
  std::string HandleNoteRequest(const FleetNoteRequest& request) const;
  const std::string& life() const { return life_; }
  // Returns "name=value" lines: application, life, each duty's term, step and note age, and the counters.
  std::string StatusLines() const;

 private:
  struct Note {
    owner::Fence fence;
    std::string text;
    Time accepted_at{};
  };
  std::string OrderResponse(int status, const std::string& verdict, const Note* note) const;

  const std::string application_;
  const std::string life_;
  const std::map<std::string, NoteHandler, std::less<>> handlers_;
  Counters& counters_;
  log::Log& log_;
  std::map<std::string, Note, std::less<>> notes_;  // by duty; one entry for each known duty
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_CONSOLE_FLEET_NOTES_H_

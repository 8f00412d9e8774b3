// All sidecars of the application, by their consoles: asks each what it is and does, and sends each an order.
// What duties have in common that reach every sidecar.
#ifndef UMBERDYKE_AGENT_SIDECARS_H_
#define UMBERDYKE_AGENT_SIDECARS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "agent/console_client.h"
#include "agent/duty.h"
#include "config/agent_file.h"
#include "counters/counters.h"

namespace umberdyke::agent {

// What a sidecar said, by the names of its lines.
struct Said {
  std::map<std::string, std::string, std::less<>> lines;
  std::string Text(std::string_view name) const;     // at most 64 bytes; empty where it is not there
  std::int64_t Number(std::string_view name) const;  // -1 where it is not there
};
// What is said at a console by the sidecar of this name and application; absent where nobody or another is
// there.
std::optional<Said> SaidBy(const std::string& name, const std::string& application,
                           const ConsoleAnswer& answer);

class Sidecars {
 public:
  Sidecars(net::Loop& loop, const config::AgentFile& settings, net::Counters& counters);

  // Asks all, each at both of its addresses; `done` follows once each has answered or its time is over. What
  // another sidecar says at an address is left out.
  void Ask(std::function<void()> done);
  // Of the last Ask. Of two processes of one sidecar the one that serves.
  const Said* Of(const std::string& name) const;
  // Sends the order to each that was heard, for the life that it has, while `may_act`; `done` gets `result`
  // with what became of it. Who does not take it is asked again at the next step.
  void Order(const std::string& duty, const Work& work, const std::string& text,
             std::function<bool()> may_act, Done result, std::function<void(Done)> done);
  void Drop() { client_.Drop(); }

 private:
  const config::AgentFile& settings_;
  net::Counters& counters_;
  ConsoleClient client_;
  struct Answer {
    std::string console;
    Said said;
  };
  std::map<std::string, Answer> said_;
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_SIDECARS_H_

// The hands of one host: uses the permits that the duty's owner has left for it (rollout/hands.h says how),
// and says what became of them. Works without an owner, as far as its permits go; without the service it
// begins nothing.
//
// Before anything goes out, one transaction says so and checks that the permit still stands as it was read:
// an owner that takes a permit back and a host that uses it cannot both succeed.
#ifndef UMBERDYKE_AGENT_HANDS_H_
#define UMBERDYKE_AGENT_HANDS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/console_client.h"
#include "agent/spawn.h"
#include "config/agent_file.h"
#include "counters/counters.h"
#include "fleet/records.h"
#include "log/log.h"
#include "loop/loop.h"
#include "rollout/hands.h"
#include "zookeeper/node_client.h"

namespace umberdyke::agent {

class Hands {
 public:
  // `settings` has a rollout.
  Hands(net::Loop& loop, nodes::NodeClient& client, const config::AgentFile& settings,
        const fleet::Paths& paths, net::Counters& counters, log::Log& log);

  void Opened();       // the service is there, and this host's nodes are
  void Interrupted();  // what was asked counts no more

 private:
  // One round: what is permitted, what was said, what is to be seen, one step for each permit.
  struct Round {
    std::vector<rollout::Permit> permits;
    std::map<std::string, rollout::Report> reports;
    int permits_version = -1, reports_version = -1;
    std::map<std::string, rollout::Outside> outside;  // by unit
    std::size_t open = 0;
  };
  struct Waiting {
    std::int64_t serial = 0;
    net::Time ready_since{}, end_since{}, leaving_since{};
  };
  void Turn();
  void Read(const std::shared_ptr<Round>& round);
  void LookAt(const std::shared_ptr<Round>& round, const rollout::Permit& permit);
  void LookAtServer(const std::shared_ptr<Round>& round, const rollout::Permit& permit,
                    const config::AgentFile::Server& server);
  void Over(const std::shared_ptr<Round>& round);
  void Act(const std::shared_ptr<Round>& round);
  void Write(const std::shared_ptr<Round>& round, const rollout::Permit& permit,
             const rollout::Report& report, bool with_permit, std::function<void()> then);
  void Do(const std::shared_ptr<Round>& round, const rollout::Permit& permit, const rollout::Step& step);
  void Start(const rollout::Permit& permit, int slot);
  void RunCommand(const rollout::Permit& permit);
  void Tell(const std::shared_ptr<Round>& round, const rollout::Permit& permit, bool leaving);
  rollout::Waits Waited(const rollout::Permit& permit, const rollout::Outside& outside);
  const config::AgentFile::Sidecar* Sidecar(const std::string& name) const;
  const config::AgentFile::Server* Server(const std::string& name) const;
  std::string Lock(const std::string& sidecar, int slot) const;
  std::function<bool()> Still() const;
  void Say(log::Event event, const rollout::Permit& permit, const std::string& what);
  void Again();

  nodes::NodeClient& client_;
  const config::AgentFile& settings_;
  const fleet::Paths& paths_;
  net::Counters& counters_;
  log::Log& log_;
  ConsoleClient consoles_;
  Children children_;
  std::map<std::string, Waiting> waiting_;  // by unit
  std::string unreadable_;                  // as it was told last
  bool open_ = false;
  std::uint64_t run_ = 0;
  net::Timer turn_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_HANDS_H_

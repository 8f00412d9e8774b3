// Puts the agent together: a session with the coordination service, the folders that its application's agents
// share, its own record there, and a runner for each duty.
//
// It bears on no request: it reaches sidecars by their consoles alone, and where the service is gone it
// waits. It may not know the sidecar's inside or the decision module.
#ifndef UMBERDYKE_AGENT_AGENT_H_
#define UMBERDYKE_AGENT_AGENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agent/hands.h"
#include "agent/rollout.h"
#include "agent/runner.h"
#include "config/agent_file.h"
#include "counters/counters.h"
#include "fleet/records.h"
#include "log/log.h"
#include "loop/loop.h"
#include "zookeeper/node_client.h"

namespace umberdyke::agent {

class Agent {
 public:
  // Throws std::runtime_error where the settings cannot be used.
  Agent(net::Loop& loop, const config::AgentFile& settings, std::shared_ptr<log::Log> log, Wrong wrong = {},
        WrongRollout wrong_rollout = {});
  ~Agent();

  void Start();
  // Leaves its duties, so that another takes them at once, and ends the session; `done` follows soon in any
  // case.
  void End(std::function<void()> done);
  const net::Counters& counters() const { return counters_; }

 private:
  void OnSession(nodes::Session session);
  void OnNotice(nodes::WatchEvent notice, const std::string& path);
  void SetUp();
  void Make(size_t next);
  void CheckRoot();
  void Register();
  void Open();
  void Again(const std::string& why);

  net::Loop& loop_;
  const config::AgentFile settings_;
  const std::shared_ptr<log::Log> log_;
  const fleet::Paths paths_;
  net::Counters counters_;
  fleet::Agent self_;
  std::vector<std::pair<std::string, std::string>> folders_;  // with their first data
  nodes::NodeClient client_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::unique_ptr<Hands> hands_;  // where there are releases
  bool interrupted_ = true;
  bool opened_ = false;  // the runners know of this connection
  bool ending_ = false;
  std::uint64_t run_ = 0;  // of the connection
  std::string said_;       // why it waits, as it was told last
  std::function<void()> ended_;
  net::Timer again_, renew_, end_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_AGENT_H_

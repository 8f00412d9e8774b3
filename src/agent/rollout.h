// The duty for releases, restarts and drains: takes operators' wishes, looks at every sidecar and server, and
// lets src/rollout decide who may go out. State and permits are written together, under the owner's claim and
// the journal's version, so that of two owners one is always refused. Nothing else is done here: hosts act by
// themselves (hands.h).
#ifndef UMBERDYKE_AGENT_ROLLOUT_H_
#define UMBERDYKE_AGENT_ROLLOUT_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/duty.h"
#include "agent/sidecars.h"
#include "config/agent_file.h"
#include "counters/counters.h"
#include "fleet/records.h"
#include "log/log.h"
#include "rollout/release.h"

namespace umberdyke::agent {

// What the lab's wrong stand-ins do otherwise; all off in the program.
struct WrongRollout {
  bool one_too_many = false;  // takes every budget for one larger
  bool forgets = false;       // takes a host's word for what it should have seen
  bool twice = false;         // grants anew what was granted and not used up
  bool never_back = false;    // grants no way back
};

class RolloutDuty : public Duty {
 public:
  // `settings` has a rollout.
  RolloutDuty(net::Loop& loop, nodes::NodeClient& client, const config::AgentFile& settings,
              const fleet::Paths& paths, net::Counters& counters, log::Log& log, WrongRollout wrong = {});

  std::string_view name() const override { return "rollout"; }
  net::Span pace() const override { return settings_.rollout->look_every; }
  void Prepare(const owner::Journal& journal, std::function<void(std::optional<std::string>)> done) override;
  void Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) override;
  void Stop() override;

 private:
  struct Reading {
    std::string state_text;
    rollout::State state;
    rollout::Look look;
    std::vector<std::string> wishes;     // nodes' names
    std::set<std::string> permit_nodes;  // that are there
    std::size_t open = 1;
    bool broken = false;
    std::string why;
    std::function<void(std::optional<std::string>)> done;
  };
  using Shared = std::shared_ptr<Reading>;
  void ReadReports(const Shared& reading);
  void ReadWishes(const Shared& reading);
  void LookAtAll(const Shared& reading);
  void LookAtServers(const Shared& reading);
  void Decide(const Shared& reading);
  void Keep(const Reading& reading, rollout::State after);
  void Names(const Shared& reading, const std::string& path, std::function<void(const std::string&)> each);
  void Text(const Shared& reading, const std::string& path,
            std::function<void(bool there, const std::string&, const nodes::NodeStat&)> take);
  void Over(const Shared& reading, std::function<void()> next);
  rollout::Seen SeenOf(const Said& said) const;

  nodes::NodeClient& client_;
  const config::AgentFile& settings_;
  const fleet::Paths& paths_;
  net::Counters& counters_;
  log::Log& log_;
  const WrongRollout wrong_;
  Sidecars sidecars_;
  rollout::Rollout rollout_;
  std::uint64_t run_ = 0;
  net::Time looked_{};
  std::string told_;  // jobs and phases, as they were logged last
  // The step that Prepare worked out, for Do.
  std::optional<std::string> before_;  // the state that it was worked out on
  rollout::State after_;
  std::vector<std::string> wishes_;
  std::set<std::string> permit_nodes_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_ROLLOUT_H_

// Tidying: removes what nobody owns in the coordination service, and never what somebody does.
//
// A node is nobody's where it lies among ephemeral ones and no session owns it, or is the record of a host
// that the description has no longer, or a wish for an owner that has gone. It is looked at twice: first its
// version is raised, its data kept; after a while, if nobody has touched it since, it is removed by that
// version. A node that was made anew in between has another version or an owner, and stays.
#ifndef UMBERDYKE_AGENT_TIDYING_H_
#define UMBERDYKE_AGENT_TIDYING_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/duty.h"
#include "config/agent_file.h"
#include "counters/counters.h"
#include "fleet/records.h"

namespace umberdyke::agent {

class TidyingDuty : public Duty {
 public:
  TidyingDuty(nodes::NodeClient& client, const config::AgentFile& settings, const fleet::Paths& paths,
              std::vector<std::string> duties, net::Counters& counters);

  std::string_view name() const override { return "tidying"; }
  net::Span pace() const override { return settings_.tidy_every; }
  void Prepare(const owner::Journal& journal, std::function<void(std::optional<std::string>)> done) override;
  void Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) override;
  void Stop() override { ++run_; }

 private:
  struct Found {
    std::string path, data;
    int version = 0;
    bool nobodys = false;
  };
  struct Search;
  void Look(const std::shared_ptr<Search>& search, const std::string& path, bool by_owner);
  std::string Plan(const std::vector<Found>& found);

  nodes::NodeClient& client_;
  const config::AgentFile& settings_;
  const fleet::Paths& paths_;
  const std::vector<std::string> duties_;
  net::Counters& counters_;
  std::uint64_t run_ = 0;
  // What was marked, with the version it has since and when this agent saw it first: an owner that follows
  // waits anew.
  std::map<std::string, std::pair<int, net::Time>> marked_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_TIDYING_H_

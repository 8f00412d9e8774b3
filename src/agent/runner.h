// One duty on one agent: stands for it (owner/claim.h), and while it owns it does the duty's steps by the
// journal.
//
// It may not know what the duty does. Every call to the service goes through here or through the duty's own
// reads; every write is one transaction with the check of the claim. Nothing is begun that the claim does not
// allow at that moment.
#ifndef UMBERDYKE_AGENT_RUNNER_H_
#define UMBERDYKE_AGENT_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/duty.h"
#include "counters/counters.h"
#include "fleet/records.h"
#include "log/log.h"
#include "loop/loop.h"
#include "owner/claim.h"
#include "zookeeper/node_client.h"

namespace umberdyke::agent {

// What the lab's wrong stand-ins do otherwise, so that its judge can be shown to catch them. All off in the
// program.
struct Wrong {
  bool believes = false;   // acts on after its time, and under a claim that has gone
  bool unchecked = false;  // writes without its claim
  bool skips = false;      // leaves every third step out
  bool repeats = false;    // orders every third step twice, under two numbers
};

class Runner {
 public:
  struct Parts {
    net::Loop& loop;
    nodes::NodeClient& client;
    const fleet::Paths& paths;
    net::Counters& counters;
    log::Log& log;
    fleet::Agent agent;
    owner::ClaimSettings claim;
    Wrong wrong;
    net::Span longest_step = std::chrono::seconds(10);  // a duty that says nothing for so long hangs
  };
  Runner(Parts parts, std::unique_ptr<Duty> duty, net::Span stand_after);

  // The session's news, and notices of nodes below this duty's folder.
  void Opened(owner::Session session, net::Span granted);
  void Interrupted();
  void Expired();
  void Noticed(nodes::WatchEvent notice, const std::string& path);
  void Resign();

  const Duty& duty() const { return *duty_; }
  owner::Claim::State state() const { return claim_.state(); }
  owner::Term term() const { return owning_ ? claim_.term() : 0; }

 private:
  void Act(const owner::Actions& actions);
  void Ask(const owner::Action& action);
  template <typename Tell>
  void Tell(Tell tell);
  void List(std::uint64_t ticket);
  void Begin(owner::Term term);
  void End(owner::EndReason why);
  bool May() const;
  // Runs `then` unless the tenure or the connection it was asked under is over.
  std::function<bool()> Still() const;
  void ReadAll();
  void TakeJournal(int rc, const std::string& data, const nodes::NodeStat& stat);
  void TakeHistory(int rc, const std::string& data, const nodes::NodeStat& stat);
  void ReadWish();
  void Step();
  void Mean(std::optional<std::string> plan);
  void Do();
  void Finish(Done done);
  void Failed(const std::string& why);
  void Unwritten(int rc, const std::string& what);
  void StepIn(net::Span wait);
  nodes::Op ClaimCheck() const;
  std::vector<nodes::Op> Write(const owner::Journal& journal) const;

  Parts parts_;
  const std::unique_ptr<Duty> duty_;
  const std::string name_;
  owner::Claim claim_;
  bool stood_ = false;  // the first delay is over
  net::Span stand_after_;
  std::optional<std::pair<owner::Session, net::Span>> open_;

  bool owning_ = false;
  std::string claim_path_;
  std::uint64_t run_ = 0;  // of the tenure and connection; what was asked under another counts for nothing
  owner::Journal journal_;
  int journal_version_ = 0;
  std::vector<fleet::Tenure> history_;
  int history_version_ = 0;
  bool told_history_ = false;
  bool reread_ = false;  // a write was refused: the journal is read before anything else
  owner::Backoff backoff_;
  net::Time gone_{};  // when the agent before it was seen to go
  net::Time step_due_{};
  net::Timer wake_, stand_, step_, hang_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_RUNNER_H_

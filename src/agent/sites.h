// The duty for zones: asks all sidecars which zones they have lost, says for all of them which are
// (sites/decide.h), paces the return of one, publishes it, and orders it at every sidecar under its term.
// While all is well, and was, there is nothing to do but to ask.
#ifndef UMBERDYKE_AGENT_SITES_H_
#define UMBERDYKE_AGENT_SITES_H_

#include <vector>

#include "agent/duty.h"
#include "agent/sidecars.h"
#include "config/agent_file.h"
#include "fleet/records.h"
#include "sites/decide.h"

namespace umberdyke::agent {

class SitesDuty : public Duty {
 public:
  // `settings` has a plan.
  SitesDuty(net::Loop& loop, const config::AgentFile& settings, const fleet::Paths& paths,
            net::Counters& counters);

  std::string_view name() const override { return "sites"; }
  net::Span pace() const override;
  void Prepare(const owner::Journal& journal, std::function<void(std::optional<std::string>)> done) override;
  void Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) override;
  void Stop() override { sidecars_.Drop(); }

 private:
  std::vector<sites::Report> Reports() const;

  const config::AgentFile& settings_;
  const fleet::Paths& paths_;
  net::Counters& counters_;
  Sidecars sidecars_;
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_SITES_H_

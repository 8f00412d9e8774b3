// The census: asks every sidecar of the application at its console what it is and does, publishes one bounded
// summary by zone and tier, and leaves it at each sidecar as a note, so that it can be read on any host while
// all else is cut off. Who could not be asked is "unknown", never "gone".
#ifndef UMBERDYKE_AGENT_CENSUS_H_
#define UMBERDYKE_AGENT_CENSUS_H_

#include "agent/duty.h"
#include "agent/sidecars.h"
#include "config/agent_file.h"
#include "counters/counters.h"
#include "fleet/records.h"

namespace umberdyke::agent {

class CensusDuty : public Duty {
 public:
  CensusDuty(net::Loop& loop, const config::AgentFile& settings, const fleet::Paths& paths,
             net::Counters& counters);

  std::string_view name() const override { return "census"; }
  net::Span pace() const override { return settings_.census_every; }
  void Prepare(const owner::Journal& journal, std::function<void(std::optional<std::string>)> done) override;
  void Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) override;
  void Stop() override { sidecars_.Drop(); }

 private:
  fleet::Census Sum(const Work& work) const;

  const config::AgentFile& settings_;
  const fleet::Paths& paths_;
  Sidecars sidecars_;
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_CENSUS_H_

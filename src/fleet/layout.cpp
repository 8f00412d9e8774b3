#include "fleet/layout.h"

#include <chrono>

namespace umberdyke::fleet {
namespace {

std::chrono::milliseconds Ms(std::chrono::microseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

rollout::Layout LayoutOf(const config::AgentFile& settings) {
  const config::AgentFile::Rollout& text = *settings.rollout;
  rollout::Layout layout;
  layout.application = settings.application;
  for (const config::AgentFile::Sidecar& s : settings.sidecars) {
    if (!s.spare.empty()) layout.units.push_back({s.name, false, s.host, s.zone, s.tier, ""});
  }
  for (const config::AgentFile::Server& s : settings.real_servers)
    layout.units.push_back({s.name, true, s.host, s.zone, s.tier, s.kind});
  for (const config::AgentFile::Budget& b : text.budgets) {
    layout.budgets.push_back({b.servers, rollout::ByOf(b.by).value_or(rollout::By::kFleet), b.group,
                              static_cast<int>(b.most), b.share, static_cast<int>(b.least_ready)});
  }
  layout.base = {text.label, text.program, text.files};
  rollout::Settings& s = layout.settings;
  s.warm_sidecar = Ms(text.warm_sidecar);
  s.warm_server = Ms(text.warm_server);
  s.stand = Ms(text.stand);
  s.gone_after = Ms(text.gone_after);
  s.failures = static_cast<int>(text.failures);
  s.back_by_itself = text.back_by_itself;
  s.back_when_unwell = text.back_when_unwell;
  s.least_heard = text.least_heard;
  s.stand_answers = text.stand_answers;
  s.expect = {text.alarm,  text.worse, text.slow_by, static_cast<double>(text.least_answers),
              text.unwell, text.larger};
  return layout;
}

}  // namespace umberdyke::fleet

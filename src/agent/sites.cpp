#include "agent/sites.h"

#include <algorithm>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::agent {
namespace {

using namespace std::chrono_literals;

// A zone is known by each sidecar within a second; the owner's word is for those that call too seldom to
// know.
constexpr net::Span kPace = 500ms;

sites::State StateOf(const std::string& name) {
  if (name == sites::Name(sites::State::kLost)) return sites::State::kLost;
  if (name == sites::Name(sites::State::kReturning)) return sites::State::kReturning;
  return sites::State::kSound;
}

}  // namespace

SitesDuty::SitesDuty(net::Loop& loop, const config::AgentFile& settings, const fleet::Paths& paths,
                     net::Counters& counters)
    : settings_(settings), paths_(paths), counters_(counters), sidecars_(loop, settings, counters) {}

net::Span SitesDuty::pace() const { return kPace; }

std::vector<sites::Report> SitesDuty::Reports() const {
  std::vector<sites::Report> reports;
  const std::vector<std::string>& zones = settings_.sites->zones;
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    const Said* said = sidecars_.Of(sidecar.name);
    if (said == nullptr || said->lines.count("zones_cut_off") == 0) continue;
    sites::Report report;
    report.zone = static_cast<int>(std::find(zones.begin(), zones.end(), sidecar.zone) - zones.begin());
    report.cut_off = said->Text("zones_cut_off") != "0";
    for (const std::string& zone : zones) {
      const std::string plain = net::EscapeMetricName(zone);
      // What it has from an owner's word is no opinion: a word must not prove itself.
      const bool told = said->Number("zone_by_word." + plain) == 1;
      report.states.push_back(told ? std::nullopt : std::optional(StateOf(said->Text("zone." + plain))));
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

void SitesDuty::Prepare(const owner::Journal& journal, std::function<void(std::optional<std::string>)> done) {
  const sites::Standing before = sites::ReadStanding(journal.state);
  sidecars_.Ask([this, before, done] {
    const sites::Standing now = sites::Decide(Reports(), *settings_.sites, before,
                                              std::chrono::duration_cast<sites::milliseconds>(kPace));
    // One more step after the last, so that all hear that it is over.
    if (now.zones.empty() && before.zones.empty()) return done(std::nullopt);
    done(sites::Print(now));
  });
}

// The plan of a step is what stands: one that is done again after a crash says the same.
void SitesDuty::Do(const Work& work, std::function<bool()> may_act, std::function<void(Done)> done) {
  const sites::Standing standing = sites::ReadStanding(work.plan);
  const std::string text =
      sites::Print(sites::DirectiveOf(standing, *settings_.sites), settings_.sites->zones);
  counters_.Add("zone_directives");
  Done result;
  result.worked = true;
  result.state = sites::Print(standing);
  result.with.push_back({nodes::Op::Kind::kSet, paths_.Sites(), text, -1});
  sidecars_.Order("sites", work, text, std::move(may_act), std::move(result), std::move(done));
}

}  // namespace umberdyke::agent

// The rules of [sites]: what a plan for the loss of a zone needs, and that it adds up.
#include <algorithm>
#include <cmath>
#include <set>

#include "config/application.h"

namespace umberdyke::config {
namespace {

constexpr double kRounding = 1e-6;

class SitesChecker {
 public:
  SitesChecker(const Application& app, Findings* findings)
      : app_(app), sites_(app.sites), findings_(findings) {
    for (const auto& zone : app.zones) zones_.push_back(zone.value);
    for (const TierText& tier : app.tiers) tiers_.push_back(tier.name.value);
    for (const SitesText::Kind& kind : sites_.kinds) kinds_.push_back(kind.name.value);
  }

  void Run() {
    std::set<std::string> kinds, demands;
    for (const SitesText::Kind& kind : sites_.kinds) Once(&kinds, "kind", kind.name.value, kind.place);
    for (const SitesText::Capacity& capacity : sites_.capacities) Capacity(capacity);
    for (const std::string& zone : zones_) {
      for (const std::string& tier : tiers_) {
        if (seen_.contains({zone, tier})) continue;
        Tell(sites_.place, "capacity-missing",
             "zone " + Quoted(zone) + " has no [[sites.capacity]] for tier " + Quoted(tier) +
                 "; one without servers there has total = 0");
      }
    }
    for (const SitesText::Demand& demand : sites_.demands) {
      Defined("zone", demand.zone, zones_);
      Once(&demands, "demand of zone", demand.zone.value, demand.place);
    }
    Ways();
    Traffic();
  }

 private:
  void Tell(const Place& place, std::string_view rule, std::string reason) {
    findings_->Add(app_.file, place, rule, std::move(reason));
  }

  void Defined(const char* what, const Placed<std::string>& name, const std::vector<std::string>& known) {
    if (name.value.empty() || std::find(known.begin(), known.end(), name.value) != known.end()) return;
    const std::string near = Nearest(name.value, known);
    Tell(name.place, "unknown-name",
         std::string("there is no ") + what + " " + Quoted(name.value) +
             (near.empty() ? "" : "; did you mean " + near + "?"));
  }

  void Once(std::set<std::string>* seen, const char* what, const std::string& name, const Place& place) {
    if (!name.empty() && !seen->insert(name).second)
      Tell(place, "duplicate-name", std::string("the ") + what + " " + Quoted(name) + " comes twice");
  }

  void Capacity(const SitesText::Capacity& c) {
    Defined("zone", c.zone, zones_);
    Defined("tier", c.tier, tiers_);
    if (!seen_.insert({c.zone.value, c.tier.value}).second) {
      Tell(c.place, "duplicate-name",
           "the capacity of zone " + Quoted(c.zone.value) + " for tier " + Quoted(c.tier.value) +
               " comes twice");
    }
    const bool counted = c.servers.given && c.kind.given;
    if (c.total.given == counted || c.servers.given != c.kind.given) {
      Tell(c.place, "capacity-form", "a capacity is either a total, or servers of a kind");
    } else if (counted) {
      Defined("kind in [[sites.kind]]", c.kind, kinds_);
    }
  }

  void Ways() {
    std::set<std::pair<std::string, std::string>> seen;
    for (const SitesText::Way& way : sites_.ways) {
      if (way.between.size() != 2 || way.between[0].value == way.between[1].value) {
        Tell(way.place, "way-ends", "a way lies between two different zones");
        continue;
      }
      for (const auto& end : way.between) Defined("zone", end, zones_);
      const auto ends = std::minmax(way.between[0].value, way.between[1].value);
      if (!seen.insert(ends).second) {
        Tell(way.place, "duplicate-name",
             "the way between " + Quoted(ends.first) + " and " + Quoted(ends.second) + " comes twice");
      }
    }
  }

  void Traffic() {
    double sum = 0;
    for (const ClassText& c : app_.classes) sum += c.traffic.value;
    if (std::abs(sum - 1) <= kRounding) return;
    char text[32];
    std::snprintf(text, sizeof text, "%g", sum);
    Tell(sites_.place, "traffic-not-one", std::string("the classes' traffic sums to ") + text + ", not to 1");
  }

  const Application& app_;
  const SitesText& sites_;
  Findings* const findings_;
  std::vector<std::string> zones_, tiers_, kinds_;
  std::set<std::pair<std::string, std::string>> seen_;
};

}  // namespace

void CheckSites(const Application& application, Findings* findings) {
  if (application.sites.given) SitesChecker(application, findings).Run();
}

}  // namespace umberdyke::config

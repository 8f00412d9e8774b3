#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

#include "planner/network.h"

namespace umberdyke::planner {
namespace {

using config::Application;

std::size_t At(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// The tiers with how often one client's request calls each, and who calls it.
void AddTiers(const Application& app, Network* network) {
  const std::vector<const config::TierText*> order = *config::TiersInOrder(app);
  std::map<std::string, std::size_t> at;
  for (const config::TierText* tier : order) {
    at[tier->name.value] = network->tiers.size();
    network->tiers.push_back(
        {tier->name.value, at.size() == 1 ? 1.0 : 0.0, std::vector<double>(network->zones.size(), 0.0)});
  }
  for (const config::TierText* tier : order) {
    const std::size_t from = at[tier->name.value];
    for (const auto& callee : tier->calls) {
      const double calls = network->tiers[from].calls * tier->calls_each.value;
      network->tiers[at[callee.value]].calls += calls;
      network->edges.push_back({from, at[callee.value], calls});
    }
  }
  for (Edge& edge : network->edges) {
    const double all = network->tiers[edge.to].calls;
    edge.share = all > 0 ? edge.share / all : 0;
  }
}

void AddCapacity(const Application& app, Network* network) {
  for (const auto& c : app.sites.capacities) {
    for (Tier& tier : network->tiers) {
      if (tier.name != c.tier.value) continue;
      double total = c.total.value;
      for (const auto& kind : app.sites.kinds) {
        if (!c.total.given && kind.name.value == c.kind.value)
          total = static_cast<double>(c.servers.value) * kind.each.value;
      }
      // In clients' requests: a tier that each calls twice serves half as many of them. One that nobody calls
      // binds nothing.
      tier.capacity[At(network->zones, c.zone.value)] = tier.calls > 0 ? total / tier.calls : 1e12;
    }
  }
}

// What goes first: beyond a tenant's share, then clients' second tries, then the rest; within each by the
// operators' order, then the least worth for the work.
void AddParts(const Application& app, Network* network) {
  std::vector<double> demand(network->zones.size(), 0.0);
  double all = 0, mean_work = 0;
  for (const auto& d : app.sites.demands) {
    demand[At(network->zones, d.zone.value)] = d.rate.value;
    all += d.rate.value;
  }
  for (const auto& c : app.classes) mean_work += c.traffic.value * c.work.value;
  double excess = 0;  // share of all requests beyond their tenant's share
  for (const auto& tenant : app.tenants) {
    const double comes = all * tenant.share.value;
    if (tenant.rate.value > 0 && comes > tenant.rate.value)
      excess += tenant.share.value * (1 - tenant.rate.value / comes);
  }
  struct Kind {
    const char* name;
    double share, worth;
    bool inside;
  };
  const double retries = (1 - excess) * app.sites.retries.value;
  const Kind kinds[] = {{" beyond its tenant's share", excess, app.over_share_worth.value, false},
                        {" asked again", retries, 1, false},
                        {"", 1 - excess - retries, 1, true}};
  struct Order {
    int kind;
    std::int64_t goes;
    double worth;
    Part part;
  };
  std::vector<Order> orders;
  for (int kind = 0; kind < 3; ++kind) {
    for (const auto& c : app.classes) {
      const double share = c.traffic.value * c.work.value / mean_work;
      if (share <= 0 || kinds[kind].share <= 0) continue;
      Part part;
      part.name = c.name.value + kinds[kind].name;
      part.worth = kinds[kind].worth * c.worth.value * mean_work / c.work.value;
      part.stays = c.stays.value;
      part.inside = kinds[kind].inside;
      for (const double d : demand) part.rate.push_back(d * share * kinds[kind].share);
      // Where the operators say nothing, worth decides among all that they say nothing of; those go first.
      orders.push_back({kind, c.goes.value, part.worth, std::move(part)});
    }
  }
  const auto key = [](const Order& o) { return std::tuple(o.kind, o.goes, o.worth); };
  std::stable_sort(orders.begin(), orders.end(),
                   [&](const Order& a, const Order& b) { return key(a) < key(b); });
  std::size_t rank = 0;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    if (i > 0 && key(orders[i - 1]) < key(orders[i])) ++rank;
    orders[i].part.rank = rank;
    network->parts.push_back(std::move(orders[i].part));
  }
}

}  // namespace

Network Describe(const Application& app) {
  Network network;
  network.application = app.name.value;
  for (const auto& zone : app.zones) network.zones.push_back(zone.value);
  const std::size_t n = network.zones.size();
  network.keep_free = app.sites.keep_free.value;
  network.clients_move = app.sites.clients_move.value;
  network.ways.assign(n, std::vector<std::optional<Way>>(n));
  for (const auto& w : app.sites.ways) {
    const std::size_t a = At(network.zones, w.between[0].value), b = At(network.zones, w.between[1].value);
    const double ms = std::chrono::duration<double, std::milli>(w.time.value).count();
    network.ways[a][b] = network.ways[b][a] = Way{ms, w.cost.value};
  }
  AddTiers(app, &network);
  AddCapacity(app, &network);
  AddParts(app, &network);
  for (const auto& c : app.classes) {
    const bool keyed = c.repeat.value == static_cast<int>(Repeat::kKeyed);
    if (keyed && c.key_scope.value != static_cast<int>(Group::kAll))
      network.held_to_zone.push_back(c.name.value);
  }
  return network;
}

}  // namespace umberdyke::planner

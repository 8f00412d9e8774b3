// The rules that one application keeps by itself. Pure: a description in, findings out.
#include <algorithm>
#include <cmath>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include "config/application.h"
#include "config/limits.h"
#include "config/units.h"

namespace umberdyke::config {
namespace {

using namespace std::chrono_literals;

constexpr const char* kPlatformKey = "Idempotency-Key";

std::string Scope(int group) {
  return group == static_cast<int>(Group::kCell)   ? "cell"
         : group == static_cast<int>(Group::kZone) ? "zone"
                                                   : "all";
}
// Wider is more: a cell lies in a zone, a zone in all.
int Width(int group) {
  return group == static_cast<int>(Group::kCell) ? 0 : group == static_cast<int>(Group::kZone) ? 1 : 2;
}

class Checker {
 public:
  Checker(const Application& app, Findings* findings) : app_(app), findings_(findings) {}

  void Run() {
    for (const auto* list : {&app_.zones, &app_.kinds}) Twice(list == &app_.zones ? "zone" : "kind", *list);
    Twice("tier", Names(app_.tiers));
    Twice("class", Names(app_.classes));
    Twice("tenant", Names(app_.tenants));
    Twice("host", Names(app_.hosts));
    Twice("sidecar", Names(app_.sidecars));
    Twice("server", Names(app_.servers));
    for (const ClassText& c : app_.classes) Class(c);
    Tenants();
    Service();
    Tiers();
    Hosts();
    if (app_.fleet.given) Fleet(app_.fleet);
    CheckSites(app_, findings_);
    CheckRollout(app_, findings_);
    for (const ServerText& s : app_.servers) Server(s);
    for (const SidecarText& s : app_.sidecars) Sidecar(s);
    if (app_.limits.descriptors.given || app_.limits.memory.given) Limits(app_.limits, "limits");
  }

 private:
  void Tell(Place place, std::string_view rule, std::string reason) {
    findings_->Add(app_.file, place, rule, std::move(reason));
  }

  template <typename T>
  static std::vector<Placed<std::string>> Names(const std::vector<T>& all) {
    std::vector<Placed<std::string>> names;
    for (const T& one : all) names.push_back(one.name);
    return names;
  }

  void Twice(const std::string& what, const std::vector<Placed<std::string>>& names) {
    std::unordered_map<std::string_view, Place> seen;
    for (const auto& name : names) {
      if (!name.given || name.value.empty()) continue;
      const auto [it, is_new] = seen.emplace(name.value, name.place);
      if (!is_new) {
        Tell(name.place, "duplicate-name",
             what + " " + Quoted(name.value) + " is named in line " + std::to_string(it->second.line) +
                 " already");
      }
    }
  }

  // Tells what is named and not defined; whether it is defined.
  bool Defined(const std::string& what, const Placed<std::string>& name,
               const std::vector<std::string>& all) {
    if (!name.given || name.value.empty()) return false;
    if (std::find(all.begin(), all.end(), name.value) != all.end()) return true;
    const std::string near = Nearest(name.value, all);
    Tell(name.place, "unknown-name",
         "there is no " + what + " " + Quoted(name.value) +
             (near.empty() ? "" : "; did you mean " + near + "?"));
    return false;
  }

  static std::vector<std::string> Values(const std::vector<Placed<std::string>>& names) {
    std::vector<std::string> values;
    for (const auto& name : names) values.push_back(name.value);
    return values;
  }

  void Class(const ClassText& c) {
    const std::string name = "class " + Quoted(c.name.value);
    const bool safe = c.repeat.value == static_cast<int>(Repeat::kSafe);
    const bool keyed = c.repeat.value == static_cast<int>(Repeat::kKeyed);
    if (c.repeat.given && c.method.given && safe != (c.method.value == "GET")) {
      Tell(c.repeat.place, "repeat-not-carried",
           name + " travels as " + c.method.value + ", which " +
               (safe ? "is not safe to repeat" : "carries neither a key nor a body"));
    }
    if (c.repeat.given && keyed) Keyed(c, name);
    if (c.repeat.given && !keyed) {
      for (const Place* place :
           {c.key_window.given ? &c.key_window.place : nullptr,
            c.key_scope.given ? &c.key_scope.place : nullptr, c.key.given ? &c.key.place : nullptr}) {
        if (place == nullptr) continue;
        Tell(*place, "window-without-key", name + " is not keyed, so a key, its window and scope do nothing");
        break;
      }
    }
    if (c.aim.given && c.give_up.given && c.aim.value > c.give_up.value) {
      Tell(c.aim.place, "aim-beyond-give-up",
           name + " wants its answer in " + PrintDuration(c.aim.value) + " but gives up after " +
               PrintDuration(c.give_up.value));
    }
    if (c.aim.given && app_.connect_timeout.value >= c.aim.value) {
      Tell(app_.connect_timeout.given ? app_.connect_timeout.place : c.aim.place, "connect-beyond-aim",
           "connecting may take " + PrintDuration(app_.connect_timeout.value) + ", and " + name +
               " wants its answer in " + PrintDuration(c.aim.value));
    }
  }

  void Keyed(const ClassText& c, const std::string& name) {
    if (!c.key.given || c.key.value.empty()) {
      Tell(c.repeat.place, "keyed-without-key", name + " is keyed and names no key");
    } else if (c.key.value != kPlatformKey) {
      Tell(c.key.place, "key-not-carried",
           name + " names the key " + Quoted(c.key.value) + "; only " + kPlatformKey + " is carried");
    }
    if (!c.key_window.given || c.key_window.value <= 0us) {
      Tell(c.key_window.given ? c.key_window.place : c.repeat.place, "window-missing",
           name + " is keyed and has no key window");
    }
    const Place scope_place = c.key_scope.given ? c.key_scope.place : c.repeat.place;
    if (c.key_scope.value == static_cast<int>(Group::kAll) && app_.zones.size() > 1) {
      Tell(scope_place, "scope-too-wide",
           name + " may be repeated in all " + std::to_string(app_.zones.size()) +
               " zones; keys are shared within one data centre at most");
    }
    for (const TierText& tier : app_.tiers) {
      if (c.key_window.given && c.key_window.value > tier.keeps_keys.value) {
        Tell(c.key_window.place, "window-too-long",
             name + " may be repeated for " + PrintDuration(c.key_window.value) + ", but the nodes of tier " +
                 Quoted(tier.name.value) + " keep keys for " + PrintDuration(tier.keeps_keys.value));
      }
      if (Width(c.key_scope.value) > Width(tier.keys_shared.value)) {
        Tell(scope_place, "scope-too-wide",
             name + " may be repeated within its " + Scope(c.key_scope.value) + ", but the nodes of tier " +
                 Quoted(tier.name.value) + " share keys within a " + Scope(tier.keys_shared.value));
      }
    }
  }

  void Tenants() {
    if (app_.tenants.empty()) return;
    double sum = 0;
    for (const TenantText& tenant : app_.tenants) sum += tenant.share.value;
    const bool all = std::all_of(app_.tenants.begin(), app_.tenants.end(),
                                 [](const TenantText& t) { return t.share.given; });
    if (all && std::abs(sum - 1) > kShareSlack) {
      char text[32];
      std::snprintf(text, sizeof text, "%.4g", sum);
      Tell(app_.tenants.back().share.place, "shares-do-not-sum",
           "the shares of all tenants sum to " + std::string(text) + ", not 1");
    }
  }

  void Service() {
    if (app_.drain.value > kLongestDrain) {
      Tell(app_.drain.place, "drain-too-long",
           "drain is " + PrintDuration(app_.drain.value) + "; a leaving node gets no new work after 300ms");
    }
    if (app_.parallel.value) {
      Tell(app_.parallel.place, "parallel-attempts", "two attempts of one request may not be out at once");
    }
    Micros longest = 0us;
    for (const ClassText& c : app_.classes) longest = std::max(longest, c.give_up.value);
    if (longest > 0us && app_.retry_after.value >= longest) {
      Tell(app_.retry_after.given ? app_.retry_after.place : Place(), "retry-after-beyond-give-up",
           "clients may be told to come back after " + PrintDuration(app_.retry_after.value) +
               ", but all have given up after " + PrintDuration(longest));
    }
  }

  void Tiers() {
    bool sound = true;
    for (const TierText& tier : app_.tiers) {
      for (const auto& callee : tier.calls) sound &= Defined("tier", callee, Values(Names(app_.tiers)));
      if (tier.attempts.value > kMostAttempts) {
        Tell(tier.attempts.place, "too-many-attempts",
             "tier " + Quoted(tier.name.value) + " makes " + std::to_string(tier.attempts.value) +
                 " attempts; 5 is the most");
      }
      const bool served = std::any_of(app_.sidecars.begin(), app_.sidecars.end(),
                                      [&](const SidecarText& s) { return s.tier.value == tier.name.value; });
      if (tier.name.given && !served) {
        Tell(tier.name.place, "tier-empty", "tier " + Quoted(tier.name.value) + " has no sidecar");
      }
    }
    if (!sound || app_.tiers.empty()) return;
    if (Loop()) return;
    std::unordered_set<std::string_view> called;
    for (const TierText& tier : app_.tiers) {
      for (const auto& callee : tier.calls) called.insert(callee.value);
    }
    std::string entries;
    const TierText* second = nullptr;
    for (const TierText& tier : app_.tiers) {
      if (called.contains(tier.name.value)) continue;
      if (!entries.empty() && second == nullptr) second = &tier;
      entries += (entries.empty() ? "" : ", ") + Quoted(tier.name.value);
    }
    if (second != nullptr) {
      Tell(second->name.place, "entry-not-one",
           "clients would reach more than one tier, as nobody calls these: " + entries);
    }
    Multiplied();
  }

  // Depth first; tells the first loop with its whole path.
  bool Loop() {
    enum class Seen { kNo, kOpen, kDone };
    std::unordered_map<std::string_view, Seen> seen;
    std::vector<const TierText*> path;
    const std::function<bool(const TierText&)> visit = [&](const TierText& tier) {
      Seen& state = seen[tier.name.value];
      if (state == Seen::kDone) return false;
      state = Seen::kOpen;
      path.push_back(&tier);
      for (const auto& callee : tier.calls) {
        const TierText* next = app_.Tier(callee.value);
        if (next == nullptr) continue;
        if (seen[next->name.value] == Seen::kOpen) {
          std::string round;
          const auto first = std::find(path.begin(), path.end(), next);
          for (auto it = first; it != path.end(); ++it) round += (*it)->name.value + " -> ";
          Tell(callee.place, "tier-loop", "tiers call one another in a loop: " + round + next->name.value);
          return true;
        }
        if (visit(*next)) return true;
      }
      path.pop_back();
      seen[tier.name.value] = Seen::kDone;
      return false;
    };
    return std::any_of(app_.tiers.begin(), app_.tiers.end(), visit);
  }

  // The worst chain below each tier, from the deepest upwards: each tier is worked out once, however many
  // chains lead through it.
  void Multiplied() {
    const auto order = TiersInOrder(app_);
    if (!order) return;
    struct Chain {
      double product = 1;
      const TierText* next = nullptr;
    };
    std::unordered_map<const TierText*, Chain> worst;
    for (auto it = order->rbegin(); it != order->rend(); ++it) {
      Chain chain;
      double below = 1;
      for (const auto& callee : (*it)->calls) {
        const TierText* next = app_.Tier(callee.value);
        if (next == nullptr || worst[next].product <= below) continue;
        below = worst[next].product;
        chain.next = next;
      }
      chain.product = static_cast<double>((*it)->attempts.value) * below;
      worst[*it] = chain;
    }
    const TierText* entry = order->front();
    if (worst[entry].product <= kMostAttempts || worst[entry].next == nullptr) return;
    std::string text;
    char product[32];
    for (const TierText* t = entry; t != nullptr; t = worst[t].next) {
      text += (text.empty() ? "" : " x ") + t->name.value + " " + std::to_string(t->attempts.value);
    }
    std::snprintf(product, sizeof product, "%.0f", worst[entry].product);
    Tell(entry->attempts.given ? entry->attempts.place : entry->place, "attempts-multiply",
         text + " make " + product + " attempts of one client's request; 5 is the most");
  }

  void Fleet(const FleetText& fleet) {
    if (2 * fleet.margin.value > fleet.session.value) {
      Tell(fleet.margin.given ? fleet.margin.place : fleet.place, "margin-too-long",
           "an owner's margin is " + PrintDuration(fleet.margin.value) + " of a session of " +
               PrintDuration(fleet.session.value) + "; half of it is the most");
    }
    // Tidying must never meet servers' or sidecars' own nodes among the agents'.
    const auto within = [](const std::string& inner, const std::string& outer) {
      return inner == outer || inner.starts_with(outer + "/");
    };
    for (const TierText& tier : app_.tiers) {
      for (const auto* path : {&tier.nodes, &tier.register_under}) {
        const std::string& theirs = path->value;
        const std::string& ours = fleet.path.value;
        if (theirs.empty() || ours.empty() || (!within(theirs, ours) && !within(ours, theirs))) continue;
        Tell(fleet.path.place, "path-shared",
             "the agents' path " + Quoted(ours) + " and tier " + Quoted(tier.name.value) + "'s " +
                 Quoted(theirs) + " lie in one another");
      }
    }
    for (const SidecarText& s : app_.sidecars) {
      if (!s.console.given) {
        Tell(s.place, "console-missing",
             "sidecar " + Quoted(s.name.value) +
                 " has no console, and the agents reach sidecars by nothing else");
      }
    }
  }

  void Server(const ServerText& s) {
    Defined("host", s.host, Values(Names(app_.hosts)));
    const TierText* tier = app_.Tier(s.tier.value);
    if (!Defined("tier", s.tier, Values(Names(app_.tiers))) || !tier->nodes.value.empty()) return;
    Tell(s.place, "server-not-listed",
         "server " + Quoted(s.name.value) + " is of tier " + Quoted(tier->name.value) +
             ", whose list is not kept as nodes: nobody could tell it to leave");
  }

  void Hosts() {
    for (const HostText& host : app_.hosts) Defined("zone", host.zone, Values(app_.zones));
  }

  void Sidecar(const SidecarText& s) {
    const std::string name = "sidecar " + Quoted(s.name.value);
    Defined("tier", s.tier, Values(Names(app_.tiers)));
    if (Defined("host", s.host, Values(Names(app_.hosts)))) {
      const HostText* host = app_.Host(s.host.value);
      for (const auto* listen : {&s.listen, &s.peer_listen, &s.console, &s.console_spare}) {
        const auto at = ParseHostPort(listen->value);
        const auto home = ParseHostPort(host->address.value + ":1");
        if (!listen->given || !at || !home || at->host == home->host) continue;
        // Operators may well want theirs for the host's own users alone.
        const bool own = listen == &s.console || listen == &s.console_spare;
        if (own && (at->host.starts_with("127.") || at->host == "[::1]")) continue;
        Tell(listen->place, "address-not-of-host",
             name + " listens on " + listen->value + ", but host " + Quoted(host->name.value) + " is " +
                 host->address.value);
      }
    }
    if (app_.peers.value && !s.peer_listen.given) {
      Tell(s.place, "peer-address-missing", name + " has no peer_listen, and rules.peers is true");
    }
    if (s.limits.descriptors.given || s.limits.memory.given) Limits(s.limits, name);
  }

  void Limits(const RequestLimits& limits, const std::string& whose) {
    const std::int64_t descriptors = limits.descriptors.value;
    if (descriptors < kFewestDescriptors) {
      Tell(limits.descriptors.place, "limits-too-small",
           whose + " allows " + std::to_string(descriptors) + " descriptors; the program needs " +
               std::to_string(kFewestDescriptors));
    }
    const std::int64_t needed = MemoryNeeded(descriptors);
    if (limits.memory.value < needed) {
      Tell(limits.memory.given ? limits.memory.place : limits.descriptors.place, "limits-too-small",
           whose + " allows " + PrintSize(limits.memory.value) + " of memory; with " +
               std::to_string(descriptors) + " descriptors the program needs " +
               std::to_string((needed + (1 << 20) - 1) >> 20) + "MiB");
    }
  }

  const Application& app_;
  Findings* const findings_;
};

}  // namespace

std::optional<std::vector<const TierText*>> TiersInOrder(const Application& app) {
  std::unordered_map<std::string_view, int> callers;
  for (const TierText& tier : app.tiers) {
    for (const auto& callee : tier.calls) ++callers[callee.value];
  }
  std::vector<const TierText*> order;
  for (const TierText& tier : app.tiers) {
    if (callers[tier.name.value] == 0) order.push_back(&tier);
  }
  for (size_t i = 0; i < order.size(); ++i) {
    for (const auto& callee : order[i]->calls) {
      const TierText* next = app.Tier(callee.value);
      if (next != nullptr && --callers[callee.value] == 0) order.push_back(next);
    }
  }
  if (order.size() != app.tiers.size()) return std::nullopt;
  return order;
}

void CheckApplication(const Application& application, Findings* findings) {
  Checker(application, findings).Run();
}

}  // namespace umberdyke::config

#include "lab/explore/explore_rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "rollout/hands.h"
#include "rollout/release.h"

namespace umberdyke::lab {
namespace {

using namespace std::chrono_literals;
using rollout::Permit;
using rollout::Report;
using Reports = std::map<std::string, Report>;

struct Process {
  bool here = false, serving = false, warm = false, ending = false;
  bool next = false;  // of the new version
  int life = 0;
  friend bool operator==(const Process&, const Process&) = default;
};

struct Host {
  int permits_version = 0, reports_version = 0;
  std::vector<Permit> permits;
  Reports reports;
  std::array<Process, 2> slots;
};

struct Owner {
  int phase = 0;  // 0 at rest, 1 has read, 2 has decided
  int version = 0;
  rollout::State state, after;
  Reports reports;
  rollout::Sights sights;
  std::vector<rollout::Wish> wishes;
};

struct Hand {
  int phase = 0;
  int permits_version = 0, reports_version = 0;
  std::vector<Permit> permits;
  Reports reports;
  std::array<Process, 2> slots;
};

struct World {
  int version = 0;  // of the journal
  rollout::State state;
  std::vector<Host> hosts;
  std::array<Owner, 2> owners;
  int owner = 0;
  std::vector<std::vector<Hand>> hands;
  std::vector<rollout::Wish> wishes;
  int takeovers = 0, lives = 0, crashes = 0, wished = 0;  // wished: bits of halt, resume, back
  bool went_late = false;  // a host said that it goes on a permit that was withdrawn, or is over
};

std::string UnitName(std::size_t i) { return "u" + std::to_string(i); }
const char* Label(bool next) { return next ? "next" : "first"; }

void Add(const Process& p, std::string* out) {
  out->push_back(static_cast<char>('a' + (p.here ? 1 : 0) + (p.serving ? 2 : 0) + (p.warm ? 4 : 0) +
                                   (p.ending ? 8 : 0) + (p.next ? 16 : 0)));
  out->append(std::to_string(p.life)).push_back(' ');
}

class Exploring {
 public:
  Exploring(const RolloutBounds& bounds, const RolloutGuards& guards) : bounds_(bounds), guards_(guards) {
    layout_.application = "a";
    layout_.base = {"first", "/p", "/f"};
    for (std::size_t i = 0; i < static_cast<std::size_t>(bounds.units); ++i)
      layout_.units.push_back({UnitName(i), bounds.servers, "h" + std::to_string(i), "z", "t", ""});
    rollout::Budget budget;
    budget.servers = bounds.servers;
    budget.most = 1;
    layout_.budgets.push_back(budget);
    layout_.settings.warm_sidecar = layout_.settings.warm_server = 1ms;
    layout_.settings.stand = 0ms;
    layout_.settings.gone_after = 1h;
    layout_.settings.failures = bounds.crashes;  // it goes on
    // Nobody serves a request here, and nobody is blamed.
  }

  RolloutExplored Run() {
    if (!bounds_.way.empty()) return GoAgain();
    Push(First(), -1, "");
    while (!queue_.empty() && result_.broken.empty()) {
      if (seen_.size() > bounds_.most_states) return Over(false);
      at_ = queue_.front().first;
      const World world = std::move(queue_.front().second);
      queue_.pop_front();
      Each(world);
    }
    return Over(result_.broken.empty());
  }

 private:
  RolloutExplored Over(bool whole) {
    result_.whole = whole;
    result_.states = seen_.size();
    return result_;
  }

  // Whatever may come next, in place of a queue.
  struct Next {
    World world;
    std::string step;
  };
  std::vector<Next> NextOf(const World& world) {
    std::vector<Next> all;
    walking_ = &all;
    Each(world);
    walking_ = nullptr;
    return all;
  }

  RolloutExplored GoAgain() {
    World world = First();
    for (const std::string& wanted : bounds_.way) {
      std::vector<Next> all = NextOf(world);
      const auto it = std::find_if(all.begin(), all.end(), [&](const Next& n) { return n.step == wanted; });
      if (it == all.end()) break;  // a guard has held, and the way goes another way from here
      result_.way.push_back(wanted);
      world = std::move(it->world);
      ++result_.states;
      if (Check(world)) break;
    }
    return result_;
  }

  // Whether too many are out here, or somebody went that may not.
  bool Check(const World& world) {
    int out = 0;
    for (const Host& host : world.hosts) {
      const auto able = [](const Process& p) { return p.here && p.serving && p.warm && !p.ending; };
      if (!able(host.slots[0]) && !able(host.slots[1])) ++out;
    }
    if (world.state.jobs.empty() || world.state.jobs[0].phase == rollout::Phase::kStands) ++result_.over;
    if (out > 1 && result_.broken.empty())
      result_.broken = std::to_string(out) + " units are out, and one may be";
    if (world.went_late) result_.broken = "a host goes on a permit that stands no more";
    return !result_.broken.empty();
  }

  World First() const {
    World world;
    rollout::Job job;
    job.id = "r";
    if (bounds_.servers) job.what = rollout::What::kRestart;
    job.to = {"next", "/p", "/f"};
    job.from = layout_.base;
    job.waves.emplace_back();
    for (const rollout::Unit& unit : layout_.units) {
      job.waves[0].push_back(unit.name);
      Host host;
      host.slots[0] = {true, true, true, false, false, ++world.lives};
      world.hosts.push_back(host);
    }
    world.state.jobs.push_back(job);
    world.hands.resize(world.hosts.size());
    for (std::size_t h = 0; h < world.hands.size(); ++h)
      world.hands[h].resize(h == 0 ? 1 + static_cast<std::size_t>(bounds_.successors) : 1);
    return world;
  }

  // All that decides what may come next, short. Versions stand for themselves; an agent or owner at rest has
  // no memory.
  static void Add(const Permit& p, std::string* out) {
    *out += p.unit + static_cast<char>('A' + static_cast<int>(p.action)) + std::to_string(p.serial) +
            (p.withdrawn ? "w" : "") + (p.done ? "d" : "") + ",";
  }
  static void Add(const std::vector<Permit>& all, std::string* out) {
    for (const Permit& p : all) Add(p, out);
    out->push_back(';');
  }
  static void Add(const Reports& all, std::string* out) {
    for (const auto& [unit, r] : all)
      *out +=
          unit + static_cast<char>('A' + static_cast<int>(r.said)) + std::to_string(r.serial) + r.note + ",";
    out->push_back(';');
  }
  static void Add(const rollout::State& s, std::string* out) {
    *out += std::to_string(s.serial) + "s" + std::to_string(s.answers.size()) + "h" +
            std::to_string(s.history.size());
    for (const rollout::Job& job : s.jobs) {
      out->push_back(static_cast<char>('A' + static_cast<int>(job.phase)));
      for (const auto* set : {&job.touched, &job.changed}) {
        for (const std::string& unit : *set) *out += unit;
        out->push_back('.');
      }
      for (const auto& [unit, why] : job.failed) *out += unit;
    }
    Add(s.permits, out);
  }
  static std::string KeyOf(const World& w) {
    std::string key = std::to_string(w.version) + "|";
    Add(w.state, &key);
    key += std::to_string(w.owner) + " " + std::to_string(w.takeovers) + " " + std::to_string(w.wished) +
           " " + std::to_string(w.crashes) + (w.went_late ? "late|" : "|");
    for (const Host& host : w.hosts) {
      key += std::to_string(host.permits_version) + " " + std::to_string(host.reports_version);
      Add(host.permits, &key);
      Add(host.reports, &key);
      for (const Process& p : host.slots) lab::Add(p, &key);
    }
    for (const Owner& owner : w.owners) {
      key += "|" + std::to_string(owner.phase);
      if (owner.phase == 0) continue;
      key += " " + std::to_string(owner.version);
      Add(owner.phase == 2 ? owner.after : owner.state, &key);
      Add(owner.reports, &key);
      key += std::to_string(owner.wishes.size());
      for (const auto& [name, seen] : owner.sights)
        key += name + (seen.able ? "1" : "0") + std::to_string(seen.up.count()) + seen.label + seen.life;
    }
    for (const auto& all : w.hands) {
      for (const Hand& hand : all) {
        key += "|" + std::to_string(hand.phase);
        if (hand.phase == 0) continue;
        key += " " + std::to_string(hand.permits_version) + " " + std::to_string(hand.reports_version);
        Add(hand.permits, &key);
        Add(hand.reports, &key);
        if (hand.phase == 2) {
          for (const Process& p : hand.slots) lab::Add(p, &key);
        }
      }
    }
    for (const rollout::Wish& wish : w.wishes) key += wish.verb;
    return key;
  }

  void Push(World world, std::int64_t from, const std::string& step) {
    ++result_.ways;
    const std::string key = KeyOf(world);
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    const auto [it, is_new] =
        seen_.try_emplace({hash.high64, hash.low64}, static_cast<std::int64_t>(seen_.size()));
    if (!is_new) return;
    came_.emplace_back(from, step);
    if (Check(world) && result_.way.empty()) {
      for (std::int64_t at = it->second; at > 0; at = came_[static_cast<std::size_t>(at)].first)
        result_.way.insert(result_.way.begin(), came_[static_cast<std::size_t>(at)].second);
    }
    queue_.emplace_back(it->second, std::move(world));
  }
  void Go(World world, const std::string& step) {
    if (walking_ != nullptr) {
      walking_->push_back({std::move(world), step});
    } else {
      Push(std::move(world), at_, step);
    }
  }

  void Each(const World& world) {
    for (std::size_t i = 0; i < world.owners.size(); ++i) OwnerSteps(world, i);
    for (std::size_t h = 0; h < world.hands.size(); ++h) {
      for (std::size_t t = 0; t < world.hands[h].size(); ++t) HandSteps(world, h, t);
    }
    if (world.takeovers < bounds_.takeovers) {
      World next = world;
      ++next.takeovers;
      next.owner = 1 - next.owner;
      next.owners[static_cast<std::size_t>(next.owner)] = {};
      Go(std::move(next), "another owner takes over");
    }
    for (std::size_t h = 0; h < world.hosts.size(); ++h) {
      for (std::size_t s = 0; s < 2; ++s) ProcessSteps(world, h, s);
    }
    const auto wish = [&](int bit, const char* verb, bool allowed) {
      if (!allowed || (world.wished & bit) != 0 || !world.wishes.empty() || world.state.jobs.empty()) return;
      World next = world;
      next.wished |= bit;
      rollout::Wish one;
      one.id = std::string("w-") + verb;
      one.verb = verb;
      one.application = "a";
      next.wishes.push_back(one);
      Go(std::move(next), std::string("an operator wishes: ") + verb);
    };
    wish(1, "halt", bounds_.halt);
    wish(2, "resume", bounds_.halt && (world.wished & 1) != 0);
    wish(4, "back", bounds_.back);
  }

  // --- Owners ---

  rollout::Sights Sights(const World& world) const {
    rollout::Sights sights;
    for (std::size_t h = 0; h < world.hosts.size(); ++h) {
      rollout::Seen& seen = sights[UnitName(h)];
      for (const Process& p : world.hosts[h].slots) {
        if (bounds_.servers) seen.heard = true;  // the service answered; without a node it is down
        if (!p.here || !p.serving || p.ending) continue;
        if (seen.able && seen.up.count() > 0 && !p.warm) continue;
        seen.heard = seen.able = true;
        seen.up = rollout::milliseconds(p.warm ? 1000 : 0);
        seen.label = Label(p.next);
        seen.life = std::to_string(p.life);
      }
    }
    return sights;
  }

  void OwnerSteps(const World& world, std::size_t i) {
    const Owner& owner = world.owners[i];
    const std::string who = "owner " + std::to_string(i);
    if (owner.phase == 0) {
      if (static_cast<int>(i) != world.owner || world.state.jobs.empty()) return;
      World next = world;
      Owner& o = next.owners[i];
      o.phase = 1;
      o.version = world.version;
      o.state = world.state;
      o.wishes = world.wishes;
      if (guards_.order) o.reports = AllReports(world);
      if (!guards_.order) o.sights = Sights(world);
      return Go(std::move(next), who + " reads");
    }
    if (owner.phase == 1) {
      World next = world;
      Owner& o = next.owners[i];
      rollout::Look look;
      look.reports = guards_.order ? o.reports : AllReports(world);
      look.sights = guards_.order ? Sights(world) : o.sights;
      look.wishes = o.wishes;
      if (!guards_.sight) {
        for (auto& [unit, seen] : look.sights) {
          const Permit* permit = rollout::PermitOf(o.state, unit);
          const auto report = look.reports.find(unit);
          if (permit == nullptr || report == look.reports.end() ||
              report->second.said == rollout::Said::kStayed)
            continue;
          report->second.said = rollout::Said::kDone;
          seen.heard = seen.able = true;
          seen.up = 1000ms;
          seen.label = permit->to.label;
        }
      }
      o.after = rollout::Rollout(layout_).Decide(o.state, look);
      o.reports.clear();
      o.sights.clear();
      o.phase = o.after == o.state && o.wishes.empty() ? 0 : 2;
      if (o.phase == 0) o = {};
      return Go(std::move(next), who + " looks and decides");
    }
    World next = world;
    const Owner o = std::exchange(next.owners[i], {});
    // The claim is checked as well; by itself it is not enough, as one owner may have two steps of its own
    // under way after a lost answer.
    const bool current = o.version == world.version && static_cast<int>(i) == world.owner;
    if (guards_.journal && !current) {
      ++result_.refused;
      return Go(std::move(next), who + " commits, and is refused");
    }
    ++next.version;
    next.state = o.after;
    for (std::size_t h = 0; h < next.hosts.size(); ++h) {
      std::vector<Permit> permits;
      for (const Permit& permit : next.state.permits) {
        if (permit.unit == UnitName(h)) permits.push_back(permit);
      }
      if (permits == next.hosts[h].permits) continue;
      next.hosts[h].permits = permits;
      ++next.hosts[h].permits_version;
    }
    if (!o.wishes.empty()) next.wishes.clear();
    Go(std::move(next), who + " commits");
  }

  static Reports AllReports(const World& world) {
    Reports all;
    for (const Host& host : world.hosts) all.insert(host.reports.begin(), host.reports.end());
    return all;
  }

  // --- Hosts ---

  void HandSteps(const World& world, std::size_t h, std::size_t t) {
    const Hand& hand = world.hands[h][t];
    const std::string who = "agent " + std::to_string(t) + " of host " + std::to_string(h);
    World next = world;
    Hand& mine = next.hands[h][t];
    if (hand.phase == 0) {
      if (world.hosts[h].permits.empty()) return;
      mine = {1,
              world.hosts[h].permits_version,
              world.hosts[h].reports_version,
              world.hosts[h].permits,
              world.hosts[h].reports,
              {}};
      return Go(std::move(next), who + " reads");
    }
    if (hand.phase == 1) {
      mine.phase = 2;
      mine.slots = world.hosts[h].slots;
      return Go(std::move(next), who + " looks");
    }
    const Hand seen = std::exchange(mine, {});
    Act(std::move(next), h, seen, who);
  }

  void Act(World next, std::size_t h, const Hand& seen, const std::string& who) {
    using Kind = rollout::Step::Kind;
    Host& host = next.hosts[h];
    const Permit& permit = seen.permits.front();
    rollout::Outside outside;
    for (std::size_t s = 0; s < 2; ++s) {
      const Process& p = seen.slots[s];
      outside.slots[s] = {p.here && (p.serving || p.ending),
                          p.serving && !p.ending,
                          false,
                          p.ending,
                          p.here,
                          Label(p.next),
                          std::to_string(p.life)};
    }
    const Process& server = seen.slots[0];
    if (bounds_.servers) {
      outside.listed = server.here && server.serving;
      outside.draining = server.ending;
      outside.at_rest = true;
      outside.birth = server.life;
    }
    const auto said = seen.reports.find(permit.unit);
    const auto report = said == seen.reports.end() ? std::nullopt : std::optional(said->second);
    const rollout::Step step = rollout::Next(permit, report, bounds_.servers, outside, {}, {});
    const auto write = [&](bool with_permit) {
      const bool late = (guards_.reports && seen.reports_version != host.reports_version) ||
                        (guards_.permits && with_permit && seen.permits_version != host.permits_version);
      if (late) {
        ++result_.refused;
        return false;
      }
      if (with_permit && step.kind == Kind::kClaim &&
          std::none_of(host.permits.begin(), host.permits.end(),
                       [&](const Permit& p) { return p.serial == permit.serial && !p.withdrawn; }))
        next.went_late = true;
      host.reports = seen.reports;
      host.reports[permit.unit] = step.report;
      ++host.reports_version;
      return true;
    };
    Process& slot = host.slots[static_cast<std::size_t>(step.slot)];
    switch (step.kind) {
      case Kind::kClaim:
      case Kind::kStay:
        write(true);
        return Go(std::move(next), who + " says " + rollout::Name(step.report.said));
      case Kind::kSay:
        write(false);
        return Go(std::move(next), who + " says " + rollout::Name(step.report.said) + " " + step.report.why);
      case Kind::kStart:
        // The lock lets one process live in a slot.
        if (write(false) && !slot.here)
          slot = {true, false, false, false, permit.to.label == "next", ++next.lives};
        return Go(std::move(next), who + " starts " + permit.to.label);
      case Kind::kEnd:
        if (!slot.here || std::to_string(slot.life) != step.life) ++result_.held;
        if (slot.here && (!guards_.life || std::to_string(slot.life) == step.life)) slot.ending = true;
        return Go(std::move(next), who + " ends slot " + std::to_string(step.slot));
      case Kind::kTellLeaving:
      case Kind::kTellReady:
        // Over the versions of the node and of the reports that were read.
        if (guards_.reports && seen.reports_version != host.reports_version) {
          ++result_.refused;
        } else if (host.slots[0].life == server.life && host.slots[0].ending == server.ending)
          host.slots[0].ending = step.kind == Kind::kTellLeaving;
        return Go(std::move(next),
                  who + (step.kind == Kind::kTellLeaving ? " tells it to leave" : " tells it to come"));
      case Kind::kCommand:
        if (write(false)) host.slots[0] = {true, false, false, false, false, ++next.lives};
        return Go(std::move(next), who + " restarts it");
      default:
        return Go(std::move(next), who + " waits");
    }
  }

  void ProcessSteps(const World& world, std::size_t h, std::size_t s) {
    const Process& p = world.hosts[h].slots[s];
    if (!p.here) return;
    World next = world;
    Process& mine = next.hosts[h].slots[s];
    const std::string who = "the process " + std::to_string(p.life) + " of host " + std::to_string(h);
    if (p.ending) {
      if (bounds_.servers) return;  // it leaves, and serves on until it is restarted
      mine = {};
      return Go(std::move(next), who + " has ended");
    }
    // One of the new version that dies as it comes up.
    if (p.next && !p.serving && world.crashes < bounds_.crashes) {
      World dead = world;
      ++dead.crashes;
      dead.hosts[h].slots[s] = {};
      Go(std::move(dead), who + " dies");
    }
    if (!p.serving) {
      mine.serving = true;
      return Go(std::move(next), who + " serves");
    }
    if (p.warm) return;
    mine.warm = true;
    Go(std::move(next), who + " is warm");
  }

  const RolloutBounds bounds_;
  const RolloutGuards guards_;
  rollout::Layout layout_;
  RolloutExplored result_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::int64_t> seen_;  // by the hash of a state
  std::vector<std::pair<std::int64_t, std::string>> came_;                // by the number of a state
  std::deque<std::pair<std::int64_t, World>> queue_;
  std::int64_t at_ = 0;
  std::vector<Next>* walking_ = nullptr;
};

}  // namespace

RolloutExplored ExploreRollout(const RolloutBounds& bounds, const RolloutGuards& guards) {
  return Exploring(bounds, guards).Run();
}

}  // namespace umberdyke::lab

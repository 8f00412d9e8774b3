#include "emulator/policy.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "sites/watch.h"

namespace umberdyke::emulator {
namespace {

class ModulePolicy : public Policy {
 public:
  ModulePolicy(const Settings& settings, std::uint64_t seed, Micros now, Actions* out)
      : balancer_(settings, seed, now, out) {}
  void OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions* out) override {
    balancer_.OnList(now, kind, entries, out);
  }
  void OnRequest(Micros now, const Request& request, Actions* out) override {
    balancer_.OnRequest(now, request, out);
  }
  void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out) override {
    balancer_.OnAttemptEnd(now, end, out);
  }
  void OnClientGone(Micros now, RequestId request, Actions* out) override {
    balancer_.OnClientGone(now, request, out);
  }
  void OnTimer(Micros now, std::uint64_t token, Actions* out) override { balancer_.OnTimer(now, token, out); }
  void OnCheck(Micros now, UpstreamId upstream, Outcome outcome, const std::optional<LoadReport>& report,
               Actions* out) override {
    balancer_.OnCheck(now, upstream, outcome, report, out);
  }

 private:
  Balancer balancer_;
};

// The module with what a sidecar with a plan has beside it: the watch over zones.
class PlanPolicy : public Policy {
 public:
  PlanPolicy(const Caller& caller, Micros now, Actions* out)
      : balancer_(caller.settings, caller.seed, now, out),
        watch_(SettingsOf(caller), caller.seed ^ 0x51735, now) {
    out->emplace_back(SetTimer{static_cast<Micros>(1 + caller.seed % sites::Watch::kPace), kToken});
  }
  void OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions* out) override {
    watch_.Listed(now, kind, entries);
    balancer_.OnList(now, kind, entries, out);
  }
  void OnRequest(Micros now, const Request& request, Actions* out) override {
    balancer_.OnRequest(now, request, out);
  }
  void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out) override {
    watch_.Ended(now, end.upstream, end.outcome, end.elapsed);
    balancer_.OnAttemptEnd(now, end, out);
  }
  void OnClientGone(Micros now, RequestId request, Actions* out) override {
    balancer_.OnClientGone(now, request, out);
  }
  void OnTimer(Micros now, std::uint64_t token, Actions* out) override {
    if (token != kToken) return balancer_.OnTimer(now, token, out);
    std::erase_if(probed_, [&](const auto& probe) {
      if (now - probe.second < kProbeTime) return false;
      watch_.Probed(now, probe.first, false);
      return true;
    });
    const sites::Watch::Turn turn = watch_.Act(now);
    if (turn.parts) balancer_.OnZones(now, *turn.parts, out);
    for (const sites::Change& change : turn.changes) {
      if (change.to == sites::State::kLost) out->emplace_back(Log{kZoneLost});
    }
    for (const UpstreamId server : turn.probes) {
      probed_.emplace_back(server, now);
      out->emplace_back(Check{server});
    }
    out->emplace_back(SetTimer{sites::Watch::kPace, kToken});
  }
  void OnCheck(Micros now, UpstreamId upstream, Outcome outcome, const std::optional<LoadReport>& report,
               Actions* out) override {
    std::erase_if(probed_, [&](const auto& probe) { return probe.first == upstream; });
    watch_.Probed(now, upstream, outcome == Outcome::kOk);
    balancer_.OnCheck(now, upstream, outcome, report, out);
  }

 private:
  static constexpr std::uint64_t kToken = std::uint64_t{1} << 62;
  static constexpr Micros kProbeTime = 200'000;

  // What a description of this scenario would say.
  static sites::WatchSettings SettingsOf(const Caller& caller) {
    const TierSpec& tier = caller.scenario.tiers[static_cast<std::size_t>(caller.settings.tier)];
    sites::Plan plan;
    const int steps = 5;
    for (int i = 0; i < steps && tier.cold_s > 0; ++i) {
      const double part = tier.cold_share + (1 - tier.cold_share) * i / steps;
      plan.back.push_back({part, sites::milliseconds(static_cast<std::int64_t>(1000 * tier.cold_s / steps))});
    }
    sites::WatchSettings settings;
    settings.own_zone = caller.settings.zone;
    settings.tier = caller.settings.tier;
    settings.copies = caller.settings.balancers;
    settings.plan = std::move(plan);
    return settings;
  }

  Balancer balancer_;
  sites::Watch watch_;
  std::vector<std::pair<UpstreamId, Micros>> probed_;
};

// What the reference policies share: the list, own calls in flight, and tries elsewhere of what has not run.
class Reference : public Policy {
 public:
  explicit Reference(const Caller& caller)
      : settings_(caller.settings), picks_(caller.picks), truth_(caller.truth) {}

  void OnList(Micros, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions*) override {
    if (kind == ListUpdate::kFailed) return;
    if (kind != ListUpdate::kChanges) {
      for (Known& k : known_) k.ready = false;
    }
    for (const UpstreamEntry& entry : entries) {
      const auto [it, is_new] = index_.try_emplace(entry.id, known_.size());
      if (is_new) known_.push_back({});
      Known& k = known_[it->second];
      if (entry.ready_at > k.ready_at) k.chips = 0;
      k.id = entry.id;
      k.ready = entry.state == UpstreamState::kReady;
      k.ready_at = entry.ready_at;
    }
    ready_.clear();
    for (std::size_t i = 0; i < known_.size(); ++i) {
      if (known_[i].ready) ready_.push_back(i);
    }
  }

  void OnRequest(Micros now, const Request& request, Actions* out) override {
    Held held;
    held.request_class = request.request_class;
    held.deadline = now + request.time_left;
    if (!TrySend(now, request.id, held, out)) {
      out->emplace_back(Refuse{request.id, 0});
      return;
    }
    held_[request.id] = held;
  }

  void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out) override {
    const auto at = index_.find(end.upstream);
    if (at != index_.end()) {
      --known_[at->second].in_flight;
      Hear(now, known_[at->second], end);
    }
    const auto it = held_.find(end.request);
    if (it == held_.end()) return;
    Held& held = it->second;
    if (end.settled || end.outcome == Outcome::kOk) {
      held_.erase(it);
      return;
    }
    held.may_have_run = held.may_have_run || !NeverRan(end.outcome);
    const bool may = !held.may_have_run ||
                     settings_.classes[static_cast<std::size_t>(held.request_class)].repeat == Repeat::kSafe;
    if (may && end.outcome != Outcome::kUnfit && held.attempts < settings_.max_attempts &&
        now < held.deadline && TrySend(now, end.request, held, out)) {
      return;
    }
    out->emplace_back(Fail{end.request});
    held_.erase(it);
  }

  void OnClientGone(Micros, RequestId request, Actions*) override { held_.erase(request); }
  void OnTimer(Micros, std::uint64_t, Actions*) override {}
  void OnCheck(Micros, UpstreamId, Outcome, const std::optional<LoadReport>&, Actions*) override {}

 protected:
  struct Known {
    UpstreamId id = 0;
    bool ready = false;
    Micros ready_at = 0;
    int in_flight = 0;
    // of bloc only
    int chips = 0;
    Micros heard = 0;
    double sum = 0, reports = 0, mean = 0;
    Micros window = 0;
  };
  struct Held {
    int request_class = 0;
    int attempts = 0;
    bool may_have_run = false;
    Micros deadline = 0;
    std::size_t last = ~std::size_t{0};
  };
  // One of ready_, which is not empty; ~0 for nobody.
  virtual std::size_t Pick(Micros now, RequestId request, const Held& held) = 0;
  virtual void Hear(Micros, Known&, const AttemptEnd&) {}
  std::size_t Any() { return ready_[picks_.Below(ready_.size())]; }
  // Not the one that has just refused, where there is another.
  std::size_t AnyOther(const Held& held) {
    std::size_t one = Any();
    for (int i = 0; i < 3 && one == held.last; ++i) one = Any();
    return one;
  }
  template <typename Cost>
  std::size_t Least(const Held& held, Cost&& cost) {
    std::size_t best = ~std::size_t{0}, ties = 0;
    double least = 0;
    for (const std::size_t i : ready_) {
      if (i == held.last && ready_.size() > 1) continue;
      const double c = cost(known_[i]);
      if (best == ~std::size_t{0} || c < least) {
        best = i;
        least = c;
        ties = 1;
      } else if (c == least && picks_.Below(++ties) == 0) {
        best = i;  // evenly among equals
      }
    }
    return best;
  }

  const Settings& settings_;
  Stream& picks_;
  const Truth& truth_;
  std::vector<Known> known_;
  std::vector<std::size_t> ready_;

 private:
  bool TrySend(Micros now, RequestId id, Held& held, Actions* out) {
    if (ready_.empty()) return false;
    const std::size_t i = Pick(now, id, held);
    if (i == ~std::size_t{0}) return false;
    held.last = i;
    ++held.attempts;
    ++known_[i].in_flight;
    out->emplace_back(Send{id, known_[i].id, 0});
    return true;
  }

  std::unordered_map<UpstreamId, std::size_t> index_;
  std::unordered_map<RequestId, Held> held_;
};

class RandomPick : public Reference {
  using Reference::Reference;
  std::size_t Pick(Micros, RequestId, const Held& held) override { return AnyOther(held); }
};

class RoundRobin : public Reference {
 public:
  explicit RoundRobin(const Caller& caller) : Reference(caller), next_(caller.picks.Bits()) {}

 private:
  std::size_t Pick(Micros, RequestId, const Held&) override { return ready_[next_++ % ready_.size()]; }
  std::uint64_t next_;  // callers do not go round in step
};

class LeastConnections : public Reference {
  using Reference::Reference;
  std::size_t Pick(Micros, RequestId, const Held& held) override {
    return Least(held, [](const Known& k) { return static_cast<double>(k.in_flight); });
  }
};

class TwoChoices : public Reference {
  using Reference::Reference;
  std::size_t Pick(Micros, RequestId, const Held& held) override {
    const std::size_t one = AnyOther(held), two = AnyOther(held);
    return known_[one].in_flight <= known_[two].in_flight ? one : two;
  }
};

// Sees every queue as it is, as one balancer for all would.
class ShortestQueue : public Reference {
  using Reference::Reference;
  std::size_t Pick(Micros, RequestId, const Held& held) override {
    return Least(held, [this](const Known& k) { return truth_.InSystem(k.id); });
  }
};

// Sees all work and every speed, sends where a call is done first, and refuses what cannot be done in time:
// no policy can do much better, and none can be built.
class Oracle : public Reference {
 public:
  using Reference::Reference;

 private:
  virtual bool Usable(UpstreamId) const { return true; }
  std::size_t Pick(Micros now, RequestId request, const Held& held) override {
    const double work = truth_.Work(request);
    const auto done = [&](const Known& k) {
      return truth_.Serves(k.id) && Usable(k.id) ? truth_.Backlog(k.id) + work / truth_.Speed(k.id) : 1e18;
    };
    const std::size_t best = Least(held, done);
    if (best == ~std::size_t{0}) return best;
    const double aim =
        static_cast<double>(settings_.classes[static_cast<std::size_t>(held.request_class)].aim);
    const double by = std::min(aim, static_cast<double>(held.deadline - now));
    return done(known_[best]) > by ? ~std::size_t{0} : best;
  }
};

// The oracle with an admission that no sidecar can have: one budget for all of them, of what both tiers can
// do as they are now, cold ones included; the cheaper classes are let in only while most of it is there. It
// sends to no server that it does not reach.
class Bound : public Oracle {
 public:
  explicit Bound(const Caller& caller) : Oracle(caller), scenario_(caller.scenario) {
    for (const RequestClass& c : settings_.classes) dearest_ = std::max(dearest_, c.points);
  }
  void OnRequest(Micros now, const Request& request, Actions* out) override {
    if (settings_.tier > 0 || LetIn(now, request)) return Oracle::OnRequest(now, request, out);
    out->emplace_back(Refuse{request.id, settings_.max_retry_after});
  }

 private:
  static constexpr double kOfAble = 1;       // of what can be done; a twentieth more and all queues grow
  static constexpr double kDepth = 250'000;  // microseconds of it that may be saved up
  static constexpr double kCheap = 0.6;      // of the budget that stays for the dearest class

  bool Usable(UpstreamId server) const override { return truth_.Reaches(settings_.zone, server); }
  bool LetIn(Micros now, const Request& request) {
    bool room = true;
    double needs[kMostTiers] = {};
    double calls = 1;
    const double work = truth_.Work(request.id) / scenario_.tiers[0].work_share;
    for (std::size_t t = 0; t < scenario_.tiers.size(); ++t) {
      const TierSpec& tier = scenario_.tiers[t];
      needs[t] = calls * work * tier.work_share;
      calls *= tier.calls;
      double* tokens = truth_.budget(static_cast<int>(t), settings_.zone);
      double* since = tokens + 1;
      const double able = kOfAble * truth_.Able(static_cast<int>(t), settings_.zone);
      *tokens = std::min(kDepth * able, *tokens + able * (static_cast<double>(now) - *since));
      *since = static_cast<double>(now);
      const double value =
          settings_.classes[static_cast<std::size_t>(request.request_class)].points / dearest_;
      room = room && *tokens - needs[t] >= kCheap * (1 - value) * kDepth * able;
    }
    for (std::size_t t = 0; room && t < scenario_.tiers.size(); ++t)
      *truth_.budget(static_cast<int>(t), settings_.zone) -= needs[t];
    return room;
  }

  const Scenario& scenario_;
  double dearest_ = 1e-9;
};

// The paper's algorithms 1 and 3 as printed, the server's part worked out from its reports.
class PlainBloc : public Reference {
 public:
  explicit PlainBloc(const Caller& caller) : Reference(caller), capacity_(caller.scenario.bloc_capacity) {}

 private:
  static constexpr Micros kWindow = 30'000'000;
  static constexpr Micros kReset = 1'000'000;

  bool Active(Micros now, const Known& k) const { return k.chips > 0 || now - k.heard > kReset; }
  std::size_t Draw(Micros now, const Held& held) {
    for (int i = 0; i < 64; ++i) {
      const std::size_t one = Any();
      if (Active(now, known_[one])) return one;
    }
    return AnyOther(held);  // the paper draws for ever; nobody is active
  }
  std::size_t Pick(Micros now, RequestId, const Held& held) override {
    const std::size_t one = Draw(now, held), two = Draw(now, held);
    const std::size_t best = known_[one].in_flight < known_[two].in_flight ? one : two;
    Known& k = known_[best];
    if (k.chips <= 0) {
      k.heard = now;
    } else {
      --k.chips;
    }
    return best;
  }
  void Hear(Micros now, Known& k, const AttemptEnd& end) override {
    if (end.outcome == Outcome::kRejected) {
      k.chips = 0;
      k.heard = now;
      return;
    }
    if (!end.report || !end.report->in_flight) return;
    k.heard = now;
    const double queue = *end.report->in_flight;
    if (now - k.window > kWindow) {
      if (k.reports > 0) k.mean = k.sum / k.reports;
      k.sum = k.reports = 0;
      k.window = now;
    }
    k.sum += queue;
    k.reports += 1;
    const double capacity = capacity_ > 0 ? capacity_ : k.mean;
    if (capacity <= 0 || picks_.Unit() >= queue / (0.8 * capacity)) k.chips += 1;
  }

  const double capacity_;
};

}  // namespace

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = {
      "module", "plan", "random", "round-robin", "least-connections",
      "p2c",    "bloc", "jsq",    "oracle",      "bound"};
  return names;
}

std::unique_ptr<Policy> MakePolicy(const std::string& name, const Caller& caller, Micros now, Actions* out) {
  if (name == "module") return std::make_unique<ModulePolicy>(caller.settings, caller.seed, now, out);
  if (name == "plan") return std::make_unique<PlanPolicy>(caller, now, out);
  if (name == "bound") return std::make_unique<Bound>(caller);
  if (name == "random") return std::make_unique<RandomPick>(caller);
  if (name == "round-robin") return std::make_unique<RoundRobin>(caller);
  if (name == "least-connections") return std::make_unique<LeastConnections>(caller);
  if (name == "p2c") return std::make_unique<TwoChoices>(caller);
  if (name == "bloc") return std::make_unique<PlainBloc>(caller);
  if (name == "jsq") return std::make_unique<ShortestQueue>(caller);
  if (name == "oracle") return std::make_unique<Oracle>(caller);
  throw ScenarioError("there is no policy called " + name);
}

}  // namespace umberdyke::emulator

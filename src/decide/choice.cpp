// All decisions of umberdyke. The types, events and actions stand in include/umberdyke/balancer.h.
//
// The ordinary path is BLOC: answers mint chips from the reported count of requests, a pick draws two servers
// among those with a chip or long unheard and takes the one with fewer own calls in flight, and a refused
// call goes to a new pick. All else is an exception for when that breaks; docs/design.md says when each acts.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "decide/random.h"
#include "decide/settings.h"
#include "decide/state.h"
#include "umberdyke/balancer.h"

namespace umberdyke {
namespace {

// --- Chips and capacity (the paper's figures where it has them) ---
constexpr double kChipShare = 0.8;       // chips run out at this share of capacity, as in the paper
constexpr double kMaxChips = 4;          // older chips speak of a load long gone
constexpr Micros kChipLife = 2'000'000;  // queues come and go in a second or two
constexpr double kHeadroom = 2.5;     // capacity over the mean count: one at the mean mints every second time
constexpr double kCapacityFloor = 4;  // a few requests are no load, whatever the mean says
constexpr Micros kWindow = 10'000'000;  // window of the mean; 30 s spans whole incidents
constexpr int kGoneWindows = 3;         // after so many windows a server that has gone is forgotten
constexpr int kRedraws = 6;             // draws for one of the two, then the fallback
constexpr size_t kFamiliarCalls = 12;   // own sends within which a server must have served to be familiar
constexpr double kTrials = 0.04;        // share of thin picks that go to any server, near or far, as a trial
constexpr double kAskTime = 0.01;       // a request waits for its checks for this share of the aim
constexpr size_t kMostAsked = 6;        // servers that one request asks, two at a time
constexpr double kAskSpend = 0.02;      // no more asking than costs this much of the result
constexpr double kResetPerTurn = 6;     // reset interval, in turns of own sends over all upstreams
constexpr Micros kMinReset = 100'000;   // a trial at most this often
constexpr Micros kMaxReset = 10'000'000;  // and at least this often
constexpr double kCrowdedNear = 1.2;      // a near server is preferred up to this multiple of the mean count
constexpr double kReportGain = 0.4;       // weight of a new report: reports are noisy, and late
// --- Health ---
constexpr double kLatencyGain = 0.1;            // weight of one answer in the mean latency
constexpr Micros kLongestAvoided = 30'000'000;  // for a class; doubling from the reset interval
constexpr double kStallFactor = 4;              // silent for this many mean latencies: stalled
constexpr Micros kMinStall = 150'000;           // no silence shorter than this is held against an upstream
constexpr Micros kFirstEjection = 1'000'000;
constexpr Micros kLongestEjection = 8'000'000;
constexpr double kMaxEjected = 0.5;  // eject at most this share: beyond it the trouble is a shared one
constexpr double kZoneGain = 2.5;    // a zone is drawn less by this, for each share of calls gone wrong
constexpr int kMostZones = 255;      // zones numbered higher share a record
constexpr double kUnseenZone = std::numeric_limits<double>::infinity();  // one without servers: no measure
constexpr double kLeastFit = 0.03;  // but never less than this: what is not tried is never found well again
// --- Further attempts ---
constexpr double kRetryShare = 0.15;   // attempts that may repeat work, for each request
constexpr double kRetryBurst = 10;     // how many may come at once
constexpr double kNoTimeFactor = 0.5;  // no attempt with less left than this share of the mean latency
// --- Requests at fault ---
constexpr double kKinGain = 0.25;     // weight of one outcome: with few calls two in a row have to tell
constexpr double kSuspect = 0.3;      // share of failures from which on a kin may be at fault
constexpr int kFewAnswers = 3;        // a kin with no more answers than this is no measure for another
constexpr double kHopelessKin = 0.7;  // share of late ones from which on more of them are in vain
constexpr Micros kLongestShut = 16'000'000;
// --- Admission ---
constexpr double kAimShare = 0.45;       // mean answer time that the limit allows, as a share of the aim
constexpr double kOverQuiet = 1.6;       // or this multiple of the quiet answer time, where that is longer
constexpr double kMostOverQuiet = 2.5;   // nor a larger multiple: servers choke by what they hold
constexpr double kMostOfAim = 0.6;       // but never more of the aim: a crowded start passes for quiet
constexpr double kThroughputTime = 1e6;  // memory of the rate of answers
constexpr double kSteadyGain = 0.02;     // the quiet answer time is the least of a mean this steady
constexpr double kQuietRise = 1.002;     // a step up of the quiet answer time: it forgets in half a minute
constexpr double kStartPerUpstream = 6;  // in hand before any answer, for each upstream, over all balancers
constexpr double kStartGrowth = 0.1;     // room that each of the first answers makes beyond its own
constexpr double kAnswersFirst = 50;     // answers that make the start: the first are the quick ones
constexpr double kAnswersTell = 12;      // answers after which the time taken tells a crowd from chance
constexpr double kLimitSlack = 2;        // chance crowds of a few in hand: so many roots of the limit, and 1
constexpr double kTookGain = 0.1;        // weight of one request in the recent time that requests take
constexpr double kMostTookGain = 0.5;    // where few are let in each stands for many, up to this weight
constexpr double kRefuseGain = 6;        // share refused for each multiple of the allowed time beyond it
constexpr double kFewInHand = 6;         // with a limit of so many the limit does half of that by itself
constexpr double kMostRefused = 0.95;    // always let some work through: without answers nothing is learnt
constexpr double kBackAfter = 0.2;  // the refused are asked back after this share of the aim, or half off it
constexpr double kQuietRoom = 1.2;  // no class is refused below this multiple of the quiet answer time
constexpr double kSpread = 0.3;     // the worthless are refused at this share below the limit
// --- Housekeeping ---
constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr Micros kHousekeeping = 100'000;  // pace of windows, limits and stalled checks
constexpr std::uint64_t kHousekeepingToken = std::uint64_t{1} << 60;
constexpr std::uint64_t kAskToken = kHousekeepingToken + 1;
constexpr std::uint64_t kHeldToken = kHousekeepingToken + 2;
constexpr std::uint64_t kAnswersToken = kHousekeepingToken + 3;
constexpr Micros kHeldPace = 20'000;  // how often held requests look for a server
constexpr double kWaitShare = 0.45;   // and for how much of their time: from half on an unsent one costs more
constexpr Micros kFirstAskDelay = 500'000;
constexpr Micros kLongestAsk = 1'500'000;  // what discovery tells when it is back counts 6 s later
constexpr double kRateTime = 8e6;          // memory of the rate that warm upstreams take
constexpr double kRateFall = 60e6;  // and how long it lasts when they take less: a jam is no measure of them
constexpr double kColdShare = 0.5;  // a cold one is sent this part of its least share of that rate
constexpr double kColdRule = 0.75;  // and more where warm ones are lost, up to this part of the rule's figure

}  // namespace

class Balancer::Impl : State {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now, Actions* out)
      : settings_(settings), random_(seed), now_(now), out_(out) {
    tenant_rate_.resize(settings.tenants.size());
    retry_tokens_ = kRetryBurst;
    reset_interval_ = static_cast<double>(kMinReset);
    ask_delay_ = kFirstAskDelay;
    kin_.resize(settings.classes.size() + settings.tenants.size());
    Validate(settings);
    for (const RequestClass& c : settings_.classes) most_points_ = std::max(most_points_, c.points);
    last_housekeeping_ = window_start_ = now;
    // Instances that start together must not work in step.
    SetTimerIn(1 + random_.Below(kHousekeeping), kHousekeepingToken);
    if (settings_.must_ask) out_->push_back(Subscribe{});
  }

  Impl& At(Micros now, Actions* out) {
    now_ = now;
    out_ = out;
    return *this;
  }

  // --- The list ---

  void List(ListUpdate kind, const std::vector<UpstreamEntry>& entries) {
    if (kind == ListUpdate::kFailed) {
      AskAgain();
      return;
    }
    if (kind != ListUpdate::kCached) ask_delay_ = kFirstAskDelay;
    const bool complete = kind != ListUpdate::kChanges;
    std::vector<char> listed(upstreams_.size(), 0);
    for (const UpstreamEntry& entry : entries) {
      const int u = Merge(entry);
      if (static_cast<size_t>(u) < listed.size()) listed[u] = 1;
    }
    for (size_t u = 0; complete && u < listed.size(); ++u) {
      if (!listed[u]) TakeGone(upstreams_[u]);
    }
    for (const UpstreamEntry& entry : entries) CloseIdleIfDraining(Find(entry.id));
    GatherReady();
    ServeWaiting();
  }

  void GatherReady() {
    ready_.clear();
    near_.clear();
    heaviest_ = 0;
    for (size_t u = 0; u < upstreams_.size(); ++u) {
      const UpstreamEntry& entry = upstreams_[u].entry;
      if (entry.state != UpstreamState::kReady || Part(upstreams_[u]) <= 0) continue;
      ready_.push_back(static_cast<int>(u));
      heaviest_ = std::max(heaviest_, entry.weight);
      if (entry.zone == settings_.zone) near_.push_back(static_cast<int>(u));
    }
  }

  void Zones(const std::vector<double>& parts) {
    zone_part_ = parts;
    GatherReady();
    ServeWaiting();
  }

  // --- Requests ---

  void NewRequest(const Request& request) {
    Require(request.request_class >= 0 && request.request_class < static_cast<int>(settings_.classes.size()),
            "request class");
    retry_tokens_ = std::min(retry_tokens_ + kRetryShare, kRetryBurst);
    Held& held = held_[request.id];
    held.request = request;
    held.arrived = now_;
    held.deadline = now_ + request.time_left;
    if (static_cast<size_t>(request.tenant) < tenant_rate_.size()) tenant_rate_[request.tenant] += 1;
    if (request.time_left <= Guard() || !TimeForOne(held) || !Admit(held) || Shut(held)) {
      Answer(request.id, held);
      return;
    }
    ++live_;
    SetTimerIn(std::max<Micros>(1, CheckDelay(held)), request.id);
    Dispatch(request.id, held);
  }

  void Ended(const AttemptEnd& end) {
    const int u = Find(end.upstream);
    auto it = held_.find(end.request);
    Held* request = it == held_.end() ? nullptr : &it->second;
    Attempt* attempt = request == nullptr ? nullptr : OpenAttempt(*request, end.attempt);
    if (attempt != nullptr) {
      attempt->open = false;
      attempt->may_have_run = !ProvesNeverRan(end.outcome);
      --request->open;
    }
    CloseIdleIfDraining(u);  // the connection that this attempt leaves, however late after the notice
    Learn(u, end, attempt, request);
    if (request == nullptr) return;
    if (end.settled) {
      Forget(it, end.outcome == Outcome::kOk);
    } else if (request->open == 0 && !request->streaming) {
      TryAgain(end.request, *request, end.outcome);
    }
  }

  void StreamStarted(RequestId id) {
    const auto it = held_.find(id);
    if (it == held_.end() || it->second.attempts.empty()) return;
    it->second.streaming = true;
    it->second.begun = now_;
    SetAside(it->second);
    Upstream& up = upstreams_[it->second.attempts.back().upstream];
    up.heard = up.answered = now_;
  }

  void Body(RequestId id, std::optional<Micros> time_left) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    it->second.Pass(now_, time_left);
    SetAside(it->second);
    if (time_left) SetTimerIn(std::max<Micros>(1, CheckDelay(it->second)), id);
  }

  void ClientLeft(RequestId id) {
    if (const auto it = held_.find(id); it != held_.end()) Forget(it, false);
  }

  void Timer(std::uint64_t token) {
    if (token == kHousekeepingToken) {
      Housekeeping();
    } else if (token == kAskToken) {
      out_->push_back(Subscribe{});
    } else if (token == kAnswersToken) {
      for (const RequestId id : std::vector<RequestId>(asking_)) {
        if (Held& held = held_.at(id); now_ >= held.asking.until) StopAsking(id, held);
      }
    } else if (token == kHeldToken) {
      held_timer_ = false;
      ServeWaiting();
    } else if (const auto it = held_.find(token); it != held_.end()) {
      CheckRequest(it->first, it->second);
    }
  }

  void Checked(UpstreamId id, Outcome outcome, const std::optional<LoadReport>& report) {
    const int u = Find(id);
    if (u == kNone) return;
    const bool told = outcome == Outcome::kOk && report.has_value();
    if (told) TakeReport(upstreams_[u], *report);
    if (told && now_ >= upstreams_[u].ejected_until) MintChip(upstreams_[u]);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) Eject(upstreams_[u]);
    for (const RequestId request : std::vector<RequestId>(asking_)) HearCheck(u, told, request);
  }

  int Avoided(Micros now) const {
    const auto avoided = [now](const Upstream& up) { return up.Avoided(now); };
    return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), avoided));
  }

 private:
  const RequestClass& ClassOf(const Held& held) const {
    return settings_.classes[held.request.request_class];
  }
  Micros Guard() const { return 2 * settings_.tick; }  // timers fire up to a tick late
  void SetTimerIn(Micros delay, std::uint64_t token) { out_->push_back(SetTimer{delay, token}); }
  int Find(UpstreamId id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? kNone : it->second;
  }

  // --- The list ---

  // Takes one line of a list. A new start of a known id is a new server: nothing learnt of the old one holds.
  int Merge(const UpstreamEntry& entry) {
    auto [it, is_new] = index_.try_emplace(entry.id, static_cast<int>(upstreams_.size()));
    if (is_new && !vacant_.empty()) {
      it->second = vacant_.back();
      vacant_.pop_back();
    } else if (is_new) {
      upstreams_.emplace_back();
    }
    Upstream& up = upstreams_[it->second];
    const bool restarted = !is_new && entry.ready_at > up.entry.ready_at;
    if (is_new || restarted) {
      const Upstream before = std::exchange(up, Upstream());
      up.classes.resize(settings_.classes.size());
      up.in_flight = before.in_flight;
      up.holder = before.holder;
      // Instances must not all draw their first at once.
      up.cold_until = now_ + static_cast<Micros>(random_.Unit() * static_cast<double>(ColdSpan()));
      up.heard = is_new && entry.ready_at == 0 ? 0 : now_;  // nothing known: everyone may be tried
      up.answered = now_;
    }
    if (!is_new && entry.state == UpstreamState::kGone) {
      TakeGone(up);
    } else {
      const Micros ready_at = std::max(entry.ready_at, up.entry.ready_at);  // an old list unlearns no start
      up.entry = entry;
      up.entry.ready_at = ready_at;
      up.unlisted = false;
    }
    const size_t zone = ZoneOf(up);
    if (zone >= zone_bad_.size()) zone_bad_.resize(zone + 1, kUnseenZone);
    if (zone_bad_[zone] == kUnseenZone) zone_bad_[zone] = 0;
    return it->second;
  }

  // Guards the memory against servers that are replaced all day: one that is long gone, with no call out, is
  // forgotten, and its place is free for another.
  void ForgetIfLongGone(int u) {
    Upstream& up = upstreams_[u];
    if (up.vacant) return;
    up.gone_windows = up.entry.state == UpstreamState::kGone ? up.gone_windows + 1 : 0;
    if (up.gone_windows <= kGoneWindows || up.in_flight > 0) return;
    index_.erase(up.entry.id);
    std::erase(lately_served_, u);
    std::erase(holders_, u);
    up = Upstream();
    up.entry.state = UpstreamState::kGone;
    up.vacant = true;
    vacant_.push_back(u);
  }

  // Where only draining binds, the list is one witness among others: what was in good standing is sent to
  // until a call or check there fails. Guards against lists that are emptied, cut short or old.
  void TakeGone(Upstream& up) {
    const bool drained = up.entry.state != UpstreamState::kReady;
    up.unlisted = settings_.only_draining_binds && !drained && up.ejection == 0;
    if (!up.unlisted) up.entry.state = UpstreamState::kGone;
  }

  // Where the settings ask for it; at the notice and after each outcome there. Nothing is sent in between.
  void CloseIdleIfDraining(int u) {
    if (settings_.close_idle_within <= 0 || u == kNone) return;
    const UpstreamEntry& entry = upstreams_[u].entry;
    if (entry.state != UpstreamState::kReady) out_->push_back(CloseIdle{entry.id});
  }

  // Later each time and never in step with the other instances.
  void AskAgain() {
    SetTimerIn(static_cast<Micros>(static_cast<double>(ask_delay_) * (0.5 + random_.Unit())), kAskToken);
    ask_delay_ = std::min({2 * ask_delay_, settings_.ask_every / 3, kLongestAsk});
  }

  // --- The ordinary path: chips, capacity, two draws ---

  // The time of as many own sends as there are servers.
  double Turn() const { return own_rate_ > 0 ? static_cast<double>(ready_.size()) / own_rate_ : 0; }

  // 0 where every server is heard while its last chip lives, 1 where it takes twice that long.
  double Thinness() const { return Turn() / static_cast<double>(kChipLife) - 1; }

  double ResetInterval() const {
    return std::clamp(kResetPerTurn * Turn(), static_cast<double>(kMinReset), static_cast<double>(kMaxReset));
  }

  // The mean reported count over a window, held between the mean of all and half as much again: a long queue
  // of its own must not pass for capacity, nor a short one wipe the chips.
  double Capacity(const Upstream& up) const {
    if (mean_count_ <= 0) return 0;
    const double own = up.mean > 0 ? up.mean : mean_count_;
    const double mean = std::clamp(own, mean_count_, 1.5 * mean_count_);
    return std::max(kCapacityFloor, kHeadroom * mean);
  }

  void TakeReport(Upstream& up, const LoadReport& report) {
    const std::optional<double> seen = report.in_flight ? report.in_flight : report.queue;
    const double count = seen.value_or(up.in_flight);  // nothing reported: own calls in flight stand in
    up.seen = count;
    up.count = up.counted ? up.count + kReportGain * (count - up.count) : count;
    up.counted = true;
    up.reported = now_;
    up.window_sum += count;
    ++up.window_reports;
  }

  void MintChip(Upstream& up) {
    const double capacity = Capacity(up);
    if (capacity > 0 && up.count + 1 > capacity) {
      up.chips = 0;
    } else if (capacity <= 0 || random_.Unit() >= up.count / (kChipShare * capacity)) {
      up.chips = std::min(up.chips + 1, kMaxChips);
      Hold(up);
    }
  }

  void Hold(Upstream& up) {
    if (!std::exchange(up.holder, true)) holders_.push_back(Find(up.entry.id));
  }

  // A chip speaks of the load at its report; one that waited for long says nothing of the load now.
  bool HoldsChip(const Upstream& up) const {
    return IsCold(up) ? up.cold_sends > 0 : up.chips >= 1 && now_ - up.reported < kChipLife;
  }

  void DropHolder(size_t at) {
    upstreams_[holders_[at]].holder = false;
    holders_[at] = holders_.back();
    holders_.pop_back();
  }

  // A random chip-holder, familiar if one of the first few drawn is, and near too where that is asked for.
  int DrawHolder(const Held& held, bool near) {
    int best = kNone;
    int best_fit = -1;
    for (int i = 0; i < kRedraws && !holders_.empty() && best_fit < 2; ++i) {
      const size_t at = static_cast<size_t>(random_.Below(static_cast<int>(holders_.size())));
      const int u = holders_[at];
      if (TooLight(upstreams_[u])) continue;
      if (!HoldsChip(upstreams_[u])) {
        DropHolder(at);
      } else if (Allowed(u, held)) {
        const bool placed = !near || upstreams_[u].entry.zone == settings_.zone;
        const int fit = (placed ? 1 : 0) + (Familiar(upstreams_[u], held.request.request_class) ? 1 : 0);
        if (fit > best_fit) best = u;
        best_fit = std::max(fit, best_fit);
      }
    }
    return best;
  }

  // Asking first. Where calls are thin and checks cheap, a request asks two servers drawn at random, a
  // familiar one and any, and goes to the lighter; while neither is lighter than the mean, it asks two more.
  // Guards against chips that say nothing any more: servers may turn over faster than those live.
  bool AsksFirst(const Held& held) const {
    return settings_.may_check && Thinness() > 0 && held.open == 0 &&
           settings_.check_price * kMostAsked <= kAskSpend;
  }

  void AskTwo(RequestId id, Held& held) {
    const size_t enough = held.asking.asked.size() + 2;
    for (int i = 0; i < 4 * kRedraws && held.asking.asked.size() < enough; ++i) {
      const std::vector<int>& any = i % 2 > 0 || near_.empty() ? ready_ : near_;
      const std::vector<int>& from = i > 1 || lately_served_.empty() ? any : lately_served_;
      const int u = from[random_.Below(static_cast<int>(from.size()))];
      if (TooLight(upstreams_[u]) || !Allowed(u, held) || Contains(held.asking.asked, u)) continue;
      held.asking.asked.push_back(u);
      ++held.asking.unheard;
      out_->push_back(Check{upstreams_[u].entry.id});
    }
    if (held.asking.unheard == 0 || held.asking.until > 0) return;
    const Micros wait = std::max(settings_.tick, static_cast<Micros>(kAskTime * ClassOf(held).aim));
    held.asking.until = now_ + wait;
    asking_.push_back(id);
    SetTimerIn(wait, kAnswersToken);
  }

  void HearCheck(int u, bool told, RequestId id) {
    const auto it = held_.find(id);
    if (it == held_.end() || !Contains(it->second.asking.asked, u)) return;
    Held& held = it->second;
    --held.asking.unheard;
    const auto load = [&](int v) { return std::max(upstreams_[v].seen, double(upstreams_[v].in_flight)); };
    const auto lighter = [&](int v, int w) {
      return load(v) < load(w) || (load(v) == load(w) && Fewer(v, w, held.request.request_class));
    };
    if (told && (held.asking.best == kNone || lighter(u, held.asking.best))) held.asking.best = u;
    if (held.asking.unheard > 0) return;
    const bool light = held.asking.best != kNone && load(held.asking.best) < std::max(1.0, mean_count_);
    if (!light && held.asking.asked.size() < kMostAsked) AskTwo(id, held);
    if (held.asking.unheard == 0) StopAsking(id, held);
  }

  void StopAsking(RequestId id, Held& held) {
    std::erase(asking_, id);
    const int best = held.asking.best;
    held.asking = {};
    if (best != kNone && Allowed(best, held)) {
      SendTo(best, id, held);
    } else {
      Place(id, held);
    }
  }

  // What every send must keep, the fallback's included: the list's word, ejection, the group of a keyed
  // request that may have run, and what a cold server can take. A further attempt goes elsewhere.
  bool Allowed(int u, const Held& held, bool with_ejected = false) const {
    const Upstream& up = upstreams_[u];
    if (!with_ejected && !held.attempts.empty() && held.attempts.back().upstream == u) return false;
    return Allowed(up, held.request.request_class, with_ejected) && InGroup(up, held) &&
           (!IsCold(up) || up.cold_sends > 0);
  }

  bool Allowed(const Upstream& up, int request_class, bool with_ejected) const {
    if (up.entry.state != UpstreamState::kReady || Part(up) <= 0) return false;
    return with_ejected || (now_ >= up.ejected_until && now_ >= up.classes[request_class].avoided_until);
  }

  static size_t ZoneOf(const Upstream& up) {
    return static_cast<size_t>(std::clamp(up.entry.zone, 0, kMostZones));
  }

  double Part(const Upstream& up) const {
    return ZoneOf(up) < zone_part_.size() ? zone_part_[ZoneOf(up)] : 1;
  }

  // Drawn in proportion to its weight and its zone's part, and the less often the more calls to its zone go
  // wrong than to the best one. Guards against a bad way to a zone and a zone whose servers are struck
  // together: each caller finding each server out takes longer than the trouble. Trials go on, and what was
  // seen fades.
  bool TooLight(const Upstream& up) {
    const double best = *std::min_element(zone_bad_.begin(), zone_bad_.end());
    const double fit = 1 - kZoneGain * (zone_bad_[ZoneOf(up)] - best);
    return random_.Unit() * heaviest_ > up.entry.weight * std::max(fit, kLeastFit) * Part(up);
  }

  int Draw(const Held& held, const std::vector<int>& from) {
    for (int i = 0; i < kRedraws; ++i) {
      const int u = from[random_.Below(static_cast<int>(from.size()))];
      if (TooLight(upstreams_[u])) continue;
      if ((HoldsChip(upstreams_[u]) || static_cast<double>(now_ - upstreams_[u].heard) > reset_interval_) &&
          Allowed(u, held))
        return u;
    }
    return kNone;
  }

  // Near, and not more crowded than most: crossing zones costs time and money, but less than a queue does.
  bool NearAndLight(const Upstream& up) const {
    return up.entry.zone == settings_.zone && up.count <= kCrowdedNear * mean_count_;
  }

  // Served a call of the class within the last own sends. Guards callers with few calls for many servers
  // against a handshake for nearly every call and against finding each sick server out anew.
  bool Familiar(const Upstream& up, int request_class) const {
    return now_ - up.classes[request_class].served < familiar_ && up.classes[request_class].served > 0;
  }

  // Fewer own calls in flight; a tie goes to the nearer one, then to a familiar one.
  bool Fewer(int a, int b, int c) const {
    const Upstream& x = upstreams_[a];
    const Upstream& y = upstreams_[b];
    if (x.in_flight != y.in_flight) return x.in_flight < y.in_flight;
    if (NearAndLight(x) != NearAndLight(y)) return NearAndLight(x);
    return Familiar(x, c) && !Familiar(y, c);
  }

  // Between two draws a tie goes to the lighter reported count; in the fallback all callers would herd on
  // one.
  bool Better(int a, int b, int c) const {
    return Fewer(a, b, c) || (!Fewer(b, a, c) && upstreams_[a].count < upstreams_[b].count);
  }

  int Pick(const Held& held) {
    if (ready_.empty()) return kNone;
    // Among all, or among the holders where calls are thin; the second is near, so that one need not cross.
    const bool thin = Thinness() > 0;
    if (thin && random_.Unit() < kTrials) {
      if (const int u = Draw(held, ready_); u != kNone) return u;
    }
    const int a = thin ? DrawHolder(held, false) : Draw(held, ready_);
    const int b = thin ? DrawHolder(held, true) : Draw(held, near_.empty() ? ready_ : near_);
    if (a == kNone && b == kNone) return Fallback(held);
    if (a == kNone || b == kNone) return a == kNone ? b : a;
    return Better(b, a, held.request.request_class) ? b : a;
  }

  // Fewest own calls among all that may be sent to; ejected ones only when nobody else is left.
  int Fallback(const Held& held) {
    const int n = static_cast<int>(ready_.size());
    for (const bool desperate : {false, true}) {
      const int start = random_.Below(n);
      int best = kNone;
      for (int i = 0; i < n; ++i) {
        const int u = ready_[(start + i) % n];
        if (!Allowed(u, held, desperate)) continue;
        if (best == kNone || Fewer(u, best, held.request.request_class)) best = u;
      }
      if (best != kNone) return best;
    }
    return kNone;
  }

  // --- Cold upstreams ---

  bool IsCold(const Upstream& up) const {
    return up.entry.ready_at > 0 && now_ - up.entry.ready_at < settings_.cold_time;
  }

  // The share of its work that a cold upstream can surely do by now.
  double WarmShare(const Upstream& up) const {
    const double age = static_cast<double>(std::max<Micros>(0, now_ - up.entry.ready_at));
    const double grown = settings_.cold_time > 0 ? age / static_cast<double>(settings_.cold_time) : 1;
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::min(1.0, grown);
  }

  Micros ColdSpan() const { return std::max<Micros>(settings_.fall_time, kHousekeeping); }

  // What own sends ask of one warm upstream, were each sent to by what it can do. Those that fail count too:
  // a trouble of theirs must not push the cold over.
  double EvenShare() const {
    double shares = 0;
    for (const int u : ready_) {
      shares += IsCold(upstreams_[u]) ? WarmShare(upstreams_[u]) : 1;
    }
    return own_rate_ / std::max(1.0, shares);
  }

  // Sends that a cold upstream may get from here in the next span, drawn anew for each: what lapses unused is
  // gone, else hundreds of instances would save up and spend in the same second. On the mean it is the own
  // rate to a warm one before any jam, cut to the share that is surely warm, and to half of that while the
  // warm ones can do the work: a cold one is slow, and what is late there passes for a crowd. Where they are
  // asked for more than that rate, the cold take twice their part of the rest: servers warm faster than they
  // must. Where nothing is known of peers, all instances together send one for each span.
  void DrawColdSends(Upstream& up) {
    if (!IsCold(up) || now_ < up.cold_until) return;
    const double span = static_cast<double>(ColdSpan());
    const double rate = std::max(warm_rate_, 1 / (span * settings_.balancers));
    const double most = kColdRule * settings_.fall_multiple;
    const double lost = warm_rate_ > 0 ? EvenShare() / warm_rate_ : 1;
    const double share = WarmShare(up) * std::clamp(2 * lost - 1, std::min(kColdShare, most), most);
    up.cold_sends = static_cast<int>(rate * span * share + random_.Unit());
    up.cold_until = now_ + ColdSpan();
    if (up.cold_sends > 0) Hold(up);
  }

  // --- What may be done with a request ---

  // THE predicate of "no effect twice": may this request be sent once more (to its group)?
  bool MaySend(const Held& held) const {
    if (static_cast<int>(held.attempts.size()) >= settings_.max_attempts || held.streaming) return false;
    if (held.once || (held.open > 0 && !settings_.parallel_attempts)) return false;
    return now_ + settings_.tick < RepeatUntil(held);
  }

  // What leaves later is a second effect: a keyed class's window opens with the first that may have run.
  Micros RepeatUntil(const Held& held) const {
    const RequestClass& c = ClassOf(held);
    const Attempt* first = FirstThatMayHaveRun(held);
    if (c.repeat == Repeat::kSafe || first == nullptr) return kNever;
    return c.repeat == Repeat::kUnsafe ? 0 : first->sent + c.window - c.window / 20;
  }

  // And its sister: may it be refused, which promises that a retry is harmless?
  bool MayRefuse(const Held& held) const {
    const RequestClass& c = ClassOf(held);
    return RepeatUntil(held) == kNever || (c.repeat == Repeat::kKeyed && c.group == Group::kAll);
  }

  bool InGroup(const Upstream& up, const Held& held) const {
    const RequestClass& c = ClassOf(held);
    if (c.repeat != Repeat::kKeyed || c.group == Group::kAll) return true;
    for (const Attempt& a : held.attempts) {
      if (!a.may_have_run) continue;
      if (c.group == Group::kZone ? a.zone != up.entry.zone : a.cell != up.entry.cell) return false;
    }
    return true;
  }

  Micros UsefulUntil(const Held& held) const { return umberdyke::UsefulUntil(ClassOf(held), held); }

  bool TimeForOne(const Held& held) const {
    return static_cast<double>(UsefulUntil(held) - now_) >
           std::max<double>(Guard(), kNoTimeFactor * latency_);
  }

  // --- The life of a request ---

  Micros StallTime() const { return std::max(kMinStall, static_cast<Micros>(kStallFactor * latency_)); }

  Micros CheckDelay(const Held& held) const { return std::min(held.deadline - Guard() - now_, StallTime()); }

  void Dispatch(RequestId id, Held& held) {
    if (held.asking.until > 0) return;
    if (AsksFirst(held) && TimeForOne(held)) AskTwo(id, held);
    if (held.asking.until == 0) Place(id, held);
  }

  void Place(RequestId id, Held& held) {
    const int u = TimeForOne(held) || held.attempts.empty() ? Pick(held) : kNone;
    if (u != kNone) {
      SendTo(u, id, held);
    } else if (held.open == 0) {
      Wait(id, held);
    }
  }

  void SendTo(int u, RequestId id, Held& held) {
    Upstream& up = upstreams_[u];
    if (up.chips >= 1) {
      up.chips -= 1;
    } else {
      up.heard = now_;  // a pick without a chip restarts RcvTime
    }
    if (up.ejection > 0) up.ejected_until = now_ + up.ejection;  // one trial at a time
    if (IsCold(up)) up.cold_sends -= 1;
    ++up.in_flight;
    ++sends_;
    const bool keyed = ClassOf(held).repeat == Repeat::kKeyed;
    Attempt attempt;
    attempt.upstream = u;
    attempt.sent = now_;
    attempt.ready_at = up.entry.ready_at;
    attempt.zone = up.entry.zone;
    attempt.cell = up.entry.cell;
    held.attempts.push_back(attempt);
    ++held.open;
    held.waiting = false;
    const Micros useful = UsefulUntil(held);
    const bool cut = useful < held.deadline && useful > now_ && !ClassOf(held).stream;
    out_->push_back(Send{id, up.entry.id, cut ? useful - now_ : 0, keyed ? RepeatUntil(held) - now_ : 0});
  }

  // Nobody may be sent to just now: hold the request for a part of its time.
  void Wait(RequestId id, Held& held) {
    const auto most = static_cast<Micros>(kWaitShare * static_cast<double>(held.request.time_left));
    if (!MaySend(held) || now_ >= held.arrived + most || !TimeForOne(held)) {
      Conclude(id);
      return;
    }
    if (!std::exchange(held.waiting, true)) waiting_.push_back(id);
    if (!std::exchange(held_timer_, true)) SetTimerIn(kHeldPace, kHeldToken);
  }

  void ServeWaiting() {
    for (size_t n = waiting_.size(); n > 0; --n) {
      const RequestId id = waiting_.front();
      waiting_.pop_front();
      const auto it = held_.find(id);
      if (it == held_.end() || !it->second.waiting) continue;
      it->second.waiting = false;
      Dispatch(id, it->second);
    }
  }

  void TryAgain(RequestId id, Held& held, Outcome outcome) {
    if (outcome == Outcome::kUnfit) {  // no other server will take it, and coming back is no use
      LeaveHand(id, held, false);
      out_->push_back(Fail{id});
      held_.erase(id);
      return;
    }
    const bool never_ran = ProvesNeverRan(outcome);
    const bool out_of_time = now_ >= held.deadline - Guard() || !TimeForOne(held);
    const bool in_vain = outcome == Outcome::kError && AtFault(held, &Kin::failed);
    if (out_of_time || in_vain || !MaySend(held) || (!never_ran && retry_tokens_ < 1)) {
      Conclude(id);
      return;
    }
    if (!never_ran) retry_tokens_ -= 1;
    Dispatch(id, held);
  }

  // The request's own timer: an attempt at a silent server is called off or doubled; the deadline is kept.
  void CheckRequest(RequestId id, Held& held) {
    if (held.streaming || held.passing) return;
    if (held.open == 0 && now_ >= held.deadline - Guard()) {
      Conclude(id);
      return;
    }
    if (held.open > 0 && now_ - held.attempts.back().sent >= StallTime()) SetAside(held);
    if (held.open > 0 && Stalled(held.attempts.back())) Rescue(id, held);
    const auto it = held_.find(id);
    if (it != held_.end()) SetTimerIn(std::max<Micros>(settings_.tick, CheckDelay(it->second)), id);
  }

  // Calls stuck at sick servers, and long bodies under way, must not fill the limit of the others.
  void SetAside(Held& held) { live_ -= std::exchange(held.stuck, true) ? 0 : 1; }

  // Silent for long since the attempt went out: two calls out at once, or twice the time, say more than one.
  bool Stalled(const Attempt& a) const {
    const Upstream& up = upstreams_[a.upstream];
    const Micros silent_for = up.in_flight > 1 ? StallTime() : 2 * StallTime();
    return a.open && !a.called_off && up.answered <= a.sent && now_ - a.sent >= silent_for;
  }

  void Rescue(RequestId id, Held& held) {
    Attempt& attempt = held.attempts.back();
    if (AtFault(held, &Kin::late)) return;
    Eject(upstreams_[attempt.upstream]);
    Avoid(upstreams_[attempt.upstream], held.request.request_class);
    if (held.once || ClassOf(held).repeat == Repeat::kUnsafe) return;
    if (retry_tokens_ < 1 || !TimeForOne(held)) return;
    if (static_cast<int>(held.attempts.size()) >= settings_.max_attempts) return;
    if (MaySend(held)) {  // a second copy
      retry_tokens_ -= 1;
      Dispatch(id, held);
    } else if (settings_.may_cancel && !settings_.parallel_attempts) {
      attempt.called_off = true;  // its outcome sends the next one
      out_->push_back(Cancel{id, static_cast<int>(held.attempts.size()) - 1});
    }
  }

  // What ends with a request that was let in, and what it says of the time that requests take: one without an
  // answer can only raise the mean; one that was turned away or found no server counts as too late.
  void LeaveHand(RequestId id, Held& held, bool served) {
    for (size_t i = 0; settings_.may_cancel && i < held.attempts.size(); ++i) {
      const Attempt& a = held.attempts[i];
      if (a.open && !a.called_off) out_->push_back(Cancel{id, static_cast<int>(i)});
    }
    live_ -= held.stuck ? 0 : 1;
    std::erase(asking_, id);
    if (held.passing) return;
    const Micros ended = held.begun > 0 ? held.begun : now_;
    const bool turned_away = !served && held.open == 0 && !MayHaveRun(held);
    const double took = static_cast<double>((turned_away ? UsefulUntil(held) : ended) - held.arrived);
    const bool half_gone = 2 * (ended - held.arrived) > UsefulUntil(held) - held.arrived;
    const bool late = !served && !turned_away && half_gone;
    if (served || late) {
      for (Kin* kin : KinOf(held)) TellKin(*kin, ClassOf(held).aim, late);
    }
    if (late && AtFault(held, &Kin::late)) return;
    if (served || took > took_) took_ += std::min(kTookGain / held.let_in, kMostTookGain) * (took - took_);
  }

  // Gives the final answer that the class permits, and forgets the request.
  void Conclude(RequestId id) {
    const auto it = held_.find(id);
    LeaveHand(id, it->second, false);
    Answer(id, it->second);
  }

  void Answer(RequestId id, Held& held) {
    out_->push_back(MayRefuse(held) ? Action(Refuse{id, RetryAfter(ClassOf(held).aim)}) : Fail{id});
    held_.erase(id);
  }

  // Soon enough that the next try can be answered within the aim; spread, so that they do not come together.
  Micros RetryAfter(Micros aim) {
    const double after = static_cast<double>(aim) * kBackAfter * (0.5 + random_.Unit());
    return std::min(settings_.max_retry_after, static_cast<Micros>(after));
  }

  void Forget(HeldMap::iterator it, bool served) {
    LeaveHand(it->first, it->second, served);
    held_.erase(it);
  }

  Attempt* OpenAttempt(Held& held, int number) {
    const bool known = number >= 0 && number < static_cast<int>(held.attempts.size());
    return known && held.attempts[number].open ? &held.attempts[number] : nullptr;
  }

  // --- Requests at fault, not servers ---
  // Guards against requests of one class or tenant that fail or drag at every server: their outcomes are
  // compared with those of the others. Where they alone fail, no server is blamed and no retry spent; where
  // nearly all of them are late, only a trial now and then is let in, lest they fill the slots of the rest.
  // Also covers a jam whose cause is unknown: nobody's trials go well, so all back off until it has drained.

  std::vector<Kin*> KinOf(const Held& held) {
    const size_t tenant = static_cast<size_t>(held.request.tenant);
    std::vector<Kin*> kin;
    if (settings_.classes.size() > 1) kin.push_back(&kin_[static_cast<size_t>(held.request.request_class)]);
    if (tenant < tenant_rate_.size()) kin.push_back(&kin_[settings_.classes.size() + tenant]);
    return kin;  // the only class is everybody
  }

  // Fails by much more than the best of the other classes, or of the other tenants.
  bool AtFault(const Held& held, double Kin::*share) {
    for (const Kin* kin : KinOf(held)) {
      if (kin->*share < kSuspect) continue;
      const size_t at = static_cast<size_t>(kin - kin_.data());
      const size_t classes = settings_.classes.size();
      const size_t end = at < classes ? classes : kin_.size();
      for (size_t k = at < classes ? 0 : classes; k < end; ++k) {
        if (kin_[k].heard > kFewAnswers && kin_[k].*share < kin->*share / 2) return true;
      }
    }
    return false;
  }

  // A failure that the request's kin explains, at a server that did not fail the class before.
  bool Excused(const Upstream& up, const Held& held, Outcome outcome) {
    return up.classes[held.request.request_class].avoided == 0 &&
           AtFault(held, outcome == Outcome::kError ? &Kin::failed : &Kin::late);
  }

  void TellKinFailed(const Held& held, bool failed) {
    for (Kin* kin : KinOf(held)) {
      kin->failed += kKinGain / 2 * ((failed ? 1 : 0) - kin->failed);
      ++kin->heard;
    }
  }

  void TellKin(Kin& kin, Micros aim, bool late) {
    kin.late += kKinGain * ((late ? 1 : 0) - kin.late);
    if (kin.late < kHopelessKin) {
      kin.shut = kin.shut_until = 0;
    } else if (!late) {
      kin.shut_until = now_;  // a trial that went well: the next one at once
    } else if (now_ >= kin.shut_until || kin.shut == 0) {
      ShutFor(kin, kin.shut == 0 ? aim : std::min(2 * kin.shut, kLongestShut));
    }
  }

  void ShutFor(Kin& kin, Micros time) {
    kin.shut = time;
    kin.shut_until = now_ + static_cast<Micros>(static_cast<double>(time) * (0.75 + 0.5 * random_.Unit()));
  }

  bool Shut(const Held& held) {
    const std::vector<Kin*> kin = KinOf(held);
    if (std::any_of(kin.begin(), kin.end(), [&](Kin* k) { return now_ < k->shut_until; })) return true;
    for (Kin* k : kin) ShutFor(*k, k->shut);  // this one is the trial, where they are shut
    return false;
  }

  // --- Learning from outcomes ---

  void Learn(int u, const AttemptEnd& end, const Attempt* attempt, const Held* held) {
    if (u == kNone) return;
    Upstream& up = upstreams_[u];
    up.in_flight = std::max(0, up.in_flight - 1);
    const bool earlier_life = attempt && attempt->ready_at != up.entry.ready_at;
    if (earlier_life || up.entry.ready_at > now_ - end.elapsed) return;
    if (end.outcome == Outcome::kCancelled || end.outcome == Outcome::kNotSent) return;
    const bool answered = end.outcome == Outcome::kOk || end.outcome == Outcome::kError ||
                          end.outcome == Outcome::kRejected || end.outcome == Outcome::kUnfit;
    if (answered) up.heard = up.answered = now_;
    if (end.report) TakeReport(up, *end.report);
    if (end.outcome == Outcome::kRejected) return void(up.chips = 0);
    if (end.outcome == Outcome::kUnfit) return MintChip(up);  // says nothing against the server, nor the kin
    if (end.outcome == Outcome::kSpoilt) return Spoilt(up, held);
    if (held && answered) TellKinFailed(*held, end.outcome == Outcome::kError);
    const bool excused = held && Excused(up, *held, end.outcome);
    double& bad = zone_bad_[ZoneOf(up)];
    if (!excused) bad += kLatencyGain * ((end.outcome == Outcome::kOk ? 0 : 1) - bad);
    const bool silent = end.outcome == Outcome::kTimeout && up.answered <= now_ - end.elapsed && !excused;
    if (end.outcome == Outcome::kOk) {
      Served(up, end, held);
    } else if (silent || end.outcome == Outcome::kConnectFailed || end.outcome == Outcome::kReset) {
      Eject(up);
    } else if (held && !excused) {
      Avoid(up, held->request.request_class);
    }
    if (answered) MintChip(up);
  }

  // Guards against leaving sound servers for answers that are spoilt here and there: one that sent something
  // is no silent one, and only when nothing else came of it twice in a row does the class keep off it.
  void Spoilt(Upstream& up, const Held* held) {
    up.answered = now_;
    if (++up.spoilt > 1 && held) Avoid(up, held->request.request_class);
  }

  void Served(Upstream& up, const AttemptEnd& end, const Held* held) {
    up.spoilt = 0;
    const double took = static_cast<double>(end.elapsed);
    // Of the first few the plain mean: the first answers are the quick ones, and silence is judged by it.
    latency_ += std::max(kLatencyGain / 4, 1 / (answers_seen_ + answered_ + 1)) * (took - latency_);
    up.ejection = 0;
    up.ejected_until = 0;
    if (!IsCold(up)) ++served_;
    lately_served_.push_back(Find(end.upstream));
    if (lately_served_.size() > kFamiliarCalls) lately_served_.erase(lately_served_.begin());
    steady_ += std::max(kSteadyGain, 1 / (answers_seen_ + answered_ + 1)) * (took - steady_);
    ++answered_;
    if (held == nullptr) return;
    up.classes[held->request.request_class] = {0, 0, now_};
    const RequestClass& c = ClassOf(*held);
    const double late = static_cast<double>(std::max<Micros>(0, c.deadline - c.aim)) * c.late_share;
    const double aim = static_cast<double>(c.aim) + late;  // late answers that still earn give more time
    aim_ = aim_ > 0 ? aim_ + kLatencyGain * (aim - aim_) : aim;
  }

  // A class keeps off a server that failed it, for longer each time, until it is served there again. Guards
  // against servers that fail one class or all; with few calls for many servers one failure is all the
  // evidence there will be in time. Never more than half of them: then the trouble is a shared one.
  void Avoid(Upstream& up, int request_class) {
    Upstream::ClassRecord& record = up.classes[request_class];
    if (now_ < record.avoided_until) return;
    if (IsShared([&](int u) { return now_ < upstreams_[u].classes[request_class].avoided_until; })) return;
    record.avoided = std::clamp(2 * record.avoided, static_cast<Micros>(reset_interval_), kLongestAvoided);
    record.avoided_until = now_ + record.avoided;
    record.served = 0;
  }

  // Guards against leaving the fleet for a trouble that all share, such as a bad tier below or a cut link.
  template <typename IsOut>
  bool IsShared(IsOut is_out) const {
    const auto out = std::count_if(ready_.begin(), ready_.end(), is_out);
    return static_cast<double>(out + 1) > kMaxEjected * static_cast<double>(ready_.size());
  }

  void Eject(Upstream& up) {
    if (up.unlisted) {  // the list was right
      up.unlisted = false;
      up.entry.state = UpstreamState::kGone;
      GatherReady();
    }
    if (IsShared([&](int u) { return now_ < upstreams_[u].ejected_until; })) return;
    if (now_ < up.ejected_until && up.ejection > 0 && up.chips == 0) return;
    const Micros longer = std::clamp(2 * up.ejection, kFirstEjection, kLongestEjection);
    up.ejection = std::max(longer, static_cast<Micros>(reset_interval_));  // no shorter than trials are apart
    up.ejected_until = now_ + up.ejection;
    up.chips = 0;
  }

  // --- Admission ---

  // Worth of a request for its work, against the dearest class: 1 at the most.
  double Value(const Held& held) const {
    double value = most_points_ > 0 ? ClassOf(held).points / most_points_ : 1;
    const size_t tenant = static_cast<size_t>(held.request.tenant);
    if (tenant < tenant_rate_.size() && settings_.tenants[tenant].allowance_per_s > 0) {
      const double share = settings_.tenants[tenant].allowance_per_s / settings_.balancers * kRateTime / 1e6;
      // With a margin for chance: of a few requests some instances see more than their part.
      if (tenant_rate_[tenant] > share + kLimitSlack * std::sqrt(share)) value *= settings_.over_share_worth;
    }
    return value;
  }

  // Refuses early, the least worth first, once more is in hand than can be answered well within the aim. Only
  // where clients come in: a call between tiers carries work already done.
  bool Admit(Held& held) {
    if (settings_.tier > 0 || limit_ <= 0) return true;
    // The cheaper classes give way to a crowd, not to the time that quiet load takes.
    const double quiet = may_take_ > 0 ? std::min(1.0, kQuietRoom * quiet_ / may_take_) : 0;
    const double worth = std::max(1 - kSpread * (1 - Value(held)), quiet);
    const double gain = kRefuseGain * kFewInHand / (kFewInHand + limit_);
    const double refused = may_take_ > 0 ? gain * (took_ / (may_take_ * worth) - 1) : 0;
    held.let_in = 1 - std::clamp(refused, 0.0, kMostRefused);
    if (random_.Unit() >= held.let_in) return false;
    return static_cast<double>(live_) < limit_ * worth + slack_;
  }

  // By Little's law: what is answered in the time that an answer may take. At the start each answer makes
  // some room beyond its own, lest a crowd chokes the servers before the first answer.
  void AdjustLimit(double elapsed) {
    const double keep = std::exp(-elapsed / kThroughputTime);
    recent_answers_ = keep * recent_answers_ + answered_;
    recent_time_ = keep * recent_time_ + elapsed;
    answers_seen_ += answered_;
    answered_ = 0;
    const double servers = static_cast<double>(ready_.size()) / settings_.balancers;
    const double start = limit_ = kStartPerUpstream * servers + kStartGrowth * answers_seen_;
    // What comes to one copy of many varies by chance, from the first second on.
    slack_ = kLimitSlack * std::sqrt(limit_ * (1 - 1.0 / settings_.balancers));
    if (latency_ <= 0) return void(recent_time_ = 0);
    const bool starting = answers_seen_ < kAnswersFirst;
    quiet_ = starting ? steady_ : std::min(quiet_ * kQuietRise, steady_);
    may_take_ = std::max(std::min(kAimShare * aim_, kMostOverQuiet * quiet_),
                         std::min(kOverQuiet * quiet_, kMostOfAim * aim_));
    limit_ = std::max(recent_answers_ / recent_time_ * may_take_, starting ? start : 0);
    // What chance brings to one copy of many the others make up for; with few, or in a jam, it is a crowd.
    const double jam = 1 - std::clamp((may_take_ - latency_) / std::max(1.0, may_take_ - quiet_), 0.0, 1.0);
    const double few = std::max(0.0, 1 - (1 + jam) / settings_.balancers);
    const double chance = few * std::max(limit_, kStartPerUpstream * servers);  // a lull leaves no limit
    if (answers_seen_ >= kAnswersTell) slack_ = kLimitSlack * std::sqrt(chance) + 1;
  }

  // --- Housekeeping ---

  void Housekeeping() {
    SetTimerIn(kHousekeeping, kHousekeepingToken);
    const double elapsed = static_cast<double>(std::max<Micros>(1, now_ - last_housekeeping_));
    last_housekeeping_ = now_;
    int warm = 0;
    for (const int u : ready_) warm += IsCold(upstreams_[u]) || now_ < upstreams_[u].ejected_until ? 0 : 1;
    const double keep = std::exp(-elapsed / kRateTime);
    if (warm > 0) present_rate_ = keep * present_rate_ + (1 - keep) * served_ / elapsed / warm;
    warm_rate_ = std::max(present_rate_, warm_rate_ * std::exp(-elapsed / kRateFall));
    recent_sends_ = keep * recent_sends_ + sends_;
    sends_time_ = keep * sends_time_ + elapsed;
    own_rate_ = recent_sends_ / sends_time_;
    served_ = sends_ = 0;
    for (double& rate : tenant_rate_) rate *= keep;
    for (double& bad : zone_bad_) bad *= keep;
    for (const int u : ready_) DrawColdSends(upstreams_[u]);
    reset_interval_ = ResetInterval();
    const double sends_time = own_rate_ > 0 ? static_cast<double>(kFamiliarCalls) / own_rate_ : 0;
    familiar_ = std::min(settings_.connection_idle, static_cast<Micros>(std::min(sends_time, 1e9)));
    if (now_ - window_start_ >= kWindow) TurnWindow();
    RefreshMean();
    AdjustLimit(elapsed);
  }

  void TurnWindow() {
    window_start_ = now_;
    for (Upstream& up : upstreams_) {
      up.mean = up.window_reports > 0 ? up.window_sum / up.window_reports : up.mean;
      up.window_sum = 0;
      up.window_reports = 0;
    }
    for (size_t u = 0; u < upstreams_.size(); ++u) ForgetIfLongGone(static_cast<int>(u));
  }

  // The mean count of all upstreams: of the last windows, or of this one until there is one.
  void RefreshMean() {
    double sum = 0;
    int n = 0;
    for (const int u : ready_) {
      const Upstream& up = upstreams_[u];
      if (up.mean <= 0 && !up.counted) continue;
      sum += up.mean > 0 ? up.mean : up.count;
      ++n;
    }
    mean_count_ = n > 0 ? sum / n : 0;
  }

  const Settings settings_;
  Random random_;
  Micros now_;
  Actions* out_;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now, Actions* out)
    : impl_(std::make_unique<Impl>(settings, seed, now, out)) {}
Balancer::~Balancer() = default;
int Balancer::Avoided(Micros now) const { return impl_->Avoided(now); }
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries, Actions* out) {
  impl_->At(now, out).List(kind, entries);
}

void Balancer::OnRequest(Micros now, const Request& r, Actions* out) { impl_->At(now, out).NewRequest(r); }

void Balancer::OnAttemptEnd(Micros now, const AttemptEnd& e, Actions* out) { impl_->At(now, out).Ended(e); }

void Balancer::OnStreamStart(Micros now, RequestId request, int /*attempt*/, Actions* out) {
  impl_->At(now, out).StreamStarted(request);
}

void Balancer::OnBody(Micros now, RequestId request, std::optional<Micros> time_left, Actions* out) {
  impl_->At(now, out).Body(request, time_left);
}

void Balancer::OnClientGone(Micros now, RequestId r, Actions* out) { impl_->At(now, out).ClientLeft(r); }

void Balancer::OnTimer(Micros now, std::uint64_t token, Actions* out) { impl_->At(now, out).Timer(token); }

void Balancer::OnZones(Micros now, const std::vector<double>& parts, Actions* out) {
  impl_->At(now, out).Zones(parts);
}

void Balancer::OnCheck(Micros now, UpstreamId upstream, Outcome outcome,
                       const std::optional<LoadReport>& report, Actions* out) {
  impl_->At(now, out).Checked(upstream, outcome, report);
}

}  // namespace umberdyke

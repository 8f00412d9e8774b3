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
constexpr double kChipLoadShare = 0.8;       // chips run out at this share of capacity, as in the paper
constexpr double kMaxChips = 4;              // older chips speak of a load long gone
constexpr Micros kChipLifetime = 2'000'000;  // queues come and go in a second or two
constexpr double kCapacityOverMean =
    2.5;                            // capacity over the mean count: one at the mean mints every second time
constexpr double kMinCapacity = 4;  // a few requests are no load, whatever the mean says
constexpr Micros kLoadWindow = 10'000'000;  // window of the mean; 30 s spans whole incidents
constexpr int kForgetAfterWindows = 3;      // after so many windows a server that has gone is forgotten
constexpr int kMaxDraws = 6;                // draws for one of the two, then the fallback
constexpr size_t kRecentlyServedSends =
    12;  // own sends within which a server must have served to be familiar
constexpr double kRandomPickShare =
    0.04;  // share of thin picks that go to any server, near or far, as a trial
constexpr double kProbeWaitShare = 0.01;          // a request waits for its checks for this share of the aim
constexpr size_t kMaxProbes = 6;                  // servers that one request asks, two at a time
constexpr double kMaxProbeCost = 0.02;            // no more asking than costs this much of the result
constexpr double kTrialIntervalRounds = 6;        // reset interval, in turns of own sends over all upstreams
constexpr Micros kMinTrialInterval = 100'000;     // a trial at most this often
constexpr Micros kMaxTrialInterval = 10'000'000;  // and at least this often
constexpr double kMaxLocalLoad = 1.2;  // a near server is preferred up to this multiple of the mean count
constexpr double kLoadGain = 0.4;      // weight of a new report: reports are noisy, and late
// --- Health ---
constexpr double kLatencyGain = 0.1;              // weight of one answer in the mean latency
constexpr Micros kMaxAvoidDuration = 30'000'000;  // for a class; doubling from the reset interval
constexpr double kStallFactor = 4;                // silent for this many mean latencies: stalled
constexpr Micros kMinStallTime = 150'000;         // no silence shorter than this is held against an upstream
constexpr Micros kMinEjectionDuration = 1'000'000;
constexpr Micros kMaxEjectionDuration = 8'000'000;
constexpr double kMaxEjectedShare = 0.5;  // eject at most this share: beyond it the trouble is a shared one
constexpr double kZonePenalty = 2.5;      // a zone is drawn less by this, for each share of calls gone wrong
constexpr int kMaxZone = 255;             // zones numbered higher share a record
constexpr double kNoZoneData = std::numeric_limits<double>::infinity();  // one without servers: no measure
constexpr double kMinZoneFactor =
    0.03;  // but never less than this: what is not tried is never found well again
// --- Further attempts ---
constexpr double kRetryTokensPerRequest = 0.15;  // attempts that may repeat work, for each request
constexpr double kMaxRetryTokens = 10;           // how many may come at once
constexpr double kMinTimeLeftFactor = 0.5;  // no attempt with less left than this share of the mean latency
// --- Requests at fault ---
constexpr double kGroupGain = 0.25;    // weight of one outcome: with few calls two in a row have to tell
constexpr double kSuspectShare = 0.3;  // share of failures from which on a kin may be at fault
constexpr int kFewResponses = 3;       // a kin with no more answers than this is no measure for another
constexpr double kFailingShare = 0.7;  // share of late ones from which on more of them are in vain
constexpr Micros kMaxBlockDuration = 16'000'000;
// --- Admission ---
constexpr double kTargetAimShare = 0.45;  // mean answer time that the limit allows, as a share of the aim
constexpr double kTargetOverBaseline =
    1.6;  // or this multiple of the quiet answer time, where that is longer
constexpr double kMaxTargetOverBaseline = 2.5;  // nor a larger multiple: servers choke by what they hold
constexpr double kMaxTargetAimShare = 0.6;      // but never more of the aim: a crowded start passes for quiet
constexpr double kThroughputMemory = 1e6;       // memory of the rate of answers
constexpr double kSlowLatencyGain = 0.02;       // the quiet answer time is the least of a mean this steady
constexpr double kBaselineRise = 1.002;  // a step up of the quiet answer time: it forgets in half a minute
constexpr double kStartLimitPerUpstream =
    6;                                     // in hand before any answer, for each upstream, over all balancers
constexpr double kStartLimitGrowth = 0.1;  // room that each of the first answers makes beyond its own
constexpr double kStartupSuccesses = 50;   // answers that make the start: the first are the quick ones
constexpr double kSlackSuccesses = 12;     // answers after which the time taken tells a crowd from chance
constexpr double kChanceDeviations = 2;   // chance crowds of a few in hand: so many roots of the limit, and 1
constexpr double kRequestTimeGain = 0.1;  // weight of one request in the recent time that requests take
constexpr double kMaxRequestTimeGain = 0.5;  // where few are let in each stands for many, up to this weight
constexpr double kRejectGain = 6;            // share refused for each multiple of the allowed time beyond it
constexpr double kSmallLimit = 6;            // with a limit of so many the limit does half of that by itself
constexpr double kMaxRejectShare = 0.95;  // always let some work through: without answers nothing is learnt
constexpr double kRetryAfterAimShare =
    0.2;  // the refused are asked back after this share of the aim, or half off it
constexpr double kBaselineMargin = 1.2;  // no class is refused below this multiple of the quiet answer time
constexpr double kWorthSpread = 0.3;     // the worthless are refused at this share below the limit
// --- Housekeeping ---
constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr Micros kHousekeepingInterval = 100'000;  // pace of windows, limits and stalled checks
constexpr std::uint64_t kHousekeepingToken = std::uint64_t{1} << 60;
constexpr std::uint64_t kListRetryToken = kHousekeepingToken + 1;
constexpr std::uint64_t kQueueToken = kHousekeepingToken + 2;
constexpr std::uint64_t kProbeToken = kHousekeepingToken + 3;
constexpr Micros kQueueInterval = 20'000;  // how often held requests look for a server
constexpr double kMaxQueueTimeShare =
    0.45;  // and for how much of their time: from half on an unsent one costs more
constexpr Micros kMinListRetryDelay = 500'000;
constexpr Micros kMaxListRetryDelay = 1'500'000;  // what discovery tells when it is back counts 6 s later
constexpr double kRateMemory = 8e6;               // memory of the rate that warm upstreams take
constexpr double kPeakRateMemory =
    60e6;  // and how long it lasts when they take less: a jam is no measure of them
constexpr double kColdRateShare = 0.5;  // a cold one is sent this part of its least share of that rate
constexpr double kMaxFallMultipleShare =
    0.75;  // and more where warm ones are lost, up to this part of the rule's figure

}  // namespace

class Balancer::Impl : BalancerState {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now, Actions* out)
      : settings_(settings), random_(seed), now_(now), out_(out) {
    tenant_recent_requests_.resize(settings.tenants.size());
    retry_tokens_ = kMaxRetryTokens;
    trial_interval_ = static_cast<double>(kMinTrialInterval);
    list_retry_delay_ = kMinListRetryDelay;
    request_groups_.resize(settings.classes.size() + settings.tenants.size());
    Validate(settings);
    for (const RequestClass& c : settings_.classes) max_points_ = std::max(max_points_, c.points);
    last_housekeeping_ = window_start_ = now;
    // Instances that start together must not work in step.
    SetTimerIn(1 + random_.Below(kHousekeepingInterval), kHousekeepingToken);
    if (settings_.must_ask) out_->push_back(Subscribe{});
  }

  Impl& BeginEvent(Micros now, Actions* out) {
    now_ = now;
    out_ = out;
    return *this;
  }

  // --- The list ---

  void OnList(ListUpdate kind, const std::vector<UpstreamEntry>& entries) {
    if (kind == ListUpdate::kFailed) {
      ScheduleListRetry();
      return;
    }
    if (kind != ListUpdate::kCached) list_retry_delay_ = kMinListRetryDelay;
    const bool complete = kind != ListUpdate::kChanges;
    std::vector<char> listed(upstreams_.size(), 0);
    for (const UpstreamEntry& entry : entries) {
      const int u = MergeEntry(entry);
      if (static_cast<size_t>(u) < listed.size()) listed[u] = 1;
    }
    for (size_t u = 0; complete && u < listed.size(); ++u) {
      if (!listed[u]) MarkGone(upstreams_[u]);
    }
    for (const UpstreamEntry& entry : entries) CloseIdleIfDraining(Find(entry.id));
    RebuildReadyLists();
    DispatchQueued();
  }

  void RebuildReadyLists() {
    ready_.clear();
    local_ready_.clear();
    max_weight_ = 0;
    for (size_t u = 0; u < upstreams_.size(); ++u) {
      const UpstreamEntry& entry = upstreams_[u].entry;
      if (entry.state != UpstreamState::kReady || ZoneShare(upstreams_[u]) <= 0) continue;
      ready_.push_back(static_cast<int>(u));
      max_weight_ = std::max(max_weight_, entry.weight);
      if (entry.zone == settings_.zone) local_ready_.push_back(static_cast<int>(u));
    }
  }

  void OnZones(const std::vector<double>& shares) {
    zone_share_ = shares;
    RebuildReadyLists();
    DispatchQueued();
  }

  // --- Requests ---

  void OnRequest(const Request& request) {
    Require(request.request_class >= 0 && request.request_class < static_cast<int>(settings_.classes.size()),
            "request class");
    retry_tokens_ = std::min(retry_tokens_ + kRetryTokensPerRequest, kMaxRetryTokens);
    ActiveRequest& active = active_requests_[request.id];
    active.request = request;
    active.arrived_at = now_;
    active.deadline = now_ + request.time_left;
    if (static_cast<size_t>(request.tenant) < tenant_recent_requests_.size())
      tenant_recent_requests_[request.tenant] += 1;
    if (request.time_left <= TimerMargin() || !HasTimeForAttempt(active) || !Admit(active) ||
        BlockedByGroup(active)) {
      RefuseOrFail(request.id, active);
      return;
    }
    ++in_flight_;
    SetTimerIn(std::max<Micros>(1, RequestTimerDelay(active)), request.id);
    Dispatch(request.id, active);
  }

  void OnAttemptEnd(const AttemptEnd& end) {
    const int u = Find(end.upstream);
    auto it = active_requests_.find(end.request);
    ActiveRequest* active = it == active_requests_.end() ? nullptr : &it->second;
    Attempt* attempt = active == nullptr ? nullptr : FindOpenAttempt(*active, end.attempt);
    if (attempt != nullptr) {
      attempt->open = false;
      attempt->may_have_run = !ProvesNeverRan(end.outcome);
      --active->open_attempts;
    }
    CloseIdleIfDraining(u);  // the connection that this attempt leaves, however late after the notice
    RecordOutcome(u, end, attempt, active);
    if (active == nullptr) return;
    if (end.settled) {
      EndAndRemove(it, end.outcome == Outcome::kOk);
    } else if (active->open_attempts == 0 && !active->response_streaming) {
      Retry(end.request, *active, end.outcome);
    }
  }

  void OnStreamStart(RequestId id) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end() || it->second.attempts.empty()) return;
    it->second.response_streaming = true;
    it->second.response_started_at = now_;
    ExcludeFromLimit(it->second);
    Upstream& up = upstreams_[it->second.attempts.back().upstream];
    up.last_response_or_trial = up.last_response = now_;
  }

  void OnBody(RequestId id, std::optional<Micros> time_left) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    it->second.OnBodyProgress(now_, time_left);
    ExcludeFromLimit(it->second);
    if (time_left) SetTimerIn(std::max<Micros>(1, RequestTimerDelay(it->second)), id);
  }

  void OnClientGone(RequestId id) {
    if (const auto it = active_requests_.find(id); it != active_requests_.end()) EndAndRemove(it, false);
  }

  void OnTimer(std::uint64_t token) {
    if (token == kHousekeepingToken) {
      RunHousekeeping();
    } else if (token == kListRetryToken) {
      out_->push_back(Subscribe{});
    } else if (token == kProbeToken) {
      for (const RequestId id : std::vector<RequestId>(probing_requests_)) {
        if (ActiveRequest& active = active_requests_.at(id); now_ >= active.probing.wait_until)
          FinishProbing(id, active);
      }
    } else if (token == kQueueToken) {
      queue_timer_set_ = false;
      DispatchQueued();
    } else if (const auto it = active_requests_.find(token); it != active_requests_.end()) {
      OnRequestTimer(it->first, it->second);
    }
  }

  void OnCheck(UpstreamId id, Outcome outcome, const std::optional<LoadReport>& report) {
    const int u = Find(id);
    if (u == kNoUpstream) return;
    const bool has_report = outcome == Outcome::kOk && report.has_value();
    if (has_report) RecordReport(upstreams_[u], *report);
    if (has_report && now_ >= upstreams_[u].ejected_until) MintChip(upstreams_[u]);
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) Eject(upstreams_[u]);
    for (const RequestId request_id : std::vector<RequestId>(probing_requests_))
      OnProbeResult(u, has_report, request_id);
  }

  int Avoided(Micros now) const {
    const auto avoided = [now](const Upstream& up) { return up.IsAvoided(now); };
    return static_cast<int>(std::count_if(upstreams_.begin(), upstreams_.end(), avoided));
  }

 private:
  const RequestClass& ClassOf(const ActiveRequest& active) const {
    return settings_.classes[active.request.request_class];
  }
  Micros TimerMargin() const { return 2 * settings_.tick; }  // timers fire up to a tick late
  void SetTimerIn(Micros delay, std::uint64_t token) { out_->push_back(SetTimer{delay, token}); }
  int Find(UpstreamId id) const {
    const auto it = index_by_id_.find(id);
    return it == index_by_id_.end() ? kNoUpstream : it->second;
  }

  // --- The list ---

  // Takes one line of a list. A new start of a known id is a new server: nothing learnt of the old one holds.
  int MergeEntry(const UpstreamEntry& entry) {
    auto [it, is_new] = index_by_id_.try_emplace(entry.id, static_cast<int>(upstreams_.size()));
    if (is_new && !free_slots_.empty()) {
      it->second = free_slots_.back();
      free_slots_.pop_back();
    } else if (is_new) {
      upstreams_.emplace_back();
    }
    Upstream& up = upstreams_[it->second];
    const bool restarted = !is_new && entry.ready_at > up.entry.ready_at;
    if (is_new || restarted) {
      const Upstream previous = std::exchange(up, Upstream());
      up.classes.resize(settings_.classes.size());
      up.in_flight = previous.in_flight;
      up.in_chip_holders = previous.in_chip_holders;
      // Instances must not all draw their first at once.
      up.cold_interval_end = now_ + static_cast<Micros>(random_.Unit() * static_cast<double>(ColdInterval()));
      up.last_response_or_trial =
          is_new && entry.ready_at == 0 ? 0 : now_;  // nothing known: everyone may be tried
      up.last_response = now_;
    }
    if (!is_new && entry.state == UpstreamState::kGone) {
      MarkGone(up);
    } else {
      const Micros ready_at = std::max(entry.ready_at, up.entry.ready_at);  // an old list unlearns no start
      up.entry = entry;
      up.entry.ready_at = ready_at;
      up.unlisted = false;
    }
    const size_t zone = ZoneOf(up);
    if (zone >= zone_failure_share_.size()) zone_failure_share_.resize(zone + 1, kNoZoneData);
    if (zone_failure_share_[zone] == kNoZoneData) zone_failure_share_[zone] = 0;
    return it->second;
  }

  // Guards the memory against servers that are replaced all day: one that is long gone, with no call out, is
  // forgotten, and its place is free for another.
  void ForgetIfLongGone(int u) {
    Upstream& up = upstreams_[u];
    if (up.free_slot) return;
    up.windows_since_gone = up.entry.state == UpstreamState::kGone ? up.windows_since_gone + 1 : 0;
    if (up.windows_since_gone <= kForgetAfterWindows || up.in_flight > 0) return;
    index_by_id_.erase(up.entry.id);
    std::erase(last_successful_upstreams_, u);
    std::erase(chip_holders_, u);
    up = Upstream();
    up.entry.state = UpstreamState::kGone;
    up.free_slot = true;
    free_slots_.push_back(u);
  }

  // Where only draining binds, the list is one witness among others: what was in good standing is sent to
  // until a call or check there fails. Guards against lists that are emptied, cut short or old.
  void MarkGone(Upstream& up) {
    const bool drained = up.entry.state != UpstreamState::kReady;
    up.unlisted = settings_.only_draining_binds && !drained && up.ejection_duration == 0;
    if (!up.unlisted) up.entry.state = UpstreamState::kGone;
  }

  // Where the settings ask for it; at the notice and after each outcome there. Nothing is sent in between.
  void CloseIdleIfDraining(int u) {
    if (settings_.close_idle_within <= 0 || u == kNoUpstream) return;
    const UpstreamEntry& entry = upstreams_[u].entry;
    if (entry.state != UpstreamState::kReady) out_->push_back(CloseIdle{entry.id});
  }

  // Later each time and never in step with the other instances.
  void ScheduleListRetry() {
    SetTimerIn(static_cast<Micros>(static_cast<double>(list_retry_delay_) * (0.5 + random_.Unit())),
               kListRetryToken);
    list_retry_delay_ = std::min({2 * list_retry_delay_, settings_.ask_every / 3, kMaxListRetryDelay});
  }

  // --- The ordinary path: chips, capacity, two draws ---

  // The time of as many own sends as there are servers.
  double SendRoundTime() const {
    return send_rate_ > 0 ? static_cast<double>(ready_.size()) / send_rate_ : 0;
  }

  // 0 where every server is heard while its last chip lives, 1 where it takes twice that long.
  double TrafficSparseness() const { return SendRoundTime() / static_cast<double>(kChipLifetime) - 1; }

  double TrialInterval() const {
    return std::clamp(kTrialIntervalRounds * SendRoundTime(), static_cast<double>(kMinTrialInterval),
                      static_cast<double>(kMaxTrialInterval));
  }

  // The mean reported count over a window, held between the mean of all and half as much again: a long queue
  // of its own must not pass for capacity, nor a short one wipe the chips.
  double CapacityEstimate(const Upstream& up) const {
    if (mean_load_ <= 0) return 0;
    const double own = up.mean_load > 0 ? up.mean_load : mean_load_;
    const double mean = std::clamp(own, mean_load_, 1.5 * mean_load_);
    return std::max(kMinCapacity, kCapacityOverMean * mean);
  }

  void RecordReport(Upstream& up, const LoadReport& report) {
    const std::optional<double> reported = report.in_flight ? report.in_flight : report.queue;
    const double count = reported.value_or(up.in_flight);  // nothing reported: own calls in flight stand in
    up.raw_load = count;
    up.load = up.has_load ? up.load + kLoadGain * (count - up.load) : count;
    up.has_load = true;
    up.last_report = now_;
    up.window_load_sum += count;
    ++up.window_reports;
  }

  void MintChip(Upstream& up) {
    const double capacity = CapacityEstimate(up);
    if (capacity > 0 && up.load + 1 > capacity) {
      up.chips = 0;
    } else if (capacity <= 0 || random_.Unit() >= up.load / (kChipLoadShare * capacity)) {
      up.chips = std::min(up.chips + 1, kMaxChips);
      AddChipHolder(up);
    }
  }

  void AddChipHolder(Upstream& up) {
    if (!std::exchange(up.in_chip_holders, true)) chip_holders_.push_back(Find(up.entry.id));
  }

  // A chip speaks of the load at its report; one that waited for long says nothing of the load now.
  bool HasLiveChip(const Upstream& up) const {
    return IsCold(up) ? up.cold_sends_left > 0 : up.chips >= 1 && now_ - up.last_report < kChipLifetime;
  }

  void RemoveChipHolder(size_t at) {
    upstreams_[chip_holders_[at]].in_chip_holders = false;
    chip_holders_[at] = chip_holders_.back();
    chip_holders_.pop_back();
  }

  // A random chip-holder, familiar if one of the first few drawn is, and near too where that is asked for.
  int DrawChipHolder(const ActiveRequest& active, bool prefer_local) {
    int best = kNoUpstream;
    int best_score = -1;
    for (int i = 0; i < kMaxDraws && !chip_holders_.empty() && best_score < 2; ++i) {
      const size_t at = static_cast<size_t>(random_.Below(static_cast<int>(chip_holders_.size())));
      const int u = chip_holders_[at];
      if (SkipByWeight(upstreams_[u])) continue;
      if (!HasLiveChip(upstreams_[u])) {
        RemoveChipHolder(at);
      } else if (Allowed(u, active)) {
        const bool zone_matches = !prefer_local || upstreams_[u].entry.zone == settings_.zone;
        const int score =
            (zone_matches ? 1 : 0) + (RecentlyServed(upstreams_[u], active.request.request_class) ? 1 : 0);
        if (score > best_score) best = u;
        best_score = std::max(score, best_score);
      }
    }
    return best;
  }

  // Asking first. Where calls are thin and checks cheap, a request asks two servers drawn at random, a
  // familiar one and any, and goes to the lighter; while neither is lighter than the mean, it asks two more.
  // Guards against chips that say nothing any more: servers may turn over faster than those live.
  bool ProbesFirst(const ActiveRequest& active) const {
    return settings_.may_check && TrafficSparseness() > 0 && active.open_attempts == 0 &&
           settings_.check_price * kMaxProbes <= kMaxProbeCost;
  }

  void ProbeTwo(RequestId id, ActiveRequest& active) {
    const size_t enough = active.probing.probed.size() + 2;
    for (int i = 0; i < 4 * kMaxDraws && active.probing.probed.size() < enough; ++i) {
      const std::vector<int>& candidates = i % 2 > 0 || local_ready_.empty() ? ready_ : local_ready_;
      const std::vector<int>& pool =
          i > 1 || last_successful_upstreams_.empty() ? candidates : last_successful_upstreams_;
      const int u = pool[random_.Below(static_cast<int>(pool.size()))];
      if (SkipByWeight(upstreams_[u]) || !Allowed(u, active) || Contains(active.probing.probed, u)) continue;
      active.probing.probed.push_back(u);
      ++active.probing.pending;
      out_->push_back(Check{upstreams_[u].entry.id});
    }
    if (active.probing.pending == 0 || active.probing.wait_until > 0) return;
    const Micros wait = std::max(settings_.tick, static_cast<Micros>(kProbeWaitShare * ClassOf(active).aim));
    active.probing.wait_until = now_ + wait;
    probing_requests_.push_back(id);
    SetTimerIn(wait, kProbeToken);
  }

  void OnProbeResult(int u, bool has_report, RequestId id) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end() || !Contains(it->second.probing.probed, u)) return;
    ActiveRequest& active = it->second;
    --active.probing.pending;
    const auto load = [&](int v) {
      return std::max(upstreams_[v].raw_load, double(upstreams_[v].in_flight));
    };
    const auto less_loaded = [&](int v, int w) {
      return load(v) < load(w) || (load(v) == load(w) && LessLoaded(v, w, active.request.request_class));
    };
    if (has_report && (active.probing.best == kNoUpstream || less_loaded(u, active.probing.best)))
      active.probing.best = u;
    if (active.probing.pending > 0) return;
    const bool lightly_loaded =
        active.probing.best != kNoUpstream && load(active.probing.best) < std::max(1.0, mean_load_);
    if (!lightly_loaded && active.probing.probed.size() < kMaxProbes) ProbeTwo(id, active);
    if (active.probing.pending == 0) FinishProbing(id, active);
  }

  void FinishProbing(RequestId id, ActiveRequest& active) {
    std::erase(probing_requests_, id);
    const int best = active.probing.best;
    active.probing = {};
    if (best != kNoUpstream && Allowed(best, active)) {
      SendTo(best, id, active);
    } else {
      PickAndSend(id, active);
    }
  }

  // What every send must keep, the fallback's included: the list's word, ejection, the group of a keyed
  // request that may have run, and what a cold server can take. A further attempt goes elsewhere.
  bool Allowed(int u, const ActiveRequest& active, bool with_ejected = false) const {
    const Upstream& up = upstreams_[u];
    if (!with_ejected && !active.attempts.empty() && active.attempts.back().upstream == u) return false;
    return Allowed(up, active.request.request_class, with_ejected) && InKeyedGroup(up, active) &&
           (!IsCold(up) || up.cold_sends_left > 0);
  }

  bool Allowed(const Upstream& up, int request_class, bool with_ejected) const {
    if (up.entry.state != UpstreamState::kReady || ZoneShare(up) <= 0) return false;
    return with_ejected || (now_ >= up.ejected_until && now_ >= up.classes[request_class].avoided_until);
  }

  static size_t ZoneOf(const Upstream& up) {
    return static_cast<size_t>(std::clamp(up.entry.zone, 0, kMaxZone));
  }

  double ZoneShare(const Upstream& up) const {
    return ZoneOf(up) < zone_share_.size() ? zone_share_[ZoneOf(up)] : 1;
  }

  // Drawn in proportion to its weight and its zone's part, and the less often the more calls to its zone go
  // wrong than to the best one. Guards against a bad way to a zone and a zone whose servers are struck
  // together: each caller finding each server out takes longer than the trouble. Trials go on, and what was
  // seen fades.
  bool SkipByWeight(const Upstream& up) {
    const double lowest_failure_share =
        *std::min_element(zone_failure_share_.begin(), zone_failure_share_.end());
    const double zone_factor = 1 - kZonePenalty * (zone_failure_share_[ZoneOf(up)] - lowest_failure_share);
    return random_.Unit() * max_weight_ >
           up.entry.weight * std::max(zone_factor, kMinZoneFactor) * ZoneShare(up);
  }

  int Draw(const ActiveRequest& active, const std::vector<int>& pool) {
    for (int i = 0; i < kMaxDraws; ++i) {
      const int u = pool[random_.Below(static_cast<int>(pool.size()))];
      if (SkipByWeight(upstreams_[u])) continue;
      if ((HasLiveChip(upstreams_[u]) ||
           static_cast<double>(now_ - upstreams_[u].last_response_or_trial) > trial_interval_) &&
          Allowed(u, active))
        return u;
    }
    return kNoUpstream;
  }

  // Near, and not more crowded than most: crossing zones costs time and money, but less than a queue does.
  bool LocalAndNotOverloaded(const Upstream& up) const {
    return up.entry.zone == settings_.zone && up.load <= kMaxLocalLoad * mean_load_;
  }

  // Served a call of the class within the last own sends. Guards callers with few calls for many servers
  // against a handshake for nearly every call and against finding each sick server out anew.
  bool RecentlyServed(const Upstream& up, int request_class) const {
    return now_ - up.classes[request_class].last_success < recently_served_time_ &&
           up.classes[request_class].last_success > 0;
  }

  // Fewer own calls in flight; a tie goes to the nearer one, then to a familiar one.
  bool LessLoaded(int a, int b, int c) const {
    const Upstream& x = upstreams_[a];
    const Upstream& y = upstreams_[b];
    if (x.in_flight != y.in_flight) return x.in_flight < y.in_flight;
    if (LocalAndNotOverloaded(x) != LocalAndNotOverloaded(y)) return LocalAndNotOverloaded(x);
    return RecentlyServed(x, c) && !RecentlyServed(y, c);
  }

  // Between two draws a tie goes to the lighter reported count; in the fallback all callers would herd on
  // one.
  bool Preferred(int a, int b, int c) const {
    return LessLoaded(a, b, c) || (!LessLoaded(b, a, c) && upstreams_[a].load < upstreams_[b].load);
  }

  int Pick(const ActiveRequest& active) {
    if (ready_.empty()) return kNoUpstream;
    // Among all, or among the holders where calls are thin; the second is near, so that one need not cross.
    const bool sparse = TrafficSparseness() > 0;
    if (sparse && random_.Unit() < kRandomPickShare) {
      if (const int u = Draw(active, ready_); u != kNoUpstream) return u;
    }
    const int a = sparse ? DrawChipHolder(active, false) : Draw(active, ready_);
    const int b =
        sparse ? DrawChipHolder(active, true) : Draw(active, local_ready_.empty() ? ready_ : local_ready_);
    if (a == kNoUpstream && b == kNoUpstream) return PickFallback(active);
    if (a == kNoUpstream || b == kNoUpstream) return a == kNoUpstream ? b : a;
    return Preferred(b, a, active.request.request_class) ? b : a;
  }

  // Fewest own calls among all that may be sent to; ejected ones only when nobody else is left.
  int PickFallback(const ActiveRequest& active) {
    const int n = static_cast<int>(ready_.size());
    for (const bool with_ejected : {false, true}) {
      const int start = random_.Below(n);
      int best = kNoUpstream;
      for (int i = 0; i < n; ++i) {
        const int u = ready_[(start + i) % n];
        if (!Allowed(u, active, with_ejected)) continue;
        if (best == kNoUpstream || LessLoaded(u, best, active.request.request_class)) best = u;
      }
      if (best != kNoUpstream) return best;
    }
    return kNoUpstream;
  }

  // --- Cold upstreams ---

  bool IsCold(const Upstream& up) const {
    return up.entry.ready_at > 0 && now_ - up.entry.ready_at < settings_.cold_time;
  }

  // The share of its work that a cold upstream can surely do by now.
  double WarmShare(const Upstream& up) const {
    const double age = static_cast<double>(std::max<Micros>(0, now_ - up.entry.ready_at));
    const double warmed = settings_.cold_time > 0 ? age / static_cast<double>(settings_.cold_time) : 1;
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::min(1.0, warmed);
  }

  Micros ColdInterval() const { return std::max<Micros>(settings_.fall_time, kHousekeepingInterval); }

  // What own sends ask of one warm upstream, were each sent to by what it can do. Those that fail count too:
  // a trouble of theirs must not push the cold over.
  double SendRatePerWarmUpstream() const {
    double shares = 0;
    for (const int u : ready_) {
      shares += IsCold(upstreams_[u]) ? WarmShare(upstreams_[u]) : 1;
    }
    return send_rate_ / std::max(1.0, shares);
  }

  // Sends that a cold upstream may get from here in the next span, drawn anew for each: what lapses unused is
  // gone, else hundreds of instances would save up and spend in the same second. On the mean it is the own
  // rate to a warm one before any jam, cut to the share that is surely warm, and to half of that while the
  // warm ones can do the work: a cold one is slow, and what is late there passes for a crowd. Where they are
  // asked for more than that rate, the cold take twice their part of the rest: servers warm faster than they
  // must. Where nothing is known of peers, all instances together send one for each span.
  void RefillColdSends(Upstream& up) {
    if (!IsCold(up) || now_ < up.cold_interval_end) return;
    const double interval = static_cast<double>(ColdInterval());
    const double rate = std::max(peak_warm_rate_, 1 / (interval * settings_.balancers));
    const double max_multiple = kMaxFallMultipleShare * settings_.fall_multiple;
    const double demand = peak_warm_rate_ > 0 ? SendRatePerWarmUpstream() / peak_warm_rate_ : 1;
    const double share =
        WarmShare(up) * std::clamp(2 * demand - 1, std::min(kColdRateShare, max_multiple), max_multiple);
    up.cold_sends_left = static_cast<int>(rate * interval * share + random_.Unit());
    up.cold_interval_end = now_ + ColdInterval();
    if (up.cold_sends_left > 0) AddChipHolder(up);
  }

  // --- What may be done with a request ---

  // THE predicate of "no effect twice": may this request be sent once more (to its group)?
  bool MaySend(const ActiveRequest& active) const {
    if (static_cast<int>(active.attempts.size()) >= settings_.max_attempts || active.response_streaming)
      return false;
    if (active.cannot_resend || (active.open_attempts > 0 && !settings_.parallel_attempts)) return false;
    return now_ + settings_.tick < RepeatUntil(active);
  }

  // What leaves later is a second effect: a keyed class's window opens with the first that may have run.
  Micros RepeatUntil(const ActiveRequest& active) const {
    const RequestClass& c = ClassOf(active);
    const Attempt* first = FirstAttemptThatMayHaveRun(active);
    if (c.repeat == Repeat::kSafe || first == nullptr) return kNever;
    return c.repeat == Repeat::kUnsafe ? 0 : first->sent_at + c.window - c.window / 20;
  }

  // And its sister: may it be refused, which promises that a retry is harmless?
  bool MayRefuse(const ActiveRequest& active) const {
    const RequestClass& c = ClassOf(active);
    return RepeatUntil(active) == kNever || (c.repeat == Repeat::kKeyed && c.group == Group::kAll);
  }

  bool InKeyedGroup(const Upstream& up, const ActiveRequest& active) const {
    const RequestClass& c = ClassOf(active);
    if (c.repeat != Repeat::kKeyed || c.group == Group::kAll) return true;
    for (const Attempt& a : active.attempts) {
      if (!a.may_have_run) continue;
      if (c.group == Group::kZone ? a.zone != up.entry.zone : a.cell != up.entry.cell) return false;
    }
    return true;
  }

  Micros UsefulUntil(const ActiveRequest& active) const {
    return umberdyke::UsefulUntil(ClassOf(active), active);
  }

  bool HasTimeForAttempt(const ActiveRequest& active) const {
    return static_cast<double>(UsefulUntil(active) - now_) >
           std::max<double>(TimerMargin(), kMinTimeLeftFactor * mean_latency_);
  }

  // --- The life of a request ---

  Micros StallTime() const {
    return std::max(kMinStallTime, static_cast<Micros>(kStallFactor * mean_latency_));
  }

  Micros RequestTimerDelay(const ActiveRequest& active) const {
    return std::min(active.deadline - TimerMargin() - now_, StallTime());
  }

  void Dispatch(RequestId id, ActiveRequest& active) {
    if (active.probing.wait_until > 0) return;
    if (ProbesFirst(active) && HasTimeForAttempt(active)) ProbeTwo(id, active);
    if (active.probing.wait_until == 0) PickAndSend(id, active);
  }

  void PickAndSend(RequestId id, ActiveRequest& active) {
    const int u = HasTimeForAttempt(active) || active.attempts.empty() ? Pick(active) : kNoUpstream;
    if (u != kNoUpstream) {
      SendTo(u, id, active);
    } else if (active.open_attempts == 0) {
      Enqueue(id, active);
    }
  }

  void SendTo(int u, RequestId id, ActiveRequest& active) {
    Upstream& up = upstreams_[u];
    if (up.chips >= 1) {
      up.chips -= 1;
    } else {
      up.last_response_or_trial = now_;  // a pick without a chip restarts RcvTime
    }
    if (up.ejection_duration > 0) up.ejected_until = now_ + up.ejection_duration;  // one trial at a time
    if (IsCold(up)) up.cold_sends_left -= 1;
    ++up.in_flight;
    ++new_sends_;
    const bool keyed = ClassOf(active).repeat == Repeat::kKeyed;
    Attempt attempt;
    attempt.upstream = u;
    attempt.sent_at = now_;
    attempt.upstream_ready_at = up.entry.ready_at;
    attempt.zone = up.entry.zone;
    attempt.cell = up.entry.cell;
    active.attempts.push_back(attempt);
    ++active.open_attempts;
    active.queued = false;
    const Micros useful = UsefulUntil(active);
    const bool cut_short = useful < active.deadline && useful > now_ && !ClassOf(active).stream;
    out_->push_back(
        Send{id, up.entry.id, cut_short ? useful - now_ : 0, keyed ? RepeatUntil(active) - now_ : 0});
  }

  // Nobody may be sent to just now: hold the request for a part of its time.
  void Enqueue(RequestId id, ActiveRequest& active) {
    const auto max_wait =
        static_cast<Micros>(kMaxQueueTimeShare * static_cast<double>(active.request.time_left));
    if (!MaySend(active) || now_ >= active.arrived_at + max_wait || !HasTimeForAttempt(active)) {
      GiveUp(id);
      return;
    }
    if (!std::exchange(active.queued, true)) queued_requests_.push_back(id);
    if (!std::exchange(queue_timer_set_, true)) SetTimerIn(kQueueInterval, kQueueToken);
  }

  void DispatchQueued() {
    for (size_t n = queued_requests_.size(); n > 0; --n) {
      const RequestId id = queued_requests_.front();
      queued_requests_.pop_front();
      const auto it = active_requests_.find(id);
      if (it == active_requests_.end() || !it->second.queued) continue;
      it->second.queued = false;
      Dispatch(id, it->second);
    }
  }

  void Retry(RequestId id, ActiveRequest& active, Outcome outcome) {
    if (outcome == Outcome::kUnfit) {  // no other server will take it, and coming back is no use
      EndRequest(id, active, false);
      out_->push_back(Fail{id});
      active_requests_.erase(id);
      return;
    }
    const bool never_ran = ProvesNeverRan(outcome);
    const bool out_of_time = now_ >= active.deadline - TimerMargin() || !HasTimeForAttempt(active);
    const bool group_failing = outcome == Outcome::kError && GroupAtFault(active, &RequestGroup::error_share);
    if (out_of_time || group_failing || !MaySend(active) || (!never_ran && retry_tokens_ < 1)) {
      GiveUp(id);
      return;
    }
    if (!never_ran) retry_tokens_ -= 1;
    Dispatch(id, active);
  }

  // The request's own timer: an attempt at a silent server is called off or doubled; the deadline is kept.
  void OnRequestTimer(RequestId id, ActiveRequest& active) {
    if (active.response_streaming || active.body_streaming) return;
    if (active.open_attempts == 0 && now_ >= active.deadline - TimerMargin()) {
      GiveUp(id);
      return;
    }
    if (active.open_attempts > 0 && now_ - active.attempts.back().sent_at >= StallTime())
      ExcludeFromLimit(active);
    if (active.open_attempts > 0 && IsStalled(active.attempts.back())) HandleStall(id, active);
    const auto it = active_requests_.find(id);
    if (it != active_requests_.end())
      SetTimerIn(std::max<Micros>(settings_.tick, RequestTimerDelay(it->second)), id);
  }

  // Calls stuck at sick servers, and long bodies under way, must not fill the limit of the others.
  void ExcludeFromLimit(ActiveRequest& active) {
    in_flight_ -= std::exchange(active.excluded_from_limit, true) ? 0 : 1;
  }

  // Silent for long since the attempt went out: two calls out at once, or twice the time, say more than one.
  bool IsStalled(const Attempt& a) const {
    const Upstream& up = upstreams_[a.upstream];
    const Micros silent_for = up.in_flight > 1 ? StallTime() : 2 * StallTime();
    return a.open && !a.cancel_requested && up.last_response <= a.sent_at && now_ - a.sent_at >= silent_for;
  }

  void HandleStall(RequestId id, ActiveRequest& active) {
    Attempt& attempt = active.attempts.back();
    if (GroupAtFault(active, &RequestGroup::late_share)) return;
    Eject(upstreams_[attempt.upstream]);
    Avoid(upstreams_[attempt.upstream], active.request.request_class);
    if (active.cannot_resend || ClassOf(active).repeat == Repeat::kUnsafe) return;
    if (retry_tokens_ < 1 || !HasTimeForAttempt(active)) return;
    if (static_cast<int>(active.attempts.size()) >= settings_.max_attempts) return;
    if (MaySend(active)) {  // a second copy
      retry_tokens_ -= 1;
      Dispatch(id, active);
    } else if (settings_.may_cancel && !settings_.parallel_attempts) {
      attempt.cancel_requested = true;  // its outcome sends the next one
      out_->push_back(Cancel{id, static_cast<int>(active.attempts.size()) - 1});
    }
  }

  // What ends with a request that was let in, and what it says of the time that requests take: one without an
  // answer can only raise the mean; one that was turned away or found no server counts as too late.
  void EndRequest(RequestId id, ActiveRequest& active, bool served) {
    for (size_t i = 0; settings_.may_cancel && i < active.attempts.size(); ++i) {
      const Attempt& a = active.attempts[i];
      if (a.open && !a.cancel_requested) out_->push_back(Cancel{id, static_cast<int>(i)});
    }
    in_flight_ -= active.excluded_from_limit ? 0 : 1;
    std::erase(probing_requests_, id);
    if (active.body_streaming) return;
    const Micros ended_at = active.response_started_at > 0 ? active.response_started_at : now_;
    const bool unsent = !served && active.open_attempts == 0 && !MayHaveRun(active);
    const double took = static_cast<double>((unsent ? UsefulUntil(active) : ended_at) - active.arrived_at);
    const bool half_elapsed = 2 * (ended_at - active.arrived_at) > UsefulUntil(active) - active.arrived_at;
    const bool late = !served && !unsent && half_elapsed;
    if (served || late) {
      for (RequestGroup* group : GroupsOf(active)) RecordGroupLateness(*group, ClassOf(active).aim, late);
    }
    if (late && GroupAtFault(active, &RequestGroup::late_share)) return;
    if (served || took > mean_request_time_)
      mean_request_time_ += std::min(kRequestTimeGain / active.admit_probability, kMaxRequestTimeGain) *
                            (took - mean_request_time_);
  }

  // Gives the final answer that the class permits, and forgets the request.
  void GiveUp(RequestId id) {
    const auto it = active_requests_.find(id);
    EndRequest(id, it->second, false);
    RefuseOrFail(id, it->second);
  }

  void RefuseOrFail(RequestId id, ActiveRequest& active) {
    out_->push_back(MayRefuse(active) ? Action(Refuse{id, RetryAfter(ClassOf(active).aim)}) : Fail{id});
    active_requests_.erase(id);
  }

  // Soon enough that the next try can be answered within the aim; spread, so that they do not come together.
  Micros RetryAfter(Micros aim) {
    const double after = static_cast<double>(aim) * kRetryAfterAimShare * (0.5 + random_.Unit());
    return std::min(settings_.max_retry_after, static_cast<Micros>(after));
  }

  void EndAndRemove(ActiveRequestMap::iterator it, bool served) {
    EndRequest(it->first, it->second, served);
    active_requests_.erase(it);
  }

  Attempt* FindOpenAttempt(ActiveRequest& active, int number) {
    const bool known = number >= 0 && number < static_cast<int>(active.attempts.size());
    return known && active.attempts[number].open ? &active.attempts[number] : nullptr;
  }

  // --- Requests at fault, not servers ---
  // Guards against requests of one class or tenant that fail or drag at every server: their outcomes are
  // compared with those of the others. Where they alone fail, no server is blamed and no retry spent; where
  // nearly all of them are late, only a trial now and then is let in, lest they fill the slots of the rest.
  // Also covers a jam whose cause is unknown: nobody's trials go well, so all back off until it has drained.

  std::vector<RequestGroup*> GroupsOf(const ActiveRequest& active) {
    const size_t tenant = static_cast<size_t>(active.request.tenant);
    std::vector<RequestGroup*> groups;
    if (settings_.classes.size() > 1)
      groups.push_back(&request_groups_[static_cast<size_t>(active.request.request_class)]);
    if (tenant < tenant_recent_requests_.size())
      groups.push_back(&request_groups_[settings_.classes.size() + tenant]);
    return groups;  // the only class is everybody
  }

  // Fails by much more than the best of the other classes, or of the other tenants.
  bool GroupAtFault(const ActiveRequest& active, double RequestGroup::*share) {
    for (const RequestGroup* group : GroupsOf(active)) {
      if (group->*share < kSuspectShare) continue;
      const size_t at = static_cast<size_t>(group - request_groups_.data());
      const size_t classes = settings_.classes.size();
      const size_t end = at < classes ? classes : request_groups_.size();
      for (size_t k = at < classes ? 0 : classes; k < end; ++k) {
        if (request_groups_[k].responses > kFewResponses && request_groups_[k].*share < group->*share / 2)
          return true;
      }
    }
    return false;
  }

  // A failure that the request's kin explains, at a server that did not fail the class before.
  bool ExplainedByGroup(const Upstream& up, const ActiveRequest& active, Outcome outcome) {
    return up.classes[active.request.request_class].avoid_duration == 0 &&
           GroupAtFault(active,
                        outcome == Outcome::kError ? &RequestGroup::error_share : &RequestGroup::late_share);
  }

  void RecordGroupError(const ActiveRequest& active, bool failed) {
    for (RequestGroup* group : GroupsOf(active)) {
      group->error_share += kGroupGain / 2 * ((failed ? 1 : 0) - group->error_share);
      ++group->responses;
    }
  }

  void RecordGroupLateness(RequestGroup& group, Micros aim, bool late) {
    group.late_share += kGroupGain * ((late ? 1 : 0) - group.late_share);
    if (group.late_share < kFailingShare) {
      group.block_duration = group.blocked_until = 0;
    } else if (!late) {
      group.blocked_until = now_;  // a trial that went well: the next one at once
    } else if (now_ >= group.blocked_until || group.block_duration == 0) {
      BlockFor(group,
               group.block_duration == 0 ? aim : std::min(2 * group.block_duration, kMaxBlockDuration));
    }
  }

  void BlockFor(RequestGroup& group, Micros time) {
    group.block_duration = time;
    group.blocked_until =
        now_ + static_cast<Micros>(static_cast<double>(time) * (0.75 + 0.5 * random_.Unit()));
  }

  bool BlockedByGroup(const ActiveRequest& active) {
    const std::vector<RequestGroup*> groups = GroupsOf(active);
    if (std::any_of(groups.begin(), groups.end(),
                    [&](RequestGroup* group) { return now_ < group->blocked_until; }))
      return true;
    for (RequestGroup* group : groups)
      BlockFor(*group, group->block_duration);  // this one is the trial, where they are shut
    return false;
  }

  // --- Learning from outcomes ---

  void RecordOutcome(int u, const AttemptEnd& end, const Attempt* attempt, const ActiveRequest* active) {
    if (u == kNoUpstream) return;
    Upstream& up = upstreams_[u];
    up.in_flight = std::max(0, up.in_flight - 1);
    const bool earlier_start = attempt && attempt->upstream_ready_at != up.entry.ready_at;
    if (earlier_start || up.entry.ready_at > now_ - end.elapsed) return;
    if (end.outcome == Outcome::kCancelled || end.outcome == Outcome::kNotSent) return;
    const bool responded = end.outcome == Outcome::kOk || end.outcome == Outcome::kError ||
                           end.outcome == Outcome::kRejected || end.outcome == Outcome::kUnfit;
    if (responded) up.last_response_or_trial = up.last_response = now_;
    if (end.report) RecordReport(up, *end.report);
    if (end.outcome == Outcome::kRejected) return void(up.chips = 0);
    if (end.outcome == Outcome::kUnfit) return MintChip(up);  // says nothing against the server, nor the kin
    if (end.outcome == Outcome::kSpoilt) return RecordMalformed(up, active);
    if (active && responded) RecordGroupError(*active, end.outcome == Outcome::kError);
    const bool group_at_fault = active && ExplainedByGroup(up, *active, end.outcome);
    double& failure_share = zone_failure_share_[ZoneOf(up)];
    if (!group_at_fault)
      failure_share += kLatencyGain * ((end.outcome == Outcome::kOk ? 0 : 1) - failure_share);
    const bool silent =
        end.outcome == Outcome::kTimeout && up.last_response <= now_ - end.elapsed && !group_at_fault;
    if (end.outcome == Outcome::kOk) {
      RecordSuccess(up, end, active);
    } else if (silent || end.outcome == Outcome::kConnectFailed || end.outcome == Outcome::kReset) {
      Eject(up);
    } else if (active && !group_at_fault) {
      Avoid(up, active->request.request_class);
    }
    if (responded) MintChip(up);
  }

  // Guards against leaving sound servers for answers that are spoilt here and there: one that sent something
  // is no silent one, and only when nothing else came of it twice in a row does the class keep off it.
  void RecordMalformed(Upstream& up, const ActiveRequest* active) {
    up.last_response = now_;
    if (++up.consecutive_malformed > 1 && active) Avoid(up, active->request.request_class);
  }

  void RecordSuccess(Upstream& up, const AttemptEnd& end, const ActiveRequest* active) {
    up.consecutive_malformed = 0;
    const double took = static_cast<double>(end.elapsed);
    // Of the first few the plain mean: the first answers are the quick ones, and silence is judged by it.
    mean_latency_ +=
        std::max(kLatencyGain / 4, 1 / (total_successes_ + new_successes_ + 1)) * (took - mean_latency_);
    up.ejection_duration = 0;
    up.ejected_until = 0;
    if (!IsCold(up)) ++new_warm_successes_;
    last_successful_upstreams_.push_back(Find(end.upstream));
    if (last_successful_upstreams_.size() > kRecentlyServedSends)
      last_successful_upstreams_.erase(last_successful_upstreams_.begin());
    slow_mean_latency_ +=
        std::max(kSlowLatencyGain, 1 / (total_successes_ + new_successes_ + 1)) * (took - slow_mean_latency_);
    ++new_successes_;
    if (active == nullptr) return;
    up.classes[active->request.request_class] = {0, 0, now_};
    const RequestClass& c = ClassOf(*active);
    const double late_time = static_cast<double>(std::max<Micros>(0, c.deadline - c.aim)) * c.late_share;
    const double aim = static_cast<double>(c.aim) + late_time;  // late answers that still earn give more time
    mean_aim_ = mean_aim_ > 0 ? mean_aim_ + kLatencyGain * (aim - mean_aim_) : aim;
  }

  // A class keeps off a server that failed it, for longer each time, until it is served there again. Guards
  // against servers that fail one class or all; with few calls for many servers one failure is all the
  // evidence there will be in time. Never more than half of them: then the trouble is a shared one.
  void Avoid(Upstream& up, int request_class) {
    Upstream::ClassRecord& record = up.classes[request_class];
    if (now_ < record.avoided_until) return;
    if (ExceedsEjectionLimit(
            [&](int u) { return now_ < upstreams_[u].classes[request_class].avoided_until; }))
      return;
    record.avoid_duration =
        std::clamp(2 * record.avoid_duration, static_cast<Micros>(trial_interval_), kMaxAvoidDuration);
    record.avoided_until = now_ + record.avoid_duration;
    record.last_success = 0;
  }

  // Guards against leaving the fleet for a trouble that all share, such as a bad tier below or a cut link.
  template <typename IsExcluded>
  bool ExceedsEjectionLimit(IsExcluded is_excluded) const {
    const auto excluded = std::count_if(ready_.begin(), ready_.end(), is_excluded);
    return static_cast<double>(excluded + 1) > kMaxEjectedShare * static_cast<double>(ready_.size());
  }

  void Eject(Upstream& up) {
    if (up.unlisted) {  // the list was right
      up.unlisted = false;
      up.entry.state = UpstreamState::kGone;
      RebuildReadyLists();
    }
    if (ExceedsEjectionLimit([&](int u) { return now_ < upstreams_[u].ejected_until; })) return;
    if (now_ < up.ejected_until && up.ejection_duration > 0 && up.chips == 0) return;
    const Micros doubled = std::clamp(2 * up.ejection_duration, kMinEjectionDuration, kMaxEjectionDuration);
    up.ejection_duration =
        std::max(doubled, static_cast<Micros>(trial_interval_));  // no shorter than trials are apart
    up.ejected_until = now_ + up.ejection_duration;
    up.chips = 0;
  }

  // --- Admission ---

  // Worth of a request for its work, against the dearest class: 1 at the most.
  double RelativeWorth(const ActiveRequest& active) const {
    double worth = max_points_ > 0 ? ClassOf(active).points / max_points_ : 1;
    const size_t tenant = static_cast<size_t>(active.request.tenant);
    if (tenant < tenant_recent_requests_.size() && settings_.tenants[tenant].allowance_per_s > 0) {
      const double share =
          settings_.tenants[tenant].allowance_per_s / settings_.balancers * kRateMemory / 1e6;
      // With a margin for chance: of a few requests some instances see more than their part.
      if (tenant_recent_requests_[tenant] > share + kChanceDeviations * std::sqrt(share))
        worth *= settings_.over_share_worth;
    }
    return worth;
  }

  // Refuses early, the least worth first, once more is in hand than can be answered well within the aim. Only
  // where clients come in: a call between tiers carries work already done.
  bool Admit(ActiveRequest& active) {
    if (settings_.tier > 0 || limit_ <= 0) return true;
    // The cheaper classes give way to a crowd, not to the time that quiet load takes.
    const double min_worth =
        target_time_ > 0 ? std::min(1.0, kBaselineMargin * baseline_latency_ / target_time_) : 0;
    const double worth = std::max(1 - kWorthSpread * (1 - RelativeWorth(active)), min_worth);
    const double gain = kRejectGain * kSmallLimit / (kSmallLimit + limit_);
    const double reject_probability =
        target_time_ > 0 ? gain * (mean_request_time_ / (target_time_ * worth) - 1) : 0;
    active.admit_probability = 1 - std::clamp(reject_probability, 0.0, kMaxRejectShare);
    if (random_.Unit() >= active.admit_probability) return false;
    return static_cast<double>(in_flight_) < limit_ * worth + limit_slack_;
  }

  // By Little's law: what is answered in the time that an answer may take. At the start each answer makes
  // some room beyond its own, lest a crowd chokes the servers before the first answer.
  void UpdateLimit(double elapsed) {
    const double keep = std::exp(-elapsed / kThroughputMemory);
    recent_successes_ = keep * recent_successes_ + new_successes_;
    recent_time_ = keep * recent_time_ + elapsed;
    total_successes_ += new_successes_;
    new_successes_ = 0;
    const double upstreams_per_instance = static_cast<double>(ready_.size()) / settings_.balancers;
    const double start_limit = limit_ =
        kStartLimitPerUpstream * upstreams_per_instance + kStartLimitGrowth * total_successes_;
    // What comes to one copy of many varies by chance, from the first second on.
    limit_slack_ = kChanceDeviations * std::sqrt(limit_ * (1 - 1.0 / settings_.balancers));
    if (mean_latency_ <= 0) return void(recent_time_ = 0);
    const bool starting = total_successes_ < kStartupSuccesses;
    baseline_latency_ =
        starting ? slow_mean_latency_ : std::min(baseline_latency_ * kBaselineRise, slow_mean_latency_);
    target_time_ =
        std::max(std::min(kTargetAimShare * mean_aim_, kMaxTargetOverBaseline * baseline_latency_),
                 std::min(kTargetOverBaseline * baseline_latency_, kMaxTargetAimShare * mean_aim_));
    limit_ = std::max(recent_successes_ / recent_time_ * target_time_, starting ? start_limit : 0);
    // What chance brings to one copy of many the others make up for; with few, or in a jam, it is a crowd.
    const double overload =
        1 - std::clamp((target_time_ - mean_latency_) / std::max(1.0, target_time_ - baseline_latency_), 0.0,
                       1.0);
    const double variance_share = std::max(0.0, 1 - (1 + overload) / settings_.balancers);
    const double variance =
        variance_share *
        std::max(limit_, kStartLimitPerUpstream * upstreams_per_instance);  // a lull leaves no limit
    if (total_successes_ >= kSlackSuccesses) limit_slack_ = kChanceDeviations * std::sqrt(variance) + 1;
  }

  // --- Housekeeping ---

  void RunHousekeeping() {
    SetTimerIn(kHousekeepingInterval, kHousekeepingToken);
    const double elapsed = static_cast<double>(std::max<Micros>(1, now_ - last_housekeeping_));
    last_housekeeping_ = now_;
    int warm = 0;
    for (const int u : ready_) warm += IsCold(upstreams_[u]) || now_ < upstreams_[u].ejected_until ? 0 : 1;
    const double keep = std::exp(-elapsed / kRateMemory);
    if (warm > 0)
      current_warm_rate_ = keep * current_warm_rate_ + (1 - keep) * new_warm_successes_ / elapsed / warm;
    peak_warm_rate_ = std::max(current_warm_rate_, peak_warm_rate_ * std::exp(-elapsed / kPeakRateMemory));
    recent_sends_ = keep * recent_sends_ + new_sends_;
    recent_sends_time_ = keep * recent_sends_time_ + elapsed;
    send_rate_ = recent_sends_ / recent_sends_time_;
    new_warm_successes_ = new_sends_ = 0;
    for (double& requests : tenant_recent_requests_) requests *= keep;
    for (double& failure_share : zone_failure_share_) failure_share *= keep;
    for (const int u : ready_) RefillColdSends(upstreams_[u]);
    trial_interval_ = TrialInterval();
    const double sends_time = send_rate_ > 0 ? static_cast<double>(kRecentlyServedSends) / send_rate_ : 0;
    recently_served_time_ =
        std::min(settings_.connection_idle, static_cast<Micros>(std::min(sends_time, 1e9)));
    if (now_ - window_start_ >= kLoadWindow) CloseLoadWindow();
    UpdateMeanLoad();
    UpdateLimit(elapsed);
  }

  void CloseLoadWindow() {
    window_start_ = now_;
    for (Upstream& up : upstreams_) {
      up.mean_load = up.window_reports > 0 ? up.window_load_sum / up.window_reports : up.mean_load;
      up.window_load_sum = 0;
      up.window_reports = 0;
    }
    for (size_t u = 0; u < upstreams_.size(); ++u) ForgetIfLongGone(static_cast<int>(u));
  }

  // The mean count of all upstreams: of the last windows, or of this one until there is one.
  void UpdateMeanLoad() {
    double sum = 0;
    int n = 0;
    for (const int u : ready_) {
      const Upstream& up = upstreams_[u];
      if (up.mean_load <= 0 && !up.has_load) continue;
      sum += up.mean_load > 0 ? up.mean_load : up.load;
      ++n;
    }
    mean_load_ = n > 0 ? sum / n : 0;
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
  impl_->BeginEvent(now, out).OnList(kind, entries);
}

void Balancer::OnRequest(Micros now, const Request& r, Actions* out) {
  impl_->BeginEvent(now, out).OnRequest(r);
}

void Balancer::OnAttemptEnd(Micros now, const AttemptEnd& e, Actions* out) {
  impl_->BeginEvent(now, out).OnAttemptEnd(e);
}

void Balancer::OnStreamStart(Micros now, RequestId request, int /*attempt*/, Actions* out) {
  impl_->BeginEvent(now, out).OnStreamStart(request);
}

void Balancer::OnBody(Micros now, RequestId request, std::optional<Micros> time_left, Actions* out) {
  impl_->BeginEvent(now, out).OnBody(request, time_left);
}

void Balancer::OnClientGone(Micros now, RequestId r, Actions* out) {
  impl_->BeginEvent(now, out).OnClientGone(r);
}

void Balancer::OnTimer(Micros now, std::uint64_t token, Actions* out) {
  impl_->BeginEvent(now, out).OnTimer(token);
}

void Balancer::OnZones(Micros now, const std::vector<double>& parts, Actions* out) {
  impl_->BeginEvent(now, out).OnZones(parts);
}

void Balancer::OnCheck(Micros now, UpstreamId upstream, Outcome outcome,
                       const std::optional<LoadReport>& report, Actions* out) {
  impl_->BeginEvent(now, out).OnCheck(upstream, outcome, report);
}

}  // namespace umberdyke

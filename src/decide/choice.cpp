// All decisions of umberdyke. include/umberdyke/balancer.h declares their types, events and actions.
//
// Chips are the term of the BLOC paper: credits for sends that an upstream earns from the load it reports.
// The ordinary path is BLOC: responses mint chips from the reported count of requests. A pick draws two
// upstreams (power of two choices) among those with a chip or without a response for long, and takes the one
// with fewer own attempts in flight. A rejected attempt goes to a new pick. Everything else handles cases in
// which this fails; docs/design.md says when each rule applies.
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

// --- Chips and capacity estimate (values of the BLOC paper where it gives them) ---
constexpr double kChipLoadShare = 0.8;  // no chips from this share of the capacity estimate on, as in BLOC
constexpr double kMaxChips = 4;         // older chips reflect a load that is long past
constexpr Micros kChipLifetime = 2'000'000;  // queues build and drain within a second or two
// Capacity estimate as a multiple of the mean load; a load at the mean then mints a chip for every second
// response.
constexpr double kCapacityOverMean = 2.5;
constexpr double kMinCapacity = 4;           // requests; so few are no load, whatever the mean load is
constexpr Micros kLoadWindow = 10'000'000;   // averaging window of the load; 30 s would span whole incidents
constexpr int kForgetAfterWindows = 3;       // an upstream that has been gone for longer is removed
constexpr int kMaxDraws = 6;                 // for each of the two candidates, before the fallback
constexpr size_t kRecentlyServedSends = 12;  // a success within the time of this many own sends is recent
constexpr double kRandomPickShare = 0.04;    // of sparse-traffic picks: a trial of any upstream in any zone
constexpr double kProbeWaitShare = 0.01;     // longest wait for probe results, as a share of the aim
constexpr size_t kMaxProbes = 6;             // for one request, sent two at a time
constexpr double kMaxProbeCost = 0.02;  // no probing if kMaxProbes probes cost more of the result than this
constexpr double kTrialIntervalRounds = 6;  // trial interval, in rounds of one own send per upstream
constexpr Micros kMinTrialInterval = 100'000;
constexpr Micros kMaxTrialInterval = 10'000'000;
constexpr double kMaxLocalLoad = 1.2;  // a local upstream is preferred up to this multiple of the mean load
constexpr double kLoadGain = 0.4;      // EWMA weight of a new load report: reports are noisy and arrive late
// --- Health ---
// EWMA weight of one attempt in a zone's failure share and in the mean aim; the mean latency uses a quarter
// of it.
constexpr double kLatencyGain = 0.1;
constexpr Micros kMaxAvoidDuration = 30'000'000;  // by one class; doubles from the trial interval up to this
constexpr double kStallFactor = 4;         // an upstream silent for this many mean latencies is stalled
constexpr Micros kMinStallTime = 150'000;  // a shorter silence is not counted against an upstream
constexpr Micros kMinEjectionDuration = 1'000'000;
constexpr Micros kMaxEjectionDuration = 8'000'000;
constexpr double kMaxEjectedShare = 0.5;  // of the ready upstreams; if more fail, the cause is a shared one
constexpr double kZonePenalty = 2.5;      // draw probability lost per failure share above the best zone
constexpr int kMaxZone = 255;             // zones with higher numbers share one record
constexpr double kNoZoneData = std::numeric_limits<double>::infinity();  // a zone without upstreams
constexpr double kMinZoneFactor = 0.03;  // least draw factor: an untried zone is never found healthy again
// --- Retry budget ---
constexpr double kRetryTokensPerRequest = 0.15;  // attempts that may repeat work, earned by each request
constexpr double kMaxRetryTokens = 10;           // largest burst of such attempts
constexpr double kMinTimeLeftFactor = 0.5;       // least time for an attempt, as a share of the mean latency
// --- Request groups whose calls fail together ---
constexpr double kGroupGain = 0.25;  // EWMA weight of one outcome; with few calls two in a row must be enough
constexpr double kSuspectShare = 0.3;  // share of errors or late requests from which a group may be at fault
constexpr int kFewResponses = 3;       // a group with no more responses than this is not used for comparison
constexpr double kFailingShare = 0.7;  // share of late requests from which more of the group are useless
constexpr Micros kMaxBlockDuration = 16'000'000;
// --- Admission limit and load shedding ---
// Target of the mean request time: kTargetAimShare of the aim, or kTargetOverBaseline times the baseline
// latency if that is longer.
constexpr double kTargetAimShare = 0.45;
constexpr double kTargetOverBaseline = 1.6;
constexpr double kMaxTargetOverBaseline = 2.5;  // caps the first: upstreams choke on held requests
constexpr double kMaxTargetAimShare = 0.6;    // caps the second: an overloaded start looks like the baseline
constexpr double kThroughputMemory = 1e6;     // decay time of the success rate, microseconds
constexpr double kSlowLatencyGain = 0.02;     // EWMA weight; the baseline is the minimum of a mean this slow
constexpr double kBaselineRise = 1.002;       // per housekeeping; the baseline forgets in half a minute
constexpr double kStartLimitPerUpstream = 6;  // requests before any response, over all instances
constexpr double kStartLimitGrowth = 0.1;     // added to the start limit by each success
constexpr double kStartupSuccesses = 50;      // end the start; the first responses are the quick ones
constexpr double kSlackSuccesses = 12;        // from here on the request time tells overload from chance
// The limit leaves slack for chance bursts: this many standard deviations (square roots of the limit),
// plus 1.
constexpr double kChanceDeviations = 2;
constexpr double kRequestTimeGain = 0.1;     // EWMA weight of one request in the mean request time
constexpr double kMaxRequestTimeGain = 0.5;  // cap, since each request stands for many where few are admitted
constexpr double kRejectGain = 6;  // share rejected per multiple of the target time beyond the target
constexpr double kSmallLimit = 6;  // at this limit kRejectGain is halved: the limit itself does the rest
constexpr double kMaxRejectShare = 0.95;     // always admit some: nothing is learnt without responses
constexpr double kRetryAfterAimShare = 0.2;  // clients are told to retry after this share of the aim, +-50%
constexpr double kBaselineMargin = 1.2;      // no class is shed below this multiple of the baseline latency
constexpr double kWorthSpread = 0.3;         // requests of no worth are shed this share below the limit
// --- Housekeeping ---
constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr Micros kHousekeepingInterval = 100'000;  // between updates of windows, rates and limits
// Timer tokens; all others are request ids.
constexpr std::uint64_t kHousekeepingToken = std::uint64_t{1} << 60;
constexpr std::uint64_t kListRetryToken = kHousekeepingToken + 1;
constexpr std::uint64_t kQueueToken = kHousekeepingToken + 2;
constexpr std::uint64_t kProbeToken = kHousekeepingToken + 3;
constexpr Micros kQueueInterval = 20'000;  // how often queued requests look for an upstream
// Longest time in the queue, as a share of the request's time; from half of it on, an unsent request costs
// more.
constexpr double kMaxQueueTimeShare = 0.45;
constexpr Micros kMinListRetryDelay = 500'000;
// A list change must take effect within 6 s after discovery can be reached again.
constexpr Micros kMaxListRetryDelay = 1'500'000;
constexpr double kRateMemory = 8e6;       // decay time of rates and recent sums, microseconds
constexpr double kPeakRateMemory = 60e6;  // of the peak warm rate; a rate under overload does not replace it
// A cold upstream is sent at least this multiple of its share of the peak warm rate. If the warm upstreams
// cannot take the traffic, it is sent more, up to kMaxFallMultipleShare of the setting fall_multiple.
constexpr double kColdRateShare = 0.5;
constexpr double kMaxFallMultipleShare = 0.75;

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
    // Instances that start together must not run housekeeping in the same instant.
    SetTimerIn(1 + random_.Below(kHousekeepingInterval), kHousekeepingToken);
    if (settings_.must_ask) out_->push_back(Subscribe{});
  }

  Impl& BeginEvent(Micros now, Actions* out) {
    now_ = now;
    out_ = out;
    return *this;
  }

  // --- Upstream list ---

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
    CloseIdleIfDraining(u);  // even if this attempt ends long after the drain began
    RecordOutcome(u, end, attempt, active);
    if (active == nullptr) return;
    if (end.settled) {
      EndAndRemove(it, end.outcome == Outcome::kOk);
    } else if (active->open_attempts == 0 && !active->response_streaming) {
      Retry(end.request, *active, end.outcome);
    }
  }

  void OnStreamStart(RequestId id, int attempt) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    const Attempt* streaming = FindOpenAttempt(it->second, attempt);
    if (streaming == nullptr) return;
    it->second.response_streaming = true;
    it->second.response_started_at = now_;
    ExcludeFromLimit(it->second);
    Upstream& up = upstreams_[streaming->upstream];
    up.last_response_or_trial = up.last_response = now_;
    CancelOthers(id, it->second, attempt);
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
  Micros TimerMargin() const { return 2 * settings_.tick; }  // timers fire up to one tick late
  void SetTimerIn(Micros delay, std::uint64_t token) { out_->push_back(SetTimer{delay, token}); }
  int Find(UpstreamId id) const {
    const auto it = index_by_id_.find(id);
    return it == index_by_id_.end() ? kNoUpstream : it->second;
  }

  // --- Upstream list ---

  // Merges one entry of a list and returns its index. An id with a later start time is a new process: what
  // was learnt about the old one is dropped.
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
      // Spread, since instances must not all spend their first cold sends at once.
      up.cold_interval_end = now_ + static_cast<Micros>(random_.Unit() * static_cast<double>(ColdInterval()));
      up.last_response_or_trial =
          is_new && entry.ready_at == 0 ? 0 : now_;  // no recent start: may be tried at once
      up.last_response = now_;
    }
    if (!is_new && entry.state == UpstreamState::kGone) {
      MarkGone(up);
    } else {
      // An old list must not undo a start.
      const Micros ready_at = std::max(entry.ready_at, up.entry.ready_at);
      up.entry = entry;
      up.entry.ready_at = ready_at;
      up.unlisted = false;
    }
    const size_t zone = ZoneOf(up);
    if (zone >= zone_failure_share_.size()) zone_failure_share_.resize(zone + 1, kNoZoneData);
    if (zone_failure_share_[zone] == kNoZoneData) zone_failure_share_[zone] = 0;
    return it->second;
  }

  // Removes an upstream that is long gone and has no attempt in flight, and frees its slot. Without this,
  // memory would grow as upstreams are replaced.
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

  // Marks an upstream that left the list. With only_draining_binds a healthy one is still sent to until an
  // attempt or check fails there, since the list may have been emptied, cut short or outdated.
  void MarkGone(Upstream& up) {
    const bool drained = up.entry.state != UpstreamState::kReady;
    up.unlisted = settings_.only_draining_binds && !drained && up.ejection_duration == 0;
    if (!up.unlisted) up.entry.state = UpstreamState::kGone;
  }

  // Asks the host to close idle connections to a draining upstream, if the settings require it: when the
  // drain begins and after each outcome there. Nothing is sent to it in between.
  void CloseIdleIfDraining(int u) {
    if (settings_.close_idle_within <= 0 || u == kNoUpstream) return;
    const UpstreamEntry& entry = upstreams_[u].entry;
    if (entry.state != UpstreamState::kReady) out_->push_back(CloseIdle{entry.id});
  }

  // Polls the list again after an exponential backoff with jitter.
  void ScheduleListRetry() {
    SetTimerIn(static_cast<Micros>(static_cast<double>(list_retry_delay_) * (0.5 + random_.Unit())),
               kListRetryToken);
    list_retry_delay_ = std::min({2 * list_retry_delay_, settings_.ask_every / 3, kMaxListRetryDelay});
  }

  // --- Ordinary path: chips, capacity estimate, power of two choices ---

  // Time in which this instance sends once per ready upstream, microseconds; 0: unknown.
  double SendRoundTime() const {
    return send_rate_ > 0 ? static_cast<double>(ready_.size()) / send_rate_ : 0;
  }

  // Above 0 if chips expire before each upstream has been sent to once: 0 if a round takes a chip's
  // lifetime, 1 if it takes twice that.
  double TrafficSparseness() const { return SendRoundTime() / static_cast<double>(kChipLifetime) - 1; }

  double TrialInterval() const {
    return std::clamp(kTrialIntervalRounds * SendRoundTime(), static_cast<double>(kMinTrialInterval),
                      static_cast<double>(kMaxTrialInterval));
  }

  // Capacity estimate in requests, from the upstream's mean load, clamped to between 1 and 1.5 times the
  // mean over all upstreams: a long queue must not pass for capacity, nor a short one remove all chips.
  double CapacityEstimate(const Upstream& up) const {
    if (mean_load_ <= 0) return 0;
    const double own = up.mean_load > 0 ? up.mean_load : mean_load_;
    const double mean = std::clamp(own, mean_load_, 1.5 * mean_load_);
    return std::max(kMinCapacity, kCapacityOverMean * mean);
  }

  void RecordReport(Upstream& up, const LoadReport& report) {
    const std::optional<double> reported = report.in_flight ? report.in_flight : report.queue;
    const double count = reported.value_or(up.in_flight);  // without a report: own attempts in flight
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

  // A chip reflects the load at its report, so it expires after kChipLifetime.
  bool HasLiveChip(const Upstream& up) const {
    return IsCold(up) ? up.cold_sends_left > 0 : up.chips >= 1 && now_ - up.last_report < kChipLifetime;
  }

  void RemoveChipHolder(size_t at) {
    upstreams_[chip_holders_[at]].in_chip_holders = false;
    chip_holders_[at] = chip_holders_.back();
    chip_holders_.pop_back();
  }

  // Draws a random chip holder. Among the first few draws, one that recently served the class is preferred,
  // and with `prefer_local` one in the own zone.
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

  // Returns whether the request probes before it is sent. Under sparse traffic and with cheap checks it
  // probes two random upstreams, one that recently served and any other, and goes to the less loaded one. If
  // neither is below the mean load, it probes two more. Chips alone are outdated then: upstreams may be
  // replaced faster than chips are renewed.
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
      if (pool.empty()) continue;  // the list may have emptied since the first probes
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

  // Conditions of every send, including the fallback: list state, ejection, the group of a keyed request
  // that may have run, and the cold sends left. A further attempt goes to another upstream.
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

  // Skips some draws at random: an upstream is drawn in proportion to its weight and its zone's share, and
  // less often the more attempts to its zone fail than to the best zone. This covers a bad network path to a
  // zone and a zone whose upstreams fail together: ejecting them one by one would take longer than the fault
  // lasts. Some trials go on, and the failure share decays.
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

  // In the own zone and not much above the mean load. Crossing zones costs time and money, but less than a
  // queue.
  bool LocalAndNotOverloaded(const Upstream& up) const {
    return up.entry.zone == settings_.zone && up.load <= kMaxLocalLoad * mean_load_;
  }

  // The class succeeded there within the last own sends. With few calls for many upstreams this avoids a
  // handshake for nearly every call, and finding each failing upstream separately.
  bool RecentlyServed(const Upstream& up, int request_class) const {
    return now_ - up.classes[request_class].last_success < recently_served_time_ &&
           up.classes[request_class].last_success > 0;
  }

  // Fewer own attempts in flight; a tie goes to the local upstream, then to one that recently served the
  // class.
  bool LessLoaded(int a, int b, int c) const {
    const Upstream& x = upstreams_[a];
    const Upstream& y = upstreams_[b];
    if (x.in_flight != y.in_flight) return x.in_flight < y.in_flight;
    if (LocalAndNotOverloaded(x) != LocalAndNotOverloaded(y)) return LocalAndNotOverloaded(x);
    return RecentlyServed(x, c) && !RecentlyServed(y, c);
  }

  // Between two draws a tie goes to the lower reported load. The fallback does not use this: all instances
  // would herd on one upstream.
  bool Preferred(int a, int b, int c) const {
    return LessLoaded(a, b, c) || (!LessLoaded(b, a, c) && upstreams_[a].load < upstreams_[b].load);
  }

  int Pick(const ActiveRequest& active) {
    if (ready_.empty()) return kNoUpstream;
    // Draws from all ready upstreams, or from the chip holders under sparse traffic. The second draw is from
    // the own zone, to avoid needless cross-zone calls.
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

  // Takes the upstream with the fewest own attempts in flight; ejected and avoided ones only if no other is
  // left.
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

  // --- Cold upstreams (slow start) ---

  bool IsCold(const Upstream& up) const {
    return up.entry.ready_at > 0 && now_ - up.entry.ready_at < settings_.cold_time;
  }

  // Share of its full capacity that a cold upstream surely has by now; it grows linearly over cold_time.
  double WarmShare(const Upstream& up) const {
    const double age = static_cast<double>(std::max<Micros>(0, now_ - up.entry.ready_at));
    const double warmed = settings_.cold_time > 0 ? age / static_cast<double>(settings_.cold_time) : 1;
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::min(1.0, warmed);
  }

  Micros ColdInterval() const { return std::max<Micros>(settings_.fall_time, kHousekeepingInterval); }

  // Own sends per microsecond to one warm upstream if each got its share by capacity. Failing upstreams are
  // included: their failure must not overload the cold ones.
  double SendRatePerWarmUpstream() const {
    double shares = 0;
    for (const int u : ready_) {
      shares += IsCold(upstreams_[u]) ? WarmShare(upstreams_[u]) : 1;
    }
    return send_rate_ / std::max(1.0, shares);
  }

  // Sets the sends that a cold upstream may get from this instance in the next interval. Unused ones lapse,
  // or hundreds of instances would save them up and spend them in the same second.
  //
  // On average this is the peak rate to a warm upstream, reduced to the share that is surely warm. While the
  // warm ones can take the traffic it is halved: a cold upstream is slow, and its late responses would look
  // like overload. Above that rate the cold ones get twice their share of the excess, since upstreams warm up
  // faster than they have to. If no rate is known, all instances together send one request per interval.
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

  // --- Rules for repeating and refusing a request ---

  // May the request be sent once more (to its group)? This is the rule that no request takes effect twice.
  bool MaySend(const ActiveRequest& active) const {
    if (static_cast<int>(active.attempts.size()) >= settings_.max_attempts || active.response_streaming)
      return false;
    if (active.cannot_resend || (active.open_attempts > 0 && !settings_.parallel_attempts)) return false;
    return now_ + settings_.tick < RepeatUntil(active);
  }

  // A keyed class discards repeats within its window, which starts with the first attempt that may have run.
  // A later send could take effect a second time.
  Micros RepeatUntil(const ActiveRequest& active) const {
    const RequestClass& c = ClassOf(active);
    const Attempt* first = FirstAttemptThatMayHaveRun(active);
    if (c.repeat == Repeat::kSafe || first == nullptr) return kNever;
    return c.repeat == Repeat::kUnsafe ? 0 : first->sent_at + c.window - c.window / 20;
  }

  // May the request be refused, which promises the client that a retry is harmless?
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

  // --- Request lifecycle ---

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
      up.last_response_or_trial = now_;  // a pick without a chip counts as a response in BLOC
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

  // No upstream may be sent to now: queues the request for a part of its time.
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
    if (outcome == Outcome::kUnfit) {  // every upstream would reject it, and so would a retry
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

  // Timer of one request: cancels or duplicates an attempt at a stalled upstream, and enforces the deadline.
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

  // Attempts at stalled upstreams and long streams must not use up the limit of the other requests.
  void ExcludeFromLimit(ActiveRequest& active) {
    in_flight_ -= std::exchange(active.excluded_from_limit, true) ? 0 : 1;
  }

  // No response from the upstream since the attempt was sent. With a single attempt there the wait is twice
  // as long, since two without a response are stronger evidence.
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
    if (MaySend(active)) {  // hedged request
      retry_tokens_ -= 1;
      Dispatch(id, active);
    } else if (settings_.may_cancel && !settings_.parallel_attempts) {
      attempt.cancel_requested = true;  // the retry follows when the cancelled attempt ends
      out_->push_back(Cancel{id, static_cast<int>(active.attempts.size()) - 1});
    }
  }

  // Cancels the open attempts other than `kept`.
  void CancelOthers(RequestId id, ActiveRequest& active, int kept) {
    if (!settings_.may_cancel) return;
    for (int i = 0; i < static_cast<int>(active.attempts.size()); ++i) {
      Attempt& a = active.attempts[static_cast<size_t>(i)];
      if (i == kept || !a.open || std::exchange(a.cancel_requested, true)) continue;
      out_->push_back(Cancel{id, i});
    }
  }

  // Ends an admitted request and records how long it took. A request without a response can only raise the
  // mean. One that was rejected or found no upstream counts as too late.
  void EndRequest(RequestId id, ActiveRequest& active, bool served) {
    CancelOthers(id, active, kNoAttempt);
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

  // Ends the request with the response that its class permits.
  void GiveUp(RequestId id) {
    const auto it = active_requests_.find(id);
    EndRequest(id, it->second, false);
    RefuseOrFail(id, it->second);
  }

  void RefuseOrFail(RequestId id, ActiveRequest& active) {
    out_->push_back(MayRefuse(active) ? Action(Refuse{id, RetryAfter(ClassOf(active).aim)}) : Fail{id});
    active_requests_.erase(id);
  }

  // Advice for clients: early enough for a retry to be answered within the aim, with jitter so that retries
  // do not arrive together.
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

  // --- Request groups whose calls fail together ---
  // Requests of one class or tenant may fail or be slow at every upstream. Their outcomes are compared with
  // those of the other groups. If they alone fail, no upstream is blamed and no retry is spent. If nearly
  // all of them are late, only an occasional trial is admitted, so that they do not fill the slots of the
  // others. This also covers an overload of unknown cause: no trial succeeds, so all groups back off until
  // it has drained.

  std::vector<RequestGroup*> GroupsOf(const ActiveRequest& active) {
    const size_t tenant = static_cast<size_t>(active.request.tenant);
    std::vector<RequestGroup*> groups;
    if (settings_.classes.size() > 1)
      groups.push_back(&request_groups_[static_cast<size_t>(active.request.request_class)]);
    if (tenant < tenant_recent_requests_.size())
      groups.push_back(&request_groups_[settings_.classes.size() + tenant]);
    return groups;  // a single class has nothing to be compared with
  }

  // The group has more than twice the failure share of another class or, for a tenant, of another tenant.
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

  // The request's group explains the failure, and the upstream has not failed the class before.
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
      group.blocked_until = now_;  // the trial succeeded: admit the next one at once
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
      BlockFor(*group, group->block_duration);  // if the groups are blocked, this request is their trial
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
    if (end.outcome == Outcome::kUnfit) return MintChip(up);  // only the request is at fault
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

  // A malformed response shows that the upstream is not silent. The class avoids it only after two in a row
  // with no success in between, so that occasional malformed responses do not exclude healthy upstreams.
  void RecordMalformed(Upstream& up, const ActiveRequest* active) {
    up.last_response = now_;
    if (++up.consecutive_malformed > 1 && active) Avoid(up, active->request.request_class);
  }

  void RecordSuccess(Upstream& up, const AttemptEnd& end, const ActiveRequest* active) {
    up.consecutive_malformed = 0;
    const double took = static_cast<double>(end.elapsed);
    // The first few are averaged evenly: the first responses are the quick ones, and stalls are judged by
    // the mean.
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
    // Late responses that still earn extend the aim.
    const double aim = static_cast<double>(c.aim) + late_time;
    mean_aim_ = mean_aim_ > 0 ? mean_aim_ + kLatencyGain * (aim - mean_aim_) : aim;
  }

  // Makes a class avoid an upstream that failed it, for longer each time, until a call of the class succeeds
  // there. One failure is enough: with few calls for many upstreams there will be no more evidence in time.
  // At most half of the upstreams are avoided; if more fail, the cause is a shared one.
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

  // One more exclusion would exceed kMaxEjectedShare. A fault that all upstreams share, such as a failing
  // tier below or a cut link, must not exclude the whole fleet.
  template <typename IsExcluded>
  bool ExceedsEjectionLimit(IsExcluded is_excluded) const {
    const auto excluded = std::count_if(ready_.begin(), ready_.end(), is_excluded);
    return static_cast<double>(excluded + 1) > kMaxEjectedShare * static_cast<double>(ready_.size());
  }

  void Eject(Upstream& up) {
    if (up.unlisted) {  // the list was right to drop it
      up.unlisted = false;
      up.entry.state = UpstreamState::kGone;
      RebuildReadyLists();
    }
    if (ExceedsEjectionLimit([&](int u) { return now_ < upstreams_[u].ejected_until; })) return;
    if (now_ < up.ejected_until && up.ejection_duration > 0 && up.chips == 0) return;
    const Micros doubled = std::clamp(2 * up.ejection_duration, kMinEjectionDuration, kMaxEjectionDuration);
    // Not shorter than the time between trials.
    up.ejection_duration = std::max(doubled, static_cast<Micros>(trial_interval_));
    up.ejected_until = now_ + up.ejection_duration;
    up.chips = 0;
  }

  // --- Admission ---

  // Worth of a request relative to the class with the most points; at most 1.
  double RelativeWorth(const ActiveRequest& active) const {
    double worth = max_points_ > 0 ? ClassOf(active).points / max_points_ : 1;
    const size_t tenant = static_cast<size_t>(active.request.tenant);
    if (tenant < tenant_recent_requests_.size() && settings_.tenants[tenant].allowance_per_s > 0) {
      const double share =
          settings_.tenants[tenant].allowance_per_s / settings_.balancers * kRateMemory / 1e6;
      // The margin covers chance: with few requests some instances see more than their share.
      if (tenant_recent_requests_[tenant] > share + kChanceDeviations * std::sqrt(share))
        worth *= settings_.over_share_worth;
    }
    return worth;
  }

  // Load shedding: refuses requests early, those of least worth first, once more are in flight than can be
  // served well within the aim. Applies only where clients enter: a call between tiers carries work already
  // done.
  bool Admit(ActiveRequest& active) {
    if (settings_.tier > 0 || limit_ <= 0) return true;
    // Classes of less worth give way to overload, not to the time that requests take without load.
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

  // Sets the admission limit by Little's law: the success rate times the target time. At the start each
  // success raises the limit a little, so that a burst does not choke the upstreams before the first
  // response.
  void UpdateLimit(double elapsed) {
    const double keep = std::exp(-elapsed / kThroughputMemory);
    recent_successes_ = keep * recent_successes_ + new_successes_;
    recent_time_ = keep * recent_time_ + elapsed;
    total_successes_ += new_successes_;
    new_successes_ = 0;
    const double upstreams_per_instance = static_cast<double>(ready_.size()) / settings_.balancers;
    const double start_limit = limit_ =
        kStartLimitPerUpstream * upstreams_per_instance + kStartLimitGrowth * total_successes_;
    // The share of traffic that one of many instances gets varies by chance from the first second on.
    limit_slack_ = kChanceDeviations * std::sqrt(limit_ * (1 - 1.0 / settings_.balancers));
    if (mean_latency_ <= 0) return void(recent_time_ = 0);
    const bool starting = total_successes_ < kStartupSuccesses;
    baseline_latency_ =
        starting ? slow_mean_latency_ : std::min(baseline_latency_ * kBaselineRise, slow_mean_latency_);
    target_time_ =
        std::max(std::min(kTargetAimShare * mean_aim_, kMaxTargetOverBaseline * baseline_latency_),
                 std::min(kTargetOverBaseline * baseline_latency_, kMaxTargetAimShare * mean_aim_));
    limit_ = std::max(recent_successes_ / recent_time_ * target_time_, starting ? start_limit : 0);
    // A chance burst at one of many instances is balanced by the others. With few instances, or under
    // overload, it is real load.
    const double overload =
        1 - std::clamp((target_time_ - mean_latency_) / std::max(1.0, target_time_ - baseline_latency_), 0.0,
                       1.0);
    const double variance_share = std::max(0.0, 1 - (1 + overload) / settings_.balancers);
    // The start limit keeps the slack through a lull, in which limit_ falls towards 0.
    const double variance =
        variance_share * std::max(limit_, kStartLimitPerUpstream * upstreams_per_instance);
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

  // Mean load over all ready upstreams: of the last full windows, or of the current one until there is one.
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

void Balancer::OnStreamStart(Micros now, RequestId request, int attempt, Actions* out) {
  impl_->BeginEvent(now, out).OnStreamStart(request, attempt);
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

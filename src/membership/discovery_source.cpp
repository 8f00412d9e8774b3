#include "membership/discovery_source.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// Discovery writes a heartbeat at least every 2 s, and calls wait in its queue for at most 2 s. Two of these
// intervals and one served call fit into the 6 s within which a change must be known.
constexpr Span kMaxHeartbeatGap = 2300ms;
constexpr Span kSlowAnswerExtension = 5s;  // on top of kMaxHeartbeatGap
constexpr Span kPropagationLimit = 6s;
constexpr Span kPeerReportMaxAge = 2s;  // long enough for several peer queries
constexpr Span kMinQueuedTime = 1s;     // a discovery that is down refuses calls sooner
constexpr size_t kMaxItemBytes = 4 * 1024 * 1024;
// Where lists are pushed, changes that discovery has on its return count at once. A call that does not
// connect is retried without limit, well within the shortest time that a drain allows.
constexpr Span kPushRetryDelay = 80ms;
constexpr Span kPushConnectTimeout = 150ms;
// An unreadable item is fetched again, first after a short delay, which doubles while it does not help.
constexpr Span kInitialRefetchDelay = 100ms;
constexpr Span kMaxRefetchDelay = 10s;

}  // namespace

ListWatch::ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Span connect_time,
                     Callbacks callbacks)
    : request_(Platform::WatchRequest(version, PrintAddress(discovery))),
      callbacks_(std::move(callbacks)),
      stream_(loop, this),
      heartbeat_timer_(loop, [this] { OnHeartbeatTimeout(); }) {
  // Lines may be split anywhere, objects may span several lines, and empty lines are heartbeats.
  parser_.StreamBodyTo([this](std::string_view bytes) {
    if (parser_.message().status != 200 || !stream_.open()) return;
    cutter_.Feed(bytes, [this](std::string_view text) {
      heartbeat_timer_.Start(kMaxHeartbeatGap);
      received_any_ = true;
      callbacks_.on_item(text);
      return stream_.open();  // the decision module may have closed the watch in on_item
    });
  });
  heartbeat_timer_.Start(std::min(connect_time, kMaxHeartbeatGap));
  if (!stream_.Connect(discovery)) heartbeat_timer_.Start(0ms);
}

void ListWatch::OnConnected(bool ok) {
  if (!ok) return Fail(CallFailure::kUnreachable);
  connected_ = Clock::now();
  heartbeat_timer_.Start(kMaxHeartbeatGap);
  stream_.Read();
  if (stream_.Write(request_) == Stream::WriteResult::kFailed) Fail(CallFailure::kUnreachable);
}

// Only complete items restart the heartbeat timer; a response head or a part of an object does not.
void ListWatch::OnData(std::string_view bytes) {
  size_t used = 0;
  bytes_ += static_cast<std::int64_t>(bytes.size());
  const ParseResult parsed = parser_.Feed(bytes, &used);
  if (!stream_.open()) return;
  const bool status_ok = !parser_.head_complete() || parser_.message().status == 200;
  if (!status_ok) return Fail(WasQueued() ? CallFailure::kOverloaded : CallFailure::kRefused);
  if (cutter_.held() > kMaxItemBytes) return Fail(CallFailure::kMalformed);
  if (parsed == ParseResult::kComplete) return OnEnd();
  if (parsed != ParseResult::kIncomplete) Fail(CallFailure::kMalformed);
}

// A call that was queued and ends without data has timed out in discovery's queue.
void ListWatch::OnEnd() {
  Fail(WasQueued() && !answered_ && !received_any_ ? CallFailure::kOverloaded : CallFailure::kStreamEnded);
}

void ListWatch::OnHeartbeatTimeout() {
  const bool accepted = connected_ != Time::max() && !received_any_;
  if (!accepted || waiting_for_slow_answer_ || !callbacks_.on_slow())
    return Fail(CallFailure::kHeartbeatTimeout);
  waiting_for_slow_answer_ = true;
  heartbeat_timer_.Start(kSlowAnswerExtension);
}

void ListWatch::Fail(CallFailure failure) {
  if (!stream_.open()) return;
  Close();
  callbacks_.on_failure(failure);
}

std::int64_t ListWatch::AgeMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_).count();
}

bool ListWatch::WasQueued() const { return connected_ < Clock::now() - kMinQueuedTime; }

void ListWatch::Close() {
  heartbeat_timer_.Stop();
  stream_.Close();
}

DiscoverySource::DiscoverySource(Loop& loop, const Platform& platform, const Config& config,
                                 std::int64_t version, Counters& counters, log::Log& log, Callbacks callbacks)
    : loop_(loop),
      platform_(platform),
      address_(config.discovery),
      push_mode_(!config.settings.must_ask),
      counters_(counters),
      log_(log),
      callbacks_(std::move(callbacks)),
      random_(config.seed),
      version_(version),
      backoff_(config.seed, config.settings.balancers),
      refetch_delay_(kInitialRefetchDelay),
      retry_timer_(loop,
                   [this] {
                     if (wanted_ && watch_ == nullptr) StartCall();
                   }),
      refetch_timer_(loop, [this] { StartReplacementCall(); }) {}

void DiscoverySource::Watch(bool on) {
  if (on && !wanted_) quick_retry_until_ = Clock::now() + kPropagationLimit;
  wanted_ = on;
  if (!on) {
    EndCall(watch_, "the list is no longer needed");
    EndCall(previous_, "the list is no longer needed");
    EndCall(slow_, "the list is no longer needed");
    refetch_timer_.Stop();
  } else if (watch_ == nullptr) {
    CallWhenAllowed();
  }
}

bool DiscoverySource::PeersAreCurrent() const {
  return peer_current_at_ != Time::min() && Clock::now() - peer_current_at_ < kPeerReportMaxAge;
}

// The decision module may request a call before the backoff after a refusal has passed.
void DiscoverySource::CallWhenAllowed() {
  const Time now = Clock::now();
  if (now >= earliest_call_) return StartCall();
  if (!retry_timer_.running()) retry_timer_.Start(earliest_call_ - now);
}

void DiscoverySource::ChangeAddress(const Address& discovery) {
  if (PrintAddress(discovery) == PrintAddress(address_)) return;
  counters_.Add("discovery_moves");
  address_ = discovery;
  version_ = 0;  // another service may number its versions differently
  quick_retry_until_ = Clock::now() + kPropagationLimit;
  earliest_call_ = {};
  backoff_.Reset();
  EndCall(slow_, "the address of discovery has changed");
  StartReplacementCall();
}

void DiscoverySource::StartReplacementCall() {
  refetch_timer_.Stop();
  // If a previous replacement has not delivered anything yet, the watch before it still has the list.
  if (previous_ == nullptr) {
    previous_ = std::move(watch_);
  } else {
    EndCall(watch_, "replaced by another call");
  }
  if (wanted_) StartCall();
}

void DiscoverySource::StartCall() {
  counters_.Add("discovery_calls");
  retry_timer_.Stop();
  // The callbacks compare this pointer with watch_, slow_ and previous_ to find the role of their call.
  const auto this_call = std::make_shared<ListWatch*>(nullptr);
  watch_ = std::make_unique<ListWatch>(
      loop_, address_, version_, push_mode_ ? kPushConnectTimeout : kMaxHeartbeatGap,
      ListWatch::Callbacks{[this, this_call](std::string_view text) { OnItem(*this_call, text); },
                           [this, this_call] { return KeepSlowCall(*this_call); },
                           [this, this_call](CallFailure failure) {
                             if (*this_call == watch_.get()) return OnCallFailed(failure);
                             EndCall(*this_call == slow_.get() ? slow_ : previous_, Describe(failure));
                           }});
  *this_call = watch_.get();
}

// Returns whether the current call is the first that discovery queued after an outage. If so, this source
// retries on its own again.
bool DiscoverySource::DetectRecovery() {
  if (!watch_->WasQueued() || !std::exchange(unavailable_, false)) return false;
  quick_retry_until_ = Clock::now() + kPropagationLimit;
  backoff_.Reset();
  return true;
}

// Keeps a slow call open and schedules another one, because the slow one may never be answered.
bool DiscoverySource::KeepSlowCall(const ListWatch* call) {
  if (push_mode_ || call != watch_.get() || slow_ != nullptr) return false;
  DetectRecovery();
  slow_ = std::move(watch_);
  counters_.Add("discovery_broken");
  counters_.Add("discovery_slow");
  retry_timer_.Start(backoff_.NextDelay(CallFailure::kHeartbeatTimeout, PeersAreCurrent()));
  return true;
}

void DiscoverySource::OnItem(const ListWatch* call, std::string_view text) {
  if (call == slow_.get()) {
    retry_timer_.Stop();
    EndCall(watch_, "an older call was answered");
    watch_ = std::move(slow_);
  } else if (call == watch_.get()) {
    EndCall(slow_, "a newer call was answered");
  }
  ProcessItem(text, call != watch_.get());
}

void DiscoverySource::ProcessItem(std::string_view text, bool from_previous) {
  if (!from_previous) {  // the watch is live and up to date
    quick_retry_until_ = Clock::now() + kPropagationLimit;
    backoff_.Reset();
  }
  if (text.empty()) return;
  const auto change = platform_.ParseServerList(text);
  if (!change) return OnUnreadableItem(from_previous);
  counters_.Add("discovery_changes");
  if (!from_previous && !watch_->answered()) LogFirstAnswer(*change);
  if (!from_previous && !refetch_timer_.running()) {
    version_ = change->full ? change->version : std::max(version_, change->version);
    refetch_delay_ = kInitialRefetchDelay;
    EndCall(previous_, "a newer call was answered");
  }
  callbacks_.on_list(*change, change->full ? ListUpdate::kComplete : ListUpdate::kChanges);
}

void DiscoverySource::LogFirstAnswer(const ServerListChange& change) {
  watch_->MarkAnswered();
  const auto servers = static_cast<std::int64_t>(change.servers.size());
  const std::int64_t after = watch_->AgeMs();
  log_.Say(log::Event::kDiscoveryAnswered,
           "discovery answered a call after " + std::to_string(after) + " ms: version " +
               std::to_string(change.version) + ", " + (change.full ? "the whole list, " : "changes, ") +
               std::to_string(servers) + " servers",
           {{"version", change.version}, {"full", change.full}, {"servers", servers}, {"after_ms", after}});
}

// Discovery may never repeat this change. A new call fetches everything since the last readable version.
void DiscoverySource::OnUnreadableItem(bool from_previous) {
  counters_.Add("discovery_unreadable");
  if (from_previous || refetch_timer_.running()) return;
  refetch_timer_.Start(Jittered(refetch_delay_));
  refetch_delay_ = std::min(2 * refetch_delay_, kMaxRefetchDelay);
}

void DiscoverySource::OnCallFailed(CallFailure failure) {
  const bool was_queued = watch_->WasQueued();
  const bool received_any = watch_->received_any();
  if (DetectRecovery()) failure = CallFailure::kStreamEnded;
  EndCall(watch_, Describe(failure));
  counters_.Add("discovery_broken");
  if (failure == CallFailure::kOverloaded) counters_.Add("discovery_overloaded");
  const bool quick_retry = Clock::now() < quick_retry_until_;
  unavailable_ = unavailable_ || (!quick_retry && !was_queued);
  Span delay = push_mode_ ? Jittered(kPushRetryDelay) : backoff_.NextDelay(failure, PeersAreCurrent());
  if (received_any && !push_mode_) delay += backoff_.ReconnectJitter();
  earliest_call_ = Clock::now() + delay;
  if (push_mode_ || quick_retry) retry_timer_.Start(delay);
  if (!quick_retry) callbacks_.on_failure(Describe(failure));
}

Span DiscoverySource::Jittered(Span time) {
  return time / 2 +
         std::chrono::duration_cast<Span>(time * std::uniform_real_distribution<double>(0, 1)(random_));
}

void DiscoverySource::EndCall(std::unique_ptr<ListWatch>& watch, const char* why) {
  if (watch == nullptr) return;
  log_.Say(log::Event::kDiscoveryCallEnded,
           std::string("a call to discovery ended after ") + std::to_string(watch->AgeMs()) + " ms and " +
               std::to_string(watch->bytes()) + " bytes: " + why,
           {{"why", std::string(why)}, {"after_ms", watch->AgeMs()}, {"bytes", watch->bytes()}});
  loop_.DestroyLater(std::move(watch));
}

}  // namespace umberdyke::net

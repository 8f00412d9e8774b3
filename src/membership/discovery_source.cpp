#include "membership/discovery_source.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// Discovery writes at least every 2 s, and calls there wait in turn for 2 s at most. Two of these spans and a
// call that is served fit into the 6 s after which all counts as told.
constexpr Span kLongestSilence = 2300ms;
constexpr Span kSlowAnswer = 5s;  // beyond that
constexpr Span kTold = 6s;
constexpr Span kPeerNews = 2s;  // so long ago at most a peer that was asked several times has answered
constexpr Span kHeld = 1s;      // one that is down refuses sooner
constexpr size_t kLongestItem = 4 * 1024 * 1024;
// Where lists are pushed, what discovery gets at its return counts at once: a call that does not come up is
// made again well within the least time that a drain leaves, for as long as it takes.
constexpr Span kPushedBackoff = 80ms;
constexpr Span kPushedConnect = 150ms;
// What can't be read is asked for anew, first soon, and less and less often where that never helps.
constexpr Span kFirstUnreadBackoff = 100ms;
constexpr Span kLongestUnreadBackoff = 10s;

}  // namespace

ListWatch::ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Span connect_time,
                     Owner owner)
    : request_(Platform::WatchRequest(version, PrintAddress(discovery))),
      owner_(std::move(owner)),
      stream_(loop, this),
      silence_(loop, [this] { Silent(); }) {
  // Lines may be split anywhere, objects stand on several, and empty lines only say that the watch lives.
  parser_.StreamBodyTo([this](std::string_view bytes) {
    if (parser_.message().status != 200 || !stream_.open()) return;
    cutter_.Feed(bytes, [this](std::string_view text) {
      silence_.Start(kLongestSilence);
      heard_ = true;
      owner_.item(text);
      return stream_.open();  // told of a change, the module may have ended the watch
    });
  });
  silence_.Start(std::min(connect_time, kLongestSilence));
  if (!stream_.Connect(discovery)) silence_.Start(0ms);
}

void ListWatch::OnConnected(bool ok) {
  if (!ok) return Fail(CallFailure::kUnreachable);
  connected_ = Clock::now();
  silence_.Start(kLongestSilence);
  stream_.Read();
  if (stream_.Write(request_) == Stream::Wrote::kBroken) Fail(CallFailure::kUnreachable);
}

// A head, or a part of an object, is no news: only what is whole puts the end of patience off.
void ListWatch::OnData(std::string_view bytes) {
  size_t used = 0;
  bytes_ += static_cast<std::int64_t>(bytes.size());
  const ParseResult parsed = parser_.Feed(bytes, &used);
  if (!stream_.open()) return;
  const bool good = !parser_.head_complete() || parser_.message().status == 200;
  if (!good) return Fail(Held() ? CallFailure::kOverloaded : CallFailure::kRefused);
  if (cutter_.held() > kLongestItem) return Fail(CallFailure::kMalformed);
  if (parsed == ParseResult::kComplete) return OnEnd();
  if (parsed != ParseResult::kIncomplete) Fail(CallFailure::kMalformed);
}

// One that ends before anything was told, after it had waited, was in the queue for too long.
void ListWatch::OnEnd() {
  Fail(Held() && !answered_ && !heard_ ? CallFailure::kOverloaded : CallFailure::kStreamEnded);
}

void ListWatch::Silent() {
  const bool taken = connected_ != Time::max() && !heard_;
  if (!taken || slow_ || !owner_.slow()) return Fail(CallFailure::kHeartbeatTimeout);
  slow_ = true;
  silence_.Start(kSlowAnswer);
}

void ListWatch::Fail(CallFailure failure) {
  if (!stream_.open()) return;
  Close();
  owner_.failed(failure);
}

std::int64_t ListWatch::AgeMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - called_).count();
}

bool ListWatch::Held() const { return connected_ < Clock::now() - kHeld; }

void ListWatch::Close() {
  silence_.Stop();
  stream_.Close();
}

DiscoverySource::DiscoverySource(Loop& loop, const Platform& platform, const Config& config,
                                 std::int64_t version, Counters& counters, log::Log& log, Owner owner)
    : loop_(loop),
      platform_(platform),
      discovery_(config.discovery),
      pushed_(!config.settings.must_ask),
      counters_(counters),
      log_(log),
      owner_(std::move(owner)),
      random_(config.seed),
      version_(version),
      backoff_(config.seed, config.settings.balancers),
      unread_backoff_(kFirstUnreadBackoff),
      again_(loop,
             [this] {
               if (wanted_ && watch_ == nullptr) Ask();
             }),
      anew_(loop, [this] { AskBeside(); }) {}

void DiscoverySource::Watch(bool on) {
  if (on && !wanted_) soon_until_ = Clock::now() + kTold;
  wanted_ = on;
  if (!on) {
    Drop(watch_, "the list is not wanted any more");
    Drop(old_, "the list is not wanted any more");
    Drop(slow_, "the list is not wanted any more");
    anew_.Stop();
  } else if (watch_ == nullptr) {
    AskSoonest();
  }
}

bool DiscoverySource::PeersKeepUp() const {
  return peer_current_ != Time::min() && Clock::now() - peer_current_ < kPeerNews;
}

// The module may want to ask sooner than a refusal by discovery allows.
void DiscoverySource::AskSoonest() {
  const Time now = Clock::now();
  if (now >= not_before_) return Ask();
  if (!again_.running()) again_.Start(not_before_ - now);
}

void DiscoverySource::MoveTo(const Address& discovery) {
  if (PrintAddress(discovery) == PrintAddress(discovery_)) return;
  counters_.Add("discovery_moves");
  discovery_ = discovery;
  version_ = 0;  // another service may count its versions anew
  soon_until_ = Clock::now() + kTold;
  not_before_ = {};
  backoff_.Reset();
  Drop(slow_, "discovery has moved");
  AskBeside();
}

void DiscoverySource::AskBeside() {
  anew_.Stop();
  // A second time before the first has told anything: the watch before both is the one that knows the list.
  if (old_ == nullptr) {
    old_ = std::move(watch_);
  } else {
    Drop(watch_, "another call takes its place");
  }
  if (wanted_) Ask();
}

void DiscoverySource::Ask() {
  counters_.Add("discovery_calls");
  again_.Stop();
  // Which of the two watches an item is from shows in whether it is still the new one.
  const auto place = std::make_shared<ListWatch*>(nullptr);
  watch_ = std::make_unique<ListWatch>(
      loop_, discovery_, version_, pushed_ ? kPushedConnect : kLongestSilence,
      ListWatch::Owner{[this, place](std::string_view text) { HeardOn(*place, text); },
                       [this, place] { return WaitFor(*place); },
                       [this, place](CallFailure failure) {
                         if (*place == watch_.get()) return Failed(failure);
                         Drop(*place == slow_.get() ? slow_ : old_, Describe(failure));
                       }});
  *place = watch_.get();
}

// Whether the present call is the first that waited in turn after an outage: then the next is made at once.
bool DiscoverySource::TakeForBack() {
  if (!watch_->Held() || !std::exchange(away_, false)) return false;
  soon_until_ = Clock::now() + kTold;
  backoff_.Reset();
  return true;
}

// Another call is made beside one that is slow, as it may never be answered.
bool DiscoverySource::WaitFor(const ListWatch* call) {
  if (pushed_ || call != watch_.get() || slow_ != nullptr) return false;
  TakeForBack();
  slow_ = std::move(watch_);
  counters_.Add("discovery_broken");
  counters_.Add("discovery_slow");
  again_.Start(backoff_.NextDelay(CallFailure::kHeartbeatTimeout, PeersKeepUp()));
  return true;
}

void DiscoverySource::HeardOn(const ListWatch* call, std::string_view text) {
  if (call == slow_.get()) {
    again_.Stop();
    Drop(watch_, "an older call answers");
    watch_ = std::move(slow_);
  } else if (call == watch_.get()) {
    Drop(slow_, "a newer call answers");
  }
  TakeItem(text, call != watch_.get());
}

void DiscoverySource::TakeItem(std::string_view text, bool from_old) {
  if (!from_old) {  // it lives, and all that came before has been told
    soon_until_ = Clock::now() + kTold;
    backoff_.Reset();
  }
  if (text.empty()) return;
  const auto change = platform_.ParseServerList(text);
  if (!change) return Unreadable(from_old);
  counters_.Add("discovery_changes");
  if (!from_old && !watch_->answered()) NoteAnswer(*change);
  if (!from_old && !anew_.running()) {
    version_ = change->full ? change->version : std::max(version_, change->version);
    unread_backoff_ = kFirstUnreadBackoff;
    Drop(old_, "a newer call answers");
  }
  owner_.told(*change, change->full ? ListUpdate::kComplete : ListUpdate::kChanges);
}

void DiscoverySource::NoteAnswer(const ServerListChange& change) {
  watch_->MarkAnswered();
  const auto servers = static_cast<std::int64_t>(change.servers.size());
  const std::int64_t after = watch_->AgeMs();
  log_.Say(log::Event::kDiscoveryAnswered,
           "discovery answered a call after " + std::to_string(after) + " ms: version " +
               std::to_string(change.version) + ", " + (change.full ? "the whole list, " : "changes, ") +
               std::to_string(servers) + " servers",
           {{"version", change.version}, {"full", change.full}, {"servers", servers}, {"after_ms", after}});
}

// What it said may never be said again: discovery is asked once more for all since the last that could be
// read.
void DiscoverySource::Unreadable(bool from_old) {
  counters_.Add("discovery_unreadable");
  if (from_old || anew_.running()) return;
  anew_.Start(Jittered(unread_backoff_));
  unread_backoff_ = std::min(2 * unread_backoff_, kLongestUnreadBackoff);
}

void DiscoverySource::Failed(CallFailure failure) {
  const bool held = watch_->Held();
  const bool lived = watch_->heard();
  if (TakeForBack()) failure = CallFailure::kStreamEnded;
  Drop(watch_, Describe(failure));
  counters_.Add("discovery_broken");
  if (failure == CallFailure::kOverloaded) counters_.Add("discovery_overloaded");
  const bool soon = Clock::now() < soon_until_;
  away_ = away_ || (!soon && !held);
  Span wait = pushed_ ? Jittered(kPushedBackoff) : backoff_.NextDelay(failure, PeersKeepUp());
  if (lived && !pushed_) wait += backoff_.ReconnectJitter();
  not_before_ = Clock::now() + wait;
  if (pushed_ || soon) again_.Start(wait);
  if (!soon) owner_.failed(Describe(failure));
}

Span DiscoverySource::Jittered(Span time) {
  return time / 2 +
         std::chrono::duration_cast<Span>(time * std::uniform_real_distribution<double>(0, 1)(random_));
}

void DiscoverySource::Drop(std::unique_ptr<ListWatch>& watch, const char* why) {
  if (watch == nullptr) return;
  log_.Say(log::Event::kDiscoveryCallEnded,
           std::string("a call to discovery ended after ") + std::to_string(watch->AgeMs()) + " ms and " +
               std::to_string(watch->bytes()) + " bytes: " + why,
           {{"why", std::string(why)}, {"after_ms", watch->AgeMs()}, {"bytes", watch->bytes()}});
  watch->Close();
  loop_.Bury(std::move(watch));
}

}  // namespace umberdyke::net

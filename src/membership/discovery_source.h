// Membership from the platform's discovery service, through a long-lived HTTP watch.
//
// A change must be known here within 6 s after discovery has it and can be reached. A watch without a
// complete item or heartbeat for too long counts as broken. For 6 s after the last sign of life this source
// retries on its own with short delays; after that the decision module decides when to retry. Once a call is
// queued by discovery, which shows that it is back, the 6 s start again. Where lists are pushed, changes
// count at once, and this source keeps retrying with short delays.
#ifndef UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_
#define UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "log/log.h"
#include "membership/call_backoff.h"
#include "membership/source.h"
#include "platform/list_cutter.h"

namespace umberdyke::net {

// One call to discovery for the list and its changes, until it fails or is closed.
class ListWatch : public StreamCallbacks {
 public:
  struct Callbacks {
    std::function<void(std::string_view)> on_item;  // a complete item; empty for a heartbeat
    // The connection is up, but no complete item came within the heartbeat interval: discovery may still be
    // writing a long list. Returns whether to keep waiting for it.
    std::function<bool()> on_slow;
    std::function<void(CallFailure)> on_failure;  // at most once; the watch may be destroyed after it returns
  };
  // The call fails if it is not connected within `connect_time`.
  ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Span connect_time,
            Callbacks callbacks);
  void Close();
  // Whether discovery put the call into its queue, which shows that it is reachable even if the call fails.
  bool WasQueued() const;
  // Whole milliseconds since the call was started.
  std::int64_t AgeMs() const;
  // Bytes of the response so far, including its head.
  std::int64_t bytes() const { return bytes_; }
  // Whether a list or change has been received on it.
  bool answered() const { return answered_; }
  void MarkAnswered() { answered_ = true; }
  // Whether any complete item has been received, heartbeats included.
  bool received_any() const { return received_any_; }

 private:
  void OnConnected(bool ok) override;
  void OnData(std::string_view bytes) override;
  void OnEnd() override;
  void OnWritten(bool ok) override {
    if (!ok) Fail(CallFailure::kUnreachable);
  }
  void OnHeartbeatTimeout();
  void Fail(CallFailure failure);

  const std::string request_;
  const Callbacks callbacks_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse};
  ListCutter cutter_;
  const Time started_ = Clock::now();
  Time connected_ = Time::max();
  std::int64_t bytes_ = 0;
  bool answered_ = false;
  bool received_any_ = false;
  bool waiting_for_slow_answer_ = false;  // on_slow returned true
  Timer heartbeat_timer_;
};

class DiscoverySource : public MemberSource {
 public:
  // `version`: of the list that the sidecar starts with.
  DiscoverySource(Loop& loop, const Platform& platform, const Config& config, std::int64_t version,
                  Counters& counters, log::Log& log, Callbacks callbacks);

  void Watch(bool on) override;
  std::int64_t version() const override { return version_; }
  bool MayBeStale() const override { return watch_ == nullptr || !watch_->received_any(); }
  void OnPeerCurrent() override { peer_current_at_ = Clock::now(); }
  void Reload(const Config& next) override { ChangeAddress(next.discovery); }

 private:
  // Switches to discovery at another address and fetches the complete list there. The old watch stays open
  // until the new one delivers data.
  void ChangeAddress(const Address& discovery);
  void StartCall();
  bool PeersAreCurrent() const;
  void CallWhenAllowed();
  bool DetectRecovery();
  bool KeepSlowCall(const ListWatch* call);
  // Starts a call that is to replace the current watch, which stays open until the new call delivers data.
  void StartReplacementCall();
  void OnItem(const ListWatch* call, std::string_view text);
  void ProcessItem(std::string_view text, bool from_previous);
  void OnUnreadableItem(bool from_previous);
  void LogFirstAnswer(const ServerListChange& change);
  void OnCallFailed(CallFailure failure);
  void EndCall(std::unique_ptr<ListWatch>& watch, const char* why);
  Span Jittered(Span time);

  Loop& loop_;
  const Platform& platform_;
  Address address_;
  const bool push_mode_;
  Counters& counters_;
  log::Log& log_;
  const Callbacks callbacks_;
  std::mt19937_64 random_;
  std::int64_t version_;
  bool wanted_ = false;
  std::unique_ptr<ListWatch> watch_;
  // At the previous address, or one that sent an unreadable item; kept until a new call delivers data.
  std::unique_ptr<ListWatch> previous_;
  std::unique_ptr<ListWatch> slow_;     // a slow call, kept open beside a newer one
  Time quick_retry_until_{};            // until then this source retries failed calls on its own
  Time peer_current_at_ = Time::min();  // when a peer last reported a live watch
  Time earliest_call_{};                // no call starts sooner, even if the module requests it
  bool unavailable_ = false;            // unreachable, or refusing immediately, for some time
  CallBackoff backoff_;
  Span refetch_delay_{};  // delay of the next call after an unreadable item
  Timer retry_timer_;
  Timer refetch_timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_

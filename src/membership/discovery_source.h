// The platform's discovery: a watch over HTTP.
//
// One clock of silence: whatever discovery has to tell counts as told 6 s after it had it and could be
// reached. A watch from which nothing whole has come for longer than its beat is broken, and for those 6 s
// after the last word this source asks again by itself, soon; from then on, when to ask is the module's to
// say, until a call that is made to wait in turn shows that discovery is back: then they begin anew. Where
// lists are pushed, what is to be told counts at once, so that it goes on asking soon.
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

// One call for the list and its changes, until it fails or is not wanted any more.
class ListWatch : public StreamCallbacks {
 public:
  struct Callbacks {
    std::function<void(std::string_view)> on_item;  // whole; empty: only that the watch lives
    // Nothing whole has come for the time of a heartbeat, though the call was taken: discovery may still be
    // at work on a long list. It is waited for, if the owner says so.
    std::function<bool()> on_slow;
    std::function<void(CallFailure)> on_failure;  // once; the watch may be destroyed after this returns
  };
  // Not up after `connect_time`: broken.
  ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Span connect_time,
            Callbacks callbacks);
  void Close();
  // Discovery has let the call wait in its turn: it can be reached, even if the call fails after that.
  bool WasQueued() const;
  // Since the call was made, in whole milliseconds.
  std::int64_t AgeMs() const;
  // Of the answer so far, its head included.
  std::int64_t bytes() const { return bytes_; }
  // Whether a list or change has come on it.
  bool answered() const { return answered_; }
  void MarkAnswered() { answered_ = true; }
  // Whether anything whole has come, if only an empty line.
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
  bool waiting_for_slow_answer_ = false;  // its owner waits for it
  Timer heartbeat_timer_;
};

class DiscoverySource : public MemberSource {
 public:
  // `version` is the one of the list that the sidecar holds already.
  DiscoverySource(Loop& loop, const Platform& platform, const Config& config, std::int64_t version,
                  Counters& counters, log::Log& log, Callbacks callbacks);

  void Watch(bool on) override;
  std::int64_t version() const override { return version_; }
  bool MayBeStale() const override { return watch_ == nullptr || !watch_->received_any(); }
  void OnPeerCurrent() override { peer_current_at_ = Clock::now(); }
  void Reload(const Config& next) override { ChangeAddress(next.discovery); }

 private:
  // Discovery stands elsewhere from now on. Its list is asked for whole there; the old watch goes on until
  // the new one tells something.
  void ChangeAddress(const Address& discovery);
  void StartCall();
  bool PeersAreCurrent() const;
  void CallWhenAllowed();
  bool DetectRecovery();
  bool KeepSlowCall(const ListWatch* call);
  // Something else is to be believed from now on: the present watch counts until that tells something.
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
  std::unique_ptr<ListWatch>
      previous_;  // at the address before the last move, or one that told what can't be read
  std::unique_ptr<ListWatch> slow_;     // a call that is waited for while another is made
  Time quick_retry_until_{};            // calls that fail are made again by this source until then
  Time peer_current_at_ = Time::min();  // when a peer was last current
  Time earliest_call_{};                // no call is made sooner, whoever asks
  bool unavailable_ = false;            // out of reach, or refused at once, for long
  CallBackoff backoff_;
  Span refetch_delay_{};  // of calls for what could not be read
  Timer retry_timer_;
  Timer refetch_timer_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_

// A fake discovery service that handles calls one after another, each for a fixed time. It rejects a call
// that has waited too long, but still spends the call's time on it.
#ifndef UMBERDYKE_TESTS_NET_BUSY_DISCOVERY_H_
#define UMBERDYKE_TESTS_NET_BUSY_DISCOVERY_H_

#include <deque>
#include <string>
#include <vector>

#include "party.h"

namespace umberdyke::net {

class BusyDiscovery {
 public:
  using Span = Clock::duration;
  static constexpr Span kMaxWait = std::chrono::seconds(2);

  // `work` is the time that each call takes.
  BusyDiscovery(Loop& loop, Span work) : work_(work), party_(loop), tick_(loop, [this] { Tick(); }) {
    party_.script = [this](Party::Peer& peer) { OnCall(peer); };
    tick_.Start(kTick);
  }
  std::string address() const { return party_.address(); }
  int calls() const { return party_.requests; }
  int refused() const { return refused_; }

  // Closes all watches. Until Up(), calls wait and are then rejected.
  void Down() {
    up_ = false;
    for (Party::Peer* watch : watches_) watch->stream.Close();
    watches_.clear();
  }
  void Up() { up_ = true; }
  // Adds a change to the list and sends it to all watches. `line` is one protocol object without its newline.
  void Change(const std::string& line) {
    changes_.push_back(line);
    for (Party::Peer* watch : watches_) watch->Reply(Chunk(line + "\n"));
  }

 private:
  struct Call {
    Party::Peer* peer;  // null: rejected, but its work is still to be done
    Time arrived;
    Span work_left;
  };
  static constexpr Span kTick = std::chrono::milliseconds(10);
  static constexpr Span kHeartbeat = std::chrono::seconds(1);

  static std::string Chunk(const std::string& text) { return WriteBodyPart(text, {std::nullopt, true}); }

  void OnCall(Party::Peer& peer) { queue_.push_back({&peer, Clock::now(), work_}); }

  void Tick() {
    const Time now = Clock::now();
    for (Call& call : queue_) {
      if (call.peer == nullptr || now - call.arrived < kMaxWait) continue;
      call.peer->Answer(503, "");
      call.peer = nullptr;
      ++refused_;
    }
    if (up_) {
      Work(now - std::exchange(last_work_, now));
    } else {
      last_work_ = now;
      while (!queue_.empty() && queue_.front().peer == nullptr) queue_.pop_front();
    }
    if (now - last_heartbeat_ >= kHeartbeat) {
      last_heartbeat_ = now;
      for (Party::Peer* watch : watches_) watch->Reply(Chunk("\n"));
    }
    tick_.Start(kTick);
  }

  void Work(Span time) {
    while (time > Span::zero() && !queue_.empty()) {
      Call& call = queue_.front();
      const Span part = std::min(time, call.work_left);
      call.work_left -= part;
      time -= part;
      if (call.work_left > Span::zero()) return;
      if (call.peer != nullptr && !call.peer->ended) Serve(*call.peer);
      queue_.pop_front();
    }
  }

  void Serve(Party::Peer& peer) {
    std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& line : changes_) all += Chunk(line + "\n");
    peer.Reply(all + Chunk("\n"));
    watches_.push_back(&peer);
  }

  const Span work_;
  Party party_;
  bool up_ = true;
  int refused_ = 0;
  Time last_work_ = Clock::now();
  Time last_heartbeat_ = Clock::now();
  std::deque<Call> queue_;
  std::vector<Party::Peer*> watches_;
  std::vector<std::string> changes_;
  Timer tick_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_BUSY_DISCOVERY_H_

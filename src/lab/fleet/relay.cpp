#include "lab/fleet/relay.h"

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <utility>

namespace umberdyke::lab {

using namespace std::chrono_literals;
using net::Clock;
using net::Span;

namespace {

constexpr size_t kPiece = 4096;  // of a throttled direction
constexpr Span kPace = 5ms;
constexpr size_t kFirst = 64;  // bytes that tell what a connection is for

}  // namespace

// Two connections, and what is on its way between them.
class Relay::Pair {
 public:
  explicit Pair(Relay& relay)
      : relay_(relay), ends_{{*this, Way::kThere}, {*this, Way::kBack}}, timer_(relay.loop_, [this] {
          Flush();
        }) {}

  bool Start(net::Listener& listener, const net::Address& target) {
    if (!ends_[0].stream.Accept(listener)) return false;
    ends_[0].stream.Read();
    return ends_[1].stream.Connect(target);
  }
  void Close() { Close(false); }
  void Close(bool reset) {
    timer_.Stop();
    for (End& end : ends_) {
      if (!end.stream.open()) continue;
      if (reset && end.connected) {
        end.stream.Reset();
      } else {
        end.stream.Close();
      }
    }
  }
  bool Held(Way way) const {
    const Faults& faults = relay_.ways_[static_cast<int>(way)];
    return faults.held && first_.starts_with(faults.only);
  }
  void Flush() {
    for (End& end : ends_) end.Flush();
    if (!ends_[0].stream.open() || !ends_[1].stream.open()) return;
    if (ends_[0].over() && ends_[1].over()) return relay_.Gone(this);
    const bool waits =
        std::any_of(std::begin(ends_), std::end(ends_), [](const End& e) { return e.waits(); });
    if (waits) timer_.Start(kPace);
  }

 private:
  // The side that bytes of one direction come from.
  class End : public net::StreamCallbacks {
   public:
    End(Pair& pair, Way way) : pair_(pair), way_(way), stream(pair.relay_.loop_, this) {
      connected = way == Way::kThere;
    }
    End(End&& other) = delete;
    void OnConnected(bool ok) override {
      if (!ok) return pair_.relay_.Gone(&pair_);
      connected = true;
      stream.Read();
      pair_.Flush();
    }
    void OnData(std::string_view bytes) override {
      if (way_ == Way::kThere && pair_.relay_.seen) pair_.relay_.seen(bytes);
      if (way_ == Way::kThere && pair_.first_.size() < kFirst) pair_.first_ += bytes.substr(0, kFirst);
      if (pair_.Held(way_)) pair_.relay_.bytes_held_ += bytes.size();
      queue_.emplace_back(Clock::now(), std::string(bytes));
      pair_.Flush();
    }
    // The sender has gone; what it sent before arrives all the same.
    void OnEnd() override {
      ended_ = true;
      stream.Pause();
      pair_.Flush();
    }
    void OnWritten(bool ok) override {
      if (!ok) pair_.relay_.Gone(&pair_);
    }
    void Flush() {
      End& to = pair_.ends_[way_ == Way::kThere ? 1 : 0];
      const Faults faults = pair_.relay_.faults(way_);
      if (pair_.Held(way_) || !to.connected || !to.stream.open()) return;
      const net::Time now = Clock::now();
      if (faults.bytes_per_s > 0) {
        room_ = std::min<double>(kPiece, room_ + std::chrono::duration<double>(now - filled_).count() *
                                                     static_cast<double>(faults.bytes_per_s));
      }
      filled_ = now;
      while (!queue_.empty() && now - queue_.front().first >= faults.delay) {
        std::string& bytes = queue_.front().second;
        if (faults.bytes_per_s > 0) {
          const auto size = std::min(bytes.size(), static_cast<size_t>(room_));
          if (size == 0) return;
          room_ -= static_cast<double>(size);
          to.stream.Write(bytes.substr(0, size));
          bytes.erase(0, size);
          if (!bytes.empty()) return;
        } else {
          to.stream.Write(std::move(bytes));
        }
        queue_.pop_front();
      }
      if (ended_ && queue_.empty() && !std::exchange(told_end_, true)) to.stream.EndSending();
    }
    bool waits() const { return !queue_.empty() || (ended_ && !told_end_); }
    bool over() const { return ended_ && told_end_; }

   private:
    Pair& pair_;
    const Way way_;
    std::deque<std::pair<net::Time, std::string>> queue_;
    bool ended_ = false, told_end_ = false;
    double room_ = 0;
    net::Time filled_ = Clock::now();

   public:
    net::Stream stream;
    bool connected = false;
  };

  Relay& relay_;
  std::string first_;  // bytes that came from whoever connected
  End ends_[2];
  net::Timer timer_;
};

Relay::Relay(net::Loop& loop, const std::string& host, std::string target)
    : loop_(loop), target_(std::move(target)), listener_(loop, [this] { Come(); }) {
  const std::string error = listener_.Listen(*net::ParseAddress(host + ":0"));
  if (!error.empty()) throw std::runtime_error("a relay cannot listen: " + error);
}

Relay::~Relay() {
  for (const auto& pair : pairs_) pair->Close(false);
}

void Relay::Come() {
  auto pair = std::make_unique<Pair>(*this);
  Pair* const raw = pair.get();
  pairs_.push_back(std::move(pair));
  if (!raw->Start(listener_, *net::ParseAddress(target_)) || refused_) Gone(raw);
}

void Relay::Gone(Pair* pair) {
  const auto it = std::find_if(pairs_.begin(), pairs_.end(), [&](const auto& p) { return p.get() == pair; });
  if (it == pairs_.end()) return;
  std::unique_ptr<Pair> gone = std::move(*it);
  pairs_.erase(it);
  loop_.DestroyLater(std::move(gone));
}

void Relay::Set(Way way, const Faults& faults) {
  ways_[static_cast<int>(way)] = faults;
  std::vector<Pair*> all;
  for (const auto& pair : pairs_) all.push_back(pair.get());
  for (Pair* pair : all) pair->Flush();
}

void Relay::Refuse(bool on) {
  refused_ = on;
  if (on) Reset();
}

void Relay::Reset() {
  std::list<std::unique_ptr<Pair>> all;
  all.swap(pairs_);
  for (auto& pair : all) {
    pair->Close(true);
    loop_.DestroyLater(std::move(pair));
  }
}

void Relay::Heal() {
  refused_ = false;
  Set(Way::kThere, {});
  Set(Way::kBack, {});
}

}  // namespace umberdyke::lab

// The inner parts of the stand-in ensemble: its members, and a client's connection to one of them. For its
// own sources alone.
#ifndef UMBERDYKE_LAB_COORDINATOR_CONNECTION_H_
#define UMBERDYKE_LAB_COORDINATOR_CONNECTION_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "lab/coordinator/ensemble.h"

namespace umberdyke::lab {

using net::Clock;
using net::Span;

inline constexpr size_t kLargestPacket = size_t{1} << 20;  // as real services have it

struct Ensemble::Member {
  Member(net::Loop& loop, std::function<void()> come) : listener(loop, std::move(come)) {}
  net::Listener listener;
  MemberFaults faults;
  std::optional<Tree> stale;  // what a lagging member serves
  // What a member that lags by a time has yet to hear: the state after each commit, and notices.
  std::deque<std::pair<net::Time, std::shared_ptr<const Tree>>> coming;
  struct Notice {
    net::Time when;
    Connection* connection;
    ChangeKind kind;
    std::string path;
  };
  std::deque<Notice> notices;
  std::vector<std::unique_ptr<Connection>> connections;
};

// One client: its packets in order, and its answers in order however they are delayed.
class Ensemble::Connection : public net::StreamCallbacks {
 public:
  Connection(Ensemble& owner, size_t member)
      : owner_(owner), member(member), stream(owner.loop_, this), timer_(owner.loop_, [this] { Flush(); }) {}

  void OnData(std::string_view bytes) override {
    if (owner_.members_[member]->faults.silent) return;  // read and thrown away: the client sees silence
    buffer_ += bytes;
    while (stream.open() && buffer_.size() >= 4) {
      const auto length = static_cast<size_t>(static_cast<std::uint32_t>(jute::Reader(buffer_).Int()));
      if (length > kLargestPacket) return Drop();
      if (buffer_.size() < 4 + length) return;
      const std::string packet = buffer_.substr(4, length);
      buffer_.erase(0, 4 + length);
      owner_.Take(*this, packet);
    }
  }
  void OnEnd() override { Drop(); }
  void OnWritten(bool ok) override {
    if (!ok) Drop();
  }

  void Send(const jute::Writer& message) {
    MemberFaults& faults = owner_.members_[member]->faults;
    if (!stream.open() || faults.silent) return;
    std::string bytes = message.Framed();
    if (faults.garbage) {
      bytes = std::string("\x00\x00\x00\x08garbage!", 12);
      reads.clear();
    }
    owner_.count_.bytes_out += bytes.size();
    Span wait = faults.delay;
    if (faults.jitter.count() > 0) {
      owner_.random_ = owner_.random_ * 6364136223846793005ULL + 1442695040888963407ULL;
      wait += Span(
          static_cast<Span::rep>((owner_.random_ >> 33) % static_cast<std::uint64_t>(faults.jitter.count())));
    }
    if (wait.count() == 0 && waiting_.empty()) return Write(std::move(bytes));
    const net::Time due =
        std::max(Clock::now() + wait, waiting_.empty() ? net::Time() : waiting_.back().first);
    waiting_.emplace_back(due, std::move(bytes));
    if (waiting_.size() == 1) timer_.Start(wait);
  }
  void Drop() {
    if (!stream.open()) return;
    Close();
    owner_.Gone(this);
  }
  void Close() {
    timer_.Stop();
    stream.Close();
  }

 private:
  void Write(std::string bytes) {
    MemberFaults& faults = owner_.members_[member]->faults;
    stream.Write(std::move(bytes));
    for (Read& read : reads) {
      if (read.sent == net::Time()) read.sent = Clock::now();
    }
    if (!faults.half_close) return;
    faults.half_close = false;
    stream.EndSending();
  }
  void Flush() {
    while (!waiting_.empty() && waiting_.front().first <= Clock::now()) {
      std::string bytes = std::move(waiting_.front().second);
      waiting_.pop_front();
      Write(std::move(bytes));
    }
    if (!waiting_.empty())
      timer_.Start(std::max<Span>(std::chrono::milliseconds(1), waiting_.front().first - Clock::now()));
  }

  Ensemble& owner_;

 public:
  const size_t member;
  std::int64_t session = 0;  // 0 until it has connected
  struct Read {
    std::string path, data;
    net::Time sent;  // none yet while its answer waits
  };
  std::deque<Read> reads;  // told to nobody yet
  net::Stream stream;

 private:
  std::string buffer_;
  std::deque<std::pair<net::Time, std::string>> waiting_;
  net::Timer timer_;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_COORDINATOR_CONNECTION_H_

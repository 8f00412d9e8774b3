// Limits the memory that buffered messages hold together: of requests, what has arrived of unfinished ones,
// pipelined input, and complete ones until they are answered; of responses, what has arrived of unfinished
// ones. Does no I/O.
//
// Streaming bodies have a limit of their own (StreamingBufferLimit).
#ifndef UMBERDYKE_PASSING_MESSAGE_BUFFER_LIMIT_H_
#define UMBERDYKE_PASSING_MESSAGE_BUFFER_LIMIT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace umberdyke::net {

class MessageBufferLimit {
 public:
  // `memory`: bytes that the process may use; the messages may hold one part in `divisor` of them.
  MessageBufferLimit(std::int64_t memory, size_t divisor) : limit_(static_cast<size_t>(memory) / divisor) {}

  // One connection holds `after` bytes instead of `before`.
  void Update(size_t before, size_t after) {
    held_ += after - before;
    peak_ = std::max(peak_, held_);
  }
  size_t held() const { return held_; }
  size_t peak() const { return peak_; }  // the most that was held at once
  size_t limit() const { return shared_ ? limit_ / 2 : limit_; }
  bool exceeded() const { return held_ > limit(); }
  // During a handover two processes of one sidecar share the memory, half each.
  void SetShared(bool shared) { shared_ = shared; }

 private:
  const size_t limit_;
  size_t held_ = 0;
  size_t peak_ = 0;
  bool shared_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PASSING_MESSAGE_BUFFER_LIMIT_H_

// Limits the memory used to buffer streaming bodies. Does no I/O.
//
// A transfer is one streaming body in one direction. Each has a window: reading pauses while that many bytes
// wait to be written. All windows together use at most a quarter of the memory, except that no window is
// smaller than kMinWindow.
#ifndef UMBERDYKE_PASSING_ROOM_H_
#define UMBERDYKE_PASSING_ROOM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace umberdyke::net {

class StreamingBufferLimit {
 public:
  static constexpr size_t kMaxWindow = 64 * 1024;
  static constexpr size_t kMinWindow = 8 * 1024;

  explicit StreamingBufferLimit(std::int64_t memory) : memory_(static_cast<size_t>(memory)) {}

  void BeginTransfer() { ++transfers_; }
  void EndTransfer() { transfers_ -= transfers_ > 0 ? 1 : 0; }
  size_t transfers() const { return transfers_; }
  // During a handover two processes of one sidecar share the memory, half each.
  void SetShared(bool shared) { shared_ = shared; }
  size_t window() const {
    const size_t total = memory_ / (shared_ ? 8 : 4);
    return std::clamp(total / std::max<size_t>(1, transfers_), kMinWindow, kMaxWindow);
  }

 private:
  const size_t memory_;
  size_t transfers_ = 0;
  bool shared_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PASSING_ROOM_H_

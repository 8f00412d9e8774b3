// Limits the memory used to buffer streaming bodies. Does no I/O.
//
// A transfer is one streaming body in one direction. All transfers share a quarter of the memory by dynamic
// thresholds: a transfer may hold as much as is free at the moment, so that a few may hold much, and many
// hold about the same each. What a transfer holds already is kept when others begin.
#ifndef UMBERDYKE_PASSING_STREAMING_BUFFER_LIMIT_H_
#define UMBERDYKE_PASSING_STREAMING_BUFFER_LIMIT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace umberdyke::net {

class StreamingBufferLimit {
 public:
  static constexpr size_t kMaxWindow = 64 * 1024;           // of bytes that wait to be written
  static constexpr size_t kMaxReadAhead = 4 * 1024 * 1024;  // of a request body that its server does not read
  static constexpr size_t kMinWindow = 4 * 1024;
  static constexpr size_t kMaxRead = 16 * 1024;
  static constexpr size_t kMinRead = 2 * 1024;

  explicit StreamingBufferLimit(std::int64_t memory) : memory_(static_cast<size_t>(memory)) {}

  void BeginTransfer() { ++transfers_; }
  void EndTransfer() { transfers_ -= transfers_ > 0 ? 1 : 0; }
  size_t transfers() const { return transfers_; }
  // One buffer holds `after` bytes instead of `before`.
  void Update(size_t before, size_t after) {
    held_ += after - before;
    peak_ = std::max(peak_, held_);
  }
  size_t held() const { return held_; }
  size_t peak() const { return peak_; }  // the most that was held at once
  // During a handover two processes of one sidecar share the memory, half each.
  void SetShared(bool shared) { shared_ = shared; }
  // Reading for a transfer pauses while so many of its bytes wait to be written.
  size_t window() const { return std::clamp(free(), kMinWindow, kMaxWindow); }
  // The same for the request body that has been read and not yet been passed on.
  size_t read_ahead() const { return std::clamp(free(), kMinWindow, kMaxReadAhead); }
  // The most that one read for a transfer may bring.
  size_t read_size() const { return std::clamp(free(), kMinRead, kMaxRead); }

 private:
  size_t free() const {
    const size_t limit = memory_ / (shared_ ? 8 : 4);
    return limit > held_ ? limit - held_ : 0;
  }

  const size_t memory_;
  size_t transfers_ = 0;
  size_t held_ = 0;
  size_t peak_ = 0;
  bool shared_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PASSING_STREAMING_BUFFER_LIMIT_H_

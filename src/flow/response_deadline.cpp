#include "flow/response_deadline.h"

#include <algorithm>

#include "http1/http.h"

namespace umberdyke::net {

using namespace std::chrono_literals;

void ResponseDeadline::Begin(Time client_deadline, std::optional<std::uint64_t> announced) {
  client_deadline_ = client_deadline;
  announced_ = announced.value_or(0);
}

void ResponseDeadline::OnBody(Time now, size_t bytes) {
  if (bytes == 0) return;
  if (received_ == 0) first_body_ = now;
  last_body_ = now;
  received_ += bytes;
}

void ResponseDeadline::Pause(Time now) {
  if (!paused_at_) paused_at_ = now;
}

void ResponseDeadline::Resume(Time now) {
  if (!paused_at_) return;
  const Span paused = now - *paused_at_;
  paused_at_.reset();
  client_deadline_ += paused;
  first_body_ += paused;
  last_body_ += paused;
}

bool ResponseDeadline::is_long() const {
  return announced_ > kMaxBufferedBody || received_ > kMaxBufferedBody;
}

Time ResponseDeadline::end() const {
  if (paused_at_) return Time::max();
  const Time in_time = client_deadline_ + kLateResponseGrace;
  if (!is_long()) return in_time;
  const Time at_least_rate = first_body_ + received_ * Span(1s) / kMinBodyRate;
  return std::max(in_time, std::min(at_least_rate, last_body_ + kMaxSilence));
}

}  // namespace umberdyke::net

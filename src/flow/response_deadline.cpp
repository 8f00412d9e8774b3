#include "flow/response_deadline.h"

#include <utility>

#include "http1/http.h"

namespace umberdyke::net {

void ResponseDeadline::Begin(Time client_deadline, std::optional<std::uint64_t> announced) {
  client_deadline_ = client_deadline;
  announced_ = announced.value_or(0);
}

void ResponseDeadline::OnBody(size_t bytes) { received_ += bytes; }

void ResponseDeadline::Pause(Time now) {
  if (!paused_at_) paused_at_ = now;
}

void ResponseDeadline::Resume(Time now) {
  if (!paused_at_) return;
  client_deadline_ += now - *paused_at_;
  paused_at_.reset();
}

bool ResponseDeadline::is_long() const {
  return announced_ > kMaxBufferedBody || received_ > kMaxBufferedBody;
}

Time ResponseDeadline::end() const {
  if (paused_at_ || is_long()) return Time::max();
  return client_deadline_ + kLateResponseGrace;
}

}  // namespace umberdyke::net

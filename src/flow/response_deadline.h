// When a response that is being passed on to its client has to be over. No I/O and no clock.
//
// The client's time counts, and not that of the attempt: a response whose first bytes have been passed on
// can't be tried elsewhere. See docs/response-end.md for the sentences of the protocol that this follows.
#ifndef UMBERDYKE_FLOW_RESPONSE_DEADLINE_H_
#define UMBERDYKE_FLOW_RESPONSE_DEADLINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "loop/loop.h"

namespace umberdyke::net {

class ResponseDeadline {
 public:
  // A request is lost if it has no end half a second after its client's time; the process may be held up.
  static constexpr Span kLateResponseGrace = std::chrono::milliseconds(100);
  // A long response goes on after that while its body makes progress: it comes at this rate on average, in
  // bytes per second, and has not been silent for longer than this.
  static constexpr std::uint64_t kMinBodyRate = 4 * 1024;
  static constexpr Span kMaxSilence = std::chrono::seconds(10);

  // The head has been passed on. `client_deadline`: when the client gives up; `announced`: the length of the
  // body in bytes, if the head tells it.
  void Begin(Time client_deadline, std::optional<std::uint64_t> announced);
  // So many bytes of the body have arrived.
  void OnBody(Time now, size_t bytes);
  // The response is not read while its client lags. That time doesn't count.
  void Pause(Time now);
  void Resume(Time now);

  // Whether it is longer than kMaxBufferedBody, by what has arrived of it or by what it announces.
  bool is_long() const;
  // Time::max() while the response is not read.
  Time end() const;

 private:
  Time client_deadline_{};
  Time first_body_{}, last_body_{};
  std::uint64_t announced_ = 0;
  std::uint64_t received_ = 0;
  std::optional<Time> paused_at_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_RESPONSE_DEADLINE_H_

// Responses of a soak's servers that stop, or go on in drops, at any of their bytes and in any framing.
#ifndef UMBERDYKE_TESTS_SOAK_BROKEN_RESPONSES_H_
#define UMBERDYKE_TESTS_SOAK_BROKEN_RESPONSES_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "flow/response_deadline.h"
#include "http1/http.h"
#include "net/paced_peers.h"

namespace umberdyke::net {

class BrokenResponses {
 public:
  BrokenResponses(Loop& loop, unsigned seed) : loop_(loop), random_(seed) {}

  // Begins a response whose body starts with `id`.
  void Serve(PacedServer::Peer& peer, const std::string& id) {
    const size_t length =
        static_cast<size_t>(Between(0, 1) == 0 ? Between(100, 60'000) : Between(70, 200) * 1000);
    const int framing_kind = Between(0, 2);
    Framing framing;
    if (framing_kind == 0) framing.content_length = length;
    if (framing_kind == 1) framing.chunked = true;
    std::string body = id + std::string(length, 'b');
    body.resize(static_cast<size_t>(Between(0, static_cast<int>(length) - 1)));
    peer.Write(WriteResponseHead(200, {}, framing, framing_kind != 2));
    if (!body.empty()) peer.Write(WriteBodyPart(body, framing));
    const size_t left = length - body.size();
    if (Between(0, 1) == 0) Drip(peer, framing, left);
  }

  // Whether a response of which a client has seen that much may go on after its client's time.
  static bool MayGoOn(const PacedClient& client) {
    const size_t announced = client.AnnouncedLength();
    const bool is_long = client.received > kMaxBufferedBody || announced > kMaxBufferedBody;
    return is_long && client.received > ResponseDeadline::kMinBodyRate;
  }

 private:
  static constexpr size_t kDrop = 64;
  static constexpr Span kDropInterval = std::chrono::milliseconds(300);

  int Between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
  // Never comes to its end.
  void Drip(PacedServer::Peer& peer, const Framing& framing, size_t left) {
    timers_.push_back(std::make_unique<Timer>(loop_, [this, &peer, framing, left] {
      if (!peer.stream.open() || left <= kDrop) return;
      peer.Write(WriteBodyPart(std::string(kDrop, 'd'), framing));
      Drip(peer, framing, framing.content_length ? left - kDrop : left);
    }));
    timers_.back()->Start(kDropInterval);
  }

  Loop& loop_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_SOAK_BROKEN_RESPONSES_H_

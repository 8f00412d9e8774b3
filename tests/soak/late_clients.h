// Clients of a soak that rest on open connections, and ask for long responses once the last process has been
// told to end.
#ifndef UMBERDYKE_TESTS_SOAK_LATE_CLIENTS_H_
#define UMBERDYKE_TESTS_SOAK_LATE_CLIENTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/paced_peers.h"

namespace umberdyke::net {

class LateClients {
 public:
  static constexpr size_t kPiece = 128 * 1024;
  static constexpr int kPieces = 16;
  static constexpr Span kPieceInterval = std::chrono::milliseconds(250);

  LateClients(Loop& loop, const std::string& address, int count) : loop_(loop) {
    for (int i = 0; i < count; ++i) {
      clients_.push_back({std::make_unique<Client>(loop_, *ParseAddress(address)), {}, {}});
      clients_.back().connection->Send(Look("4000", "early" + std::to_string(i)));
    }
  }

  static bool IsLate(const std::string& id) { return id.starts_with("late"); }
  // Serves a request of theirs for longer than a process lives after SIGTERM.
  void Serve(PacedServer::Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kPiece) + "\r\n\r\n");
    for (int i = 0; i < kPieces; ++i)
      After(i * kPieceInterval, [&peer] { peer.Write(std::string(kPiece, 'l')); });
  }
  // Each asks at a time of its own, the first at once and the last `within` from now.
  void AskWithin(Span within) {
    for (size_t i = 0; i < clients_.size(); ++i) {
      After(within * static_cast<int>(i) / static_cast<int>(clients_.size()),
            [this, i] { Ask(clients_[i], i); });
    }
  }
  // After the kill: reports each request that ran, and was sent from `first` to `last`, without an answer.
  void Judge(Time first, Time last, const std::function<bool(const std::string& id)>& has_run,
             const std::function<void(const std::string& what)>& broken) const {
    for (const LateClient& one : clients_) {
      const bool counts = one.sent_at && *one.sent_at > first && *one.sent_at < last && has_run(one.id);
      if (counts && one.connection->answers.size() < 2) broken("no whole answer before the kill: " + one.id);
    }
  }

 private:
  struct LateClient {
    std::unique_ptr<Client> connection;
    std::string id;
    std::optional<Time> sent_at;
  };
  void Ask(LateClient& one, size_t number) {
    if (one.connection->ended || !one.connection->stream.open() || one.connection->answers.size() != 1)
      return;
    one.id = "late" + std::to_string(number);
    one.sent_at = Clock::now();
    one.connection->Send(Look("4000", one.id));
  }
  void After(Span delay, std::function<void()> task) {
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(task)));
    timers_.back()->Start(delay);
  }

  Loop& loop_;
  std::vector<LateClient> clients_;
  std::vector<std::unique_ptr<Timer>> timers_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_SOAK_LATE_CLIENTS_H_

// Peers that keep a pace of their own: servers that read or write slowly, and clients that write slowly or
// never read. They share the loop of the test.
#ifndef UMBERDYKE_TESTS_NET_PACED_PEERS_H_
#define UMBERDYKE_TESTS_NET_PACED_PEERS_H_

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/site.h"

namespace umberdyke::net {

constexpr size_t kNoLimit = std::numeric_limits<size_t>::max();

// A server that reads requests of any length at a given pace. `on_request` is called with each complete one.
class PacedServer {
 public:
  class Peer : public StreamCallbacks {
   public:
    Peer(Loop& loop, PacedServer& server)
        : stream(loop, this), server_(server), resume_(loop, [this] {
            if (stream.open()) stream.Read();
          }) {
      parser_.StreamBodyTo([this](std::string_view piece) { body_bytes += piece.size(); });
    }
    void OnData(std::string_view bytes) override {
      read_ += bytes.size();
      if (read_ >= server_.stop_after) {
        stream.Pause();
      } else if (server_.bytes_per_second > 0) {
        stream.Pause();
        resume_.Start(std::chrono::duration_cast<Span>(
            std::chrono::duration<double>(static_cast<double>(bytes.size()) / server_.bytes_per_second)));
      }
      while (!bytes.empty() && stream.open()) {
        size_t used = 0;
        const ParseResult parsed = parser_.Feed(bytes, &used);
        bytes.remove_prefix(used);
        if (parsed != ParseResult::kComplete) return;
        request = parser_.Take();
        ++server_.requests;
        if (server_.on_request) server_.on_request(*this);
        body_bytes = 0;
      }
    }
    void OnEnd() override { stream.Close(); }
    void Write(const std::string& bytes) {
      if (stream.open()) stream.Write(bytes);
    }
    Stream stream;
    Message request;
    size_t body_bytes = 0;

   private:
    PacedServer& server_;
    HttpParser parser_{HttpParser::Kind::kRequest};
    size_t read_ = 0;
    Timer resume_;
  };

  explicit PacedServer(Loop& loop) : loop_(loop), listener_(loop, [this] { OnConnection(); }) {
    listener_.Listen(*ParseAddress("127.0.0.1:0"));
    const int small = 4 * 1024;  // what the kernel reads ahead of the server
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  }
  std::string address() const { return PrintAddress(listener_.address()); }

  double bytes_per_second = 0;   // 0: reads at once
  size_t stop_after = kNoLimit;  // stops to read a connection after so many bytes
  std::function<void(Peer&)> on_request;
  std::vector<std::unique_ptr<Peer>> peers;
  int requests = 0;

 private:
  void OnConnection() {
    peers.push_back(std::make_unique<Peer>(loop_, *this));
    if (peers.back()->stream.Accept(listener_)) peers.back()->stream.Read();
  }
  Loop& loop_;
  Listener listener_;
};

// A client that writes one request at a given pace and records when its last byte was written, and when the
// first byte of the answer came.
class PacedClient : public StreamCallbacks {
 public:
  PacedClient(Loop& loop, const Address& to, std::string bytes, double bytes_per_second)
      : stream(loop, this),
        bytes_(std::move(bytes)),
        rate_(bytes_per_second),
        next_(loop, [this] { WriteNext(); }) {
    stream.Connect(to);
  }
  void OnConnected(bool ok) override {
    if (!ok) return;
    if (reads) stream.Read();
    WriteNext();
  }
  void OnData(std::string_view bytes) override {
    if (!first_byte_at) first_byte_at = Clock::now();
    received += bytes.size();
    last_byte_at = Clock::now();
    if (kept.size() < kKeptBytes) kept.append(bytes.substr(0, kKeptBytes));
    tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), kTailBytes)));
    tail.erase(0, tail.size() - std::min(tail.size(), kTailBytes));
  }
  void OnWritten(bool) override { NoteWritten(); }
  void OnEnd() override {
    ended_at = Clock::now();
    closed_cleanly = stream.closed_cleanly();
  }
  bool IsChunked() const { return kept.find("Transfer-Encoding: chunked") != std::string::npos; }
  // The length that the response's head tells; 0 if it tells none.
  size_t AnnouncedLength() const {
    constexpr std::string_view kName = "Content-Length: ";
    const size_t at = kept.find(kName);
    return at == std::string::npos ? 0 : std::strtoull(kept.c_str() + at + kName.size(), nullptr, 10);
  }
  // Whether a response with a length or in chunks has come to its end.
  bool IsWhole() const {
    if (IsChunked()) return HasLastChunk();
    const size_t head = kept.find("\r\n\r\n");
    return head != std::string::npos && received >= head + 4 + AnnouncedLength();
  }
  // Whether a chunked response has come to its end.
  bool HasLastChunk() const { return tail.ends_with("0\r\n\r\n"); }
  int status() const { return kept.size() > 12 ? std::atoi(kept.c_str() + 9) : 0; }

  Stream stream;
  bool reads = true;
  std::optional<Time> written_at, first_byte_at, last_byte_at, ended_at;
  size_t received = 0;
  std::string kept;             // the beginning of what was received
  std::string tail;             // its end
  bool closed_cleanly = false;  // not reset

 private:
  static constexpr size_t kPiece = 16 * 1024;
  static constexpr size_t kKeptBytes = 1024;
  static constexpr size_t kTailBytes = 8;
  void NoteWritten() {
    if (at_ >= bytes_.size() && stream.unwritten() == 0 && !written_at) written_at = Clock::now();
  }
  void WriteNext() {
    const size_t piece = rate_ > 0 ? kPiece : bytes_.size();
    if (!stream.open() || at_ >= bytes_.size()) return;
    const std::string part = bytes_.substr(at_, piece);
    at_ += part.size();
    stream.Write(part);
    NoteWritten();
    if (at_ < bytes_.size()) {
      next_.Start(std::chrono::duration_cast<Span>(
          std::chrono::duration<double>(static_cast<double>(part.size()) / rate_)));
    }
  }
  const std::string bytes_;
  const double rate_;
  size_t at_ = 0;
  Timer next_;
};

// A request with a body of `length` bytes, of which `sent` are there.
inline std::string LongRequest(const std::string& id, size_t length, int timeout_ms, size_t sent = kNoLimit,
                               const std::string& request_class = "hand") {
  return "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + request_class +
         "\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nIdempotency-Key: " + id + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(std::min(length, sent), 'b');
}

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_PACED_PEERS_H_

// A scripted HTTP server on a loopback port, used by the toy server and as the tests' servers and discovery.
#ifndef UMBERDYKE_EXAMPLES_PARTY_H_
#define UMBERDYKE_EXAMPLES_PARTY_H_

#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http1/http.h"
#include "loop/loop.h"

namespace umberdyke::net {

// Handles one message per connection at a time and passes it to the script, which may answer at any later
// time.
class Party {
 public:
  class Peer : public StreamCallbacks {
   public:
    Peer(Loop& loop, Party& party) : party_(party), stream(loop, this) {}
    void OnData(std::string_view bytes) override {
      while (!bytes.empty() && stream.open()) {
        size_t used = 0;
        const ParseResult parsed = parser_.Feed(bytes, &used);
        bytes.remove_prefix(used);
        if (parsed != ParseResult::kComplete) return;
        ++party_.requests;
        last = parser_.Take();
        if (party_.script) party_.script(*this);
      }
    }
    void OnEnd() override {
      ended = true;
      stream.Close();
    }
    void Reply(const std::string& bytes) {
      if (stream.open()) stream.Write(bytes);
    }
    void Answer(int status, const std::string& body, const std::vector<Header>& headers = {}) {
      Reply(WriteResponse(status, headers, body, true));
    }
    Message last;
    bool ended = false;

   private:
    Party& party_;
    HttpParser parser_{HttpParser::Kind::kRequest};

   public:
    Stream stream;
  };

  explicit Party(Loop& loop, const std::string& address = "127.0.0.1:0")
      : loop_(loop), listener_(loop, [this] { Come(); }) {
    error = listener_.Listen(*ParseAddress(address));
  }
  std::string error;  // empty, or the reason why it does not listen
  std::string address() const { return PrintAddress(listener_.address()); }
  // New connections are not read until their streams are told to read, and their receive buffers are small.
  void Hold() {
    holds_ = true;
    const int little = 2048;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
  }
  std::function<void(Peer&)> script;
  std::function<void(Peer&)> on_accept;  // may be empty
  std::vector<std::unique_ptr<Peer>> peers;
  int requests = 0;

 private:
  void Come() {
    peers.push_back(std::make_unique<Peer>(loop_, *this));
    peers.back()->stream.Accept(listener_);
    if (!holds_) peers.back()->stream.Read();
    if (on_accept) on_accept(*peers.back());
  }
  Loop& loop_;
  Listener listener_;
  bool holds_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_EXAMPLES_PARTY_H_

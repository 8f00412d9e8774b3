// A client's connection to the sidecar: a request at a time, each answer counted.
#ifndef UMBERDYKE_LAB_MEMBERSHIP_CALLER_H_
#define UMBERDYKE_LAB_MEMBERSHIP_CALLER_H_

#include <functional>
#include <string>
#include <utility>

#include "http1/http.h"
#include "loop/loop.h"

namespace umberdyke::lab {

// One connection of the clients: a request at a time.
class Caller : public net::StreamCallbacks {
 public:
  using Done = std::function<void(const net::Message& answer)>;  // status 0: it ended without an answer
  Caller(net::Loop& loop, const net::Address& to) : stream(loop, this) { broken_ = !stream.Connect(to); }
  void Ask(const std::string& request, Done done) {
    done_ = std::move(done);
    asking = true;
    if (up_) {
      stream.Write(request);
    } else {
      early_ = request;
    }
  }
  void OnConnected(bool ok) override {
    if (!ok) return OnEnd();
    up_ = true;
    stream.Read();
    if (!early_.empty()) stream.Write(std::exchange(early_, ""));
  }
  void OnData(std::string_view bytes) override {
    while (!bytes.empty() && stream.open()) {
      size_t used = 0;
      const net::ParseResult parsed = parser_.Feed(bytes, &used);
      bytes.remove_prefix(used);
      if (parsed == net::ParseResult::kIncomplete) return;
      if (parsed != net::ParseResult::kComplete) return OnEnd();
      const net::Message answer = parser_.Take();
      const std::string* connection = answer.Find("Connection");
      if (connection != nullptr && *connection == "close") broken_ = true;
      Finish(answer);
    }
  }
  void OnEnd() override {
    broken_ = true;
    stream.Close();
    if (asking) Finish({});
  }
  void OnWritten(bool ok) override {
    if (!ok) OnEnd();
  }
  bool usable() const { return !broken_ && !asking && stream.open(); }
  bool asking = false;
  int extra = 0;  // answers to nothing
  net::Stream stream;

 private:
  void Finish(const net::Message& answer) {
    if (!asking) {
      ++extra;
      return;
    }
    asking = false;
    const Done done = std::exchange(done_, nullptr);
    done(answer);
  }
  net::HttpParser parser_{net::HttpParser::Kind::kResponse};
  Done done_;
  std::string early_;
  bool up_ = false;
  bool broken_ = false;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_MEMBERSHIP_CALLER_H_

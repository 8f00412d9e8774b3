#include "agent/console_client.h"

#include <algorithm>
#include <utility>

#include "http1/http.h"

namespace umberdyke::agent {

std::map<std::string, std::string, std::less<>> ReadLines(std::string_view body) {
  std::map<std::string, std::string, std::less<>> lines;
  while (!body.empty()) {
    const size_t end = body.find('\n');
    const std::string_view line = body.substr(0, end);
    body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
    const size_t equals = line.find('=');
    if (equals != std::string_view::npos) lines.emplace(line.substr(0, equals), line.substr(equals + 1));
  }
  return lines;
}

class ConsoleClient::Exchange : public net::StreamCallbacks {
 public:
  Exchange(ConsoleClient& owner, Waiting call)
      : owner_(owner),
        call_(std::move(call)),
        stream(owner.loop_, this),
        timer_(owner.loop_, [this] { Fail(); }) {}

  void Start() {
    timer_.Start(call_.time);
    const auto address = net::ParseAddress(call_.address);
    if (!address || !stream.Connect(*address))
      timer_.Start(net::Span(0));  // told as a call that had no answer
  }
  void OnConnected(bool ok) override {
    if (!ok) return Fail();
    stream.Read();
    stream.Write(call_.request);
  }
  void OnData(std::string_view bytes) override {
    size_t used = 0;
    const net::ParseResult parsed = parser_.Feed(bytes, &used);
    if (parsed == net::ParseResult::kIncomplete) return;
    if (parsed != net::ParseResult::kComplete) return Fail();
    net::Message answer = parser_.Take();
    owner_.End(this, {answer.status, std::move(answer.body)});
  }
  void OnEnd() override { Fail(); }
  void OnWritten(bool ok) override {
    if (!ok) Fail();
  }
  void Close() {
    timer_.Stop();
    stream.Close();
  }
  Done TakeDone() { return std::move(call_.done); }

 private:
  void Fail() { owner_.End(this, {}); }

  ConsoleClient& owner_;
  Waiting call_;

 public:
  net::Stream stream;

 private:
  net::HttpParser parser_{net::HttpParser::Kind::kResponse};
  net::Timer timer_;
};

ConsoleClient::ConsoleClient(net::Loop& loop, size_t at_once) : loop_(loop), at_once_(at_once) {}

ConsoleClient::~ConsoleClient() { Drop(); }

void ConsoleClient::Call(const std::string& address, std::string request, net::Span time, Done done) {
  waiting_.push_back({address, std::move(request), time, std::move(done)});
  loop_.Post(alive_, [this] { Next(); });
}

void ConsoleClient::Next() {
  while (!waiting_.empty() && out_.size() < at_once_) {
    out_.push_back(std::make_unique<Exchange>(*this, std::move(waiting_.front())));
    waiting_.pop_front();
    out_.back()->Start();
  }
}

void ConsoleClient::End(Exchange* exchange, ConsoleAnswer answer) {
  const auto it = std::find_if(out_.begin(), out_.end(), [&](const auto& e) { return e.get() == exchange; });
  if (it == out_.end()) return;
  std::unique_ptr<Exchange> over = std::move(*it);
  out_.erase(it);
  const Done done = over->TakeDone();
  loop_.DestroyLater(std::move(over));
  loop_.Post(alive_, [this] { Next(); });
  done(std::move(answer));
}

void ConsoleClient::Drop() {
  waiting_.clear();
  for (auto& exchange : out_) {
    loop_.DestroyLater(std::move(exchange));
  }
  out_.clear();
}

}  // namespace umberdyke::agent

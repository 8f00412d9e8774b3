// A client's connection: requests in one at a time, each answered once, in order.
#ifndef UMBERDYKE_EDGE_EDGE_CONNECTION_H_
#define UMBERDYKE_EDGE_EDGE_CONNECTION_H_

#include <memory>
#include <string>

#include "http1/http.h"
#include "loop/loop.h"

namespace umberdyke::net {

class EdgeConnection;

class EdgeOwner {
 public:
  virtual void OnRequest(EdgeConnection& edge, Message message) = 0;
  // The input is no request; one answer is due, after which the connection closes.
  virtual void OnBadInput(EdgeConnection& edge, Parsed why) = 0;
  virtual void OnSlowInput(EdgeConnection& edge) = 0;
  // It has answered and waits for the next request; it may be closed from here.
  virtual void OnRested() = 0;
  // It is closed, by either side; the owner lets go of it.
  virtual void OnGone(EdgeConnection& edge) = 0;

 protected:
  ~EdgeOwner() = default;
};

class EdgeConnection : public StreamUser {
 public:
  EdgeConnection(Loop& loop, EdgeOwner& owner);

  bool Accept(Listener& listener);
  // The one answer to the request that is out.
  void Answer(std::string bytes, bool keep_alive);
  // Closes between requests: now, or after the answer that is due.
  void CloseWhenIdle();
  void Close() { stream_.Close(); }
  bool idle() const { return state_ == State::kReading && !parser_.begun() && input_.empty(); }
  // Idle after an answer, so that it may be closed at no cost but a connect.
  bool spare() const { return answered_ && idle(); }
  // Has brought no whole request though it had the time for it: the first to be closed under pressure.
  bool silent() const;
  Time rested() const { return rested_; }
  std::uint64_t flow = 0;  // the owner's note of the request that is out

 private:
  enum class State { kReading, kBusy, kWriting, kLingering };

  void OnData(std::string_view bytes) override;
  void OnEnd() override { owner_.OnGone(*this); }
  void OnWritten(bool ok) override;
  void Advance();
  void Finish();
  void Late();

  Loop& loop_;
  EdgeOwner& owner_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  State state_ = State::kReading;
  std::string input_;  // what came and is not parsed yet
  bool closing_ = false;
  bool answered_ = false;
  Time rested_ = Clock::now();
  Timer patience_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_EDGE_EDGE_CONNECTION_H_

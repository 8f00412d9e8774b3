// Calls to sidecars' consoles: one call a connection, each with its time, so many at once. Knows HTTP and
// addresses, and nothing of what is asked.
#ifndef UMBERDYKE_AGENT_CONSOLE_CLIENT_H_
#define UMBERDYKE_AGENT_CONSOLE_CLIENT_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.h"

namespace umberdyke::agent {

struct ConsoleAnswer {
  int status = 0;  // 0: none came
  std::string body;
};
// Lines of "name=value"; the first of a name holds.
std::map<std::string, std::string, std::less<>> ReadLines(std::string_view body);

class ConsoleClient {
 public:
  using Done = std::function<void(ConsoleAnswer)>;
  explicit ConsoleClient(net::Loop& loop, size_t at_once = 32);
  ~ConsoleClient();

  // `done` follows once, never from inside this call. The time counts from when the call's turn comes.
  void Call(const std::string& address, std::string request, net::Span time, Done done);
  // Ends all that is out or waits; none of it is told any more.
  void Drop();

 private:
  class Exchange;
  struct Waiting {
    std::string address, request;
    net::Span time;
    Done done;
  };
  void Next();
  void End(Exchange* exchange, ConsoleAnswer answer);

  net::Loop& loop_;
  const size_t at_once_;
  std::deque<Waiting> waiting_;
  std::list<std::unique_ptr<Exchange>> out_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::agent

#endif  // UMBERDYKE_AGENT_CONSOLE_CLIENT_H_

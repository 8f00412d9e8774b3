// The second address's contract: its calls, their answers and the form of the figures.
#ifndef UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_
#define UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "http1/http.h"

namespace umberdyke::net {

enum class ConsoleCall { kReady, kMetrics, kDrain, kActivate };

// A call that is none: the status says why. `allowed` names the method of a path that exists.
struct NoCall {
  int status;
  std::string why;
  std::string allowed;
};

std::variant<ConsoleCall, NoCall> ReadCall(const Message& message);
NoCall NoCallFor(Parsed why);

// What operators are told; counted from the process's start.
struct Figures {
  struct OfClass {
    std::string name;
    std::uint64_t success = 0;
    std::uint64_t overload = 0;
    std::uint64_t error = 0;
  };
  std::vector<OfClass> classes;
  std::uint64_t dispatches = 0;  // attempts written whole to real servers
  std::uint64_t concurrent = 0;  // requests taken and not ended
  std::uint64_t targets = 0;     // listed servers
  std::uint64_t targets_disabled = 0;
};

// A line each, "name=count". A class's name is written so that it can break neither line nor name.
std::string PrintFigures(const Figures& figures);

// Always the connection's last: it holds one call.
std::string CallAnswer(int status, const std::string& body);
std::string NoCallAnswer(const NoCall& no_call);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_

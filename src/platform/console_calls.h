// The second address's contract: its calls, their answers and the form of the metrics.
#ifndef UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_
#define UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "http1/http.h"

namespace umberdyke::net {

enum class ConsoleEndpoint { kReady, kMetrics, kDrain, kActivate, kFleet };

// What an owner of a fleet-wide duty wants this sidecar to take, numbered so that it is taken once
// (owner/fence.h).
struct FleetOrder {
  std::string duty, application, life;
  std::int64_t term = 0;
  std::int64_t step = 0;
  std::string text;
};
// The note that the latest order of a duty left here.
struct FleetNoteRequest {
  std::string duty;
};
constexpr size_t kMaxNoteBytes = 16 * 1024;
// The process of that life is to end, as SIGTERM has it.
struct EndProcess {
  std::string life;
};

// A call that is none: the status says why. `allowed_method` names the method of a path that exists.
struct ConsoleError {
  int status;
  std::string reason;
  std::string allowed_method;
};

using ConsoleRequest = std::variant<ConsoleEndpoint, FleetOrder, FleetNoteRequest, EndProcess, ConsoleError>;
// An order whose term, step or life is missing or is no plain positive number is a ConsoleError.
ConsoleRequest ParseConsoleRequest(const Message& message);
ConsoleError ConsoleErrorFor(ParseResult result);

// What operators are told; counted from the process's start.
struct ConsoleMetrics {
  struct PerClass {
    std::string name;
    std::uint64_t success = 0;
    std::uint64_t overload = 0;
    std::uint64_t error = 0;
  };
  std::vector<PerClass> classes;
  std::uint64_t dispatches = 0;  // attempts written whole to real servers
  std::uint64_t concurrent = 0;  // requests taken and not ended
  std::uint64_t targets = 0;     // listed servers
  std::uint64_t targets_disabled = 0;
  // Answers of servers that took at least 1, 2, 4, ... ms from the request's taking in; for the agents alone.
  std::array<std::uint64_t, 16> slower{};
};

// A line each, "name=count". A class's name is written so that it can break neither line nor name.
std::string FormatMetrics(const ConsoleMetrics& metrics);
// "slower=12,9,4,...".
std::string FormatSlower(const ConsoleMetrics& metrics);

// The name of a line, written so that it can break neither line nor name.
std::string EscapeMetricName(std::string_view name);

// An order as an agent sends it, and the names of its answer.
std::string OrderRequest(const FleetOrder& order);
std::string FleetRequest();
std::string EndProcessRequest(const std::string& life);
std::string EndpointRequest(ConsoleEndpoint id);

// Always the connection's last: it holds one call.
std::string ConsoleResponse(int status, const std::string& body);
std::string ConsoleErrorResponse(const ConsoleError& error);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_

// The protocol of the console, the sidecar's second listen address for operators and agents: its requests,
// its responses and the format of its metrics.
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

// An order from the leader of a fleet-wide duty. (term, step) is its fencing token, so that it takes effect
// only once (owner/fence.h). `life` is the id of the sidecar process that the order is for.
struct FleetOrder {
  std::string duty, application, life;
  std::int64_t term = 0;
  std::int64_t step = 0;
  std::string text;
};
// Asks for the text of the last accepted order of a duty.
struct FleetNoteRequest {
  std::string duty;
};
constexpr size_t kMaxNoteBytes = 16 * 1024;
// Ends the process whose id is `life`, as SIGTERM does.
struct EndProcess {
  std::string life;
};

// An invalid request. `allowed_method` is set where the path exists but the method is wrong.
struct ConsoleError {
  int status;
  std::string reason;
  std::string allowed_method;
};

using ConsoleRequest = std::variant<ConsoleEndpoint, FleetOrder, FleetNoteRequest, EndProcess, ConsoleError>;
// An order without application or life, or whose term or step is not a positive integer, is a ConsoleError.
ConsoleRequest ParseConsoleRequest(const Message& message);
// The error for a request that HttpParser rejects; kIncomplete means that it timed out.
ConsoleError ConsoleErrorFor(ParseResult result);

// Metrics for operators, counted since the process started.
struct ConsoleMetrics {
  struct PerClass {
    std::string name;
    std::uint64_t success = 0;
    std::uint64_t overload = 0;
    std::uint64_t error = 0;
  };
  std::vector<PerClass> classes;
  std::uint64_t dispatches = 0;  // attempts whose request was completely written to a real server
  std::uint64_t concurrent = 0;  // requests in progress
  std::uint64_t targets = 0;     // servers in the list
  std::uint64_t targets_disabled = 0;
  // Latency histogram for the agents: slower[i] counts real server responses that took at least 2^i ms since
  // the request was accepted.
  std::array<std::uint64_t, 16> slower{};
};

// One "name=count" line for each metric, with class names escaped.
std::string FormatMetrics(const ConsoleMetrics& metrics);
// Returns "slower=12,9,4,..." and a newline.
std::string FormatSlower(const ConsoleMetrics& metrics);

// Percent-encodes the characters that would break a line or its name.
std::string EscapeMetricName(std::string_view name);

// Serialized requests of the agents.
std::string OrderRequest(const FleetOrder& order);
std::string FleetRequest();
std::string EndProcessRequest(const std::string& life);
std::string EndpointRequest(ConsoleEndpoint id);

// Both close the connection, which serves only one request.
std::string ConsoleResponse(int status, const std::string& body);
std::string ConsoleErrorResponse(const ConsoleError& error);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_CONSOLE_CALLS_H_

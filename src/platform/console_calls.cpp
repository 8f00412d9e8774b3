#include "platform/console_calls.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string_view>

namespace umberdyke::net {
namespace {

struct Endpoint {
  std::string_view path;
  std::string_view method;
  ConsoleEndpoint id;
};
constexpr std::array<Endpoint, 5> kEndpoints = {{{"/v1/readyz", "GET", ConsoleEndpoint::kReady},
                                                 {"/v1/metrics", "GET", ConsoleEndpoint::kMetrics},
                                                 {"/v1/sidecar/drain", "PUT", ConsoleEndpoint::kDrain},
                                                 {"/v1/sidecar/activate", "PUT", ConsoleEndpoint::kActivate},
                                                 {"/v1/fleet", "GET", ConsoleEndpoint::kFleet}}};
constexpr std::string_view kEndPath = "/v1/sidecar/end";
constexpr std::string_view kOrdersPath = "/v1/fleet/orders/";
constexpr std::string_view kNotesPath = "/v1/fleet/notes/";
constexpr const char* kApplicationHeader = "X-Fleet-Application";
constexpr const char* kLifeHeader = "X-Fleet-Life";
constexpr const char* kTermHeader = "X-Fleet-Term";
constexpr const char* kStepHeader = "X-Fleet-Step";
constexpr size_t kMaxIdBytes = 128;

// Parses a positive decimal integer without sign, blanks or leading zeros.
std::optional<std::int64_t> ParsePositive(const std::string* text) {
  std::int64_t number = 0;
  if (text == nullptr || text->empty() || (*text)[0] < '1' || (*text)[0] > '9') return std::nullopt;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size()) return std::nullopt;
  return number;
}

ConsoleRequest ParseOrder(const Message& message, std::string_view duty) {
  FleetOrder order;
  order.duty = std::string(duty);
  const std::string* application = message.Find(kApplicationHeader);
  const std::string* life = message.Find(kLifeHeader);
  if (application == nullptr || application->empty() || application->size() > kMaxIdBytes) {
    return ConsoleError{400, "an order names its application", ""};
  }
  if (life == nullptr || life->empty() || life->size() > kMaxIdBytes) {
    return ConsoleError{400, "an order names the life that it is for", ""};
  }
  const auto term = ParsePositive(message.Find(kTermHeader)), step = ParsePositive(message.Find(kStepHeader));
  if (!term) return ConsoleError{400, "an order has a term, a whole number above zero", ""};
  if (!step) return ConsoleError{400, "an order has a step, a whole number above zero", ""};
  if (message.body.size() > kMaxNoteBytes) return ConsoleError{413, "the order is too long", ""};
  order.application = *application;
  order.life = *life;
  order.term = *term;
  order.step = *step;
  order.text = message.body;
  return order;
}

}  // namespace

std::string EscapeMetricName(std::string_view name) {
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > ' ' && byte < 127 && c != '=' && c != '%') {
      out += c;
    } else {
      char escaped[4];
      std::snprintf(escaped, sizeof escaped, "%%%02X", byte);
      out += escaped;
    }
  }
  return out;
}

namespace {

void AppendMetric(std::string_view name, std::uint64_t count, std::string* out) {
  out->append(name).append("=").append(std::to_string(count)).append("\n");
}

}  // namespace

ConsoleRequest ParseConsoleRequest(const Message& message) {
  const std::string_view target(message.target);
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Endpoint& endpoint : kEndpoints) {
    if (path != endpoint.path) continue;
    if (message.method == endpoint.method) return endpoint.id;
    return ConsoleError{405, "this path takes " + std::string(endpoint.method), std::string(endpoint.method)};
  }
  if (path == kEndPath) {
    if (message.method != "PUT") return ConsoleError{405, "this path takes PUT", "PUT"};
    const std::string* life = message.Find(kLifeHeader);
    if (life == nullptr || life->empty()) return ConsoleError{400, "who is to end is named by its life", ""};
    return EndProcess{*life};
  }
  if (path.starts_with(kOrdersPath) && path.size() - kOrdersPath.size() <= kMaxIdBytes) {
    if (message.method != "PUT") return ConsoleError{405, "this path takes PUT", "PUT"};
    return ParseOrder(message, path.substr(kOrdersPath.size()));
  }
  if (path.starts_with(kNotesPath) && path.size() - kNotesPath.size() <= kMaxIdBytes) {
    if (message.method != "GET") return ConsoleError{405, "this path takes GET", "GET"};
    return FleetNoteRequest{std::string(path.substr(kNotesPath.size()))};
  }
  return ConsoleError{404, "no such path", ""};
}

std::string OrderRequest(const FleetOrder& order) {
  return WriteRequest("PUT", std::string(kOrdersPath) + order.duty,
                      {{"Host", "sidecar"},
                       {"Connection", "close"},
                       {kApplicationHeader, order.application},
                       {kLifeHeader, order.life},
                       {kTermHeader, std::to_string(order.term)},
                       {kStepHeader, std::to_string(order.step)}},
                      order.text);
}

std::string FleetRequest() { return EndpointRequest(ConsoleEndpoint::kFleet); }

std::string EndProcessRequest(const std::string& life) {
  return WriteRequest("PUT", std::string(kEndPath),
                      {{"Host", "sidecar"}, {"Connection", "close"}, {kLifeHeader, life}}, "");
}

std::string EndpointRequest(ConsoleEndpoint id) {
  const auto endpoint =
      std::find_if(kEndpoints.begin(), kEndpoints.end(), [&](const Endpoint& e) { return e.id == id; });
  return WriteRequest(std::string(endpoint->method), std::string(endpoint->path),
                      {{"Host", "sidecar"}, {"Connection", "close"}}, "");
}

std::string FormatSlower(const ConsoleMetrics& metrics) {
  std::string out = "slower=";
  for (size_t i = 0; i < metrics.slower.size(); ++i)
    out += (i == 0 ? "" : ",") + std::to_string(metrics.slower[i]);
  return out + "\n";
}

ConsoleError ConsoleErrorFor(ParseResult result) {
  switch (result) {
    case ParseResult::kHeadTooLong:
      return {431, "the headers are too long", ""};
    case ParseResult::kBodyTooLong:
      return {413, "the body is too long", ""};
    case ParseResult::kIncomplete:
      return {408, "the call took too long to come", ""};
    default:
      return {400, "this is no HTTP request", ""};
  }
}

std::string FormatMetrics(const ConsoleMetrics& metrics) {
  std::string out;
  for (const ConsoleMetrics::PerClass& c : metrics.classes) {
    const std::string name = EscapeMetricName(c.name);
    AppendMetric("success." + name, c.success, &out);
    AppendMetric("overload." + name, c.overload, &out);
    AppendMetric("error." + name, c.error, &out);
  }
  AppendMetric("dispatches", metrics.dispatches, &out);
  AppendMetric("concurrent", metrics.concurrent, &out);
  AppendMetric("targets", metrics.targets, &out);
  AppendMetric("targets_disabled", metrics.targets_disabled, &out);
  return out;
}

std::string ConsoleResponse(int status, const std::string& body) {
  return WriteResponse(status, {{"Content-Type", "text/plain"}}, body, false);
}

std::string ConsoleErrorResponse(const ConsoleError& error) {
  std::vector<Header> headers = {{"Content-Type", "text/plain"}};
  if (!error.allowed_method.empty()) headers.push_back({"Allow", error.allowed_method});
  return WriteResponse(error.status, headers, error.reason + "\n", false);
}

}  // namespace umberdyke::net

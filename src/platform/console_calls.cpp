#include "platform/console_calls.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace umberdyke::net {
namespace {

struct Path {
  std::string_view path;
  std::string_view method;
  ConsoleCall call;
};
constexpr std::array<Path, 4> kPaths = {{{"/v1/readyz", "GET", ConsoleCall::kReady},
                                         {"/v1/metrics", "GET", ConsoleCall::kMetrics},
                                         {"/v1/sidecar/drain", "PUT", ConsoleCall::kDrain},
                                         {"/v1/sidecar/activate", "PUT", ConsoleCall::kActivate}}};

std::string Plain(std::string_view name) {
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

void Line(std::string_view name, std::uint64_t count, std::string* out) {
  out->append(name).append("=").append(std::to_string(count)).append("\n");
}

}  // namespace

std::variant<ConsoleCall, NoCall> ReadCall(const Message& message) {
  const std::string_view target(message.target);
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Path& known : kPaths) {
    if (path != known.path) continue;
    if (message.method == known.method) return known.call;
    return NoCall{405, "this path takes " + std::string(known.method), std::string(known.method)};
  }
  return NoCall{404, "no such path", ""};
}

NoCall NoCallFor(Parsed why) {
  switch (why) {
    case Parsed::kHeadTooLong:
      return {431, "the headers are too long", ""};
    case Parsed::kBodyTooLong:
      return {413, "the body is too long", ""};
    case Parsed::kMore:
      return {408, "the call took too long to come", ""};
    default:
      return {400, "this is no HTTP request", ""};
  }
}

std::string PrintFigures(const Figures& figures) {
  std::string out;
  for (const Figures::OfClass& c : figures.classes) {
    const std::string name = Plain(c.name);
    Line("success." + name, c.success, &out);
    Line("overload." + name, c.overload, &out);
    Line("error." + name, c.error, &out);
  }
  Line("dispatches", figures.dispatches, &out);
  Line("concurrent", figures.concurrent, &out);
  Line("targets", figures.targets, &out);
  Line("targets_disabled", figures.targets_disabled, &out);
  return out;
}

std::string CallAnswer(int status, const std::string& body) {
  return WriteAnswer(status, {{"Content-Type", "text/plain"}}, body, false);
}

std::string NoCallAnswer(const NoCall& no_call) {
  std::vector<Header> headers = {{"Content-Type", "text/plain"}};
  if (!no_call.allowed.empty()) headers.push_back({"Allow", no_call.allowed});
  return WriteAnswer(no_call.status, headers, no_call.why + "\n", false);
}

}  // namespace umberdyke::net

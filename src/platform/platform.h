// The platform's HTTP protocol: header names, paths, status codes and the format of the discovery list. No
// other module depends on them, so another protocol front end could reuse the same decisions and rules.
#ifndef UMBERDYKE_PLATFORM_PLATFORM_H_
#define UMBERDYKE_PLATFORM_PLATFORM_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/config.h"
#include "http1/http.h"
#include "umberdyke/balancer.h"

namespace umberdyke::net {

// A validated client request. `message` holds what is forwarded unchanged.
struct FlowRequest {
  Message message;
  std::string id;               // X-Request-ID of the client
  bool streaming_body = false;  // the body is not in `message` but follows in parts
  int request_class = 0;
  int tenant = 0;
  std::chrono::milliseconds time_left{};
  bool client_retry = false;
  std::optional<std::chrono::microseconds> expected_work;
};

// An invalid request. It gets an error response at once and is never forwarded.
struct BadRequest {
  int status;
  std::string reason;
  std::optional<int> request_class{};  // if the request names a valid one
};

// Pages that the sidecar serves itself.
enum class Page { kReady, kCounters };

// A server in the discovery list.
struct ListedServer {
  std::string id;
  Address address{};
  UpstreamState state = UpstreamState::kReady;
  std::optional<std::chrono::milliseconds> started;  // Unix time; absent means long ago
  double weight = 1;
  // kind and zone index the configured names; an unknown name has the index after the last one.
  int kind = 0;
  int zone = 0;
  int cell = 0;
};
// One discovery message: the full list, or the servers that changed.
struct ServerListChange {
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListedServer> servers;
  int unreadable = 0;  // number of malformed entries, which are left out
};

class Platform {
 public:
  explicit Platform(const Config& config) : config_(config) {}

  // `long_body`: `message` is only the head, and the body follows in parts.
  std::variant<FlowRequest, BadRequest, Page> ParseRequest(Message message, bool long_body = false) const;
  // Serializes the request for a real server, or only its head for a streaming body.
  std::string BuildRequest(const FlowRequest& request, std::chrono::milliseconds timeout) const;
  // Classifies a response by its status. The caller makes sure that a response with status 200 is complete.
  static Outcome OutcomeOf(const Message& response);
  std::optional<LoadReport> ParseLoadReport(const Message& response) const;

  // Framing of a forwarded body: its content length, or else chunks if the receiver accepts them.
  static Framing FramingOf(const Message& message, bool accepts_chunked);
  // Responses to the client. `in_time`: the request failed before its deadline (502), else 504.
  std::string SuccessHead(const Message& head, const Framing& framing, bool keep_alive) const;
  std::string SuccessResponse(const Message& response, bool keep_alive) const;
  static std::string RejectionResponse(std::chrono::microseconds retry_after, bool keep_alive);
  static std::string FailureResponse(bool in_time, bool keep_alive);
  static std::string UnfitResponse(int status, bool keep_alive);
  static std::string BadRequestResponse(const BadRequest& error);
  static std::string PageResponse(int status, std::string_view body, bool keep_alive);

  // Requests a stream of the changes after `version` of the server list.
  static std::string WatchRequest(std::int64_t version, const std::string& host);
  std::string HealthCheckRequest(const std::string& host) const;
  std::optional<LoadReport> ParseCheckLoadReport(const Message& response) const;
  // Parses one JSON object of the list or of the watch stream; nothing if it is malformed.
  std::optional<ServerListChange> ParseServerList(std::string_view line) const;
  // Parses the data of a membership node, which describes one server as in the list. A missing id defaults to
  // `default_id`, a missing state to ready. Nothing if it is malformed or the server is gone.
  std::optional<ListedServer> ParseMember(std::string_view json, const std::string& default_id) const;
  // The data of this sidecar's own membership node.
  static std::string FormatMember(const Config& config);

 private:
  std::variant<FlowRequest, BadRequest, Page> ParseRequest(Message message, bool long_body,
                                                           std::optional<int> request_class) const;
  std::optional<LoadReport> ParseLoadReportJson(std::string_view json) const;

  const Config& config_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_PLATFORM_H_

// The platform's protocol: header names, paths, status codes and the form of discovery's list. Nothing else
// knows them, so that a second front can go through the same decisions and rules.
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

// A request as the chain knows it; `message` holds what passes on unchanged.
struct FlowRequest {
  Message message;
  std::string id;               // the client's own
  bool streaming_body = false;  // which is not in the message, but follows
  int request_class = 0;
  int tenant = 0;
  std::chrono::milliseconds time_left{};
  bool client_retry = false;
  std::optional<std::chrono::microseconds> expected_work;
};

// A request that cannot be taken: answered at once and never passed on.
struct BadRequest {
  int status;
  std::string reason;
  std::optional<int> request_class{};  // where it names one
};

// The sidecar's own pages.
enum class Page { kReady, kCounters };

// A line of discovery's list.
struct ListedServer {
  std::string id;
  Address address{};
  UpstreamState state = UpstreamState::kReady;
  std::optional<std::chrono::milliseconds> started;  // Unix time; absent: long ago
  double weight = 1;
  int kind = 0;
  int zone = 0;
  int cell = 0;
};
struct ServerListChange {
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListedServer> servers;
  int unreadable = 0;  // entries left out
};

class Platform {
 public:
  explicit Platform(const Config& config) : config_(config) {}

  // `long_body`: the message is a head, whose body follows.
  std::variant<FlowRequest, BadRequest, Page> ParseRequest(Message message, bool long_body = false) const;
  // The request as it goes out: whole, or its head where the body follows.
  std::string BuildRequest(const FlowRequest& request, std::chrono::milliseconds timeout) const;
  // What a response means; 200 counts only whole, which the reader sees to.
  static Outcome OutcomeOf(const Message& response);
  std::optional<LoadReport> ParseLoadReport(const Message& response) const;

  // How the body of a message goes on: by its length, or in chunks where the receiver takes them.
  static Framing FramingOf(const Message& message, bool accepts_chunked);
  std::string SuccessHead(const Message& head, const Framing& framing, bool keep_alive) const;
  std::string SuccessResponse(const Message& response, bool keep_alive) const;
  static std::string RejectionResponse(std::chrono::microseconds retry_after, bool keep_alive);
  static std::string FailureResponse(bool in_time, bool keep_alive);
  static std::string UnfitResponse(int status, bool keep_alive);
  static std::string BadRequestResponse(const BadRequest& error);
  static std::string PageResponse(int status, std::string_view body, bool keep_alive);

  static std::string WatchRequest(std::int64_t version, const std::string& host);
  std::string HealthCheckRequest(const std::string& host) const;
  std::optional<LoadReport> ParseCheckLoadReport(const Message& response) const;
  // One object of the list or of a watch; absent where it cannot be read at all.
  std::optional<ServerListChange> ParseServerList(std::string_view line) const;
  // One server as it tells of itself in a node's data: an object as in the list, in which the id may be
  // left out.
  std::optional<ListedServer> ParseMember(std::string_view json, const std::string& default_id) const;
  // And what a sidecar tells of itself.
  static std::string FormatMember(const Config& config);

 private:
  std::variant<FlowRequest, BadRequest, Page> ParseRequest(Message message, bool long_body,
                                                           std::optional<int> request_class) const;
  std::optional<LoadReport> ParseLoadReportJson(std::string_view json) const;

  const Config& config_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_PLATFORM_H_

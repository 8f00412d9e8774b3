#include "platform/platform.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace umberdyke::net {
namespace {

using Json = nlohmann::json;

constexpr const char* kRequestIdHeader = "X-Request-ID";
constexpr const char* kClassHeader = "X-Priority-Class";
constexpr const char* kTenantHeader = "X-Tenant-Id";
constexpr const char* kTimeoutHeader = "X-Timeout-Ms";
constexpr const char* kRetriedHeader = "X-Retried";
constexpr const char* kAttributesHeader = "X-Attrs";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kLoadHeader = "X-Server-Load";
constexpr const char* kNotProcessedHeader = "X-Not-Processed";
constexpr std::string_view kApiPath = "/api";
constexpr std::string_view kReadyPath = "/-/ready";
constexpr std::string_view kCountersPath = "/-/counters";
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;  // one hour; a longer timeout is a client error
constexpr double kMaxReportedLoad = 1e6;           // no real server holds or serves as many requests

bool IsApiPath(std::string_view target) {
  if (target.substr(0, kApiPath.size()) != kApiPath) return false;
  return target.size() == kApiPath.size() || target[kApiPath.size()] == '/' || target[kApiPath.size()] == '?';
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<int> IndexOfName(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<int>(it - names.begin());
}

// Removes the headers named by the Connection header; they are valid for that connection only.
void RemoveConnectionHeaders(Message* message) {
  std::vector<std::string> names;
  for (const Header& header : message->headers) {
    if (!HeaderNamesEqual(header.name, "Connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      std::string_view part = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), part.size() + 1));
      while (!part.empty() && (part.front() == ' ' || part.front() == '\t')) part.remove_prefix(1);
      while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) part.remove_suffix(1);
      names.emplace_back(part);
    }
  }
  std::erase_if(message->headers, [&](const Header& header) {
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& name) { return HeaderNamesEqual(name, header.name); });
  });
}

std::optional<std::chrono::microseconds> ParseExpectedWork(const std::string* attributes) {
  static constexpr std::string_view kName = "expected_us=";
  std::string_view rest = attributes == nullptr ? std::string_view() : std::string_view(*attributes);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    if (part.substr(0, kName.size()) != kName) continue;
    if (const auto value = ParseInteger(part.substr(kName.size()))) return std::chrono::microseconds(*value);
  }
  return std::nullopt;
}

// Index of a zone or kind in the configured names. Unknown names get the index after the last one.
int IndexOrUnknown(const Json& entry, const char* field, const std::vector<std::string>& names) {
  const auto it = entry.find(field);
  if (it == entry.end() || !it->is_string()) return static_cast<int>(names.size());
  return IndexOfName(names, it->get_ref<const std::string&>()).value_or(static_cast<int>(names.size()));
}

double NumberOr(const Json& entry, const char* field, double fallback) {
  const auto it = entry.find(field);
  if (it == entry.end() || !it->is_number()) return fallback;
  const double value = it->get<double>();
  return std::isfinite(value) && std::abs(value) < 9e15 ? value : fallback;
}

// Parses one server entry; nothing if it is malformed.
std::optional<ListedServer> ParseServer(const Json& entry, const Config& config) {
  ListedServer server;
  const bool has_id = entry.is_object() && entry.contains("id") && entry["id"].is_string();
  const bool has_state = has_id && entry.contains("state") && entry["state"].is_string();
  const std::string state = has_state ? entry["state"].get<std::string>() : "";
  const bool has_address = has_state && entry.contains("addr") && entry["addr"].is_string();
  const auto address = has_address ? ParseAddress(entry["addr"].get_ref<const std::string&>()) : std::nullopt;
  if (!has_state || (!address && state != "gone")) return std::nullopt;
  server.id = entry["id"].get<std::string>();
  server.address = address.value_or(Address{});
  // A server in any other state finishes its requests but gets no new ones.
  server.state = state == "ready"  ? UpstreamState::kReady
                 : state == "gone" ? UpstreamState::kGone
                                   : UpstreamState::kDraining;
  const auto started = static_cast<std::int64_t>(NumberOr(entry, "started_ms", 0));
  if (started > 0) server.started = std::chrono::milliseconds(started);
  server.weight = NumberOr(entry, "weight", 1);
  server.zone = IndexOrUnknown(entry, "zone", config.zone_names);
  server.kind = IndexOrUnknown(entry, "kind", config.kind_names);
  server.cell = static_cast<int>(NumberOr(entry, "cell", 0));
  return server;
}

}  // namespace

std::variant<FlowRequest, BadRequest, Page> Platform::ParseRequest(Message message, bool long_body) const {
  const std::string* name = message.Find(kClassHeader);
  const auto request_class = name ? IndexOfName(config_.class_names, *name) : std::nullopt;
  auto read = ParseRequest(std::move(message), long_body, request_class);
  if (auto* error = std::get_if<BadRequest>(&read)) error->request_class = request_class;
  return read;
}

std::variant<FlowRequest, BadRequest, Page> Platform::ParseRequest(Message message, bool long_body,
                                                                   std::optional<int> request_class) const {
  if (message.target == kReadyPath || message.target == kCountersPath) {
    if (message.method != "GET") return BadRequest{400, "this page takes GET"};
    return message.target == kReadyPath ? Page::kReady : Page::kCounters;
  }
  if (message.method == "CONNECT") return BadRequest{405, "this is no proxy"};
  if (!IsApiPath(message.target)) return BadRequest{404, "no such path"};
  RemoveConnectionHeaders(&message);
  // With a duplicate header, a real server might use the other value.
  for (const char* header_name :
       {kRequestIdHeader, kClassHeader, kTenantHeader, kTimeoutHeader, kIdempotencyKeyHeader}) {
    const auto matches = [header_name](const Header& header) {
      return HeaderNamesEqual(header.name, header_name);
    };
    if (std::count_if(message.headers.begin(), message.headers.end(), matches) > 1) {
      return BadRequest{400, std::string(header_name) + " comes more than once"};
    }
  }
  FlowRequest request;
  const std::string* id = message.Find(kRequestIdHeader);
  if (id == nullptr || id->empty()) return BadRequest{400, std::string(kRequestIdHeader) + " is missing"};
  request.id = *id;
  if (!request_class) return BadRequest{400, std::string(kClassHeader) + " is missing or unknown"};
  request.request_class = *request_class;
  if (!config_.tenant_names.empty()) {
    const std::string* tenant_name = message.Find(kTenantHeader);
    const auto tenant = tenant_name ? IndexOfName(config_.tenant_names, *tenant_name) : std::nullopt;
    if (!tenant) return BadRequest{400, std::string(kTenantHeader) + " is missing or unknown"};
    request.tenant = *tenant;
  }
  const std::string* time = message.Find(kTimeoutHeader);
  const auto timeout_ms = time ? ParseInteger(*time) : std::nullopt;
  if (!timeout_ms || *timeout_ms < 0 || *timeout_ms > kMaxTimeoutMs) {
    return BadRequest{400, std::string(kTimeoutHeader) + " is missing or no time"};
  }
  request.time_left = std::chrono::milliseconds(*timeout_ms);
  const Repeat repeat = config_.settings.classes[static_cast<size_t>(request.request_class)].repeat;
  if (message.method != (repeat == Repeat::kSafe ? "GET" : "POST")) {
    return BadRequest{400, "the class does not take this method"};
  }
  if (message.method == "GET" && (long_body || !message.body.empty())) {
    return BadRequest{400, "a request that is safe to repeat has no body"};
  }
  if (repeat == Repeat::kKeyed &&
      (message.Find(kIdempotencyKeyHeader) == nullptr || message.Find(kIdempotencyKeyHeader)->empty())) {
    return BadRequest{400, std::string(kIdempotencyKeyHeader) + " is missing"};
  }
  const std::string* retried = message.Find(kRetriedHeader);
  request.client_retry = retried != nullptr && *retried == "1";
  request.expected_work = ParseExpectedWork(message.Find(kAttributesHeader));
  request.streaming_body = long_body;
  request.message = std::move(message);
  return request;
}

std::string Platform::BuildRequest(const FlowRequest& request, std::chrono::milliseconds timeout) const {
  std::vector<Header> headers;
  for (const Header& header : request.message.headers) {
    if (!IsHopByHopHeader(header.name) && !HeaderNamesEqual(header.name, kTimeoutHeader))
      headers.push_back(header);
  }
  headers.push_back({kTimeoutHeader, std::to_string(timeout.count())});
  const Message& message = request.message;
  if (request.streaming_body) {
    return WriteRequestHead(message.method, message.target, headers, FramingOf(message, true));
  }
  return WriteRequest(message.method, message.target, headers, message.body);
}

Outcome Platform::OutcomeOf(const Message& response) {
  if (response.status == 200) return Outcome::kOk;
  const std::string* mark = response.Find(kNotProcessedHeader);
  const bool not_processed =
      mark != nullptr && *mark == "1" && (response.status == 503 || response.status == 504);
  if (not_processed) return Outcome::kRejected;
  // 408, 425 and 429 depend on the moment, not on the request itself.
  const bool temporary = response.status == 408 || response.status == 425 || response.status == 429;
  return response.status / 100 == 4 && !temporary ? Outcome::kUnfit : Outcome::kError;
}

std::optional<LoadReport> Platform::ParseLoadReport(const Message& response) const {
  const std::string* load = response.Find(kLoadHeader);
  return load == nullptr ? std::nullopt : ParseLoadReportJson(*load);
}

std::optional<LoadReport> Platform::ParseCheckLoadReport(const Message& response) const {
  const std::optional<LoadReport> report = ParseLoadReport(response);
  return report || response.body.empty() ? report : ParseLoadReportJson(response.body);
}

std::optional<LoadReport> Platform::ParseLoadReportJson(std::string_view text) const {
  if (config_.report_columns.empty()) return std::nullopt;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  // A missing or invalid column rejects the whole report, because moving averages recover slowly from bad
  // values.
  LoadReport report;
  for (const std::string& column : config_.report_columns) {
    const double value = NumberOr(json, column.c_str(), -1);
    if (value < 0 || value > kMaxReportedLoad) return std::nullopt;
    SetReported(column, value, &report);
  }
  return report;
}

Framing Platform::FramingOf(const Message& message, bool accepts_chunked) {
  return {message.content_length, !message.content_length && accepts_chunked};
}

namespace {

std::vector<Header> ForwardedHeaders(const Message& response) {
  std::vector<Header> headers;
  for (const Header& header : response.headers) {
    if (!IsHopByHopHeader(header.name) && !HeaderNamesEqual(header.name, kLoadHeader))
      headers.push_back(header);
  }
  return headers;
}

}  // namespace

std::string Platform::SuccessHead(const Message& head, const Framing& framing, bool keep_alive) const {
  return WriteResponseHead(200, ForwardedHeaders(head), framing, keep_alive);
}

std::string Platform::SuccessResponse(const Message& response, bool keep_alive) const {
  return WriteResponse(200, ForwardedHeaders(response), response.body, keep_alive);
}

std::string Platform::RejectionResponse(std::chrono::microseconds retry_after, bool keep_alive) {
  std::vector<Header> headers;
  if (retry_after.count() > 0) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(retry_after).count());
    headers.push_back({"Retry-After", text});
  }
  return WriteResponse(503, headers, "turned down, try again later\n", keep_alive);
}

std::string Platform::FailureResponse(bool in_time, bool keep_alive) {
  return WriteResponse(in_time ? 502 : 504, {}, "failed; it may have been carried out\n", keep_alive);
}

std::string Platform::UnfitResponse(int status, bool keep_alive) {
  return WriteResponse(status, {}, "no real server takes this request\n", keep_alive);
}

std::string Platform::BadRequestResponse(const BadRequest& error) {
  return WriteResponse(error.status, {}, error.reason + "\n", error.status == 404);
}

std::string Platform::PageResponse(int status, std::string_view body, bool keep_alive) {
  return WriteResponse(status, {{"Content-Type", "text/plain"}}, body, keep_alive);
}

std::string Platform::WatchRequest(std::int64_t version, const std::string& host) {
  return WriteRequest("GET", "/api/targets?stream=1&index=" + std::to_string(version), {{"Host", host}}, "");
}

std::string Platform::HealthCheckRequest(const std::string& host) const {
  return WriteRequest("GET", config_.report_columns.empty() ? "/-/healthy" : "/-/load", {{"Host", host}}, "");
}

std::optional<ServerListChange> Platform::ParseServerList(std::string_view line) const {
  const Json json = Json::parse(line, nullptr, false);
  if (!json.is_object() || !json.contains("servers") || !json["servers"].is_array()) return std::nullopt;
  ServerListChange change;
  change.version = static_cast<std::int64_t>(NumberOr(json, "version", 0));
  change.full = json.contains("full") && json["full"].is_boolean() && json["full"].get<bool>();
  for (const Json& entry : json["servers"]) {
    if (auto server = ParseServer(entry, config_)) {
      change.servers.push_back(std::move(*server));
    } else {
      ++change.unreadable;
    }
  }
  return change;
}

std::optional<ListedServer> Platform::ParseMember(std::string_view text,
                                                  const std::string& default_id) const {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  if (!json.contains("id")) json["id"] = default_id;
  if (!json.contains("state")) json["state"] = "ready";
  auto server = ParseServer(json, config_);
  // An existing node can only describe an existing server.
  if (!server || server->id.empty() || server->state == UpstreamState::kGone) return std::nullopt;
  return server;
}

std::string Platform::FormatMember(const Config& config) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto zone = static_cast<size_t>(std::max(0, config.settings.zone));
  Json json = {{"id", config.name},
               {"addr", PrintAddress(config.listen)},
               {"state", "ready"},
               {"weight", 1.0},
               {"started_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()}};
  if (zone < config.zone_names.size()) json["zone"] = config.zone_names[zone];
  return json.dump();
}

}  // namespace umberdyke::net

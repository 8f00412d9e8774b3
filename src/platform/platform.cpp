#include "platform/platform.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace umberdyke::net {
namespace {

using Json = nlohmann::json;

constexpr const char* kId = "X-Request-ID";
constexpr const char* kClass = "X-Priority-Class";
constexpr const char* kTenant = "X-Tenant-Id";
constexpr const char* kTime = "X-Timeout-Ms";
constexpr const char* kRetried = "X-Retried";
constexpr const char* kFigures = "X-Attrs";
constexpr const char* kKey = "Idempotency-Key";
constexpr const char* kLoad = "X-Server-Load";
constexpr const char* kNotProcessed = "X-Not-Processed";
constexpr std::string_view kApi = "/api";
constexpr std::string_view kReady = "/-/ready";
constexpr std::string_view kCounters = "/-/counters";
constexpr std::int64_t kLongestWait = 3'600'000;  // an hour: beyond it a time is a mistake
constexpr double kMostReported = 1e6;             // no real server holds or serves as many

bool IsApi(std::string_view target) {
  if (target.substr(0, kApi.size()) != kApi) return false;
  return target.size() == kApi.size() || target[kApi.size()] == '/' || target[kApi.size()] == '?';
}

std::optional<std::int64_t> WholeNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<int> NumberOf(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<int>(it - names.begin());
}

// Drops the headers that the sender's Connection header names: they hold for that connection only.
void DropNamedByConnection(Message* message) {
  std::vector<std::string> named;
  for (const Header& header : message->headers) {
    if (!HeaderNamesEqual(header.name, "Connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      std::string_view part = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), part.size() + 1));
      while (!part.empty() && (part.front() == ' ' || part.front() == '\t')) part.remove_prefix(1);
      while (!part.empty() && (part.back() == ' ' || part.back() == '\t')) part.remove_suffix(1);
      named.emplace_back(part);
    }
  }
  std::erase_if(message->headers, [&](const Header& header) {
    return std::any_of(named.begin(), named.end(),
                       [&](const auto& n) { return HeaderNamesEqual(n, header.name); });
  });
}

std::optional<std::chrono::microseconds> ExpectedWork(const std::string* figures) {
  static constexpr std::string_view kName = "expected_us=";
  std::string_view rest = figures == nullptr ? std::string_view() : std::string_view(*figures);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    if (part.substr(0, kName.size()) != kName) continue;
    if (const auto value = WholeNumber(part.substr(kName.size()))) return std::chrono::microseconds(*value);
  }
  return std::nullopt;
}

// A zone or kind by its name; one that the settings do not name counts as one more, like none of theirs.
int IndexOf(const Json& entry, const char* field, const std::vector<std::string>& names) {
  const auto it = entry.find(field);
  if (it == entry.end() || !it->is_string()) return static_cast<int>(names.size());
  return NumberOf(names, it->get_ref<const std::string&>()).value_or(static_cast<int>(names.size()));
}

double NumberIn(const Json& entry, const char* field, double absent) {
  const auto it = entry.find(field);
  if (it == entry.end() || !it->is_number()) return absent;
  const double value = it->get<double>();
  return std::isfinite(value) && std::abs(value) < 9e15 ? value : absent;
}

// One line of a list; absent where it cannot be read.
std::optional<ListedServer> ReadServer(const Json& entry, const Config& config) {
  ListedServer server;
  const bool named = entry.is_object() && entry.contains("id") && entry["id"].is_string();
  const bool stated = named && entry.contains("state") && entry["state"].is_string();
  const std::string state = stated ? entry["state"].get<std::string>() : "";
  const bool placed = stated && entry.contains("addr") && entry["addr"].is_string();
  const auto address = placed ? ParseAddress(entry["addr"].get_ref<const std::string&>()) : std::nullopt;
  if (!stated || (!address && state != "gone")) return std::nullopt;
  server.id = entry["id"].get<std::string>();
  server.address = address.value_or(Address{});
  // What is neither ready nor gone may finish its work but gets nothing new.
  server.state = state == "ready"  ? UpstreamState::kReady
                 : state == "gone" ? UpstreamState::kGone
                                   : UpstreamState::kDraining;
  const auto started = static_cast<std::int64_t>(NumberIn(entry, "started_ms", 0));
  if (started > 0) server.started = std::chrono::milliseconds(started);
  server.weight = NumberIn(entry, "weight", 1);
  server.zone = IndexOf(entry, "zone", config.zone_names);
  server.kind = IndexOf(entry, "kind", config.kind_names);
  server.cell = static_cast<int>(NumberIn(entry, "cell", 0));
  return server;
}

}  // namespace

std::variant<FlowRequest, BadRequest, Page> Platform::ParseRequest(Message message, bool long_body) const {
  const std::string* name = message.Find(kClass);
  const auto request_class = name ? NumberOf(config_.class_names, *name) : std::nullopt;
  auto read = ParseRequest(std::move(message), long_body, request_class);
  if (auto* bad = std::get_if<BadRequest>(&read)) bad->request_class = request_class;
  return read;
}

std::variant<FlowRequest, BadRequest, Page> Platform::ParseRequest(Message message, bool long_body,
                                                                   std::optional<int> request_class) const {
  if (message.target == kReady || message.target == kCounters) {
    if (message.method != "GET") return BadRequest{400, "this page takes GET"};
    return message.target == kReady ? Page::kReady : Page::kCounters;
  }
  if (message.method == "CONNECT") return BadRequest{405, "this is no proxy"};
  if (!IsApi(message.target)) return BadRequest{404, "no such path"};
  DropNamedByConnection(&message);
  // Told twice, a real server might read the other one.
  for (const char* once : {kId, kClass, kTenant, kTime, kKey}) {
    const auto same = [once](const Header& header) { return HeaderNamesEqual(header.name, once); };
    if (std::count_if(message.headers.begin(), message.headers.end(), same) > 1) {
      return BadRequest{400, std::string(once) + " comes more than once"};
    }
  }
  FlowRequest request;
  const std::string* id = message.Find(kId);
  if (id == nullptr || id->empty()) return BadRequest{400, std::string(kId) + " is missing"};
  request.id = *id;
  if (!request_class) return BadRequest{400, std::string(kClass) + " is missing or unknown"};
  request.request_class = *request_class;
  if (!config_.tenant_names.empty()) {
    const std::string* tenant_name = message.Find(kTenant);
    const auto tenant = tenant_name ? NumberOf(config_.tenant_names, *tenant_name) : std::nullopt;
    if (!tenant) return BadRequest{400, std::string(kTenant) + " is missing or unknown"};
    request.tenant = *tenant;
  }
  const std::string* time = message.Find(kTime);
  const auto left = time ? WholeNumber(*time) : std::nullopt;
  if (!left || *left < 0 || *left > kLongestWait) {
    return BadRequest{400, std::string(kTime) + " is missing or no time"};
  }
  request.time_left = std::chrono::milliseconds(*left);
  const Repeat repeat = config_.settings.classes[static_cast<size_t>(request.request_class)].repeat;
  if (message.method != (repeat == Repeat::kSafe ? "GET" : "POST")) {
    return BadRequest{400, "the class does not take this method"};
  }
  if (message.method == "GET" && (long_body || !message.body.empty())) {
    return BadRequest{400, "a request that is safe to repeat has no body"};
  }
  if (repeat == Repeat::kKeyed && (message.Find(kKey) == nullptr || message.Find(kKey)->empty())) {
    return BadRequest{400, std::string(kKey) + " is missing"};
  }
  const std::string* retried = message.Find(kRetried);
  request.client_retry = retried != nullptr && *retried == "1";
  request.expected_work = ExpectedWork(message.Find(kFigures));
  request.streaming_body = long_body;
  request.message = std::move(message);
  return request;
}

std::string Platform::BuildRequest(const FlowRequest& request, std::chrono::milliseconds wait) const {
  std::vector<Header> headers;
  for (const Header& header : request.message.headers) {
    if (!IsHopByHopHeader(header.name) && !HeaderNamesEqual(header.name, kTime)) headers.push_back(header);
  }
  headers.push_back({kTime, std::to_string(wait.count())});
  const Message& message = request.message;
  if (request.streaming_body) {
    return WriteRequestHead(message.method, message.target, headers, FramingOf(message, true));
  }
  return WriteRequest(message.method, message.target, headers, message.body);
}

Outcome Platform::OutcomeOf(const Message& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const std::string* mark = answer.Find(kNotProcessed);
  const bool never_ran = mark != nullptr && *mark == "1" && (answer.status == 503 || answer.status == 504);
  if (never_ran) return Outcome::kRejected;
  // Too early, too slow or too many is said of the moment, not of the request.
  const bool of_the_moment = answer.status == 408 || answer.status == 425 || answer.status == 429;
  return answer.status / 100 == 4 && !of_the_moment ? Outcome::kUnfit : Outcome::kError;
}

std::optional<LoadReport> Platform::ParseLoadReport(const Message& answer) const {
  const std::string* load = answer.Find(kLoad);
  return load == nullptr ? std::nullopt : ReadReport(*load);
}

std::optional<LoadReport> Platform::ParseCheckLoadReport(const Message& answer) const {
  const std::optional<LoadReport> report = ParseLoadReport(answer);
  return report || answer.body.empty() ? report : ReadReport(answer.body);
}

std::optional<LoadReport> Platform::ReadReport(std::string_view text) const {
  if (config_.report_columns.empty()) return std::nullopt;
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  // One column that is missing or makes no sense spoils the others: averages forget nonsense only slowly.
  LoadReport report;
  for (const std::string& column : config_.report_columns) {
    const double value = NumberIn(json, column.c_str(), -1);
    if (value < 0 || value > kMostReported) return std::nullopt;
    SetReported(column, value, &report);
  }
  return report;
}

Framing Platform::FramingOf(const Message& message, bool accepts_chunked) {
  return {message.content_length, !message.content_length && accepts_chunked};
}

namespace {

std::vector<Header> PassedOn(const Message& answer) {
  std::vector<Header> headers;
  for (const Header& header : answer.headers) {
    if (!IsHopByHopHeader(header.name) && !HeaderNamesEqual(header.name, kLoad)) headers.push_back(header);
  }
  return headers;
}

}  // namespace

std::string Platform::SuccessHead(const Message& head, const Framing& framing, bool keep_alive) const {
  return WriteResponseHead(200, PassedOn(head), framing, keep_alive);
}

std::string Platform::SuccessResponse(const Message& answer, bool keep_alive) const {
  return WriteResponse(200, PassedOn(answer), answer.body, keep_alive);
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

std::string Platform::BadRequestResponse(const BadRequest& bad) {
  return WriteResponse(bad.status, {}, bad.why + "\n", bad.status == 404);
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
  change.version = static_cast<std::int64_t>(NumberIn(json, "version", 0));
  change.full = json.contains("full") && json["full"].is_boolean() && json["full"].get<bool>();
  for (const Json& entry : json["servers"]) {
    if (auto server = ReadServer(entry, config_)) {
      change.servers.push_back(std::move(*server));
    } else {
      ++change.unreadable;
    }
  }
  return change;
}

std::optional<ListedServer> Platform::ParseMember(std::string_view text, const std::string& usual_id) const {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  if (!json.contains("id")) json["id"] = usual_id;
  if (!json.contains("state")) json["state"] = "ready";
  auto server = ReadServer(json, config_);
  // A node that is there tells of a server that is there.
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

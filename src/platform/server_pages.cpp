#include "platform/server_pages.h"

#include <nlohmann/json.hpp>

#include "http1/http.h"

namespace umberdyke::net {
namespace {

using Json = nlohmann::ordered_json;

std::optional<Json> ParseNodeData(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  const bool valid = json.is_object() && json.contains("addr") && json["addr"].is_string() &&
                     (!json.contains("state") || json["state"].is_string());
  return valid ? std::optional(std::move(json)) : std::nullopt;
}

}  // namespace

std::optional<ServerNode> ParseServerNode(std::string_view text) {
  const auto json = ParseNodeData(text);
  if (!json) return std::nullopt;
  return ServerNode{(*json)["addr"], json->value("state", "ready") != "ready"};
}

std::optional<std::string> WithState(std::string_view text, bool draining) {
  auto json = ParseNodeData(text);
  if (!json) return std::nullopt;
  (*json)["state"] = draining ? "draining" : "ready";
  return json->dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string LoadRequest() {
  return WriteRequest("GET", "/-/load", {{"Host", "server"}, {"Connection", "close"}}, "");
}

bool ReportsIdle(std::string_view body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return false;
  const auto is_zero = [&](const char* key) {
    return !json.contains(key) || (json[key].is_number() && json[key].get<double>() <= 0);
  };
  return (json.contains("inflight") || json.contains("queue")) && is_zero("inflight") && is_zero("queue");
}

}  // namespace umberdyke::net

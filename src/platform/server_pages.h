// Formats in which the platform's servers publish their state: the data of their membership node and their
// load page. Only parsers and serializers, no I/O.
#ifndef UMBERDYKE_PLATFORM_SERVER_PAGES_H_
#define UMBERDYKE_PLATFORM_SERVER_PAGES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace umberdyke::net {

// Time from announcing that a server drains until it can get no new requests.
constexpr std::chrono::milliseconds kServerDrainTime{300};

struct ServerNode {
  std::string address;
  bool draining = false;
};
// Returns nothing if the data is malformed.
std::optional<ServerNode> ParseServerNode(std::string_view json);
// Returns the same data with the state set to draining or ready; nothing if the data is malformed.
std::optional<std::string> WithState(std::string_view json, bool draining);

// Requests the load page of a server.
std::string LoadRequest();
// True if the load page shows no requests in flight and none queued; false if it is malformed.
bool ReportsIdle(std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_SERVER_PAGES_H_

// What the platform's servers tell of themselves to whoever runs them: their node's data and their load.
// Parsers and texts alone, like the rest of this room.
#ifndef UMBERDYKE_PLATFORM_SERVER_PAGES_H_
#define UMBERDYKE_PLATFORM_SERVER_PAGES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace umberdyke::net {

// From when a server's leaving was told until nothing new may come to it.
constexpr std::chrono::milliseconds kServerDrainTime{300};

struct ServerNode {
  std::string address;
  bool draining = false;
};
std::optional<ServerNode> ParseServerNode(std::string_view json);
// The same data with the state draining, or ready; absent where it is no such data.
std::optional<std::string> WithState(std::string_view json, bool draining);

std::string LoadRequest();
// Nothing is worked on and nothing waits. What cannot be read is not idle.
bool ReportsIdle(std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_SERVER_PAGES_H_

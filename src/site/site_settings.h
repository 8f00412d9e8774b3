// The site's settings under the names that the simulator and the real configuration share, read into the
// module's Settings. Decides nothing.
#ifndef UMBERDYKE_SITE_SITE_SETTINGS_H_
#define UMBERDYKE_SITE_SITE_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke {

// A path with dots to its value as text; lists of objects have .count and items .0, .1 and so on.
using SettingPairs = std::unordered_map<std::string, std::string>;

class SettingError : public std::runtime_error {
 public:
  explicit SettingError(const std::string& setting)
      : std::runtime_error("setting is unreadable: " + setting), name(setting) {}
  const std::string name;
};

// The settings, and how the site's load reports are laid out.
struct Configuration {
  Settings settings;
  std::vector<std::string> columns;
};

// Throws SettingError for a value that cannot be read; an absent one gets its default.
Configuration ReadSettings(const SettingPairs& pairs);
std::vector<std::string> SplitList(std::string_view text);
// Sets the figure of that name; unknown names are disregarded.
void SetReported(std::string_view name, double value, LoadReport* report);

}  // namespace umberdyke

#endif  // UMBERDYKE_SITE_SITE_SETTINGS_H_

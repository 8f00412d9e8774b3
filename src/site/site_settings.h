// Parses the site's settings into the decision module's Settings. The simulator and the real configuration
// share the setting names.
#ifndef UMBERDYKE_SITE_SITE_SETTINGS_H_
#define UMBERDYKE_SITE_SITE_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke {

// Maps a dotted path to its value as text. A list of objects has a .count and items .0, .1 and so on.
using SettingPairs = std::unordered_map<std::string, std::string>;

class SettingError : public std::runtime_error {
 public:
  explicit SettingError(const std::string& setting)
      : std::runtime_error("setting is unreadable: " + setting), name(setting) {}
  const std::string name;
};

// The settings, and the column names of the site's load reports in order.
struct Configuration {
  Settings settings;
  std::vector<std::string> columns;
};

// Throws SettingError for a value that cannot be parsed. A missing value gets its default.
Configuration ReadSettings(const SettingPairs& pairs);
// Splits comma-separated text.
std::vector<std::string> SplitList(std::string_view text);
// Sets the field of `report` with the given column name. Unknown names are ignored.
void SetReported(std::string_view name, double value, LoadReport* report);

}  // namespace umberdyke

#endif  // UMBERDYKE_SITE_SITE_SETTINGS_H_

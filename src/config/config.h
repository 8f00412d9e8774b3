// What the sidecar is told at its start: ROUTER_* and the JSON that ROUTER_CONFIG names, as typed settings.
#ifndef UMBERDYKE_CONFIG_CONFIG_H_
#define UMBERDYKE_CONFIG_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "loop/loop.h"
#include "site/site_settings.h"
#include "sites/plan.h"

namespace umberdyke::net {

// A missing or senseless value; what() is one plain line that names it.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Where the list of servers comes from, where it is not the platform's discovery.
struct Membership {
  enum class Kind { kNodes, kFile };
  Kind kind = Kind::kNodes;
  std::vector<std::string> servers;  // of the coordination service
  std::string path;                  // of the parent of all nodes, or of the file
  std::chrono::microseconds session{4'000'000};
  std::string auth_file;      // holds "user:password"; empty: none
  std::string register_path;  // of this sidecar's own node; empty: it has none
  double guard_share = 0.3;
  std::chrono::microseconds guard_within{5'000'000};
  std::chrono::microseconds guard_hold{60'000'000};
  friend bool operator==(const Membership&, const Membership&) = default;
};

// The other sidecars of the tier, where the settings let them talk to each other.
struct PeerSettings {
  Address listen{};
  std::vector<Address> addresses;  // of all of the tier, this one's included
};

struct Config {
  std::string name;
  Address listen{};
  std::optional<Address> console;  // the second address; absent: none is opened
  std::string runtime_folder;      // TMPDIR; shared with the process that this one replaces, if any
  Address discovery{};
  std::uint64_t seed = 0;
  std::string known;  // the list as this sidecar last held it, in discovery's form
  Settings settings;
  std::vector<std::string> class_names;  // by their number in the settings, like the next three
  std::vector<std::string> tenant_names;
  std::vector<std::string> zone_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> report_columns;
  std::chrono::microseconds connect_timeout{};
  std::chrono::microseconds connection_idle{};
  int descriptors = 0;
  std::int64_t memory = 0;  // bytes
  std::optional<Membership> membership;
  std::optional<PeerSettings> peers;  // absent: they say nothing to each other
  std::optional<sites::Plan> sites;   // for the loss of zones; absent: nothing watches over them
  std::string application;            // empty in the platform's form, like the next two
  std::string release;                // UMBERDYKE_RELEASE: the label that an agent started this process under
  std::string log_format;             // text or json
  std::string log_level;
  std::string rest;  // all that a reload does not apply, to tell whether it has changed
};

using Environment = std::function<std::optional<std::string>(const std::string&)>;

// Reads the variables and the file that they name. Throws ConfigError.
Config LoadConfig(const Environment& environment);
// Reads them anew. ROUTER_DISCOVERY is as old as the start: here the file goes before it. Throws ConfigError.
Config ReloadConfig(const Environment& environment);
// Reads the JSON text; variables that are set go before what it says. `path` names it in reasons. Throws
// ConfigError, for a file with a `format` already where a check finds anything.
Config ParseConfig(const std::string& json, const Environment& environment, const std::string& path = "file");

}  // namespace umberdyke::net

#endif  // UMBERDYKE_CONFIG_CONFIG_H_

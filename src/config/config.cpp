#include "config/config.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "config/sidecar_file.h"
#include "files/files.h"

namespace umberdyke::net {
namespace {

using Json = nlohmann::json;

constexpr int kFewestDescriptors = 64;
constexpr int kUsualDescriptors = 1024;
constexpr std::int64_t kUsualMemoryMb = 192;

[[noreturn]] void Bad(const std::string& name, const std::string& what) {
  throw ConfigError("configuration: " + name + " " + what);
}

std::string Scalar(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Nested JSON under the flat names of the simulator's first message, so that both read the same settings.
void Flatten(const std::string& path, const Json& value, SettingPairs* pairs) {
  const std::string prefix = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [name, item] : value.items()) Flatten(prefix + name, item, pairs);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    pairs->emplace(prefix + "count", std::to_string(value.size()));
    for (size_t i = 0; i < value.size(); ++i) Flatten(prefix + std::to_string(i), value[i], pairs);
  } else if (value.is_array()) {
    std::string all;
    for (const Json& item : value) all += (all.empty() ? "" : ",") + Scalar(item);
    pairs->emplace(path, all);
  } else if (!value.is_null()) {
    pairs->emplace(path, Scalar(value));
  }
}

// The names of a list of words, or of the objects of a list.
std::vector<std::string> NamesIn(const Json& settings, const std::string& list) {
  std::vector<std::string> names;
  const auto it = settings.find(list);
  if (it == settings.end() || it->is_null()) return names;
  if (!it->is_array()) Bad("settings." + list, "is not a list");
  for (const Json& item : *it) {
    const Json* name = &item;
    if (item.is_object()) {
      if (!item.contains("name")) Bad("settings." + list + "[].name", "is missing");
      name = &item["name"];
    }
    if (!name->is_string()) Bad("settings." + list, "holds a name that is no text");
    names.push_back(name->get<std::string>());
  }
  return names;
}

std::optional<std::string> TextIn(const Json& object, const std::string& name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return std::nullopt;
  if (!it->is_string()) Bad(name, "is not a text");
  return it->get<std::string>();
}

std::string Told(const Json& json, const Environment& environment, const std::string& variable,
                 const std::string& name) {
  if (auto value = environment(variable); value && !value->empty()) return *value;
  if (auto value = TextIn(json, name); value && !value->empty()) return *value;
  Bad(name, "is missing (" + variable + " is not set either)");
}

Address AddressFrom(const std::string& text, const std::string& name) {
  const std::optional<Address> address = ParseAddress(text);
  if (!address) Bad(name, "is no address with a port: " + text);
  return *address;
}

std::uint64_t SeedFrom(const Json& json) {
  const auto it = json.find("seed");
  if (it == json.end()) Bad("seed", "is missing");
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  std::uint64_t seed = 0;
  if (!it->is_string()) Bad("seed", "is neither hexadecimal text nor a number");
  const auto& text = it->get_ref<const std::string&>();
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    Bad("seed", "is no hexadecimal number of 64 bits");
  return seed;
}

// Only in a file that was checked: kinds and ranges hold.
Membership MembershipFrom(const Json& json) {
  Membership m;
  const auto text = [&](const char* name) { return TextIn(json, name).value_or(""); };
  const auto span = [&](const char* name, std::chrono::microseconds usual) {
    const auto it = json.find(name);
    return it == json.end() ? usual : std::chrono::microseconds(it->get<std::int64_t>());
  };
  m.kind = text("kind") == "file" ? Membership::Kind::kFile : Membership::Kind::kNodes;
  if (const auto it = json.find("servers"); it != json.end()) m.servers = it->get<std::vector<std::string>>();
  m.path = text("path");
  m.auth_file = text("auth_file");
  m.register_path = text("register_path");
  m.session = span("session_us", m.session);
  m.guard_within = span("guard_within_us", m.guard_within);
  m.guard_hold = span("guard_hold_us", m.guard_hold);
  if (const auto it = json.find("guard_share"); it != json.end()) m.guard_share = it->get<double>();
  return m;
}

// New with each start: copies that start together must not draw in step.
std::uint64_t DrawnSeed() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

std::chrono::microseconds SpanFrom(const Json& settings, const std::string& name, std::int64_t usual) {
  const auto ceilings = settings.find("ceilings");
  if (ceilings == settings.end() || !ceilings->contains(name)) return std::chrono::microseconds(usual);
  const Json& value = (*ceilings)[name];
  if (!value.is_number() || value.get<double>() <= 0 || value.get<double>() > 1e12) {
    Bad("settings.ceilings." + name, "is no time above zero");
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(value.get<double>()));
}

int DescriptorsFrom(const Json& json) {
  const auto limits = json.find("limits");
  if (limits == json.end() || !limits->contains("sockets")) return kUsualDescriptors;
  const Json& sockets = (*limits)["sockets"];
  if (!sockets.is_number_integer() || sockets.get<std::int64_t>() < kFewestDescriptors) {
    Bad("limits.sockets", "is no number of at least " + std::to_string(kFewestDescriptors));
  }
  return static_cast<int>(std::min<std::int64_t>(sockets.get<std::int64_t>(), 1 << 20));
}

std::int64_t MemoryFrom(const Json& json) {
  const auto limits = json.find("limits");
  if (limits == json.end() || !limits->contains("memory_mb")) return kUsualMemoryMb << 20;
  const Json& memory = (*limits)["memory_mb"];
  if (!memory.is_number() || !(memory.get<double>() >= 1))
    Bad("limits.memory_mb", "is no number of at least 1");
  return static_cast<std::int64_t>(std::min(memory.get<double>(), 1e7) * (1 << 20));
}

// The second address: the variable goes before the file; neither, and none is opened.
std::optional<Address> ConsoleFrom(const Json& json, const Environment& environment) {
  std::optional<std::string> told = environment("ROUTER_CONSOLE");
  if (!told || told->empty()) told = TextIn(json, "console");
  if (!told || told->empty()) return std::nullopt;
  return AddressFrom(*told, "console");
}

// Absent where the settings do not allow it, or no addresses are given.
std::optional<PeerSettings> PeersFrom(const Json& json, const Json& settings) {
  const auto ceilings = settings.find("ceilings");
  if (ceilings == settings.end() || !ceilings->is_object()) return std::nullopt;
  const auto allowed = ceilings->find("peers");
  if (allowed == ceilings->end() || !allowed->is_boolean() || !allowed->get<bool>()) return std::nullopt;
  const std::optional<std::string> listen = TextIn(json, "peer_listen");
  const auto list = json.find("peers");
  if (!listen || listen->empty() || list == json.end() || !list->is_array()) return std::nullopt;
  PeerSettings peers;
  peers.listen = AddressFrom(*listen, "peer_listen");
  for (const Json& address : *list) {
    if (!address.is_string()) Bad("peers", "holds an address that is no text");
    peers.addresses.push_back(AddressFrom(address.get<std::string>(), "peers"));
  }
  return peers;
}

struct Source {
  std::string path;
  std::string text;
};

Source ConfigFile(const Environment& environment) {
  const std::optional<std::string> path = environment("ROUTER_CONFIG");
  if (!path || path->empty()) Bad("ROUTER_CONFIG", "is not set");
  files::ReadResult read = files::ReadFile(*path, config::kLargestFile);
  if (!read.error.empty()) Bad("ROUTER_CONFIG", "names a file that cannot be read: " + read.error);
  return {*path, std::move(read.text)};
}

// Files of format 2 on are an operator's own, and a sidecar starts from none that breaks a rule. The
// platform's form has no `format`, and is taken as it always was.
void RefuseFindings(const std::string& path, const std::string& text, const Environment& environment) {
  config::Findings findings;
  config::CheckSidecar(path, text, environment, &findings);
  if (findings.empty()) return;
  findings.Sort({path});
  const size_t more = findings.list().size() - 1;
  throw ConfigError("configuration: " + config::PrintLine(findings.list().front()) +
                    (more == 0 ? "" : " (and " + std::to_string(more) + " more; --check tells all)"));
}

}  // namespace

Config LoadConfig(const Environment& environment) {
  const Source source = ConfigFile(environment);
  return ParseConfig(source.text, environment, source.path);
}

Config ReloadConfig(const Environment& environment) {
  const Source source = ConfigFile(environment);
  const Json json = Json::parse(source.text, nullptr, false);
  const bool told = json.is_object() && json.contains("discovery") && !json["discovery"].is_null();
  const Environment file_first = [&](const std::string& name) {
    return told && name == "ROUTER_DISCOVERY" ? std::nullopt : environment(name);
  };
  return ParseConfig(source.text, file_first, source.path);
}

Config ParseConfig(const std::string& text, const Environment& environment, const std::string& path) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) Bad("the file", "is not a JSON object");
  const bool own = json.contains("format");
  if (own) RefuseFindings(path, text, environment);
  Config config;
  config.name = Told(json, environment, "ROUTER_NAME", "name");
  config.listen = AddressFrom(Told(json, environment, "ROUTER_LISTEN", "listen"), "listen");
  config.console = ConsoleFrom(json, environment);
  config.runtime_folder = environment("TMPDIR").value_or("");
  config.release = environment("UMBERDYKE_RELEASE").value_or("");
  if (own && json.contains("membership")) config.membership = MembershipFrom(json["membership"]);
  if (!config.membership) {
    config.discovery = AddressFrom(Told(json, environment, "ROUTER_DISCOVERY", "discovery"), "discovery");
  }
  config.seed = own && !json.contains("seed") ? DrawnSeed() : SeedFrom(json);
  if (const auto log = json.find("log"); own && log != json.end()) {
    config.log_format = TextIn(*log, "format").value_or("");
    config.log_level = TextIn(*log, "level").value_or("");
  }
  if (own) config.application = TextIn(json, "application").value_or("");
  config.descriptors = DescriptorsFrom(json);
  config.memory = MemoryFrom(json);
  if (json.contains("known") && !json["known"].is_null()) config.known = json["known"].dump();
  const auto settings = json.find("settings");
  if (settings == json.end() || !settings->is_object()) Bad("settings", "is missing or no object");
  SettingPairs pairs;
  Flatten("", *settings, &pairs);
  try {
    Configuration read = ReadSettings(pairs);
    config.settings = std::move(read.settings);
    config.report_columns = std::move(read.columns);
  } catch (const SettingError& error) {
    Bad("settings." + error.name, "is unreadable");
  }
  config.peers = PeersFrom(json, *settings);
  config.class_names = NamesIn(*settings, "request_classes");
  config.tenant_names = NamesIn(*settings, "accounts");
  config.zone_names = NamesIn(*settings, "dcs");
  config.kind_names = NamesIn(*settings, "kinds");
  if (const auto sites = json.find("sites"); own && sites != json.end()) {
    auto plan = sites::ReadPlan(sites->dump(), config.application, config.zone_names);
    if (const auto* why = std::get_if<std::string>(&plan)) Bad("sites", "is no plan: " + *why);
    config.sites = std::move(std::get<sites::Plan>(plan));
  }
  if (config.class_names.empty()) Bad("settings.request_classes", "is missing or empty");
  config.connect_timeout = SpanFrom(*settings, "connect_timeout_us", 1'000'000);
  config.connection_idle = SpanFrom(*settings, "conn_idle_us", 60'000'000);
  Json rest = json;
  for (const char* applied : {"discovery", "known", "seed"}) rest.erase(applied);
  config.rest = rest.dump();
  return config;
}

}  // namespace umberdyke::net

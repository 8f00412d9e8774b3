// Descriptions to sidecars' files, and telling what became of those.
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/agent_file.h"
#include "config/sidecar_file.h"

namespace umberdyke::config {
namespace {

using Json = nlohmann::ordered_json;

std::string SemanticsOf(int repeat) {
  return repeat == static_cast<int>(Repeat::kSafe)    ? "pure"
         : repeat == static_cast<int>(Repeat::kKeyed) ? "token"
                                                      : "side_effect";
}

std::string GroupOf(const ClassText& c) {
  if (c.repeat.value == static_cast<int>(Repeat::kSafe)) return "all";
  return c.key_scope.value == static_cast<int>(Group::kZone)  ? "zone"
         : c.key_scope.value == static_cast<int>(Group::kAll) ? "all"
                                                              : "cell";
}

Json Values(const std::vector<Placed<std::string>>& texts) {
  Json list = Json::array();
  for (const auto& text : texts) list.push_back(text.value);
  return list;
}

// Over everything but the mark itself, so that a blank or a line end more is no change.
std::string Checksum(Json document) {
  document.erase("written");
  const std::string text = document.dump();
  char hex[32];
  std::snprintf(hex, sizeof hex, "xxh3:%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return hex;
}

Json Mark(const Json& json) { return {{"by", "umberdykectl config write"}, {"checksum", Checksum(json)}}; }

std::optional<Json> Parse(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  return json;
}

class Writer {
 public:
  Writer(const Application& app, const std::string& plan)
      : app_(app), plan_(plan), tiers_(*TiersInOrder(app)) {}

  std::string Write(const SidecarText& sidecar) const {
    Json json;
    json["format"] = kSidecarFormat;
    json["written"] = Json::object();
    json["application"] = app_.name.value;
    json["host"] = sidecar.host.value;
    json["name"] = sidecar.name.value;
    json["listen"] = sidecar.listen.value;
    if (sidecar.console.given) json["console"] = sidecar.console.value;
    Source(*app_.Tier(sidecar.tier.value), sidecar, &json);
    json["log"] = {{"format", app_.log_format}, {"level", app_.log_level}};
    json["limits"] = {{"cores", sidecar.limits.cores.value},
                      {"memory_mb", sidecar.limits.memory.value >> 20},
                      {"sockets", sidecar.limits.descriptors.value}};
    if (app_.peers.value) {
      json["peer_listen"] = sidecar.peer_listen.value;
      Json peers = Json::array();
      for (const SidecarText& other : app_.sidecars) {
        if (other.tier.value == sidecar.tier.value) peers.push_back(other.peer_listen.value);
      }
      json["peers"] = std::move(peers);
    }
    json["known"] = {{"version", 0}, {"full", true}, {"servers", Json::array()}};
    if (!plan_.empty()) json["sites"] = Json::parse(plan_);
    json["settings"] = Settings(sidecar);
    json["written"] = Mark(json);
    return json.dump(2) + "\n";
  }

 private:
  static void Source(const TierText& tier, const SidecarText& sidecar, Json* json) {
    if (tier.discovery.given) {
      (*json)["discovery"] = tier.discovery.value;
      return;
    }
    Json& m = (*json)["membership"];
    if (tier.members_file.given) {
      m = {{"kind", "file"}, {"path", tier.members_file.value}};
      return;
    }
    m = {{"kind", "nodes"},
         {"servers", Values(tier.coordinators)},
         {"path", tier.nodes.value},
         {"session_us", tier.session.value.count()},
         {"guard_share", tier.guard_share.value},
         {"guard_within_us", tier.guard_within.value.count()},
         {"guard_hold_us", tier.guard_hold.value.count()}};
    if (!tier.auth_file.value.empty()) m["auth_file"] = tier.auth_file.value;
    if (!tier.register_under.value.empty())
      m["register_path"] = tier.register_under.value + "/" + sidecar.name.value;
  }

  Json Settings(const SidecarText& sidecar) const {
    const TierText& tier = *app_.Tier(sidecar.tier.value);
    const auto position = std::find(tiers_.begin(), tiers_.end(), &tier) - tiers_.begin();
    int balancers = 0, me = 0;
    for (const SidecarText& other : app_.sidecars) {
      if (other.tier.value != tier.name.value) continue;
      if (&other == &sidecar) me = balancers;
      ++balancers;
    }
    Json names = Json::array();
    for (const TierText* t : tiers_) names.push_back(t->name.value);
    const std::string& zone = app_.Host(sidecar.host.value)->zone.value;
    const auto az =
        std::find_if(app_.zones.begin(), app_.zones.end(), [&](const auto& z) { return z.value == zone; }) -
        app_.zones.begin();
    Json settings;
    settings["tier"] = position;
    settings["tiers"] = names;
    settings["balancers"] = balancers;
    settings["me"] = me;
    settings["az"] = az;
    settings["dcs"] = Values(app_.zones);
    settings["kinds"] = Values(app_.kinds);
    settings["discovery"] = "ask";
    settings["period_us"] = app_.tick.value.count();
    settings["over_share_worth"] = app_.over_share_worth.value;
    Json accounts = Json::array();
    for (const TenantText& t : app_.tenants) {
      accounts.push_back(
          {{"name", t.name.value}, {"fraction", t.share.value}, {"allowance_per_s", t.rate.value}});
    }
    settings["accounts"] = accounts;
    settings["ceilings"] = {{"cancel", app_.cancel.value},
                            {"parallel_tries", app_.parallel.value},
                            {"most_tries", tier.attempts.value},
                            {"retry_after", app_.retry_after.value.count() > 0},
                            {"max_retry_after_us", app_.retry_after.value.count()},
                            {"connect_timeout_us", app_.connect_timeout.value.count()},
                            {"conn_idle_us", app_.idle.value.count()},
                            {"probes", app_.checks.value},
                            {"peers", app_.peers.value}};
    settings["report"] = {{"how", app_.report.empty() ? "silent" : "piggyback"},
                          {"columns", Values(app_.report)}};
    settings["rules"] = {
        {"ask_every_us", app_.ask_every.value.count()}, {"start_capacity", app_.start_capacity.value},
        {"cold_us", app_.cold_time.value.count()},      {"fall_multiple", app_.fall_multiple.value},
        {"fall_us", app_.fall_time.value.count()},      {"stop_sending_within_us", app_.drain.value.count()},
        {"let_go_in_us", app_.drain.value.count()}};
    Json classes = Json::array();
    for (const ClassText& c : app_.classes) {
      classes.push_back({{"name", c.name.value},
                         {"semantics", SemanticsOf(c.repeat.value)},
                         {"group", GroupOf(c)},
                         {"window_us", c.key_window.value.count()},
                         {"target_us", c.aim.value.count()},
                         {"hard_limit_us", c.give_up.value.count()},
                         {"points", c.worth.value},
                         {"late_share", c.late_share.value},
                         {"stream", false}});
    }
    settings["request_classes"] = classes;
    return settings;
  }

  const Application& app_;
  const std::string& plan_;
  const std::vector<const TierText*> tiers_;
};

// Every value under its path with dots.
void Flatten(const std::string& path, const Json& value, std::map<std::string, std::string>* values) {
  if (value.is_object() && !value.empty()) {
    for (const auto& [name, item] : value.items()) {
      Flatten(path.empty() ? name : path + "." + name, IsSecret(name) ? Json("(secret)") : item, values);
    }
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    for (size_t i = 0; i < value.size(); ++i) Flatten(path + "." + std::to_string(i), value[i], values);
  } else {
    (*values)[path] = OneLine(value.dump(-1, ' ', false, Json::error_handler_t::replace));
  }
}

}  // namespace

std::vector<WrittenFile> WriteSidecars(const Application& application, std::string_view host,
                                       const std::string& plan) {
  const Writer writer(application, plan);
  std::vector<WrittenFile> files;
  for (const SidecarText& sidecar : application.sidecars) {
    if (sidecar.host.value != host) continue;
    files.push_back({application.name.value + "." + sidecar.name.value + ".json", writer.Write(sidecar)});
  }
  if (const HostText* text = application.Host(host); application.fleet.given && text != nullptr) {
    Json json = Json::parse(WriteAgentFile(application, *text));
    if (!plan.empty()) json["sites"] = Json::parse(plan);
    json["written"] = Mark(json);
    files.push_back({AgentFileName(application, host), json.dump(2) + "\n"});
  }
  return files;
}

Hand ChangedByHand(std::string_view text) {
  const std::optional<Json> json = Parse(text);
  if (!json) return Hand::kNotOurs;
  const auto written = json->find("written");
  if (written == json->end() || !written->is_object() || !written->contains("checksum"))
    return Hand::kNotOurs;
  return (*written)["checksum"] == Checksum(*json) ? Hand::kUntouched : Hand::kChanged;
}

std::optional<Belongs> BelongsTo(std::string_view text) {
  const std::optional<Json> json = Parse(text);
  if (!json || !json->contains("written")) return std::nullopt;
  const auto said = [&](const char* key) {
    const auto it = json->find(key);
    return it != json->end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  return Belongs{said("application"), said("host")};
}

std::vector<std::string> Differences(std::string_view before, std::string_view after) {
  std::map<std::string, std::string> old_values, new_values;
  const auto fill = [](std::string_view text, std::map<std::string, std::string>* values) {
    std::optional<Json> json = Parse(text);
    if (!json) return;
    json->erase("written");
    Flatten("", *json, values);
  };
  fill(before, &old_values);
  fill(after, &new_values);
  std::set<std::string> paths;
  for (const auto* values : {&old_values, &new_values}) {
    for (const auto& [path, value] : *values) paths.insert(path);
  }
  std::vector<std::string> lines;
  for (const std::string& path : paths) {
    const auto told = [&](const auto& values) {
      const auto it = values.find(path);
      return it == values.end() ? std::string("(absent)") : it->second;
    };
    const std::string was = told(old_values), is = told(new_values);
    if (was != is) lines.push_back(OneLine(path) + ": " + was + " -> " + is);
  }
  return lines;
}

}  // namespace umberdyke::config

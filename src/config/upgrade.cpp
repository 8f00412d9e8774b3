// Format 1 to format 2. Format 1 was read leniently: numbers and flags as text, unknown words as the
// strictest choice, unknown names passed over. Format 2 is read strictly, so each leniency is either spelt
// out or told.
#include <cmath>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "config/sidecar_file.h"

namespace umberdyke::config {
namespace {

using Json = nlohmann::ordered_json;

// Where each value stands, by its path, and each path by its place.
void Places(const Node& node, const std::string& path, std::map<std::string, Place>* places) {
  for (const Member& member : node.members) {
    const std::string at = path.empty() ? member.name : path + "." + member.name;
    places->emplace(at, member.value.place);
    Places(member.value, at, places);
  }
  for (size_t i = 0; i < node.items.size(); ++i) {
    const std::string at = path + "." + std::to_string(i);
    places->emplace(at, node.items[i].place);
    Places(node.items[i], at, places);
  }
}

class Upgrader {
 public:
  Upgrader(const std::string& file, Json* json, const std::map<std::string, Place>& places,
           Findings* findings, std::vector<std::string>* notes)
      : file_(file), json_(*json), places_(places), findings_(findings), notes_(*notes) {}

  void Run() {
    if (json_.erase("seed") > 0) notes_.push_back("seed: left out, it is drawn at each start");
    if (json_.contains("limits")) Numbers(json_["limits"], "limits", {"cores", "memory_mb", "sockets"});
    const auto settings = json_.find("settings");
    if (settings == json_.end() || !settings->is_object()) return;
    Json& s = *settings;
    Numbers(s, "settings", {"tier", "balancers", "me", "az", "period_us", "over_share_worth"});
    if (s.contains("ceilings")) {
      Json& c = s["ceilings"];
      Flags(c, "settings.ceilings", {"cancel", "probes", "peers", "parallel_tries", "retry_after"});
      Numbers(c, "settings.ceilings",
              {"most_tries", "max_retry_after_us", "connect_timeout_us", "conn_idle_us"});
    }
    if (s.contains("rules")) {
      Numbers(s["rules"], "settings.rules",
              {"ask_every_us", "start_capacity", "cold_us", "fall_multiple", "fall_us",
               "stop_sending_within_us", "let_go_in_us"});
    }
    EachOf(s, "accounts", [&](Json& account, const std::string& path) {
      Numbers(account, path, {"fraction", "allowance_per_s"});
    });
    EachOf(s, "request_classes", [&](Json& c, const std::string& path) {
      Numbers(c, path, {"window_us", "target_us", "hard_limit_us", "points", "late_share", "aim_stretch"});
      Flags(c, path, {"stream"});
      Words(c, path);
    });
  }

 private:
  Place PlaceOf(const std::string& path) const {
    const auto it = places_.find(path);
    return it == places_.end() ? Place() : it->second;
  }
  void Refuse(const std::string& path, const std::string& why) {
    findings_->Add(file_, PlaceOf(path), "cannot-carry", path + " " + why);
  }
  void Note(const std::string& path, const Json& is) { notes_.push_back(path + ": now " + is.dump()); }

  template <typename Each>
  static void EachOf(Json& table, const char* key, Each each) {
    const auto list = table.find(key);
    if (list == table.end() || !list->is_array()) return;
    for (size_t i = 0; i < list->size(); ++i) {
      if ((*list)[i].is_object()) each((*list)[i], std::string("settings.") + key + "." + std::to_string(i));
    }
  }

  // Numbers in text, and whole times written as 1500000.0.
  void Numbers(Json& table, const std::string& path, std::initializer_list<const char*> keys) {
    for (const char* key : keys) {
      if (!table.is_object() || !table.contains(key)) continue;
      Json& value = table[key];
      const std::string at = path + "." + key;
      if (value.is_string()) {
        const Json read = Json::parse(value.get<std::string>(), nullptr, false);
        if (!read.is_number()) {
          Refuse(at, "is a text that holds no number");
          continue;
        }
        value = read;
        Note(at, value);
      }
      if (!value.is_number_float() || !MeansWhole(key)) continue;
      const double number = value.get<double>();
      if (!std::isfinite(number) || std::abs(number) > 9e15) continue;  // told by its range
      const auto whole = static_cast<std::int64_t>(number);
      if (static_cast<double>(whole) != number) {
        Refuse(at, "is " + value.dump() + "; format 1 cut it to " + std::to_string(whole) + " in silence");
        continue;
      }
      value = whole;
      Note(at, value);
    }
  }

  static bool MeansWhole(std::string_view key) {
    static const std::set<std::string_view> kWhole = {"tier",       "balancers", "me",     "az",
                                                      "most_tries", "memory_mb", "sockets"};
    return key.ends_with("_us") || kWhole.contains(key);
  }

  void Flags(Json& table, const std::string& path, std::initializer_list<const char*> keys) {
    for (const char* key : keys) {
      if (!table.is_object() || !table.contains(key) || table[key].is_boolean()) continue;
      Json& value = table[key];
      const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
      const std::string at = path + "." + key;
      if (text != "1" && text != "0" && text != "true" && text != "false") {
        Refuse(at, "is neither true nor false");
        continue;
      }
      value = text == "1" || text == "true";
      Note(at, value);
    }
  }

  // Format 1 took any other word for the strictest choice, whatever had been meant.
  void Words(Json& c, const std::string& path) {
    const auto said = [&](const char* key) {
      return c.contains(key) && c[key].is_string() ? c[key].get<std::string>() : std::string();
    };
    const std::string semantics = said("semantics");
    if (semantics != "pure" && semantics != "token" && semantics != "side_effect") {
      Refuse(c.contains("semantics") ? path + ".semantics" : path,
             "names no semantics that are known; format 1 took it for side_effect in silence");
    }
    const std::string group = said("group");
    if (group == "all" || group == "zone" || group == "cell") return;
    if (c.contains("group")) {
      Refuse(path + ".group", "names no group that is known; format 1 took it for cell in silence");
      return;
    }
    c["group"] = "cell";
    Note(path + ".group", c["group"]);
  }

  const std::string& file_;
  Json& json_;
  const std::map<std::string, Place>& places_;
  Findings* const findings_;
  std::vector<std::string>& notes_;
};

// Findings in the upgraded text, told at the places of the text that the operator has.
void Carry(const Findings& from, const std::map<std::string, Place>& new_places,
           const std::map<std::string, Place>& old_places, Findings* to) {
  std::map<std::pair<int, int>, std::string> paths;
  for (const auto& [path, place] : new_places) paths.emplace(std::pair(place.line, place.column), path);
  for (const Finding& finding : from.list()) {
    // The last value that begins at or before the finding: a key stands before its own value.
    auto it = paths.upper_bound({finding.place.line, std::numeric_limits<int>::max()});
    const std::string path = it == paths.begin() ? "" : std::prev(it)->second;
    const auto old = old_places.find(path);
    to->Add(finding.file, old == old_places.end() ? Place() : old->second, finding.rule, finding.reason);
  }
}

// Names that format 1 passed over and nothing reads are left out.
void DropUnknown(const std::string& path, Json* json, const std::set<std::string>& unknown,
                 std::vector<std::string>* notes) {
  if (json->is_array()) {
    for (size_t i = 0; i < json->size(); ++i) {
      DropUnknown(path + "." + std::to_string(i), &(*json)[i], unknown, notes);
    }
  }
  if (!json->is_object()) return;
  std::vector<std::string> gone;
  for (auto& [name, value] : json->items()) {
    const std::string at = path.empty() ? name : path + "." + name;
    if (unknown.contains(at)) {
      gone.push_back(name);
      notes->push_back(OneLine(at) + ": left out, nothing reads it");
    } else {
      DropUnknown(at, &value, unknown, notes);
    }
  }
  for (const std::string& name : gone) json->erase(name);
}

}  // namespace

std::optional<Upgraded> UpgradeSidecar(const std::string& file, std::string_view text, Findings* findings) {
  const Variables none = [](const std::string&) { return std::nullopt; };
  const size_t before = findings->list().size();
  const std::optional<Node> node = ReadJson(file, text, findings);
  if (!node || findings->list().size() > before) return std::nullopt;
  if (node->kind != Node::Kind::kTable) {
    findings->Add(file, node->place, "wrong-type", "the file is " + KindName(node->kind) + ", not a table");
    return std::nullopt;
  }
  Upgraded result;
  Json json = Json::parse(text, nullptr, false);
  if (json.contains("format") && json["format"] != 1) {
    const auto read = CheckSidecar(file, text, none, findings);
    if (!read) return std::nullopt;
    result.from = read->format;
    result.text = std::string(text);
    return findings->list().size() > before ? std::nullopt : std::optional(std::move(result));
  }
  std::map<std::string, Place> old_places;
  Places(*node, "", &old_places);
  Upgrader(file, &json, old_places, findings, &result.notes).Run();

  json.erase("format");
  Json ordered = {{"format", kSidecarFormat}};
  ordered.update(json);

  // Unknown names first: a likely slip of the pen stays a finding, the rest goes.
  Findings strict, lenient;
  const std::string draft = ordered.dump(2) + "\n";
  CheckSidecar(file, draft, none, &strict);
  CheckSidecar(file, json.dump(2), none, &lenient);
  std::set<std::string> unknown;
  const std::string marker = " is no known key";
  for (const Finding& finding : strict.list()) {
    const size_t end = finding.reason.find("'" + marker);
    if (finding.rule != "unknown-key" || end == std::string::npos) continue;
    const bool slip = std::any_of(lenient.list().begin(), lenient.list().end(),
                                  [&](const Finding& f) { return f.reason == finding.reason; });
    if (!slip) unknown.insert(finding.reason.substr(1, end - 1));
  }
  DropUnknown("", &ordered, unknown, &result.notes);

  result.text = ordered.dump(2) + "\n";
  Findings left;
  CheckSidecar(file, result.text, none, &left);
  Findings scratch;
  std::map<std::string, Place> new_places;
  if (const auto fresh = ReadJson(file, result.text, &scratch)) Places(*fresh, "", &new_places);
  Carry(left, new_places, old_places, findings);
  if (findings->list().size() > before) return std::nullopt;
  return result;
}

}  // namespace umberdyke::config

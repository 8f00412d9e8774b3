#include "sites/plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace umberdyke::sites {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kRounding = 1e-4;
constexpr std::size_t kMostTiers = 16;
constexpr std::int64_t kLongestMs = 3'600'000;

[[noreturn]] void Bad(const std::string& why) { throw std::invalid_argument(why); }

// Parsed, and of the right form and application. Throws std::invalid_argument with what is wrong.
Json Open(std::string_view text, const char* what, const std::string& application) {
  if (text.size() > kLongestPlan) Bad("it is longer than any " + std::string(what));
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) Bad("it is no JSON object");
  const auto format = json.find("format");
  if (format == json.end() || !format->is_number_integer()) Bad("it has no format");
  if (format->get<std::int64_t>() != kPlanFormat)
    Bad("it is of format " + format->dump() + "; this program reads format " + std::to_string(kPlanFormat));
  const auto whose = json.find("application");
  if (whose == json.end() || !whose->is_string()) Bad("it names no application");
  if (*whose != application) Bad("it is for another application");
  return json;
}

const Json& Field(const Json& json, const char* name) {
  const auto it = json.find(name);
  if (it == json.end()) Bad(std::string(name) + " is missing");
  return *it;
}

double Number(const Json& json, const std::string& name, double least, double most) {
  if (!json.is_number()) Bad(name + " is no number");
  const double value = json.get<double>();
  if (!std::isfinite(value) || value < least || value > most) Bad(name + " is out of range");
  return value;
}

milliseconds Time(const Json& json, const std::string& name) {
  return milliseconds(static_cast<std::int64_t>(Number(json, name, 0, kLongestMs)));
}

int Zone(const Json& json, const std::vector<std::string>& zones) {
  if (!json.is_string()) Bad("a zone is no text");
  const auto it = std::find(zones.begin(), zones.end(), json.get<std::string>());
  if (it == zones.end()) Bad("it names a zone that is not known here");
  return static_cast<int>(it - zones.begin());
}

std::vector<int> Lost(const Json& json, const std::vector<std::string>& zones) {
  if (!json.is_array()) Bad("lost is no list");
  std::set<int> lost;
  for (const Json& zone : json) lost.insert(Zone(zone, zones));
  if (lost.size() != json.size()) Bad("lost names a zone twice");
  return {lost.begin(), lost.end()};
}

std::vector<std::vector<double>> Shares(const Json& json, const std::vector<int>& lost, std::size_t zones) {
  if (!json.is_array() || json.size() != zones) Bad("shares are not one row for each zone");
  std::vector<std::vector<double>> rows;
  for (const Json& row : json) {
    if (!row.is_array() || row.size() != zones) Bad("a row of shares does not have one for each zone");
    double sum = 0;
    std::vector<double>& values = rows.emplace_back();
    for (const Json& share : row) sum += values.emplace_back(Number(share, "a share", 0, 1 + kRounding));
    if (sum > kRounding && std::abs(sum - 1) > kRounding) Bad("shares do not sum to 1");
    for (const int zone : lost) {
      if (values[static_cast<std::size_t>(zone)] > kRounding) Bad("shares go to a zone that is lost");
    }
  }
  return rows;
}

Json Names(const std::vector<int>& which, const std::vector<std::string>& zones) {
  Json json = Json::array();
  for (const int zone : which) json.push_back(zones[static_cast<std::size_t>(zone)]);
  return json;
}

template <typename T, typename Read>
std::variant<T, std::string> Strictly(const char* what, Read read) {
  try {
    return read();
  } catch (const std::exception& error) {
    return std::string(what) + " cannot be used: " + error.what();
  }
}

}  // namespace

const Loss* Plan::Find(const std::vector<int>& lost) const {
  const auto it = std::find_if(losses.begin(), losses.end(), [&](const Loss& l) { return l.lost == lost; });
  return it == losses.end() ? nullptr : &*it;
}

std::string Print(const Plan& plan) {
  Json json;
  json["format"] = kPlanFormat;
  json["application"] = plan.application;
  json["zones"] = plan.zones;
  json["probes_per_s"] = plan.probes_per_s;
  json["silence_ms"] = plan.silence.count();
  json["follow"] = plan.follow;
  json["order"] = plan.order;
  json["losses"] = Json::array();
  for (const Loss& loss : plan.losses) {
    Json one;
    one["lost"] = Names(loss.lost, plan.zones);
    one["shares"] = loss.shares;
    for (Json& tier : one["shares"]) {
      for (Json& row : tier) {
        for (Json& share : row) share = std::round(share.get<double>() * 1e6) / 1e6;
      }
    }
    json["losses"].push_back(std::move(one));
  }
  json["return"] = Json::array();
  for (const Step& step : plan.back)
    json["return"].push_back({{"part", step.part}, {"hold_ms", step.hold.count()}});
  return json.dump();
}

std::variant<Plan, std::string> ReadPlan(std::string_view text, const std::string& application,
                                         const std::vector<std::string>& zones) {
  return Strictly<Plan>("the plan", [&] {
    const Json json = Open(text, "plan", application);
    Plan plan;
    plan.application = application;
    const Json& named = Field(json, "zones");
    if (!named.is_array() || named.size() > kMostZones || named != Json(zones))
      Bad("its zones are not those of this application");
    plan.zones = zones;
    plan.probes_per_s = Number(Field(json, "probes_per_s"), "probes_per_s", 0.001, 1e6);
    plan.silence = Time(Field(json, "silence_ms"), "silence_ms");
    for (const Json& part : Field(json, "order")) {
      if (!part.is_string()) Bad("order holds what is no text");
      plan.order.push_back(part.get<std::string>());
    }
    const Json& follow = Field(json, "follow");
    if (!follow.is_boolean()) Bad("follow is neither true nor false");
    plan.follow = follow.get<bool>();
    std::set<std::vector<int>> seen;
    for (const Json& one : Field(json, "losses")) {
      Loss loss;
      loss.lost = Lost(Field(one, "lost"), zones);
      if (loss.lost.empty() || loss.lost.size() > zones.size()) Bad("a loss loses nothing");
      if (!seen.insert(loss.lost).second) Bad("a loss comes twice");
      const Json& tiers = Field(one, "shares");
      if (!tiers.is_array() || tiers.empty() || tiers.size() > kMostTiers) Bad("shares have no tiers");
      for (const Json& tier : tiers) loss.shares.push_back(Shares(tier, loss.lost, zones.size()));
      plan.losses.push_back(std::move(loss));
    }
    for (const Json& one : Field(json, "return")) {
      Step step;
      step.part = Number(Field(one, "part"), "a step's part", 0.001, 1);
      step.hold = Time(Field(one, "hold_ms"), "a step's hold_ms");
      if (!plan.back.empty() && step.part < plan.back.back().part) Bad("the return goes back by itself");
      plan.back.push_back(step);
    }
    if (plan.back.size() > kMostSteps) Bad("the return has too many steps");
    return plan;
  });
}

std::string Print(const Directive& directive, const std::vector<std::string>& zones) {
  Json returning = Json::object();
  for (const auto& [zone, part] : directive.returning)
    returning[zones[static_cast<std::size_t>(zone)]] = part;
  return Json{{"format", kPlanFormat},
              {"application", directive.application},
              {"lost", Names(directive.lost, zones)},
              {"returning", returning}}
      .dump();
}

std::variant<Directive, std::string> ReadDirective(std::string_view text, const std::string& application,
                                                   const std::vector<std::string>& zones) {
  return Strictly<Directive>("the directive", [&] {
    const Json json = Open(text, "directive", application);
    Directive directive;
    directive.application = application;
    directive.lost = Lost(Field(json, "lost"), zones);
    if (!directive.lost.empty() && directive.lost.size() >= zones.size()) Bad("it loses every zone");
    const Json& returning = Field(json, "returning");
    if (!returning.is_object()) Bad("returning is no object");
    for (const auto& [name, part] : returning.items()) {
      const int zone = Zone(Json(name), zones);
      if (std::find(directive.lost.begin(), directive.lost.end(), zone) != directive.lost.end())
        Bad("a zone is lost and returns");
      directive.returning[zone] = Number(part, "a part", 0, 1);
    }
    return directive;
  });
}

}  // namespace umberdyke::sites

#include "experiment/results.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <tuple>

#include "emulator/fields.h"
#include "files/files.h"

namespace umberdyke::experiment {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;
constexpr std::size_t kLargestCell = 16 << 20;
constexpr std::size_t kMostSeconds = 3600;

std::string Number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

template <typename T>
void Spell(const T& object, const std::string& prefix, std::string* text) {
  for (const auto& figure : emulator::Figures<T>())
    *text += prefix + figure.name + "=" + Number(object.*figure.at) + "\n";
  for (const auto& word : emulator::Words<T>()) *text += prefix + word.name + "=" + object.*word.at + "\n";
}

template <typename T>
void SpellAll(const std::vector<T>& objects, const std::string& name, std::string* text) {
  for (std::size_t i = 0; i < objects.size(); ++i)
    Spell(objects[i], name + std::to_string(i + 1) + ".", text);
}

// None where it is no whole cell, or has another key; an empty key stands for any.
std::optional<Cell> Parse(const std::string& text, const std::string& key) {
  const json j = json::parse(text, nullptr, false);
  if (!j.is_object() || j.value("format", 0) != kFormat) return std::nullopt;
  if (!key.empty() && j.value("key", "") != key) return std::nullopt;
  try {
    Cell cell;
    cell.variant = j.at("variant");
    cell.policy = j.at("policy");
    cell.at = j.at("at").get<Point>();
    cell.seed = j.at("seed");
    cell.figures = j.at("figures").get<std::map<std::string, double>>();
    cell.curve = j.at("curve").get<std::vector<std::pair<double, double>>>();
    cell.violation = j.value("violation", "");
    cell.wall_s = j.at("wall_s");
    for (const json& s : j.at("seconds")) {
      emulator::Second second;
      second.asked = s.at(0);
      second.gained = s.at(1);
      second.requests = s.at(2);
      second.refused = s.at(3);
      second.collapsed = s.at(4);
      second.in_system = s.at(5);
      cell.seconds.push_back(second);
    }
    if (j.contains("heat")) cell.heat = j.at("heat").get<std::vector<std::vector<float>>>();
    return cell;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string KeyOf(const Plan& plan, const Variant& variant, const Point& at, std::uint64_t seed) {
  const emulator::Scenario s = plan.Resolve(variant, at);
  std::string text = "format " + std::to_string(kFormat) +
                     ", version " UMBERDYKE_VERSION ", build " UMBERDYKE_MODULE "\npolicy " + variant.policy +
                     "\nseed " + std::to_string(seed) + "\n";
  Spell(s, "", &text);
  SpellAll(s.classes, "class", &text);
  SpellAll(s.tenants, "tenant", &text);
  SpellAll(s.tiers, "tier", &text);
  SpellAll(s.troubles, "trouble", &text);
  char key[40];
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::snprintf(key, sizeof key, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return key;
}

std::string NameOf(const Variant& variant, const std::string& key) {
  return variant.name + "-" + key + ".json";
}

std::string Print(const Cell& cell, const std::string& key) {
  json j = {{"format", kFormat},
            {"key", key},
            {"program", "umberdyke " UMBERDYKE_VERSION},
            {"variant", cell.variant},
            {"policy", cell.policy},
            {"at", cell.at},
            {"seed", cell.seed},
            {"figures", cell.figures},
            {"curve", cell.curve},
            {"wall_s", cell.wall_s}};
  if (!cell.violation.empty()) j["violation"] = cell.violation;
  json seconds = json::array();
  for (std::size_t i = 0; i < cell.seconds.size() && i < kMostSeconds; ++i) {
    const emulator::Second& s = cell.seconds[i];
    seconds.push_back({s.asked, s.gained, s.requests, s.refused, s.collapsed, s.in_system});
  }
  j["seconds"] = std::move(seconds);
  if (!cell.heat.empty()) j["heat"] = cell.heat;
  return j.dump() + "\n";
}

std::optional<Cell> ReadCell(const std::string& path, const std::string& key) {
  const files::ReadResult read = files::ReadFile(path, kLargestCell);
  return read.error.empty() ? Parse(read.text, key) : std::nullopt;
}

std::vector<Cell> ReadCells(const std::string& folder) {
  std::string error;
  std::vector<Cell> cells;
  const std::vector<std::string> names = files::ListFiles(folder + "/cells", &error);
  if (!error.empty()) throw emulator::ScenarioError(error);
  for (const std::string& name : names) {
    if (!name.ends_with(".json")) continue;
    const files::ReadResult read = files::ReadFile(folder + "/cells/" + name, kLargestCell);
    if (!read.error.empty()) throw emulator::ScenarioError(folder + "/cells/" + name + ": " + read.error);
    auto cell = Parse(read.text, "");
    if (!cell)
      throw emulator::ScenarioError(folder + "/cells/" + name + " is no cell of this program's format");
    cells.push_back(std::move(*cell));
  }
  std::sort(cells.begin(), cells.end(), [](const Cell& a, const Cell& b) {
    return std::tie(a.at, a.variant, a.seed) < std::tie(b.at, b.variant, b.seed);
  });
  return cells;
}

std::string RowsCsv(const std::vector<Cell>& cells) {
  std::set<std::string> points, figures;
  for (const Cell& cell : cells) {
    for (const auto& [name, value] : cell.at) points.insert(name);
    for (const auto& [name, value] : cell.figures) figures.insert(name);
  }
  std::ostringstream out;
  out << "program,variant,policy,seed";
  for (const std::string& name : points) out << "," << name;
  for (const std::string& name : figures) out << "," << name;
  out << "\n";
  for (const Cell& cell : cells) {
    out << "umberdyke " UMBERDYKE_VERSION "," << cell.variant << "," << cell.policy << "," << cell.seed;
    for (const std::string& name : points)
      out << "," << (cell.at.contains(name) ? Number(cell.at.at(name)) : "");
    for (const std::string& name : figures)
      out << "," << (cell.figures.contains(name) ? Number(cell.figures.at(name)) : "");
    out << "\n";
  }
  return out.str();
}

std::string RowsJson(const std::vector<Cell>& cells, const std::string& title) {
  json rows = json::array();
  for (const Cell& cell : cells) {
    json row = {{"variant", cell.variant},
                {"policy", cell.policy},
                {"seed", cell.seed},
                {"at", cell.at},
                {"figures", cell.figures}};
    if (!cell.violation.empty()) row["violation"] = cell.violation;
    rows.push_back(std::move(row));
  }
  return json({{"title", title}, {"program", "umberdyke " UMBERDYKE_VERSION}, {"rows", rows}}).dump(1) + "\n";
}

}  // namespace umberdyke::experiment

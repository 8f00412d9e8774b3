#include "experiment/plan.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <set>

#include "emulator/fields.h"
#include "emulator/metrics.h"
#include "emulator/policy.h"
#include "files/files.h"

namespace umberdyke::experiment {

using emulator::ScenarioError;

namespace {

constexpr std::size_t kLargestFile = 1 << 20;
constexpr double kMostPoints = 1e6;

// Where in which file something stands, for every complaint.
struct Place {
  const std::string& file;
  const toml::node* node;
  [[noreturn]] void Bad(const std::string& what) const {
    std::string at = file;
    if (node != nullptr && node->source().begin.line > 0)
      at += ":" + std::to_string(node->source().begin.line);
    throw ScenarioError(at + ": " + what);
  }
};

class PlanReader {
 public:
  explicit PlanReader(std::string file) : file_(std::move(file)) {}

  toml::table Parse() const {
    const files::ReadResult read = files::ReadFile(file_, kLargestFile);
    if (!read.error.empty()) throw ScenarioError(file_ + ": " + read.error);
    try {
      return toml::parse(read.text, file_);
    } catch (const toml::parse_error& error) {
      throw ScenarioError(file_ + ":" + std::to_string(error.source().begin.line) + ": " +
                          std::string(error.description()));
    }
  }

  void Known(const toml::table& table, const std::set<std::string>& names, const std::string& where) const {
    for (const auto& [key, value] : table) {
      if (!names.contains(std::string(key.str())))
        Place{file_, &value}.Bad("unknown key " + std::string(key.str()) + where);
    }
  }
  std::string Text(const toml::table& table, const char* name, const std::string& absent) const {
    const toml::node* node = table.get(name);
    if (node == nullptr) return absent;
    if (!node->is_string()) Place{file_, node}.Bad(std::string(name) + " is a text in quotes");
    return node->as_string()->get();
  }
  double Number(const toml::node& node, const std::string& name) const {
    if (const auto* whole = node.as_integer()) return static_cast<double>(whole->get());
    if (const auto* real = node.as_floating_point()) return real->get();
    if (const auto* flag = node.as_boolean()) return flag->get() ? 1 : 0;
    Place{file_, &node}.Bad(name + " is a number");
  }
  std::optional<double> Number(const toml::table& table, const char* name) const {
    const toml::node* node = table.get(name);
    if (node == nullptr) return std::nullopt;
    return Number(*node, name);
  }
  const toml::table* Table(const toml::table& table, const char* name) const {
    const toml::node* node = table.get(name);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) Place{file_, node}.Bad(std::string(name) + " is a table");
    return node->as_table();
  }
  std::vector<const toml::table*> Tables(const toml::table& table, const char* name) const {
    std::vector<const toml::table*> tables;
    const toml::node* node = table.get(name);
    if (node == nullptr) return tables;
    const toml::array* array = node->as_array();
    if (array == nullptr)
      Place{file_, node}.Bad(std::string(name) + " is a list of tables, [[" + name + "]]");
    for (const toml::node& item : *array) {
      if (!item.is_table()) Place{file_, &item}.Bad(std::string(name) + " is a list of tables");
      tables.push_back(item.as_table());
    }
    return tables;
  }

  // All of one object's figures and words; `besides` are keys that somebody else reads.
  template <typename T>
  void Object(const toml::table& table, T* object, const std::set<std::string>& besides,
              const std::string& where) const {
    std::set<std::string> names = besides;
    for (const auto& figure : emulator::Figures<T>()) {
      names.insert(figure.name);
      const auto value = Number(table, figure.name);
      if (!value) continue;
      if (const std::string wrong = emulator::CheckFigure(figure, *value); !wrong.empty())
        Place{file_, table.get(figure.name)}.Bad(wrong);
      object->*figure.at = *value;
    }
    for (const auto& word : emulator::Words<T>()) {
      names.insert(word.name);
      if (!table.contains(word.name)) continue;
      const std::string text = Text(table, word.name, "");
      if (!word.of.empty() && std::find(word.of.begin(), word.of.end(), text) == word.of.end()) {
        std::string all;
        for (const std::string& one : word.of) all += (all.empty() ? "" : ", ") + one;
        Place{file_, table.get(word.name)}.Bad(std::string(word.name) + " is \"" + text + "\"; it can be " +
                                               all);
      }
      object->*word.at = text;
    }
    Known(table, names, where);
  }

  template <typename T>
  void List(const toml::table& table, const char* name, std::vector<T>* list) const {
    const auto tables = Tables(table, name);
    if (tables.empty()) return;
    list->clear();  // a list in a file stands for the whole of the base's
    for (const toml::table* one : tables) {
      list->emplace_back();
      Object(*one, &list->back(), {}, std::string(" in [[scenario.") + name + "]]");
    }
  }

  void ReadScenario(const toml::table& root, emulator::Scenario* scenario) const {
    const toml::table* table = Table(root, "scenario");
    if (table == nullptr) return;
    Object(*table, scenario, {"class", "tenant", "tier", "trouble"}, " in [scenario]");
    List(*table, "class", &scenario->classes);
    List(*table, "tenant", &scenario->tenants);
    List(*table, "tier", &scenario->tiers);
    List(*table, "trouble", &scenario->troubles);
  }

  Point ReadPoint(const toml::table& table, const char* name, const std::vector<Sweep>& sweeps) const {
    Point point;
    const toml::table* at = Table(table, name);
    if (at == nullptr) return point;
    for (const auto& [key, value] : *at) {
      const std::string figure(key.str());
      const auto sweep =
          std::find_if(sweeps.begin(), sweeps.end(), [&](const Sweep& s) { return s.figure == figure; });
      if (sweep == sweeps.end()) Place{file_, &value}.Bad(figure + " is not swept");
      point[figure] = Number(value, figure);
      if (std::find(sweep->values.begin(), sweep->values.end(), point[figure]) == sweep->values.end())
        Place{file_, &value}.Bad(figure + " is never " + std::to_string(point[figure]));
    }
    return point;
  }

  const std::string& file() const { return file_; }

 private:
  const std::string file_;
};

void ReadVariants(const PlanReader& in, const toml::table& root, Plan* plan) {
  if (const toml::node* node = root.get("policies")) {
    const toml::array* names = node->as_array();
    if (names == nullptr) Place{in.file(), node}.Bad("policies is a list of names");
    for (const toml::node& name : *names) {
      if (!name.is_string()) Place{in.file(), &name}.Bad("policies is a list of names");
      plan->variants.push_back({name.as_string()->get(), name.as_string()->get(), {}});
    }
  }
  for (const toml::table* table : in.Tables(root, "variant")) {
    in.Known(*table, {"name", "policy", "set"}, " in [[variant]]");
    Variant variant;
    variant.policy = in.Text(*table, "policy", "module");
    variant.name = in.Text(*table, "name", variant.policy);
    if (const toml::table* set = in.Table(*table, "set")) {
      for (const auto& [key, value] : *set)
        variant.set.emplace_back(std::string(key.str()), in.Number(value, std::string(key.str())));
    }
    plan->variants.push_back(std::move(variant));
  }
  if (plan->variants.empty()) plan->variants.push_back({"module", "module", {}});
  std::set<std::string> names;
  for (const Variant& v : plan->variants) {
    const auto& known = emulator::PolicyNames();
    if (std::find(known.begin(), known.end(), v.policy) == known.end()) {
      std::string all;
      for (const std::string& one : known) all += (all.empty() ? "" : ", ") + one;
      Place{in.file(), root.get("policies")}.Bad("there is no policy called " + v.policy + "; there are " +
                                                 all);
    }
    if (!names.insert(v.name).second) Place{in.file(), nullptr}.Bad("two variants are called " + v.name);
    const bool plain = !v.name.empty() && std::all_of(v.name.begin(), v.name.end(), [](unsigned char c) {
      return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
    if (!plain) Place{in.file(), nullptr}.Bad("a variant's name has letters, digits, '-', '_' and '.' only");
  }
}

void ReadSweeps(const PlanReader& in, const toml::table& root, Plan* plan) {
  const toml::table* sweep = in.Table(root, "sweep");
  if (sweep == nullptr) return;
  double points = 1;
  for (const auto& [key, value] : *sweep) {
    const std::string figure(key.str());
    const toml::array* values = value.as_array();
    if (values == nullptr || values->empty())
      Place{in.file(), &value}.Bad(figure + " is swept over a list of numbers");
    Sweep one{figure, {}};
    for (const toml::node& item : *values) {
      one.values.push_back(in.Number(item, figure));
      emulator::Scenario probe = plan->scenario;
      try {
        emulator::SetFigure(&probe, figure, one.values.back());
      } catch (const ScenarioError& error) {
        Place{in.file(), &item}.Bad(error.what());
      }
    }
    points *= static_cast<double>(one.values.size());
    if (points > kMostPoints) Place{in.file(), &value}.Bad("the sweep has more than a million points");
    plan->sweeps.push_back(std::move(one));
  }
}

void CheckFigureName(const PlanReader& in, const toml::table& table, const std::string& figure) {
  const auto known = emulator::Metrics().Figures();
  if (known.contains(figure)) return;
  std::string all;
  for (const auto& [name, value] : known) all += (all.empty() ? "" : ", ") + name;
  Place{in.file(), &table}.Bad("there is no figure \"" + figure + "\" in the results; there are " + all);
}

void ReadExpectations(const PlanReader& in, const toml::table& root, Plan* plan) {
  const auto variant = [&](const toml::table& table, const char* key) {
    const std::string name = in.Text(table, key, "");
    const bool known = std::any_of(plan->variants.begin(), plan->variants.end(),
                                   [&](const Variant& v) { return v.name == name; });
    if (!known)
      Place{in.file(), &table}.Bad(std::string(key) + " \"" + name + "\" is no variant of this file");
    return name;
  };
  for (const toml::table* table : in.Tables(root, "expect")) {
    in.Known(*table, {"figure", "variant", "at", "below", "above", "beside", "by", "better"},
             " in [[expect]]");
    Expectation e;
    e.figure = in.Text(*table, "figure", "");
    CheckFigureName(in, *table, e.figure);
    e.variant = table->contains("variant") ? variant(*table, "variant") : plan->variants.front().name;
    e.at = in.ReadPoint(*table, "at", plan->sweeps);
    e.below = in.Number(*table, "below");
    e.above = in.Number(*table, "above");
    if (table->contains("beside")) e.beside = variant(*table, "beside");
    e.by = in.Number(*table, "by").value_or(0);
    const std::string better = in.Text(*table, "better", "higher");
    if (better != "higher" && better != "lower")
      Place{in.file(), table}.Bad("better is \"higher\" or \"lower\"");
    e.higher = better == "higher";
    e.line = static_cast<long>(table->source().begin.line);
    if (!e.below && !e.above && e.beside.empty())
      Place{in.file(), table}.Bad("an expectation needs below, above or beside");
    plan->expectations.push_back(std::move(e));
  }
  for (const toml::table* table : in.Tables(root, "chart")) {
    in.Known(*table, {"kind", "figure", "x", "title", "at", "log"}, " in [[chart]]");
    Chart c;
    c.kind = in.Text(*table, "kind", "line");
    const std::set<std::string> kinds = {"line", "cdf", "timeline", "heat"};
    if (!kinds.contains(c.kind)) Place{in.file(), table}.Bad("a chart is a line, cdf, timeline or heat");
    c.figure = in.Text(*table, "figure", c.kind == "timeline" ? "service" : "");
    if (c.kind == "line") {
      CheckFigureName(in, *table, c.figure);
      c.x = in.Text(*table, "x", plan->sweeps.empty() ? "" : plan->sweeps.front().figure);
      const bool swept = std::any_of(plan->sweeps.begin(), plan->sweeps.end(),
                                     [&](const Sweep& s) { return s.figure == c.x; });
      if (!swept) Place{in.file(), table}.Bad("a line chart needs x, a swept figure");
    }
    const std::set<std::string> by_second = {"service", "requests", "refused", "in_system", "collapsed"};
    if (c.kind == "timeline" && !by_second.contains(c.figure))
      Place{in.file(), table}.Bad("a timeline shows service, requests, refused, in_system or collapsed");
    c.title = in.Text(*table, "title", c.kind + " " + c.figure);
    c.at = in.ReadPoint(*table, "at", plan->sweeps);
    c.logarithmic = in.Number(*table, "log").value_or(0) != 0;
    plan->charts.push_back(std::move(c));
  }
}

}  // namespace

std::size_t Plan::Points() const {
  std::size_t points = 1;
  for (const Sweep& s : sweeps) points *= s.values.size();
  return points;
}

std::size_t Plan::Cells() const { return Points() * variants.size() * seeds; }

Point Plan::At(std::size_t index) const {
  Point point;
  for (auto sweep = sweeps.rbegin(); sweep != sweeps.rend(); ++sweep) {
    point[sweep->figure] = sweep->values[index % sweep->values.size()];
    index /= sweep->values.size();
  }
  return point;
}

emulator::Scenario Plan::Resolve(const Variant& variant, const Point& point) const {
  emulator::Scenario resolved = scenario;
  for (const auto& [figure, value] : point) emulator::SetFigure(&resolved, figure, value);
  for (const auto& [figure, value] : variant.set) emulator::SetFigure(&resolved, figure, value);
  emulator::CheckScenario(resolved);
  return resolved;
}

Plan ReadPlan(const std::string& path) {
  const PlanReader in(path);
  const toml::table root = in.Parse();
  in.Known(root,
           {"title", "about", "base", "scenario", "policies", "variant", "sweep", "seeds", "first_seed",
            "expect", "chart"},
           "");
  Plan plan;
  plan.path = path;
  plan.title = in.Text(root, "title", std::filesystem::path(path).stem().string());
  plan.about = in.Text(root, "about", "");
  if (root.contains("base")) {
    const std::string base =
        (std::filesystem::path(path).parent_path() / in.Text(root, "base", "")).lexically_normal().string();
    const PlanReader below(base);
    const toml::table table = below.Parse();
    below.Known(table, {"title", "about", "scenario"}, ": a base has only a scenario");
    below.ReadScenario(table, &plan.scenario);
  }
  in.ReadScenario(root, &plan.scenario);
  if (plan.scenario.classes.empty()) plan.scenario.classes.emplace_back();
  if (plan.scenario.tenants.empty()) plan.scenario.tenants.emplace_back();
  if (plan.scenario.tiers.empty()) plan.scenario.tiers.emplace_back();
  ReadVariants(in, root, &plan);
  ReadSweeps(in, root, &plan);
  const double seeds = in.Number(root, "seeds").value_or(5),
               first = in.Number(root, "first_seed").value_or(1);
  if (seeds < 1 || seeds > 100'000 || seeds != std::floor(seeds))
    Place{path, root.get("seeds")}.Bad("seeds is a whole number from 1 to 100000");
  if (first < 0 || first > 1e15 || first != std::floor(first))
    Place{path, root.get("first_seed")}.Bad("first_seed is a whole number from 0 on");
  plan.seeds = static_cast<std::uint64_t>(seeds);
  plan.first_seed = static_cast<std::uint64_t>(first);
  ReadExpectations(in, root, &plan);
  // Every cell has to be possible before the first one runs.
  for (const Variant& variant : plan.variants) {
    for (std::size_t p = 0; p < plan.Points(); ++p) {
      try {
        plan.Resolve(variant, plan.At(p));
      } catch (const ScenarioError& error) {
        throw ScenarioError(path + ": variant " + variant.name + " at " + PrintPoint(plan.At(p)) + ": " +
                            error.what());
      }
    }
  }
  return plan;
}

bool Fits(const Point& at, const Point& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const auto& item) {
    const auto it = at.find(item.first);
    return it != at.end() && it->second == item.second;
  });
}

std::string PrintPoint(const Point& point) {
  std::string text;
  for (const auto& [name, value] : point) {
    char number[32];
    std::snprintf(number, sizeof number, "%g", value);
    text += (text.empty() ? "" : ", ") + name + " = " + number;
  }
  return text.empty() ? "the one point" : text;
}

}  // namespace umberdyke::experiment

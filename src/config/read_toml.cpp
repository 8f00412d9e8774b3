// TOML on toml++.
#include <toml++/toml.h>

#include <algorithm>

#include "config/node.h"

namespace umberdyke::config {
namespace {

Place PlaceOf(const toml::source_region& region) {
  return {static_cast<int>(region.begin.line), static_cast<int>(region.begin.column)};
}

class Builder {
 public:
  Builder(const std::string& file, Findings* findings) : file_(file), findings_(findings) {}

  Node Build(const toml::node& from, int depth) {
    Node node;
    node.place = PlaceOf(from.source());
    if (depth > kDeepest) {
      if (!too_deep_) {
        findings_->Add(file_, node.place, "too-deep",
                       "more than " + std::to_string(kDeepest) + " tables or lists inside one another");
      }
      too_deep_ = true;
      return node;
    }
    if (const toml::table* table = from.as_table()) {
      node.kind = Node::Kind::kTable;
      for (const auto& [key, value] : *table) {
        node.members.push_back({std::string(key.str()), PlaceOf(key.source()), Build(value, depth + 1)});
      }
      // toml++ sorts keys by name; readers report in the order of the file.
      std::stable_sort(node.members.begin(), node.members.end(), [](const Member& a, const Member& b) {
        return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
      });
    } else if (const toml::array* list = from.as_array()) {
      node.kind = Node::Kind::kList;
      for (const toml::node& item : *list) node.items.push_back(Build(item, depth + 1));
    } else if (const auto* text = from.as_string()) {
      node.kind = Node::Kind::kText;
      node.text = text->get();
    } else if (const auto* integer = from.as_integer()) {
      node.kind = Node::Kind::kInteger;
      node.integer = integer->get();
      node.number = static_cast<double>(node.integer);
    } else if (const auto* number = from.as_floating_point()) {
      node.kind = Node::Kind::kNumber;
      node.number = number->get();
    } else if (const auto* flag = from.as_boolean()) {
      node.kind = Node::Kind::kFlag;
      node.flag = flag->get();
    } else {
      findings_->Add(file_, node.place, "wrong-type", "dates and times of day have no use here");
    }
    return node;
  }

  bool too_deep() const { return too_deep_; }

 private:
  const std::string& file_;
  Findings* const findings_;
  bool too_deep_ = false;
};

// Guards the parser's own recursion: brackets that open without end are counted before it sees them.
std::optional<Place> OpensTooDeep(std::string_view text) {
  Place place;
  int open = 0;
  for (const char c : text) {
    if (c == '[' || c == '{') ++open;
    if (c == '\n' || c == ']' || c == '}') open = c == '\n' ? open : std::max(0, open - 1);
    if (open > 8 * kDeepest) return place;
    place.column = c == '\n' ? 1 : place.column + 1;
    place.line += c == '\n' ? 1 : 0;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Node> ReadToml(const std::string& file, std::string_view text, Findings* findings) {
  if (!Readable(file, text, findings)) return std::nullopt;
  if (const auto place = OpensTooDeep(text)) {
    findings->Add(file, *place, "too-deep", "brackets open inside one another without end");
    return std::nullopt;
  }
  try {
    const toml::table table = toml::parse(text);
    Builder builder(file, findings);
    Node node = builder.Build(table, 0);
    if (builder.too_deep()) return std::nullopt;
    node.place = {};
    return node;
  } catch (const toml::parse_error& error) {
    const std::string_view why = error.description();
    // The parser has one error for all; a key that comes twice is worth a rule of its own.
    const bool twice = why.find("redefine") != std::string_view::npos;
    findings->Add(file, PlaceOf(error.source()), twice ? "duplicate-key" : "syntax",
                  twice ? "the key or table comes a second time" : "this is no TOML: " + OneLine(why, 120));
    return std::nullopt;
  }
}

}  // namespace umberdyke::config

#include "config/reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "config/units.h"

namespace umberdyke::config {
namespace {

// As short as it can be told exactly.
std::string PrintNumber(double value) {
  char text[64];
  const auto [end, error] = std::to_chars(text, text + sizeof text, value);
  return std::string(text, end);
}

}  // namespace

std::string OriginName(Origin origin) {
  switch (origin) {
    case Origin::kDefault:
      return "default";
    case Origin::kDescription:
      return "description";
    case Origin::kFile:
      return "file";
    case Origin::kEnvironment:
      return "environment";
  }
  return "unknown";
}

Reader::Reader(const Reading& reading, const Node& table, Place place, std::string path)
    : reading_(reading), table_(table), place_(place), path_(std::move(path)) {}

void Reader::Tell(Place place, std::string_view rule, std::string reason) const {
  reading_.findings->Add(reading_.file, place, rule, std::move(reason));
}

void Reader::Trace(const std::string& name, std::string value, bool given) const {
  if (reading_.trace == nullptr) return;
  if (IsSecret(name)) value = "(secret)";
  reading_.trace->push_back({PathOf(name), std::move(value), given ? reading_.origin : Origin::kDefault});
}

const Member* Reader::Ask(const std::string& name) {
  known_.push_back(name);
  return table_.Find(name);
}

const Member* Reader::Given(const std::string& name, Need need, Node::Kind kind, const char* wanted) {
  const Member* member = Ask(name);
  if (member == nullptr || member->value.kind == Node::Kind::kNull) {
    if (need == Need::kRequired) Tell(place_, "missing-key", PathOf(name) + " is missing");
    return nullptr;
  }
  const Node::Kind is = member->value.kind;
  if (is == kind || (kind == Node::Kind::kNumber && is == Node::Kind::kInteger)) return member;
  Tell(member->value.place, "wrong-type", PathOf(name) + " is " + KindName(is) + ", not " + wanted);
  return nullptr;
}

Placed<std::string> Reader::Text(const std::string& name, Need need, const std::string& usual) {
  Placed<std::string> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kText, "a text"); member != nullptr) {
    result = {member->value.text, member->value.place, true};
    if (result.value.empty() && need == Need::kRequired) {
      Tell(result.place, "missing-key", PathOf(name) + " is empty");
    }
  }
  Trace(name, OneLine(result.value), result.given);
  return result;
}

Placed<std::int64_t> Reader::Integer(const std::string& name, Need need, std::int64_t usual,
                                     std::int64_t least, std::int64_t most) {
  Placed<std::int64_t> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kInteger, "a whole number of 64 bits");
      member != nullptr) {
    const std::int64_t value = member->value.integer;
    if (value < least || value > most) {
      Tell(member->value.place, "out-of-range",
           PathOf(name) + " is " + std::to_string(value) + "; it goes from " + std::to_string(least) +
               " to " + std::to_string(most));
    } else {
      result = {value, member->value.place, true};
    }
  }
  Trace(name, std::to_string(result.value), result.given);
  return result;
}

Placed<double> Reader::Number(const std::string& name, Need need, double usual, double least, double most) {
  Placed<double> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kNumber, "a number"); member != nullptr) {
    const double value = member->value.number;
    if (!std::isfinite(value) || value < least || value > most) {
      Tell(member->value.place, "out-of-range",
           PathOf(name) + " is " + (std::isfinite(value) ? PrintNumber(value) : "no finite number") +
               "; it goes from " + PrintNumber(least) + " to " + PrintNumber(most));
    } else {
      result = {value, member->value.place, true};
    }
  }
  Trace(name, PrintNumber(result.value), result.given);
  return result;
}

Placed<bool> Reader::Flag(const std::string& name, Need need, bool usual) {
  Placed<bool> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kFlag, "true or false"); member != nullptr) {
    result = {member->value.flag, member->value.place, true};
  }
  Trace(name, result.value ? "true" : "false", result.given);
  return result;
}

Placed<std::chrono::microseconds> Reader::Span(const std::string& name, Need need,
                                               std::chrono::microseconds usual,
                                               std::chrono::microseconds least, bool in_text) {
  Placed<std::chrono::microseconds> result{usual, place_, false};
  const Member* member =
      Given(name, need, in_text ? Node::Kind::kText : Node::Kind::kInteger,
            in_text ? "a time with its unit, as \"300ms\"" : "a whole number of microseconds");
  if (member != nullptr) {
    const auto value = in_text ? ParseDuration(member->value.text)
                               : std::optional(std::chrono::microseconds(member->value.integer));
    // A year: beyond it a time is a mistake, and sums of a few stay far from the end of 64 bits.
    constexpr std::chrono::microseconds kMost = std::chrono::hours(24 * 366);
    if (!value) {
      Tell(member->value.place, "bad-duration",
           PathOf(name) + " is " + Quoted(member->value.text) + ", no time with a unit (us, ms, s, m, h)");
    } else if (*value < least || *value > kMost) {
      Tell(member->value.place, "out-of-range",
           PathOf(name) + " is " + PrintDuration(*value) + "; it goes from " + PrintDuration(least) +
               " to a year");
    } else {
      result = {*value, member->value.place, true};
    }
  }
  Trace(name, PrintDuration(result.value), result.given);
  return result;
}

Placed<std::chrono::microseconds> Reader::Duration(const std::string& name, Need need,
                                                   std::chrono::microseconds usual,
                                                   std::chrono::microseconds least) {
  return Span(name, need, usual, least, true);
}

Placed<std::chrono::microseconds> Reader::Micros(const std::string& name, Need need,
                                                 std::chrono::microseconds usual,
                                                 std::chrono::microseconds least) {
  return Span(name, need, usual, least, false);
}

Placed<std::int64_t> Reader::Size(const std::string& name, Need need, std::int64_t usual) {
  Placed<std::int64_t> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kText, "a size with its unit, as \"64KiB\"");
      member != nullptr) {
    const auto value = ParseSize(member->value.text);
    constexpr std::int64_t kMost = std::int64_t{1} << 50;
    if (!value) {
      Tell(member->value.place, "bad-size",
           PathOf(name) + " is " + Quoted(member->value.text) +
               ", no size with a unit (B, KiB, MiB, GiB, kB, MB, GB)");
    } else if (*value < 1 || *value > kMost) {
      Tell(member->value.place, "out-of-range", PathOf(name) + " goes from 1B to 1048576GiB");
    } else {
      result = {*value, member->value.place, true};
    }
  }
  Trace(name, PrintSize(result.value), result.given);
  return result;
}

Placed<int> Reader::Choice(const std::string& name, Need need, int usual,
                           const std::vector<std::pair<std::string, int>>& choices) {
  Placed<int> result{usual, place_, false};
  if (const Member* member = Given(name, need, Node::Kind::kText, "a text"); member != nullptr) {
    std::string all;
    std::vector<std::string> words;
    for (const auto& [word, value] : choices) {
      all += (all.empty() ? "" : ", ") + word;
      words.push_back(word);
      if (word == member->value.text) result = {value, member->value.place, true};
    }
    if (!result.given) {
      const std::string near = Nearest(member->value.text, words);
      Tell(member->value.place, "bad-choice",
           PathOf(name) + " is " + Quoted(member->value.text) + ", not one of " + all +
               (near.empty() ? "" : "; did you mean " + near + "?"));
    }
  }
  for (const auto& [word, value] : choices) {
    if (value == result.value) {
      Trace(name, word, result.given);
      break;
    }
  }
  return result;
}

std::vector<Placed<std::string>> Reader::Texts(const std::string& name, Need need) {
  std::vector<Placed<std::string>> result;
  if (const Member* member = Given(name, need, Node::Kind::kList, "a list"); member != nullptr) {
    for (const Node& item : member->value.items) {
      if (item.kind == Node::Kind::kText) {
        result.push_back({item.text, item.place, true});
      } else {
        Tell(item.place, "wrong-type", PathOf(name) + " holds " + KindName(item.kind) + ", not a text");
      }
    }
    if (need == Need::kRequired && member->value.items.empty()) {
      Tell(member->value.place, "missing-key", PathOf(name) + " is empty");
    }
  }
  std::string all;
  for (const auto& text : result) all += (all.empty() ? "" : ", ") + OneLine(text.value);
  Trace(name, "[" + all + "]", !result.empty());
  return result;
}

const Member* Reader::Table(const std::string& name, Need need) {
  return Given(name, need, Node::Kind::kTable, "a table");
}

void Reader::Tables(const std::string& name, Need need,
                    const std::function<void(const Node& table, const std::string& path)>& each) {
  const Member* member = Given(name, need, Node::Kind::kList, "a list of tables");
  if (member == nullptr) return;
  if (need == Need::kRequired && member->value.items.empty()) {
    Tell(member->value.place, "missing-key", PathOf(name) + " is empty");
  }
  for (size_t i = 0; i < member->value.items.size(); ++i) {
    const Node& item = member->value.items[i];
    if (item.kind == Node::Kind::kTable) {
      each(item, PathOf(name) + "." + std::to_string(i));
    } else {
      Tell(item.place, "wrong-type", PathOf(name) + " holds " + KindName(item.kind) + ", not a table");
    }
  }
}

void Reader::Finish(bool only_near) {
  for (const Member& member : table_.members) {
    if (std::find(known_.begin(), known_.end(), member.name) != known_.end()) continue;
    const std::string near = Nearest(member.name, known_);
    // What was given under its right name beside this one is no slip.
    const bool slip = !near.empty() && table_.Find(near) == nullptr;
    if (only_near && !slip) continue;
    // The value stays unsaid: it may be a secret put in the wrong place.
    Tell(member.place, "unknown-key",
         Quoted(PathOf(member.name)) + " is no known key" +
             (near.empty() ? "" : "; did you mean " + near + "?"));
  }
}

bool IsName(std::string_view text, bool dots) {
  if (text.empty() || text.size() > 64 || text[0] == '.' || text[0] == '-') return false;
  return std::all_of(text.begin(), text.end(), [dots](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || (dots && c == '.');
  });
}

bool IsNodePath(std::string_view text) {
  if (text.size() < 2 || text.size() > 255 || text[0] != '/') return false;
  while (!text.empty()) {
    text.remove_prefix(1);
    const size_t slash = std::min(text.find('/'), text.size());
    if (!IsName(text.substr(0, slash), true)) return false;
    text.remove_prefix(slash);
  }
  return true;
}

std::optional<HostPort> ParseHostPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || text.size() > 64) return std::nullopt;
  std::string host(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  int port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size() || port < 1 || port > 65535) {
    return std::nullopt;
  }
  const bool six = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (six) host = host.substr(1, host.size() - 2);
  unsigned char bytes[16];
  if (inet_pton(six ? AF_INET6 : AF_INET, host.c_str(), bytes) != 1) return std::nullopt;
  // One spelling for one address, so that two of them compare.
  char canonical[INET6_ADDRSTRLEN];
  inet_ntop(six ? AF_INET6 : AF_INET, bytes, canonical, sizeof canonical);
  return HostPort{six ? "[" + std::string(canonical) + "]" : std::string(canonical), port};
}

}  // namespace umberdyke::config

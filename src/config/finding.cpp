#include "config/finding.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <tuple>
#include <unordered_map>

namespace umberdyke::config {
namespace {

// Length of the UTF-8 character that starts here, or 0 where none does.
size_t CharacterLength(std::string_view text) {
  const auto byte = [&](size_t i) { return static_cast<unsigned char>(text[i]); };
  const size_t length = byte(0) < 0x80             ? 1
                        : (byte(0) & 0xe0) == 0xc0 ? 2
                        : (byte(0) & 0xf0) == 0xe0 ? 3
                        : (byte(0) & 0xf8) == 0xf0 ? 4
                                                   : 0;
  if (length == 0 || length > text.size() || byte(0) == 0xc0 || byte(0) == 0xc1) return 0;
  for (size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0) != 0x80) return 0;
  }
  return length;
}

}  // namespace

void Findings::Add(const std::string& file, Place place, std::string_view rule, std::string reason) {
  list_.push_back({file, place, std::string(rule), std::move(reason)});
}

void Findings::Sort(const std::vector<std::string>& files) {
  std::unordered_map<std::string_view, size_t> order;
  for (const std::string& file : files) order.try_emplace(file, order.size());
  const auto at = [&](const Finding& f) {
    const auto it = order.find(f.file);
    return it == order.end() ? order.size() : it->second;
  };
  const auto key = [&](const Finding& f) {
    return std::make_tuple(at(f), f.place.line, f.place.column, std::string_view(f.rule),
                           std::string_view(f.reason));
  };
  std::stable_sort(list_.begin(), list_.end(),
                   [&](const Finding& a, const Finding& b) { return key(a) < key(b); });
  const auto alike = [&](const Finding& a, const Finding& b) { return key(a) == key(b); };
  list_.erase(std::unique(list_.begin(), list_.end(), alike), list_.end());
}

std::string PrintLine(const Finding& finding) {
  return OneLine(finding.file, 4096) + ":" + std::to_string(finding.place.line) + ":" +
         std::to_string(finding.place.column) + ": " + finding.rule + ": " + OneLine(finding.reason, 1000);
}

std::string PrintJson(const std::vector<Finding>& findings) {
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const Finding& f : findings) {
    all.push_back({{"file", OneLine(f.file, 4096)},
                   {"line", f.place.line},
                   {"column", f.place.column},
                   {"rule", f.rule},
                   {"reason", OneLine(f.reason, 1000)}});
  }
  return all.dump(2);
}

std::string OneLine(std::string_view text, size_t most) {
  std::string out;
  while (!text.empty() && out.size() < most) {
    const size_t length = CharacterLength(text);
    const auto first = static_cast<unsigned char>(text[0]);
    // Control characters of both sets: a terminal obeys them.
    const bool control = first < 0x20 || first == 0x7f ||
                         (length == 2 && first == 0xc2 && static_cast<unsigned char>(text[1]) < 0xa0);
    if (length == 0 || control) {
      for (size_t i = 0; i < std::max<size_t>(1, length); ++i) {
        char hex[8];
        std::snprintf(hex, sizeof hex, "\\x%02x", static_cast<unsigned char>(text[i]));
        out += hex;
      }
    } else {
      out += text.substr(0, length);
    }
    text.remove_prefix(std::max<size_t>(1, length));
  }
  if (!text.empty()) out += "...";
  return out;
}

std::string Quoted(std::string_view text) { return "'" + OneLine(text, 80) + "'"; }

bool IsSecret(std::string_view key) {
  std::string lower(key);
  for (char& c : lower) c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  for (const char* word : {"secret", "password", "passphrase", "passwd", "credential", "private", "token"}) {
    if (lower.find(word) != std::string::npos) return true;
  }
  return false;
}

std::string Nearest(std::string_view name, const std::vector<std::string>& names) {
  if (name.size() > 64) return "";
  const auto distance = [&](std::string_view other) {
    std::vector<size_t> row(other.size() + 1), before(other.size() + 1), old;
    for (size_t j = 0; j <= other.size(); ++j) row[j] = j;
    for (size_t i = 1; i <= name.size(); ++i) {
      old = std::exchange(before, row);
      row[0] = i;
      for (size_t j = 1; j <= other.size(); ++j) {
        const size_t cost = name[i - 1] == other[j - 1] ? 0 : 1;
        row[j] = std::min({before[j] + 1, row[j - 1] + 1, before[j - 1] + cost});
        const bool swapped = i > 1 && j > 1 && name[i - 1] == other[j - 2] && name[i - 2] == other[j - 1];
        if (swapped) row[j] = std::min(row[j], old[j - 2] + 1);
      }
    }
    return row[other.size()];
  };
  std::string best;
  size_t least = std::max<size_t>(1, name.size() / 3) + 1;
  for (const std::string& other : names) {
    if (const size_t d = distance(other); d < least) {
      least = d;
      best = other;
    }
  }
  return best;
}

}  // namespace umberdyke::config

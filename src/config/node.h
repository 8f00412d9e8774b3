// A parsed file, of either form, as a tree in which every key and value knows its place.
#ifndef UMBERDYKE_CONFIG_NODE_H_
#define UMBERDYKE_CONFIG_NODE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/finding.h"

namespace umberdyke::config {

// No configuration needs more; guards against being handed a log or a device.
constexpr size_t kLargestFile = size_t{8} << 20;
constexpr int kDeepest = 32;  // tables and lists inside one another

struct Member;

struct Node {
  enum class Kind { kNull, kFlag, kInteger, kNumber, kText, kList, kTable };
  Kind kind = Kind::kNull;
  Place place;
  bool flag = false;
  std::int64_t integer = 0;
  double number = 0;  // set for integers too
  std::string text;
  std::vector<Node> items;
  std::vector<Member> members;

  const Member* Find(std::string_view name) const;
};

struct Member {
  std::string name;
  Place place;  // of the key
  Node value;
};

// "a text", "a list" and so on, for a reason.
std::string KindName(Node::Kind kind);

// Absent where the text cannot be read at all; the findings say why. What is read may have findings too, such
// as a key that comes twice (the first holds).
std::optional<Node> ReadToml(const std::string& file, std::string_view text, Findings* findings);
std::optional<Node> ReadJson(const std::string& file, std::string_view text, Findings* findings);

// What both readers refuse before they parse: size, encoding, zero bytes.
bool Readable(const std::string& file, std::string_view text, Findings* findings);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_NODE_H_

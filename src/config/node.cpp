#include "config/node.h"

#include "config/units.h"

namespace umberdyke::config {

const Member* Node::Find(std::string_view name) const {
  for (const Member& member : members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

std::string KindName(Node::Kind kind) {
  switch (kind) {
    case Node::Kind::kNull:
      return "nothing";
    case Node::Kind::kFlag:
      return "true or false";
    case Node::Kind::kInteger:
      return "a whole number";
    case Node::Kind::kNumber:
      return "a number";
    case Node::Kind::kText:
      return "a text";
    case Node::Kind::kList:
      return "a list";
    case Node::Kind::kTable:
      return "a table";
  }
  return "unknown";
}

bool Readable(const std::string& file, std::string_view text, Findings* findings) {
  if (text.size() > kLargestFile) {
    findings->Add(file, {}, "file-too-large",
                  "the file holds more than " + PrintSize(kLargestFile) + ", which no configuration does");
    return false;
  }
  const bool sixteen =
      text.size() >= 2 && (text.substr(0, 2) == "\xff\xfe" || text.substr(0, 2) == "\xfe\xff");
  if (sixteen) {
    findings->Add(file, {}, "encoding", "the file is UTF-16; it has to be UTF-8");
    return false;
  }
  if (const size_t zero = text.find('\0'); zero != std::string_view::npos) {
    Place place;
    for (const char c : text.substr(0, zero)) {
      place.column = c == '\n' ? 1 : place.column + 1;
      place.line += c == '\n' ? 1 : 0;
    }
    findings->Add(file, place, "encoding", "a zero byte: this is no text file");
    return false;
  }
  return true;
}

}  // namespace umberdyke::config

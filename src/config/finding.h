// What a check of a configuration found: one line each, with the place in the file and the id of the rule.
//
// This room (src/config) holds descriptions, checks, the effective values and the rule-ids. It may not know
// sockets, the event loop's inside or any flow; it reads text that it is handed and never a file by itself,
// but for the sidecar's own file in config.h.
#ifndef UMBERDYKE_CONFIG_FINDING_H_
#define UMBERDYKE_CONFIG_FINDING_H_

#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::config {

// A place in a text, counted from 1; the column counts bytes.
struct Place {
  int line = 1;
  int column = 1;
  friend bool operator==(const Place&, const Place&) = default;
};

struct Finding {
  std::string file;
  Place place;
  std::string rule;  // one of Rules() in rules.h
  std::string reason;
};

class Findings {
 public:
  void Add(const std::string& file, Place place, std::string_view rule, std::string reason);
  const std::vector<Finding>& list() const { return list_; }
  bool empty() const { return list_.empty(); }
  // By the order of `files`, then by place; two alike are kept once.
  void Sort(const std::vector<std::string>& files);

 private:
  std::vector<Finding> list_;
};

// "FILE:LINE:COLUMN: rule-id: reason", always one line.
std::string PrintLine(const Finding& finding);
// The findings as a JSON list of objects: file, line, column, rule, reason.
std::string PrintJson(const std::vector<Finding>& findings);

// Text from a file, fit for one line of output: control bytes and bytes that are no UTF-8 are shown as \xNN,
// and what runs past `most` bytes is cut.
std::string OneLine(std::string_view text, size_t most = 200);
// In quotes, for a reason. Values under a name that tells of a secret never come here: see IsSecret.
std::string Quoted(std::string_view text);

// Whether a key's name tells that its value is a secret; such values are never printed.
bool IsSecret(std::string_view key);

// The one of `names` that `name` most likely was meant to be; empty where none is near.
std::string Nearest(std::string_view name, const std::vector<std::string>& names);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_FINDING_H_

// Typed reading of one table of a parsed file: each value is asked for by its name, what was asked for is
// what is known, and every value that is given or left to its default can be traced.
#ifndef UMBERDYKE_CONFIG_READER_H_
#define UMBERDYKE_CONFIG_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/finding.h"
#include "config/node.h"

namespace umberdyke::config {

// A value as it was read, and where it stands: needed for findings that come later.
template <typename T>
struct Placed {
  T value{};
  Place place;
  bool given = false;  // false: the default
};

enum class Origin { kDefault, kDescription, kFile, kEnvironment };
std::string OriginName(Origin origin);

struct Effective {
  std::string path;  // with dots, as in class.0.aim
  std::string value;
  Origin origin = Origin::kDefault;
};

// What a reader needs of the whole file.
struct Reading {
  std::string file;
  Findings* findings = nullptr;
  std::vector<Effective>* trace = nullptr;  // may be absent
  Origin origin = Origin::kDescription;     // of what the file gives
};

enum class Need { kRequired, kOptional };

class Reader {
 public:
  // `path` names the table in reasons; empty for the whole file.
  Reader(const Reading& reading, const Node& table, Place place, std::string path);

  Placed<std::string> Text(const std::string& name, Need need, const std::string& usual = "");
  Placed<std::int64_t> Integer(const std::string& name, Need need, std::int64_t usual, std::int64_t least,
                               std::int64_t most);
  Placed<double> Number(const std::string& name, Need need, double usual, double least, double most);
  Placed<bool> Flag(const std::string& name, Need need, bool usual);
  // "300ms"; at least `least`.
  Placed<std::chrono::microseconds> Duration(const std::string& name, Need need,
                                             std::chrono::microseconds usual,
                                             std::chrono::microseconds least = std::chrono::microseconds(0));
  // A whole number of microseconds, as the sidecar's file has it.
  Placed<std::chrono::microseconds> Micros(const std::string& name, Need need,
                                           std::chrono::microseconds usual,
                                           std::chrono::microseconds least = std::chrono::microseconds(0));
  Placed<std::int64_t> Size(const std::string& name, Need need, std::int64_t usual);  // "64KiB", above zero
  // One of the words of `choices`; a reason names them all.
  Placed<int> Choice(const std::string& name, Need need, int usual,
                     const std::vector<std::pair<std::string, int>>& choices);
  std::vector<Placed<std::string>> Texts(const std::string& name, Need need);
  // The table of that name; nullptr where it is absent (or no table, which is told).
  const Member* Table(const std::string& name, Need need);
  // A list of tables; each is handed over with its path.
  void Tables(const std::string& name, Need need,
              const std::function<void(const Node& table, const std::string& path)>& each);
  // Known, but of no use to this program.
  void Known(const std::string& name) { Ask(name); }

  // Tells every key that was not asked for. `only_near`: just those that look like a slip of the pen, for
  // forms that may hold more than this program reads.
  void Finish(bool only_near = false);

  const Place& place() const { return place_; }
  void Tell(Place place, std::string_view rule, std::string reason) const;
  std::string PathOf(const std::string& name) const { return path_.empty() ? name : path_ + "." + name; }

 private:
  const Member* Ask(const std::string& name);
  const Member* Given(const std::string& name, Need need, Node::Kind kind, const char* wanted);
  void Trace(const std::string& name, std::string value, bool given) const;
  Placed<std::chrono::microseconds> Span(const std::string& name, Need need, std::chrono::microseconds usual,
                                         std::chrono::microseconds least, bool in_text);

  const Reading& reading_;
  const Node& table_;
  const Place place_;
  const std::string path_;
  std::vector<std::string> known_;
};

// A name as it may stand in files, paths and headers: letters, digits, '-' and '_', at most 64 and not
// beginning with '-'. With `dots`, as hosts have them, '.' too, but not in front. No dots in the others: a
// file's name is put together from two names with a dot between, and must not be two files' name.
bool IsName(std::string_view text, bool dots = false);
// The path of a node in a coordination service: absolute, of names, at most 255 bytes.
bool IsNodePath(std::string_view text);
// "10.0.0.4:8081" or "[::1]:8081": numbers only, no names; the port above zero.
struct HostPort {
  std::string host;
  int port = 0;
};
std::optional<HostPort> ParseHostPort(std::string_view text);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_READER_H_

// The wire of the bench: lines of name=value pairs in, lines of actions out. Decides nothing.
#ifndef UMBERDYKE_DRILL_WIRE_H_
#define UMBERDYKE_DRILL_WIRE_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "site/site_settings.h"
#include "umberdyke/balancer.h"

namespace umberdyke::benchlink {

// A message that cannot be read; what() names the event and the field.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line split at its spaces. Views into the line.
class Fields {
 public:
  explicit Fields(std::string_view line);

  std::string_view tag() const { return tag_; }
  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  // Required fields throw WireError where they are default_value or unreadable; optional ones only where
  // unreadable.
  std::string_view Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  std::int64_t Integer(std::string_view name, std::int64_t default_value) const;
  double Number(std::string_view name, double default_value) const;
  bool Flag(std::string_view name, bool default_value) const;
  const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }

 private:
  const std::string_view* Find(std::string_view name) const;
  [[noreturn]] void ThrowFieldError(std::string_view name, const char* what) const;

  std::string_view tag_;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

// Gives each upstream name a number, for the process as a whole. The numbers mean nothing but equality.
class UpstreamNames {
 public:
  UpstreamId Intern(std::string_view name);
  const std::string& NameOf(UpstreamId id) const { return names_[id]; }

 private:
  std::unordered_map<std::string, UpstreamId> ids_;
  std::vector<std::string> names_;
};

Configuration ParseConfiguration(const Fields& fields);
UpstreamEntry ParseEntry(const Fields& fields, UpstreamNames* names);
ListUpdate ParseListUpdate(const Fields& fields);
Request ParseRequest(const Fields& fields);
AttemptEnd ParseAttemptEnd(const Fields& fields, const std::vector<std::string>& columns,
                           UpstreamNames* names);
Outcome ParseOutcome(const Fields& fields);
std::optional<LoadReport> ParseReport(const Fields& fields, const std::vector<std::string>& columns);
std::vector<std::uint8_t> ParseBytes(const Fields& fields, std::string_view name);

// Appends the line of one action.
void WriteAction(std::int64_t instance, const Action& action, const UpstreamNames& names, std::string* out);

}  // namespace umberdyke::benchlink

#endif  // UMBERDYKE_DRILL_WIRE_H_

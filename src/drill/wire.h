// Parses and formats the line protocol between the bench simulator and the decision module: events with
// name=value fields come in, actions go out. Makes no decisions.
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

// An input line that cannot be parsed; what() names the event and the field.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line, split at its spaces into a tag and name=value fields. Holds views into the line, which must
// outlive it.
class Fields {
 public:
  explicit Fields(std::string_view line);

  std::string_view tag() const { return tag_; }
  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  // Without a default value, a missing or malformed field throws WireError; with one, only a malformed field
  // does.
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

// Maps the upstream names on the wire to ids, which hold for the whole process and are only compared for
// equality.
class UpstreamNames {
 public:
  UpstreamId Intern(std::string_view name);
  const std::string& NameOf(UpstreamId id) const { return names_[id]; }

 private:
  std::unordered_map<std::string, UpstreamId> ids_;
  std::vector<std::string> names_;
};

// These throw WireError for a malformed field or a missing one that is required.
Configuration ParseConfiguration(const Fields& fields);
UpstreamEntry ParseEntry(const Fields& fields, UpstreamNames* names);
ListUpdate ParseListUpdate(const Fields& fields);
Request ParseRequest(const Fields& fields);
AttemptEnd ParseAttemptEnd(const Fields& fields, const std::vector<std::string>& columns,
                           UpstreamNames* names);
Outcome ParseOutcome(const Fields& fields);
// `columns` names the figures in health_info, in order. Returns nullopt without that field.
std::optional<LoadReport> ParseReport(const Fields& fields, const std::vector<std::string>& columns);
// Parses hexadecimal digits; "-" stands for no bytes.
std::vector<std::uint8_t> ParseBytes(const Fields& fields, std::string_view name);

// Appends the line for one action, with its newline, to `out`.
void WriteAction(std::int64_t instance, const Action& action, const UpstreamNames& names, std::string* out);

}  // namespace umberdyke::benchlink

#endif  // UMBERDYKE_DRILL_WIRE_H_

#include "fleet/records.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace umberdyke::fleet {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

// Reads with `take`; whatever is missing or of another kind is one line of why.
template <typename T, typename Take>
ReadAs<T> Read(std::string_view text, const char* what, Take take) {
  if (text.size() > kLargestRecord) return Unreadable{std::string(what) + " is too long"};
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return Unreadable{std::string(what) + " is no JSON object"};
  try {
    return take(json);
  } catch (const Json::exception& error) {
    return Unreadable{std::string(what) + " cannot be read: " + error.what()};
  }
}

std::int64_t AtLeast(const Json& json, const char* key, std::int64_t least) {
  const Json& value = json.at(key);
  if (!value.is_number_integer() || value.get<std::int64_t>() < least ||
      (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX)) {
    throw Json::out_of_range::create(401, std::string(key) + " is out of range", &json);
  }
  return value.get<std::int64_t>();
}

}  // namespace

std::string PrintRoot(const std::string& application) {
  return Dump({{"application", application}, {"format", kFormat}});
}

ReadAs<bool> ReadRoot(std::string_view text, const std::string& application) {
  return Read<bool>(text, "the agents' path", [&](const Json& json) -> ReadAs<bool> {
    if (json.at("application").get<std::string>() != application) {
      return Unreadable{"the agents' path belongs to application " + Dump(json.at("application"))};
    }
    const std::int64_t format = AtLeast(json, "format", 1);
    if (format != kFormat) {
      return Unreadable{"the agents' path is of format " + std::to_string(format) +
                        "; this program knows format " + std::to_string(kFormat)};
    }
    return true;
  });
}

std::string Print(const Agent& agent) {
  return Dump(
      {{"host", agent.host}, {"zone", agent.zone}, {"instance", agent.instance}, {"version", agent.version}});
}

ReadAs<Agent> ReadAgent(std::string_view text) {
  return Read<Agent>(text, "an agent's record", [](const Json& json) -> ReadAs<Agent> {
    return Agent{json.at("host"), json.at("zone"), json.at("instance"), json.at("version")};
  });
}

std::string Print(const owner::Journal& journal) {
  return Dump({{"step", journal.step},
               {"committed", journal.committed},
               {"term", journal.term},
               {"plan", journal.plan},
               {"state", journal.state}});
}

ReadAs<owner::Journal> ReadJournal(std::string_view text) {
  if (text.empty()) return owner::Journal{};
  return Read<owner::Journal>(text, "the journal", [](const Json& json) -> ReadAs<owner::Journal> {
    owner::Journal journal;
    journal.step = AtLeast(json, "step", 0);
    journal.committed = json.at("committed").get<bool>();
    journal.term = AtLeast(json, "term", 0);
    journal.plan = json.at("plan");
    journal.state = json.at("state");
    return journal;
  });
}

std::string Print(std::vector<Tenure> history) {
  if (history.size() > kLongestHistory) {
    history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kLongestHistory));
  }
  Json list = Json::array();
  for (const Tenure& t : history) {
    list.push_back({{"term", t.term},
                    {"host", t.host},
                    {"instance", t.instance},
                    {"from", t.from},
                    {"without_ms", t.without_ms}});
  }
  return Dump({{"owners", list}});
}

ReadAs<std::vector<Tenure>> ReadHistory(std::string_view text) {
  if (text.empty()) return std::vector<Tenure>{};
  return Read<std::vector<Tenure>>(text, "the history", [](const Json& json) -> ReadAs<std::vector<Tenure>> {
    std::vector<Tenure> history;
    for (const Json& one : json.at("owners")) {
      history.push_back({AtLeast(one, "term", 1), one.at("host"), one.at("instance"), AtLeast(one, "from", 0),
                         AtLeast(one, "without_ms", -1)});
    }
    return history;
  });
}

std::string PrintResign(owner::Term term) { return Dump({{"term", term}}); }

ReadAs<owner::Term> ReadResign(std::string_view text) {
  return Read<owner::Term>(text, "a wish to resign",
                           [](const Json& json) -> ReadAs<owner::Term> { return AtLeast(json, "term", 1); });
}

std::map<std::pair<std::string, std::string>, CensusSum> Sums(const Census& census) {
  std::map<std::pair<std::string, std::string>, CensusSum> sums;
  for (const CensusEntry& entry : census.sidecars) {
    CensusSum& sum = sums[{entry.zone, entry.tier}];
    ++sum.states[entry.state];
    if (!entry.version.empty()) ++sum.versions[entry.version];
    sum.concurrent += std::max<std::int64_t>(0, entry.concurrent);
  }
  return sums;
}

std::string Print(const Census& census, size_t most) {
  Json json = {{"term", census.term}, {"step", census.step}, {"sidecars", census.sidecars.size()}};
  Json sums = Json::array();
  for (const auto& [where, sum] : Sums(census)) {
    sums.push_back({{"zone", where.first},
                    {"tier", where.second},
                    {"states", sum.states},
                    {"versions", sum.versions},
                    {"concurrent", sum.concurrent}});
  }
  json["sums"] = sums;
  const std::string short_form = Dump(json);
  Json names = Json::array();
  for (const CensusEntry& e : census.sidecars) {
    if (census.sidecars.size() > kMostNamed && e.state == "serving") continue;
    names.push_back({{"name", e.name},
                     {"zone", e.zone},
                     {"tier", e.tier},
                     {"host", e.host},
                     {"state", e.state},
                     {"version", e.version},
                     {"targets", e.targets},
                     {"targets_disabled", e.targets_disabled},
                     {"concurrent", e.concurrent},
                     {"unknown_steps", e.unknown_steps}});
  }
  json["named"] = names;
  std::string whole = Dump(json);
  if (whole.size() <= most) return whole;
  if (short_form.size() <= most) return short_form;
  return Dump(
      {{"term", census.term}, {"step", census.step}, {"sidecars", census.sidecars.size()}, {"cut", true}});
}

ReadAs<Census> ReadCensus(std::string_view text) {
  return Read<Census>(text, "the census", [](const Json& json) -> ReadAs<Census> {
    Census census;
    census.term = AtLeast(json, "term", 1);
    census.step = AtLeast(json, "step", 1);
    const Json named = json.value("named", Json::array());
    for (const Json& one : named) {
      CensusEntry e;
      e.name = one.at("name");
      e.zone = one.at("zone");
      e.tier = one.at("tier");
      e.host = one.at("host");
      e.state = one.at("state");
      e.version = one.at("version");
      e.targets = AtLeast(one, "targets", -1);
      e.targets_disabled = AtLeast(one, "targets_disabled", -1);
      e.concurrent = AtLeast(one, "concurrent", -1);
      e.unknown_steps = AtLeast(one, "unknown_steps", 0);
      census.sidecars.push_back(std::move(e));
    }
    return census;
  });
}

}  // namespace umberdyke::fleet

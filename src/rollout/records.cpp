// The forms in which a release's state, permits, reports and wishes are kept: JSON, read strictly.
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "rollout/release.h"

namespace umberdyke::rollout {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kFormat = 1;
constexpr std::array<const char*, 3> kWhats = {"release", "restart", "drain"};
constexpr std::array<const char*, 6> kPhases = {"going", "halted", "back", "stands", "sealed", "taken-back"};
constexpr std::array<const char*, 5> kDos = {"go", "back", "restart", "drain", "undrain"};
constexpr std::array<const char*, 4> kSaids = {"going", "done", "failed", "stayed"};
constexpr std::array<const char*, 8> kVerbs = {"start", "restart", "drain", "undrain",
                                               "halt",  "resume",  "back",  "seal"};
constexpr std::size_t kLongestWord = 512;

template <typename T, std::size_t N>
std::optional<T> Find(const std::array<const char*, N>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<T>(it - names.begin());
}

template <typename T, std::size_t N>
T Choice(const std::array<const char*, N>& names, const Json& json, const char* key) {
  const auto name = json.at(key).get<std::string>();
  const auto found = Find<T>(names, name);
  if (!found) throw std::invalid_argument(std::string(key) + " is " + name);
  return *found;
}

std::string Word(const Json& json, const char* key) {
  auto word = json.value(key, std::string());
  if (word.size() > kLongestWord) throw std::invalid_argument(std::string(key) + " is too long");
  return word;
}

std::int64_t Serial(const Json& json) {
  const auto serial = json.at("serial").get<std::int64_t>();
  if (serial < 0) throw std::invalid_argument("serial is below zero");
  return serial;
}

std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

// Hands the text to `take`; what it throws is why it cannot be read.
template <typename T>
std::optional<T> Read(const std::string& text, const char* what, std::string* why, T (*take)(const Json&)) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    *why = std::string(what) + " is no JSON object";
    return std::nullopt;
  }
  try {
    if (json.value("format", 0) != kFormat) throw std::invalid_argument("it is of another format");
    return take(json);
  } catch (const std::exception& error) {
    *why = std::string(what) + " cannot be read: " + error.what();
    return std::nullopt;
  }
}

Json ToJson(const Version& v) { return {{"label", v.label}, {"program", v.program}, {"files", v.files}}; }
Version VersionOf(const Json& json) {
  return {Word(json, "label"), Word(json, "program"), Word(json, "files")};
}

Json ToJson(const Permit& p) {
  return {{"serial", p.serial},       {"job", p.job},       {"unit", p.unit},           {"host", p.host},
          {"action", Name(p.action)}, {"to", ToJson(p.to)}, {"withdrawn", p.withdrawn}, {"done", p.done}};
}
Permit PermitOfJson(const Json& json) {
  Permit p;
  p.serial = Serial(json);
  if (p.serial == 0) throw std::invalid_argument("a permit has no serial");
  p.job = Word(json, "job");
  p.unit = Word(json, "unit");
  p.host = Word(json, "host");
  p.action = Choice<Do>(kDos, json, "action");
  p.to = VersionOf(json.at("to"));
  p.withdrawn = json.value("withdrawn", false);
  p.done = json.value("done", false);
  return p;
}

Json ToJson(const Job& j) {
  return {{"id", j.id},        {"what", Name(j.what)}, {"to", ToJson(j.to)},     {"from", ToJson(j.from)},
          {"waves", j.waves},  {"wave", j.wave},       {"phase", Name(j.phase)}, {"reason", j.reason},
          {"by", j.by},        {"why", j.why},         {"touched", j.touched},   {"changed", j.changed},
          {"failed", j.failed}};
}
Job JobOf(const Json& json) {
  Job j;
  j.id = Word(json, "id");
  j.what = Choice<What>(kWhats, json, "what");
  j.to = VersionOf(json.at("to"));
  j.from = VersionOf(json.at("from"));
  j.waves = json.at("waves").get<std::vector<std::vector<std::string>>>();
  j.wave = json.at("wave").get<std::size_t>();
  j.phase = Choice<Phase>(kPhases, json, "phase");
  j.reason = Word(json, "reason");
  j.by = Word(json, "by");
  j.why = Word(json, "why");
  j.touched = json.at("touched").get<std::set<std::string>>();
  j.changed = json.at("changed").get<std::set<std::string>>();
  j.failed = json.at("failed").get<std::map<std::string, std::string>>();
  if (j.waves.empty() || j.wave >= j.waves.size()) throw std::invalid_argument("a job has no such wave");
  return j;
}

template <typename T>
Json ListOf(const std::vector<T>& all) {
  Json list = Json::array();
  for (const T& one : all) list.push_back(ToJson(one));
  return list;
}

State StateOf(const Json& json) {
  State state;
  state.serial = Serial(json);
  state.current = VersionOf(json.at("current"));
  for (const Json& one : json.at("jobs")) state.jobs.push_back(JobOf(one));
  for (const Json& one : json.at("history")) state.history.push_back(JobOf(one));
  for (const Json& one : json.at("permits")) {
    state.permits.push_back(PermitOfJson(one));
    if (state.permits.back().serial > state.serial)
      throw std::invalid_argument("a permit is ahead of its time");
  }
  for (const Json& one : json.at("answers")) state.answers.emplace_back(one.at(0), one.at(1));
  return state;
}

std::vector<Permit> PermitsOf(const Json& json) {
  std::vector<Permit> permits;
  for (const Json& one : json.at("permits")) permits.push_back(PermitOfJson(one));
  return permits;
}

std::map<std::string, Report> ReportsOf(const Json& json) {
  std::map<std::string, Report> reports;
  for (const auto& [unit, one] : json.at("reports").items()) {
    reports[unit] = {Serial(one), Choice<Said>(kSaids, one, "said"), Word(one, "why"), Word(one, "note")};
  }
  return reports;
}

Wish WishOf(const Json& json) {
  Wish wish;
  wish.id = Word(json, "id");
  wish.verb = Word(json, "verb");
  if (std::find(kVerbs.begin(), kVerbs.end(), wish.verb) == kVerbs.end())
    throw std::invalid_argument("there is no " + wish.verb);
  wish.application = Word(json, "application");
  wish.by = Word(json, "by");
  wish.why = Word(json, "why");
  wish.job = Word(json, "job");
  if (json.contains("to")) wish.to = VersionOf(json.at("to"));
  wish.select = Word(json, "select");
  wish.name = Word(json, "name");
  return wish;
}

}  // namespace

const char* Name(What what) { return kWhats[static_cast<std::size_t>(what)]; }
const char* Name(Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }
const char* Name(Do action) { return kDos[static_cast<std::size_t>(action)]; }
const char* Name(Said said) { return kSaids[static_cast<std::size_t>(said)]; }

std::string Print(const State& state) {
  return Dump({{"format", kFormat},
               {"serial", state.serial},
               {"current", ToJson(state.current)},
               {"jobs", ListOf(state.jobs)},
               {"permits", ListOf(state.permits)},
               {"history", ListOf(state.history)},
               {"answers", state.answers}});
}

std::optional<State> ReadState(const std::string& text, std::string* why) {
  if (text.empty()) return State();
  return Read<State>(text, "the state of releases", why, StateOf);
}

std::string PrintPermits(const std::vector<Permit>& permits) {
  return Dump({{"format", kFormat}, {"permits", ListOf(permits)}});
}

std::optional<std::vector<Permit>> ReadPermits(const std::string& text, std::string* why) {
  if (text.empty()) return std::vector<Permit>();
  return Read<std::vector<Permit>>(text, "a host's permits", why, PermitsOf);
}

std::string PrintReports(const std::map<std::string, Report>& reports) {
  Json all = Json::object();
  for (const auto& [unit, r] : reports)
    all[unit] = {{"serial", r.serial}, {"said", Name(r.said)}, {"why", r.why}, {"note", r.note}};
  return Dump({{"format", kFormat}, {"reports", all}});
}

std::optional<std::map<std::string, Report>> ReadReports(const std::string& text, std::string* why) {
  if (text.empty()) return std::map<std::string, Report>();
  return Read<std::map<std::string, Report>>(text, "a host's reports", why, ReportsOf);
}

std::string Print(const Wish& wish) {
  return Dump({{"format", kFormat},
               {"id", wish.id},
               {"verb", wish.verb},
               {"application", wish.application},
               {"by", wish.by},
               {"why", wish.why},
               {"job", wish.job},
               {"to", ToJson(wish.to)},
               {"select", wish.select},
               {"name", wish.name}});
}

std::optional<Wish> ReadWish(const std::string& text, std::string* why) {
  return Read<Wish>(text, "the wish", why, WishOf);
}

}  // namespace umberdyke::rollout

// Implements the parsing of the site's settings.
#include "site/site_settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace umberdyke {
namespace {

bool ParseNumber(std::string_view text, auto* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

// Looks settings up by name and parses them. It uses a map because a linear search over hundreds of settings
// would be too slow, although they are only read at startup.
class SettingsReader {
 public:
  explicit SettingsReader(const SettingPairs& values) : values_(values) {}

  std::string_view Text(const std::string& name) const {
    const auto it = values_.find(name);
    return it == values_.end() ? std::string_view() : std::string_view(it->second);
  }
  double Number(const std::string& name, double default_value) const {
    const std::string_view text = Text(name);
    double value = default_value;
    if (!text.empty() && !ParseNumber(text, &value)) ThrowUnreadable(name);
    return value;
  }
  std::int64_t Integer(const std::string& name, std::int64_t default_value) const {
    const std::string_view text = Text(name);
    std::int64_t value = default_value;
    if (text.empty() || ParseNumber(text, &value)) return value;
    const double number = Number(name, 0);
    if (!std::isfinite(number) || std::abs(number) > 9e15) ThrowUnreadable(name);
    return static_cast<std::int64_t>(number);
  }
  bool Flag(const std::string& name, bool default_value) const {
    const std::string_view text = Text(name);
    if (text.empty()) return default_value;
    if (text == "1" || text == "true") return true;
    if (text == "0" || text == "false") return false;
    ThrowUnreadable(name);
  }

 private:
  [[noreturn]] static void ThrowUnreadable(const std::string& name) { throw SettingError(name); }
  const SettingPairs& values_;
};

RequestClass ReadClass(const SettingsReader& reader, const std::string& prefix) {
  RequestClass c;
  const std::string_view semantics = reader.Text(prefix + "semantics");
  c.repeat = semantics == "pure" ? Repeat::kSafe : semantics == "token" ? Repeat::kKeyed : Repeat::kUnsafe;
  const std::string_view group = reader.Text(prefix + "group");
  c.group = group == "zone" ? Group::kZone : group == "all" ? Group::kAll : Group::kCell;
  c.window = reader.Integer(prefix + "window_us", 0);
  c.aim = reader.Integer(prefix + "target_us", 0);
  c.deadline = reader.Integer(prefix + "hard_limit_us", 0);
  c.points = reader.Number(prefix + "points", 1);
  c.aim_stretch = reader.Number(prefix + "aim_stretch", 0);
  c.late_share = reader.Number(prefix + "late_share", 0);
  c.stream = reader.Flag(prefix + "stream", false);
  return c;
}

std::vector<Tenant> ReadTenants(const SettingsReader& reader) {
  std::vector<Tenant> tenants(
      static_cast<size_t>(std::max<std::int64_t>(0, reader.Integer("accounts.count", 0))));
  for (size_t i = 0; i < tenants.size(); ++i) {
    tenants[i].allowance_per_s = reader.Number("accounts." + std::to_string(i) + ".allowance_per_s", 0);
  }
  return tenants;
}

}  // namespace

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return parts;
}

Configuration ReadSettings(const SettingPairs& pairs) {
  const SettingsReader reader(pairs);
  Configuration result;
  Settings& s = result.settings;
  const std::int64_t classes = reader.Integer("request_classes.count", 0);
  for (std::int64_t i = 0; i < classes; ++i) {
    s.classes.push_back(ReadClass(reader, "request_classes." + std::to_string(i) + "."));
  }
  s.tenants = ReadTenants(reader);
  s.balancers = static_cast<int>(reader.Integer("balancers", 1));
  s.tier = static_cast<int>(reader.Integer("tier", 0));
  s.zone = static_cast<int>(reader.Integer("az", 0));
  s.max_attempts = static_cast<int>(reader.Integer("ceilings.most_tries", 1));
  s.parallel_attempts = reader.Flag("ceilings.parallel_tries", false);
  s.may_cancel = reader.Flag("ceilings.cancel", false);
  s.may_check = reader.Flag("ceilings.probes", false);
  s.check_price = reader.Number("prices.probe", 0);
  s.must_ask = reader.Text("discovery") == "ask";
  s.passes_deadline = reader.Flag("specifics.passes_deadline", true);
  s.over_share_worth = reader.Number("over_share_worth", 1);
  s.tick = reader.Integer("period_us", 1000);
  s.max_retry_after =
      reader.Flag("ceilings.retry_after", false) ? reader.Integer("ceilings.max_retry_after_us", 0) : 0;
  s.ask_every = reader.Integer("rules.ask_every_us", 10'000'000);
  s.connection_idle = reader.Integer("ceilings.conn_idle_us", 0);
  s.start_capacity = reader.Number("rules.start_capacity", 1);
  s.cold_time = reader.Integer("rules.cold_us", 0);
  s.fall_multiple = reader.Number("rules.fall_multiple", 0);
  s.fall_time = reader.Integer("rules.fall_us", 0);
  s.close_idle_within = reader.Integer("rules.let_go_in_us", 0);
  s.only_draining_binds = reader.Flag("rules.soft_removal", false);
  s.tail_weight = reader.Number("result_mix.punctual", 0);
  s.tail_slack = reader.Number("result_mix.tail_slack", 0);
  result.columns = SplitList(reader.Text("report.columns"));
  return result;
}

void SetReported(std::string_view name, double value, LoadReport* report) {
  if (name == "inflight") report->in_flight = value;
  if (name == "queue") report->queue = value;
  if (name == "util") report->utilization = value;
  if (name == "latency_ms") report->latency_ms = value;
  if (name == "qps") report->served_per_s = value;
  if (name == "eps") report->errors_per_s = value;
}

}  // namespace umberdyke

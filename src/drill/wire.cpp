// Parses event lines and formats action lines of the bench protocol.
#include "drill/wire.h"

#include <charconv>
#include <cmath>
#include <string>

namespace umberdyke::benchlink {
namespace {

template <typename T>
bool Parse(std::string_view text, T* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

template <typename T>
void Append(std::string* out, T value) {
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof buffer, value);
  out->append(buffer, result.ptr);
}

// Writes the line for each kind of action.
struct ActionWriter {
  std::int64_t instance;
  const UpstreamNames& names;
  std::string* out;

  void BeginLine(std::string_view tag) const {
    out->append(tag);
    out->append(" i=");
    Append(out, instance);
  }
  template <typename T>
  void Field(std::string_view name, T value) const {
    out->push_back(' ');
    out->append(name);
    out->push_back('=');
    Append(out, value);
  }
  void Upstream(UpstreamId id) const {
    out->append(" upstream=");
    out->append(names.NameOf(id));
  }
  void EndLine() const { out->push_back('\n'); }
  void Bytes(const std::vector<std::uint8_t>& content) const {
    static constexpr char kDigits[] = "0123456789abcdef";
    out->append(" content=");
    if (content.empty()) out->push_back('-');
    for (const std::uint8_t byte : content) {
      out->push_back(kDigits[byte >> 4]);
      out->push_back(kDigits[byte & 15]);
    }
  }

  void operator()(const Send& a) const {
    BeginLine("ISSUE");
    Field("rid", a.request);
    Upstream(a.upstream);
    if (a.time_out != 0) Field("limit_us", a.time_out);
    EndLine();
  }
  void operator()(const Cancel& a) const {
    BeginLine("WITHDRAW");
    Field("rid", a.request);
    Field("leg", a.attempt);
    EndLine();
  }
  void operator()(const Refuse& a) const {
    BeginLine("DECLINE");
    Field("rid", a.request);
    if (a.retry_after > 0) Field("come_back_us", a.retry_after);
    EndLine();
  }
  void operator()(const Fail& a) const {
    BeginLine("END_FAILED");
    Field("rid", a.request);
    EndLine();
  }
  void operator()(const SetTimer& a) const {
    BeginLine("SCHEDULE");
    Field("offset_us", a.delay);
    Field("name", a.token);
    EndLine();
  }
  void operator()(const Subscribe& a) const {
    BeginLine("STREAM_CHANGES");
    Field("want", a.on ? 1 : 0);
    EndLine();
  }
  void operator()(const FetchList&) const {
    BeginLine("PULL");
    EndLine();
  }
  void operator()(const Check& a) const {
    BeginLine("PING");
    Upstream(a.upstream);
    EndLine();
  }
  void operator()(const CloseIdle& a) const {
    BeginLine("LET_GO");
    Upstream(a.upstream);
    EndLine();
  }
  void operator()(const TellPeers& a) const {
    BeginLine("SHARE");
    Field("neighbour_id", a.peer);
    Bytes(a.content);
    EndLine();
  }
  void operator()(const Log& a) const {
    BeginLine("LOG");
    out->append(" what=");
    for (const char c : a.text) out->push_back(c == '\n' || c == '\r' ? ' ' : c);
    EndLine();
  }
};

}  // namespace

Fields::Fields(std::string_view line) {
  size_t at = line.find(' ');
  tag_ = line.substr(0, at);
  while (at != std::string_view::npos) {
    const size_t start = at + 1;
    at = line.find(' ', start);
    const std::string_view part = line.substr(start, at == std::string_view::npos ? at : at - start);
    const size_t equals = part.find('=');
    if (equals != std::string_view::npos)
      pairs_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  }
}

const std::string_view* Fields::Find(std::string_view name) const {
  for (const auto& [key, value] : pairs_) {
    if (key == name) return &value;
  }
  return nullptr;
}

void Fields::ThrowFieldError(std::string_view name, const char* what) const {
  throw WireError(std::string(tag_) + ": field " + std::string(name) + " is " + what);
}

std::string_view Fields::Text(std::string_view name) const {
  const std::string_view* value = Find(name);
  if (value == nullptr) ThrowFieldError(name, "missing");
  if (value->empty()) ThrowFieldError(name, "unreadable");
  return *value;
}

std::int64_t Fields::Integer(std::string_view name) const {
  const std::string_view* value = Find(name);
  if (value == nullptr) ThrowFieldError(name, "missing");
  std::int64_t result = 0;
  if (!Parse(*value, &result)) ThrowFieldError(name, "unreadable");
  return result;
}

std::int64_t Fields::Integer(std::string_view name, std::int64_t default_value) const {
  return Has(name) ? Integer(name) : default_value;
}

double Fields::Number(std::string_view name, double default_value) const {
  const std::string_view* value = Find(name);
  if (value == nullptr) return default_value;
  double result = 0;
  if (!Parse(*value, &result) || !std::isfinite(result)) ThrowFieldError(name, "unreadable");
  return result;
}

bool Fields::Flag(std::string_view name, bool default_value) const {
  const std::string_view* value = Find(name);
  if (value == nullptr) return default_value;
  if (*value != "0" && *value != "1") ThrowFieldError(name, "unreadable");
  return *value == "1";
}

UpstreamId UpstreamNames::Intern(std::string_view name) {
  const auto [it, is_new] = ids_.try_emplace(std::string(name), static_cast<UpstreamId>(names_.size()));
  if (is_new) names_.emplace_back(name);
  return it->second;
}

Configuration ParseConfiguration(const Fields& fields) {
  SettingPairs pairs;
  for (const auto& [name, value] : fields.pairs()) pairs.emplace(name, value);
  try {
    return ReadSettings(pairs);
  } catch (const SettingError& error) {
    throw WireError("CONFIGURE: field " + error.name + " is unreadable");
  }
}

UpstreamEntry ParseEntry(const Fields& fields, UpstreamNames* names) {
  UpstreamEntry entry;
  entry.id = names->Intern(fields.Text("upstream"));
  const std::string_view mode = fields.Text("mode");
  // An upstream in any other mode may finish its requests but gets no new ones.
  entry.state = mode == "Running"   ? UpstreamState::kReady
                : mode == "Deleted" ? UpstreamState::kGone
                                    : UpstreamState::kDraining;
  entry.ready_at = fields.Integer("ready_at_us", 0);
  entry.weight = fields.Number("capacity_hint", 1);
  entry.kind = static_cast<int>(fields.Integer("machine", 0));
  entry.zone = static_cast<int>(fields.Integer("rack_zone", 0));
  entry.cell = static_cast<int>(fields.Integer("cell", 0));
  return entry;
}

ListUpdate ParseListUpdate(const Fields& fields) {
  const std::string_view mode = fields.Text("mode");
  if (mode == "delta") return ListUpdate::kChanges;
  if (mode == "full") return ListUpdate::kComplete;
  if (mode == "cached") return ListUpdate::kCached;
  if (mode == "failed") return ListUpdate::kFailed;
  throw WireError("UPDATE: field mode is unreadable");
}

Request ParseRequest(const Fields& fields) {
  Request request;
  request.id = static_cast<RequestId>(fields.Integer("rid"));
  request.request_class = static_cast<int>(fields.Integer("qos"));
  request.time_left = fields.Integer("ttl_us");
  if (fields.Has("expected_us")) request.expected_work = fields.Integer("expected_us");
  request.tenant = static_cast<int>(fields.Integer("owner", 0));
  request.client_retry = fields.Flag("repeat", false);
  return request;
}

Outcome ParseOutcome(const Fields& fields) {
  switch (fields.Integer("verdict")) {
    case 10:
      return Outcome::kOk;
    case 20:
      return Outcome::kError;
    case 30:
      return Outcome::kRejected;
    case 40:
      return Outcome::kTimeout;
    case 50:
      return Outcome::kConnectFailed;
    case 60:
      return Outcome::kReset;
    case 70:
      return Outcome::kCancelled;
    case 80:
      return Outcome::kNotSent;
    default:
      throw WireError(std::string(fields.tag()) + ": field verdict is unreadable");
  }
}

std::optional<LoadReport> ParseReport(const Fields& fields, const std::vector<std::string>& columns) {
  if (!fields.Has("health_info")) return std::nullopt;
  const std::vector<std::string> values = SplitList(fields.Text("health_info"));
  LoadReport report;
  for (size_t i = 0; i < values.size() && i < columns.size(); ++i) {
    double value = 0;
    if (values[i].empty() || values[i] == "-") continue;
    if (!Parse(std::string_view(values[i]), &value) || !std::isfinite(value)) {
      throw WireError(std::string(fields.tag()) + ": field health_info is unreadable");
    }
    SetReported(columns[i], value, &report);
  }
  return report;
}

AttemptEnd ParseAttemptEnd(const Fields& fields, const std::vector<std::string>& columns,
                           UpstreamNames* names) {
  AttemptEnd end;
  end.request = static_cast<RequestId>(fields.Integer("rid"));
  end.attempt = static_cast<int>(fields.Integer("leg"));
  end.upstream = names->Intern(fields.Text("upstream"));
  end.outcome = ParseOutcome(fields);
  end.elapsed = fields.Integer("rtt_us");
  end.settled = fields.Flag("settled", false);
  end.report = ParseReport(fields, columns);
  return end;
}

std::vector<std::uint8_t> ParseBytes(const Fields& fields, std::string_view name) {
  const std::string_view text = fields.Text(name);
  std::vector<std::uint8_t> bytes;
  if (text == "-") return bytes;
  for (size_t i = 0; i < text.size(); i += 2) {
    unsigned value = 0;
    const auto [end, error] =
        std::from_chars(text.data() + i, text.data() + std::min(i + 2, text.size()), value, 16);
    if (error != std::errc() || end != text.data() + i + 2) {
      throw WireError(std::string(fields.tag()) + ": field " + std::string(name) + " is unreadable");
    }
    bytes.push_back(static_cast<std::uint8_t>(value));
  }
  return bytes;
}

void WriteAction(std::int64_t instance, const Action& action, const UpstreamNames& names, std::string* out) {
  std::visit(ActionWriter{instance, names, out}, action);
}

}  // namespace umberdyke::benchlink

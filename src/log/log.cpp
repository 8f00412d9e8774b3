#include "log/log.h"

#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace umberdyke::log {
namespace {

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// The current UTC time as RFC 3339 with milliseconds.
std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[64];
  const size_t at = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + at, sizeof text - at, ".%03dZ", static_cast<int>(millis % 1000));
  return text;
}

}  // namespace

Log::Log(spdlog::sink_ptr sink, Format format, Level min_level, std::string instance)
    : logger_("umberdyke", std::move(sink)), format_(format), instance_(std::move(instance)) {
  if (format == Format::kJson) logger_.set_pattern("%v");
  logger_.set_level(ToSpdlog(min_level));
  logger_.flush_on(spdlog::level::debug);
}

bool Log::Enabled(Event event) const { return logger_.should_log(ToSpdlog(KindOf(event).level)); }

void Log::Say(Event event, const std::string& text, Fields fields) {
  const EventKind& kind = KindOf(event);
  if (!Enabled(event)) return;
  std::uint64_t held_back = 0;
  if (!limit_.Allow(event, std::chrono::steady_clock::now(), &held_back)) return;
  if (format_ == Format::kText) {
    const std::string suppressed =
        held_back == 0 ? "" : " (" + std::to_string(held_back) + " similar events were suppressed)";
    logger_.log(ToSpdlog(kind.level), "{}{}", text, suppressed);
    return;
  }
  nlohmann::ordered_json line = {{"time", Timestamp()},
                                 {"level", LevelName(kind.level)},
                                 {"event", kind.name},
                                 {"instance", instance_},
                                 {"text", text}};
  for (const auto& [name, value] : fields) {
    std::visit([&, key = std::string(name)](const auto& v) { line[key] = v; }, value);
  }
  if (held_back > 0) line["held_back"] = held_back;
  // Names from outside may contain any bytes, and log collectors may drop a line that is not valid UTF-8.
  logger_.log(ToSpdlog(kind.level), "{}",
              line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::shared_ptr<Log> StderrLog(Format format, Level min_level, std::string instance) {
  return std::make_shared<Log>(std::make_shared<spdlog::sinks::stderr_sink_st>(), format, min_level,
                               std::move(instance));
}

std::shared_ptr<Log> NullLog() {
  return std::make_shared<Log>(std::make_shared<spdlog::sinks::null_sink_st>(), Format::kText, Level::kError,
                               "test");
}

}  // namespace umberdyke::log

// The program's log, based on spdlog: one line of text or one JSON object per event.
//
// This module must not depend on what the events are about: callers pass the text and the fields.
#ifndef UMBERDYKE_LOG_LOG_H_
#define UMBERDYKE_LOG_LOG_H_

#include <spdlog/logger.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "log/event.h"

namespace umberdyke::log {

enum class Format { kText, kJson };

using Value = std::variant<std::string, std::int64_t, double, bool>;
using Fields = std::initializer_list<std::pair<std::string_view, Value>>;

class Log {
 public:
  // `instance` is the sidecar's name, which every JSON line contains. Events below level `min_level` are
  // dropped.
  Log(spdlog::sink_ptr sink, Format format, Level min_level, std::string instance);

  // Whether the level of `event` is logged. Lets callers skip building the text of frequent events.
  bool Enabled(Event event) const;
  // `fields` are written only in JSON lines, so `text` must be complete without them.
  void Say(Event event, const std::string& text, Fields fields = {});

 private:
  spdlog::logger logger_;
  const Format format_;
  const std::string instance_;
  RateLimit limit_;
};

// A log on standard error.
std::shared_ptr<Log> StderrLog(Format format, Level min_level, std::string instance);
// Discards everything; for tests.
std::shared_ptr<Log> NullLog();

}  // namespace umberdyke::log

#endif  // UMBERDYKE_LOG_LOG_H_

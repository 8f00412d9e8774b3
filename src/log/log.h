// The program's log on spdlog: a line of text or a JSON object for each event.
//
// This room may not know what the events are about: whoever tells one brings its text and its fields.
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
  // `instance` is the sidecar's name, in every JSON line.
  Log(spdlog::sink_ptr sink, Format format, Level least, std::string instance);

  // Fields come in JSON lines alone; the text says it all for people.
  void Say(Event event, const std::string& text, Fields fields = {});

 private:
  spdlog::logger logger_;
  const Format format_;
  const std::string instance_;
  RateLimit limit_;
};

// A log on standard error.
std::shared_ptr<Log> StderrLog(Format format, Level least, std::string instance);
// A log that nobody reads, for tests.
std::shared_ptr<Log> NullLog();

}  // namespace umberdyke::log

#endif  // UMBERDYKE_LOG_LOG_H_

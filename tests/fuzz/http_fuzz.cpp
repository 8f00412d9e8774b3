// Whatever bytes come on a connection: messages of both kinds, whole and in pieces, with long bodies, and the
// calls of the second address. The same input has to mean the same however it is split.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "http1/http.h"
#include "platform/console_calls.h"

namespace {

using namespace umberdyke::net;

struct Read {
  ParseResult parsed = ParseResult::kIncomplete;
  std::string heads;
  std::string body;
};

Read ReadAll(std::string_view text, HttpParser::Kind kind, bool long_bodies, size_t step) {
  Read read;
  HttpParser parser(kind);
  if (long_bodies) parser.StreamLongBodies();
  bool headed = false;
  for (int messages = 0; !text.empty() && messages < 100;) {
    size_t used = 0;
    read.parsed = parser.Feed(text.substr(0, step), &used);
    if (used > text.size()) std::abort();
    text.remove_prefix(used);
    if (read.parsed != ParseResult::kIncomplete && read.parsed != ParseResult::kComplete) return read;
    if (long_bodies && parser.head_complete() && !headed) {
      parser.StartStreaming();
      const Message head = parser.TakeHead();
      read.heads += head.method + " " + head.target + " " + std::to_string(head.headers.size()) + "\n";
      headed = true;
    }
    if (headed) read.body += parser.TakeBodyPart();
    if (read.parsed != ParseResult::kComplete) continue;
    ++messages;
    const Message message = parser.Take();
    if (!headed) {
      read.heads +=
          message.method + " " + message.target + " " + std::to_string(message.headers.size()) + "\n";
      read.body += message.body;
      if (message.body.size() > kMaxBufferedBody) std::abort();
      const auto call = ParseConsoleRequest(message);
      if (const auto* none = std::get_if<ConsoleError>(&call);
          none != nullptr && ConsoleErrorResponse(*none).empty()) {
        std::abort();
      }
    }
    headed = false;
  }
  if (kind == HttpParser::Kind::kResponse) parser.FeedEnd();
  return read;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const auto kind : {HttpParser::Kind::kRequest, HttpParser::Kind::kResponse}) {
    for (const bool long_bodies : {false, true}) {
      const Read whole = ReadAll(text, kind, long_bodies, text.size());
      const Read split = ReadAll(text, kind, long_bodies, 7);
      const auto good = [](ParseResult parsed) {
        return parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete;
      };
      if (good(whole.parsed) != good(split.parsed)) std::abort();
      if (good(whole.parsed) && (whole.heads != split.heads || whole.body != split.body)) std::abort();
    }
  }
  ConsoleMetrics figures;
  figures.classes.push_back({std::string(text), 1, 2, 3});
  const std::string printed = FormatMetrics(figures);
  size_t lines = 0;
  for (const char c : printed) lines += c == '\n' ? 1 : 0;
  if (lines != 7) std::abort();
  return 0;
}

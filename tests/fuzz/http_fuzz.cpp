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
  Parsed parsed = Parsed::kMore;
  std::string heads;
  std::string body;
};

Read ReadAll(std::string_view text, HttpParser::Kind kind, bool long_bodies, size_t step) {
  Read read;
  HttpParser parser(kind);
  if (long_bodies) parser.PassLongBodies();
  bool headed = false;
  for (int messages = 0; !text.empty() && messages < 100;) {
    size_t used = 0;
    read.parsed = parser.Feed(text.substr(0, step), &used);
    if (used > text.size()) std::abort();
    text.remove_prefix(used);
    if (read.parsed != Parsed::kMore && read.parsed != Parsed::kComplete) return read;
    if (long_bodies && parser.head_done() && !headed) {
      parser.MakeLong();
      const Message head = parser.TakeHead();
      read.heads += head.method + " " + head.target + " " + std::to_string(head.headers.size()) + "\n";
      headed = true;
    }
    if (headed) read.body += parser.TakePiece();
    if (read.parsed != Parsed::kComplete) continue;
    ++messages;
    const Message message = parser.Take();
    if (!headed) {
      read.heads +=
          message.method + " " + message.target + " " + std::to_string(message.headers.size()) + "\n";
      read.body += message.body;
      if (message.body.size() > kMostBody) std::abort();
      const auto call = ReadCall(message);
      if (const auto* none = std::get_if<NoCall>(&call); none != nullptr && NoCallAnswer(*none).empty()) {
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
      const auto good = [](Parsed parsed) { return parsed == Parsed::kMore || parsed == Parsed::kComplete; };
      if (good(whole.parsed) != good(split.parsed)) std::abort();
      if (good(whole.parsed) && (whole.heads != split.heads || whole.body != split.body)) std::abort();
    }
  }
  Figures figures;
  figures.classes.push_back({std::string(text), 1, 2, 3});
  const std::string printed = PrintFigures(figures);
  size_t lines = 0;
  for (const char c : printed) lines += c == '\n' ? 1 : 0;
  if (lines != 7) std::abort();
  return 0;
}

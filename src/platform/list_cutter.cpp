#include "platform/list_cutter.h"

#include <utility>

namespace umberdyke::net {
namespace {

bool Blank(std::string_view text) { return text.find_first_not_of(" \t\r") == std::string_view::npos; }

}  // namespace

bool ListCutter::Cut(const Item& item) {
  const std::string whole = std::exchange(text_, {});
  depth_ = 0;
  quoted_ = escaped_ = false;
  return item(Blank(whole) ? std::string_view() : std::string_view(whole));
}

void ListCutter::Feed(std::string_view bytes, const Item& item) {
  for (const char c : bytes) {
    if (depth_ == 0) {
      if (c == '\n') {
        if (!Cut(item)) return;
        continue;
      }
      if (c == '{' && !Blank(text_) && !Cut(item)) return;  // what stood before it is no part of it
      text_ += c;
      if (c == '{') depth_ = 1;
      continue;
    }
    text_ += c;
    if (escaped_) {
      escaped_ = false;
    } else if (quoted_) {
      escaped_ = c == '\\';
      quoted_ = c != '"';
    } else if (c == '"') {
      quoted_ = true;
    } else if (c == '{') {
      ++depth_;
    } else if (c == '}' && --depth_ == 0) {
      if (!Cut(item)) return;
    }
  }
}

}  // namespace umberdyke::net

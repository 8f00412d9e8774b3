#include "platform/list_cutter.h"

#include <utility>

namespace umberdyke::net {
namespace {

bool IsBlank(std::string_view text) { return text.find_first_not_of(" \t\r") == std::string_view::npos; }

}  // namespace

bool ListCutter::EmitItem(const ItemCallback& on_item) {
  const std::string text = std::exchange(text_, {});
  depth_ = 0;
  quoted_ = escaped_ = false;
  return on_item(IsBlank(text) ? std::string_view() : std::string_view(text));
}

void ListCutter::Feed(std::string_view bytes, const ItemCallback& on_item) {
  for (const char c : bytes) {
    if (depth_ == 0) {
      if (c == '\n') {
        if (!EmitItem(on_item)) return;
        continue;
      }
      // Text before the object is an item of its own.
      if (c == '{' && !IsBlank(text_) && !EmitItem(on_item)) return;
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
      if (!EmitItem(on_item)) return;
    }
  }
}

}  // namespace umberdyke::net

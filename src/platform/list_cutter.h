// Splits the byte stream of a discovery response into JSON objects, each on one line or over several, and the
// empty lines between them.
#ifndef UMBERDYKE_PLATFORM_LIST_CUTTER_H_
#define UMBERDYKE_PLATFORM_LIST_CUTTER_H_

#include <functional>
#include <string>
#include <string_view>

namespace umberdyke::net {

class ListCutter {
 public:
  // Gets a complete object, a line that is not an object, or an empty string for an empty line. Returns false
  // to discard the rest of the bytes.
  using ItemCallback = std::function<bool(std::string_view text)>;

  void Feed(std::string_view bytes, const ItemCallback& on_item);
  size_t held() const { return text_.size(); }  // bytes of the incomplete item

 private:
  bool EmitItem(const ItemCallback& on_item);

  std::string text_;
  int depth_ = 0;  // nesting of braces
  bool quoted_ = false;
  bool escaped_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_LIST_CUTTER_H_

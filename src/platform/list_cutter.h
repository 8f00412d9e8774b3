// Discovery's answer cut into what it is made of, however the bytes come: objects, on a line of their own or
// over several, and the empty lines between them.
#ifndef UMBERDYKE_PLATFORM_LIST_CUTTER_H_
#define UMBERDYKE_PLATFORM_LIST_CUTTER_H_

#include <functional>
#include <string>
#include <string_view>

namespace umberdyke::net {

class ListCutter {
 public:
  // A whole object; a line that is none; or nothing but an empty line. False: hear no more of these bytes.
  using ItemCallback = std::function<bool(std::string_view text)>;

  void Feed(std::string_view bytes, const ItemCallback& on_item);
  size_t held() const { return text_.size(); }  // of what is not whole yet

 private:
  bool EmitItem(const ItemCallback& on_item);

  std::string text_;
  int depth_ = 0;  // of braces
  bool quoted_ = false;
  bool escaped_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_PLATFORM_LIST_CUTTER_H_

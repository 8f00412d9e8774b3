// Encodes and decodes Jute, the serialization format of ZooKeeper: big-endian integers, and strings and lists
// with a 32-bit length prefix. The client and the stand-in server share it; messages are defined elsewhere.
#ifndef UMBERDYKE_JUTE_JUTE_H_
#define UMBERDYKE_JUTE_JUTE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::jute {

// Decodes values in order. After the first malformed value `ok()` is false, and further reads return zero or
// empty values.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  std::int32_t Int() { return static_cast<std::int32_t>(Number(4)); }
  std::int64_t Long() { return static_cast<std::int64_t>(Number(8)); }
  bool Bool() { return Number(1) != 0; }
  std::string Text() {
    const std::int32_t length = Int();
    if (length <= 0) return {};  // -1 encodes a null string
    if (static_cast<size_t>(length) > bytes_.size()) {
      ok_ = false;
      return {};
    }
    std::string text(bytes_.substr(0, static_cast<size_t>(length)));
    bytes_.remove_prefix(static_cast<size_t>(length));
    return text;
  }
  std::vector<std::string> Texts() {
    std::vector<std::string> texts;
    // Each string takes at least four bytes. Reject a larger count before allocating memory for it.
    const std::int32_t count = Int();
    if (count > 0 && static_cast<size_t>(count) > bytes_.size() / 4) ok_ = false;
    for (std::int32_t i = 0; ok_ && i < count; ++i) texts.push_back(Text());
    return texts;
  }
  bool ok() const { return ok_; }
  bool empty() const { return bytes_.empty(); }

 private:
  std::uint64_t Number(size_t size) {
    if (bytes_.size() < size) ok_ = false;
    if (!ok_) return 0;
    std::uint64_t value = 0;
    for (size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes_[i]);
    bytes_.remove_prefix(size);
    return value;
  }
  std::string_view bytes_;
  bool ok_ = true;
};

// Encodes values in call order.
class Writer {
 public:
  Writer& Int(std::int32_t value) { return Number(static_cast<std::uint32_t>(value), 4); }
  Writer& Long(std::int64_t value) { return Number(static_cast<std::uint64_t>(value), 8); }
  Writer& Bool(bool value) { return Number(value ? 1 : 0, 1); }
  Writer& Text(std::string_view text) {
    Int(static_cast<std::int32_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  Writer& Texts(const std::vector<std::string>& texts) {
    Int(static_cast<std::int32_t>(texts.size()));
    for (const std::string& text : texts) Text(text);
    return *this;
  }
  Writer& Raw(std::string_view bytes) {
    bytes_ += bytes;
    return *this;
  }
  const std::string& bytes() const { return bytes_; }
  // Returns the message with its length prefix, as sent on the wire.
  std::string Framed() const {
    Writer frame;
    frame.Int(static_cast<std::int32_t>(bytes_.size()));
    return frame.bytes_ + bytes_;
  }

 private:
  Writer& Number(std::uint64_t value, int size) {
    for (int i = size - 1; i >= 0; --i) bytes_ += static_cast<char>(value >> (8 * i) & 0xff);
    return *this;
  }
  std::string bytes_;
};

}  // namespace umberdyke::jute

#endif  // UMBERDYKE_JUTE_JUTE_H_

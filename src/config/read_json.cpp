// JSON on nlohmann's event parser, which tells no places: they are found from how far it has read.
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "config/node.h"

namespace umberdyke::config {
namespace {

using Json = nlohmann::json;

// Hands the parser the text and tells how far it has come.
class Cursor {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  Cursor(std::string_view text, size_t* read, size_t at) : text_(text), read_(read), at_(at) {}
  reference operator*() const { return text_[at_]; }
  Cursor& operator++() {
    *read_ = ++at_;
    return *this;
  }
  Cursor operator++(int) {
    Cursor before = *this;
    ++*this;
    return before;
  }
  friend bool operator==(const Cursor& a, const Cursor& b) { return a.at_ == b.at_; }
  friend bool operator!=(const Cursor& a, const Cursor& b) { return a.at_ != b.at_; }

 private:
  std::string_view text_;
  size_t* read_;
  size_t at_;
};

class Builder : public nlohmann::json_sax<Json> {
 public:
  Builder(const std::string& file, std::string_view text, const size_t* read, Findings* findings)
      : file_(file), text_(text), read_(read), findings_(findings) {
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '\n') lines_.push_back(i + 1);
    }
  }

  bool null() override { return Put(Scalar(Node::Kind::kNull, WordStart())); }
  bool boolean(bool value) override {
    Node node = Scalar(Node::Kind::kFlag, WordStart());
    node.flag = value;
    return Put(std::move(node));
  }
  bool number_integer(number_integer_t value) override {
    Node node = Scalar(Node::Kind::kInteger, WordStart());
    node.integer = value;
    node.number = static_cast<double>(value);
    return Put(std::move(node));
  }
  bool number_unsigned(number_unsigned_t value) override {
    Node node = Scalar(Node::Kind::kInteger, WordStart());
    node.number = static_cast<double>(value);
    if (value > static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max())) {
      node.kind = Node::Kind::kNumber;  // too large for a whole number here: limits refuse it with its place
    }
    node.integer = static_cast<std::int64_t>(value);
    return Put(std::move(node));
  }
  bool number_float(number_float_t value, const string_t&) override {
    Node node = Scalar(Node::Kind::kNumber, WordStart());
    node.number = value;
    return Put(std::move(node));
  }
  bool string(string_t& value) override {
    Node node = Scalar(Node::Kind::kText, TextStart());
    node.text = value;
    return Put(std::move(node));
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(Node::Kind::kTable); }
  bool end_object() override {
    names_.pop_back();
    return Close();
  }
  bool start_array(std::size_t) override { return Open(Node::Kind::kList); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    const Place place = PlaceAt(TextStart());
    const bool is_new = names_.back().insert(name).second;
    if (name.empty()) {
      findings_->Add(file_, place, "unknown-key", "a key without a name");
    } else if (!is_new) {
      findings_->Add(file_, place, "duplicate-key", Quoted(name) + " comes a second time");
    }
    open_.back()->members.push_back({is_new ? name : std::string(), place, {}});
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    // The parser's own words quote the text, where secrets may stand; the place tells enough.
    const bool end = *read_ >= text_.size();
    findings_->Add(file_, PlaceAt(*read_ > 0 ? *read_ - 1 : 0), "syntax",
                   end ? "the file ends in the middle of its JSON" : "this is no JSON from here on");
    told_ = true;
    return false;
  }

  bool told() const { return told_; }
  Node Take() { return std::move(root_); }

 private:
  Place PlaceAt(size_t offset) const {
    const auto next = std::upper_bound(lines_.begin(), lines_.end(), offset);
    const size_t start = next == lines_.begin() ? 0 : *std::prev(next);
    return {static_cast<int>(next - lines_.begin()) + 1, static_cast<int>(offset - start) + 1};
  }
  // A text has just been read to its closing quote: its opening one is the last not behind a backslash.
  size_t TextStart() const {
    size_t at = *read_ > 1 ? *read_ - 2 : 0;
    for (; at > 0; --at) {
      if (text_[at] != '"') continue;
      size_t slashes = 0;
      while (slashes < at && text_[at - 1 - slashes] == '\\') ++slashes;
      if (slashes % 2 == 0) break;
    }
    return at;
  }
  // A word or number has just been read, and perhaps the character behind it.
  size_t WordStart() const {
    const auto part = [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == 'E' || c == '+' || c == '-' || c == '.';
    };
    size_t at = *read_;
    while (at > 0 && !part(text_[at - 1])) --at;
    while (at > 0 && part(text_[at - 1])) --at;
    return at;
  }
  Node Scalar(Node::Kind kind, size_t start) const {
    Node node;
    node.kind = kind;
    node.place = PlaceAt(start);
    return node;
  }
  Node* PutNode(Node node) {
    if (open_.empty()) {
      root_ = std::move(node);
      return &root_;
    }
    Node& parent = *open_.back();
    if (parent.kind == Node::Kind::kList) {
      parent.items.push_back(std::move(node));
      return &parent.items.back();
    }
    parent.members.back().value = std::move(node);
    return &parent.members.back().value;
  }
  bool Put(Node node) {
    PutNode(std::move(node));
    return true;
  }
  bool Open(Node::Kind kind) {
    const Node node = Scalar(kind, *read_ > 0 ? *read_ - 1 : 0);
    if (static_cast<int>(open_.size()) >= kDeepest) {
      findings_->Add(file_, node.place, "too-deep",
                     "more than " + std::to_string(kDeepest) + " tables or lists inside one another");
      told_ = true;
      return false;
    }
    // Pointers into the tree hold: while a list or table is open nothing is added beside it.
    open_.push_back(PutNode(node));
    if (kind == Node::Kind::kTable) names_.emplace_back();
    return true;
  }
  bool Close() {
    Node& node = *open_.back();
    // What came a second time is told, and the first holds.
    std::erase_if(node.members, [](const Member& m) { return m.name.empty(); });
    open_.pop_back();
    return true;
  }

  const std::string& file_;
  const std::string_view text_;
  const size_t* const read_;
  Findings* const findings_;
  std::vector<size_t> lines_;
  Node root_;
  std::vector<Node*> open_;
  std::vector<std::unordered_set<std::string>> names_;
  bool told_ = false;
};

}  // namespace

std::optional<Node> ReadJson(const std::string& file, std::string_view text, Findings* findings) {
  if (!Readable(file, text, findings)) return std::nullopt;
  size_t read = 0;
  Builder builder(file, text, &read, findings);
  const bool whole = Json::sax_parse(Cursor(text, &read, 0), Cursor(text, &read, text.size()), &builder);
  if (!whole) {
    if (!builder.told()) findings->Add(file, {}, "syntax", "this is no JSON");
    return std::nullopt;
  }
  return builder.Take();
}

}  // namespace umberdyke::config

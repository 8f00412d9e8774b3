// HTTP/1.1 messages: an incremental parser with limits, and writers. Knows nothing of the platform.
#ifndef UMBERDYKE_HTTP1_HTTP_H_
#define UMBERDYKE_HTTP1_HTTP_H_

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace umberdyke::net {

constexpr size_t kMostBody = 64 * 1024;
constexpr size_t kMostHead = 16 * 1024;
constexpr int kMostInterim = 8;  // 1xx answers in front of one answer

struct Header {
  std::string name;
  std::string value;
};

bool SameName(std::string_view a, std::string_view b);  // header names, whatever their case

struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = false;
  // The first value of a header; null where it is absent.
  const std::string* Find(std::string_view name) const;
};

// Headers that hold for one connection only, and those that a writer sets itself.
bool IsHopHeader(std::string_view name);

enum class Parsed { kMore, kComplete, kMalformed, kHeadTooLong, kBodyTooLong };

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  explicit HttpParser(Kind kind);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Takes bytes up to the end of one message; *used says how many. After kComplete, Take() and go on.
  Parsed Feed(std::string_view bytes, size_t* used);
  Message Take();
  bool begun() const { return begun_; }
  // Body bytes go there as they come, without a limit, instead of into the message.
  void StreamBodyTo(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
  bool head_done() const { return head_done_; }
  const Message& message() const { return message_; }

 private:
  static HttpParser& Of(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
  static http_parser_settings Callbacks();
  int TakeText(std::string* into, const char* at, size_t length);
  int TakeBody(const char* at, size_t length);
  int EndHead();
  bool Ambiguous() const;
  int EndMessage();
  Parsed Finish(size_t used, size_t given);

  Kind kind_;
  http_parser parser_;
  Message message_;
  std::function<void(std::string_view)> sink_;
  size_t head_bytes_ = 0;
  int interim_ = 0;  // 1xx answers in front
  bool begun_ = false;
  bool in_value_ = false;
  bool head_done_ = false;
  bool complete_ = false;
  Parsed failure_ = Parsed::kMore;
};

std::string WriteAnswer(int status, const std::vector<Header>& headers, std::string_view body,
                        bool keep_alive);
std::string WriteRequest(std::string_view method, std::string_view target, const std::vector<Header>& headers,
                         std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HTTP1_HTTP_H_

// HTTP/1.1 messages: an incremental parser with limits, and writers. Knows nothing of the platform.
#ifndef UMBERDYKE_HTTP1_HTTP_H_
#define UMBERDYKE_HTTP1_HTTP_H_

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace umberdyke::net {

constexpr size_t kMaxBufferedBody =
    64 * 1024;  // held whole; a longer one is passed on as it comes, or refused
constexpr size_t kMaxStreamedBody = 48 * 1024 * 1024;  // and no body is longer than this
constexpr size_t kMaxHeadBytes = 16 * 1024;
constexpr int kMaxInterimResponses = 8;  // 1xx answers in front of one answer

struct Header {
  std::string name;
  std::string value;
};

bool HeaderNamesEqual(std::string_view a, std::string_view b);  // header names, whatever their case

struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = false;
  bool accepts_chunked = false;                 // its sender speaks HTTP/1.1
  std::optional<std::uint64_t> content_length;  // of the body, where the head tells it
  // The first value of a header; null where it is absent.
  const std::string* Find(std::string_view name) const;
};

// Headers that hold for one connection only, and those that a writer sets itself.
bool IsHopByHopHeader(std::string_view name);

enum class ParseResult { kIncomplete, kComplete, kMalformed, kHeadTooLong, kBodyTooLong };

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  explicit HttpParser(Kind kind);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Takes bytes up to the end of one message; *used says how many. After kComplete, Take() and go on.
  ParseResult Feed(std::string_view bytes, size_t* used);
  Message Take();
  // The connection has ended: kComplete where that is how this message ends.
  ParseResult FeedEnd();
  bool message_started() const { return message_started_; }
  // A message with a body over kMaxBufferedBody is no error from now on but a long one, up to
  // kMaxStreamedBody: its head is taken once, then its body piece by piece after each Feed, the last of which
  // says kComplete.
  void StreamLongBodies() { stream_long_bodies_ = true; }
  bool is_streaming() const { return streaming_; }
  void StartStreaming() { streaming_ = true; }  // though it is short so far: its end may be a while off
  Message TakeHead();
  std::string TakeBodyPart() { return std::exchange(message_.body, {}); }
  // Body bytes go there as they come, without a limit, instead of into the message.
  void StreamBodyTo(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
  bool head_complete() const { return head_complete_; }
  const Message& message() const { return message_; }

 private:
  static HttpParser& FromCallback(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
  static http_parser_settings Callbacks();
  int AppendText(std::string* into, const char* at, size_t length);
  int AppendBody(const char* at, size_t length);
  int OnHeadComplete();
  bool IsAmbiguous() const;
  int OnMessageComplete();
  ParseResult ResultOf(size_t used, size_t size);

  Kind kind_;
  http_parser parser_;
  Message message_;
  std::string trailers_;  // read past: what follows a body is no header of its message
  std::function<void(std::string_view)> sink_;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  bool stream_long_bodies_ = false;
  bool streaming_ = false;
  int interim_responses_ = 0;  // 1xx answers in front
  bool message_started_ = false;
  bool in_value_ = false;
  bool head_complete_ = false;
  bool message_complete_ = false;
  ParseResult failure_ = ParseResult::kIncomplete;
};

std::string WriteResponse(int status, const std::vector<Header>& headers, std::string_view body,
                          bool keep_alive);
// How a body's end is told, where the body follows in pieces.
struct Framing {
  std::optional<std::uint64_t> content_length;
  bool chunked = false;  // neither: it ends with the connection
};
std::string WriteResponseHead(int status, const std::vector<Header>& headers, const Framing& framing,
                              bool keep_alive);
std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const std::vector<Header>& headers, const Framing& framing);
// A piece of a body as it goes out, and what follows the last one.
std::string WriteBodyPart(std::string piece, const Framing& framing);
std::string WriteBodyEnd(const Framing& framing);
std::string WriteRequest(std::string_view method, std::string_view target, const std::vector<Header>& headers,
                         std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HTTP1_HTTP_H_

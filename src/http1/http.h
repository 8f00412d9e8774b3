// Incremental HTTP/1.1 parser with size limits, and functions that serialize messages. Independent of the
// platform's protocol (see platform/platform.h).
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

constexpr size_t kMaxBufferedBody = 64 * 1024;  // a longer body is streamed or rejected
constexpr size_t kMaxStreamedBody = 48 * 1024 * 1024;
constexpr size_t kMaxHeadBytes = 16 * 1024;
constexpr size_t kMaxHeaders = 256;      // lines of a head
constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final response

struct Header {
  std::string name;
  std::string value;
};

bool HeaderNamesEqual(std::string_view a, std::string_view b);  // ignores case

struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = false;
  bool accepts_chunked = false;                 // the sender speaks HTTP/1.1
  std::optional<std::uint64_t> content_length;  // absent where the head has none
  // Returns the first value of a header, or null.
  const std::string* Find(std::string_view name) const;
  // About how many bytes of memory it takes.
  size_t HeldBytes() const;
};

// True for hop-by-hop headers and for headers that the Write functions set themselves.
bool IsHopByHopHeader(std::string_view name);

enum class ParseResult { kIncomplete, kComplete, kMalformed, kHeadTooLong, kBodyTooLong };

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  explicit HttpParser(Kind kind);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Parses up to the end of one message and sets *used to the number of bytes consumed. After kComplete, call
  // Take() before parsing the next message.
  ParseResult Feed(std::string_view bytes, size_t* used);
  Message Take();
  // Reports the end of the connection. kComplete if the message is delimited by it, otherwise kMalformed.
  ParseResult FeedEnd();
  bool message_started() const { return message_started_; }
  // Lets messages with a body over kMaxBufferedBody, up to kMaxStreamedBody, be streamed instead of failing
  // with kBodyTooLong. Once is_streaming() is true, call TakeHead() once, then TakeBodyPart() after each Feed
  // until kComplete.
  void StreamLongBodies() { stream_long_bodies_ = true; }
  bool is_streaming() const { return streaming_; }
  // Streams the current message although it is still short, because its end may be far off.
  void StartStreaming() { streaming_ = true; }
  Message TakeHead();
  std::string TakeBodyPart() { return std::exchange(message_.body, {}); }
  // Passes body bytes to `sink` as they arrive, without a size limit, instead of storing them in the message.
  void StreamBodyTo(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
  bool head_complete() const { return head_complete_; }
  // About how many bytes of memory the message takes so far.
  size_t HeldBytes() const { return message_.HeldBytes() + trailers_.capacity(); }
  const Message& message() const { return message_; }

 private:
  static HttpParser& FromCallback(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
  static http_parser_settings Callbacks();
  int BeginHeader();
  int AppendText(std::string* into, const char* at, size_t length);
  int AppendBody(const char* at, size_t length);
  int OnHeadComplete();
  bool IsAmbiguous() const;
  int OnMessageComplete();
  ParseResult ResultOf(size_t used, size_t size);

  Kind kind_;
  http_parser parser_;
  Message message_;
  std::string trailers_;  // trailers of a chunked body are not headers and are discarded
  std::function<void(std::string_view)> sink_;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  bool stream_long_bodies_ = false;
  bool streaming_ = false;
  int interim_responses_ = 0;
  bool message_started_ = false;
  bool in_value_ = false;
  bool head_complete_ = false;
  bool message_complete_ = false;
  ParseResult failure_ = ParseResult::kIncomplete;
};

std::string WriteResponse(int status, const std::vector<Header>& headers, std::string_view body,
                          bool keep_alive);
// How the receiver finds the end of a streamed body. With neither field set, the body ends with the
// connection.
struct Framing {
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
  // Whether the receiver can tell a body that is cut off from a complete one.
  bool marks_end() const { return chunked || content_length.has_value(); }
};
std::string WriteResponseHead(int status, const std::vector<Header>& headers, const Framing& framing,
                              bool keep_alive);
std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const std::vector<Header>& headers, const Framing& framing);
// Encode a part of a streamed body, and the end of the body, for the given framing.
std::string WriteBodyPart(std::string part, const Framing& framing);
std::string WriteBodyEnd(const Framing& framing);
std::string WriteRequest(std::string_view method, std::string_view target, const std::vector<Header>& headers,
                         std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HTTP1_HTTP_H_

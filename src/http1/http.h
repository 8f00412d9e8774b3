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

constexpr size_t kMostBody = 64 * 1024;  // held whole; a longer one is passed on as it comes, or refused
constexpr size_t kMostPassed = 48 * 1024 * 1024;  // and no body is longer than this
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
  bool takes_chunks = false;            // its sender speaks HTTP/1.1
  std::optional<std::uint64_t> length;  // of the body, where the head tells it
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
  // The connection has ended: kComplete where that is how this message ends.
  Parsed FeedEnd();
  bool begun() const { return begun_; }
  // A message with a body over kMostBody is no error from now on but a long one, up to kMostPassed: its head
  // is taken once, then its body piece by piece after each Feed, the last of which says kComplete.
  void PassLongBodies() { passes_long_ = true; }
  bool is_long() const { return long_; }
  void MakeLong() { long_ = true; }  // though it is short so far: its end may be a while off
  Message TakeHead();
  std::string TakePiece() { return std::exchange(message_.body, {}); }
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
  std::string trailer_;  // read past: what follows a body is no header of its message
  std::function<void(std::string_view)> sink_;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  bool passes_long_ = false;
  bool long_ = false;
  int interim_ = 0;  // 1xx answers in front
  bool begun_ = false;
  bool in_value_ = false;
  bool head_done_ = false;
  bool complete_ = false;
  Parsed failure_ = Parsed::kMore;
};

std::string WriteAnswer(int status, const std::vector<Header>& headers, std::string_view body,
                        bool keep_alive);
// How a body's end is told, where the body follows in pieces.
struct Framing {
  std::optional<std::uint64_t> length;
  bool chunked = false;  // neither: it ends with the connection
};
std::string WriteAnswerHead(int status, const std::vector<Header>& headers, const Framing& framing,
                            bool keep_alive);
std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const std::vector<Header>& headers, const Framing& framing);
// A piece of a body as it goes out, and what follows the last one.
std::string WritePiece(std::string piece, const Framing& framing);
std::string WriteLastPiece(const Framing& framing);
std::string WriteRequest(std::string_view method, std::string_view target, const std::vector<Header>& headers,
                         std::string_view body);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HTTP1_HTTP_H_

#include "http1/http.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace umberdyke::net {
namespace {

const char* ReasonPhrase(int status) {
  switch (status) {
#define UMBERDYKE_REASON(number, name, text) \
  case number:                               \
    return #text;
    HTTP_STATUS_MAP(UMBERDYKE_REASON)
#undef UMBERDYKE_REASON
    default:
      return "Unknown";
  }
}

void AppendHeaders(const std::vector<Header>& headers, std::string* out) {
  for (const Header& header : headers) {
    out->append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

}  // namespace

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* Message::Find(std::string_view name) const {
  for (const Header& header : headers) {
    if (HeaderNamesEqual(header.name, name)) return &header.value;
  }
  return nullptr;
}

size_t Message::HeldBytes() const {
  size_t bytes = target.capacity() + body.capacity() + headers.capacity() * sizeof(Header);
  for (const Header& header : headers) bytes += header.name.capacity() + header.value.capacity();
  return bytes;
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kHopByHop = {
      "Connection",          "Keep-Alive", "TE",     "Trailer",        "Transfer-Encoding",
      "Proxy-Authorization", "Upgrade",    "Expect", "Content-Length", "Proxy-Connection"};
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view hop) { return HeaderNamesEqual(hop, name); });
}

HttpParser::HttpParser(Kind kind) : kind_(kind) {
  http_parser_init(&parser_, kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

http_parser_settings HttpParser::Callbacks() {
  http_parser_settings s;
  http_parser_settings_init(&s);
  s.on_message_begin = [](http_parser* p) {
    FromCallback(p).message_started_ = true;
    return 0;
  };
  s.on_url = [](http_parser* p, const char* at, size_t n) {
    return FromCallback(p).AppendText(&FromCallback(p).message_.target, at, n);
  };
  s.on_header_field = [](http_parser* p, const char* at, size_t n) {
    HttpParser& self = FromCallback(p);
    if (self.head_complete_) return self.AppendText(&self.trailers_, at, n);
    const bool begins = self.in_value_ || self.message_.headers.empty();
    if (begins && self.BeginHeader() != 0) return 1;
    return self.AppendText(&self.message_.headers.back().name, at, n);
  };
  s.on_header_value = [](http_parser* p, const char* at, size_t n) {
    if (FromCallback(p).head_complete_) return FromCallback(p).AppendText(&FromCallback(p).trailers_, at, n);
    FromCallback(p).in_value_ = true;
    return FromCallback(p).AppendText(&FromCallback(p).message_.headers.back().value, at, n);
  };
  s.on_headers_complete = [](http_parser* p) { return FromCallback(p).OnHeadComplete(); };
  s.on_body = [](http_parser* p, const char* at, size_t n) { return FromCallback(p).AppendBody(at, n); };
  s.on_message_complete = [](http_parser* p) { return FromCallback(p).OnMessageComplete(); };
  return s;
}

int HttpParser::BeginHeader() {
  if (message_.headers.size() >= kMaxHeaders) {
    failure_ = ParseResult::kHeadTooLong;
    return 1;
  }
  message_.headers.emplace_back();
  in_value_ = false;
  return 0;
}

int HttpParser::AppendText(std::string* into, const char* at, size_t length) {
  head_bytes_ += length;
  if (head_bytes_ > kMaxHeadBytes) {
    failure_ = ParseResult::kHeadTooLong;
    return 1;
  }
  into->append(at, length);
  return 0;
}

int HttpParser::AppendBody(const char* at, size_t length) {
  if (sink_) {
    sink_({at, length});
    return 0;
  }
  body_bytes_ += length;
  if (body_bytes_ > (stream_long_bodies_ ? kMaxStreamedBody : kMaxBufferedBody)) {
    failure_ = ParseResult::kBodyTooLong;
    return 1;
  }
  streaming_ = streaming_ || body_bytes_ > kMaxBufferedBody;
  message_.body.append(at, length);
  return 0;
}

// Returns true for heads that allow request smuggling or header injection: more than one body length, a
// transfer coding other than chunked, or control characters in a header value.
bool HttpParser::IsAmbiguous() const {
  int lengths = 0;
  int codings = 0;
  for (const Header& header : message_.headers) {
    const auto control = [](unsigned char c) { return (c < ' ' && c != '\t') || c == 127; };
    if (std::any_of(header.value.begin(), header.value.end(), control)) return true;
    lengths += HeaderNamesEqual(header.name, "Content-Length") ? 1 : 0;
    const bool coding = HeaderNamesEqual(header.name, "Transfer-Encoding");
    codings += coding ? 1 : 0;
    if (coding && !HeaderNamesEqual(header.value, "chunked")) return true;
  }
  // http_parser must have recognized the same transfer coding as the check above.
  const bool chunked = (parser_.flags & F_CHUNKED) != 0;
  // HTTP/1.0 has no chunked coding, so receivers may disagree on where such a body ends.
  const bool is_http_1_0 = kind_ == Kind::kRequest && parser_.http_major == 1 && parser_.http_minor == 0;
  return lengths + codings > 1 || chunked != (codings > 0) || (is_http_1_0 && codings > 0);
}

int HttpParser::OnHeadComplete() {
  // Trailing white space is not part of a header value.
  for (Header& header : message_.headers) {
    const size_t end = header.value.find_last_not_of(" \t");
    header.value.erase(end == std::string::npos ? 0 : end + 1);
  }
  if (IsAmbiguous()) {
    failure_ = ParseResult::kMalformed;
    return -1;
  }
  parser_.upgrade = 0;  // protocol upgrades are not supported and are ignored
  message_.status = kind_ == Kind::kResponse ? static_cast<int>(parser_.status_code) : 0;
  if (kind_ == Kind::kRequest) message_.method = http_method_str(static_cast<http_method>(parser_.method));
  message_.keep_alive = http_should_keep_alive(&parser_) != 0;
  message_.accepts_chunked = parser_.http_major > 1 || (parser_.http_major == 1 && parser_.http_minor >= 1);
  const bool has_content_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  if (has_content_length) message_.content_length = parser_.content_length;
  head_complete_ = true;
  // Reject an announced length over the limit at once.
  if (!sink_ && has_content_length &&
      parser_.content_length > (stream_long_bodies_ ? kMaxStreamedBody : kMaxBufferedBody)) {
    failure_ = ParseResult::kBodyTooLong;
    return -1;
  }
  streaming_ = !sink_ && has_content_length && parser_.content_length > kMaxBufferedBody;
  return 0;
}

int HttpParser::OnMessageComplete() {
  if (kind_ == Kind::kResponse &&
      parser_.status_code / 100 == 1) {  // interim response; the final one follows
    if (++interim_responses_ > kMaxInterimResponses) {
      failure_ = ParseResult::kMalformed;
      return 1;
    }
    message_ = Message();
    message_started_ = head_complete_ = in_value_ = false;
    return 0;
  }
  message_complete_ = true;
  http_parser_pause(&parser_, 1);
  return 0;
}

ParseResult HttpParser::Feed(std::string_view bytes, size_t* used) {
  static const http_parser_settings kCallbacks = Callbacks();
  *used = http_parser_execute(&parser_, &kCallbacks, bytes.data(), bytes.size());
  return ResultOf(*used, bytes.size());
}

ParseResult HttpParser::FeedEnd() {
  size_t used = 0;
  const ParseResult parsed = Feed({}, &used);
  return parsed == ParseResult::kIncomplete ? ParseResult::kMalformed : parsed;
}

Message HttpParser::TakeHead() {
  std::string part = TakeBodyPart();
  Message head = std::exchange(message_, {});
  message_.body = std::move(part);
  return head;
}

ParseResult HttpParser::ResultOf(size_t used, size_t size) {
  if (failure_ != ParseResult::kIncomplete) return failure_;
  if (message_complete_) return ParseResult::kComplete;
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_HEADER_OVERFLOW) return ParseResult::kHeadTooLong;
  if (error != HPE_OK || used != size) return ParseResult::kMalformed;
  return ParseResult::kIncomplete;
}

Message HttpParser::Take() {
  Message message = std::move(message_);
  message_ = Message();
  http_parser_init(&parser_, kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  trailers_.clear();
  head_bytes_ = body_bytes_ = 0;
  streaming_ = false;
  interim_responses_ = 0;
  message_started_ = in_value_ = head_complete_ = message_complete_ = false;
  failure_ = ParseResult::kIncomplete;
  return message;
}

namespace {

std::string ResponseStart(int status, const std::vector<Header>& headers, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  AppendHeaders(headers, &out);
  if (!keep_alive) out += "Connection: close\r\n";
  return out;
}

std::string RequestStart(std::string_view method, std::string_view target,
                         const std::vector<Header>& headers) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, &out);
  return out;
}

std::string FramingHeader(const Framing& framing) {
  if (framing.content_length)
    return "Content-Length: " + std::to_string(*framing.content_length) + "\r\n\r\n";
  return framing.chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
}

}  // namespace

std::string WriteResponseHead(int status, const std::vector<Header>& headers, const Framing& framing,
                              bool keep_alive) {
  return ResponseStart(status, headers, keep_alive) + FramingHeader(framing);
}

std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const std::vector<Header>& headers, const Framing& framing) {
  return RequestStart(method, target, headers) + FramingHeader(framing);
}

std::string WriteBodyPart(std::string part, const Framing& framing) {
  if (!framing.chunked || part.empty()) return part;  // an empty chunk would end the body
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", part.size());
  return size + part + "\r\n";
}

std::string WriteBodyEnd(const Framing& framing) { return framing.chunked ? "0\r\n\r\n" : ""; }

std::string WriteResponse(int status, const std::vector<Header>& headers, std::string_view body,
                          bool keep_alive) {
  return WriteResponseHead(status, headers, {body.size(), false}, keep_alive).append(body);
}

std::string WriteRequest(std::string_view method, std::string_view target, const std::vector<Header>& headers,
                         std::string_view body) {
  std::string out = RequestStart(method, target, headers);
  if (!body.empty() || method == "POST") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out.append("\r\n").append(body);
}

}  // namespace umberdyke::net

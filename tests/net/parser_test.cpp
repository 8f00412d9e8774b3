// Table-driven tests of the parsers: HTTP messages, platform responses, the discovery list, configuration.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "http1/http.h"
#include "site.h"

namespace umberdyke::net {
namespace {

TEST_CASE("a message parses the same however its bytes are split", "[http]") {
  const std::string text = "POST /api?x=1 HTTP/1.1\r\nA: b\r\nContent-Length: 5\r\n\r\nhello";
  for (size_t step : {1u, 2u, 7u, 1000u}) {
    HttpParser parser(HttpParser::Kind::kRequest);
    ParseResult parsed = ParseResult::kIncomplete;
    for (size_t at = 0; at < text.size(); at += step) {
      size_t used = 0;
      parsed = parser.Feed(std::string_view(text).substr(at, step), &used);
    }
    REQUIRE(parsed == ParseResult::kComplete);
    const Message message = parser.Take();
    CHECK(message.method == "POST");
    CHECK(message.target == "/api?x=1");
    CHECK(*message.Find("a") == "b");
    CHECK(message.body == "hello");
    CHECK(message.keep_alive);
  }
}

TEST_CASE("malformed, too long and incomplete messages are told apart", "[http]") {
  const std::string head = "GET /api HTTP/1.1\r\n";
  const std::vector<std::pair<std::string, ParseResult>> cases = {
      {"\x16\x03\x01 hello\r\n\r\n", ParseResult::kMalformed},
      {"GET /api HTTP/9.x\r\n\r\n", ParseResult::kMalformed},
      {head + "Content-Length: -1\r\n\r\n", ParseResult::kMalformed},
      {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", ParseResult::kMalformed},
      {head + "A: " + std::string(kMaxHeadBytes, 'a') + "\r\n\r\n", ParseResult::kHeadTooLong},
      {"GET /" + std::string(kMaxHeadBytes, 'a') + " HTTP/1.1\r\n\r\n", ParseResult::kHeadTooLong},
      {"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ParseResult::kBodyTooLong},
      {"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'a'),
       ParseResult::kBodyTooLong},
      {"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, 'a'),
       ParseResult::kComplete},
      {head + "A: b\r\n", ParseResult::kIncomplete},
  };
  for (const auto& [text, expected] : cases) {
    INFO(text.substr(0, 60));
    HttpParser parser(HttpParser::Kind::kRequest);
    size_t used = 0;
    CHECK(parser.Feed(text, &used) == expected);
  }
}

// Fails if short lines, which cost many times their bytes in memory, are only limited by their bytes.
TEST_CASE("a head of too many lines is too long", "[http]") {
  const auto parse = [](HttpParser::Kind kind, const std::string& start, size_t lines) {
    std::string text = start;
    for (size_t i = 0; i < lines; ++i) text += "a:\r\n";
    HttpParser parser(kind);
    size_t used = 0;
    const ParseResult parsed = parser.Feed(text, &used);
    CHECK(parser.HeldBytes() < 64 * 1024);
    return parsed;
  };
  for (const auto& [kind, start] : {std::pair(HttpParser::Kind::kRequest, "GET /api HTTP/1.1\r\n"),
                                    std::pair(HttpParser::Kind::kResponse, "HTTP/1.1 200 OK\r\n")}) {
    CHECK(parse(kind, start, kMaxHeaders) == ParseResult::kIncomplete);
    CHECK(parse(kind, start, kMaxHeaders + 1) == ParseResult::kHeadTooLong);
  }
}

// Request smuggling: with an ambiguous body length, a second request could hide in the body of the first.
TEST_CASE("a request with an ambiguous body length is malformed", "[http]") {
  const std::vector<std::string> heads = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nContent-Length: 5",
      "transfer-encoding:chunked\r\ncontent-length:5",
      "Content-Length: 5\r\nTransfer-Encoding: xchunked",
      "Content-Length: 5\r\nTransfer-Encoding:\tchunked",
      "Content-Length: 5\r\nTransfer-Encoding: chunked, identity",
      "Content-Length: 5\r\nTransfer-Encoding:\r\n chunked",
      "Content-Length: 5\r\nTransfer-Encoding: \x0b"
      "chunked",
      "Content-Length: 5\r\nTransfer-Encoding : chunked",
      "Content-Length: 5\r\nTransfer-Encoding",
      "Content-Length: 5\r\nX: a\rTransfer-Encoding: chunked",
      "Content-Length: 5\r\nX: a\x01"
      "b",
      "Transfer-Encoding: identity",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "Content-Length: 5\r\nContent-Length: 5",
      "Content-Length: 5, 5",
      "Content-Length: +5",
      "Content-Length: 0x5",
      "Content-Length: 5 5",
      "Content-Length: 99999999999999999999",
  };
  for (const std::string& head : heads) {
    INFO(head);
    HttpParser parser(HttpParser::Kind::kRequest);
    size_t used = 0;
    const ParseResult parsed =
        parser.Feed("POST /api HTTP/1.1\r\n" + head + "\r\n\r\n0\r\n\r\nGET /api", &used);
    CHECK((parsed == ParseResult::kMalformed || parsed == ParseResult::kBodyTooLong));
  }
}

TEST_CASE("white space around a header value is not part of it", "[http]") {
  HttpParser parser(HttpParser::Kind::kRequest);
  const std::string text =
      "POST /api HTTP/1.1\r\nA:  b \t \r\nB:\t\r\nTransfer-Encoding: chunked \r\n\r\n2;x=1\r\nok\r\n0\r\nA: "
      "c\r\n\r\n";
  size_t used = 0;
  REQUIRE(parser.Feed(text, &used) == ParseResult::kComplete);
  const Message message = parser.Take();
  CHECK(*message.Find("A") == "b");
  CHECK(message.Find("B")->empty());
  CHECK(message.body == "ok");
  CHECK(message.headers.size() == 3);  // the trailer is not a header
}

// A streamed body must not be buffered whole, truncated or delivered twice.
TEST_CASE("a long body is streamed after its head, however it is framed and split", "[http]") {
  const std::string body(200'000, 'x');
  std::string chunks;
  for (size_t at = 0; at < body.size(); at += 1000) chunks += "3e8\r\n" + body.substr(at, 1000) + "\r\n";
  const std::vector<std::pair<std::string, bool>> texts = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\nT: t\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true},
  };
  for (const auto& [text, until_close] : texts) {
    for (const size_t step : {size_t{1}, size_t{777}, size_t{16384}}) {
      HttpParser parser(HttpParser::Kind::kResponse);
      parser.StreamLongBodies();
      std::string received;
      size_t largest_part = 0;
      bool head_taken = false;
      ParseResult parsed = ParseResult::kIncomplete;
      for (size_t at = 0; at < text.size(); at += step) {
        size_t used = 0;
        parsed = parser.Feed(std::string_view(text).substr(at, step), &used);
        REQUIRE((parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete));
        if (!parser.is_streaming()) continue;
        if (!std::exchange(head_taken, true)) CHECK(parser.TakeHead().status == 200);
        const std::string part = parser.TakeBodyPart();
        largest_part = std::max(largest_part, part.size());
        received += part;
      }
      CHECK((parsed == ParseResult::kComplete) == !until_close);
      if (until_close) CHECK(parser.FeedEnd() == ParseResult::kComplete);
      CHECK(received == body);
      CHECK(largest_part <= kMaxBufferedBody + step);
      CHECK(parser.Take().body.empty());
    }
  }
  HttpParser parser(HttpParser::Kind::kResponse);
  parser.StreamLongBodies();
  size_t used = 0;
  CHECK(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", &used) ==
        ParseResult::kBodyTooLong);
  HttpParser truncated(HttpParser::Kind::kResponse);
  CHECK(truncated.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", &used) == ParseResult::kIncomplete);
  CHECK(truncated.FeedEnd() == ParseResult::kMalformed);
}

TEST_CASE("a chunked HTTP/1.0 request is malformed", "[http]") {
  HttpParser parser(HttpParser::Kind::kRequest);
  size_t used = 0;
  CHECK(parser.Feed("POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", &used) ==
        ParseResult::kMalformed);
}

TEST_CASE("protocol upgrades are ignored", "[http]") {
  for (const char* method : {"POST", "CONNECT"}) {
    HttpParser parser(HttpParser::Kind::kRequest);
    const std::string text = std::string(method) + (method[0] == 'P' ? " /api" : " a:1") +
                             " HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\n"
                             "okGET";
    size_t used = 0;
    REQUIRE(parser.Feed(text, &used) == ParseResult::kComplete);
    CHECK(parser.Take().body == "ok");
    CHECK(used == text.size() - 3);
  }
}

// A response without a length ends with its connection, which may also have broken, so its bytes alone never
// complete it.
TEST_CASE("a response is complete, malformed or incomplete", "[http]") {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string too_many_interim;
  for (int i = 0; i <= kMaxInterimResponses; ++i) too_many_interim += interim;
  const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::vector<std::pair<std::string, ParseResult>> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ParseResult::kComplete},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", ParseResult::kIncomplete},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ParseResult::kIncomplete},
      {"HTTP/1.1 200 OK\r\n\r\nok", ParseResult::kIncomplete},
      {interim + good, ParseResult::kComplete},
      {interim, ParseResult::kIncomplete},
      {too_many_interim + good, ParseResult::kMalformed},
      {"", ParseResult::kIncomplete},
      {"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::kMalformed},
      {"ICY 200 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::kMalformed},
      {"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n", ParseResult::kMalformed},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
       ParseResult::kMalformed},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok", ParseResult::kMalformed},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", ParseResult::kBodyTooLong},
  };
  for (const auto& [text, expected] : cases) {
    INFO(text);
    HttpParser parser(HttpParser::Kind::kResponse);
    size_t used = 0;
    CHECK(parser.Feed(text, &used) == expected);
    if (expected == ParseResult::kComplete) CHECK(parser.Take().status == 200);
  }
}

TEST_CASE("real server responses map to outcomes", "[platform]") {
  const std::vector<std::tuple<int, std::vector<Header>, Outcome>> cases = {
      {200, {}, Outcome::kOk},
      {500, {}, Outcome::kError},
      {500, {{"X-Not-Processed", "1"}}, Outcome::kError},
      {503, {{"X-Not-Processed", "1"}}, Outcome::kRejected},
      {504, {{"x-not-processed", "1"}}, Outcome::kRejected},
      {503, {{"X-Not-Processed", "0"}}, Outcome::kError},
      {503, {}, Outcome::kError},
      {400, {}, Outcome::kUnfit},
      {404, {}, Outcome::kUnfit},
      {408, {}, Outcome::kError},
      {429, {}, Outcome::kError},
      {204, {}, Outcome::kError},
  };
  for (const auto& [status, headers, expected] : cases) {
    Message response;
    response.status = status;
    response.headers = headers;
    INFO(status);
    CHECK(Platform::OutcomeOf(response) == expected);
  }
}

TEST_CASE("invalid load reports and list entries are ignored", "[platform]") {
  const Config config = ParseConfig(ConfigText("127.0.0.1:1", "null"), NoEnvironment());
  const Platform platform(config);
  for (const char* invalid :
       {"", "{", "[]", "7", R"({"inflight":"x"})", R"({"util":0.5})", R"({"inflight":-3})", R"({"queue":1})",
        R"({"inflight":-3,"queue":2})", R"({"inflight":7,"queue":1e15})", R"({"inflight":7,"que)",
        R"({"inflight":null,"queue":2})"}) {
    Message response;
    response.headers = {{"X-Server-Load", invalid}};
    INFO(invalid);
    CHECK_FALSE(platform.ParseLoadReport(response));
  }
  Message response;
  response.headers = {{"X-Server-Load", R"({"inflight":7,"queue":2,"util":0.61})"}};
  REQUIRE(platform.ParseLoadReport(response));
  CHECK(platform.ParseLoadReport(response)->in_flight == 7);
  CHECK(platform.ParseLoadReport(response)->queue == 2);
  CHECK_FALSE(platform.ParseLoadReport(response)->utilization);

  for (const char* invalid : {"", "x", "[]", "{}", R"({"servers":7})"})
    CHECK_FALSE(platform.ParseServerList(invalid));
  const auto list = platform.ParseServerList(ListText(43, false,
                                                      {ServerLine("a", "127.0.0.1:9", "draining", "west"),
                                                       ServerLine("b", "nowhere"), "7", R"({"id":"c"})"}));
  REQUIRE(list);
  CHECK(list->version == 43);
  CHECK_FALSE(list->full);
  CHECK(list->unreadable == 3);
  REQUIRE(list->servers.size() == 1);
  CHECK(list->servers[0].state == UpstreamState::kDraining);
  CHECK(list->servers[0].zone == 1);
  CHECK_FALSE(list->servers[0].started);
}

TEST_CASE("an invalid configuration gives a one-line error that names the value", "[config]") {
  const std::string good = ConfigText("127.0.0.1:1", "null");
  REQUIRE_NOTHROW(ParseConfig(good, NoEnvironment()));
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {R"("name":"n0",)", "", "name"},
      {R"("listen":"127.0.0.1:0")", R"("listen":"here")", "listen"},
      {R"("listen":"127.0.0.1:0")", R"("listen":7)", "listen"},
      {R"("discovery":"127.0.0.1:1")", R"("discovery":"127.0.0.1:99999")", "discovery"},
      {R"("seed":"8c1f30d27a5be964")", R"("seed":"salt")", "seed"},
      {R"("sockets":1024)", R"("sockets":3)", "limits.sockets"},
      {R"("settings")", R"("setting")", "settings"},
      {R"("request_classes")", R"("classes")", "request_classes"},
      {R"("most_tries":5)", R"("most_tries":"many")", "ceilings.most_tries"},
      {R"("connect_timeout_us":150000)", R"("connect_timeout_us":-1)", "connect_timeout_us"},
      {R"("period_us":5000)", R"("period_us":"soon")", "period_us"},
  };
  for (const auto& [from, to, named_value] : cases) {
    std::string text = good;
    const size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    text.replace(position, from.size(), to);
    INFO(from);
    try {
      ParseConfig(text, NoEnvironment());
      FAIL("the invalid value was accepted");
    } catch (const ConfigError& error) {
      CHECK_THAT(error.what(), Catch::Contains(named_value));
      CHECK_THAT(error.what(), !Catch::Contains("\n"));
    }
  }
  CHECK_THROWS_AS(LoadConfig(NoEnvironment()), ConfigError);
  CHECK_THROWS_AS(ParseConfig("no JSON", NoEnvironment()), ConfigError);
}

TEST_CASE("environment variables override the file", "[config]") {
  const Config config = ParseConfig(ConfigText("127.0.0.1:1", "null"), [](const std::string& name) {
    return name == "ROUTER_NAME" ? std::optional<std::string>("n9") : std::nullopt;
  });
  CHECK(config.name == "n9");
  CHECK(config.seed == 0x8c1f30d27a5be964u);
  CHECK(config.settings.max_attempts == 5);
  CHECK(config.settings.max_retry_after == 2'000'000);
  CHECK(config.connect_timeout == 150ms);
  CHECK(config.zone_names == std::vector<std::string>{"east", "west"});
}

// ROUTER_DISCOVERY was set before the file was replaced, so at a reload the file is the newer source.
TEST_CASE("at a reload, discovery from the file overrides the variable", "[config]") {
  std::string path = std::filesystem::temp_directory_path() / "umberdyke_XXXXXX";
  close(mkstemp(path.data()));
  const Environment environment = [&](const std::string& name) {
    return name == "ROUTER_CONFIG"      ? std::optional<std::string>(path)
           : name == "ROUTER_DISCOVERY" ? std::optional<std::string>("127.0.0.1:7")
                                        : std::nullopt;
  };
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  write(ConfigText("127.0.0.1:8", "null"));
  const Config before = LoadConfig(environment);
  CHECK(PrintAddress(before.discovery) == "127.0.0.1:7");
  CHECK(PrintAddress(ReloadConfig(environment).discovery) == "127.0.0.1:8");
  CHECK(ReloadConfig(environment).rest == before.rest);
  write(ConfigText("127.0.0.1:8", "null", 512));
  CHECK(ReloadConfig(environment).rest != before.rest);
  write("{");
  CHECK_THROWS_AS(ReloadConfig(environment), ConfigError);
  std::remove(path.c_str());
  CHECK_THROWS_AS(ReloadConfig(environment), ConfigError);
}

}  // namespace
}  // namespace umberdyke::net

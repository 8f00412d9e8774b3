// Tables of cases for what reads text: HTTP, the platform's requests and answers, discovery, configuration.
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

TEST_CASE("a message reads the same however it is split", "[http]") {
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

TEST_CASE("input that is no message, or too long, is told apart", "[http]") {
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

// Guards against a second request hidden in the body of the first: a length that can be read in two ways.
TEST_CASE("a request whose end can be read in two ways is malformed", "[http]") {
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

// Guards against taking the white space that may stand round a value for a part of it.
TEST_CASE("white space round a header's value is no part of it", "[http]") {
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
  CHECK(message.headers.size() == 3);  // what follows the body is none of them
}

// Guards against a long body that is held whole, cut, or told twice.
TEST_CASE("a long body comes in pieces behind its head, however it is framed and split", "[http]") {
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
      std::string got;
      size_t most = 0;
      bool headed = false;
      ParseResult parsed = ParseResult::kIncomplete;
      for (size_t at = 0; at < text.size(); at += step) {
        size_t used = 0;
        parsed = parser.Feed(std::string_view(text).substr(at, step), &used);
        REQUIRE((parsed == ParseResult::kIncomplete || parsed == ParseResult::kComplete));
        if (!parser.is_streaming()) continue;
        if (!std::exchange(headed, true)) CHECK(parser.TakeHead().status == 200);
        const std::string piece = parser.TakeBodyPart();
        most = std::max(most, piece.size());
        got += piece;
      }
      CHECK((parsed == ParseResult::kComplete) == !until_close);
      if (until_close) CHECK(parser.FeedEnd() == ParseResult::kComplete);
      CHECK(got == body);
      CHECK(most <= kMaxBufferedBody + step);
      CHECK(parser.Take().body.empty());
    }
  }
  HttpParser parser(HttpParser::Kind::kResponse);
  parser.StreamLongBodies();
  size_t used = 0;
  CHECK(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", &used) ==
        ParseResult::kBodyTooLong);
  HttpParser cut(HttpParser::Kind::kResponse);
  CHECK(cut.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", &used) == ParseResult::kIncomplete);
  CHECK(cut.FeedEnd() == ParseResult::kMalformed);
}

TEST_CASE("chunks in a request of HTTP/1.0 are malformed", "[http]") {
  HttpParser parser(HttpParser::Kind::kRequest);
  size_t used = 0;
  CHECK(parser.Feed("POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", &used) ==
        ParseResult::kMalformed);
}

TEST_CASE("asking for another protocol changes nothing", "[http]") {
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

// An answer without a length ends with its connection, which may also have broken: it is never whole.
TEST_CASE("an answer is whole, spoilt or goes on", "[http]") {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string many;
  for (int i = 0; i <= kMaxInterimResponses; ++i) many += interim;
  const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::vector<std::pair<std::string, ParseResult>> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ParseResult::kComplete},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", ParseResult::kIncomplete},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ParseResult::kIncomplete},
      {"HTTP/1.1 200 OK\r\n\r\nok", ParseResult::kIncomplete},
      {interim + good, ParseResult::kComplete},
      {interim, ParseResult::kIncomplete},
      {many + good, ParseResult::kMalformed},
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

TEST_CASE("what a real server's answer means", "[platform]") {
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
    Message answer;
    answer.status = status;
    answer.headers = headers;
    INFO(status);
    CHECK(Platform::OutcomeOf(answer) == expected);
  }
}

TEST_CASE("load reports and list lines that make no sense are left out", "[platform]") {
  const Config config = ParseConfig(ConfigText("127.0.0.1:1", "null"), NoEnvironment());
  const Platform platform(config);
  for (const char* bad : {"", "{", "[]", "7", R"({"inflight":"x"})", R"({"util":0.5})", R"({"inflight":-3})",
                          R"({"queue":1})", R"({"inflight":-3,"queue":2})", R"({"inflight":7,"queue":1e15})",
                          R"({"inflight":7,"que)", R"({"inflight":null,"queue":2})"}) {
    Message answer;
    answer.headers = {{"X-Server-Load", bad}};
    INFO(bad);
    CHECK_FALSE(platform.ParseLoadReport(answer));
  }
  Message answer;
  answer.headers = {{"X-Server-Load", R"({"inflight":7,"queue":2,"util":0.61})"}};
  REQUIRE(platform.ParseLoadReport(answer));
  CHECK(platform.ParseLoadReport(answer)->in_flight == 7);
  CHECK(platform.ParseLoadReport(answer)->queue == 2);
  CHECK_FALSE(platform.ParseLoadReport(answer)->utilization);

  for (const char* bad : {"", "x", "[]", "{}", R"({"servers":7})"})
    CHECK_FALSE(platform.ParseServerList(bad));
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

TEST_CASE("a senseless configuration is one plain line that names the value", "[config]") {
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
  for (const auto& [from, to, named] : cases) {
    std::string text = good;
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
    INFO(from);
    try {
      ParseConfig(text, NoEnvironment());
      FAIL("it was taken");
    } catch (const ConfigError& error) {
      CHECK_THAT(error.what(), Catch::Contains(named));
      CHECK_THAT(error.what(), !Catch::Contains("\n"));
    }
  }
  CHECK_THROWS_AS(LoadConfig(NoEnvironment()), ConfigError);
  CHECK_THROWS_AS(ParseConfig("no JSON", NoEnvironment()), ConfigError);
}

TEST_CASE("variables go before the file", "[config]") {
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

// ROUTER_DISCOVERY was set before the file was replaced: at a reload it is the file that is new.
TEST_CASE("at a reload the file's discovery goes before the variable", "[config]") {
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

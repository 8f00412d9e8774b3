#include "config/units.h"

#include <catch2/catch.hpp>

#include "config/finding.h"
#include "config/reader.h"

namespace umberdyke::config {
namespace {

using namespace std::chrono_literals;

TEST_CASE("times and sizes are read exactly or not at all, and printed so that they are read back",
          "[units]") {
  const std::vector<std::pair<std::string, std::int64_t>> times = {{"300ms", 300'000},
                                                                   {"1.5s", 1'500'000},
                                                                   {"0s", 0},
                                                                   {"0.000001s", 1},
                                                                   {"250us", 250},
                                                                   {"10m", 600'000'000},
                                                                   {"1h", 3'600'000'000},
                                                                   {"9223372036854775807us", INT64_MAX}};
  for (const auto& [text, micros] : times) {
    INFO(text);
    REQUIRE(ParseDuration(text));
    CHECK(ParseDuration(text)->count() == micros);
    CHECK(ParseDuration(PrintDuration(std::chrono::microseconds(micros)))->count() == micros);
  }
  for (const char* text : {"", "300", "ms", "-1s", "+1s", "1 s", "1.s", ".5s", "1e3s", "0.5us", "1.0000001s",
                           "1S", "9223372036854775808us", "9999999999999h", "1.0000000000s", "1s ", "0x1s"}) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text));
  }
  const std::vector<std::pair<std::string, std::int64_t>> sizes = {
      {"64KiB", 65536}, {"192MiB", 201326592}, {"0.5GiB", 536870912}, {"1kB", 1000}, {"512B", 512}};
  for (const auto& [text, bytes] : sizes) {
    INFO(text);
    REQUIRE(ParseSize(text));
    CHECK(*ParseSize(text) == bytes);
    CHECK(ParseSize(PrintSize(bytes)) == bytes);
  }
  for (const char* text : {"64", "64K", "64kib", "1.5B", "9999999999GiB", "-1B"}) {
    INFO(text);
    CHECK_FALSE(ParseSize(text));
  }
}

TEST_CASE("a slip of the pen is told with the name that was meant, and nonsense with none", "[units]") {
  const std::vector<std::string> names = {"drain", "retry_after", "connect_timeout", "idle"};
  CHECK(Nearest("drian", names) == "drain");
  CHECK(Nearest("retry-after", names) == "retry_after");
  CHECK(Nearest("connect_timout", names) == "connect_timeout");
  CHECK(Nearest("zzzzzz", names).empty());
  CHECK(Nearest(std::string(100'000, 'a'), names).empty());
}

TEST_CASE("text from files is made fit for one line of a terminal", "[units]") {
  CHECK(OneLine("a\nb\x1b[2J\xff") ==
        "a\\x0a"
        "b\\x1b[2J\\xff");
  CHECK(OneLine("\xc2\x9b"
                "31m") == "\\xc2\\x9b31m");
  CHECK(OneLine("ગુજરાત") == "ગુજરાત");
  CHECK(OneLine(std::string(1000, 'a')).size() < 250);
  CHECK(ParseHostPort("[0:0::1]:80")->host == "[::1]");
  for (const char* bad : {"1.2.3:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:+1", "::1:80", "[::1%lo]:80", ":80"}) {
    INFO(bad);
    CHECK_FALSE(ParseHostPort(bad));
  }
}

}  // namespace
}  // namespace umberdyke::config

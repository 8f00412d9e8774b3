// The log: rate limits, the list of events in docs/events.md, and the two line formats.
#include "log/log.h"

#include <spdlog/sinks/ostream_sink.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace umberdyke::log {
namespace {

using namespace std::chrono_literals;

TEST_CASE("events that come too often are suppressed and counted; start and end never are", "[log]") {
  RateLimit limit;
  const RateLimit::Time start = RateLimit::Time() + 1h;
  std::uint64_t suppressed = 0, all_suppressed = 0, allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    allowed += limit.Allow(Event::kModule, start + i * 1ms, &suppressed) ? 1 : 0;
    all_suppressed += suppressed;
  }
  CHECK(allowed ==
        static_cast<std::uint64_t>(RateLimit::kBurst) + 1);  // plus the refill of almost one second
  for (int i = 0; i < 1000; ++i) CHECK(limit.Allow(Event::kListening, start, &suppressed));
  REQUIRE(limit.Allow(Event::kModule, start + 10s, &suppressed));
  CHECK(all_suppressed + suppressed == 1000 - allowed);
  REQUIRE(limit.Allow(Event::kModule, start + 10s, &suppressed));
  CHECK(suppressed == 0);
  CHECK(limit.Allow(Event::kReloaded, start, &suppressed));  // each event has its own bucket
}

TEST_CASE("every event has a unique name and is listed in docs/events.md", "[log]") {
  std::ifstream file(UMBERDYKE_SOURCE "/docs/events.md");
  std::stringstream page;
  page << file.rdbuf();
  std::set<std::string_view> names;
  for (size_t i = 0; i < EventKinds().size(); ++i) {
    CHECK(static_cast<size_t>(EventKinds()[i].event) == i);
    CHECK(names.insert(EventKinds()[i].name).second);
    CHECK(page.str().find("| `" + std::string(EventKinds()[i].name) + "` |") != std::string::npos);
  }
}

TEST_CASE("a JSON line can hold any bytes, and text lines drop events below the level", "[log]") {
  std::ostringstream out;
  Log json(std::make_shared<spdlog::sinks::ostream_sink_st>(out), Format::kJson, Level::kInfo, "n1");
  json.Say(Event::kModule, "a\n\"b\" \xff {}", {{"n", std::int64_t{7}}, {"ok", true}});
  const std::string line = out.str();
  CHECK(std::count(line.begin(), line.end(), '\n') == 1);
  const auto read = nlohmann::json::parse(line);
  CHECK(read["event"] == "module");
  CHECK(read["instance"] == "n1");
  CHECK(read["n"] == 7);
  CHECK(read["ok"] == true);
  out.str("");
  Log text(std::make_shared<spdlog::sinks::ostream_sink_st>(out), Format::kText, Level::kWarning, "n1");
  text.Say(Event::kListening, "unseen");
  text.Say(Event::kDiscoveryBroke, "the watch on discovery broke: {}");
  CHECK(out.str().find("unseen") == std::string::npos);
  CHECK(out.str().find("[warning] the watch on discovery broke: {}") != std::string::npos);
}

}  // namespace
}  // namespace umberdyke::log

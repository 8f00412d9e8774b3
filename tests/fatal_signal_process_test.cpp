// Tests what a process that a signal ends leaves in its log.
#include <nlohmann/json.hpp>

#include "handover/cluster.h"

namespace umberdyke::net {
namespace {

#ifdef __SANITIZE_ADDRESS__
const std::vector<int> kSignals = {SIGABRT};  // a sanitizer reports the others itself
#else
const std::vector<int> kSignals = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};
#endif

// Fails if a crash leaves nothing in the log, or if the process does not end by the signal of its fault.
TEST_CASE("a process that crashes says which signal ended it and where", "[crash-log]") {
  const std::string format = GENERATE("text", "json");
  for (const int signal : kSignals) {
    CAPTURE(format, signal);
    HandoverCluster cluster;
    cluster.options = {"--log-format", format};
    const int number = cluster.Start();
    REQUIRE(cluster.WaitUntilReady(number));
    cluster.SignalProcess(number, signal);
    REQUIRE(cluster.WaitForExit(number).has_value());
    CHECK(cluster.processes[0]->EndSignal() == signal);
    const std::string log = cluster.Log(number);
    const std::string last = log.substr(log.rfind('\n', log.size() - 2) + 1);
    CAPTURE(last);
    CHECK(last.find("the process ends by SIG") != std::string::npos);
    CHECK(last.find("stack") != std::string::npos);
    if (format == "text") continue;
    const auto line = nlohmann::json::parse(last);
    CHECK(line["event"] == "fatal-signal");
    CHECK(line["instance"] == "n0");
    CHECK(line["time"].get<std::string>().size() == std::string("2026-01-01T00:00:00.000Z").size());
    CHECK(line["stack"].get<std::string>().starts_with("0x"));
  }
}

}  // namespace
}  // namespace umberdyke::net

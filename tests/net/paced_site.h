// A test site whose sidecar is a real process with a limit of memory, before one paced server.
#ifndef UMBERDYKE_TESTS_NET_PACED_SITE_H_
#define UMBERDYKE_TESTS_NET_PACED_SITE_H_

#include <string>

#include "net/memory_limit.h"
#include "net/paced_peers.h"
#include "net/process_site.h"

namespace umberdyke::net {

// A request is lost if its answer comes later than this after its time.
constexpr Span kLatestAnswer = 500ms;

// Has a class "unsafe" beside those of ConfigText. The site's own server has left the list.
struct PacedSite : ProcessSite {
  explicit PacedSite(int memory_mb, const Change& change = {})
      : ProcessSite("paced",
                    [&](std::string* config) {
                      *config = WithMemoryLimit(*config, memory_mb);
                      const std::string classes = "\"request_classes\":[";
                      *config =
                          Replaced(*config, classes, classes + R"({"name":"unsafe","semantics":"side_effect",
                                         "target_us":1500000,"hard_limit_us":4000000,"points":2},)");
                      if (change) change(config);
                    }),
        paced(loop) {
    REQUIRE(loop.RunUntil([this] { return watch != nullptr; }, 5s));
    Tell(ListText(2, true, {ServerLine("paced", paced.address())}));
    Wait(50ms);
  }
  PacedServer paced;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_PACED_SITE_H_

#include "lab/membership/sidecar_file.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace umberdyke::lab {

std::string SidecarFile(const std::string& listen, const std::string& path,
                        const std::vector<std::string>& addresses, net::Span session) {
  nlohmann::json json = {
      {"format", 2},
      {"application", "linen-track"},
      {"name", "front-1"},
      {"listen", listen},
      {"membership",
       {{"kind", "nodes"},
        {"servers", addresses},
        {"path", path},
        {"session_us", std::chrono::duration_cast<std::chrono::microseconds>(session).count()},
        {"register_path", "/linen-track/sidecar-front-1"},
        {"guard_hold_us", 3'000'000}}},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings",
       {{"tier", 0},
        {"balancers", 1},
        {"az", 0},
        {"dcs", {"east", "west"}},
        {"kinds", {"std"}},
        {"discovery", "ask"},
        {"period_us", 1000},
        {"ceilings",
         {{"cancel", true},
          {"most_tries", 5},
          {"retry_after", true},
          {"max_retry_after_us", 2'000'000},
          {"connect_timeout_us", 150'000},
          {"conn_idle_us", 10'000'000},
          {"probes", true}}},
        {"report", {{"how", "piggyback"}, {"columns", {"queue", "inflight"}}}},
        {"rules", {{"stop_sending_within_us", 300'000}, {"let_go_in_us", 300'000}}},
        {"request_classes",
         {{{"name", "lot-status"},
           {"semantics", "pure"},
           {"target_us", 1'500'000},
           {"hard_limit_us", 4'000'000},
           {"points", 2}},
          {{"name", "handover"},
           {"semantics", "token"},
           {"group", "zone"},
           {"window_us", 6'000'000},
           {"target_us", 1'500'000},
           {"hard_limit_us", 4'000'000},
           {"points", 6}}}}}}};
  return json.dump(2);
}

}  // namespace umberdyke::lab

#include "lab/membership/propagation.h"

#include <sys/resource.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "lab/common/process.h"
#include "lab/coordinator/ensemble.h"
#include "membership/nodes_source.h"

namespace umberdyke::lab {

using net::Clock;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPath = "/app";

double CpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& t) {
    return 1e6 * static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

double At(std::vector<double> all, double share) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<size_t>(share * static_cast<double>(all.size())))];
}

}  // namespace

Propagation Measure(int nodes, int changes, int pace_ms) {
  Propagation result;
  result.nodes = nodes;
  result.changes = changes;
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  std::string created;
  std::vector<TreeChange> none;
  ensemble.tree().Create(kPath, "", {}, 0, 0, 0, {}, &created, &none);
  int next = 0;
  const auto add = [&] {
    const int n = next++;
    std::vector<TreeChange> made;
    ensemble.tree().Create(std::string(kPath) + "/s" + std::to_string(n),
                           "{\"addr\":\"127." + std::to_string(1 + n / 62500) + "." +
                               std::to_string(n / 250 % 250) + "." + std::to_string(1 + n % 250) +
                               ":8081\",\"zone\":\"east\",\"started_ms\":1}",
                           {}, 0, 0, 0, {}, &created, &made);
    ensemble.Apply(made);
    return "s" + std::to_string(n);
  };
  std::vector<std::string> living;
  for (int i = 0; i < nodes; ++i) living.push_back(add());

  net::Config config;
  config.zone_names = {"east"};
  net::Membership membership;
  membership.servers = ensemble.addresses();
  membership.path = kPath;
  membership.guard_share = 1;  // the guard is not what is measured
  config.membership = membership;
  const net::Platform platform(config);
  net::Counters counters;
  const auto log = log::NullLog();
  std::unordered_map<std::string, net::Time> gone, added;
  std::vector<double> gone_ms, added_ms;
  size_t known = 0;
  const auto told = [&](const net::ServerListChange& change, ListUpdate) {
    const net::Time now = Clock::now();
    const auto took = [&](auto& waiting, auto& list, const std::string& id) {
      const auto it = waiting.find(id);
      if (it == waiting.end()) return;
      list.push_back(std::chrono::duration<double, std::milli>(now - it->second).count());
      waiting.erase(it);
    };
    for (const net::ListedServer& server : change.servers) {
      const bool is_gone = server.state == UpstreamState::kGone;
      known += is_gone ? 0 : 1;
      if (is_gone) {
        took(gone, gone_ms, server.id);
      } else {
        took(added, added_ms, server.id);
      }
    }
  };
  const double before_mb = ResidentMb();
  net::NodesSource source(loop, platform, membership, "", {}, counters, *log,
                          {told, [](const std::string&) {}});
  const net::Time start = Clock::now();
  source.Watch(true);
  if (!loop.RunUntil([&] { return known >= static_cast<size_t>(nodes); }, 60s)) {
    result.error = "the list never came whole";
    return result;
  }
  result.load_ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  result.resident_mb = ResidentMb() - before_mb;
  loop.RunUntil([] { return false; }, 300ms);
  const double cpu = CpuMicros();
  const auto bytes = static_cast<double>(ensemble.count().bytes_out);
  const auto reads = static_cast<double>(ensemble.count().requests);
  for (int i = 0; i < changes; ++i) {
    const size_t at = static_cast<size_t>(i) * 7919 % living.size();
    std::vector<TreeChange> made;
    gone[living[at]] = Clock::now();
    ensemble.tree().Delete(std::string(kPath) + "/" + living[at], -1, {}, &made);
    ensemble.Apply(made);
    living[at] = add();
    added[living[at]] = Clock::now();
    loop.RunUntil([] { return false; }, std::chrono::milliseconds(pace_ms));
  }
  if (!loop.RunUntil([&] { return gone.empty() && added.empty(); }, 30s))
    result.error = "some changes never came";
  result.cpu_us_each = (CpuMicros() - cpu) / changes;
  result.bytes_each = (static_cast<double>(ensemble.count().bytes_out) - bytes) / changes;
  result.reads_each = (static_cast<double>(ensemble.count().requests) - reads) / changes;
  result.gone_p50_ms = At(gone_ms, 0.5);
  result.gone_p99_ms = At(gone_ms, 0.99);
  result.added_p50_ms = At(added_ms, 0.5);
  result.added_p99_ms = At(added_ms, 0.99);
  return result;
}

}  // namespace umberdyke::lab

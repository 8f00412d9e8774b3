#include "lab/fleet/measure.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include "agent/boot_clock.h"
#include "agent/runner.h"
#include "lab/coordinator/ensemble.h"
#include "lab/fleet/clients.h"
#include "lab/fleet/world.h"
#include "log/log.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;
using net::Clock;
using net::Span;
using net::Time;

namespace {

// Processor time of a process so far, in seconds.
double CpuOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const size_t end = text.rfind(')');
  if (end == std::string::npos) return 0;
  std::istringstream in(text.substr(end + 2));
  std::string word;
  double user = 0, system = 0;
  for (int i = 3; i <= 15 && in >> word; ++i) {
    if (i == 14) user = std::stod(word);
    if (i == 15) system = std::stod(word);
  }
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<size_t>(part * static_cast<double>(values.size())))];
}

// From the strike until the next owner's first commit, as the service saw it.
int MeasureTakeovers(const Measure& measure) {
  net::Loop loop;
  BedPlan plan;
  plan.seed = 4242;
  plan.sidecars = 3;
  plan.session_ms = measure.session_ms;
  plan.margin_ms = measure.session_ms / 4;
  plan.rest_ms = 100;
  plan.census_ms = 20;
  World world(loop, plan, measure.programs);
  std::string why;
  if (!world.Start(&why)) {
    std::fprintf(stderr, "%s\n", why.c_str());
    return 2;
  }
  const auto wait = [&](auto done, Span most) {
    return loop.RunUntil(
        [&] {
          world.Follow();
          return done();
        },
        most);
  };
  std::map<std::string, std::vector<double>> all;
  std::mt19937_64 random(1);
  const std::vector<std::string> kinds = {"killed", "stopped", "resigned"};
  for (int i = 0; i < measure.count; ++i) {
    const std::string kind = kinds[static_cast<size_t>(i) % kinds.size()];
    // All agents stand, and the owner is at work.
    const std::uint64_t before = world.CommitsOf("census");
    const auto tick = [&](auto done, Span most) {
      const Time end = Clock::now() + most;
      while (Clock::now() < end) {
        if (wait(done, 2ms)) return true;
      }
      return false;
    };
    if (!tick([&] { return world.CommitsOf("census") >= before + 3 && world.OwnerOf("census") >= 0; }, 20s)) {
      std::fprintf(stderr, "no owner before takeover %d\n", i);
      return 1;
    }
    loop.RunUntil([] { return false; }, std::chrono::milliseconds(random() % 50));
    world.Follow();
    const int owner = world.OwnerOf("census");
    const std::int64_t term = world.TermOf("census");
    const Time struck = Clock::now();
    if (kind == "killed") world.KillAgent(owner, SIGKILL);
    if (kind == "stopped") world.KillAgent(owner, SIGSTOP);
    if (kind == "resigned") {
      const std::string wish = world.base() + "/duties/census/resign";
      const std::string data = "{\"term\":" + std::to_string(term) + "}";
      world.control().Say("create " + wish + " " + data);
      world.control().Say("set " + wish + " " + data);
    }
    std::uint64_t at = world.CommitsOf("census");
    const bool taken = tick(
        [&] {
          if (world.TermOf("census") == term) at = world.CommitsOf("census");
          return world.TermOf("census") != term && world.CommitsOf("census") > at;
        },
        30s);
    if (!taken) {
      std::fprintf(stderr, "nobody took over after %s, number %d\n", kind.c_str(), i);
      return 1;
    }
    all[kind].push_back(
        std::chrono::duration<double, std::milli>(world.last_commit("census") - struck).count());
    if (kind == "stopped") world.KillAgent(owner, SIGCONT);
    if (kind == "killed") {
      loop.RunUntil([&] { return world.agent(owner)->Ended().has_value(); }, 5s);
      world.StartAgent(owner);
    }
    // Whoever fell out stands again before the next.
    loop.RunUntil([] { return false; },
                  std::chrono::milliseconds(kind == "killed" ? measure.session_ms + 300 : 300));
  }
  std::printf("without an owner, ms, of a session of %d ms\n%-9s %6s %8s %8s %8s\n", measure.session_ms, "",
              "count", "p50", "p99", "most");
  for (const auto& [kind, times] : all) {
    std::printf("%-9s %6zu %8.0f %8.0f %8.0f\n", kind.c_str(), times.size(), Quantile(times, 0.5),
                Quantile(times, 0.99), Quantile(times, 1));
  }
  return 0;
}

namespace {

// A duty that does nothing, to be stood for.
class IdleDuty : public agent::Duty {
 public:
  std::string_view name() const override { return "idle"; }
  Span pace() const override { return 1h; }
  void Prepare(const owner::Journal&, std::function<void(std::optional<std::string>)> done) override {
    done(std::nullopt);
  }
  void Do(const agent::Work&, std::function<bool()>, std::function<void(agent::Done)>) override {}
  void Stop() override {}
};

// One candidate: a session of its own and the agent's own runner.
struct Candidate {
  Candidate(net::Loop& loop, const std::vector<std::string>& servers, const fleet::Paths& paths,
            log::Log& log, int i)
      : client(
            loop, Settings(servers),
            {[this](nodes::Session session) {
               if (session == nodes::Session::kConnected)
                 runner->Opened(client.session_id(), client.session_timeout());
               if (session == nodes::Session::kInterrupted) runner->Interrupted();
             },
             [this](nodes::WatchEvent notice, const std::string& path) { runner->Noticed(notice, path); }}) {
    owner::ClaimSettings claim;
    claim.id = "n" + std::to_string(i);
    claim.session_timeout = 20s;
    claim.clock_margin = 5s;
    runner = std::make_unique<agent::Runner>(
        agent::Runner::Parts{loop, client, paths, counters, log, {claim.id, "z", claim.id, "0"}, claim, {}},
        std::make_unique<IdleDuty>(), Span(0));
  }
  static nodes::ClientSettings Settings(const std::vector<std::string>& servers) {
    nodes::ClientSettings settings;
    settings.servers = servers;
    settings.session = 20000ms;
    return settings;
  }
  void Close() { client.Stop(); }

  net::Counters counters;
  nodes::NodeClient client;
  std::unique_ptr<agent::Runner> runner;
};

}  // namespace

int MeasureHerd(const Measure& measure) {
  std::printf("%10s %10s %12s %12s %12s\n", "candidates", "takeovers", "requests", "notices", "most of one");
  for (const int n : measure.sizes.empty() ? std::vector<int>{3, 30, 300} : measure.sizes) {
    net::Loop loop;
    Ensemble ensemble(loop, std::vector<std::string>(3, "127.0.0.1:0"));
    const fleet::Paths paths{"/herd"};
    std::string created;
    std::vector<TreeChange> changes;
    for (const std::string& path : {paths.base, paths.Duties(), paths.Duty("idle"), paths.Claims("idle"),
                                    paths.Journal("idle"), paths.History("idle")}) {
      ensemble.tree().Create(path, "", {}, 0, 0, 0, {}, &created, &changes);
    }
    const auto log = log::NullLog();
    std::vector<std::unique_ptr<Candidate>> all;
    for (int i = 0; i < n; ++i) {
      all.push_back(std::make_unique<Candidate>(loop, ensemble.addresses(), paths, *log, i));
      all.back()->client.Start();
    }
    const auto owner = [&]() -> Candidate* {
      for (const auto& c : all) {
        if (c->runner->term() > 0) return c.get();
      }
      return nullptr;
    };
    const auto waiting = [&] {
      return std::count_if(all.begin(), all.end(), [](const auto& c) {
        return c->runner->state() == owner::Claim::State::kWatching;
      });
    };
    if (!loop.RunUntil([&] { return owner() != nullptr && waiting() == n - 1; }, 60s)) {
      std::fprintf(stderr, "%d candidates did not come to rest\n", n);
      return 1;
    }
    loop.RunUntil([] { return false; }, 200ms);
    const int takeovers = std::min(measure.count, std::max(1, n - 1));
    std::uint64_t requests = 0, notices = 0, most = 0;
    int done = 0;
    for (int k = 0; k < std::min(takeovers, 100); ++k) {
      Candidate* before = owner();
      std::map<Candidate*, std::uint64_t> calls;
      for (const auto& c : all) calls[c.get()] = c->counters.Of("claim_calls");
      const Ensemble::Count at = ensemble.count();
      before->client.Stop();  // its session ends, as when it had run out
      std::erase_if(all, [&](auto& c) {
        if (c.get() != before) return false;
        loop.DestroyLater(std::move(c));
        return true;
      });
      if (!loop.RunUntil([&] { return owner() != nullptr; }, 10s)) return 1;
      loop.RunUntil([] { return false; }, 30ms);
      requests += ensemble.count().requests - at.requests;
      notices += ensemble.count().notices - at.notices;
      for (const auto& c : all) most = std::max(most, c->counters.Of("claim_calls") - calls[c.get()]);
      ++done;
      if (all.size() < 2) break;
    }
    std::printf("%10d %10d %12.1f %12.1f %12llu\n", n, done, static_cast<double>(requests) / done,
                static_cast<double>(notices) / done, static_cast<unsigned long long>(most));
    std::fflush(stdout);
    for (auto& c : all) c->client.Abandon();
  }
  return 0;
}

int MeasureRest(const Measure& measure) {
  std::printf("%9s %9s %12s %16s %12s\n", "sidecars", "owner", "peak MB", "cpu ms a second", "descriptors");
  for (const int n : measure.sizes.empty() ? std::vector<int>{5, 50, 300} : measure.sizes) {
    net::Loop loop;
    BedPlan plan;
    plan.seed = 4243;
    plan.sidecars = n;
    plan.agents = 2;
    plan.servers = 1;
    plan.session_ms = 4000;
    plan.margin_ms = 1000;
    plan.census_ms = 5000;
    plan.tidy_ms = 60000;
    Programs programs = measure.programs;
    programs.unfenced = true;  // consoles alone, so that the machine holds so many
    World world(loop, plan, programs);
    std::string why;
    if (!world.Start(&why)) {
      std::fprintf(stderr, "%s\n", why.c_str());
      return 2;
    }
    const Time end = Clock::now() + 20s;
    while (world.CommitsOf("census") < 2 && Clock::now() < end) {
      loop.RunUntil([] { return false; }, 50ms);
      world.Follow();
    }
    double before[2];
    for (int i = 0; i < 2; ++i) before[i] = CpuOf(world.agent(i)->pid());
    loop.RunUntil([] { return false; }, std::chrono::seconds(measure.seconds));
    for (int i = 0; i < 2; ++i) {
      std::printf("%9d %9s %12.1f %16.2f %12d\n", n, world.OwnerOf("census") == i ? "census" : "-",
                  world.agent(i)->PeakMb(),
                  1000 * (CpuOf(world.agent(i)->pid()) - before[i]) / measure.seconds,
                  world.agent(i)->Descriptors());
    }
    std::fflush(stdout);
  }
  return 0;
}

int MeasureDataPath(const Measure& measure) {
  net::Loop loop;
  BedPlan plan;
  plan.seed = 4244;
  plan.agents = 3;
  plan.census_ms = 500;
  World world(loop, plan, measure.programs);
  std::string why;
  if (!world.Start(&why)) {
    std::fprintf(stderr, "%s\n", why.c_str());
    return 2;
  }
  Clients clients(loop, world, measure.rate, 1);
  clients.Start();
  std::printf("%-28s %8s %10s %8s %8s\n", "agents and service", "served", "not served", "p50 ms", "p99 ms");
  const auto part = [&](const char* name) {
    std::uint64_t others = 0;
    loop.RunUntil([] { return false; }, 500ms);
    clients.TakeServed(&others);
    loop.RunUntil([] { return false; }, std::chrono::seconds(measure.seconds));
    const std::vector<double> served = clients.TakeServed(&others);
    std::printf("%-28s %8zu %10llu %8.1f %8.1f\n", name, served.size(),
                static_cast<unsigned long long>(others), Quantile(served, 0.5), Quantile(served, 0.99));
    std::fflush(stdout);
  };
  part("alive");
  for (int i = 0; i < world.agents(); ++i) world.KillAgent(i, SIGSTOP);
  part("agents stopped");
  world.StopService(SIGSTOP);
  part("agents and service stopped");
  world.StopService(SIGCONT);
  for (int i = 0; i < world.agents(); ++i) world.KillAgent(i, SIGCONT);
  part("alive again");
  for (int i = 0; i < world.agents(); ++i) world.KillAgent(i, SIGKILL);
  part("agents dead");
  world.StopService(SIGKILL);
  part("agents and service dead");
  clients.Stop();
  Asked asked;
  clients.Tell(&asked);
  std::printf("asked %llu, lost %llu\n", static_cast<unsigned long long>(asked.asked),
              static_cast<unsigned long long>(asked.lost));
  return asked.lost == 0 ? 0 : 1;
}

}  // namespace umberdyke::lab

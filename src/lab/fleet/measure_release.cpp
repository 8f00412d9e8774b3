// What a release costs, in real processes and one run: the same clients before, during and after it.
#include <csignal>
#include <cstdio>

#include "lab/fleet/clients.h"
#include "lab/fleet/measure.h"
#include "lab/fleet/world.h"
#include "rollout/release.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;
using net::Clock;
using net::Span;

namespace {

constexpr Span kLongest = 180s;

class Cost {
 public:
  Cost(const Measure& measure, int most)
      : measure_(measure), plan_(PlanOf(most)), world_(loop_, plan_, measure.programs) {}

  // Three rows of the table; false where it did not come to its end.
  bool Go() {
    std::string why;
    if (!world_.Start(&why)) {
      std::fprintf(stderr, "%s\n", why.c_str());
      return false;
    }
    Clients clients(loop_, world_, measure_.rate, 1, true);
    clients_ = &clients;
    clients.Start();
    Pass(1s);
    clients.TakeServed(&others_);
    Pass(std::chrono::seconds(measure_.seconds));
    Row("before", std::chrono::seconds(measure_.seconds));
    const auto began = Clock::now();
    const bool ended = plan_.most_out > 0 ? Release() : AllAtOnce();
    Row(ended ? "during" : "NOT OVER", Clock::now() - began);
    Pass(std::chrono::seconds(measure_.seconds));
    Row("after", std::chrono::seconds(measure_.seconds));
    clients.Stop();
    return ended;
  }

 private:
  static BedPlan PlanOf(int most) {
    BedPlan plan = QuietRollout("release", "good", 0, "kill-agent");
    plan.seed = 4245;
    plan.most_out = most;
    return plan;
  }
  void Pass(Span time) {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      loop_.RunUntil([] { return false; }, 20ms);
      world_.Follow();
    }
  }
  bool Until(const std::function<bool()>& over) {
    const auto end = Clock::now() + kLongest;
    while (!over()) {
      if (Clock::now() > end) return false;
      Pass(20ms);
    }
    return true;
  }
  bool Release() {
    world_.Wish("start");
    return Until([&] {
      std::string why;
      const auto state = rollout::ReadState(world_.rollout_state(), &why);
      return state && !state->jobs.empty() && state->jobs[0].phase == rollout::Phase::kStands;
    });
  }
  bool AllAtOnce() {
    for (int i = 0; i < world_.sidecars(); ++i) world_.KillSidecar(i, SIGTERM);
    for (int i = 0; i < world_.sidecars(); ++i) {
      if (!Until([&] { return world_.sidecar(i)->Ended().has_value(); })) return false;
      world_.StartSidecar(i);
    }
    return Until([&] {
      for (int i = 0; i < world_.sidecars(); ++i) {
        if (!world_.SidecarReady(i)) return false;
      }
      return true;
    });
  }
  void Row(const char* part, Span time) {
    const std::vector<double> served = clients_->TakeServed(&others_);
    const double all = static_cast<double>(served.size()) + static_cast<double>(others_);
    const std::string budget = plan_.most_out > 0 ? std::to_string(plan_.most_out) : "all ended";
    std::printf("%-10s %-9s %8.1f %8zu %10llu %9.4f %8.1f %8.1f\n", budget.c_str(), part,
                std::chrono::duration<double>(time).count(), served.size(),
                static_cast<unsigned long long>(others_),
                all > 0 ? static_cast<double>(served.size()) / all : 0, Quantile(served, 0.5),
                Quantile(served, 0.99));
    std::fflush(stdout);
  }

  const Measure& measure_;
  const BedPlan plan_;
  net::Loop loop_;
  World world_;
  Clients* clients_ = nullptr;
  std::uint64_t others_ = 0;
};

}  // namespace

int MeasureReleases(const Measure& measure) {
  std::printf("%-10s %-9s %8s %8s %10s %9s %8s %8s\n", "out at most", "part", "seconds", "served",
              "not served", "share", "p50 ms", "p99 ms");
  std::vector<int> sizes = measure.sizes;
  if (sizes.empty()) sizes = {1, 2, 4, 8, 16, 0};
  int status = 0;
  for (const int most : sizes) {
    Cost cost(measure, most);
    if (!cost.Go()) status = 1;
  }
  return status;
}

}  // namespace umberdyke::lab

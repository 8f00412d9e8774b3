// Tests of the claim, the fence and the journal, alone and in all interleavings within small bounds. Each
// safeguard is also disabled in turn, which the explorer must detect.
#include <catch2/catch.hpp>

#include "lab/explore/explore.h"
#include "owner/claim.h"
#include "owner/fence.h"
#include "owner/journal.h"

namespace umberdyke {
namespace {

using namespace std::chrono_literals;
using owner::Action;
using owner::CallResult;
using owner::Claim;
using owner::Fence;
using owner::Journal;

TEST_CASE("malformed claim names are refused", "[owner]") {
  const std::string good = "c-a1b2.3-0000000012";
  REQUIRE(owner::ReadClaimName(good));
  CHECK(owner::ReadClaimName(good)->id == "a1b2.3");
  CHECK(owner::ReadClaimName(good)->number == 12);
  CHECK(owner::ReadClaimName("c-a-4294967297")->number == 4294967297);
  for (const char* bad : {"", "c-", "c-a", "c-a-", "c-a-12", "c--0000000012", "x-a-0000000012",
                          "c-a-000000001x", "c-a--000000012", "c-A-0000000012", "c-a-0000000000000000012",
                          "c-01234567890123456789012345678901234567890-0000000012"}) {
    INFO(bad);
    CHECK_FALSE(owner::ReadClaimName(bad));
  }
}

TEST_CASE("a fence accepts each step once, and nothing of an older term or incarnation", "[owner]") {
  struct Case {
    const char* life;
    owner::Term term;
    owner::Step step;
    Fence::Decision decision;
  };
  constexpr owner::Term kBig = owner::Term{1} << 32, kMax = INT64_MAX;
  Fence fence;
  for (const Case& c :
       std::vector<Case>{{"one", 7, 1, Fence::Decision::kAccept},
                         {"one", 7, 1, Fence::Decision::kDuplicate},
                         {"one", 7, 2, Fence::Decision::kAccept},
                         {"one", 7, 1, Fence::Decision::kStaleStep},
                         {"one", 6, 3, Fence::Decision::kStaleTerm},
                         {"zero", 9, 3, Fence::Decision::kOtherIncarnation},
                         {"one", 8, 2, Fence::Decision::kDuplicate},  // repeated by the next owner
                         {"one", 7, 3, Fence::Decision::kStaleTerm},
                         {"one", kBig + 1, 3, Fence::Decision::kAccept},
                         {"one", kBig, 4, Fence::Decision::kStaleTerm},
                         {"one", kMax, 4, Fence::Decision::kAccept},
                         {"one", kMax - 1, 5, Fence::Decision::kStaleTerm}}) {
    INFO(c.life << " term " << c.term << " step " << c.step);
    CHECK(fence.Check(c.life, "one", c.term, c.step) == c.decision);
  }
}

TEST_CASE("a journal advances one step at a time, and a new owner repeats an uncommitted step", "[owner]") {
  Journal journal;
  CHECK_FALSE(journal.Commit(5, ""));
  const Journal prepared = *journal.PrepareStep(5, "a");
  CHECK((prepared.step == 1 && !prepared.committed && prepared.plan == "a"));
  CHECK_FALSE(prepared.Commit(6, ""));        // another term
  CHECK_FALSE(prepared.PrepareStep(4, "b"));  // an older term
  const Journal again = *prepared.PrepareStep(6, "b");
  CHECK((again.step == 1 && again.plan == "a" && again.term == 6));
  const Journal done = *again.Commit(6, "state");
  CHECK((done.committed && done.state == "state" && done.plan.empty()));
  CHECK(done.PrepareStep(6, "c")->step == 2);
  CHECK(owner::IsValidSuccessor(journal, prepared));
  CHECK(owner::IsValidSuccessor(prepared, again));
  CHECK(owner::IsValidSuccessor(again, done));
  CHECK_FALSE(owner::IsValidSuccessor(journal, done));
  CHECK_FALSE(owner::IsValidSuccessor(again, prepared));
  Journal skips = *done.PrepareStep(6, "c");
  skips.step = 3;
  CHECK_FALSE(owner::IsValidSuccessor(done, skips));
}

// Drives a claim and records the actions that it requests.
struct ClaimDriver {
  Claim claim{{.id = "a", .session_timeout = 4s, .clock_margin = 1s, .resign_cooldown = 8s}};
  owner::Actions out;
  owner::Moment now = 10s;
  const Action* Last(Action::Kind kind) const {
    for (auto it = out.rbegin(); it != out.rend(); ++it) {
      if (it->kind == kind) return &*it;
    }
    return nullptr;
  }
  size_t Count(Action::Kind kind) const {
    return static_cast<size_t>(
        std::count_if(out.begin(), out.end(), [&](const Action& a) { return a.kind == kind; }));
  }
  void BecomeFirst(const std::string& own) {
    claim.OnConnected(now, 1, 4s, &out);
    claim.OnListed(now, out.back().ticket, CallResult::kOk, {own}, &out);
    claim.OnRead(now, out.back().ticket, CallResult::kOk, 42, 1, &out);
  }
};

TEST_CASE("a lease starts when the confirm request is sent", "[owner]") {
  ClaimDriver driver;
  driver.BecomeFirst("c-a-0000000001");
  const std::uint64_t ticket = driver.Last(Action::Kind::kConfirm)->ticket;
  driver.now += 2s;
  driver.claim.OnConfirmed(driver.now, ticket, CallResult::kOk, &driver.out);
  REQUIRE(driver.Count(Action::Kind::kBegin) == 1);
  CHECK(driver.Last(Action::Kind::kBegin)->term == 42);
  CHECK(driver.claim.MayAct(10s + 2999ms));
  CHECK_FALSE(driver.claim.MayAct(10s + 3s));
  // After a suspension the clock has advanced, and ownership ends before anything else happens.
  driver.claim.Tick(10s + 1h, &driver.out);
  REQUIRE(driver.Last(Action::Kind::kEnd) != nullptr);
  CHECK(driver.Last(Action::Kind::kEnd)->reason == owner::EndReason::kUnconfirmed);
  // A response after the lease has ended does not start ownership.
  ClaimDriver late;
  late.BecomeFirst("c-a-0000000001");
  late.claim.OnConfirmed(late.now + 3s, late.Last(Action::Kind::kConfirm)->ticket, CallResult::kOk,
                         &late.out);
  CHECK(late.Count(Action::Kind::kBegin) == 0);
}

TEST_CASE("a create whose response was lost is found by its id and not repeated", "[owner]") {
  ClaimDriver driver;
  driver.claim.OnConnected(driver.now, 1, 4s, &driver.out);
  driver.claim.OnListed(driver.now, driver.out.back().ticket, CallResult::kOk, {"c-b-0000000001"},
                        &driver.out);
  REQUIRE(driver.Last(Action::Kind::kCreate) != nullptr);
  CHECK(driver.Last(Action::Kind::kCreate)->name == "c-a-");
  driver.claim.OnDisconnected(driver.now, &driver.out);
  driver.claim.OnConnected(driver.now, 1, 4s, &driver.out);
  driver.claim.OnListed(driver.now, driver.out.back().ticket, CallResult::kOk,
                        {"c-a-0000000002", "c-b-0000000001"}, &driver.out);
  CHECK(driver.Count(Action::Kind::kCreate) == 1);
  CHECK(driver.claim.predecessor() == "c-b-0000000001");  // only the predecessor
  // Both creates succeeded after all: the lowest number stays.
  ClaimDriver twice;
  twice.claim.OnConnected(twice.now, 1, 4s, &twice.out);
  twice.claim.OnListed(twice.now, twice.out.back().ticket, CallResult::kOk,
                       {"c-a-0000000007", "c-a-0000000005"}, &twice.out);
  REQUIRE(twice.Last(Action::Kind::kRemove) != nullptr);
  CHECK(twice.Last(Action::Kind::kRemove)->name == "c-a-0000000007");
  CHECK(twice.claim.name() == "c-a-0000000005");
}

TEST_CASE("a resignation during a create removes the claim and starts the cooldown", "[owner]") {
  ClaimDriver driver;
  driver.claim.OnConnected(driver.now, 1, 4s, &driver.out);
  driver.claim.OnListed(driver.now, driver.out.back().ticket, CallResult::kOk, {}, &driver.out);
  driver.claim.Resign(driver.now, &driver.out);
  driver.claim.OnCreated(driver.now, driver.Last(Action::Kind::kCreate)->ticket, CallResult::kOk,
                         &driver.out);
  driver.claim.OnListed(driver.now, driver.out.back().ticket, CallResult::kOk, {"c-a-0000000001"},
                        &driver.out);
  REQUIRE(driver.Last(Action::Kind::kRemove) != nullptr);
  driver.claim.OnRemoved(driver.now, driver.Last(Action::Kind::kRemove)->ticket, CallResult::kOk,
                         &driver.out);
  CHECK(driver.claim.state() == Claim::State::kCoolingDown);
  const size_t lists = driver.Count(Action::Kind::kList);
  driver.claim.Tick(driver.now + 7s, &driver.out);
  CHECK(driver.Count(Action::Kind::kList) == lists);
  driver.claim.Tick(driver.now + 8s, &driver.out);
  CHECK(driver.Count(Action::Kind::kList) == lists + 1);
}

lab::ExploreBounds SmallBounds(int ticks, int breaks, int repeats, int restarts, int resignations,
                               int removals) {
  lab::ExploreBounds bounds;
  bounds.candidates = 2;
  bounds.ticks = ticks;
  bounds.sessions = 0;
  bounds.breaks = breaks;
  bounds.repeats = repeats;
  bounds.restarts = restarts;
  bounds.resignations = resignations;
  bounds.removals = removals;
  bounds.steps = 1;
  return bounds;
}

std::string DescribePath(const lab::Explored& explored) {
  std::string text = explored.broken + "\n";
  for (const std::string& step : explored.way) text += "  " + step + "\n";
  return text;
}

TEST_CASE("in every interleaving one owner acts, and no effect is late, duplicated or skipped",
          "[owner][explore]") {
  lab::ExploreBounds three = SmallBounds(0, 1, 0, 0, 0, 0);
  three.candidates = 3;
  std::uint64_t refused = 0, repeated = 0;
  for (const lab::ExploreBounds& bounds :
       {SmallBounds(1, 0, 0, 0, 0, 0), SmallBounds(0, 1, 1, 1, 1, 0), SmallBounds(1, 1, 0, 0, 0, 0),
        SmallBounds(0, 0, 0, 1, 0, 1), three}) {
    const lab::Explored explored = lab::Explore(bounds);
    INFO(DescribePath(explored));
    CHECK(explored.broken.empty());
    CHECK(explored.whole);
    refused += explored.refused;
    repeated += explored.repeated;
    std::printf("explored %llu states, %llu ways, %llu takeovers, %llu late orders refused\n",
                static_cast<unsigned long long>(explored.states),
                static_cast<unsigned long long>(explored.ways),
                static_cast<unsigned long long>(explored.takeovers),
                static_cast<unsigned long long>(explored.refused));
  }
  CHECK(refused > 0);  // stale orders did occur
  CHECK(repeated > 0);
}

TEST_CASE("the explorer detects each disabled safeguard", "[owner][explore]") {
  struct Case {
    const char* name;
    lab::Guards guards;
    lab::ExploreBounds bounds;
  };
  for (const Case& c :
       std::vector<Case>{{"the fence", {.fence = false}, SmallBounds(1, 0, 0, 1, 0, 1)},
                         {"the place's life", {.life = false}, SmallBounds(1, 0, 0, 1, 0, 1)},
                         {"the check of the claim", {.check = false}, SmallBounds(1, 0, 0, 0, 0, 1)},
                         {"the margin", {.margin = false}, SmallBounds(2, 0, 0, 0, 0, 0)},
                         {"the time of asking", {.sent_time = false}, SmallBounds(2, 0, 0, 0, 0, 0)},
                         {"the steps' numbers", {.numbers = false}, SmallBounds(1, 0, 1, 0, 0, 0)}}) {
    INFO(c.name);
    const lab::Explored explored = lab::Explore(c.bounds, c.guards);
    CHECK_FALSE(explored.broken.empty());
    CHECK_FALSE(explored.way.empty());
  }
}

}  // namespace
}  // namespace umberdyke

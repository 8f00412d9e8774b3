// The claim, the fence and the journal by themselves, and all their interleavings within small bounds; each
// guard taken out has to break what it guards.
#include <catch2/catch.hpp>

#include "lab/explore/explore.h"
#include "owner/claim.h"
#include "owner/fence.h"
#include "owner/journal.h"

namespace umberdyke {
namespace {

using namespace std::chrono_literals;
using owner::Action;
using owner::Claim;
using owner::Fence;
using owner::Journal;
using owner::Told;

TEST_CASE("names of claims are read whole or not at all", "[owner]") {
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

TEST_CASE("a fence takes each step once, and nothing of an older term or life", "[owner]") {
  struct Case {
    const char* life;
    owner::Term term;
    owner::Step step;
    Fence::Verdict verdict;
  };
  constexpr owner::Term kBig = owner::Term{1} << 32, kMost = INT64_MAX;
  Fence fence;
  for (const Case& c :
       std::vector<Case>{{"one", 7, 1, Fence::Verdict::kTake},
                         {"one", 7, 1, Fence::Verdict::kRepeat},
                         {"one", 7, 2, Fence::Verdict::kTake},
                         {"one", 7, 1, Fence::Verdict::kOldStep},
                         {"one", 6, 3, Fence::Verdict::kOldTerm},
                         {"zero", 9, 3, Fence::Verdict::kOtherLife},
                         {"one", 8, 2, Fence::Verdict::kRepeat},  // done again by the next owner
                         {"one", 7, 3, Fence::Verdict::kOldTerm},
                         {"one", kBig + 1, 3, Fence::Verdict::kTake},
                         {"one", kBig, 4, Fence::Verdict::kOldTerm},
                         {"one", kMost, 4, Fence::Verdict::kTake},
                         {"one", kMost - 1, 5, Fence::Verdict::kOldTerm}}) {
    INFO(c.life << " term " << c.term << " step " << c.step);
    CHECK(fence.Judge(c.life, "one", c.term, c.step) == c.verdict);
  }
}

TEST_CASE("a journal goes on one step at a time, and a new owner does again what was only meant", "[owner]") {
  Journal journal;
  CHECK_FALSE(journal.Commit(5, ""));
  const Journal meant = *journal.Mean(5, "a");
  CHECK((meant.step == 1 && !meant.committed && meant.plan == "a"));
  CHECK_FALSE(meant.Commit(6, ""));  // of another term
  CHECK_FALSE(meant.Mean(4, "b"));   // of an older one
  const Journal again = *meant.Mean(6, "b");
  CHECK((again.step == 1 && again.plan == "a" && again.term == 6));
  const Journal done = *again.Commit(6, "state");
  CHECK((done.committed && done.state == "state" && done.plan.empty()));
  CHECK(done.Mean(6, "c")->step == 2);
  CHECK(owner::Follows(journal, meant));
  CHECK(owner::Follows(meant, again));
  CHECK(owner::Follows(again, done));
  CHECK_FALSE(owner::Follows(journal, done));
  CHECK_FALSE(owner::Follows(again, meant));
  Journal skips = *done.Mean(6, "c");
  skips.step = 3;
  CHECK_FALSE(owner::Follows(done, skips));
}

// A claim driven by hand: what it asked for last.
struct Hand {
  Claim claim{{.id = "a", .session = 4s, .margin = 1s, .rest = 8s}};
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
  void Become(const std::string& own) {
    claim.Opened(now, 1, 4s, &out);
    claim.Listed(now, out.back().ticket, Told::kOk, {own}, &out);
    claim.Read(now, out.back().ticket, Told::kOk, 42, 1, &out);
  }
};

TEST_CASE("an owner's time is reckoned from when it asked", "[owner]") {
  Hand hand;
  hand.Become("c-a-0000000001");
  const std::uint64_t ticket = hand.Last(Action::Kind::kConfirm)->ticket;
  hand.now += 2s;
  hand.claim.Confirmed(hand.now, ticket, Told::kOk, &hand.out);
  REQUIRE(hand.Count(Action::Kind::kBegin) == 1);
  CHECK(hand.Last(Action::Kind::kBegin)->term == 42);
  CHECK(hand.claim.MayAct(10s + 2999ms));
  CHECK_FALSE(hand.claim.MayAct(10s + 3s));
  // A suspended machine wakes: the clock has gone on, and it says so before it does anything.
  hand.claim.Tick(10s + 1h, &hand.out);
  REQUIRE(hand.Last(Action::Kind::kEnd) != nullptr);
  CHECK(hand.Last(Action::Kind::kEnd)->why == owner::Why::kUnconfirmed);
  // An answer that comes after its time makes no owner.
  Hand late;
  late.Become("c-a-0000000001");
  late.claim.Confirmed(late.now + 3s, late.Last(Action::Kind::kConfirm)->ticket, Told::kOk, &late.out);
  CHECK(late.Count(Action::Kind::kBegin) == 0);
}

TEST_CASE("a creation whose answer was lost is found by its id and not made twice", "[owner]") {
  Hand hand;
  hand.claim.Opened(hand.now, 1, 4s, &hand.out);
  hand.claim.Listed(hand.now, hand.out.back().ticket, Told::kOk, {"c-b-0000000001"}, &hand.out);
  REQUIRE(hand.Last(Action::Kind::kCreate) != nullptr);
  CHECK(hand.Last(Action::Kind::kCreate)->name == "c-a-");
  hand.claim.Interrupted(hand.now, &hand.out);
  hand.claim.Opened(hand.now, 1, 4s, &hand.out);
  hand.claim.Listed(hand.now, hand.out.back().ticket, Told::kOk, {"c-a-0000000002", "c-b-0000000001"},
                    &hand.out);
  CHECK(hand.Count(Action::Kind::kCreate) == 1);
  CHECK(hand.claim.watched() == "c-b-0000000001");  // the one before it, and no other
  // It came through twice all the same: the lowest stays.
  Hand twice;
  twice.claim.Opened(twice.now, 1, 4s, &twice.out);
  twice.claim.Listed(twice.now, twice.out.back().ticket, Told::kOk, {"c-a-0000000007", "c-a-0000000005"},
                     &twice.out);
  REQUIRE(twice.Last(Action::Kind::kRemove) != nullptr);
  CHECK(twice.Last(Action::Kind::kRemove)->name == "c-a-0000000007");
  CHECK(twice.claim.name() == "c-a-0000000005");
}

TEST_CASE("whoever resigns while its claim is made leaves all the same, and rests", "[owner]") {
  Hand hand;
  hand.claim.Opened(hand.now, 1, 4s, &hand.out);
  hand.claim.Listed(hand.now, hand.out.back().ticket, Told::kOk, {}, &hand.out);
  hand.claim.Resign(hand.now, &hand.out);
  hand.claim.Created(hand.now, hand.Last(Action::Kind::kCreate)->ticket, Told::kOk, &hand.out);
  hand.claim.Listed(hand.now, hand.out.back().ticket, Told::kOk, {"c-a-0000000001"}, &hand.out);
  REQUIRE(hand.Last(Action::Kind::kRemove) != nullptr);
  hand.claim.Removed(hand.now, hand.Last(Action::Kind::kRemove)->ticket, Told::kOk, &hand.out);
  CHECK(hand.claim.state() == Claim::State::kResting);
  const size_t lists = hand.Count(Action::Kind::kList);
  hand.claim.Tick(hand.now + 7s, &hand.out);
  CHECK(hand.Count(Action::Kind::kList) == lists);
  hand.claim.Tick(hand.now + 8s, &hand.out);
  CHECK(hand.Count(Action::Kind::kList) == lists + 1);
}

lab::ExploreBounds Small(int ticks, int breaks, int repeats, int restarts, int resignations, int removals) {
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

std::string Way(const lab::Explored& explored) {
  std::string text = explored.broken + "\n";
  for (const std::string& step : explored.way) text += "  " + step + "\n";
  return text;
}

TEST_CASE("in every interleaving one owner acts, and no effect is late, double or skipped",
          "[owner][explore]") {
  lab::ExploreBounds three = Small(0, 1, 0, 0, 0, 0);
  three.candidates = 3;
  std::uint64_t refused = 0, repeated = 0;
  for (const lab::ExploreBounds& bounds : {Small(1, 0, 0, 0, 0, 0), Small(0, 1, 1, 1, 1, 0),
                                           Small(1, 1, 0, 0, 0, 0), Small(0, 0, 0, 1, 0, 1), three}) {
    const lab::Explored explored = lab::Explore(bounds);
    INFO(Way(explored));
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
  CHECK(refused > 0);  // the danger arose
  CHECK(repeated > 0);
}

TEST_CASE("each guard taken out is found out", "[owner][explore]") {
  struct Case {
    const char* name;
    lab::Guards guards;
    lab::ExploreBounds bounds;
  };
  for (const Case& c :
       std::vector<Case>{{"the fence", {.fence = false}, Small(1, 0, 0, 1, 0, 1)},
                         {"the place's life", {.life = false}, Small(1, 0, 0, 1, 0, 1)},
                         {"the check of the claim", {.check = false}, Small(1, 0, 0, 0, 0, 1)},
                         {"the margin", {.margin = false}, Small(2, 0, 0, 0, 0, 0)},
                         {"the time of asking", {.sent_time = false}, Small(2, 0, 0, 0, 0, 0)},
                         {"the steps' numbers", {.numbers = false}, Small(1, 0, 1, 0, 0, 0)}}) {
    INFO(c.name);
    const lab::Explored explored = lab::Explore(c.bounds, c.guards);
    CHECK_FALSE(explored.broken.empty());
    CHECK_FALSE(explored.way.empty());
  }
}

}  // namespace
}  // namespace umberdyke

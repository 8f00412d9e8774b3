// Whether changed units serve worse than those not yet changed, in the same time.
//
// Each request that went wrong fell on one side or the other. If the sides are alike it falls on the changed
// side as often as requests come there; what speaks against that is a ratio of likelihoods, multiplied from
// look to look, for several measures of how much worse the changed side could be. Such a product passes
// 1/alarm with a probability of alarm at most, however often one looks (Ville's inequality). Looks are taken
// tier by tier, and the spread between units beyond chance weakens what was seen. An outage of all strikes
// both sides and blames nobody; neither does a version that harms those beside it, which shows in those not
// changed alone: they are held against what they did before (Unwell), and nobody goes on meanwhile.
//
// A leak is found by what changed processes hold beside the largest of the others.
#ifndef UMBERDYKE_ROLLOUT_EXPECT_H_
#define UMBERDYKE_ROLLOUT_EXPECT_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "rollout/units.h"

namespace umberdyke::rollout {

struct Expect {
  double alarm = 1e-3;    // how often a release that changes nothing may be blamed, at most
  double worse = 0.01;    // a smaller difference in the share not served blames nobody
  double slow_by = 0.05;  // likewise, in the share of slow answers
  double least = 200;     // answers before it is said that those not changed are unwell
  double unwell = 0.2;    // so much more of theirs not served than before it began: nobody goes on
  double larger = 2;      // times the memory of the largest unchanged one, and 8 MiB: it leaks; 0: any
  friend bool operator==(const Expect&, const Expect&) = default;
};

struct Side {
  double all = 0, bad = 0;
  double share() const { return all > 0 ? bad / all : 0; }
};

class Evidence {
 public:
  // What came on both sides since the last look.
  void Add(const Side& changed, const Side& before);
  // For "the changed side is worse", weakened by a spread of so many times what chance has; 1: none either
  // way.
  double Ratio(double spread) const;
  const Side& changed() const { return changed_; }
  const Side& before() const { return before_; }

 private:
  static constexpr std::array<double, 6> kTimesWorse = {1.2, 1.5, 2, 4, 10, 40};
  std::array<double, kTimesWorse.size()> logs_{};
  Side changed_, before_;
};

// Keeps what each unit did since it was first seen in this life and on this side, and judges.
class Watch {
 public:
  explicit Watch(Expect expect) : expect_(expect) {}
  // One look. `changed`: by name, those that run the new version; the others are the other side.
  void Look(const std::vector<Unit>& units, const Sights& sights, const std::map<std::string, bool>& changed);
  // Empty, or what is worse, with figures.
  std::string Blame() const;
  // Empty, or how those not changed do worse than before it began.
  std::string Unwell() const;
  // Nobody looks for a while: what those not changed do from the next look on is counted anew.
  void Rest();
  // Of changed ones, so far.
  double answered_by_changed() const { return served_.changed().all; }

 private:
  // Slow are answers of at least 2^i ms, for each i: each is an evidence of its own, and their mean is one as
  // well.
  static constexpr std::size_t kBins = 16;
  using Slow = std::array<Side, kBins>;
  struct Of {
    std::string tier, life;
    bool changed = false;
    Seen last;
    Side served;  // since it is watched
    Slow slow;
  };
  template <typename Which>
  double Spread(Which which) const;
  std::string Slower() const;
  void Weigh(const Unit& unit, const Seen& now, bool changed);

  const Expect expect_;
  std::map<std::string, Of> of_;
  Evidence served_;
  std::array<Evidence, kBins> slow_;
  Side began_;   // all that was answered in the lives seen at the first look
  Side lately_;  // of those not changed: of the last answers, `least` to twice that
  bool looked_ = false, rested_ = false;
  std::map<std::string, std::uint64_t> largest_kb_;  // by tier, of those not changed
  std::string leaks_;                                // the first that holds too much, with figures
};

}  // namespace umberdyke::rollout

#endif  // UMBERDYKE_ROLLOUT_EXPECT_H_

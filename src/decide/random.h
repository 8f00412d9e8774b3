// Seeded pseudo-random numbers: the same seed repeats a run.
#ifndef UMBERDYKE_DECIDE_RANDOM_H_
#define UMBERDYKE_DECIDE_RANDOM_H_

#include <cstdint>

namespace umberdyke {

// splitmix64: small state, and the same sequence on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  // Returns a number in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // Returns a number in [0, n); n must be positive.
  int Below(int n) { return static_cast<int>(Next() % static_cast<std::uint64_t>(n)); }

 private:
  std::uint64_t state_;
};

}  // namespace umberdyke

#endif  // UMBERDYKE_DECIDE_RANDOM_H_

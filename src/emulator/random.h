// Named streams of random numbers from one seed: each concern of the model draws from a stream of its own, so
// that a policy that draws more often, or picks otherwise, leaves the arrivals and the troubles as they were.
//
// Boost's engines and distributions are the same on every machine, which the standard library's are not.
#ifndef UMBERDYKE_EMULATOR_RANDOM_H_
#define UMBERDYKE_EMULATOR_RANDOM_H_

#include <xxhash.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace umberdyke::emulator {

class Stream {
 public:
  Stream(std::uint64_t seed, std::string_view name)
      : engine_(static_cast<std::uint64_t>(XXH3_64bits_withSeed(name.data(), name.size(), seed))) {}

  double Unit() { return boost::random::uniform_01<double>()(engine_); }  // from 0, below 1
  double Between(double least, double most) { return least + Unit() * (most - least); }
  bool Chance(double share) { return share > 0 && Unit() < share; }
  std::uint64_t Bits() { return engine_(); }
  std::size_t Below(std::size_t n) {
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  // A whole number with this mean: one of the two beside it.
  int Count(double mean) { return static_cast<int>(mean) + (Chance(mean - std::floor(mean)) ? 1 : 0); }
  double Exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  double Normal(double mean, double deviation) {
    return boost::random::normal_distribution<double>(mean, deviation)(engine_);
  }
  // By mean and coefficient of variation.
  double Lognormal(double mean, double variation) {
    const double square = std::log(1 + variation * variation);
    return boost::random::lognormal_distribution<double>(std::log(mean) - square / 2,
                                                         std::sqrt(square))(engine_);
  }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_RANDOM_H_

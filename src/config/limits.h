// The site's rules in figures, for all who check a configuration: the description of an application and a
// sidecar's own file are held to the same.
#ifndef UMBERDYKE_CONFIG_LIMITS_H_
#define UMBERDYKE_CONFIG_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace umberdyke::config {

constexpr std::int64_t kMostAttempts = 5;                    // for one request, over all tiers
constexpr std::chrono::microseconds kLongestDrain{300'000};  // until a leaving node gets no new work
constexpr double kShareSlack = 0.001;  // shares are written with a few digits: three thirds are 0.999

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_LIMITS_H_

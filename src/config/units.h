// Times and sizes with their units, as people write them.
#ifndef UMBERDYKE_CONFIG_UNITS_H_
#define UMBERDYKE_CONFIG_UNITS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace umberdyke::config {

// "300ms", "1.5s", "250us", "10m", "1h": no sign, exact to the microsecond; absent for anything else, a bare
// number and what does not fit 64 bits included.
std::optional<std::chrono::microseconds> ParseDuration(std::string_view text);
// "64KiB", "192MiB", "2GiB", "512B", and by thousands "64kB", "192MB", "2GB"; in bytes.
std::optional<std::int64_t> ParseSize(std::string_view text);

// In the largest unit that tells it exactly.
std::string PrintDuration(std::chrono::microseconds time);
std::string PrintSize(std::int64_t bytes);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_UNITS_H_

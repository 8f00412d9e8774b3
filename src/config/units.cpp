#include "config/units.h"

#include <array>
#include <limits>

namespace umberdyke::config {
namespace {

struct Unit {
  std::string_view name;
  std::int64_t worth;
};

constexpr std::array kTimes = {Unit{"us", 1}, Unit{"ms", 1'000}, Unit{"s", 1'000'000}, Unit{"m", 60'000'000},
                               Unit{"h", 3'600'000'000}};
constexpr std::array kSizes = {
    Unit{"B", 1},      Unit{"KiB", 1 << 10},  Unit{"MiB", 1 << 20},     Unit{"GiB", 1LL << 30},
    Unit{"kB", 1'000}, Unit{"MB", 1'000'000}, Unit{"GB", 1'000'000'000}};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// A decimal number times a unit, in whole numbers alone: what is not exact is not taken.
template <size_t N>
std::optional<std::int64_t> Parse(std::string_view text, const std::array<Unit, N>& units) {
  size_t at = 0;
  std::int64_t whole = 0;
  constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
  for (; at < text.size() && IsDigit(text[at]); ++at) {
    const int digit = text[at] - '0';
    if (whole > (kMost - digit) / 10) return std::nullopt;
    whole = whole * 10 + digit;
  }
  if (at == 0) return std::nullopt;
  std::int64_t fraction = 0;
  std::int64_t scale = 1;
  if (at < text.size() && text[at] == '.') {
    const size_t first = ++at;
    for (; at < text.size() && IsDigit(text[at]); ++at) {
      if (at - first >= 9) return std::nullopt;
      fraction = fraction * 10 + (text[at] - '0');
      scale *= 10;
    }
    if (at == first) return std::nullopt;
  }
  for (const Unit& unit : units) {
    if (text.substr(at) != unit.name) continue;
    if (whole > kMost / unit.worth) return std::nullopt;
    const __int128 part = static_cast<__int128>(fraction) * unit.worth;
    if (part % scale != 0) return std::nullopt;
    const std::int64_t base = whole * unit.worth;
    const auto rest = static_cast<std::int64_t>(part / scale);
    return base > kMost - rest ? std::nullopt : std::optional(base + rest);
  }
  return std::nullopt;
}

// In the largest of the first `count` units that divides it.
template <size_t N>
std::string Print(std::int64_t value, const std::array<Unit, N>& units, size_t count) {
  const Unit* best = &units[0];
  for (size_t i = 0; i < count; ++i) {
    if (value != 0 && value % units[i].worth == 0) best = &units[i];
  }
  return std::to_string(value / best->worth) + std::string(best->name);
}

}  // namespace

std::optional<std::chrono::microseconds> ParseDuration(std::string_view text) {
  const auto value = Parse(text, kTimes);
  return value ? std::optional(std::chrono::microseconds(*value)) : std::nullopt;
}

std::optional<std::int64_t> ParseSize(std::string_view text) { return Parse(text, kSizes); }

std::string PrintDuration(std::chrono::microseconds time) {
  // Up to seconds: "90s" is read sooner than "1m" and a half.
  return time.count() == 0 ? "0s" : Print(time.count(), kTimes, 3);
}

std::string PrintSize(std::int64_t bytes) { return Print(bytes, kSizes, 4); }

}  // namespace umberdyke::config

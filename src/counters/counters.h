// Named event counters of the sidecar, printed on request and at exit.
#ifndef UMBERDYKE_COUNTERS_COUNTERS_H_
#define UMBERDYKE_COUNTERS_COUNTERS_H_

#include <cassert>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace umberdyke::net {

class Counters {
 public:
  void Add(std::string_view name) {
    const auto it = counts_.find(name);
    if (it == counts_.end()) {
      counts_.emplace(name, 1);
    } else {
      ++it->second;
    }
  }
  // Sets a figure that may also fall, such as a number of bytes held now.
  void Set(std::string_view name, std::uint64_t value) {
    const auto it = counts_.find(name);
    if (it == counts_.end()) {
      counts_.emplace(name, value);
    } else {
      it->second = value;
    }
  }
  // 0 if nothing was counted under this name.
  std::uint64_t Of(std::string_view name) const {
    const auto it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
  }
  // "name count" entries sorted by name, each followed by `separator`.
  std::string Print(std::string_view separator) const;

 private:
  std::map<std::string, std::uint64_t, std::less<>> counts_;
};

// Implements INVARIANT.
inline bool CountUnless(bool holds, Counters& counters) {
  if (!holds) counters.Add("invariant_broken");
  return holds;
}

}  // namespace umberdyke::net

// Checks an invariant: asserts in debug builds, counts violations in release builds. Evaluates to `holds`.
#ifdef NDEBUG
#define INVARIANT(holds, counters) ::umberdyke::net::CountUnless((holds), (counters))
#else
#define INVARIANT(holds, counters) (assert(holds), ::umberdyke::net::CountUnless((holds), (counters)))
#endif

#endif  // UMBERDYKE_COUNTERS_COUNTERS_H_

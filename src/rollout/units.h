// What a release or a drain is about: sidecars and real servers by name, where they stand, and what is seen
// of them. Plain types that the rest of this room shares.
//
// The room decides how many may be out, who goes next, when to halt and how the way back goes. It may not
// know the coordination service, processes or sockets, and reads no clock: what was seen, and how long ago it
// was looked last, comes in. docs/releases.md says why it is as it is.
#ifndef UMBERDYKE_ROLLOUT_UNITS_H_
#define UMBERDYKE_ROLLOUT_UNITS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace umberdyke::rollout {

using std::chrono::milliseconds;

struct Unit {
  std::string name;
  bool server = false;  // else a sidecar
  std::string host, zone, tier, kind;
  friend bool operator==(const Unit&, const Unit&) = default;
};

// What one look found. Whoever was not heard is not able.
struct Seen {
  bool heard = false;
  bool able = false;  // takes work as usual
  std::string label;  // of the version it runs; empty: the one it had before there were releases
  std::string life;   // changes with each start
  milliseconds up{};  // able for so long by its own count; zero: it does not say
  std::uint64_t answered = 0, bad = 0;  // since its start: requests, and those not served
  std::vector<std::uint64_t> slower;    // answers that took at least 2^i milliseconds
  std::uint64_t resident_kb = 0;        // of its process's memory; 0: it does not say
};
using Sights = std::map<std::string, Seen>;  // by name

}  // namespace umberdyke::rollout

#endif  // UMBERDYKE_ROLLOUT_UNITS_H_

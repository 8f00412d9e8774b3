// Objects in places that are used again, each known by its place and the generation of its use: a name that
// has outlived its object finds nothing. Memory grows with what exists at once and not with what ever
// existed.
#ifndef UMBERDYKE_EMULATOR_POOL_H_
#define UMBERDYKE_EMULATOR_POOL_H_

#include <cstdint>
#include <deque>
#include <vector>

namespace umberdyke::emulator {

// `place` in the lower 26 bits and the generation above, below 2^59: the module's timers leave room for that.
using Name = std::uint64_t;
constexpr Name kNobody = ~Name{0};

template <typename T>
class Pool {
 public:
  Name Make() {
    std::uint32_t place;
    if (free_.empty()) {
      place = static_cast<std::uint32_t>(places_.size());
      places_.emplace_back();
    } else {
      place = free_.back();
      free_.pop_back();
    }
    Place& p = places_[place];
    p.object = T();
    p.used = true;
    return p.generation << kBits | place;
  }
  T* Find(Name name) {
    const std::size_t place = name & kMask;
    if (name == kNobody || place >= places_.size()) return nullptr;
    Place& p = places_[place];
    return p.used && p.generation == name >> kBits ? &p.object : nullptr;
  }
  const T* Find(Name name) const { return const_cast<Pool*>(this)->Find(name); }
  void Free(Name name) {
    Place& p = places_[name & kMask];
    p.used = false;
    ++p.generation;
    free_.push_back(static_cast<std::uint32_t>(name & kMask));
  }
  std::size_t most() const { return places_.size(); }
  // Of every object that exists.
  template <typename Do>
  void Each(Do&& action) {
    for (std::size_t i = 0; i < places_.size(); ++i) {
      if (places_[i].used) action(places_[i].generation << kBits | i, places_[i].object);
    }
  }

 private:
  static constexpr int kBits = 26;
  static constexpr Name kMask = (Name{1} << kBits) - 1;
  struct Place {
    T object;
    std::uint64_t generation = 1;
    bool used = false;
  };
  std::deque<Place> places_;  // objects stay where they are
  std::vector<std::uint32_t> free_;
};

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_POOL_H_

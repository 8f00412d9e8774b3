// A relay on loopback that stands in a link between two processes: whoever would connect to the one connects
// to it. Each direction by itself can be held (bytes wait, in order, and arrive once it is let go, however
// long after their sender has died), delayed or throttled; the link can be refused and its connections reset.
#ifndef UMBERDYKE_LAB_FLEET_RELAY_H_
#define UMBERDYKE_LAB_FLEET_RELAY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.h"

namespace umberdyke::lab {

enum class Way { kThere, kBack };  // from whoever connects, and back to it

class Relay {
 public:
  // Listens on a free port of `host`. Throws std::runtime_error.
  Relay(net::Loop& loop, const std::string& host, std::string target);
  ~Relay();
  std::string address() const { return net::PrintAddress(listener_.address()); }

  struct Faults {
    bool held = false;
    std::string only{};  // held: just connections whose first bytes begin so; empty: all
    net::Span delay{};
    std::int64_t bytes_per_s = 0;  // 0: as they come
  };
  Faults faults(Way way) const { return ways_[static_cast<int>(way)]; }
  void Set(Way way, const Faults& faults);
  // Refused: new connections are closed at once, and those there are reset.
  void Refuse(bool on);
  void Reset();
  void Heal();  // all of it taken back

  // Told of each piece that comes from whoever connects, held or not.
  std::function<void(std::string_view bytes)> seen{};

  std::uint64_t bytes_held() const { return bytes_held_; }  // that waited for a hold, so far

 private:
  class Pair;
  void Come();
  void Gone(Pair* pair);

  net::Loop& loop_;
  const std::string target_;
  Faults ways_[2];
  bool refused_ = false;
  std::uint64_t bytes_held_ = 0;
  std::list<std::unique_ptr<Pair>> pairs_;
  net::Listener listener_;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_RELAY_H_

// The bed's clients: requests on a schedule that no answer moves, spread over the sidecars, each answered
// once or counted.
#ifndef UMBERDYKE_LAB_FLEET_CLIENTS_H_
#define UMBERDYKE_LAB_FLEET_CLIENTS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/fleet/evidence.h"
#include "lab/fleet/world.h"
#include "lab/membership/caller.h"
#include "loop/loop.h"

namespace umberdyke::lab {

class Clients {
 public:
  // `counts`: one of twenty requests is of the class count; and what was written to a connection that its
  // sidecar had just closed, so that nothing came back, is asked again on a new one, as clients do (RFC
  // 9112, 9.3.1).
  Clients(net::Loop& loop, World& world, double rate, std::uint64_t seed, bool counts = false);
  void Start();
  void Stop();  // asks no more, and waits for what is out
  // A sidecar is told or made to end: until it is back its clients go to others, and what it had is excused.
  void Down(int sidecar);
  void Back(int sidecar);
  bool down(int sidecar) const { return doors_[static_cast<size_t>(sidecar)].down; }
  void Tell(Asked* asked) const;
  // Those served since the last call, in milliseconds; and how many were asked and not served.
  std::vector<double> TakeServed(std::uint64_t* others);

 private:
  struct Door {
    bool down = false;
    net::Time went{}, came{};
    std::vector<std::unique_ptr<Caller>> callers;
  };
  void Ask();
  void Knock(int sidecar);
  struct Out {
    int sidecar = 0;
    net::Time asked{};
    size_t one = 0;
    std::string request;
    int tries = 0;
  };
  void Send(const std::shared_ptr<Out>& out);
  void Answered(const std::shared_ptr<Out>& out, bool reused, int status);

  net::Loop& loop_;
  World& world_;
  const double rate_;
  const bool counts_;
  std::mt19937_64 random_;
  std::vector<Door> doors_;
  Asked asked_;
  std::vector<double> served_since_;
  std::uint64_t others_since_ = 0;
  std::uint64_t open_ = 0;
  bool asking_ = false;
  net::Time next_{};
  net::Timer ask_;
  std::vector<std::unique_ptr<net::Timer>> knocks_, again_;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_CLIENTS_H_

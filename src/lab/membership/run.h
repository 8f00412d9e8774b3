// A run on loopback: a real sidecar process before stand-in servers whose membership is kept in the stand-in
// coordination service, with open-loop clients and faults from a seed. Counts what was asked, run and
// answered.
#ifndef UMBERDYKE_LAB_MEMBERSHIP_RUN_H_
#define UMBERDYKE_LAB_MEMBERSHIP_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/membership/stand_in.h"
#include "loop/loop.h"

namespace umberdyke::lab {

struct MembershipRun {
  std::string sidecar;  // the program
  std::uint64_t seed = 1;
  int servers = 12;
  int addresses = 3;  // of the coordination service
  double rate = 150;  // requests a second
  int faults = 60;
  net::Span pace = std::chrono::milliseconds(60);  // between two faults, on the mean
  net::Span session = std::chrono::milliseconds(600);
  bool progress = false;  // a line a second on standard error
};

struct MembershipReport {
  std::uint64_t asked = 0, served = 0, turned_down = 0, failed = 0;
  std::uint64_t lost = 0;   // no final answer in time, or a connection that ended without one
  std::uint64_t late = 0;   // a final answer later than the client waits
  std::uint64_t twice = 0;  // more than one answer
  // Asked again because the sidecar was being restarted, and no server had seen the request.
  std::uint64_t knocked_again = 0;
  int restarts = 0;  // of the sidecar
  Ledger ledger;
  std::map<std::string, int> faults;  // by kind
  std::uint64_t sidecar_broken_invariants = 0;
  std::uint64_t registered = 0;  // nodes of its own that the sidecar made, over all its lives
  std::map<std::string, std::uint64_t> counters;  // the sidecar's own, for the report only
  std::string error;                              // the run itself went wrong

  bool clean() const {
    return error.empty() && lost == 0 && late == 0 && twice == 0 && ledger.doubled == 0 &&
           ledger.at_once == 0 && ledger.late_to_drained == 0 && sidecar_broken_invariants == 0 && asked > 0;
  }
};

MembershipReport Run(const MembershipRun& run);
std::string Print(const MembershipRun& run, const MembershipReport& report);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_MEMBERSHIP_RUN_H_

// How long the news of a node that went takes to reach the sidecar's list, and what it costs, by the list's
// length.
#ifndef UMBERDYKE_LAB_MEMBERSHIP_PROPAGATION_H_
#define UMBERDYKE_LAB_MEMBERSHIP_PROPAGATION_H_

#include <cstdint>
#include <string>

namespace umberdyke::lab {

struct Propagation {
  int nodes = 0, changes = 0;
  double load_ms = 0;  // from the start to the whole list
  double gone_p50_ms = 0, gone_p99_ms = 0;
  double added_p50_ms = 0, added_p99_ms = 0;
  double bytes_each = 0, reads_each = 0;  // from the service, for each change
  double cpu_us_each = 0;                 // of client and service together, for each change
  double resident_mb = 0;                 // of both together, grown by the list
  std::string error;
};

// Each change removes one node and adds another, `pace_ms` apart.
Propagation Measure(int nodes, int changes, int pace_ms);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_MEMBERSHIP_PROPAGATION_H_

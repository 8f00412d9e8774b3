// Measurements on the bed: takeovers, messages for each, an agent at rest, requests with agents and service
// alive, stopped and dead, and during releases. Each prints its table and returns an exit status.
#ifndef UMBERDYKE_LAB_FLEET_MEASURE_H_
#define UMBERDYKE_LAB_FLEET_MEASURE_H_

#include <vector>

#include "lab/fleet/bed.h"

namespace umberdyke::lab {

struct Measure {
  Programs programs;
  int count = 200, session_ms = 600, seconds = 6;
  double rate = 200;
  std::vector<int> sizes;
};

int MeasureTakeovers(const Measure& measure);
int MeasureHerd(const Measure& measure);
int MeasureRest(const Measure& measure);
int MeasureDataPath(const Measure& measure);
// Requests before, during and after a release of sixteen, for each budget; and before, during and after
// all sixteen are told to end at once and started again, without agents.
int MeasureReleases(const Measure& measure);

// The value below which that part of the values lies; 0 where there are none.
double Quantile(std::vector<double> values, double part);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_MEASURE_H_

// Runs the balancer instances that the bench simulator places in this process. They share only the mapping of
// upstream names to ids and the lists of upstreams that the simulator sends.
#ifndef UMBERDYKE_DRILL_HOST_H_
#define UMBERDYKE_DRILL_HOST_H_

#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "drill/wire.h"
#include "umberdyke/balancer.h"

namespace umberdyke::benchlink {

class Host {
 public:
  // Reads batches of events and writes the actions after each batch, until the input ends. Returns the exit
  // status: 0, or 2 for invalid input, which is reported as one line on `errors`.
  int Run(std::istream& in, std::ostream& out, std::ostream& errors);

 private:
  struct Instance {
    Balancer balancer;
    std::vector<std::string> columns;  // names of the figures in a load report, in order
    int classes;                       // number of request classes
  };

  // These throw WireError for invalid input.
  void ProcessLine(std::string_view line);
  void ProcessEvent(const Fields& fields);
  void Configure(std::int64_t id, const Fields& fields);
  void ApplyList(Instance* instance, const Fields& fields);
  void Dispatch(Instance* instance, const Fields& fields);

  // Moves the collected actions to the reply.
  void WriteActions(std::int64_t id);

  UpstreamNames names_;
  std::map<std::int64_t, Instance> instances_;
  std::array<std::vector<UpstreamEntry>, 16> list_slots_;  // filled by MANIFEST, used by UPDATE
  std::vector<UpstreamEntry>* current_list_ = nullptr;     // the list that the next M lines add to
  std::int64_t pending_entries_ = 0;                       // M lines still to come
  bool in_batch_ = false;
  bool reply_complete_ = false;  // the batch has ended and reply_ can be written
  Micros now_ = 0;
  Actions actions_;
  std::string reply_;
};

}  // namespace umberdyke::benchlink

#endif  // UMBERDYKE_DRILL_HOST_H_

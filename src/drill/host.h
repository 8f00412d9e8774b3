// Hosts the instances that the bench spreads over this process. They share nothing but the words of the wire.
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
  // Reads batches until the input ends. Returns the exit status: 0, or 2 after a plain line on `errors`.
  int Run(std::istream& in, std::ostream& out, std::ostream& errors);

 private:
  struct Instance {
    Balancer balancer;
    std::vector<std::string> columns;
    int classes;
  };

  // Takes one line of a batch. Throws WireError.
  void ProcessLine(std::string_view line);
  void ProcessEvent(const Fields& fields);
  void Configure(std::int64_t id, const Fields& fields);
  void ApplyList(Instance* instance, const Fields& fields);
  void Dispatch(Instance* instance, const Fields& fields);
  void WriteActions(std::int64_t id);

  UpstreamNames names_;
  std::map<std::int64_t, Instance> instances_;
  std::array<std::vector<UpstreamEntry>, 16> list_slots_;
  std::vector<UpstreamEntry>* current_list_ = nullptr;  // the list whose entries come next
  std::int64_t pending_entries_ = 0;
  bool in_batch_ = false;
  bool reply_complete_ = false;
  Micros now_ = 0;
  Actions actions_;
  std::string reply_;
};

}  // namespace umberdyke::benchlink

#endif  // UMBERDYKE_DRILL_HOST_H_

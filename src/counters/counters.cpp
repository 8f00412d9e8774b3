#include "counters/counters.h"

namespace umberdyke::net {

std::string Counters::Print(std::string_view separator) const {
  std::string out;
  for (const auto& [name, count] : counts_) {
    out.append(name).append(" ").append(std::to_string(count)).append(separator);
  }
  return out;
}

}  // namespace umberdyke::net

// What tests of a process's memory share: the limit in its configuration, and whether its memory can be
// judged.
#ifndef UMBERDYKE_TESTS_NET_MEMORY_LIMIT_H_
#define UMBERDYKE_TESTS_NET_MEMORY_LIMIT_H_

#include <string>

#include "net/site.h"

namespace umberdyke::net {

// A sanitizer takes memory of its own.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// Puts a limit of memory before the limit of 1,024 descriptors in a text of ConfigText.
inline std::string WithMemoryLimit(const std::string& config, int memory_mb) {
  const std::string sockets = "\"sockets\":1024";
  return Replaced(config, sockets, "\"memory_mb\":" + std::to_string(memory_mb) + "," + sockets);
}

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_MEMORY_LIMIT_H_

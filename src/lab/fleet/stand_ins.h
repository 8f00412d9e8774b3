// Processes that the bed starts besides the program's own: the stand-in servers, and wrong stand-ins that the
// judge has to catch.
#ifndef UMBERDYKE_LAB_FLEET_STAND_INS_H_
#define UMBERDYKE_LAB_FLEET_STAND_INS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace umberdyke::lab {

struct ServersOptions {
  std::vector<std::string> coordinators;
  std::string path, ledger;
  int count = 4;
  std::uint64_t seed = 1;
  // One zone's servers as a JSON file has them (id, zone, listen, faces), in place of `path` and `count`:
  // each request that they work on is told at once to `ledger`, a line each, behind what an earlier life
  // told.
  std::string servers;
};
// Until SIGTERM; then the ledger of what ran is written. Returns an exit status, as those below.
int RunServers(const ServersOptions& options);

// A console without a fence: it takes every order that it can read, and tells of it in the same form.
int RunUnfenced(const std::string& console, const std::string& name);

// A version of the sidecar as an agent starts it: the program itself behind a process that ends with the bed,
// or what is wrong with it.
struct VersionOptions {
  std::string kind = "good";           // good, crash, hang, slow, later, leak, mixed
  std::string sidecar, logs;           // the program; the folder for its log
  int bed = 0;                         // the process that all of it ends with
  int later_ms = 2500;                 // of `later`: it ends so long after its start
  std::vector<std::string> others;     // of `mixed`: sidecars that it asks for what none can do in time
  std::vector<std::string> arguments;  // of the program
};
int RunVersion(const VersionOptions& options);

// The agent with one of its guards taken out: believes, unchecked, skips or repeats.
int RunWrongAgent(const std::string& config, const std::string& wrong);

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_STAND_INS_H_

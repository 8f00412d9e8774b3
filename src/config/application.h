// An application as its operators describe it: one TOML file for all its sidecars on all hosts.
// docs/configuration.md is the schema in words. Times are microseconds, sizes bytes.
#ifndef UMBERDYKE_CONFIG_APPLICATION_H_
#define UMBERDYKE_CONFIG_APPLICATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/finding.h"
#include "config/reader.h"
#include "umberdyke/balancer.h"

namespace umberdyke::config {

using Micros = std::chrono::microseconds;

// The format of descriptions that this program reads, and the only one so far.
constexpr int kDescriptionFormat = 1;

struct RequestLimits {
  Placed<std::int64_t> descriptors;
  Placed<std::int64_t> memory;  // bytes
  Placed<double> cores;
};

struct TierText {
  Placed<std::string> name;
  Place place;
  std::vector<Placed<std::string>> calls;  // tiers
  Placed<double> calls_each;               // calls to each of them for one request here, on the mean
  Placed<std::int64_t> attempts;
  Placed<std::string> discovery;                  // exactly one of these three sources
  std::vector<Placed<std::string>> coordinators;  // addresses of the coordination service
  Placed<std::string> members_file;
  Placed<std::string> nodes;           // the path under which its servers keep their nodes
  Placed<std::string> register_under;  // the path under which its sidecars keep theirs; empty: none
  Placed<std::string> auth_file;
  Placed<Micros> session;
  Placed<double> guard_share;
  Placed<Micros> guard_within, guard_hold;
  Placed<Micros> keeps_keys;  // how long its nodes discard repeats; zero: they keep no keys
  Placed<int> keys_shared;    // a Group: how far its nodes share them
};

struct ClassText {
  Placed<std::string> name;
  Place place;
  Placed<std::string> method;
  Placed<int> repeat;  // a Repeat
  Placed<std::string> key;
  Placed<Micros> key_window;
  Placed<int> key_scope;  // a Group
  Placed<Micros> aim;
  Placed<Micros> give_up;
  Placed<double> worth;
  Placed<double> late_share;
  Placed<double> traffic;     // share of the requests; only a plan for sites asks for it, like the next three
  Placed<double> work;        // of one, beside the other classes'
  Placed<bool> stays;         // is served in the zone where it comes, or not at all
  Placed<std::int64_t> goes;  // lower ones go first where not all can be served; 0: by worth for the work
};

struct TenantText {
  Placed<std::string> name;
  Place place;
  Placed<double> share;
  Placed<double> rate;  // requests a second over all sidecars; 0: unlimited
};

struct HostText {
  Placed<std::string> name;
  Place place;
  Placed<std::string> address;
  Placed<std::string> zone;
  Placed<std::int64_t> descriptors;
  Placed<std::int64_t> memory;
  Placed<double> cores;
};

struct SidecarText {
  Placed<std::string> name;
  Place place;
  Placed<std::string> tier;
  Placed<std::string> host;
  Placed<std::string> listen;
  Placed<std::string> peer_listen;
  Placed<std::string> console;        // the operators' address; absent: none is opened
  Placed<std::string> console_spare;  // of the process that replaces it, and so on by turns
  RequestLimits limits;
};

// A real server by its name in the list, where releases and drains are agreed for servers as well.
struct ServerText {
  Placed<std::string> name;
  Place place;
  Placed<std::string> host, tier, kind;
};

// How releases, restarts and drains are agreed across the fleet; absent: nobody owns that duty.
struct RolloutText {
  struct Budget {
    Place place;
    Placed<int> of;  // 0 sidecars, 1 servers
    Placed<int> by;  // 0 fleet, 1 tier, 2 zone, 3 kind, 4 host
    Placed<std::string> group;
    Placed<std::int64_t> most;
    Placed<double> share;
    Placed<std::int64_t> least_ready;
  };
  bool given = false;
  Place place;
  Placed<std::string> label, program, files;  // what runs before the first release
  Placed<std::string> run_folder;             // of locks, on each host
  std::vector<Placed<std::string>> server_command;
  Placed<Micros> look_every, warm_sidecar, warm_server, stand, gone_after, ready_within, end_within;
  Placed<std::int64_t> failures, least_answers, stand_answers;
  Placed<bool> back_by_itself, back_when_unwell;
  Placed<double> least_heard, alarm, worse, slow_by, unwell, larger;
  std::vector<Budget> budgets;
};
inline constexpr const char* kBudgetGroups[] = {"fleet", "tier", "zone", "kind", "host"};

// The agents' work on behalf of the fleet, where there is a coordination service; absent: no agent runs.
struct FleetText {
  bool given = false;
  Place place;
  std::vector<Placed<std::string>> coordinators;
  Placed<std::string> path;  // of all that the agents keep there
  Placed<std::string> auth_file;
  Placed<Micros> session, margin, rest;  // margin: off the session's time, for an owner's belief
  Placed<Micros> census_every, tidy_every, tidy_after;
};

// What a plan for the loss of a zone is made from; absent: there is none, and sidecars take no verdicts.
struct SitesText {
  struct Kind {
    Place place;
    Placed<std::string> name;
    Placed<double> each;  // requests a second that one server of it can do
  };
  struct Capacity {  // of one zone and tier: `total`, or so many servers of a kind
    Place place;
    Placed<std::string> zone, tier, kind;
    Placed<std::int64_t> servers;
    Placed<double> total;  // requests a second
  };
  struct Demand {
    Place place;
    Placed<std::string> zone;
    Placed<double> rate;  // clients' requests a second that come there
  };
  struct Way {
    Place place;
    std::vector<Placed<std::string>> between;
    Placed<Micros> time;
    Placed<double> cost;
  };
  bool given = false;
  Place place;
  Placed<double> keep_free;   // share of every zone's capacity that a plan leaves alone
  Placed<double> retries;     // share of the requests that are clients' second tries
  Placed<bool> clients_move;  // a lost zone's clients come to others; else they are lost with it
  Placed<bool> follow;        // survivors get the plan's shares; else sidecars spread over them by their load
  Placed<double> probes;      // a second into a lost zone, from all sidecars of a tier together
  Placed<Micros> silence;     // without an answer from a zone, before it counts as lost
  std::vector<Kind> kinds;
  std::vector<Capacity> capacities;
  std::vector<Demand> demands;
  std::vector<Way> ways;
};

struct Application {
  std::string file;
  Placed<std::string> name;
  std::vector<Placed<std::string>> zones;
  std::vector<Placed<std::string>> kinds;
  RequestLimits limits;  // of a sidecar that has none of its own

  Placed<bool> parallel, cancel, checks, peers;
  Placed<Micros> drain, retry_after, connect_timeout, idle, tick, ask_every, cold_time, fall_time;
  Placed<double> start_capacity, fall_multiple, over_share_worth;
  std::vector<Placed<std::string>> report;  // the figures that servers tell
  std::string log_format, log_level;

  FleetText fleet;
  SitesText sites;
  RolloutText rollout;
  std::vector<TierText> tiers;
  std::vector<ClassText> classes;
  std::vector<TenantText> tenants;
  std::vector<HostText> hosts;
  std::vector<SidecarText> sidecars;
  std::vector<ServerText> servers;

  const TierText* Tier(std::string_view name) const;
  const HostText* Host(std::string_view name) const;
};

// Reads a description. Absent where it cannot be read at all or is of another format; what is read may be
// incomplete where there are findings. `trace`, where given, gets every value with where it came from.
std::optional<Application> ReadApplication(const std::string& file, std::string_view text, Findings* findings,
                                           std::vector<Effective>* trace = nullptr);

// The rules that one application has to keep by itself.
void CheckApplication(const Application& application, Findings* findings);
// Those of [sites], where it is given; part of CheckApplication.
void CheckSites(const Application& application, Findings* findings);
// Those of [rollout], where it is given; part of CheckApplication.
void CheckRollout(const Application& application, Findings* findings);
// The rules between applications: hosts and names that they share. Time and memory near linear in sidecars.
void CheckTogether(const std::vector<Application>& applications, Findings* findings);

// The tiers so that callers come before those they call; absent where they form a loop.
std::optional<std::vector<const TierText*>> TiersInOrder(const Application& application);

// The least that the program needs, given its descriptors: each client may hold a request of 64 KiB and 16
// KiB of head, and half of the descriptors are clients'.
constexpr std::int64_t kFewestDescriptors = 64;
constexpr std::int64_t MemoryNeeded(std::int64_t descriptors) {
  constexpr std::int64_t kAtRest = std::int64_t{8} << 20;
  constexpr std::int64_t kOfAClient = std::int64_t{80} << 10;
  return kAtRest + descriptors / 2 * kOfAClient;
}

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_APPLICATION_H_

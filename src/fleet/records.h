// What the agents of one application keep in the coordination service: where it stands, and its forms, read
// strictly.
//
//   PATH                          whose it is, and of which form
//   PATH/agents/HOST              ephemeral: the agent of that host
//   PATH/hosts/HOST               the latest start of that host's agent
//   PATH/duties/DUTY/claims/c-*   ephemeral, sequential: who stands for the duty (owner/claim.h)
//   PATH/duties/DUTY/journal      the steps (owner/journal.h)
//   PATH/duties/DUTY/history      who owned it, the newest last; bounded
//   PATH/duties/DUTY/resign       an operator's wish that the owner of a term leave it
//   PATH/census                   the newest census
//   PATH/sites                    the owner's newest word on zones (sites/plan.h); empty: none yet
//   PATH/rollout/permits/HOST     who of that host may go out (rollout/release.h); written by the duty's
//   owner PATH/rollout/reports/HOST     what became of it; written by that host's agent
//   PATH/rollout/wishes/r-*       sequential: what operators ask for; the owner takes them away as it answers
//
// This room may not know agents, consoles or the command line. What cannot be read is told with why, and is
// nobody's to write over.
#ifndef UMBERDYKE_FLEET_RECORDS_H_
#define UMBERDYKE_FLEET_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "owner/journal.h"

namespace umberdyke::fleet {

constexpr int kFormat = 1;
constexpr size_t kLargestRecord = 256 * 1024;  // no record of ours is longer
constexpr size_t kLongestHistory = 64;

struct Paths {
  std::string base;
  std::string Agents() const { return base + "/agents"; }
  std::string Agent(const std::string& host) const { return Agents() + "/" + host; }
  std::string Hosts() const { return base + "/hosts"; }
  std::string Host(const std::string& host) const { return Hosts() + "/" + host; }
  std::string Duties() const { return base + "/duties"; }
  std::string Duty(const std::string& duty) const { return Duties() + "/" + duty; }
  std::string Claims(const std::string& duty) const { return Duty(duty) + "/claims"; }
  std::string Journal(const std::string& duty) const { return Duty(duty) + "/journal"; }
  std::string History(const std::string& duty) const { return Duty(duty) + "/history"; }
  std::string Resign(const std::string& duty) const { return Duty(duty) + "/resign"; }
  std::string Census() const { return base + "/census"; }
  std::string Sites() const { return base + "/sites"; }
  std::string Rollout() const { return base + "/rollout"; }
  std::string Permits() const { return Rollout() + "/permits"; }
  std::string Permits(const std::string& host) const { return Permits() + "/" + host; }
  std::string Reports() const { return Rollout() + "/reports"; }
  std::string Reports(const std::string& host) const { return Reports() + "/" + host; }
  std::string Wishes() const { return Rollout() + "/wishes"; }
};

// Why a record cannot be read: one line.
struct Unreadable {
  std::string why;
};
template <typename T>
using ReadAs = std::variant<T, Unreadable>;

// Of PATH itself. Another application's, or of a newer form, is Unreadable for an agent of `application`.
std::string PrintRoot(const std::string& application);
ReadAs<bool> ReadRoot(std::string_view text, const std::string& application);

// Of an agent, and of a claim.
struct Agent {
  std::string host, zone, instance, version;
  friend bool operator==(const Agent&, const Agent&) = default;
};
std::string Print(const Agent& agent);
ReadAs<Agent> ReadAgent(std::string_view text);

std::string Print(const owner::Journal& journal);
ReadAs<owner::Journal> ReadJournal(std::string_view text);  // an empty text: no step yet

struct Tenure {
  owner::Term term = 0;
  std::string host, instance;
  owner::Step from = 0;          // the latest step that it found
  std::int64_t without_ms = -1;  // since the agent before it was seen to go; -1: it saw none go
};
// Within kLongestHistory: the oldest are dropped.
std::string Print(std::vector<Tenure> history);
ReadAs<std::vector<Tenure>> ReadHistory(std::string_view text);

std::string PrintResign(owner::Term term);
ReadAs<owner::Term> ReadResign(std::string_view text);

// The census: how many sidecars of each zone and tier are in which state, and each by name while there are
// few.
struct CensusEntry {
  std::string name, zone, tier, host;
  std::string state;    // serving, drained, starting, ending, or unknown: could not be asked; never "gone"
  std::string version;  // empty where unknown
  std::int64_t targets = -1, targets_disabled = -1, concurrent = -1;
  std::int64_t unknown_steps = 0;  // censuses in a row that could not ask it
};
struct Census {
  owner::Term term = 0;
  owner::Step step = 0;
  std::vector<CensusEntry> sidecars;
};
constexpr size_t kMostNamed = 400;  // beyond it only the counts by zone and tier, and who is not serving
// Sums of one zone and tier.
struct CensusSum {
  std::map<std::string, int> states;
  std::map<std::string, int> versions;
  std::int64_t concurrent = 0;
};
std::map<std::pair<std::string, std::string>, CensusSum> Sums(const Census& census);
// At most `most` bytes: where the names do not fit they are left out, and where the sums do not, the versions
// too.
std::string Print(const Census& census, size_t most = 64 * 1024);
ReadAs<Census> ReadCensus(std::string_view text);

}  // namespace umberdyke::fleet

#endif  // UMBERDYKE_FLEET_RECORDS_H_

// The whole of what the agents keep, read once for a person: for the operators' tool, which waits for it.
#ifndef UMBERDYKE_FLEET_VIEW_H_
#define UMBERDYKE_FLEET_VIEW_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/records.h"

namespace umberdyke::fleet {

struct Service {
  std::vector<std::string> servers;
  std::string path, application, auth_file;
  std::chrono::milliseconds patience{5000};  // for all that one call does
};

// user:password from the file that `auth_file` names; an empty name: none.
std::variant<std::string, Unreadable> ReadAuth(const std::string& auth_file);

struct Stander {
  std::string name;  // of the claim
  Agent agent;       // empty where its data cannot be read
  owner::Term term = 0;
};
struct DutyView {
  std::string name;
  std::vector<Stander> standers;  // the first owns it
  owner::Journal journal;
  std::int64_t journal_age_ms = -1;  // by the service's clock, since it was written last
  std::vector<Tenure> history;
  std::vector<std::string> troubles;  // what cannot be read
};
struct View {
  std::vector<Agent> agents;       // that are there now
  std::vector<std::string> hosts;  // that had one once
  std::vector<DutyView> duties;
  std::optional<Census> census;
  std::string census_text;
  std::int64_t census_age_ms = -1;
  std::string sites_text;  // the owner's newest word on zones; empty: none yet
  std::int64_t sites_age_ms = -1;
  std::vector<std::string> troubles;
};

// The view, or one plain line of why there is none. Blocks for at most the service's patience.
std::variant<View, Unreadable> Look(const Service& service);

// Asks the owner of a duty to leave it and waits until another term owns it, or nobody. An empty text, or why
// not.
struct Resigned {
  owner::Term before = 0, after = 0;  // after: 0 where nobody stands
  std::string host;
};
std::variant<Resigned, Unreadable> AskToResign(const Service& service, const std::string& duty);

}  // namespace umberdyke::fleet

#endif  // UMBERDYKE_FLEET_VIEW_H_

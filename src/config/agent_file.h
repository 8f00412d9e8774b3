// The JSON file that one host's agent starts from, written from the application's description like the
// sidecars' own.
#ifndef UMBERDYKE_CONFIG_AGENT_FILE_H_
#define UMBERDYKE_CONFIG_AGENT_FILE_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/application.h"
#include "config/finding.h"
#include "sites/plan.h"

namespace umberdyke::config {

constexpr int kAgentFormat = 1;

struct AgentFile {
  struct Sidecar {
    std::string name, host, zone, tier;
    std::string console;  // its address
    std::string spare;    // and the other one, which its processes take by turns; empty: it has none
  };
  struct Server {
    std::string name, host, zone, tier, kind, nodes;  // nodes: the path of its tier's nodes
  };
  struct Budget {
    bool servers = false;
    std::string by, group;
    std::int64_t most = -1;  // -1: as share says
    double share = 0;
    std::int64_t least_ready = 0;
  };
  // docs/releases.md; the same names as in the description.
  struct Rollout {
    std::string label, program, files, run_folder;
    std::vector<std::string> server_command;
    std::chrono::microseconds look_every{}, warm_sidecar{}, warm_server{}, stand{}, gone_after{},
        ready_within{}, end_within{};
    std::int64_t failures = 0, least_answers = 0, stand_answers = 0;
    bool back_by_itself = true, back_when_unwell = false;
    double least_heard = 0, alarm = 0, worse = 0, slow_by = 0, unwell = 0, larger = 0;
    std::vector<Budget> budgets;
  };
  std::string application, host, zone;
  std::vector<std::string> servers;  // of the coordination service
  std::string path;                  // of all that the agents keep there
  std::string auth_file;             // holds user:password; empty: none
  std::chrono::microseconds session{}, margin{}, rest{};
  std::chrono::microseconds census_every{}, tidy_every{}, tidy_after{};
  std::vector<std::string> hosts;      // all of the application
  std::vector<std::string> registers;  // paths under which its sidecars register
  std::vector<Sidecar> sidecars;       // all of the application that have a console
  std::optional<sites::Plan> sites;    // for the loss of zones; absent: nobody owns that duty here
  std::optional<Rollout> rollout;      // for releases and drains; absent: nobody owns that duty here
  std::vector<Server> real_servers;    // that releases and drains are about
  std::string log_format, log_level;
};

// Whether a JSON text says that it is an agent's file.
bool IsAgentFile(std::string_view text);
// Absent, with findings, where it cannot be read, is of a newer format or breaks a rule.
std::optional<AgentFile> ReadAgentFile(const std::string& file, std::string_view text, Findings* findings);
// Everything in the file but its mark; the application has a [fleet] and is without findings.
std::string WriteAgentFile(const Application& application, const HostText& host);
// APPLICATION.HOST.agent.json; no sidecar's file is called so, as their names have no dots.
std::string AgentFileName(const Application& application, std::string_view host);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_AGENT_FILE_H_

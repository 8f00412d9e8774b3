// The processes and links of one bed, started and struck from outside. The bed's runs and measurements share
// it.
#ifndef UMBERDYKE_LAB_FLEET_WORLD_H_
#define UMBERDYKE_LAB_FLEET_WORLD_H_

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/common/process.h"
#include "lab/fleet/bed.h"
#include "lab/fleet/relay.h"
#include "loop/loop.h"

namespace umberdyke::lab {

// Commands to the stand-in service; answers are read and thrown away unless asked for.
class ControlLine : public net::StreamCallbacks {
 public:
  ControlLine(net::Loop& loop, const std::string& address);
  void Say(const std::string& command);
  bool up() const { return up_; }

 private:
  void OnConnected(bool ok) override;
  void OnData(std::string_view) override {}
  void OnEnd() override;
  net::Stream stream_;
  bool up_ = false;
};

// The class that a version with errors takes for another kind: one of twenty requests.
inline constexpr const char* kGoodCount = "name = \"count\"\nmethod = \"GET\"\nrepeat = \"safe\"\n";

class World {
 public:
  // Throws std::runtime_error where it cannot be set up.
  World(net::Loop& loop, const BedPlan& plan, const Programs& programs);
  ~World();

  // All processes; false, with why, where one does not come up.
  bool Start(std::string* why);
  void StartAgent(int i);
  void StartSidecar(int i);
  void StartServers(int zone);  // of one zone, with three or more
  bool sites() const { return plan_.zones > 2; }
  bool rollout() const { return !plan_.rollout.empty(); }
  // With a rollout each server is a process of its own.
  void StartServer(int i);
  Process* server(int i) { return server_processes_[static_cast<size_t>(i)].get(); }
  // Servers whose command was run since the last call.
  std::vector<int> TakeRestarts();
  // The state of releases as it was committed last, and how often that duty's journal was written.
  const std::string& rollout_state() const { return rollout_state_; }
  int rollout_writes() const { return rollout_writes_; }
  // Leaves a wish, as the operators' tool does.
  void Wish(const std::string& verb, const std::string& select = "", const std::string& name = "");
  // The last of four zones has no servers: its sidecars have none near, and spread over all the others.
  int server_zones() const { return std::min(plan_.zones, 3); }
  Process* servers(int zone) { return zone_servers_[static_cast<size_t>(zone)].get(); }
  int ZoneOfSidecar(int i) const { return ZoneOfAgent(i % plan_.agents); }
  int ZoneOfAgent(int i) const { return i % plan_.zones; }
  // Between the sidecars of one zone and the servers of another, or of the same.
  std::vector<Relay*> ToServers(int viewer, int zone);
  std::vector<Relay*> ConsolesBetween(int agent, int zone);  // of one agent to the sidecars of a zone
  // Reads what the service has committed since, and keeps track of who owns what.
  void Follow();
  int OwnerOf(const std::string& duty) const;  // an agent; -1: nobody
  std::int64_t TermOf(const std::string& duty) const;
  std::uint64_t CommitsOf(const std::string& duty) const;
  std::string ClaimOf(const std::string& duty) const;  // the owner's, its path
  net::Time last_commit(const std::string& duty) const;

  int agents() const { return plan_.agents; }
  int sidecars() const { return plan_.sidecars; }
  Process* agent(int i) { return agents_[static_cast<size_t>(i)].process.get(); }
  Process* sidecar(int i) { return sidecars_[static_cast<size_t>(i)].process.get(); }
  Process* service() { return service_.get(); }
  void KillAgent(int i, int signal);
  void KillSidecar(int i, int signal);
  void StopService(int signal);
  std::vector<Relay*> ToService(int agent);
  std::vector<Relay*> ToConsoles(int agent);
  std::vector<Relay*> SidecarToService(int sidecar);
  ControlLine& control() { return *control_; }
  const std::string& folder() const { return folder_; }
  const net::Address& listen(int sidecar) const { return sidecars_[static_cast<size_t>(sidecar)].listen; }
  const std::string& base() const { return base_; }
  bool SidecarReady(int i);
  const std::string& name(int i) const { return sidecars_[static_cast<size_t>(i)].name; }
  // The label of the version that serves there, asked at both addresses; "nobody" where none does.
  std::string ReleaseOf(int i);
  std::string Console(int sidecar, const std::string& path, int* status);  // a call past the relays

  // After the run: ends all, and gathers what they left.
  void Gather(Evidence* evidence);

 private:
  struct Agent {
    std::unique_ptr<Process> process;
    std::string file, host;
    int lives = 0;
    // With a release those of its own host are called directly: it starts processes there.
    std::vector<std::unique_ptr<Relay>> to_service, to_consoles, to_spares;
  };
  struct Sidecar {
    std::unique_ptr<Process> process;
    std::string name, file, console;
    net::Address listen{};
    int lives = 0;
    std::vector<std::unique_ptr<Relay>> to_service;
    std::vector<std::string> logs;
  };
  struct Duty {
    std::map<std::int64_t, std::pair<std::int64_t, int>> claims;  // number to term and agent
    std::map<std::int64_t, std::string> names;
    std::uint64_t commits = 0;
    net::Time last{};
  };
  std::string Description() const;
  std::string SitesText() const;
  void MakeServers();
  // Of stand-in servers from a file, with a ledger, both in the bed's folder.
  std::vector<std::string> ServersCommand(const std::string& file, const std::string& ledger) const;
  void GatherZones(Evidence* evidence);
  std::string RolloutText() const;
  void MakeRollout();
  void GatherRollout(Evidence* evidence);
  void EndVersions();
  std::vector<std::string> LivesOf(const std::string& sidecar) const;
  void WriteFiles();
  std::string Call(const net::Address& to, const std::string& request, int* status);

  net::Loop& loop_;
  const BedPlan plan_;
  const Programs programs_;
  const std::string own_;  // the address of this bed's processes
  const std::string base_ = "/linen-track/fleet";
  std::string folder_;
  std::vector<std::string> members_;
  std::string control_address_;
  std::unique_ptr<Process> service_, servers_;
  std::vector<std::unique_ptr<Process>> zone_servers_, server_processes_;
  std::string rollout_state_;
  int rollout_writes_ = 0, wishes_ = 0;
  std::vector<std::vector<std::vector<std::unique_ptr<Relay>>>> to_servers_;  // [viewer][zone]
  std::vector<ZoneSend> zone_sends_;                                          // seen by those relays
  std::unique_ptr<ControlLine> control_;
  std::vector<Agent> agents_;
  std::vector<Sidecar> sidecars_;
  std::ifstream commits_;
  std::string rest_;  // of a line that is not whole yet
  std::map<std::string, Duty> duties_;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_FLEET_WORLD_H_

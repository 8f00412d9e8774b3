#include "lab/fleet/world.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "config/agent_file.h"
#include "config/application.h"
#include "config/sidecar_file.h"
#include "files/files.h"
#include "fleet/records.h"
#include "lab/membership/caller.h"
#include "owner/claim.h"
#include "planner/tables.h"
#include "platform/console_calls.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

namespace {

// Ports of this bed's own address, below those that the kernel gives out.
constexpr int kListen = 20000, kConsole = 21000, kMembers = 22000, kControl = 22100;
constexpr size_t kLargestLog = size_t{512} << 20;

std::string At(const std::string& host, int port) { return host + ":" + std::to_string(port); }
std::string TierOf(int sidecar) { return sidecar % 2 == 0 ? "front" : "ledger"; }
constexpr int kServers = 23000, kSpare = 24000;
constexpr net::Span kCold = 2s;  // as the description has it
const std::vector<std::string> kZoneNames = {"east", "west", "north", "south"};
std::string PathOf(size_t zone) { return "/linen-track/servers-" + kZoneNames[zone]; }

}  // namespace

ControlLine::ControlLine(net::Loop& loop, const std::string& address) : stream_(loop, this) {
  stream_.Connect(*net::ParseAddress(address));
}
void ControlLine::OnConnected(bool ok) {
  up_ = ok;
  if (ok) stream_.Read();
}
void ControlLine::OnEnd() {
  up_ = false;
  stream_.Close();
}
void ControlLine::Say(const std::string& command) {
  if (up_) stream_.Write(command + "\n");
}

World::World(net::Loop& loop, const BedPlan& plan, const Programs& programs)
    : loop_(loop), plan_(plan), programs_(programs), own_(OwnAddress()) {
  folder_ = (std::filesystem::temp_directory_path() /
             ("umberdyke-bed-" + std::to_string(getpid()) + "-" + std::to_string(plan.seed)))
                .string();
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (int i = 0; i < plan.members; ++i) members_.push_back(At(own_, kMembers + i));
  control_address_ = At(own_, kControl);
  agents_.resize(static_cast<size_t>(plan.agents));
  sidecars_.resize(static_cast<size_t>(plan.sidecars));
  const auto relay = [&](std::vector<std::unique_ptr<Relay>>* into, const std::string& target) {
    into->push_back(std::make_unique<Relay>(loop_, own_, target));
  };
  for (int i = 0; i < plan.sidecars; ++i) {
    Sidecar& sidecar = sidecars_[static_cast<size_t>(i)];
    sidecar.name = TierOf(i) + "-" + std::to_string(i);
    sidecar.listen = *net::ParseAddress(At(own_, kListen + i));
    sidecar.console = At(own_, kConsole + i);
    for (const std::string& member : members_) relay(&sidecar.to_service, member);
  }
  for (int i = 0; i < plan.agents; ++i) {
    Agent& agent = agents_[static_cast<size_t>(i)];
    agent.host = "host-" + std::to_string(i);
    for (const std::string& member : members_) relay(&agent.to_service, member);
    for (const Sidecar& sidecar : sidecars_) relay(&agent.to_consoles, sidecar.console);
    for (int s = 0; rollout() && s < plan.sidecars; ++s) relay(&agent.to_spares, At(own_, kSpare + s));
  }
  if (sites()) MakeServers();
  WriteFiles();
  if (rollout()) MakeRollout();
}

World::~World() {
  for (auto& servers : zone_servers_) servers.reset();
  for (auto& server : server_processes_) server.reset();
  for (Sidecar& sidecar : sidecars_) sidecar.process.reset();
  for (Agent& agent : agents_) agent.process.reset();
  servers_.reset();
  service_.reset();
  std::error_code ignored;
  if (!programs_.keep) std::filesystem::remove_all(folder_, ignored);
}

// The application as its operators would describe it.
std::string World::Description() const {
  std::ostringstream out;
  std::string members;
  for (const std::string& member : members_) members += (members.empty() ? "\"" : ", \"") + member + "\"";
  const auto ms = [](int n) { return "\"" + std::to_string(n) + "ms\""; };
  out << "format = 1\napplication = \"linen-track\"\nzones = [\"east\", \"west\""
      << (sites() ? ", \"north\"" : "") << (plan_.zones > 3 ? ", \"south\"" : "") << "]\nkinds = [\"std\"]\n"
      << "[limits]\ndescriptors = 256\nmemory = \"64MiB\"\n[log]\nformat = \"json\"\nlevel = \"debug\"\n"
      << "[rules]\nretry_after = \"" << (rollout() ? "500ms" : "2s") << "\"\ntick = \"1ms\"\n"
      << (sites() ? "cold_time = \"2s\"\nstart_capacity = 0.2\nfall_time = \"1s\"\n" : "")
      << "[report]\nfigures = [\"queue\", \"inflight\"]\n"
      << "[fleet]\ncoordinators = [" << members << "]\npath = \"" << base_
      << "\"\nsession = " << ms(plan_.session_ms) << "\nmargin = " << ms(plan_.margin_ms)
      << "\nrest = " << ms(plan_.rest_ms) << "\ncensus_every = " << ms(plan_.census_ms)
      << "\ntidy_every = " << ms(plan_.tidy_ms) << "\ntidy_after = " << ms(plan_.tidy_after_ms) << "\n";
  if (sites()) out << SitesText();
  if (rollout()) out << RolloutText();
  for (const char* tier : {"front", "ledger"}) {
    if (tier == std::string("ledger") && sidecars_.size() < 2) break;
    out << "[[tier]]\nname = \"" << tier << "\"\n"
        << (tier == std::string("front") && sidecars_.size() > 1 ? "calls = [\"ledger\"]\n" : "")
        << "coordinators = [" << members << "]\nnodes = \"/linen-track/servers\"\n"
        << "register_under = \"/linen-track/sidecars\"\nsession = \"2s\"\nguard_hold = \"2s\"\nkeeps_keys = "
           "\"10s\"\n";
  }
  // With a release processes are replaced all the time: what ends need not wait long for its clients.
  const std::string times =
      rollout() ? "aim = \"700ms\"\ngive_up = \"1s\"\n" : "aim = \"1500ms\"\ngive_up = \"4s\"\n";
  out << "[[class]]\nname = \"lot-status\"\nmethod = \"GET\"\nrepeat = \"safe\"\n"
      << times
      << "worth = 2\ntraffic = 0.6\n[[class]]\nname = \"handover\"\nmethod = \"POST\"\nrepeat = \"keyed\"\n"
      << "key = \"Idempotency-Key\"\nkey_window = \"6s\"\nkey_scope = \"zone\"\n"
      << times << "worth = 6\ntraffic = 0.4\n";
  if (rollout()) out << "[[class]]\n" << kGoodCount << times << "worth = 1\n";
  if (plan_.slots > 0) {
    for (size_t i = 0; i < 2; ++i) {
      out << "[[tenant]]\nname = \"" << kTenants[i] << "\"\nshare = " << kShares[i]
          << "\nrate = " << kShares[i] * plan_.rate << "\n";
    }
  }
  for (size_t i = 0; i < agents_.size(); ++i) {
    out << "[[host]]\nname = \"" << agents_[i].host << "\"\naddress = \"" << own_ << "\"\nzone = \""
        << kZoneNames[static_cast<size_t>(ZoneOfAgent(static_cast<int>(i)))]
        << "\"\ndescriptors = 1048576\nmemory = \"512GiB\"\ncores = 1000\n";
  }
  for (size_t i = 0; i < sidecars_.size(); ++i) {
    out << "[[sidecar]]\nname = \"" << sidecars_[i].name << "\"\ntier = \"" << TierOf(static_cast<int>(i))
        << "\"\nhost = \"" << agents_[i % agents_.size()].host << "\"\nlisten = \""
        << net::PrintAddress(sidecars_[i].listen) << "\"\nconsole = \"" << sidecars_[i].console << "\"\n";
    if (rollout()) out << "console_spare = \"" << At(own_, kSpare + static_cast<int>(i)) << "\"\n";
  }
  for (int i = 0; rollout() && i < plan_.servers; ++i) {
    out << "[[server]]\nname = \"s" << i << "\"\ntier = \"front\"\nhost = \""
        << agents_[static_cast<size_t>(i) % agents_.size()].host << "\"\n";
  }
  return out.str();
}

// The files as the tool writes them, with this bed's relays in the links' places.
void World::WriteFiles() {
  config::Findings findings;
  const std::string text = Description();
  auto app = config::ReadApplication("bed.toml", text, &findings);
  if (app) config::CheckApplication(*app, &findings);
  if (!findings.empty())
    throw std::runtime_error("the bed's description: " + config::PrintLine(findings.list()[0]));
  const auto put = [&](const std::string& name, const std::string& bytes) {
    const std::string path = folder_ + "/" + name;
    if (const std::string error = files::WriteFileAtomically(path, bytes); !error.empty())
      throw std::runtime_error(error);
    return path;
  };
  put("description.toml", text);
  Json none = Json::array();
  for (Agent& agent : agents_) {
    const std::string plan = app->sites.given ? sites::Print(planner::MakePlan(*app)) : "";
    for (const config::WrittenFile& file : config::WriteSidecars(*app, agent.host, plan)) {
      Json json = Json::parse(file.text);
      json.erase("written");
      if (json.contains("kind")) {
        json["servers"] = Json::array();
        for (const auto& relay : agent.to_service) json["servers"].push_back(relay->address());
        for (Json& sidecar : json["sidecars"]) {
          // Agents start processes at these addresses of their own host.
          if (rollout() && sidecar["host"] == agent.host) continue;
          for (size_t i = 0; i < sidecars_.size(); ++i) {
            if (sidecars_[i].name != sidecar["name"]) continue;
            sidecar["console"] = agent.to_consoles[i]->address();
            if (rollout()) sidecar["spare"] = agent.to_spares[i]->address();
          }
        }
        for (Json& budget : plan_.most_out > 0 ? json["rollout"]["budgets"] : none) {
          if (budget["of"] == "sidecars") budget["most"] = plan_.most_out;
        }
        agent.file = put(file.name, json.dump(1));
        continue;
      }
      for (Sidecar& sidecar : sidecars_) {
        if (json["name"] != sidecar.name) continue;
        json["membership"]["servers"] = Json::array();
        for (const auto& relay : sidecar.to_service)
          json["membership"]["servers"].push_back(relay->address());
        json["settings"]["tier"] = 0;  // clients reach each of them
        if (sites()) {
          const auto viewer =
              static_cast<size_t>(ZoneOfSidecar(static_cast<int>(&sidecar - sidecars_.data())));
          json["membership"]["path"] = PathOf(viewer);
          json["settings"]["balancers"] = plan_.sidecars;  // all send to the same servers
        }
        sidecar.file = put(file.name, json.dump(1));
      }
    }
  }
}

bool World::Start(std::string* why) {
  std::vector<std::string> coordinator = {programs_.lab,    "coordinator",
                                          "--control",      control_address_,
                                          "--commits",      folder_ + "/commits",
                                          "--seed",         std::to_string(plan_.seed),
                                          "--zxid",         std::to_string(plan_.zxid),
                                          "--most-seconds", "3600"};
  for (const std::string& member : members_) coordinator.insert(coordinator.end(), {"--listen", member});
  service_ = std::make_unique<Process>(coordinator, folder_ + "/service.log");
  const auto connects = [&](const std::string& address) {
    net::Message none;
    Caller caller(loop_, *net::ParseAddress(address));
    bool over = false;
    caller.Ask("", [&](const net::Message&) { over = true; });
    loop_.RunUntil([&] { return over; }, 20ms);
    return !over;  // what listens takes it and says nothing
  };
  for (int i = 0; i < 250 && !connects(control_address_); ++i) loop_.RunUntil([] { return false; }, 20ms);
  control_ = std::make_unique<ControlLine>(loop_, control_address_);
  if (!loop_.RunUntil([&] { return control_->up(); }, 5s)) {
    *why = "the service did not come up: " + files::ReadFile(folder_ + "/service.log", 4096).text;
    return false;
  }
  for (const char* path : {"/linen-track", "/linen-track/servers", "/linen-track/sidecars"}) {
    control_->Say(std::string("create ") + path);
  }
  for (int zone = 0; sites() && zone < plan_.zones; ++zone) {
    control_->Say("create " + PathOf(static_cast<size_t>(zone)));
  }
  for (int zone = 0; sites() && zone < server_zones(); ++zone) StartServers(zone);
  std::vector<std::string> servers = {programs_.lab,
                                      "fleet",
                                      "servers",
                                      "--count",
                                      std::to_string(plan_.servers),
                                      "--path",
                                      "/linen-track/servers",
                                      "--ledger",
                                      folder_ + "/ledger",
                                      "--seed",
                                      std::to_string(plan_.seed)};
  for (const std::string& member : members_) servers.insert(servers.end(), {"--coordinator", member});
  if (!sites() && !rollout()) servers_ = std::make_unique<Process>(servers, folder_ + "/servers.log");
  for (int i = 0; rollout() && i < plan_.servers; ++i) StartServer(i);
  for (int i = 0; i < plan_.sidecars; ++i) StartSidecar(i);
  const net::Time end = net::Clock::now() + 15s;
  for (int i = 0; i < plan_.sidecars; ++i) {
    while (!SidecarReady(i)) {
      if (net::Clock::now() > end || sidecar(i)->Ended()) {
        *why = "a sidecar did not come up: " +
               files::ReadFile(sidecars_[static_cast<size_t>(i)].logs.back(), 4096).text;
        return false;
      }
      loop_.RunUntil([] { return false; }, 20ms);
    }
  }
  for (int i = 0; i < plan_.agents; ++i) StartAgent(i);
  // The lists are read, and where servers are cold at first they are so no more.
  loop_.RunUntil([] { return false; }, sites() ? kCold + 300ms : 300ms);
  commits_.open(folder_ + "/commits");
  return true;
}

void World::StartAgent(int i) {
  Agent& agent = agents_[static_cast<size_t>(i)];
  std::vector<std::string> command = {programs_.agent, "--config", agent.file};
  if (!programs_.wrong_agent.empty()) {
    command = {programs_.lab, "fleet",   "wrong-agent",        "--config",
               agent.file,    "--wrong", programs_.wrong_agent};
  }
  agent.process.reset();
  agent.process = std::make_unique<Process>(
      command, folder_ + "/" + agent.host + ".log." + std::to_string(++agent.lives));
}

void World::StartSidecar(int i) {
  Sidecar& sidecar = sidecars_[static_cast<size_t>(i)];
  sidecar.logs.push_back(folder_ + "/" + sidecar.name + ".log." + std::to_string(++sidecar.lives));
  std::vector<std::string> command = {programs_.sidecar, "--config", sidecar.file};
  if (rollout()) command.insert(command.begin(), {"/usr/bin/env", "TMPDIR=" + folder_});
  if (programs_.unfenced) {
    command = {programs_.lab, "fleet", "unfenced", "--console", sidecar.console, "--name", sidecar.name};
  }
  sidecar.process.reset();
  sidecar.process = std::make_unique<Process>(command, sidecar.logs.back());
}

void World::KillAgent(int i, int signal) {
  if (agent(i) != nullptr) agent(i)->Tell(signal);
}
void World::KillSidecar(int i, int signal) {
  if (sidecar(i) != nullptr) sidecar(i)->Tell(signal);
}
void World::StopService(int signal) { service_->Tell(signal); }

namespace {
std::vector<Relay*> Raw(const std::vector<std::unique_ptr<Relay>>& relays) {
  std::vector<Relay*> raw;
  for (const auto& relay : relays) raw.push_back(relay.get());
  return raw;
}
}  // namespace

std::vector<Relay*> World::ToService(int agent) {
  return Raw(agents_[static_cast<size_t>(agent)].to_service);
}
std::vector<Relay*> World::ToConsoles(int agent) {
  std::vector<Relay*> all = Raw(agents_[static_cast<size_t>(agent)].to_consoles);
  const std::vector<Relay*> spares = Raw(agents_[static_cast<size_t>(agent)].to_spares);
  all.insert(all.end(), spares.begin(), spares.end());
  return all;
}
std::vector<Relay*> World::SidecarToService(int i) {
  return Raw(sidecars_[static_cast<size_t>(i)].to_service);
}

std::string World::Call(const net::Address& to, const std::string& request, int* status) {
  net::Message answer;
  Caller caller(loop_, to);
  caller.Ask(request, [&](const net::Message& a) { answer = a; });
  loop_.RunUntil([&] { return !caller.asking; }, 500ms);
  *status = answer.status;
  return answer.body;
}

bool World::SidecarReady(int i) {
  int status = 0;
  Console(i, "/v1/readyz", &status);
  return status == 200;
}

std::string World::Console(int i, const std::string& path, int* status) {
  const Sidecar& sidecar = sidecars_[static_cast<size_t>(i)];
  return Call(*net::ParseAddress(sidecar.console), "GET " + path + " HTTP/1.1\r\nHost: s\r\n\r\n", status);
}

void World::Follow() {
  if (!commits_.is_open()) return;
  commits_.clear();
  std::string fresh((std::istreambuf_iterator<char>(commits_)), std::istreambuf_iterator<char>());
  rest_ += fresh;
  const size_t end = rest_.rfind('\n');
  if (end == std::string::npos) return;
  const std::string prefix = base_ + "/duties/";
  for (const ServiceLine& line : ReadServiceLines(std::string_view(rest_).substr(0, end + 1))) {
    if (!line.path.starts_with(prefix)) continue;
    const std::string rest = line.path.substr(prefix.size());
    const size_t slash = rest.find('/');
    if (slash == std::string::npos) continue;
    Duty& duty = duties_[rest.substr(0, slash)];
    const std::string below = rest.substr(slash + 1);
    if (below == "journal" && line.what == "set") {
      if (prefix + "rollout/journal" == line.path) ++rollout_writes_;
      const auto read = fleet::ReadJournal(line.data);
      const auto* journal = std::get_if<owner::Journal>(&read);
      if (journal != nullptr && journal->committed) {
        ++duty.commits;
        if (prefix + "rollout/journal" == line.path) rollout_state_ = journal->state;
        duty.last = net::Time(std::chrono::microseconds(line.us));
      }
    }
    if (!below.starts_with("claims/")) continue;
    const auto name = owner::ReadClaimName(below.substr(7));
    if (!name) continue;
    if (line.what == "deleted") {
      duty.claims.erase(name->number);
    } else if (line.what == "created") {
      const auto agent = fleet::ReadAgent(line.data);
      int who = -1;
      for (size_t i = 0; i < agents_.size(); ++i) {
        if (const auto* a = std::get_if<fleet::Agent>(&agent); a != nullptr && a->host == agents_[i].host) {
          who = static_cast<int>(i);
        }
      }
      duty.claims[name->number] = {line.zxid, who};
      duty.names[name->number] = line.path;
    }
  }
  rest_.erase(0, end + 1);
}

int World::OwnerOf(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() || it->second.claims.empty() ? -1 : it->second.claims.begin()->second.second;
}

std::int64_t World::TermOf(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() || it->second.claims.empty() ? 0 : it->second.claims.begin()->second.first;
}

std::string World::ClaimOf(const std::string& duty) const {
  const auto it = duties_.find(duty);
  if (it == duties_.end() || it->second.claims.empty()) return "";
  return it->second.names.at(it->second.claims.begin()->first);
}

std::uint64_t World::CommitsOf(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() ? 0 : it->second.commits;
}

net::Time World::last_commit(const std::string& duty) const {
  const auto it = duties_.find(duty);
  return it == duties_.end() ? net::Time() : it->second.last;
}

void World::Gather(Evidence* evidence) {
  evidence->base = base_;
  // Orders that links still hold arrive now, at places that are up.
  for (int i = 0; i < agents(); ++i) {
    for (Relay* relay : ToConsoles(i)) relay->Heal();
  }
  loop_.RunUntil([] { return false; }, 50ms);
  // Told once: a second SIGTERM may come when the program has put its handlers away.
  const auto tell = [](Process* process) {
    if (process == nullptr) return;
    process->Tell(SIGCONT);
    process->Tell(SIGTERM);
  };
  const auto end = [&](Process* process, const std::string& what, net::Span time) {
    if (process == nullptr) return;
    if (!loop_.RunUntil([&] { return process->Ended().has_value(); }, time)) {
      evidence->troubles.push_back(what + " did not end");
    } else if (*process->Ended() != 0) {
      evidence->troubles.push_back(what + " ended with status " + std::to_string(*process->Ended()));
    }
  };
  for (Agent& agent : agents_) tell(agent.process.get());
  for (Agent& agent : agents_) end(agent.process.get(), "the agent of " + agent.host, 5s);
  if (rollout()) {
    EndVersions();
    // Whoever was told at its console closes that first: no second word comes while it puts its handlers
    // away.
    const auto ended = [](const Sidecar& s) {
      return s.process == nullptr || s.process->Ended().has_value();
    };
    loop_.RunUntil([&] { return std::all_of(sidecars_.begin(), sidecars_.end(), ended); }, 5s);
    for (Sidecar& sidecar : sidecars_) {
      if (!ended(sidecar)) tell(sidecar.process.get());
    }
  } else {
    for (Sidecar& sidecar : sidecars_) tell(sidecar.process.get());
  }
  for (Sidecar& sidecar : sidecars_) end(sidecar.process.get(), sidecar.name, 10s);
  tell(servers_.get());
  end(servers_.get(), "the servers", 5s);
  for (auto& servers : zone_servers_) tell(servers.get());
  for (auto& servers : zone_servers_) end(servers.get(), "a zone's servers", 5s);
  for (auto& server : server_processes_) tell(server.get());
  for (auto& server : server_processes_) end(server.get(), "a server", 5s);
  for (const Sidecar& sidecar : sidecars_) {
    PlaceLog place;
    place.name = sidecar.name;
    for (const std::string& log : sidecar.logs) ReadPlaceLog(files::ReadFile(log, kLargestLog).text, &place);
    // And those of processes that agents started, in the order of their starts.
    for (const std::string& log : LivesOf(sidecar.name)) {
      ReadPlaceLog(files::ReadFile(log, kLargestLog).text, &place);
      place.spans.back().by_agent = true;
    }
    evidence->places.push_back(std::move(place));
  }
  evidence->service = ReadServiceLines(files::ReadFile(folder_ + "/commits", kLargestLog).text);
  if (sites()) return GatherZones(evidence);
  if (rollout()) return GatherRollout(evidence);
  const Json ledger = Json::parse(files::ReadFile(folder_ + "/ledger", 1 << 20).text, nullptr, false);
  if (!ledger.is_object()) {
    evidence->troubles.push_back("the servers left no ledger");
    return;
  }
  evidence->asked.doubled = ledger.value("doubled", std::uint64_t{0});
  evidence->asked.at_once = ledger.value("at_once", std::uint64_t{0});
}

// What the plan is made from: each zone can do all that comes, twice over.
std::string World::SitesText() const {
  std::ostringstream out;
  out << "[sites]\nsilence = \"600ms\"\nprobes = 40\n";
  for (size_t z = 0; z < static_cast<size_t>(plan_.zones); ++z) {
    const double can = z < static_cast<size_t>(server_zones()) ? plan_.rate : 0;
    for (const char* tier : {"front", "ledger"})
      out << "[[sites.capacity]]\nzone = \"" << kZoneNames[z] << "\"\ntier = \"" << tier
          << "\"\ntotal = " << can << "\n";
    out << "[[sites.demand]]\nzone = \"" << kZoneNames[z] << "\"\nrate = " << plan_.rate / plan_.zones
        << "\n";
    for (size_t y = 0; y < z; ++y)
      out << "[[sites.way]]\nbetween = [\"" << kZoneNames[y] << "\", \"" << kZoneNames[z]
          << "\"]\ntime = \"1ms\"\n";
  }
  return out.str();
}

// Each server is reached from each zone by a relay of its own, whose address stands in the list of that zone.
void World::MakeServers() {
  const auto zones = static_cast<size_t>(plan_.zones);
  const auto with_servers = static_cast<size_t>(server_zones());
  zone_servers_.resize(zones);
  to_servers_.resize(zones);
  for (auto& viewer : to_servers_) viewer.resize(zones);
  for (size_t zone = 0; zone < with_servers; ++zone) {
    Json list = Json::array();
    for (int i = 0; i < plan_.servers; ++i) {
      if (static_cast<size_t>(i) % with_servers != zone) continue;
      const std::string listen = At(own_, kServers + i);
      Json faces = Json::array();
      for (size_t viewer = 0; viewer < zones; ++viewer) {
        auto relay = std::make_unique<Relay>(loop_, own_, listen);
        relay->seen = [this, viewer, zone](std::string_view bytes) {
          const bool request = bytes.starts_with("GET /api") || bytes.starts_with("POST /api");
          if (!request && !bytes.starts_with("GET /-/")) return;
          const auto us =
              std::chrono::duration_cast<std::chrono::microseconds>(net::Clock::now().time_since_epoch());
          const std::string_view mark = "X-Request-ID: r";
          const size_t at = bytes.find(mark);
          const std::string number(at == std::string_view::npos ? "0" : bytes.substr(at + mark.size(), 9));
          zone_sends_.push_back({static_cast<int>(viewer), static_cast<int>(zone), us.count(), request,
                                 std::strtoull(number.c_str(), nullptr, 10)});
        };
        faces.push_back({PathOf(viewer), relay->address()});
        to_servers_[viewer][zone].push_back(std::move(relay));
      }
      list.push_back({{"id", "s" + std::to_string(i)},
                      {"zone", kZoneNames[zone]},
                      {"listen", listen},
                      {"work_ms", plan_.work_ms},
                      {"slots", plan_.slots},
                      {"faces", faces}});
    }
    const std::string error =
        files::WriteFileAtomically(folder_ + "/servers-" + kZoneNames[zone] + ".json", list.dump());
    if (!error.empty()) throw std::runtime_error(error);
  }
}

std::vector<std::string> World::ServersCommand(const std::string& file, const std::string& ledger) const {
  std::vector<std::string> command = {programs_.lab,
                                      "fleet",
                                      "servers",
                                      "--servers",
                                      folder_ + "/" + file,
                                      "--ledger",
                                      folder_ + "/" + ledger,
                                      "--seed",
                                      std::to_string(plan_.seed)};
  for (const std::string& member : members_) command.insert(command.end(), {"--coordinator", member});
  return command;
}

void World::StartServers(int zone) {
  auto& process = zone_servers_[static_cast<size_t>(zone)];
  process.reset();
  const std::string& name = kZoneNames[static_cast<size_t>(zone)];
  process = std::make_unique<Process>(ServersCommand("servers-" + name + ".json", "ledger-" + name),
                                      folder_ + "/servers-" + name + ".log");
}

std::vector<Relay*> World::ToServers(int viewer, int zone) {
  return Raw(to_servers_[static_cast<size_t>(viewer)][static_cast<size_t>(zone)]);
}

std::vector<Relay*> World::ConsolesBetween(int agent, int zone) {
  std::vector<Relay*> relays;
  const auto& all = agents_[static_cast<size_t>(agent)].to_consoles;
  for (int i = 0; i < plan_.sidecars; ++i) {
    if (ZoneOfSidecar(i) == zone) relays.push_back(all[static_cast<size_t>(i)].get());
  }
  return relays;
}

void World::GatherZones(Evidence* evidence) {
  evidence->zones.names.assign(kZoneNames.begin(), kZoneNames.begin() + plan_.zones);
  evidence->zones.probes_per_s = 40;
  evidence->zones.sends = zone_sends_;
  for (int i = 0; i < plan_.sidecars; ++i) evidence->places[static_cast<size_t>(i)].zone = ZoneOfSidecar(i);
  for (const std::string& zone : evidence->zones.names) {
    ReadWorked(files::ReadFile(folder_ + "/ledger-" + zone, kLargestLog).text, &evidence->zones);
  }
}

}  // namespace umberdyke::lab

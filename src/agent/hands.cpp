#include "agent/hands.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/sidecars.h"
#include "platform/console_calls.h"
#include "platform/server_pages.h"

namespace umberdyke::agent {

using namespace std::chrono_literals;
using log::Event;
using net::Clock;
using net::Span;
using nodes::NodeStat;
using nodes::Op;
using rollout::Permit;
using rollout::Report;
using rollout::Step;

namespace {

constexpr Span kRest = 100ms;      // between two turns with something to do
constexpr Span kIdle = 250ms;      // and with nothing
constexpr Span kCallTime = 500ms;  // of a console, and of a server

std::chrono::milliseconds Ms(std::chrono::microseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}
rollout::milliseconds Since(net::Time then) {
  return then == net::Time() ? rollout::milliseconds(0)
                             : std::chrono::duration_cast<rollout::milliseconds>(Clock::now() - then);
}

}  // namespace

Hands::Hands(net::Loop& loop, nodes::NodeClient& client, const config::AgentFile& settings,
             const fleet::Paths& paths, net::Counters& counters, log::Log& log)
    : client_(client),
      settings_(settings),
      paths_(paths),
      counters_(counters),
      log_(log),
      consoles_(loop),
      children_(loop),
      turn_(loop, [this] { Turn(); }) {}

void Hands::Opened() {
  open_ = true;
  ++run_;
  turn_.Start(0ms);
}

void Hands::Interrupted() {
  open_ = false;
  ++run_;
  turn_.Stop();
  consoles_.Drop();
}

std::function<bool()> Hands::Still() const {
  const std::weak_ptr<char> alive = alive_;
  return [this, alive, run = run_] { return !alive.expired() && run == run_; };
}

void Hands::Again() { turn_.Start(waiting_.empty() ? kIdle : kRest); }

void Hands::Say(Event event, const Permit& permit, const std::string& what) {
  log_.Say(event, permit.unit + ": " + what,
           {{"unit", permit.unit},
            {"action", std::string(rollout::Name(permit.action))},
            {"serial", permit.serial},
            {"what", what}});
}

const config::AgentFile::Sidecar* Hands::Sidecar(const std::string& name) const {
  const auto it = std::find_if(settings_.sidecars.begin(), settings_.sidecars.end(),
                               [&](const auto& one) { return one.name == name; });
  return it == settings_.sidecars.end() ? nullptr : &*it;
}

const config::AgentFile::Server* Hands::Server(const std::string& name) const {
  const auto it = std::find_if(settings_.real_servers.begin(), settings_.real_servers.end(),
                               [&](const auto& one) { return one.name == name; });
  return it == settings_.real_servers.end() ? nullptr : &*it;
}

std::string Hands::Lock(const std::string& sidecar, int slot) const {
  return settings_.rollout->run_folder + "/umberdyke-" + settings_.application + "-" + sidecar + "-" +
         std::to_string(slot) + ".lock";
}

// --- One round ---

void Hands::Turn() {
  if (!open_ || !client_.connected()) return;
  ++run_;  // what an earlier round still has out counts no more
  Read(std::make_shared<Round>());
}

void Hands::Read(const std::shared_ptr<Round>& round) {
  const auto still = Still();
  const auto bad = [this](const std::string& why) {
    if (why != unreadable_) log_.Say(Event::kFleetRefused, "no permit is used: " + why, {{"why", why}});
    unreadable_ = why;
    turn_.Start(1s);
  };
  client_.Read(paths_.Permits(settings_.host),
               [this, still, round, bad](int rc, const std::string& text, const NodeStat& stat) {
                 if (!still()) return;
                 if (rc == nodes::kNoNode) return turn_.Start(kIdle);
                 if (rc != nodes::kOk) return;
                 std::string why;
                 auto permits = rollout::ReadPermits(text, &why);
                 if (!permits) return bad(why);
                 round->permits = std::move(*permits);
                 round->permits_version = stat.version;
               });
  client_.Read(paths_.Reports(settings_.host),
               [this, still, round, bad](int rc, const std::string& text, const NodeStat& stat) {
                 if (!still() || rc != nodes::kOk || round->permits_version < 0) return;
                 std::string why;
                 auto reports = rollout::ReadReports(text, &why);
                 if (!reports) return bad(why);
                 unreadable_.clear();
                 round->reports = std::move(*reports);
                 round->reports_version = stat.version;
                 round->open = 1;
                 for (const Permit& permit : round->permits) LookAt(round, permit);
                 Over(round);
               });
}

void Hands::Over(const std::shared_ptr<Round>& round) {
  if (--round->open == 0) Act(round);
}

void Hands::LookAt(const std::shared_ptr<Round>& round, const Permit& permit) {
  round->outside[permit.unit] = {};
  if (const auto* server = Server(permit.unit); server != nullptr)
    return LookAtServer(round, permit, *server);
  const auto* sidecar = Sidecar(permit.unit);
  if (sidecar == nullptr) return;
  for (int slot = 0; slot < 2; ++slot) {
    const std::string& console = slot == 0 ? sidecar->console : sidecar->spare;
    ++round->open;
    const auto still = Still();
    consoles_.Call(console, net::FleetRequest(), kCallTime,
                   [this, still, round, slot, unit = permit.unit](ConsoleAnswer answer) {
                     if (!still()) return;
                     rollout::Slot& seen = round->outside[unit].slots[static_cast<std::size_t>(slot)];
                     seen.locked = Locked(Lock(unit, slot));
                     if (const auto said = SaidBy(unit, settings_.application, answer)) {
                       const std::string state = said->Text("state");
                       seen.answers = true;
                       seen.serving = state == "serving";
                       seen.drained = state == "drained";
                       seen.ending = state == "ending";
                       seen.label = said->Text("release");
                       if (seen.label.empty()) seen.label = settings_.rollout->label;
                       seen.life = said->Text("life");
                     }
                     Over(round);
                   });
  }
}

void Hands::LookAtServer(const std::shared_ptr<Round>& round, const Permit& permit,
                         const config::AgentFile::Server& server) {
  ++round->open;
  const auto still = Still();
  client_.Read(server.nodes + "/" + server.name, [this, still, round, permit](int rc, const std::string& text,
                                                                              const NodeStat& stat) {
    if (!still()) return;
    rollout::Outside& seen = round->outside[permit.unit];
    const auto node = rc == nodes::kOk ? net::ParseServerNode(text) : std::nullopt;
    if (!node) return Over(round);
    seen.listed = true;
    seen.draining = node->draining;
    seen.birth = stat.created_zxid;
    if (!seen.draining) return Over(round);
    // What was told to leave has its time first; then nothing may be under way.
    Waiting& waiting = waiting_[permit.unit];
    if (waiting.leaving_since == net::Time()) waiting.leaving_since = Clock::now();
    if (Since(waiting.leaving_since) < net::kServerDrainTime) return Over(round);
    consoles_.Call(node->address, net::LoadRequest(), kCallTime,
                   [this, still, round, unit = permit.unit](ConsoleAnswer answer) {
                     if (!still()) return;
                     round->outside[unit].at_rest = answer.status == 0 || net::ReportsIdle(answer.body);
                     Over(round);
                   });
  });
}

rollout::Waits Hands::Waited(const Permit& permit, const rollout::Outside& outside) {
  Waiting& waiting = waiting_[permit.unit];
  if (waiting.serial != permit.serial) waiting = {permit.serial, {}, {}, waiting.leaving_since};
  const auto count = [](bool on, net::Time* since) {
    if (!on) *since = {};
    if (on && *since == net::Time()) *since = Clock::now();
  };
  bool coming = false, ending = false, fresh = false;
  for (const rollout::Slot& slot : outside.slots) {
    const bool wanted = slot.answers && slot.label == permit.to.label && !slot.ending;
    fresh = fresh || (wanted && slot.serving);
    coming = coming || (wanted && !slot.serving) || (!slot.answers && slot.locked);
    ending = ending || slot.ending;
  }
  if (Server(permit.unit) != nullptr) {
    coming = permit.action == rollout::Do::kRestart;
  } else {
    coming = coming && !fresh;
    ending = ending || (fresh && (outside.slots[0].locked || outside.slots[0].answers) &&
                        (outside.slots[1].locked || outside.slots[1].answers));
  }
  count(coming, &waiting.ready_since);
  count(ending, &waiting.end_since);
  return {Since(waiting.ready_since), Since(waiting.end_since)};
}

void Hands::Act(const std::shared_ptr<Round>& round) {
  std::erase_if(waiting_, [&](const auto& one) {
    return std::none_of(round->permits.begin(), round->permits.end(),
                        [&](const Permit& p) { return p.unit == one.first; });
  });
  const rollout::Limits limits{Ms(settings_.rollout->ready_within), Ms(settings_.rollout->end_within), 2};
  for (const Permit& permit : round->permits) {
    const auto said = round->reports.find(permit.unit);
    const auto report = said == round->reports.end() ? std::nullopt : std::optional(said->second);
    const bool server = Server(permit.unit) != nullptr;
    if (!server && Sidecar(permit.unit) == nullptr) continue;  // another description's: its owner will see
    const Step step = rollout::Next(permit, report, server, round->outside[permit.unit], limits,
                                    Waited(permit, round->outside[permit.unit]));
    if (step.kind == Step::Kind::kNothing) continue;
    // One step a round: what is written next rests on the version that this one leaves.
    return Do(round, permit, step);
  }
  Again();
}

void Hands::Write(const std::shared_ptr<Round>& round, const Permit& permit, const Report& report,
                  bool with_permit, std::function<void()> then) {
  std::map<std::string, Report> reports = round->reports;
  reports[permit.unit] = report;
  // Of units without a permit nobody asks any more.
  std::erase_if(reports, [&](const auto& one) {
    return std::none_of(round->permits.begin(), round->permits.end(),
                        [&](const Permit& p) { return p.unit == one.first; });
  });
  std::vector<Op> ops;
  if (with_permit)
    ops.push_back({Op::Kind::kCheck, paths_.Permits(settings_.host), "", round->permits_version});
  ops.push_back({Op::Kind::kSet, paths_.Reports(settings_.host), rollout::PrintReports(reports),
                 round->reports_version});
  const auto still = Still();
  client_.Multi(ops, [this, still, then](int rc, const std::vector<int>&) {
    if (!still()) return;
    if (rc != nodes::kOk) counters_.Add("permits_changed_meanwhile");
    if (rc == nodes::kOk && then) then();
    Again();
  });
}

void Hands::Do(const std::shared_ptr<Round>& round, const Permit& permit, const Step& step) {
  using Kind = Step::Kind;
  const auto* sidecar = Sidecar(permit.unit);
  const std::string console = sidecar == nullptr ? "" : step.slot == 0 ? sidecar->console : sidecar->spare;
  const auto call = [&](std::string request) {
    const auto still = Still();
    consoles_.Call(console, std::move(request), kCallTime, [this, still](ConsoleAnswer) {
      if (still()) Again();
    });
  };
  switch (step.kind) {
    case Kind::kNothing:
      return Again();
    case Kind::kClaim:
    case Kind::kStay:
      counters_.Add(step.kind == Kind::kClaim ? "permits_used" : "permits_unused");
      return Write(round, permit, step.report, true, [this, permit, said = step.report.said] {
        Say(Event::kUnitGoes, permit, said == rollout::Said::kGoing ? "goes" : "stays");
      });
    case Kind::kStart:
      return Write(round, permit, step.report, false,
                   [this, permit, slot = step.slot] { Start(permit, slot); });
    case Kind::kCommand:
      return Write(round, permit, step.report, false, [this, permit] { RunCommand(permit); });
    case Kind::kSay:
      return Write(round, permit, step.report, false, [this, permit, report = step.report] {
        Say(Event::kUnitGoes, permit, std::string(rollout::Name(report.said)) + " " + report.why);
      });
    case Kind::kEnd:
      Say(Event::kUnitGoes, permit, "ends the process of life " + step.life.substr(0, 8));
      return call(net::EndProcessRequest(step.life));
    case Kind::kPutAside:
      return call(net::EndpointRequest(net::ConsoleEndpoint::kDrain));
    case Kind::kTakeBack:
      return call(net::EndpointRequest(net::ConsoleEndpoint::kActivate));
    case Kind::kKill:
      counters_.Add("processes_killed");
      Say(Event::kUnitGoes, permit, "kills the process that it started and that does not serve");
      if (!KillLocked(Lock(permit.unit, step.slot)))
        Say(Event::kUnitGoes, permit, "which cannot be found: end it by hand");
      waiting_[permit.unit].ready_since = waiting_[permit.unit].end_since = {};
      return Again();
    case Kind::kTellLeaving:
    case Kind::kTellReady:
      return Tell(round, permit, step.kind == Kind::kTellLeaving);
  }
}

void Hands::Start(const Permit& permit, int slot) {
  const auto* sidecar = Sidecar(permit.unit);
  Command command;
  command.words = {permit.to.program, "--config",
                   permit.to.files + "/" + settings_.application + "." + permit.unit + ".json"};
  // Both processes have to see one folder, so that the old one hands its listening socket over.
  command.environment = {{"ROUTER_CONSOLE", slot == 0 ? sidecar->console : sidecar->spare},
                         {"UMBERDYKE_RELEASE", permit.to.label},
                         {"TMPDIR", settings_.rollout->run_folder}};
  command.lock = Lock(permit.unit, slot);
  counters_.Add("processes_started");
  waiting_[permit.unit].ready_since = {};
  const std::weak_ptr<char> alive = alive_;
  const std::string error = children_.Spawn(command, [this, alive, permit](int status) {
    if (!alive.expired())
      Say(Event::kUnitGoes, permit, "its process has ended with status " + std::to_string(status));
  });
  Say(Event::kUnitGoes, permit,
      error.empty() ? "starts version " + permit.to.label + " at console " + command.environment[0].second
                    : "cannot start version " + permit.to.label + ": " + error);
}

void Hands::RunCommand(const Permit& permit) {
  Command command;
  for (std::string word : settings_.rollout->server_command) {
    const size_t at = word.find("{name}");
    if (at != std::string::npos) word.replace(at, 6, permit.unit);
    command.words.push_back(std::move(word));
  }
  counters_.Add("commands_run");
  std::string error = "there is no server_command";
  const std::weak_ptr<char> alive = alive_;
  if (!command.words.empty())
    error = children_.Spawn(command, [this, alive, permit](int status) {
      if (!alive.expired())
        Say(Event::kUnitGoes, permit, "the command has ended with status " + std::to_string(status));
    });
  Say(Event::kUnitGoes, permit, error.empty() ? "runs the command" : "cannot run the command: " + error);
}

// The server's own data with another state, over the version that was read: what it wrote meanwhile stays.
// And only where the reports are still those that this step rests on: whoever wakes late tells nobody to
// leave who has been restarted and is back.
void Hands::Tell(const std::shared_ptr<Round>& round, const Permit& permit, bool leaving) {
  const auto* server = Server(permit.unit);
  const std::string path = server->nodes + "/" + server->name;
  const auto still = Still();
  client_.Read(path, [this, still, round, path, leaving, permit](int rc, const std::string& text,
                                                                 const NodeStat& stat) {
    if (!still()) return;
    const auto changed = rc == nodes::kOk ? net::WithState(text, leaving) : std::nullopt;
    if (!changed) return Again();
    const Op as_read{Op::Kind::kCheck, paths_.Reports(settings_.host), "", round->reports_version};
    client_.Multi({as_read, {Op::Kind::kSet, path, *changed, stat.version}},
                  [this, still, leaving, permit](int set, const auto&) {
                    if (!still()) return;
                    if (set == nodes::kOk)
                      Say(Event::kUnitGoes, permit, leaving ? "is told to leave" : "is told to come back");
                    Waiting& waiting = waiting_[permit.unit];
                    waiting.leaving_since = leaving ? Clock::now() : net::Time();
                    Again();
                  });
  });
}

}  // namespace umberdyke::agent

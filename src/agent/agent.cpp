#include "agent/agent.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <utility>

#include "agent/census.h"
#include "agent/sites.h"
#include "agent/tidying.h"
#include "fleet/view.h"

namespace umberdyke::agent {

using namespace std::chrono_literals;
using log::Event;
using net::Span;
using nodes::NodeStat;

namespace {

constexpr Span kAgain = 1s;         // after a refusal, or beside another agent of the same name
constexpr Span kRenewAfter = 50ms;  // after a session that has expired
constexpr Span kLongestEnd = 500ms;
constexpr Span kSpread = 60ms;  // between the standing of two hosts for one duty, at the start
constexpr Span kMostSpread = 2s;
constexpr size_t kMostFolders = 64;

std::string DrawInstance() {
  std::random_device random;
  char text[24];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

nodes::ClientSettings ClientOf(const config::AgentFile& settings) {
  nodes::ClientSettings client;
  client.servers = settings.servers;
  client.session = std::chrono::duration_cast<std::chrono::milliseconds>(settings.session);
  const auto auth = fleet::ReadAuth(settings.auth_file);
  if (const auto* bad = std::get_if<fleet::Unreadable>(&auth)) throw std::runtime_error(bad->why);
  client.auth = std::get<std::string>(auth);
  return client;
}

// Where this host stands among all for a duty: each duty has an order of its own.
Span StandAfter(const config::AgentFile& settings, std::string_view duty) {
  const auto weight = [&](const std::string& host) {
    const std::string text = host + "\n" + std::string(duty);
    return XXH3_64bits(text.data(), text.size());
  };
  const auto mine = weight(settings.host);
  const auto before = std::count_if(settings.hosts.begin(), settings.hosts.end(),
                                    [&](const std::string& host) { return weight(host) < mine; });
  return std::min<Span>(kSpread * before, kMostSpread);
}

}  // namespace

Agent::Agent(net::Loop& loop, const config::AgentFile& settings, std::shared_ptr<log::Log> log, Wrong wrong,
             WrongRollout wrong_rollout)
    : loop_(loop),
      settings_(settings),
      log_(std::move(log)),
      paths_{settings_.path},
      self_{settings_.host, settings_.zone, DrawInstance(), UMBERDYKE_VERSION},
      client_(loop, ClientOf(settings_),
              {[this](nodes::Session session) { OnSession(session); },
               [this](nodes::WatchEvent notice, const std::string& path) { OnNotice(notice, path); }}),
      again_(loop, [this] { SetUp(); }),
      renew_(loop, [this] { client_.StartNewSession(); }),
      end_(loop, [this] {
        client_.Stop();
        if (ended_) std::exchange(ended_, nullptr)();
      }) {
  std::vector<std::string> duties = {"census", "tidying"};
  if (settings_.sites) duties.push_back("sites");
  if (settings_.rollout) duties.push_back("rollout");
  for (size_t at = 1; (at = settings_.path.find('/', at)) != std::string::npos; ++at) {
    folders_.emplace_back(settings_.path.substr(0, at), "");
  }
  folders_.emplace_back(paths_.base, fleet::PrintRoot(settings_.application));
  for (const std::string& path :
       {paths_.Agents(), paths_.Hosts(), paths_.Duties(), paths_.Census(), paths_.Sites()}) {
    folders_.emplace_back(path, "");
  }
  if (settings_.rollout) {
    for (const std::string& path : {paths_.Rollout(), paths_.Permits(), paths_.Reports(), paths_.Wishes(),
                                    paths_.Permits(settings_.host), paths_.Reports(settings_.host)}) {
      folders_.emplace_back(path, "");
    }
  }
  for (const std::string& duty : duties) {
    for (const std::string& path :
         {paths_.Duty(duty), paths_.Claims(duty), paths_.Journal(duty), paths_.History(duty)}) {
      folders_.emplace_back(path, "");
    }
  }
  if (folders_.size() > kMostFolders) throw std::runtime_error("path lies too deep: " + settings_.path);
  owner::ClaimSettings claim;
  claim.id = self_.instance;
  claim.session_timeout = settings_.session;
  claim.clock_margin = settings_.margin;
  claim.resign_cooldown = settings_.rest;
  const auto add = [&](std::unique_ptr<Duty> duty) {
    const Span after = StandAfter(settings_, duty->name());
    runners_.push_back(
        std::make_unique<Runner>(Runner::Parts{loop_, client_, paths_, counters_, *log_, self_, claim, wrong},
                                 std::move(duty), after));
  };
  add(std::make_unique<CensusDuty>(loop_, settings_, paths_, counters_));
  if (settings_.sites) add(std::make_unique<SitesDuty>(loop_, settings_, paths_, counters_));
  if (settings_.rollout) {
    add(std::make_unique<RolloutDuty>(loop_, client_, settings_, paths_, counters_, *log_, wrong_rollout));
    hands_ = std::make_unique<Hands>(loop_, client_, settings_, paths_, counters_, *log_);
  }
  add(std::make_unique<TidyingDuty>(client_, settings_, paths_, duties, counters_));
}

Agent::~Agent() { client_.Abandon(); }

void Agent::Start() {
  log_->Say(Event::kAgentBegins,
            "the agent of host " + settings_.host + " begins, with " +
                std::to_string(settings_.sidecars.size()) + " sidecars on its list",
            {{"application", settings_.application},
             {"host", settings_.host},
             {"sidecars", static_cast<std::int64_t>(settings_.sidecars.size())}});
  client_.Start();
}

void Agent::End(std::function<void()> done) {
  if (ending_) return;
  ending_ = true;
  ended_ = std::move(done);
  for (const auto& runner : runners_) runner->Resign();
  end_.Start(client_.connected() ? kLongestEnd / 5 : Span(0));
}

void Agent::OnSession(nodes::Session session) {
  ++run_;
  switch (session) {
    case nodes::Session::kConnected:
      if (std::exchange(interrupted_, false)) {
        log_->Say(Event::kFleetConnected, "the coordination service is connected", {});
      }
      counters_.Add("fleet_connected");
      return SetUp();
    case nodes::Session::kInterrupted:
      if (!std::exchange(interrupted_, true)) {
        log_->Say(Event::kFleetInterrupted, "the coordination service is out of reach", {});
        counters_.Add("fleet_interrupted");
      }
      if (std::exchange(opened_, false)) {
        for (const auto& runner : runners_) runner->Interrupted();
        if (hands_) hands_->Interrupted();
      }
      return;
    case nodes::Session::kExpired:
      log_->Say(Event::kFleetExpired, "the agent's session has expired; a new one is made", {});
      counters_.Add("fleet_expired");
      interrupted_ = true;
      opened_ = false;
      for (const auto& runner : runners_) runner->Expired();
      if (hands_) hands_->Interrupted();
      if (!ending_) renew_.Start(kRenewAfter);
      return;
    case nodes::Session::kAuthFailed:
      log_->Say(Event::kFleetRefused, "the coordination service refuses user and password",
                {{"why", std::string("authentication failed")}});
      counters_.Add("fleet_auth_failed");
      return;
  }
}

void Agent::OnNotice(nodes::WatchEvent notice, const std::string& path) {
  for (const auto& runner : runners_) runner->Noticed(notice, path);
}

// One line for a run of refusals of one kind.
void Agent::Again(const std::string& why) {
  counters_.Add("fleet_refused");
  if (why != said_) {
    log_->Say(Event::kFleetRefused, "the agent takes no part: " + why, {{"why", why}});
    said_ = why;
  }
  again_.Start(kAgain);
}

void Agent::SetUp() {
  if (!client_.connected() || ending_) return;
  client_.Sync(paths_.base, [](int) {});
  CheckRoot();
}

// What stands there already is read before anything is made: another application's path is left as it is.
void Agent::CheckRoot() {
  client_.Read(paths_.base, [this, run = run_](int rc, const std::string& data, const NodeStat&) {
    if (run != run_ || rc == nodes::kConnectionLost) return;
    if (rc == nodes::kNoNode) return Make(0);
    if (rc != nodes::kOk) return Again(paths_.base + ": " + nodes::ErrorText(rc));
    const auto root = fleet::ReadRoot(data, settings_.application);
    if (const auto* bad = std::get_if<fleet::Unreadable>(&root)) return Again(paths_.base + ": " + bad->why);
    Make(0);
  });
}

void Agent::Make(size_t next) {
  if (next == folders_.size()) {
    // Made by another agent at the same time, it may be another application's after all.
    return client_.Read(paths_.base, [this, run = run_](int rc, const std::string& data, const NodeStat&) {
      if (run != run_ || rc != nodes::kOk) return;
      const auto root = fleet::ReadRoot(data, settings_.application);
      if (const auto* bad = std::get_if<fleet::Unreadable>(&root))
        return Again(paths_.base + ": " + bad->why);
      Register();
    });
  }
  const auto& [path, data] = folders_[next];
  client_.CreateNode(path, data, [this, next, run = run_](int rc) {
    if (run != run_ || rc == nodes::kConnectionLost) return;
    if (rc != nodes::kOk && rc != nodes::kNodeExists) {
      return Again(folders_[next].first + ": " + nodes::ErrorText(rc));
    }
    Make(next + 1);
  });
}

// Its own record; where another session holds it, this is a second agent of one name, or an earlier life of
// this one whose session has not run out.
void Agent::Register() {
  const std::string path = paths_.Agent(settings_.host);
  client_.CreateEphemeral(path, fleet::Print(self_), [this, path, run = run_](int rc) {
    if (run != run_ || rc == nodes::kConnectionLost) return;
    if (rc == nodes::kOk) return Open();
    if (rc != nodes::kNodeExists) return Again(path + ": " + nodes::ErrorText(rc));
    client_.Exists(path, false, [this, run](int there, const NodeStat& stat) {
      if (run != run_ || there == nodes::kConnectionLost) return;
      if (there == nodes::kOk && stat.owner == client_.session_id()) return Open();
      Again("another agent of host " + settings_.host + " is at work, or its session has not run out");
    });
  });
}

void Agent::Open() {
  said_.clear();
  const std::string record = fleet::Print(self_);
  const std::string path = paths_.Host(settings_.host);
  client_.CreateNode(path, record, [this, path, record, run = run_](int rc) {
    if (run == run_ && rc == nodes::kNodeExists) client_.Set(path, record, [](int) {});
  });
  opened_ = true;
  for (const auto& runner : runners_) runner->Opened(client_.session_id(), client_.session_timeout());
  if (hands_) hands_->Opened();
}

}  // namespace umberdyke::agent

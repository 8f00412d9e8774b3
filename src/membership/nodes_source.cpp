#include "membership/nodes_source.h"

#include <algorithm>

#include "files/files.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;
using log::Event;
using reconcile::Standing;

// Between two readings of the list of names, and more for a long one: a storm of changes is read in one go.
// Servers that go are told by notices of their own and wait for none of this.
constexpr Span kNamesPace = 20ms;
constexpr Span kNamesPaceEach = 10us;
constexpr Span kStaleAgain = 100ms;       // a member that lags is asked again after this
constexpr Span kMissingAgain = 1s;        // the path does not exist yet
constexpr Span kTellPace = 5ms;           // new servers are told together
constexpr Span kForgetLast = 60s;         // nobody takes a server back that was told gone so long ago
constexpr Span kRenewAfter = 50ms;        // after a session that has expired
constexpr Span kRegisterAgain = 500ms;    // after a refusal: a member that writes nothing may do so again
constexpr const char* kKnown = "known/";  // names for servers of the list that the sidecar started with: no
                                          // node has a slash in its name

reconcile::Guard GuardOf(const Membership& settings) {
  reconcile::Guard guard;
  guard.share = settings.guard_share;
  guard.within = settings.guard_within;
  guard.hold_most = settings.guard_hold;
  return guard;
}

nodes::ClientSettings ClientOf(const Membership& settings) {
  nodes::ClientSettings client;
  client.servers = settings.servers;
  client.session = std::chrono::duration_cast<std::chrono::milliseconds>(settings.session);
  if (settings.auth_file.empty()) return client;
  files::ReadResult read = files::ReadWhole(settings.auth_file, 4096);
  if (!read.error.empty()) throw ConfigError("configuration: membership.auth_file: " + read.error);
  while (!read.text.empty() && (read.text.back() == '\n' || read.text.back() == '\r')) read.text.pop_back();
  if (read.text.find(':') == std::string::npos) {
    throw ConfigError("configuration: membership.auth_file holds no user:password");
  }
  client.auth = std::move(read.text);
  return client;
}

}  // namespace

NodesSource::NodesSource(Loop& loop, const Platform& platform, const Membership& settings,
                         std::string own_data, const ServerListChange& known, Counters& counters,
                         log::Log& log, Owner owner)
    : platform_(platform),
      settings_(settings),
      own_data_(std::move(own_data)),
      counters_(counters),
      log_(log),
      owner_(std::move(owner)),
      reconciler_(GuardOf(settings)),
      names_timer_(loop, [this] { ReadNames(); }),
      tell_timer_(loop, [this] { Tell(); }),
      tick_timer_(loop, [this] { Ticked(); }),
      renew_timer_(loop, [this] { client_.Renew(); }),
      register_timer_(loop, [this] { Register(); }),
      client_(loop, ClientOf(settings),
              {[this](nodes::Session session) { OnSession(session); },
               [this](nodes::Notice notice, const std::string& path) { OnNotice(notice, path); }}) {
  // The list that the sidecar starts with stands until the service says otherwise, and is guarded like any
  // other.
  for (const ListedServer& server : known.servers) {
    const std::string name = kKnown + server.id;
    data_[name] = server;
    reconciler_.Data(Clock::now(), name,
                     {server.id, PrintAddress(server.address), server.state != UpstreamState::kReady}, 1, 1);
  }
  reconciler_.Take();  // the module has it already
}

void NodesSource::Watch(bool on) {
  // Once it follows, it goes on: an ended watch would age the list for nothing.
  wanted_ = wanted_ || on;
  if (wanted_) client_.Start();
}

void NodesSource::Reload(const Config& next) {
  if (next.membership && *next.membership != settings_) {
    log_.Say(Event::kMembershipRefused, "changes of membership hold from the next start on",
             {{"why", std::string("changed at a reload")}});
  }
}

void NodesSource::OnSession(nodes::Session session) {
  switch (session) {
    case nodes::Session::kConnected:
      if (interrupted_ || !loaded_) {
        log_.Say(Event::kMembershipConnected,
                 "the coordination service is connected, with " + std::to_string(reconciler_.size()) +
                     " servers known",
                 {{"servers", static_cast<std::int64_t>(reconciler_.size())}});
      }
      interrupted_ = false;
      counters_.Add("membership_connected");
      names_due_ = true;
      names_timer_.Start(0ms);
      Register();
      return;
    case nodes::Session::kInterrupted:
      // One line for a run of tries: the service may be away for days.
      if (!interrupted_) {
        log_.Say(Event::kMembershipInterrupted,
                 "the coordination service is out of reach; the list of " +
                     std::to_string(reconciler_.size()) + " servers stays",
                 {{"servers", static_cast<std::int64_t>(reconciler_.size())}});
        counters_.Add("membership_interrupted");
      }
      interrupted_ = true;
      return;
    case nodes::Session::kExpired:
      log_.Say(Event::kMembershipExpired,
               "the session with the coordination service has expired; a new one is made");
      counters_.Add("membership_expired");
      interrupted_ = true;
      registered_ = false;
      names_out_ = false;
      reading_.clear();
      renew_timer_.Start(kRenewAfter);
      return;
    case nodes::Session::kAuthFailed:
      log_.Say(Event::kMembershipRefused,
               "the coordination service refuses user and password; the list stays",
               {{"why", std::string("authentication failed")}});
      counters_.Add("membership_auth_failed");
      return;
  }
}

void NodesSource::OnNotice(nodes::Notice notice, const std::string& path) {
  counters_.Add("membership_notices");
  if (path == settings_.path) {
    names_due_ = true;
    const Span pace = kNamesPace + kNamesPaceEach * static_cast<Span::rep>(reconciler_.size());
    names_timer_.Start(std::max<Span>(0ms, names_read_ + pace - Clock::now()));
    return;
  }
  if (!path.starts_with(settings_.path + "/")) return;
  const std::string name = path.substr(settings_.path.size() + 1);
  if (notice == nodes::Notice::kDeleted) {
    Lose(name);
    Later();
  } else if (notice == nodes::Notice::kChanged) {
    ReadNode(name);
  }
}

void NodesSource::Lose(const std::string& name) {
  reconciler_.Gone(Clock::now(), name);
  const auto it = data_.find(name);
  if (it == data_.end()) return;
  Last& last = last_[it->second.id];
  last = {std::move(it->second), {}};
  data_.erase(it);
}

void NodesSource::ReadNames() {
  if (!names_due_ || names_out_ || !client_.connected()) return;
  names_due_ = false;
  names_out_ = true;
  names_read_ = Clock::now();
  counters_.Add("membership_list_reads");
  client_.Children(settings_.path, [this](int rc, const std::vector<std::string>& names,
                                          const nodes::NodeStat& stat) { TakeNames(rc, names, stat); });
}

void NodesSource::TakeNames(int rc, const std::vector<std::string>& names, const nodes::NodeStat& stat) {
  if (rc == nodes::kClosing) return;
  names_out_ = false;
  if (rc == nodes::kNoNode) {
    // Nobody has registered yet, or the path is wrong: no reason to drop whom we know.
    counters_.Add("membership_path_missing");
    names_due_ = true;
    return names_timer_.Start(kMissingAgain);
  }
  if (rc != nodes::kOk) {
    names_due_ = true;  // the next connection asks again
    return;
  }
  const std::uint64_t stale = reconciler_.counts().stale_views;
  // Whoever is missing from the view goes as if a notice had told of it; its data is kept for as long as it
  // may be needed.
  const std::vector<std::string> wanted = reconciler_.View(Clock::now(), stat.listed, names);
  for (auto it = data_.begin(); it != data_.end();) {
    if (reconciler_.Lists(it->first)) {
      ++it;
      continue;
    }
    Last& last = last_[it->second.id];
    last = {std::move(it->second), {}};
    it = data_.erase(it);
  }
  if (reconciler_.counts().stale_views > stale) {
    counters_.Add("membership_stale_views");
    names_due_ = true;
    return names_timer_.Start(kStaleAgain);
  }
  std::unordered_set<std::string> again;
  again.swap(unread_);
  for (const std::string& name : wanted) ReadNode(name);
  for (const std::string& name : again) ReadNode(name);
  // What came while this reading was out is read next, at its pace.
  if (names_due_) names_timer_.Start(kNamesPace);
  Later();
}

void NodesSource::ReadNode(const std::string& name) {
  // A change that comes while its data is read has a notice of its own once the reading is done.
  if (!reading_.insert(name).second) return;
  counters_.Add("membership_node_reads");
  client_.Get(PathOf(name), [this, name](int rc, const std::string& data, const nodes::NodeStat& stat) {
    TakeNode(name, rc, data, stat);
  });
}

void NodesSource::TakeNode(const std::string& name, int rc, const std::string& data,
                           const nodes::NodeStat& stat) {
  if (rc == nodes::kClosing) return;
  reading_.erase(name);
  const Time now = Clock::now();
  if (rc == nodes::kNoNode) {
    Lose(name);
  } else if (rc != nodes::kOk) {
    unread_.insert(name);  // the next connection asks again
    names_due_ = true;
  } else if (const auto server = platform_.ParseMember(data, name)) {
    const bool draining = server->state != UpstreamState::kReady;
    data_[name] = *server;
    reconciler_.Data(now, name, {server->id, PrintAddress(server->address), draining}, stat.birth,
                     stat.changed);
  } else {
    counters_.Add("membership_malformed");
    reconciler_.Malformed(now, name, stat.birth, stat.changed);
  }
  Later();
}

// Those that leave are told at once, and the rest together a little later.
void NodesSource::Later() { tell_timer_.Start(kTellPace); }

void NodesSource::Tell() {
  // Half of a first list would crowd the servers on it.
  if (!loaded_ && (names_out_ || !reading_.empty() || reconciler_.seen() == 0)) return;
  loaded_ = true;
  reconciler_.Tick(Clock::now());
  ServerListChange change;
  for (const reconcile::Told& told : reconciler_.Take()) {
    ListedServer server;
    if (const auto it = data_.find(told.node); it != data_.end()) {
      server = it->second;
    } else if (const auto last = last_.find(told.id); last != last_.end()) {
      server = last->second.server;
      last->second.told_gone = told.standing == Standing::kGone ? Clock::now() : Time();
    }
    server.id = told.id;
    server.state = told.standing == Standing::kReady      ? UpstreamState::kReady
                   : told.standing == Standing::kDraining ? UpstreamState::kDraining
                                                          : UpstreamState::kGone;
    change.servers.push_back(std::move(server));
  }
  std::erase_if(last_, [now = Clock::now()](const auto& one) {
    return one.second.told_gone != Time() && now - one.second.told_gone > kForgetLast;
  });
  if (reconciler_.holding() != was_holding_) {
    was_holding_ = !was_holding_;
    const auto held = static_cast<std::int64_t>(reconciler_.counts().held);
    log_.Say(was_holding_ ? Event::kMembershipHolding : Event::kMembershipHeld,
             was_holding_
                 ? "many servers left the list at once; they are kept while their connections come up"
                 : "no server is kept against the list any more",
             {{"held", held}});
    counters_.Add(was_holding_ ? "membership_holds" : "membership_holds_ended");
  }
  Ticked();
  if (!change.servers.empty()) owner_.told(change, ListUpdate::kChanges);
}

void NodesSource::Ticked() {
  reconciler_.Tick(Clock::now());
  if (const auto due = reconciler_.Due()) tick_timer_.Start(std::max<Span>(1ms, *due - Clock::now()));
  if (reconciler_.changed()) Later();
}

void NodesSource::OnConnectionResult(const std::string& id, bool connected) {
  if (connected || !reconciler_.holding()) return;
  reconciler_.Heard(Clock::now(), id, false);
  Later();
}

// The sidecar's own node, so that those who call it find it as it finds its servers.
void NodesSource::Register() {
  if (settings_.register_path.empty() || withdrawn_ || registered_ || !client_.connected()) return;
  client_.CreateEphemeral(settings_.register_path, own_data_, [this](int rc) {
    if (rc == nodes::kOk) {
      registered_ = true;
      counters_.Add("membership_registered");
    } else if (rc == nodes::kNodeExists && !withdrawn_) {
      // Of an earlier life whose session has not run out: it would vanish under us.
      client_.Delete(settings_.register_path, [this](int deleted) {
        if (deleted == nodes::kOk || deleted == nodes::kNoNode) Register();
      });
    } else if (rc != nodes::kClosing && rc != nodes::kConnectionLost && rc != nodes::kSessionExpired) {
      const std::string why = nodes::ErrorText(rc);
      log_.Say(Event::kMembershipRefused, "this sidecar could not be registered: " + why, {{"why", why}});
      counters_.Add("membership_not_registered");
      register_timer_.Start(kRegisterAgain);
    }
  });
}

void NodesSource::Deregister() {
  withdrawn_ = true;
  if (settings_.register_path.empty()) return;
  // A process that replaces this one has made the node its own; then it is not this one's to take away.
  client_.Exists(settings_.register_path, false, [this](int rc, const nodes::NodeStat& stat) {
    if (rc != nodes::kOk || stat.owner != client_.session_id()) return;
    client_.Delete(settings_.register_path, [this](int deleted) {
      if (deleted == nodes::kOk) counters_.Add("membership_withdrawn");
    });
  });
}

}  // namespace umberdyke::net

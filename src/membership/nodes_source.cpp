#include "membership/nodes_source.h"

#include <algorithm>

#include "files/files.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;
using log::Event;
using reconcile::ServerState;

// Minimum interval between two reads of the list of children, plus a share per server, to batch a burst of
// changes. Deletions are not delayed by it: they have watch events of their own.
constexpr Span kMinChildrenReadInterval = 20ms;
constexpr Span kChildrenReadIntervalPerServer = 10us;
constexpr Span kStaleViewRetry = 100ms;    // after a view from a lagging member
constexpr Span kMissingPathRetry = 1s;     // while the path does not exist
constexpr Span kPublishDelay = 5ms;        // batches new servers
constexpr Span kLastKnownRetention = 60s;  // a server reported gone longer ago is never held
constexpr Span kSessionRenewDelay = 50ms;  // after the session expired
constexpr Span kRegisterRetry = 500ms;     // after an error; a read-only member may accept writes again
// Prefix of the node names of the list that the sidecar starts with. Real node names contain no slash.
constexpr const char* kInitialNodePrefix = "known/";

reconcile::Limits LimitsOf(const Membership& settings) {
  reconcile::Limits limits;
  limits.mass_removal_share = settings.guard_share;
  limits.mass_removal_window = settings.guard_within;
  limits.max_hold = settings.guard_hold;
  return limits;
}

nodes::ClientSettings ClientSettingsOf(const Membership& settings) {
  nodes::ClientSettings client;
  client.servers = settings.servers;
  client.session = std::chrono::duration_cast<std::chrono::milliseconds>(settings.session);
  if (settings.auth_file.empty()) return client;
  files::ReadResult read = files::ReadFile(settings.auth_file, 4096);
  if (!read.error.empty()) throw ConfigError("configuration: membership.auth_file: " + read.error);
  while (!read.text.empty() && (read.text.back() == '\n' || read.text.back() == '\r')) read.text.pop_back();
  if (read.text.find(':') == std::string::npos) {
    throw ConfigError("configuration: membership.auth_file does not contain user:password");
  }
  client.auth = std::move(read.text);
  return client;
}

}  // namespace

NodesSource::NodesSource(Loop& loop, const Platform& platform, const Membership& settings,
                         std::string own_data, const ServerListChange& known, Counters& counters,
                         log::Log& log, Callbacks callbacks)
    : platform_(platform),
      settings_(settings),
      own_data_(std::move(own_data)),
      counters_(counters),
      log_(log),
      callbacks_(std::move(callbacks)),
      reconciler_(LimitsOf(settings)),
      children_timer_(loop, [this] { ReadChildren(); }),
      publish_timer_(loop, [this] { Publish(); }),
      tick_timer_(loop, [this] { RunReconciler(); }),
      renew_timer_(loop, [this] { client_.StartNewSession(); }),
      register_timer_(loop, [this] { Register(); }),
      client_(loop, ClientSettingsOf(settings),
              {[this](nodes::Session session) { OnSession(session); },
               [this](nodes::WatchEvent notice, const std::string& path) { OnWatchEvent(notice, path); }}) {
  // The list that the sidecar starts with is valid until the service reports otherwise, and is protected
  // against mass removals like any other.
  for (const ListedServer& server : known.servers) {
    const std::string name = kInitialNodePrefix + server.id;
    servers_by_node_[name] = server;
    reconciler_.OnNodeData(Clock::now(), name,
                           {server.id, PrintAddress(server.address), server.state != UpstreamState::kReady},
                           1, 1);
  }
  reconciler_.TakeChanges();  // the decision module already has these servers
}

void NodesSource::Watch(bool on) {
  // Never stops once started, because the list would become stale for no benefit.
  wanted_ = wanted_ || on;
  if (wanted_) client_.Start();
}

void NodesSource::Reload(const Config& next) {
  if (next.membership && *next.membership != settings_) {
    log_.Say(Event::kMembershipRefused, "changes of the membership settings take effect at the next start",
             {{"why", std::string("changed at a reload")}});
  }
}

void NodesSource::OnSession(nodes::Session session) {
  switch (session) {
    case nodes::Session::kConnected:
      if (connection_lost_ || !loaded_) {
        log_.Say(Event::kMembershipConnected,
                 "connected to the coordination service, with " + std::to_string(reconciler_.size()) +
                     " servers known",
                 {{"servers", static_cast<std::int64_t>(reconciler_.size())}});
      }
      connection_lost_ = false;
      counters_.Add("membership_connected");
      children_read_due_ = true;
      children_timer_.Start(0ms);
      Register();
      return;
    case nodes::Session::kInterrupted:
      // Logs once per outage, not per connection attempt: the service may be away for days.
      if (!connection_lost_) {
        log_.Say(Event::kMembershipInterrupted,
                 "the coordination service is unreachable; the list of " +
                     std::to_string(reconciler_.size()) + " servers stays unchanged",
                 {{"servers", static_cast<std::int64_t>(reconciler_.size())}});
        counters_.Add("membership_interrupted");
      }
      connection_lost_ = true;
      return;
    case nodes::Session::kExpired:
      log_.Say(Event::kMembershipExpired,
               "the session with the coordination service has expired; creating a new one");
      counters_.Add("membership_expired");
      connection_lost_ = true;
      registered_ = false;
      children_read_in_flight_ = false;
      reads_in_flight_.clear();
      renew_timer_.Start(kSessionRenewDelay);
      return;
    case nodes::Session::kAuthFailed:
      log_.Say(Event::kMembershipRefused,
               "the coordination service rejected user and password; the list stays unchanged",
               {{"why", std::string("authentication failed")}});
      counters_.Add("membership_auth_failed");
      return;
  }
}

void NodesSource::OnWatchEvent(nodes::WatchEvent notice, const std::string& path) {
  counters_.Add("membership_notices");
  if (path == settings_.path) {
    children_read_due_ = true;
    const Span interval = kMinChildrenReadInterval +
                          kChildrenReadIntervalPerServer * static_cast<Span::rep>(reconciler_.size());
    children_timer_.Start(std::max<Span>(0ms, last_children_read_ + interval - Clock::now()));
    return;
  }
  if (!path.starts_with(settings_.path + "/")) return;
  const std::string name = path.substr(settings_.path.size() + 1);
  if (notice == nodes::WatchEvent::kDeleted) {
    OnNodeDeleted(name);
    SchedulePublish();
  } else if (notice == nodes::WatchEvent::kChanged) {
    ReadNode(name);
  }
}

void NodesSource::OnNodeDeleted(const std::string& name) {
  reconciler_.OnNodeDeleted(Clock::now(), name);
  const auto it = servers_by_node_.find(name);
  if (it == servers_by_node_.end()) return;
  LastKnown& last_known = last_known_[it->second.id];
  last_known = {std::move(it->second), {}};
  servers_by_node_.erase(it);
}

void NodesSource::ReadChildren() {
  if (!children_read_due_ || children_read_in_flight_ || !client_.connected()) return;
  children_read_due_ = false;
  children_read_in_flight_ = true;
  last_children_read_ = Clock::now();
  counters_.Add("membership_list_reads");
  client_.Children(settings_.path, [this](int rc, const std::vector<std::string>& names,
                                          const nodes::NodeStat& stat) { OnChildren(rc, names, stat); });
}

void NodesSource::OnChildren(int rc, const std::vector<std::string>& names, const nodes::NodeStat& stat) {
  if (rc == nodes::kClosing) return;
  children_read_in_flight_ = false;
  if (rc == nodes::kNoNode) {
    // No server has registered yet, or the path is wrong. Neither is a reason to drop known servers.
    counters_.Add("membership_path_missing");
    children_read_due_ = true;
    return children_timer_.Start(kMissingPathRetry);
  }
  if (rc != nodes::kOk) {
    children_read_due_ = true;  // read again after the reconnect
    return;
  }
  const std::uint64_t stale_before = reconciler_.counts().stale_views;
  // A node missing from the view is handled like a deletion event. Its data is kept while it may be needed.
  const std::vector<std::string> wanted = reconciler_.OnNodeList(Clock::now(), stat.children_zxid, names);
  for (auto it = servers_by_node_.begin(); it != servers_by_node_.end();) {
    if (reconciler_.HasNode(it->first)) {
      ++it;
      continue;
    }
    LastKnown& last_known = last_known_[it->second.id];
    last_known = {std::move(it->second), {}};
    it = servers_by_node_.erase(it);
  }
  if (reconciler_.counts().stale_views > stale_before) {
    counters_.Add("membership_stale_views");
    children_read_due_ = true;
    return children_timer_.Start(kStaleViewRetry);
  }
  std::unordered_set<std::string> retries;
  retries.swap(failed_reads_);
  for (const std::string& name : wanted) ReadNode(name);
  for (const std::string& name : retries) ReadNode(name);
  // A change during this read is picked up by the next one, after the minimum interval.
  if (children_read_due_) children_timer_.Start(kMinChildrenReadInterval);
  SchedulePublish();
}

void NodesSource::ReadNode(const std::string& name) {
  // A change during the read triggers a watch event of its own after the read is done.
  if (!reads_in_flight_.insert(name).second) return;
  counters_.Add("membership_node_reads");
  client_.Get(PathOf(name), [this, name](int rc, const std::string& data, const nodes::NodeStat& stat) {
    OnNodeData(name, rc, data, stat);
  });
}

void NodesSource::OnNodeData(const std::string& name, int rc, const std::string& data,
                             const nodes::NodeStat& stat) {
  if (rc == nodes::kClosing) return;
  reads_in_flight_.erase(name);
  const Time now = Clock::now();
  if (rc == nodes::kNoNode) {
    OnNodeDeleted(name);
  } else if (rc != nodes::kOk) {
    failed_reads_.insert(name);  // read again after the reconnect
    children_read_due_ = true;
  } else if (const auto server = platform_.ParseMember(data, name)) {
    const bool draining = server->state != UpstreamState::kReady;
    servers_by_node_[name] = *server;
    reconciler_.OnNodeData(now, name, {server->id, PrintAddress(server->address), draining},
                           stat.created_zxid, stat.modified_zxid);
  } else {
    counters_.Add("membership_malformed");
    reconciler_.OnMalformedData(now, name, stat.created_zxid, stat.modified_zxid);
  }
  SchedulePublish();
}

// Batches all pending state changes.
void NodesSource::SchedulePublish() { publish_timer_.Start(kPublishDelay); }

void NodesSource::Publish() {
  // An incomplete first list would overload the servers on it.
  if (!loaded_ &&
      (children_read_in_flight_ || !reads_in_flight_.empty() || reconciler_.last_list_zxid() == 0))
    return;
  loaded_ = true;
  reconciler_.Tick(Clock::now());
  ServerListChange change;
  for (const reconcile::StateChange& server_change : reconciler_.TakeChanges()) {
    ListedServer server;
    if (const auto it = servers_by_node_.find(server_change.node); it != servers_by_node_.end()) {
      server = it->second;
    } else if (const auto last_known = last_known_.find(server_change.id); last_known != last_known_.end()) {
      server = last_known->second.server;
      last_known->second.reported_gone = server_change.state == ServerState::kGone ? Clock::now() : Time();
    }
    server.id = server_change.id;
    server.state = server_change.state == ServerState::kReady      ? UpstreamState::kReady
                   : server_change.state == ServerState::kDraining ? UpstreamState::kDraining
                                                                   : UpstreamState::kGone;
    change.servers.push_back(std::move(server));
  }
  std::erase_if(last_known_, [now = Clock::now()](const auto& entry) {
    return entry.second.reported_gone != Time() && now - entry.second.reported_gone > kLastKnownRetention;
  });
  if (reconciler_.holding() != was_holding_) {
    was_holding_ = !was_holding_;
    const auto held = static_cast<std::int64_t>(reconciler_.counts().held);
    log_.Say(was_holding_ ? Event::kMembershipHolding : Event::kMembershipHeld,
             was_holding_
                 ? "many servers left the list at once; they are kept while connections to them succeed"
                 : "no removed server is kept any more",
             {{"held", held}});
    counters_.Add(was_holding_ ? "membership_holds" : "membership_holds_ended");
  }
  RunReconciler();
  if (!change.servers.empty()) callbacks_.on_list(change, ListUpdate::kChanges);
}

void NodesSource::RunReconciler() {
  reconciler_.Tick(Clock::now());
  if (const auto due = reconciler_.NextDeadline())
    tick_timer_.Start(std::max<Span>(1ms, *due - Clock::now()));
  if (reconciler_.has_changes()) SchedulePublish();
}

void NodesSource::OnConnectionResult(const std::string& id, bool connected) {
  if (connected || !reconciler_.holding()) return;
  reconciler_.OnConnectionResult(Clock::now(), id, false);
  SchedulePublish();
}

// Creates the sidecar's own node, through which its clients discover it.
void NodesSource::Register() {
  if (settings_.register_path.empty() || deregistered_ || registered_ || !client_.connected()) return;
  client_.CreateEphemeral(settings_.register_path, own_data_, [this](int rc) {
    if (rc == nodes::kOk) {
      registered_ = true;
      counters_.Add("membership_registered");
    } else if (rc == nodes::kNodeExists && !deregistered_) {
      // The node belongs to an earlier process whose session has not expired, and would vanish with it.
      client_.Delete(settings_.register_path, [this](int deleted) {
        if (deleted == nodes::kOk || deleted == nodes::kNoNode) Register();
      });
    } else if (rc != nodes::kClosing && rc != nodes::kConnectionLost && rc != nodes::kSessionExpired) {
      const std::string why = nodes::ErrorText(rc);
      log_.Say(Event::kMembershipRefused, "this sidecar could not be registered: " + why, {{"why", why}});
      counters_.Add("membership_not_registered");
      register_timer_.Start(kRegisterRetry);
    }
  });
}

void NodesSource::Deregister() {
  deregistered_ = true;
  if (settings_.register_path.empty()) return;
  // If a successor process already owns the node, this one must not delete it.
  client_.Exists(settings_.register_path, false, [this](int rc, const nodes::NodeStat& stat) {
    if (rc != nodes::kOk || stat.owner != client_.session_id()) return;
    client_.Delete(settings_.register_path, [this](int deleted) {
      if (deleted == nodes::kOk) counters_.Add("membership_withdrawn");
    });
  });
}

}  // namespace umberdyke::net

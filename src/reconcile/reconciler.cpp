#include "reconcile/reconciler.h"

#include <algorithm>

namespace umberdyke::reconcile {
namespace {

// How long deleted nodes are remembered, to ignore data of them from a lagging member.
constexpr Span kDeletionRetention = std::chrono::minutes(10);

}  // namespace

std::vector<std::string> Reconciler::OnNodeList(Time now, Zxid zxid, const std::vector<std::string>& names) {
  std::vector<std::string> wanted;
  if (zxid < last_list_zxid_) {
    ++counts_.stale_views;
    return wanted;
  }
  last_list_zxid_ = zxid;
  const std::set<std::string_view> listed(names.begin(), names.end());
  std::vector<std::string> missing;
  for (const auto& [name, node] : nodes_) {
    // A node that was created after this list was read cannot be in it.
    if (node.listed && !listed.contains(name) && node.created_zxid <= zxid) missing.push_back(name);
  }
  std::sort(missing.begin(), missing.end());  // a deterministic order
  for (const std::string& name : missing) RemoveNode(now, name);
  for (const std::string& name : names) {
    Node& node = nodes_[name];
    node.listed = true;
    if (!node.known) wanted.push_back(name);
  }
  return wanted;
}

void Reconciler::OnNodeData(Time now, const std::string& name, const NodeData& content, Zxid created_zxid,
                            Zxid modified_zxid) {
  ExpireOldEntries(now);
  const auto deleted = deleted_nodes_.find(name);
  if (deleted != deleted_nodes_.end() && created_zxid <= deleted->second.created_zxid) {
    ++counts_.stale_data;  // of a node that was deleted
    if (const auto it = nodes_.find(name); it != nodes_.end() && !it->second.known) nodes_.erase(it);
    return;
  }
  const auto it = nodes_.find(name);
  const bool listed = it != nodes_.end() && it->second.listed;
  if ((!listed && created_zxid <= last_list_zxid_) ||
      (it != nodes_.end() && it->second.known && modified_zxid < it->second.modified_zxid)) {
    ++counts_.stale_data;
    return;
  }
  Node& node = nodes_[name];
  const std::string previous_id = node.known ? node.id : "";
  const bool recreated = node.known && created_zxid > node.created_zxid;
  if (!previous_id.empty() && (previous_id != content.id || recreated)) {
    // The node was recreated or now belongs to another server: remove it from the previous one first.
    const auto server = servers_.find(previous_id);
    if (server != servers_.end()) server->second.nodes.erase(name);
    if (previous_id != content.id) Recompute(now, previous_id);
  }
  node = {content.id, content, created_zxid, modified_zxid, true, true};
  servers_[content.id].nodes.insert(name);
  Recompute(now, content.id);
}

void Reconciler::OnMalformedData(Time now, const std::string& name, Zxid created_zxid, Zxid modified_zxid) {
  ++counts_.malformed;
  const auto it = nodes_.find(name);
  if (it == nodes_.end() || !it->second.known) return;  // no server is known by it
  if (created_zxid <= it->second.created_zxid) {
    it->second.modified_zxid = std::max(it->second.modified_zxid, modified_zxid);
    return;  // the last readable data stays valid
  }
  // The node was recreated with unreadable data.
  RemoveNode(now, name);
}

void Reconciler::OnNodeDeleted(Time now, const std::string& name) { RemoveNode(now, name); }

void Reconciler::RemoveNode(Time now, const std::string& name) {
  const auto it = nodes_.find(name);
  if (it == nodes_.end()) return;
  const Node node = it->second;
  nodes_.erase(it);
  if (!node.known) return;
  Deletion& deletion = deleted_nodes_[name];
  deletion = {std::max(deletion.created_zxid, node.created_zxid), now};
  deletions_.emplace_back(now, name);
  const auto server = servers_.find(node.id);
  if (server == servers_.end()) return;
  server->second.nodes.erase(name);
  Recompute(now, node.id);
}

// Recomputes a server's state from the nodes with its id.
void Reconciler::Recompute(Time now, const std::string& id) {
  Server& server = servers_[id];
  const Node* youngest = nullptr;
  std::string name;
  for (const std::string& n : server.nodes) {
    const Node& node = nodes_.at(n);
    if (youngest != nullptr && node.created_zxid < youngest->created_zxid) continue;
    youngest = &node;
    name = n;
  }
  if (youngest == nullptr) {
    server.settles_at.reset();
    settling_ids_.erase(id);
    RemoveOrHold(now, id, server);
    return;
  }
  const ServerState state = youngest->content.draining ? ServerState::kDraining : ServerState::kReady;
  server.held_since.reset();
  held_ids_.erase(id);
  removed_at_.erase(id);
  server.node = name;
  if (server.state == ServerState::kGone && state == ServerState::kReady && server.left_at) {
    // The server returns. Occasional returns are restarts; frequent ones mean an unstable link.
    if (!server.settles_at) {
      server.return_times.push_back(now);
      while (!server.return_times.empty() && now - server.return_times.front() > limits_.flap_window)
        server.return_times.pop_front();
    }
    if (static_cast<int>(server.return_times.size()) > limits_.max_flaps) {
      if (!server.settles_at) ++counts_.flaps;
      if (!server.settles_at) server.settles_at = now + limits_.settle_time;
      settling_ids_.insert(id);
      if (now < *server.settles_at) return;
    }
  }
  server.settles_at.reset();
  settling_ids_.erase(id);
  if (server.address != youngest->content.address) {
    if (const auto at = id_by_address_.find(server.address); at != id_by_address_.end() && at->second == id)
      id_by_address_.erase(at);
    server.address = youngest->content.address;
  }
  if (ClaimAddress(id, server, youngest->created_zxid)) {
    SetState(id, server, state);
  } else if (server.state != ServerState::kGone) {
    SetState(id, server, ServerState::kGone);
  }
}

// An address belongs to one server, the one with the youngest node. Removes the previous owner, even if it is
// held. Returns whether the address now belongs to this server.
bool Reconciler::ClaimAddress(const std::string& id, const Server& server, Zxid created_zxid) {
  if (server.address.empty()) return true;
  const auto at = id_by_address_.find(server.address);
  if (at != id_by_address_.end() && at->second != id) {
    const std::string previous_owner = at->second;
    Server& old = servers_[previous_owner];
    if (CreationZxidOf(old) > created_zxid) return false;
    held_ids_.erase(previous_owner);
    old.held_since.reset();
    if (old.state != ServerState::kGone) SetState(previous_owner, old, ServerState::kGone);
  }
  id_by_address_[server.address] = id;
  return true;
}

Zxid Reconciler::CreationZxidOf(const Server& server) const {
  Zxid created_zxid = -1;
  for (const std::string& name : server.nodes)
    created_zxid = std::max(created_zxid, nodes_.at(name).created_zxid);
  return created_zxid;
}

void Reconciler::RemoveOrHold(Time now, const std::string& id, Server& server) {
  if (server.state == ServerState::kGone || server.held_since) return;
  server.left_at = now;
  // A draining server was leaving anyway and must not become ready again, so it is never held.
  if (server.state == ServerState::kDraining) return SetState(id, server, ServerState::kGone);
  while (!recent_removals_.empty() && now - recent_removals_.front().first > limits_.mass_removal_window) {
    const auto old = removed_at_.find(recent_removals_.front().second);
    if (old != removed_at_.end() && old->second == recent_removals_.front().first) removed_at_.erase(old);
    recent_removals_.pop_front();
  }
  // The size of the list before the removals. Held servers are counted once, among the removed ones.
  const size_t size_before = live_count_ - held_ids_.size() + removed_at_.size();
  recent_removals_.emplace_back(now, id);
  removed_at_[id] = now;
  const auto removed_count = static_cast<double>(removed_at_.size());
  const bool is_mass_removal =
      removed_count > limits_.mass_removal_share * static_cast<double>(size_before) &&
      removed_at_.size() > static_cast<size_t>(limits_.mass_removal_count);
  const bool last = live_count_ == 1 + held_ids_.size();  // the list must never become empty
  if (!is_mass_removal && !last) return SetState(id, server, ServerState::kGone);
  // The removals just before belong to the same mass removal, so they are held as well.
  if (is_mass_removal && !mass_removal_active_) {
    ++counts_.mass_removals;
    mass_removal_active_ = true;
    for (const auto& [time, other] : recent_removals_) {
      if (other != id && removed_at_.contains(other)) Hold(now, other, servers_[other]);
    }
  }
  Hold(now, id, server);
  server.held_as_last_server = !is_mass_removal;
}

void Reconciler::Hold(Time now, const std::string& id, Server& server) {
  if (server.held_since || !server.nodes.empty()) return;
  if (const auto at = id_by_address_.find(server.address); at != id_by_address_.end() && at->second != id)
    return;  // replaced by another server
  server.held_since = now;
  held_ids_.insert(id);
  ++counts_.held;
  if (!server.address.empty()) id_by_address_[server.address] = id;
  SetState(id, server, ServerState::kReady);
}

void Reconciler::OnConnectionResult(Time now, const std::string& id, bool ok) {
  const auto it = servers_.find(id);
  if (ok || it == servers_.end() || !it->second.held_since) return;
  // The connection failed, which confirms the removal.
  it->second.held_since.reset();
  held_ids_.erase(id);
  it->second.left_at = now;
  ++counts_.hold_ended;
  SetState(id, it->second, ServerState::kGone);
  if (held_ids_.empty()) mass_removal_active_ = false;
}

void Reconciler::Tick(Time now) {
  ExpireOldEntries(now);
  const std::set<std::string> settling = settling_ids_;
  for (const std::string& id : settling) {
    Server& server = servers_[id];
    if (server.settles_at && now >= *server.settles_at) Recompute(now, id);
  }
  // A hold expires after max_hold, unless the list would become empty.
  const std::set<std::string> held = held_ids_;
  const bool has_others = live_count_ > held_ids_.size();
  for (const std::string& id : held) {
    Server& server = servers_[id];
    if (!has_others || !server.held_since) continue;
    // A server that was held only to keep the list non-empty is removed as soon as another one is there.
    if (!server.held_as_last_server && now - *server.held_since < limits_.max_hold) continue;
    server.held_since.reset();
    held_ids_.erase(id);
    ++counts_.hold_ended;
    SetState(id, server, ServerState::kGone);
  }
  if (held_ids_.empty()) mass_removal_active_ = false;
}

void Reconciler::SetState(const std::string& id, Server& server, ServerState state) {
  const bool was_live = server.state != ServerState::kGone, is_live = state != ServerState::kGone;
  if (was_live && !is_live) --live_count_;
  if (!was_live && is_live) ++live_count_;
  if (!is_live) {
    if (const auto at = id_by_address_.find(server.address); at != id_by_address_.end() && at->second == id)
      id_by_address_.erase(at);
  }
  if (!is_live && !was_live && !pending_changes_.contains(id)) return;
  server.state = state;
  const auto [it, is_new] = pending_changes_.insert_or_assign(id, StateChange{id, state, server.node});
  if (is_new) change_order_.push_back(id);
}

std::vector<StateChange> Reconciler::TakeChanges() {
  // Removals come first, before servers that take over an address.
  std::vector<StateChange> changes;
  for (const bool removals : {true, false}) {
    for (const std::string& id : change_order_) {
      const StateChange& change = pending_changes_.at(id);
      if ((change.state == ServerState::kGone) == removals) changes.push_back(change);
    }
  }
  change_order_.clear();
  pending_changes_.clear();
  return changes;
}

std::optional<Time> Reconciler::NextDeadline() const {
  std::optional<Time> due;
  const auto consider = [&](Time time) {
    if (!due || time < *due) due = time;
  };
  for (const std::string& id : settling_ids_) {
    if (const auto& settles_at = servers_.at(id).settles_at) consider(*settles_at);
  }
  if (live_count_ > held_ids_.size()) {
    for (const std::string& id : held_ids_) consider(*servers_.at(id).held_since + limits_.max_hold);
  }
  return due;
}

size_t Reconciler::size() const { return live_count_; }

// Bounds the memory used by old entries: sequential nodes never reuse a name.
void Reconciler::ExpireOldEntries(Time now) {
  while (!deletions_.empty() && now - deletions_.front().first > kDeletionRetention) {
    const auto& [time, name] = deletions_.front();
    // A node that was deleted again since is kept until its later deletion expires.
    if (const auto it = deleted_nodes_.find(name); it != deleted_nodes_.end() && it->second.time == time)
      deleted_nodes_.erase(it);
    deletions_.pop_front();
  }
  if (servers_.size() < 64 || servers_.size() < 2 * live_count_) return;
  std::erase_if(servers_, [&](const auto& item) {
    const Server& server = item.second;
    return server.state == ServerState::kGone && server.nodes.empty() && server.left_at &&
           now - *server.left_at > kDeletionRetention && !pending_changes_.contains(item.first);
  });
}

}  // namespace umberdyke::reconcile

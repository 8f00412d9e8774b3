#include "reconcile/reconciler.h"

#include <algorithm>

namespace umberdyke::reconcile {
namespace {

// How long a name that went is remembered, so that a lagging member cannot bring it back.
constexpr Span kRemembered = std::chrono::minutes(10);

}  // namespace

std::vector<std::string> Reconciler::View(Time now, Zxid zxid, const std::vector<std::string>& names) {
  std::vector<std::string> wanted;
  if (zxid < view_) {
    ++counts_.stale_views;
    return wanted;
  }
  view_ = zxid;
  const std::set<std::string_view> listed(names.begin(), names.end());
  std::vector<std::string> left;
  for (const auto& [name, node] : nodes_) {
    // One created after this view was taken is not missing from it.
    if (node.listed && !listed.contains(name) && node.birth <= zxid) left.push_back(name);
  }
  std::sort(left.begin(), left.end());  // the same order on every machine
  for (const std::string& name : left) Unlist(now, name);
  for (const std::string& name : names) {
    Node& node = nodes_[name];
    node.listed = true;
    if (!node.known) wanted.push_back(name);
  }
  return wanted;
}

void Reconciler::Data(Time now, const std::string& name, const Content& content, Zxid birth, Zxid zxid) {
  ForgetOld(now);
  const auto buried = buried_.find(name);
  if (buried != buried_.end() && birth <= buried->second.birth) {
    ++counts_.stale_data;  // a ghost: that life of the node is over
    if (const auto it = nodes_.find(name); it != nodes_.end() && !it->second.known) nodes_.erase(it);
    return;
  }
  const auto it = nodes_.find(name);
  const bool listed = it != nodes_.end() && it->second.listed;
  if ((!listed && birth <= view_) || (it != nodes_.end() && it->second.known && zxid < it->second.zxid)) {
    ++counts_.stale_data;
    return;
  }
  Node& node = nodes_[name];
  const std::string before = node.known ? node.id : "";
  const bool reborn = node.known && birth > node.birth;
  if (!before.empty() && (before != content.id || reborn)) {
    // The same name, another life or another server: the old one leaves it first.
    const auto server = servers_.find(before);
    if (server != servers_.end()) server->second.nodes.erase(name);
    if (before != content.id) Work(now, before);
  }
  node = {content.id, content, birth, zxid, true, true};
  servers_[content.id].nodes.insert(name);
  Work(now, content.id);
}

void Reconciler::Malformed(Time now, const std::string& name, Zxid birth, Zxid zxid) {
  ++counts_.malformed;
  const auto it = nodes_.find(name);
  if (it == nodes_.end() || !it->second.known) return;  // nothing known: it is nobody
  if (birth <= it->second.birth) {
    it->second.zxid = std::max(it->second.zxid, zxid);
    return;  // the last that could be read holds
  }
  // Another life of the node, of which nothing can be read.
  Unlist(now, name);
}

void Reconciler::Gone(Time now, const std::string& name) { Unlist(now, name); }

void Reconciler::Unlist(Time now, const std::string& name) {
  const auto it = nodes_.find(name);
  if (it == nodes_.end()) return;
  const Node node = it->second;
  nodes_.erase(it);
  if (!node.known) return;
  Burial& burial = buried_[name];
  burial = {std::max(burial.birth, node.birth), now};
  burials_.emplace_back(now, name);
  const auto server = servers_.find(node.id);
  if (server == servers_.end()) return;
  server->second.nodes.erase(name);
  Work(now, node.id);
}

// Works out one server's standing anew from the nodes that bear its id.
void Reconciler::Work(Time now, const std::string& id) {
  Server& server = servers_[id];
  const Node* youngest = nullptr;
  std::string name;
  for (const std::string& n : server.nodes) {
    const Node& node = nodes_.at(n);
    if (youngest != nullptr && node.birth < youngest->birth) continue;
    youngest = &node;
    name = n;
  }
  if (youngest == nullptr) {
    server.settles.reset();
    settling_.erase(id);
    Leave(now, id, server);
    return;
  }
  const Standing standing = youngest->content.draining ? Standing::kDraining : Standing::kReady;
  server.held_since.reset();
  held_.erase(id);
  removed_.erase(id);
  server.node = name;
  if (server.standing == Standing::kGone && standing == Standing::kReady && server.left) {
    // It comes back. Once in a while that is a restart; again and again it is a link that breaks.
    if (!server.settles) {
      server.returns.push_back(now);
      while (!server.returns.empty() && now - server.returns.front() > guard_.flap_time)
        server.returns.pop_front();
    }
    if (static_cast<int>(server.returns.size()) > guard_.flaps) {
      if (!server.settles) ++counts_.flaps;
      if (!server.settles) server.settles = now + guard_.settle;
      settling_.insert(id);
      if (now < *server.settles) return;
    }
  }
  server.settles.reset();
  settling_.erase(id);
  if (server.address != youngest->content.address) {
    if (const auto at = at_.find(server.address); at != at_.end() && at->second == id) at_.erase(at);
    server.address = youngest->content.address;
  }
  if (TakeAddress(id, server, youngest->birth)) {
    Set(id, server, standing);
  } else if (server.standing != Standing::kGone) {
    Set(id, server, Standing::kGone);
  }
}

// An address belongs to one server, the youngest that says it is there: whoever held it before is gone, even
// one that is kept against the list. Returns whether the address is this one's.
bool Reconciler::TakeAddress(const std::string& id, const Server& server, Zxid birth) {
  if (server.address.empty()) return true;
  const auto at = at_.find(server.address);
  if (at != at_.end() && at->second != id) {
    const std::string holder = at->second;
    Server& old = servers_[holder];
    if (BirthOf(old) > birth) return false;
    held_.erase(holder);
    old.held_since.reset();
    if (old.standing != Standing::kGone) Set(holder, old, Standing::kGone);
  }
  at_[server.address] = id;
  return true;
}

Zxid Reconciler::BirthOf(const Server& server) const {
  Zxid birth = -1;
  for (const std::string& name : server.nodes) birth = std::max(birth, nodes_.at(name).birth);
  return birth;
}

void Reconciler::Leave(Time now, const std::string& id, Server& server) {
  if (server.standing == Standing::kGone || server.held_since) return;
  server.left = now;
  // What was told to drain was leaving anyway, and is never sent to again.
  if (server.standing == Standing::kDraining) return Set(id, server, Standing::kGone);
  while (!removals_.empty() && now - removals_.front().first > guard_.within) {
    const auto old = removed_.find(removals_.front().second);
    if (old != removed_.end() && old->second == removals_.front().first) removed_.erase(old);
    removals_.pop_front();
  }
  // Those kept against the list count once: among those that went.
  const size_t before = live_ - held_.size() + removed_.size();
  removals_.emplace_back(now, id);
  removed_[id] = now;
  const auto went = static_cast<double>(removed_.size());
  const bool mass = went > guard_.share * static_cast<double>(before) &&
                    removed_.size() > static_cast<size_t>(guard_.at_least);
  const bool last = live_ == 1 + held_.size();  // the list may not be emptied, however small it is
  if (!mass && !last) return Set(id, server, Standing::kGone);
  // Those that went just before were the beginning of the same removal.
  if (mass && !mass_) {
    ++counts_.mass_removals;
    mass_ = true;
    for (const auto& [time, other] : removals_) {
      if (other != id && removed_.contains(other)) Hold(now, other, servers_[other]);
    }
  }
  Hold(now, id, server);
  server.held_as_last = !mass;
}

void Reconciler::Hold(Time now, const std::string& id, Server& server) {
  if (server.held_since || !server.nodes.empty()) return;
  if (const auto at = at_.find(server.address); at != at_.end() && at->second != id) return;  // replaced
  server.held_since = now;
  held_.insert(id);
  ++counts_.held;
  if (!server.address.empty()) at_[server.address] = id;
  Set(id, server, Standing::kReady);
}

void Reconciler::Heard(Time now, const std::string& id, bool ok) {
  const auto it = servers_.find(id);
  if (ok || it == servers_.end() || !it->second.held_since) return;
  // Its own connections fail: the list was right about this one.
  it->second.held_since.reset();
  held_.erase(id);
  it->second.left = now;
  ++counts_.hold_ended;
  Set(id, it->second, Standing::kGone);
  if (held_.empty()) mass_ = false;
}

void Reconciler::Tick(Time now) {
  ForgetOld(now);
  const std::set<std::string> settling = settling_;
  for (const std::string& id : settling) {
    Server& server = servers_[id];
    if (server.settles && now >= *server.settles) Work(now, id);
  }
  // A removal that stands for so long is believed, as long as somebody else is left.
  const std::set<std::string> held = held_;
  const bool others = live_ > held_.size();
  for (const std::string& id : held) {
    Server& server = servers_[id];
    if (!others || !server.held_since) continue;
    // One kept only so that somebody is left goes as soon as somebody is.
    if (!server.held_as_last && now - *server.held_since < guard_.hold_most) continue;
    server.held_since.reset();
    held_.erase(id);
    ++counts_.hold_ended;
    Set(id, server, Standing::kGone);
  }
  if (held_.empty()) mass_ = false;
}

void Reconciler::Set(const std::string& id, Server& server, Standing standing) {
  const bool was = server.standing != Standing::kGone, is = standing != Standing::kGone;
  if (was && !is) --live_;
  if (!was && is) ++live_;
  if (!is) {
    if (const auto at = at_.find(server.address); at != at_.end() && at->second == id) at_.erase(at);
  }
  if (!is && !was && !pending_.contains(id)) return;
  server.standing = standing;
  const auto [it, is_new] = pending_.insert_or_assign(id, Told{id, standing, server.node});
  if (is_new) order_.push_back(id);
}

std::vector<Told> Reconciler::Take() {
  // Those that leave first: whoever takes their place or address comes after.
  std::vector<Told> told;
  for (const bool leaving : {true, false}) {
    for (const std::string& id : order_) {
      const Told& one = pending_.at(id);
      if ((one.standing == Standing::kGone) == leaving) told.push_back(one);
    }
  }
  order_.clear();
  pending_.clear();
  return told;
}

std::optional<Time> Reconciler::Due() const {
  std::optional<Time> due;
  const auto sooner = [&](Time time) {
    if (!due || time < *due) due = time;
  };
  for (const std::string& id : settling_) {
    if (const auto& settles = servers_.at(id).settles) sooner(*settles);
  }
  if (live_ > held_.size()) {
    for (const std::string& id : held_) sooner(*servers_.at(id).held_since + guard_.hold_most);
  }
  return due;
}

size_t Reconciler::size() const { return live_; }

// Guards the memory against names that are new each time: sequential nodes never come back.
void Reconciler::ForgetOld(Time now) {
  while (!burials_.empty() && now - burials_.front().first > kRemembered) {
    const auto& [time, name] = burials_.front();
    // One that went again since is remembered from then on.
    if (const auto it = buried_.find(name); it != buried_.end() && it->second.time == time) buried_.erase(it);
    burials_.pop_front();
  }
  if (servers_.size() < 64 || servers_.size() < 2 * live_) return;
  std::erase_if(servers_, [&](const auto& item) {
    const Server& server = item.second;
    return server.standing == Standing::kGone && server.nodes.empty() && server.left &&
           now - *server.left > kRemembered && !pending_.contains(item.first);
  });
}

}  // namespace umberdyke::reconcile

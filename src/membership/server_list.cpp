#include "membership/server_list.h"

#include <algorithm>

namespace umberdyke::net {

void ServerList::Apply(const ServerListChange& listed, ListUpdate kind) {
  for (int i = 0; i < listed.unreadable; ++i) counters_.Add("discovery_unreadable");
  ListChange change{kind, {}, {}, false};
  std::unordered_set<ServerId> named;
  for (const ListedServer& server : listed.servers) {
    const auto [it, is_new] = numbers_.try_emplace(server.id, next_);
    if (is_new) {
      ServerRecord& added = servers_[next_++];
      added.id = server.id;
      added.address = server.address;
    }
    ServerRecord& record = servers_[it->second];
    if (server.address.ss_family != AF_UNSPEC) record.address = server.address;
    lives_.erase(HashIncarnation(record.id, record.listed.started));
    const auto known_start = record.listed.started;
    record.listed = server;
    if (server.state == UpstreamState::kGone && !server.started) record.listed.started = known_start;
    SetState(it->second, server.state, listed.version);
    named.insert(it->second);
    change.entries.push_back({it->second, server});
  }
  if (kind != ListUpdate::kChanges) {
    for (const auto& [number, record] : servers_) {
      if (!named.contains(number)) SetState(number, UpstreamState::kGone, listed.version);
    }
  }
  on_change_(change);
}

void ServerList::SetState(ServerId server, UpstreamState state, std::int64_t version) {
  ServerRecord& record = servers_[server];
  if (state == UpstreamState::kGone && record.state != UpstreamState::kGone) record.gone = Clock::now();
  const IncarnationHash life = HashIncarnation(record.id, record.listed.started);
  if (state == UpstreamState::kReady) {
    lives_[life] = server;
    record.closed_version = 0;
  } else {
    lives_.erase(life);
    if (record.closed_version == 0) record.closed_version = version;
  }
  record.state = state;
}

void ServerList::ApplyPeerReport(const std::vector<ClosedServer>& closed, std::int64_t since) {
  ListChange change{ListUpdate::kChanges, {}, {}, true};
  for (const ClosedServer& server : closed) {
    const auto it = lives_.find(server.life);
    if (it == lives_.end() || server.version <= since) continue;
    const ServerId number = it->second;
    counters_.Add("closed_by_peers");
    SetState(number, UpstreamState::kDraining, server.version);
    ListedServer listed = servers_[number].listed;
    listed.state = UpstreamState::kDraining;
    change.entries.push_back({number, std::move(listed)});
  }
  if (!change.entries.empty()) on_change_(change);
}

std::vector<ClosedServer> ServerList::ClosedSince(std::int64_t version) const {
  std::vector<ClosedServer> closed;
  for (const auto& [number, record] : servers_) {
    if (record.closed_version <= version) continue;
    closed.push_back({HashIncarnation(record.id, record.listed.started),
                      static_cast<std::uint32_t>(record.closed_version)});
  }
  std::sort(closed.begin(), closed.end(),
            [](const ClosedServer& a, const ClosedServer& b) { return a.version < b.version; });
  return closed;
}

size_t ServerList::listed_count() const {
  return static_cast<size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return server.second.state != UpstreamState::kGone;
  }));
}

void ServerList::RemoveGone(Time gone_before) {
  std::erase_if(servers_, [&](const auto& item) {
    const ServerRecord& record = item.second;
    if (record.state != UpstreamState::kGone || record.gone >= gone_before) return false;
    numbers_.erase(record.id);
    return true;
  });
}

}  // namespace umberdyke::net

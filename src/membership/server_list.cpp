#include "membership/server_list.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

std::string AddressKey(const Address& address) {
  const bool is_v6 = address.ss_family == AF_INET6;
  const auto* bytes = reinterpret_cast<const char*>(&address);
  return {bytes, is_v6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in)};
}

// Servers without a start time started long ago.
std::chrono::milliseconds StartOf(const ServerRecord& record) {
  return record.last_listed.started.value_or(std::chrono::milliseconds(0));
}

}  // namespace

void ServerList::Apply(const ServerListChange& listed, ListUpdate kind) {
  for (int i = 0; i < listed.unreadable; ++i) counters_.Add("discovery_unreadable");
  ServerListEvent change{kind, {}, {}, false};
  std::unordered_set<ServerId> listed_ids;
  for (const ListedServer& server : listed.servers) {
    const auto [it, is_new] = ids_by_name_.try_emplace(server.id, next_id_);
    if (is_new) {
      ServerRecord& added = servers_[next_id_++];
      added.id = server.id;
      added.address = server.address;
    }
    ServerRecord& record = servers_[it->second];
    if (server.address.ss_family != AF_UNSPEC) record.address = server.address;
    ready_by_incarnation_.erase(HashIncarnation(record.id, record.last_listed.started));
    const auto known_start = record.last_listed.started;
    const bool restarted = !is_new && server.started && server.started != known_start;
    record.superseded = false;
    record.last_listed = server;
    if (server.state == UpstreamState::kGone && !server.started) record.last_listed.started = known_start;
    SetState(it->second, server.state, listed.version);
    listed_ids.insert(it->second);
    change.entries.push_back({it->second, server, restarted});
  }
  ResolveAddresses(listed.version, &change);
  if (kind != ListUpdate::kChanges) {
    for (const auto& [server_id, record] : servers_) {
      if (!listed_ids.contains(server_id)) SetState(server_id, UpstreamState::kGone, listed.version);
    }
  }
  on_change_(change);
}

// A process that has gone may stay listed for seconds after another one has come up at its address.
void ServerList::ResolveAddresses(std::int64_t version, ServerListEvent* change) {
  const size_t listed = change->entries.size();
  std::unordered_set<ServerId> in_change;
  for (const ServerListEvent::Entry& entry : change->entries) in_change.insert(entry.server);
  for (size_t i = 0; i < listed; ++i) {
    const ServerId server = change->entries[i].server;
    const ServerRecord& record = servers_[server];
    if (record.state == UpstreamState::kGone || record.address.ss_family == AF_UNSPEC) continue;
    const auto [holder, is_new] = id_by_address_.try_emplace(AddressKey(record.address), server);
    const ServerId other = holder->second;
    if (is_new || other == server) continue;
    const ServerRecord* other_record = Find(other);
    const bool still_there = other_record != nullptr && !other_record->superseded &&
                             AddressKey(other_record->address) == holder->first;
    if (still_there && StartOf(*other_record) > StartOf(record)) {
      Supersede(server, version, change);
      continue;
    }
    if (still_there && record.state != UpstreamState::kReady)
      continue;  // it is leaving, and takes nothing over
    // Where one update lists two of the same start at one address, neither is known to have gone.
    if (still_there && in_change.contains(other) && StartOf(*other_record) == StartOf(record) &&
        other_record->state != UpstreamState::kGone)
      continue;
    holder->second = server;
    if (still_there) Supersede(other, version, change);
  }
}

void ServerList::Supersede(ServerId server, std::int64_t version, ServerListEvent* change) {
  counters_.Add("servers_superseded");
  SetState(server, UpstreamState::kGone, version);
  ServerRecord& record = servers_[server];
  record.superseded = true;
  ListedServer gone = record.last_listed;
  gone.state = UpstreamState::kGone;
  change->entries.push_back({server, std::move(gone)});
}

void ServerList::SetState(ServerId server, UpstreamState state, std::int64_t version) {
  ServerRecord& record = servers_[server];
  if (state == UpstreamState::kGone && record.state != UpstreamState::kGone) record.gone_at = Clock::now();
  const IncarnationHash incarnation = HashIncarnation(record.id, record.last_listed.started);
  if (state == UpstreamState::kReady) {
    ready_by_incarnation_[incarnation] = server;
    record.closed_version = 0;
  } else {
    ready_by_incarnation_.erase(incarnation);
    if (record.closed_version == 0) record.closed_version = version;
  }
  record.state = state;
}

void ServerList::ApplyPeerReport(const std::vector<ClosedServer>& closed, std::int64_t since) {
  ServerListEvent change{ListUpdate::kChanges, {}, {}, true};
  for (const ClosedServer& server : closed) {
    const auto it = ready_by_incarnation_.find(server.incarnation);
    if (it == ready_by_incarnation_.end() || server.version <= since) continue;
    const ServerId server_id = it->second;
    counters_.Add("closed_by_peers");
    SetState(server_id, UpstreamState::kDraining, server.version);
    ListedServer listed = servers_[server_id].last_listed;
    listed.state = UpstreamState::kDraining;
    change.entries.push_back({server_id, std::move(listed)});
  }
  if (!change.entries.empty()) on_change_(change);
}

std::vector<ClosedServer> ServerList::ClosedSince(std::int64_t version) const {
  std::vector<ClosedServer> closed;
  for (const auto& [server_id, record] : servers_) {
    if (record.closed_version <= version) continue;
    closed.push_back({HashIncarnation(record.id, record.last_listed.started),
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
    if (record.state != UpstreamState::kGone || record.gone_at >= gone_before) return false;
    ids_by_name_.erase(record.id);
    const auto at_address = id_by_address_.find(AddressKey(record.address));
    if (at_address != id_by_address_.end() && at_address->second == item.first)
      id_by_address_.erase(at_address);
    return true;
  });
}

}  // namespace umberdyke::net

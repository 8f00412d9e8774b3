#include "membership/service_entry.h"

#include <algorithm>

namespace umberdyke::net {

void ServiceEntry::Take(const ListedChange& listed, ListUpdate kind) {
  for (int i = 0; i < listed.unreadable; ++i) counters_.Add("discovery_unreadable");
  ListChange change{kind, {}, {}};
  const auto set = [now = Clock::now()](ServerRecord& record, UpstreamState state) {
    if (state == UpstreamState::kGone && record.state != UpstreamState::kGone) record.gone = now;
    record.state = state;
  };
  std::unordered_set<ServerId> named;
  for (const ListedServer& server : listed.servers) {
    const auto [it, is_new] = numbers_.try_emplace(server.id, next_);
    if (is_new) servers_[next_++] = {server.id, server.address, UpstreamState::kReady, {}};
    ServerRecord& record = servers_[it->second];
    if (server.address.ss_family != AF_UNSPEC) record.address = server.address;
    set(record, server.state);
    named.insert(it->second);
    change.entries.push_back({it->second, server});
  }
  for (auto& [number, record] : servers_) {
    if (kind != ListUpdate::kChanges && !named.contains(number)) set(record, UpstreamState::kGone);
  }
  told_(change);
}

size_t ServiceEntry::listed() const {
  return static_cast<size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return server.second.state != UpstreamState::kGone;
  }));
}

void ServiceEntry::Forget(Time gone_before) {
  std::erase_if(servers_, [&](const auto& item) {
    const ServerRecord& record = item.second;
    if (record.state != UpstreamState::kGone || record.gone >= gone_before) return false;
    numbers_.erase(record.id);
    return true;
  });
}

}  // namespace umberdyke::net

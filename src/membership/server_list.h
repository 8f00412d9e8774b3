// The sidecar's current server list, whatever the membership source: each server has a local numeric id, an
// address and a state.
#ifndef UMBERDYKE_MEMBERSHIP_SERVER_LIST_H_
#define UMBERDYKE_MEMBERSHIP_SERVER_LIST_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "counters/counters.h"
#include "loop/loop.h"
#include "membership/peer_message.h"
#include "platform/platform.h"

namespace umberdyke::net {

using ServerId = UpstreamId;

struct ServerRecord {
  std::string id;
  Address address{};
  UpstreamState state = UpstreamState::kReady;
  bool superseded = false;          // another server has taken over its address: nothing may be sent there
  Time gone_at{};                   // when it was removed from the list
  std::int64_t closed_version = 0;  // list version in which it drains or is gone; 0 while ready
  ListedServer last_listed;         // the last entry for it
};

// One update of the list, or a failure of its source.
struct ServerListEvent {
  ListUpdate kind;
  struct Entry {
    ServerId server;
    ListedServer listed;
    bool restarted = false;  // it is another process than the one listed before
  };
  std::vector<Entry> entries;
  std::string error;        // for kFailed only
  bool from_peers = false;  // reported by other sidecars, not by the membership source
};

class ServerList {
 public:
  using ChangeCallback = std::function<void(const ServerListEvent&)>;
  ServerList(Counters& counters, ChangeCallback on_change)
      : counters_(counters), on_change_(std::move(on_change)) {}

  // Applies a list or change from the source. The list that the sidecar starts with is passed as kCached.
  void Apply(const ServerListChange& listed, ListUpdate kind);
  // The source lost its connection and waits for the decision module to request a retry.
  void OnSourceFailure(const std::string& why) { on_change_({ListUpdate::kFailed, {}, why}); }
  // Marks ready servers as draining that other sidecars report as closed (draining or gone) in a list version
  // later than `since`, the version that this sidecar holds.
  void ApplyPeerReport(const std::vector<ClosedServer>& closed, std::int64_t since);
  // Servers that were closed in versions after `version`, oldest first.
  std::vector<ClosedServer> ClosedSince(std::int64_t version) const;
  // Null if the id is unknown.
  const ServerRecord* Find(ServerId server) const {
    const auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
  }
  size_t size() const { return servers_.size(); }
  // Servers currently on the list.
  size_t listed_count() const;
  // Removes records of servers that left the list before `gone_before`. Replacement servers come with new ids
  // all day, so records would pile up.
  void RemoveGone(Time gone_before);

 private:
  void SetState(ServerId server, UpstreamState state, std::int64_t version);
  // Gives each address to one of the servers that are listed there, and adds the others to `change` as gone.
  void ResolveAddresses(std::int64_t version, ServerListEvent* change);
  void Supersede(ServerId server, std::int64_t version, ServerListEvent* change);

  Counters& counters_;
  const ChangeCallback on_change_;
  std::unordered_map<ServerId, ServerRecord> servers_;
  std::unordered_map<std::string, ServerId> ids_by_name_;
  std::unordered_map<IncarnationHash, ServerId> ready_by_incarnation_;  // ready servers only
  std::unordered_map<std::string, ServerId> id_by_address_;             // by the bytes of the address
  ServerId next_id_ = 0;                                                // ids are never reused
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SERVER_LIST_H_

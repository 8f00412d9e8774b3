// The list as this sidecar holds it, whichever source tells of it: servers under numbers of its own, their
// addresses and states.
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
  Time gone_at{};                   // when the list told that it has gone
  std::int64_t closed_version = 0;  // the version of the list that told that it drains or is gone
  ListedServer last_listed;         // as the list told it last
};

struct ServerListEvent {
  ListUpdate kind;
  struct Entry {
    ServerId server;
    ListedServer listed;
  };
  std::vector<Entry> entries;
  std::string error;        // of kFailed
  bool from_peers = false;  // not the source's own word
};

class ServerList {
 public:
  using ChangeCallback = std::function<void(const ServerListEvent&)>;
  ServerList(Counters& counters, ChangeCallback on_change)
      : counters_(counters), on_change_(std::move(on_change)) {}

  // What a source tells; the list that the sidecar was started with comes as kCached.
  void Apply(const ServerListChange& listed, ListUpdate kind);
  void OnSourceFailure(const std::string& why) { on_change_({ListUpdate::kFailed, {}, why}); }
  // What other sidecars say has closed by versions later than `since`, which is this list's own: what is
  // ready here gets nothing new from now on.
  void ApplyPeerReport(const std::vector<ClosedServer>& closed, std::int64_t since);
  // What has closed by later versions than this one, oldest first.
  std::vector<ClosedServer> ClosedSince(std::int64_t version) const;
  // Null for a number that no list gave.
  const ServerRecord* Find(ServerId server) const {
    const auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
  }
  size_t size() const { return servers_.size(); }
  // Those that the list names now.
  size_t listed_count() const;
  // Lets go of servers that have long gone: they are replaced all day, by others with other ids.
  void RemoveGone(Time gone_before);

 private:
  void SetState(ServerId server, UpstreamState state, std::int64_t version);

  Counters& counters_;
  const ChangeCallback on_change_;
  std::unordered_map<ServerId, ServerRecord> servers_;
  std::unordered_map<std::string, ServerId> ids_by_name_;
  std::unordered_map<IncarnationHash, ServerId> ready_by_incarnation_;  // of those that are ready
  ServerId next_id_ = 0;                                                // numbers are not used again
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SERVER_LIST_H_

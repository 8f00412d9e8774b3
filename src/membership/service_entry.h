// The list as this sidecar holds it, whichever source tells of it: servers under numbers of its own, their
// addresses and states.
#ifndef UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_
#define UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_

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
  Time gone{};                 // when the list told that it has gone
  std::int64_t closed_by = 0;  // the version of the list that told that it drains or is gone
  ListedServer listed;         // as the list told it last
};

struct ListChange {
  ListUpdate kind;
  struct Entry {
    ServerId server;
    ListedServer listed;
  };
  std::vector<Entry> entries;
  std::string why;          // of kFailed
  bool from_peers = false;  // not the source's own word
};

class ServiceEntry {
 public:
  using Told = std::function<void(const ListChange&)>;
  ServiceEntry(Counters& counters, Told told) : counters_(counters), told_(std::move(told)) {}

  // What a source tells; the list that the sidecar was started with comes as kCached.
  void Take(const ServerListChange& listed, ListUpdate kind);
  void Failed(const std::string& why) { told_({ListUpdate::kFailed, {}, why}); }
  // What other sidecars say has closed by versions later than `since`, which is this list's own: what is
  // ready here gets nothing new from now on.
  void Close(const std::vector<ClosedServer>& closed, std::int64_t since);
  // What has closed by later versions than this one, oldest first.
  std::vector<ClosedServer> ClosedSince(std::int64_t version) const;
  // Null for a number that no list gave.
  const ServerRecord* Find(ServerId server) const {
    const auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
  }
  size_t size() const { return servers_.size(); }
  // Those that the list names now.
  size_t listed() const;
  // Lets go of servers that have long gone: they are replaced all day, by others with other ids.
  void Forget(Time gone_before);

 private:
  void SetState(ServerId server, UpstreamState state, std::int64_t version);

  Counters& counters_;
  const Told told_;
  std::unordered_map<ServerId, ServerRecord> servers_;
  std::unordered_map<std::string, ServerId> numbers_;
  std::unordered_map<LifeHash, ServerId> lives_;  // of those that are ready
  ServerId next_ = 0;                             // numbers are not used again
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_

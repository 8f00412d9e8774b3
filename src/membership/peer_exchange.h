// Queries the other sidecars of the tier for closed servers while this one has no live watch on discovery,
// and replies to the queries of others. What discovery reports takes precedence: a peer report can only mark
// servers as draining.
//
// Must not depend on requests in progress. Datagrams may be lost, so queries are repeated.
#ifndef UMBERDYKE_MEMBERSHIP_PEER_EXCHANGE_H_
#define UMBERDYKE_MEMBERSHIP_PEER_EXCHANGE_H_

#include <functional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/config.h"
#include "counters/counters.h"
#include "loop/datagrams.h"
#include "membership/peer_message.h"
#include "membership/server_list.h"
#include "membership/source.h"

namespace umberdyke::net {

class PeerExchange {
 public:
  PeerExchange(Loop& loop, const PeerSettings& peers, std::uint64_t seed, MemberSource& source,
               ServerList& server_list, Counters& counters);

 private:
  void Tick();
  void SendQuery();
  void OnDatagram(const Address& from, std::string_view bytes);
  void SendReply(const Address& to, const PeerQuery& query);
  void OnReport(const PeerReport& report);
  bool IsKnownPeer(const Address& address) const;

  const PeerSettings settings_;
  std::vector<Address> peers_;
  std::unordered_set<std::string> peer_addresses_;  // peers_ as text, for IsKnownPeer
  MemberSource& source_;
  ServerList& server_list_;
  Counters& counters_;
  std::mt19937_64 random_;
  UdpSocket socket_;
  Timer tick_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_PEER_EXCHANGE_H_

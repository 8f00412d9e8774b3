// Asks the other sidecars of the tier what has closed, for as long as discovery keeps this one waiting, and
// answers those that ask. Discovery's own word always goes before theirs: a peer only ever closes servers.
//
// It must not depend on requests in progress. Datagrams may be lost: questions are repeated.
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
  std::unordered_set<std::string> peer_addresses_;  // the same
  MemberSource& source_;
  ServerList& server_list_;
  Counters& counters_;
  std::mt19937_64 random_;
  UdpSocket socket_;
  Timer tick_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_PEER_EXCHANGE_H_

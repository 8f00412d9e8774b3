// Stand-in servers of one application: HTTP/1.1 with the platform's headers, a node in a coordination service
// each, and a ledger of what ran that is counted here and nowhere else.
//
// This room may not know the sidecar's inside: it sees requests come and says what became of them.
#ifndef UMBERDYKE_LAB_MEMBERSHIP_STAND_IN_H_
#define UMBERDYKE_LAB_MEMBERSHIP_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http1/http.h"
#include "loop/loop.h"
#include "zookeeper/node_client.h"

namespace umberdyke::lab {

// What the servers counted, all together.
struct Ledger {
  struct Handover {
    net::Time first{};
    std::string zone;
    int runs = 0;
  };
  std::unordered_map<std::string, Handover> keys;  // by idempotency key
  std::unordered_set<std::string> seen;            // request ids
  std::uint64_t runs = 0;
  std::uint64_t repeats_dropped = 0;  // a known key, in its zone and window: answered, not run again
  std::uint64_t doubled = 0;          // handovers that ran a second time
  std::uint64_t late_to_drained = 0;  // requests that came later than allowed after a drain was told
  net::Span latest_to_drained{};
  std::uint64_t at_once = 0;  // a second copy while the first was still being worked on
};

class StandIn {
 public:
  struct Settings {
    std::string id, zone, path;  // the parent of its node
    net::Span work = std::chrono::milliseconds(10);
    int slots = 0;  // so many requests at a time, the others wait in their order; 0: as many as come
    net::Span key_window = std::chrono::seconds(10);
    net::Span drain = std::chrono::milliseconds(300);
    std::string listen{};  // empty: any free port
    // Further nodes of it, each with another address by which it is reached: paths of the parents, and
    // addresses.
    std::vector<std::pair<std::string, std::string>> faces{};
    std::function<void(const net::Message& request)> took{};  // told of each request that it works on
  };
  StandIn(net::Loop& loop, nodes::ClientSettings client, Settings settings, Ledger& ledger,
          std::uint64_t seed);
  ~StandIn();

  // Says in its node that it leaves; it goes on serving what comes.
  void Drain();
  // Writes its node's data anew, as it stands now.
  void Declare();
  // Its process dies: connections reset, session left to run out.
  void Crash();
  void Start();
  bool up() const { return listener_ != nullptr; }
  bool draining() const { return draining_; }
  // The sidecar was handed this data of the node. A lagging member, or one that has not heard of the drain
  // yet, hands out older data: only data that says so tells of a drain.
  void Told(const std::string& data, net::Time when) {
    if (draining_ && told_draining_ == net::Time() && data == Data()) told_draining_ = when;
  }
  bool told() const { return told_draining_ != net::Time(); }
  std::int64_t session() const { return client_ ? client_->session_id() : 0; }
  const std::string& id() const { return settings_.id; }
  std::string node() const { return settings_.path + "/" + settings_.id; }
  const std::string& address() const { return address_; }

 private:
  class Peer;
  void Come();
  void Take(Peer& peer, const net::Message& request);
  void Run(Peer& peer, const net::Message& request);
  void RunNext();
  std::string Load() const;
  void Gone(Peer* peer);
  void Register();
  void Register(size_t face);
  // Its nodes and addresses: its own, or its faces.
  size_t faces() const { return settings_.faces.empty() ? 1 : settings_.faces.size(); }
  std::string Node(size_t face) const {
    return settings_.faces.empty() ? node() : settings_.faces[face].first + "/" + settings_.id;
  }
  std::string Data(size_t face = 0) const;

  net::Loop& loop_;
  const nodes::ClientSettings client_settings_;
  const Settings settings_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::string address_;  // stays the same over restarts
  std::unique_ptr<net::Listener> listener_;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::deque<std::pair<Peer*, net::Message>> waiting_;  // for a slot
  std::unique_ptr<nodes::NodeClient> client_;
  net::Timer again_;
  bool expired_ = false;
  bool draining_ = false;
  net::Time told_draining_{};
  std::int64_t started_ms_ = 0;
  int in_flight_ = 0;
  std::map<std::string, int> working_;  // request ids
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_MEMBERSHIP_STAND_IN_H_

// Membership from a coordination service: every server keeps an ephemeral node, which vanishes with its
// session. All node events go through the reconciler, which decides what the decision module is notified of.
//
// While the service is unreachable the list stays unchanged. The client library reconnects by itself, so
// on_failure is never called. docs/membership.md describes the layout of the nodes.
#ifndef UMBERDYKE_MEMBERSHIP_NODES_SOURCE_H_
#define UMBERDYKE_MEMBERSHIP_NODES_SOURCE_H_

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "membership/source.h"
#include "reconcile/reconciler.h"
#include "zookeeper/node_client.h"

namespace umberdyke::net {

class NodesSource : public MemberSource {
 public:
  NodesSource(Loop& loop, const Platform& platform, const Membership& settings, std::string own_data,
              const ServerListChange& known, Counters& counters, log::Log& log, Callbacks callbacks);

  void Watch(bool on) override;
  void Reload(const Config& next) override;
  void OnConnectionResult(const std::string& id, bool connected) override;
  void Deregister() override;

 private:
  void OnSession(nodes::Session session);
  void OnWatchEvent(nodes::WatchEvent notice, const std::string& path);
  void ReadChildren();
  void ReadNode(const std::string& name);
  void OnChildren(int rc, const std::vector<std::string>& names, const nodes::NodeStat& stat);
  void OnNodeData(const std::string& name, int rc, const std::string& data, const nodes::NodeStat& stat);
  void Register();
  void OnNodeDeleted(const std::string& name);
  void SchedulePublish();
  void Publish();
  void RunReconciler();
  std::string PathOf(const std::string& name) const { return settings_.path + "/" + name; }

  const Platform& platform_;
  const Membership settings_;
  const std::string own_data_;  // data of this sidecar's own node
  Counters& counters_;
  log::Log& log_;
  const Callbacks callbacks_;
  reconcile::Reconciler reconciler_;
  std::unordered_map<std::string, ListedServer> servers_by_node_;  // by node name, as last read
  // Data of servers whose nodes are deleted, by server id. If the deletion turns out to be part of a mass
  // removal, a server that was reported as gone is held after all and is reported again with this data.
  struct LastKnown {
    ListedServer server;
    Time reported_gone{};  // Time() if it was not
  };
  std::unordered_map<std::string, LastKnown> last_known_;
  std::unordered_set<std::string> reads_in_flight_;  // nodes whose data is being read
  std::unordered_set<std::string> failed_reads_;     // nodes whose read failed with the connection
  bool wanted_ = false;
  bool children_read_due_ = false;        // the list of children has to be read
  bool children_read_in_flight_ = false;  // and is being read
  bool loaded_ = false;                   // the first complete list was published
  bool deregistered_ = false;
  bool registered_ = false;
  bool was_holding_ = false;
  bool connection_lost_ = false;
  Time last_children_read_{};
  Timer children_timer_, publish_timer_, tick_timer_, renew_timer_, register_timer_;
  nodes::NodeClient client_;  // last member: its destructor ends calls that use the others
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_NODES_SOURCE_H_

// Membership by ephemeral nodes: every server keeps a node in a coordination service, which vanishes with its
// session. What is told of them goes through the reconciler, which decides what the module hears.
//
// The service being unreachable changes nothing: the list stays, and nobody is asked to ask again, as the
// client library does so by itself. docs/membership.md says how nodes are laid out.
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
  void OnWatchEvent(nodes::Notice notice, const std::string& path);
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
  const std::string own_data_;  // of this sidecar's own node
  Counters& counters_;
  log::Log& log_;
  const Callbacks callbacks_;
  reconcile::Reconciler reconciler_;
  std::unordered_map<std::string, ListedServer> servers_by_node_;  // by node's name, as last read
  // By id, of nodes that went: a server that was told gone may be kept all the same, once it shows that many
  // went together, and has to be told as it was.
  struct LastKnown {
    ListedServer server;
    Time reported_gone{};  // Time(): it was not
  };
  std::unordered_map<std::string, LastKnown> last_known_;
  std::unordered_set<std::string> reads_in_flight_;  // nodes whose data is on its way
  std::unordered_set<std::string> failed_reads_;     // whose reading failed with the connection
  bool wanted_ = false;
  bool children_read_due_ = false;        // a reading of the list is wanted
  bool children_read_in_flight_ = false;  // and one is on its way
  bool loaded_ = false;                   // the first list is complete
  bool deregistered_ = false;
  bool registered_ = false;
  bool was_holding_ = false;
  bool connection_lost_ = false;
  Time last_children_read_{};
  Timer children_timer_, publish_timer_, tick_timer_, renew_timer_, register_timer_;
  nodes::NodeClient client_;  // last: its calls end in its destructor
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_NODES_SOURCE_H_

// Derives the server list from what a coordination service reports: lists of nodes, data of nodes and
// deletions, in whatever order reconnects and lagging members deliver them.
//
// It decides which changes the decision module is notified of, and when: stale reports are ignored, a mass
// removal is held back, and a flapping server is readmitted late. Pure: no I/O and no clock; the caller
// passes the time, which must not go back. It must not depend on the service's protocol, the decision module
// or the meaning of addresses.
#ifndef UMBERDYKE_RECONCILE_RECONCILER_H_
#define UMBERDYKE_RECONCILE_RECONCILER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace umberdyke::reconcile {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;
using Zxid = std::int64_t;  // the service's transaction id; increases with each write

// Limits on how fast the list may shrink and how often a server may come and go.
struct Limits {
  // More removals than both this share of the list and this count within the window are a mass removal.
  // Servers removed in the window are then held (kept as ready) until the sidecar's own connections to them
  // fail.
  double mass_removal_share = 0.3;
  int mass_removal_count = 2;
  Span mass_removal_window = std::chrono::seconds(5);
  Span max_hold = std::chrono::seconds(60);  // then a held server is removed, unless the list would be empty
  // A server that returned more than this often within flap_window is readmitted only after settle_time.
  int max_flaps = 3;
  Span flap_window = std::chrono::seconds(30);
  Span settle_time = std::chrono::seconds(3);
};

// The parsed data of a node. `id` identifies the server: another node with the same id is the same server.
struct NodeData {
  std::string id;
  std::string address;
  bool draining = false;
};

enum class ServerState { kReady, kDraining, kGone };

// One change of a server's state to notify the decision module of.
struct StateChange {
  std::string id;
  ServerState state;
  std::string node;  // the node whose data is valid; the last such node if kGone
  friend bool operator==(const StateChange&, const StateChange&) = default;
};

// Event counts since the start.
struct Counts {
  std::uint64_t stale_views = 0;  // older than the last list
  std::uint64_t stale_data = 0;   // of an earlier node of the same name, or older than known data
  std::uint64_t malformed = 0;    // unreadable data; the data known before stays valid
  std::uint64_t mass_removals = 0;
  std::uint64_t held = 0;        // servers kept as ready although they were removed
  std::uint64_t hold_ended = 0;  // of these: removed after all
  std::uint64_t flaps = 0;
};

class Reconciler {
 public:
  explicit Reconciler(const Limits& limits) : limits_(limits) {}

  // The complete list of node names as of transaction `zxid`. Returns the names whose data has to be read;
  // none for a stale list.
  std::vector<std::string> OnNodeList(Time now, Zxid zxid, const std::vector<std::string>& names);
  // A node's data. `created_zxid` is the transaction that created the node, `modified_zxid` the one that last
  // changed its data.
  void OnNodeData(Time now, const std::string& name, const NodeData& content, Zxid created_zxid,
                  Zxid modified_zxid);
  void OnMalformedData(Time now, const std::string& name, Zxid created_zxid, Zxid modified_zxid);
  // The service reported that the node was deleted.
  void OnNodeDeleted(Time now, const std::string& name);
  // Whether the sidecar's own connection to a server succeeded.
  void OnConnectionResult(Time now, const std::string& id, bool ok);
  // Readmits settled servers and removes held ones whose time is up.
  void Tick(Time now);

  // Returns the changes since the last call, one per server, removals first.
  std::vector<StateChange> TakeChanges();
  // When Tick() has to be called next; nothing if no time limit is running.
  std::optional<Time> NextDeadline() const;

  bool has_changes() const { return !change_order_.empty(); }
  bool holding() const { return !held_ids_.empty(); }
  bool HasNode(const std::string& name) const { return nodes_.contains(name); }
  size_t size() const;  // servers that are ready or draining
  Zxid last_list_zxid() const { return last_list_zxid_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Node {
    std::string id;
    NodeData content;
    Zxid created_zxid = 0, modified_zxid = 0;
    bool listed = false;  // in the last list, or created after it
    bool known = false;   // its data has been read
  };
  struct Server {
    std::set<std::string> nodes;  // listed nodes with its id
    std::string node;             // the youngest of them, whose data is valid
    std::string address;
    ServerState state = ServerState::kGone;
    bool reported = false;  // unused
    std::optional<Time> held_since;
    bool held_as_last_server = false;  // held only because the list would be empty
    std::optional<Time> settles_at;    // when a flapping server is readmitted
    std::deque<Time> return_times;
    std::optional<Time> left_at;
  };

  void RemoveNode(Time now, const std::string& name);
  void Recompute(Time now, const std::string& id);
  void RemoveOrHold(Time now, const std::string& id, Server& server);
  void Hold(Time now, const std::string& id, Server& server);
  void SetState(const std::string& id, Server& server, ServerState state);
  bool ClaimAddress(const std::string& id, const Server& server, Zxid created_zxid);
  Zxid CreationZxidOf(const Server& server) const;
  void ExpireOldEntries(Time now);

  const Limits limits_;
  Zxid last_list_zxid_ = 0;
  std::unordered_map<std::string, Node> nodes_;
  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<std::string, std::string> id_by_address_;  // servers by address
  struct Deletion {
    Zxid created_zxid = 0;
    Time time{};
  };
  std::unordered_map<std::string, Deletion> deleted_nodes_;  // lets stale data of deleted nodes be ignored
  std::deque<std::pair<Time, std::string>> deletions_;
  std::deque<std::pair<Time, std::string>> recent_removals_;  // within mass_removal_window, oldest first
  std::unordered_map<std::string, Time> removed_at_;          // of these, servers that have not returned
  size_t live_count_ = 0;                                     // servers that are ready or draining
  std::set<std::string> held_ids_;
  std::set<std::string> settling_ids_;
  bool mass_removal_active_ = false;
  std::vector<std::string> change_order_;  // ids of pending_changes_, in order of their first change
  std::unordered_map<std::string, StateChange> pending_changes_;
  Counts counts_;
};

}  // namespace umberdyke::reconcile

#endif  // UMBERDYKE_RECONCILE_RECONCILER_H_

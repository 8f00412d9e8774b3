// Who is there, worked out from what a coordination service tells: views of the list, data of nodes, notices
// of deletions, in whatever order reconnects and lagging members bring them.
//
// Pure: no I/O, no clock; the time comes in and only advances. It decides what the decision module is told of
// the list and when: what is older than what was seen changes nothing, a mass removal is held, a flapping
// node waits. It may not know the service's protocol, the module, or what a node's address means.
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
using Zxid = std::int64_t;  // the service's transaction numbers: later is larger

struct Limits {
  // A removal is a mass removal once more than this share of the list, and more than this many, went within
  // this time. From then on what was removed within it is kept until its own connections fail.
  double mass_removal_share = 0.3;
  int mass_removal_count = 2;
  Span mass_removal_window = std::chrono::seconds(5);
  Span max_hold = std::chrono::seconds(60);  // then a removal is believed, unless nobody would be left
  // A node that left and came back more than this often within this time comes back only once it has stayed.
  int flaps = 3;
  Span flap_window = std::chrono::seconds(30);
  Span settle_time = std::chrono::seconds(3);
};

// What a node's data said of it. `id` tells servers apart: a server that comes back under another node's name
// with the same id is the same one.
struct NodeData {
  std::string id;
  std::string address;
  bool draining = false;
};

enum class ServerState { kReady, kDraining, kGone };

// What the module is to be told of one server, in this order.
struct StateChange {
  std::string id;
  ServerState state;
  std::string node;  // whose data holds; the last one where it is gone
  friend bool operator==(const StateChange&, const StateChange&) = default;
};

struct Counts {
  std::uint64_t stale_views = 0;  // older than one that was seen
  std::uint64_t stale_data = 0;   // of a node's earlier life, or older than what was seen
  std::uint64_t malformed = 0;    // data that cannot be read; what was known before holds
  std::uint64_t mass_removals = 0;
  std::uint64_t held = 0;        // servers kept against the list
  std::uint64_t hold_ended = 0;  // of these: believed gone after all
  std::uint64_t flaps = 0;
};

class Reconciler {
 public:
  explicit Reconciler(const Limits& limits) : limits_(limits) {}

  // The whole list of names, as of a transaction. Returns the names whose data is needed; empty for a stale
  // one.
  std::vector<std::string> OnNodeList(Time now, Zxid zxid, const std::vector<std::string>& names);
  // A node's data; `birth` is the transaction that created it, `zxid` the one that last changed it.
  void OnNodeData(Time now, const std::string& name, const NodeData& content, Zxid created_zxid,
                  Zxid modified_zxid);
  void OnMalformedData(Time now, const std::string& name, Zxid created_zxid, Zxid modified_zxid);
  // The service said that the node has gone.
  void OnNodeDeleted(Time now, const std::string& name);
  // The sidecar's own connection to a server: whether it came up.
  void OnConnectionResult(Time now, const std::string& id, bool ok);
  // What is due by now.
  void Tick(Time now);

  // What has changed since the last call, each server once.
  std::vector<StateChange> TakeChanges();
  // When Tick has something to do next.
  std::optional<Time> NextDeadline() const;

  bool has_changes() const { return !change_order_.empty(); }
  bool holding() const { return !held_ids_.empty(); }
  bool HasNode(const std::string& name) const { return nodes_.contains(name); }
  size_t size() const;  // servers that are told as ready or draining
  Zxid last_list_zxid() const { return last_list_zxid_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Node {
    std::string id;
    NodeData content;
    Zxid created_zxid = 0, modified_zxid = 0;
    bool listed = false;  // in the view, or created after it
    bool known = false;   // its data has been read
  };
  struct Server {
    std::set<std::string> nodes;  // that are listed and bear its id
    std::string node;             // the one that holds: the youngest
    std::string address;
    ServerState state = ServerState::kGone;
    bool counted = false;  // told at least once
    std::optional<Time> held_since;
    bool held_as_last_server = false;  // for no other reason than that nobody else was left
    std::optional<Time> settles_at;    // comes back then
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
  std::unordered_map<std::string, std::string> id_by_address_;  // address to the id that is told there
  struct Deletion {
    Zxid created_zxid = 0;
    Time time{};
  };
  std::unordered_map<std::string, Deletion> deleted_nodes_;  // names that went, lest they come back as ghosts
  std::deque<std::pair<Time, std::string>> deletions_;
  std::deque<std::pair<Time, std::string>> recent_removals_;  // in their order, within the guard's time
  std::unordered_map<std::string, Time> removed_at_;          // of these, whoever has not come back since
  size_t live_count_ = 0;                                     // told as ready or draining
  std::set<std::string> held_ids_;
  std::set<std::string> settling_ids_;
  bool mass_removal_active_ = false;
  std::vector<std::string> change_order_;  // ids to tell, in the order of their first change
  std::unordered_map<std::string, StateChange> pending_changes_;
  Counts counts_;
};

}  // namespace umberdyke::reconcile

#endif  // UMBERDYKE_RECONCILE_RECONCILER_H_

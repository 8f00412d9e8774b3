// An asynchronous ZooKeeper client on the event loop. It supports reads with one-shot watches, ephemeral and
// sequential nodes, atomic multi-operation writes, and a new session after the old one has expired.
//
// Each call completes exactly once, asynchronously and in call order. The client never blocks and never
// resolves host names. It trusts no input: a malformed message closes the connection, and the client tries
// the next address. The client does not interpret node contents.
#ifndef UMBERDYKE_ZOOKEEPER_NODE_CLIENT_H_
#define UMBERDYKE_ZOOKEEPER_NODE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "jute/jute.h"
#include "loop/loop.h"

namespace umberdyke::nodes {

// Result codes of the ZooKeeper protocol. kConnectionLost and kClosing are set by this client.
enum Rc : int {
  kOk = 0,
  kInconsistent = -2,    // of one operation of Multi: another operation failed
  kConnectionLost = -4,  // the operation may or may not have been applied
  kNoNode = -101,
  kNoAuth = -102,
  kBadVersion = -103,
  kNoChildrenForEphemerals = -108,
  kNodeExists = -110,
  kNotEmpty = -111,
  kSessionExpired = -112,
  kAuthFailed = -115,
  kClosing = -116,  // the client was stopped while the call was in flight
};
std::string ErrorText(int rc);
// Current wall-clock time in milliseconds since the epoch. Compare it with NodeStat::modified_ms only for
// display.
std::int64_t WallMillis();

struct ClientSettings {
  std::vector<std::string> servers;         // "10.0.0.1:2181"; tried in an order shuffled at construction
  std::string chroot;                       // "" or "/linen"; prepended to every path
  std::chrono::milliseconds session{4000};  // the requested session timeout
  std::string auth;                         // "user:password" for the digest scheme; empty: no authentication
};

enum class Session { kConnected, kInterrupted, kExpired, kAuthFailed };

// Metadata that a read returns with a node's data or children.
struct NodeStat {
  std::int64_t created_zxid = 0;   // transaction that created the node
  std::int64_t modified_zxid = 0;  // transaction that last changed its data
  std::int64_t children_zxid = 0;  // transaction that last changed its list of children
  int version = 0;
  std::int64_t owner = 0;        // session id of an ephemeral node's owner; 0 for a persistent node
  std::int64_t modified_ms = 0;  // by the service's clock; for display only
};

// One operation of Multi.
struct Op {
  enum class Kind { kCheck, kCreate, kSet, kDelete };
  Kind kind;
  std::string path;
  std::string data;
  int version = -1;  // version that the node must have; -1 matches any
};

enum class WatchEvent { kCreated, kDeleted, kChanged, kChildren };

class NodeClient : private net::StreamCallbacks {
 public:
  struct Callbacks {
    std::function<void(Session)> session;
    // Called once for each watch that fires. After a reconnect it also reports changes missed meanwhile.
    std::function<void(WatchEvent, const std::string& path)> watch_event;
  };
  NodeClient(net::Loop& loop, ClientSettings settings, Callbacks callbacks);
  ~NodeClient();
  NodeClient(const NodeClient&) = delete;
  NodeClient& operator=(const NodeClient&) = delete;

  void Start();
  // Closes the session, which deletes its ephemeral nodes at once. Calls in flight fail with kClosing.
  void Stop();
  // Closes the connection without closing the session, as a crash would. The session then expires by timeout.
  void Abandon();
  // Starts a new session after expiry. The old session's watches and ephemeral nodes are gone.
  void StartNewSession();

  // Completion callbacks: the results are valid only if `rc` is kOk.
  using OnNames = std::function<void(int rc, std::vector<std::string> names, const NodeStat& stat)>;
  using OnContent = std::function<void(int rc, std::string data, const NodeStat& stat)>;
  using OnDone = std::function<void(int rc)>;
  // Children and Get also set a one-shot watch if the node exists.
  void Children(const std::string& path, OnNames done);
  void Get(const std::string& path, OnContent done);
  void CreateEphemeral(const std::string& path, const std::string& data, OnDone done);
  void CreatePersistent(const std::string& path, OnDone done);
  void Set(const std::string& path, const std::string& data, OnDone done);
  void Delete(const std::string& path, OnDone done);
  // Like Children and Get, without setting a watch.
  void Names(const std::string& path, OnNames done);
  void Read(const std::string& path, OnContent done);
  // `watch`: reports once when the node is created, changed or deleted, whether or not it exists now.
  void Exists(const std::string& path, bool watch, std::function<void(int rc, const NodeStat& stat)> done);
  void CreateNode(const std::string& path, const std::string& data, OnDone done);  // persistent
  // Creates an ephemeral node named by the prefix and an increasing number that the service assigns. After
  // kConnectionLost the caller must list the names to find out whether the node exists. The prefix must
  // therefore contain an id that identifies the caller.
  void CreateSequential(const std::string& prefix, const std::string& data,
                        std::function<void(int rc, const std::string& path)> done);
  // After this completes, reads on this connection see everything that was committed before the call.
  void Sync(const std::string& path, OnDone done);
  // Applies all operations atomically. If the service answered, `each` has one code per operation. `rc` is
  // the first code that is an error of its own (not kInconsistent).
  void Multi(const std::vector<Op>& parts, std::function<void(int rc, const std::vector<int>& each)> done);

  bool connected() const { return state_ == State::kConnected; }
  std::int64_t session_id() const { return session_; }
  net::Span session_timeout() const { return session_timeout_; }  // as granted by the service

 private:
  enum class State { kStopped, kWaiting, kConnecting, kHandshaking, kConnected };
  struct Call {
    std::int32_t xid;
    std::function<void(int rc, jute::Reader& in)> done;
  };

  void OnConnected(bool ok) override;
  void OnData(std::string_view bytes) override;
  void OnEnd() override { OnConnectionLost(); }
  void OnWritten(bool ok) override {
    if (!ok) OnConnectionLost();
  }

  void Connect();
  void CloseConnection();
  void ClearSession();
  void OnConnectionLost();
  void HandleHandshake(jute::Reader& in);
  void HandleReply(jute::Reader& in);
  void HandleWatchEvent(jute::Reader& in);
  void OnTimer();
  void Send(const jute::Writer& message);
  void SendRequest(std::int32_t type, const jute::Writer& body,
                   std::function<void(int rc, jute::Reader& in)> done);
  void Create(const std::string& path, const std::string& data, int flags,
              std::function<void(int rc, const std::string& path)> done);
  void WriteAcl(bool own, jute::Writer* body) const;
  template <typename Content>
  void ReadNode(std::int32_t type, const std::string& path, Content (jute::Reader::*read)(),
                std::set<std::string>* watches, std::function<void(int, Content, const NodeStat&)> done);
  void SetWatches();
  void FailCalls(int rc);
  std::string FullPath(const std::string& path) const { return settings_.chroot + path; }

  net::Loop& loop_;
  const ClientSettings settings_;
  const Callbacks callbacks_;
  std::vector<net::Address> servers_;
  size_t next_server_ = 0;
  int failed_attempts_ = 0;  // consecutive, reset by a successful handshake
  State state_ = State::kStopped;
  std::unique_ptr<net::Stream> stream_;
  std::string buffer_;
  std::deque<Call> calls_;
  std::int32_t xid_ = 0;
  std::int64_t session_ = 0;
  std::string password_;
  std::int64_t last_zxid_ = 0;  // latest transaction id received from the service
  net::Span session_timeout_{};
  net::Time last_received_{}, last_sent_{};
  std::set<std::string> data_watches_, exists_watches_, child_watches_;
  std::mt19937_64 random_;
  net::Timer timer_;
  std::shared_ptr<char> liveness_ = std::make_shared<char>();
};

}  // namespace umberdyke::nodes

#endif  // UMBERDYKE_ZOOKEEPER_NODE_CLIENT_H_

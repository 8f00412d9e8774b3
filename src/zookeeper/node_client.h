// A session with a coordination service on the event loop, by its published protocol: reads with one-shot
// watches, ephemeral and sequential nodes, several writes that are done together or not at all, and a new
// session when the old one has expired.
//
// Every call answers once, later, in the order of the calls. Nothing here waits, looks names up or believes a
// byte more than it has to: whatever is no message of the protocol ends the connection, and the next address
// is tried. This room may not know what nodes are for.
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

// The protocol's codes, and two of this client's own below them.
enum Rc : int {
  kOk = 0,
  kInconsistent = -2,    // of a part of Multi: another part failed
  kConnectionLost = -4,  // whether it was done is not known
  kNoNode = -101,
  kNoAuth = -102,
  kBadVersion = -103,
  kNoChildrenForEphemerals = -108,
  kNodeExists = -110,
  kNotEmpty = -111,
  kSessionExpired = -112,
  kAuthFailed = -115,
  kClosing = -116,  // the client was stopped
};
std::string ErrorText(int rc);
// Now, for comparing with NodeStat::modified_ms where a person reads it.
std::int64_t WallMillis();

struct ClientSettings {
  std::vector<std::string> servers;  // "10.0.0.1:2181"; tried in an order drawn at the start
  std::string chroot;                // "" or "/linen": paths are below it
  std::chrono::milliseconds session{4000};
  std::string auth;  // "user:password" of the scheme digest; empty: none
};

enum class Session { kConnected, kInterrupted, kExpired, kAuthFailed };

// What a read tells of a node besides its data.
struct NodeStat {
  std::int64_t created_zxid = 0;   // the transaction that created it
  std::int64_t modified_zxid = 0;  // that last changed its data
  std::int64_t children_zxid = 0;  // that last changed its list of children
  int version = 0;
  std::int64_t owner = 0;        // session of an ephemeral node
  std::int64_t modified_ms = 0;  // by the service's clock; to be shown, and to decide nothing
};

// A part of Multi.
struct Op {
  enum class Kind { kCheck, kCreate, kSet, kDelete };
  Kind kind;
  std::string path;
  std::string data;
  int version = -1;  // that the node must have; any
};

enum class WatchEvent { kCreated, kDeleted, kChanged, kChildren };

class NodeClient : private net::StreamCallbacks {
 public:
  struct Callbacks {
    std::function<void(Session)> session;
    // One for each watch that was set; a reconnect tells what was missed.
    std::function<void(WatchEvent, const std::string& path)> watch_event;
  };
  NodeClient(net::Loop& loop, ClientSettings settings, Callbacks callbacks);
  ~NodeClient();
  NodeClient(const NodeClient&) = delete;
  NodeClient& operator=(const NodeClient&) = delete;

  void Start();
  // Ends the session, so that its ephemeral nodes go at once. Calls that are out end with kClosing.
  void Stop();
  // As when the process dies: the connection breaks without a word, and the session is left to run out.
  void Abandon();
  // The session has expired: a new one. Its watches and ephemeral nodes are gone with the old one.
  void StartNewSession();

  using OnNames = std::function<void(int rc, std::vector<std::string> names, const NodeStat& stat)>;
  using OnContent = std::function<void(int rc, std::string data, const NodeStat& stat)>;
  using OnDone = std::function<void(int rc)>;
  void Children(const std::string& path, OnNames done);
  void Get(const std::string& path, OnContent done);
  void CreateEphemeral(const std::string& path, const std::string& data, OnDone done);
  void CreatePersistent(const std::string& path, OnDone done);
  void Set(const std::string& path, const std::string& data, OnDone done);
  void Delete(const std::string& path, OnDone done);
  // As Children and Get, and no watch is set.
  void Names(const std::string& path, OnNames done);
  void Read(const std::string& path, OnContent done);
  // `watch`: a watch event once it is created, changed or gone, whether it is there now or not.
  void Exists(const std::string& path, bool watch, std::function<void(int rc, const NodeStat& stat)> done);
  void CreateNode(const std::string& path, const std::string& data, OnDone done);  // persistent
  // An ephemeral node whose name is the prefix and a number that the service draws, growing. Where the answer
  // is lost the caller finds out by the list of names: the prefix has to bear an id.
  void CreateSequential(const std::string& prefix, const std::string& data,
                        std::function<void(int rc, const std::string& path)> done);
  // What this member knows next is at least what the service had committed when this was asked.
  void Sync(const std::string& path, OnDone done);
  // All or nothing. `each` has a code for every part where the service answered; `rc` is the first that went
  // wrong.
  void Multi(const std::vector<Op>& parts, std::function<void(int rc, const std::vector<int>& each)> done);

  bool connected() const { return state_ == State::kConnected; }
  std::int64_t session_id() const { return session_; }
  net::Span session_timeout() const { return session_timeout_; }  // as the service granted it

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
  int failed_attempts_ = 0;  // addresses tried in a row
  State state_ = State::kStopped;
  std::unique_ptr<net::Stream> stream_;
  std::string buffer_;
  std::deque<Call> calls_;
  std::int32_t xid_ = 0;
  std::int64_t session_ = 0;
  std::string password_;
  std::int64_t last_zxid_ = 0;  // the latest transaction that was told
  net::Span session_timeout_{};
  net::Time last_received_{}, last_sent_{};
  std::set<std::string> data_watches_, exists_watches_, child_watches_;
  std::mt19937_64 random_;
  net::Timer timer_;
  std::shared_ptr<char> liveness_ = std::make_shared<char>();
};

}  // namespace umberdyke::nodes

#endif  // UMBERDYKE_ZOOKEEPER_NODE_CLIENT_H_

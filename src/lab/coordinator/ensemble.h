// The stand-in coordination service: several addresses that share one state, speaking the published protocol,
// with faults that are set from outside. Nothing of a third party's runs here.
//
// Sessions, watches and replies are as a real service has them: one-shot watches, answers of a connection in
// the order of its requests, a notice before the answer that shows the change, and no member that serves a
// client which has seen later transactions than itself (unless a fault says so).
#ifndef UMBERDYKE_LAB_COORDINATOR_ENSEMBLE_H_
#define UMBERDYKE_LAB_COORDINATOR_ENSEMBLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jute/jute.h"
#include "lab/coordinator/tree.h"
#include "loop/loop.h"

namespace umberdyke::lab {

struct EnsembleLimits {
  net::Span least_session = std::chrono::milliseconds(200);
  net::Span most_session = std::chrono::seconds(40);
};

// What a member may be made to do wrong; each holds until it is taken back.
struct MemberFaults {
  bool refuse = false;     // takes no connection: it is accepted and closed at once
  bool silent = false;     // reads nothing and answers nothing: cut off, with connections open
  bool garbage = false;    // answers with bytes that are no message
  bool read_only = false;  // writes get an error
  bool lagging = false;    // reads see the state as it was when this was set, and no client is refused for it
  net::Span delay{};       // before each answer
  net::Span jitter{};      // and up to so much more, so that connections overtake one another
  bool half_close = false;  // ends its sending after the next answer
  net::Span lag{};          // it knows of what was committed so much later, and so do its clients' watches
  bool cut_off = false;  // from the leader: reads and pings are answered from what it knew, writes and syncs
                         // never, and the leader hears of its sessions no more
};

class Ensemble {
 public:
  // Throws std::runtime_error where an address cannot be listened on.
  Ensemble(net::Loop& loop, const std::vector<std::string>& addresses, EnsembleLimits limits = {},
           std::uint64_t seed = 1);
  ~Ensemble();

  std::vector<std::string> addresses() const;
  size_t members() const { return members_.size(); }
  MemberFaults& faults(size_t member);
  // A new state of `lagging` needs the copy that it lags with.
  void SetLagging(size_t member, bool on);
  void CloseConnections(size_t member);
  void SetLag(size_t member, net::Span lag);
  void SetCutOff(size_t member, bool on);
  // Without a majority there is no leader: nobody is served, and no session runs out until there is one
  // again.
  void SetMajority(bool on);
  // All connections break, and transactions go on in a new epoch.
  void ChangeLeader();
  void ContinueAt(std::int64_t zxid) { tree_.ContinueAt(zxid); }
  // The next write that is committed for the session (0: for any) has its answer lost: its connection breaks.
  void LoseNextAnswer(std::int64_t session) { lose_answer_ = session; }
  // Ends a session at once, as when its time had run out; its connection is closed without a word.
  void KillSession(std::int64_t session);
  // Takes the session's time as run out at the next look, however alive it is.
  void JumpTimeout(std::int64_t session);
  // The next notice for the session is lost: its connection breaks in place of it.
  void LoseNextNotice(std::int64_t session);

  std::vector<std::int64_t> sessions() const;
  // The session that owns a node; 0 where it is nobody's.
  std::int64_t OwnerOf(const std::string& path) const;
  Tree& tree() { return tree_; }
  // Changes from outside any session, as an operator makes them; watches fire.
  void Apply(const std::vector<TreeChange>& changes);
  // The same, told to whoever lags and to judges as well.
  void Outside(const std::vector<TreeChange>& changes) {
    if (!changes.empty()) Committed(0, changes);
    Apply(changes);
  }

  // A node's data has been told to a session: called a little after, with the time at which it went out, and
  // not at all where the connection broke or the answer was spoilt.
  std::function<void(const std::string& path, const std::string& data, std::int64_t session, net::Time when)>
      on_read;

  // Each write that was done, once for every node; and each that failed because a node that it checks had
  // gone or changed, with the path that was checked. For judges.
  struct Commit {
    std::int64_t zxid = 0;
    ChangeKind kind{};
    std::string path, data;
    std::int64_t session = 0;  // 0: of none
  };
  std::function<void(const Commit&)> on_commit;
  std::function<void(const std::string& path, std::int64_t session)> on_refused;

  struct Count {
    std::uint64_t requests = 0, notices = 0, bytes_out = 0, expired = 0, refused = 0, answers_lost = 0;
  };
  const Count& count() const { return count_; }

 private:
  class Connection;
  struct Member;
  struct Session {
    std::int64_t id = 0;
    std::string password;
    net::Span timeout{};
    net::Time heard{};
    Connection* connection = nullptr;
    Identities identities;
    bool lose_next = false;
  };
  struct Watches {
    std::map<std::string, std::set<Connection*>> data, exists, children;
  };

  void Come(size_t member);
  void Gone(Connection* connection);
  void Take(Connection& connection, std::string_view packet);
  void Connect(Connection& connection, jute::Reader& in);
  void Request(Connection& connection, jute::Reader& in);
  Code Serve(Connection& connection, Session& session, std::int32_t type, jute::Reader& in, jute::Writer* out,
             std::vector<TreeChange>* changes);
  Code Multi(Session& session, jute::Reader& in, jute::Writer* out, std::vector<TreeChange>* changes);
  Code SetWatches(Connection& connection, const Session& session, jute::Reader& in);
  void Notify(Connection* connection, ChangeKind kind, const std::string& path);
  void EndSession(std::int64_t id);
  void Sweep();
  void Committed(std::int64_t session, const std::vector<TreeChange>& changes);
  void Deliver(Connection* connection, ChangeKind kind, const std::string& path);
  void CatchUp(size_t member, net::Time until);
  const Tree& ViewOf(const Connection& connection) const;

  net::Loop& loop_;
  const EnsembleLimits limits_;
  Tree tree_;
  std::vector<std::unique_ptr<Member>> members_;
  std::unordered_map<std::int64_t, Session> sessions_;
  std::int64_t next_session_;
  std::uint64_t random_;
  Watches watches_;
  Count count_;
  bool majority_ = true;
  std::optional<std::int64_t> lose_answer_;
  net::Timer sweep_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_COORDINATOR_ENSEMBLE_H_

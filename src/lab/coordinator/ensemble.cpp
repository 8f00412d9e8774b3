#include "lab/coordinator/ensemble.h"

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <utility>

#include "jute/requests.h"
#include "lab/coordinator/connection.h"

namespace umberdyke::lab {

using net::Clock;
using net::Span;
using namespace std::chrono_literals;

namespace {

constexpr Span kSweep = 20ms;
constexpr Span kSurely = 30ms;  // a connection that stands so long after an answer has delivered it

bool Writes(std::int32_t type) {
  return type == jute::kCreate || type == jute::kCreate2 || type == jute::kDelete || type == jute::kSet ||
         type == jute::kSetAcl || type == jute::kMulti;
}

}  // namespace

Ensemble::Ensemble(net::Loop& loop, const std::vector<std::string>& addresses, EnsembleLimits limits,
                   std::uint64_t seed)
    : loop_(loop),
      limits_(limits),
      next_session_(static_cast<std::int64_t>((seed & 0xff) << 48 | 0x1000)),
      random_(seed),
      sweep_(loop, [this] { Sweep(); }) {
  for (size_t i = 0; i < addresses.size(); ++i) {
    members_.push_back(std::make_unique<Member>(loop, [this, i] { Come(i); }));
    const auto address = net::ParseAddress(addresses[i]);
    const std::string error = address ? members_[i]->listener.Listen(*address) : "no address";
    if (!error.empty()) throw std::runtime_error("coordinator: " + addresses[i] + ": " + error);
  }
  sweep_.Start(kSweep);
}

Ensemble::~Ensemble() = default;

MemberFaults& Ensemble::faults(size_t member) { return members_[member]->faults; }

std::vector<std::string> Ensemble::addresses() const {
  std::vector<std::string> all;
  for (const auto& member : members_) all.push_back(net::PrintAddress(member->listener.address()));
  return all;
}

void Ensemble::SetLagging(size_t member, bool on) {
  members_[member]->faults.lagging = on;
  members_[member]->stale = on ? std::optional(tree_) : std::nullopt;
}

void Ensemble::SetLag(size_t member, Span lag) {
  Member& at = *members_[member];
  if (lag.count() == 0) CatchUp(member, net::Time::max());
  at.faults.lag = lag;
  if (lag.count() > 0 && !at.stale) at.stale = tree_;
  if (lag.count() == 0 && !at.faults.lagging && !at.faults.cut_off) at.stale.reset();
}

void Ensemble::SetCutOff(size_t member, bool on) {
  Member& at = *members_[member];
  at.faults.cut_off = on;
  if (on && !at.stale) at.stale = tree_;
  if (on) return;
  // It has missed what there was: it drops its clients, as it does before it follows a leader again.
  CloseConnections(member);
  CatchUp(member, net::Time::max());
  if (!at.faults.lagging && at.faults.lag.count() == 0) at.stale.reset();
}

void Ensemble::SetMajority(bool on) {
  if (majority_ == on) return;
  majority_ = on;
  if (!on) {
    for (size_t i = 0; i < members_.size(); ++i) CloseConnections(i);
    return;
  }
  ChangeLeader();
}

void Ensemble::ChangeLeader() {
  tree_.ContinueAt(((tree_.zxid() >> 32) + 1) << 32);
  for (size_t i = 0; i < members_.size(); ++i) {
    CloseConnections(i);
    CatchUp(i, net::Time::max());
  }
  // A new leader knows of the sessions, and gives each its whole time again.
  for (auto& [id, session] : sessions_) session.heard = Clock::now();
}

// A member that lags hears of what was committed before `until`.
void Ensemble::CatchUp(size_t member, net::Time until) {
  Member& at = *members_[member];
  if (at.faults.cut_off && until != net::Time::max()) return;
  std::shared_ptr<const Tree> newest;
  while (!at.coming.empty() && at.coming.front().first <= until) {
    newest = std::move(at.coming.front().second);
    at.coming.pop_front();
  }
  if (newest && at.stale) at.stale = *newest;
  while (!at.notices.empty() && at.notices.front().when <= until) {
    const Member::Notice notice = std::move(at.notices.front());
    at.notices.pop_front();
    Deliver(notice.connection, notice.kind, notice.path);
  }
}

// Every change of a write that was done, for whoever lags behind and for judges.
void Ensemble::Committed(std::int64_t session, const std::vector<TreeChange>& changes) {
  std::shared_ptr<const Tree> state;
  for (const auto& member : members_) {
    if (member->faults.lag.count() == 0 && !member->faults.cut_off) continue;
    if (state == nullptr) state = std::make_shared<const Tree>(tree_);
    member->coming.emplace_back(Clock::now() + member->faults.lag, state);
  }
  if (!on_commit) return;
  for (const TreeChange& change : changes) {
    if (change.kind == ChangeKind::kChildren) continue;
    Commit commit{tree_.zxid(), change.kind, change.path, "", session};
    Stat stat;
    tree_.Get(change.path, {}, &commit.data, &stat);
    if (change.kind == ChangeKind::kCreated && stat.czxid != 0) commit.zxid = stat.czxid;
    on_commit(commit);
  }
}

void Ensemble::CloseConnections(size_t member) {
  std::vector<Connection*> all;
  for (const auto& connection : members_[member]->connections) all.push_back(connection.get());
  for (Connection* connection : all) connection->Drop();
}

void Ensemble::KillSession(std::int64_t session) {
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  Connection* connection = it->second.connection;
  EndSession(session);
  if (connection != nullptr) connection->Drop();
}

void Ensemble::JumpTimeout(std::int64_t session) {
  if (const auto it = sessions_.find(session); it != sessions_.end()) it->second.heard = net::Time();
}

void Ensemble::LoseNextNotice(std::int64_t session) {
  if (const auto it = sessions_.find(session); it != sessions_.end()) it->second.lose_next = true;
}

std::vector<std::int64_t> Ensemble::sessions() const {
  std::vector<std::int64_t> all;
  for (const auto& [id, session] : sessions_) all.push_back(id);
  std::sort(all.begin(), all.end());
  return all;
}

std::int64_t Ensemble::OwnerOf(const std::string& path) const {
  Stat stat;
  return tree_.Exists(path, &stat) == Code::kOk ? stat.owner : 0;
}

void Ensemble::Come(size_t member) {
  Member& at = *members_[member];
  auto connection = std::make_unique<Connection>(*this, member);
  if (!connection->stream.Accept(at.listener)) return;
  if (at.faults.refuse || !majority_) {
    loop_.DestroyLater(std::move(connection));
    return;
  }
  connection->stream.Read();
  at.connections.push_back(std::move(connection));
}

void Ensemble::Gone(Connection* connection) {
  if (const auto it = sessions_.find(connection->session);
      it != sessions_.end() && it->second.connection == connection) {
    it->second.connection = nullptr;  // the session itself lives until its time has run out
  }
  for (auto* watches : {&watches_.data, &watches_.exists, &watches_.children}) {
    for (auto watch = watches->begin(); watch != watches->end();) {
      watch->second.erase(connection);
      watch = watch->second.empty() ? watches->erase(watch) : std::next(watch);
    }
  }
  std::erase_if(members_[connection->member]->notices,
                [&](const Member::Notice& notice) { return notice.connection == connection; });
  auto& all = members_[connection->member]->connections;
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& c) { return c.get() == connection; });
  if (it == all.end()) return;
  loop_.DestroyLater(std::move(*it));
  all.erase(it);
}

const Tree& Ensemble::ViewOf(const Connection& connection) const {
  const Member& member = *members_[connection.member];
  const MemberFaults& faults = member.faults;
  const bool behind = faults.lagging || faults.lag.count() > 0 || faults.cut_off;
  return behind && member.stale ? *member.stale : tree_;
}

void Ensemble::Take(Connection& connection, std::string_view packet) {
  jute::Reader in(packet);
  if (connection.session == 0) {
    Connect(connection, in);
  } else {
    Request(connection, in);
  }
}

void Ensemble::Connect(Connection& connection, jute::Reader& in) {
  in.Int();  // the protocol's version, 0
  const std::int64_t seen = in.Long();
  const std::int32_t asked = in.Int();
  const std::int64_t id = in.Long();
  const std::string password = in.Text();
  const bool tells_read_only = in.ok() && !in.empty();
  if (!in.ok()) return connection.Drop();
  if (members_[connection.member]->faults.cut_off) return;  // a session is the leader's to open: no answer
  // A client that saw more than this member knows is sent on: its view must never go back.
  if (seen > ViewOf(connection).zxid() && !members_[connection.member]->faults.lagging)
    return connection.Drop();
  Session* session = nullptr;
  if (id == 0) {
    session = &sessions_[next_session_];
    session->id = next_session_++;
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    session->password = jute::Writer().Long(static_cast<std::int64_t>(random_)).Long(session->id).bytes();
    session->timeout =
        std::clamp<Span>(std::chrono::milliseconds(asked), limits_.least_session, limits_.most_session);
  } else if (const auto it = sessions_.find(id); it != sessions_.end() && it->second.password == password) {
    session = &it->second;
    if (session->connection != nullptr && session->connection != &connection) {
      Connection* before = session->connection;
      session->connection = nullptr;
      before->Drop();
    }
  }
  jute::Writer out;
  const auto millis = session == nullptr
                          ? 0
                          : std::chrono::duration_cast<std::chrono::milliseconds>(session->timeout).count();
  out.Int(0).Int(static_cast<std::int32_t>(millis)).Long(session == nullptr ? 0 : session->id);
  out.Text(session == nullptr ? std::string(16, '\0') : session->password);
  if (tells_read_only) out.Bool(false);
  connection.Send(out);
  if (session == nullptr) return;  // told that it has expired; the client closes
  session->connection = &connection;
  session->heard = Clock::now();
  connection.session = session->id;
}

void Ensemble::Request(Connection& connection, jute::Reader& in) {
  const std::int32_t xid = in.Int(), type = in.Int();
  const auto it = sessions_.find(connection.session);
  if (!in.ok() || it == sessions_.end()) return connection.Drop();
  ++count_.requests;
  Session& session = it->second;
  Member& at = *members_[connection.member];
  if (at.faults.cut_off && (Writes(type) || type == jute::kSync || type == jute::kClose)) return;
  if (!at.faults.cut_off) session.heard = Clock::now();
  CatchUp(connection.member, type == jute::kSync || Writes(type) ? net::Time::max() : Clock::now());
  if (!connection.stream.open()) return;
  jute::Writer body;
  std::vector<TreeChange> changes;
  const std::int64_t id = session.id;
  Code code = Code::kOk;
  if (Writes(type) && members_[connection.member]->faults.read_only) {
    code = Code::kNotReadOnly;
  } else {
    code = Serve(connection, session, type, in, &body, &changes);
    if (!in.ok()) code = Code::kMarshalling;
  }
  // A write through a lagging member has reached the others: it catches up before it answers.
  if (!changes.empty() && at.stale) at.stale = tree_;
  if (!changes.empty()) Committed(id, changes);
  if (type == jute::kClose) EndSession(id);
  Apply(changes);  // notices go before the answer that shows the change
  if (!connection.stream.open()) return;
  if (!changes.empty() && lose_answer_ && (*lose_answer_ == 0 || *lose_answer_ == id)) {
    lose_answer_.reset();
    ++count_.answers_lost;
    return connection.Drop();
  }
  jute::Writer out;
  out.Int(xid).Long(ViewOf(connection).zxid()).Int(static_cast<std::int32_t>(code));
  if (code == Code::kOk || type == jute::kMulti) out.Raw(body.bytes());
  connection.Send(out);
  if (code == Code::kAuthFailed) connection.Drop();
}

void Ensemble::Apply(const std::vector<TreeChange>& changes) {
  for (const TreeChange& change : changes) {
    std::set<Connection*> told;
    const auto fire = [&](auto& watches) {
      const auto it = watches.find(change.path);
      if (it == watches.end()) return;
      told.insert(it->second.begin(), it->second.end());
      watches.erase(it);
    };
    if (change.kind == ChangeKind::kChildren) {
      fire(watches_.children);
    } else {
      fire(watches_.data);
      fire(watches_.exists);
      if (change.kind == ChangeKind::kDeleted) fire(watches_.children);
    }
    for (Connection* connection : told) Notify(connection, change.kind, change.path);
  }
}

void Ensemble::Notify(Connection* connection, ChangeKind kind, const std::string& path) {
  Member& member = *members_[connection->member];
  if (member.faults.lag.count() == 0 && !member.faults.cut_off) return Deliver(connection, kind, path);
  member.notices.push_back({Clock::now() + member.faults.lag, connection, kind, path});
}

void Ensemble::Deliver(Connection* connection, ChangeKind kind, const std::string& path) {
  if (!connection->stream.open()) return;
  const auto it = sessions_.find(connection->session);
  if (it != sessions_.end() && std::exchange(it->second.lose_next, false)) return connection->Drop();
  ++count_.notices;
  connection->Send(jute::Writer()
                       .Int(-1)
                       .Long(-1)
                       .Int(0)
                       .Int(static_cast<std::int32_t>(kind))
                       .Int(3)  // connected
                       .Text(path));
}

void Ensemble::EndSession(std::int64_t id) {
  sessions_.erase(id);
  std::vector<TreeChange> changes;
  tree_.EndSession(id, &changes);
  if (!changes.empty()) Committed(id, changes);
  Apply(changes);
}

void Ensemble::Sweep() {
  const net::Time now = Clock::now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, session] : sessions_) {
    if (majority_ && now - session.heard > session.timeout) ended.push_back(id);
  }
  for (size_t i = 0; i < members_.size(); ++i) CatchUp(i, now);
  for (const auto& member : members_) {
    for (const auto& connection : member->connections) {
      auto& reads = connection->reads;
      while (!reads.empty() && reads.front().sent != net::Time() && now - reads.front().sent > kSurely) {
        if (on_read) on_read(reads.front().path, reads.front().data, connection->session, reads.front().sent);
        reads.pop_front();
      }
    }
  }
  for (const std::int64_t id : ended) {
    ++count_.expired;
    KillSession(id);
  }
  sweep_.Start(kSweep);
}

}  // namespace umberdyke::lab

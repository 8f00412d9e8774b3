#include "lab/coordinator/ensemble.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <utility>

namespace umberdyke::lab {

using net::Clock;
using net::Span;
using namespace std::chrono_literals;

namespace {

constexpr Span kSweep = 20ms;
constexpr Span kSurely = 30ms;  // a connection that stands so long after an answer has delivered it
constexpr size_t kLargestPacket = size_t{1} << 20;  // as real services have it

enum Type : std::int32_t {
  kCreate = 1,
  kDelete = 2,
  kExists = 3,
  kGet = 4,
  kSet = 5,
  kGetAcl = 6,
  kSetAcl = 7,
  kGetChildren = 8,
  kSync = 9,
  kPing = 11,
  kGetChildren2 = 12,
  kCheck = 13,
  kMulti = 14,
  kCreate2 = 15,
  kAuth = 100,
  kSetWatches = 101,
  kClose = -11,
};

bool Writes(std::int32_t type) {
  return type == kCreate || type == kCreate2 || type == kDelete || type == kSet || type == kSetAcl ||
         type == kMulti;
}

void Put(jute::Writer* out, const Stat& stat) {
  out->Long(stat.czxid).Long(stat.mzxid).Long(stat.ctime).Long(stat.mtime);
  out->Int(stat.version).Int(stat.cversion).Int(stat.aversion).Long(stat.owner);
  out->Int(stat.length).Int(stat.children).Long(stat.pzxid);
}

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// "user:password" as lists of rights name it: "user:" and the base64 of its SHA-1.
std::string DigestIdentity(const std::string& secret) {
  unsigned char hash[20];
  if (gnutls_hash_fast(GNUTLS_DIG_SHA1, secret.data(), secret.size(), hash) != 0) return "";
  const gnutls_datum_t raw{hash, sizeof hash};
  gnutls_datum_t text{};
  if (gnutls_base64_encode2(&raw, &text) != 0) return "";
  std::string result = secret.substr(0, secret.find(':')) + ":" +
                       std::string(reinterpret_cast<const char*>(text.data), text.size);
  gnutls_free(text.data);
  return result;
}

// The list of rights of a request; the scheme "auth" stands for whoever asks.
std::vector<Acl> ReadAcl(jute::Reader& in, const Identities& who, bool* valid) {
  std::vector<Acl> list;
  const std::int32_t count = in.Int();
  *valid = count > 0;
  for (std::int32_t i = 0; in.ok() && i < count; ++i) {
    Acl acl;
    acl.permissions = in.Int();
    acl.scheme = in.Text();
    acl.id = in.Text();
    if (acl.scheme != "auth") {
      *valid = *valid && (acl.scheme == "world" || acl.scheme == "digest");
      list.push_back(acl);
      continue;
    }
    if (who.empty()) *valid = false;
    for (const std::string& identity : who) {
      const size_t colon = identity.find(':');
      list.push_back({acl.permissions, identity.substr(0, colon), identity.substr(colon + 1)});
    }
  }
  return list;
}

}  // namespace

struct Ensemble::Member {
  Member(net::Loop& loop, std::function<void()> come) : listener(loop, std::move(come)) {}
  net::Listener listener;
  MemberFaults faults;
  std::optional<Tree> stale;  // what a lagging member serves
  std::vector<std::unique_ptr<Connection>> connections;
};

// One client: its packets in order, and its answers in order however they are delayed.
class Ensemble::Connection : public net::StreamUser {
 public:
  Connection(Ensemble& owner, size_t member)
      : owner_(owner), member(member), stream(owner.loop_, this), timer_(owner.loop_, [this] { Flush(); }) {}

  void OnData(std::string_view bytes) override {
    if (owner_.members_[member]->faults.silent) return;  // read and thrown away: the client sees silence
    buffer_ += bytes;
    while (stream.open() && buffer_.size() >= 4) {
      const auto length = static_cast<size_t>(static_cast<std::uint32_t>(jute::Reader(buffer_).Int()));
      if (length > kLargestPacket) return Drop();
      if (buffer_.size() < 4 + length) return;
      const std::string packet = buffer_.substr(4, length);
      buffer_.erase(0, 4 + length);
      owner_.Take(*this, packet);
    }
  }
  void OnEnd() override { Drop(); }
  void OnWritten(bool ok) override {
    if (!ok) Drop();
  }

  void Send(const jute::Writer& message) {
    MemberFaults& faults = owner_.members_[member]->faults;
    if (!stream.open() || faults.silent) return;
    std::string bytes = message.Framed();
    if (faults.garbage) {
      bytes = std::string("\x00\x00\x00\x08garbage!", 12);
      reads.clear();
    }
    owner_.count_.bytes_out += bytes.size();
    Span wait = faults.delay;
    if (faults.jitter.count() > 0) {
      owner_.random_ = owner_.random_ * 6364136223846793005ULL + 1442695040888963407ULL;
      wait += Span(
          static_cast<Span::rep>((owner_.random_ >> 33) % static_cast<std::uint64_t>(faults.jitter.count())));
    }
    if (wait.count() == 0 && waiting_.empty()) return Write(std::move(bytes));
    const net::Time due =
        std::max(Clock::now() + wait, waiting_.empty() ? net::Time() : waiting_.back().first);
    waiting_.emplace_back(due, std::move(bytes));
    if (waiting_.size() == 1) timer_.Start(wait);
  }
  void Drop() {
    if (!stream.open()) return;
    timer_.Stop();
    stream.Close();
    owner_.Gone(this);
  }

 private:
  void Write(std::string bytes) {
    MemberFaults& faults = owner_.members_[member]->faults;
    stream.Write(std::move(bytes));
    for (Read& read : reads) {
      if (read.sent == net::Time()) read.sent = Clock::now();
    }
    if (!faults.half_close) return;
    faults.half_close = false;
    stream.EndSending();
  }
  void Flush() {
    while (!waiting_.empty() && waiting_.front().first <= Clock::now()) {
      std::string bytes = std::move(waiting_.front().second);
      waiting_.pop_front();
      Write(std::move(bytes));
    }
    if (!waiting_.empty()) timer_.Start(std::max<Span>(1ms, waiting_.front().first - Clock::now()));
  }

  Ensemble& owner_;

 public:
  const size_t member;
  std::int64_t session = 0;  // 0 until it has connected
  struct Read {
    std::string path, data;
    net::Time sent;  // none yet while its answer waits
  };
  std::deque<Read> reads;  // told to nobody yet
  net::Stream stream;

 private:
  std::string buffer_;
  std::deque<std::pair<net::Time, std::string>> waiting_;
  net::Timer timer_;
};

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
  if (!connection->stream.Accept(at.listener.raw())) return;
  if (at.faults.refuse) {
    connection->stream.Close();
    loop_.Bury(std::move(connection));
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
  auto& all = members_[connection->member]->connections;
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& c) { return c.get() == connection; });
  if (it == all.end()) return;
  loop_.Bury(std::move(*it));
  all.erase(it);
}

const Tree& Ensemble::ViewOf(const Connection& connection) const {
  const Member& member = *members_[connection.member];
  return member.faults.lagging && member.stale ? *member.stale : tree_;
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
  session.heard = Clock::now();
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
  if (!changes.empty() && members_[connection.member]->stale) members_[connection.member]->stale = tree_;
  if (type == kClose) EndSession(id);
  Apply(changes);  // notices go before the answer that shows the change
  if (!connection.stream.open()) return;
  jute::Writer out;
  out.Int(xid).Long(ViewOf(connection).zxid()).Int(static_cast<std::int32_t>(code));
  if (code == Code::kOk || type == kMulti) out.Raw(body.bytes());
  connection.Send(out);
  if (code == Code::kAuthFailed) connection.Drop();
}

Code Ensemble::Serve(Connection& connection, Session& session, std::int32_t type, jute::Reader& in,
                     jute::Writer* out, std::vector<TreeChange>* changes) {
  const Tree& view = ViewOf(connection);
  const Identities& who = session.identities;
  Stat stat;
  switch (type) {
    case kPing:
    case kClose:
      return Code::kOk;
    case kCreate:
    case kCreate2: {
      const std::string path = in.Text();
      std::string data = in.Text(), created;
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, who, &valid);
      const std::int32_t flags = in.Int();
      if (!in.ok()) return Code::kMarshalling;
      if (!valid) return static_cast<Code>(-114);  // invalid list of rights
      const Code code = tree_.Create(path, std::move(data), std::move(acl), flags, session.id, WallMillis(),
                                     who, &created, changes);
      out->Text(created);
      if (type == kCreate2 && code == Code::kOk) {
        tree_.Exists(created, &stat);
        Put(out, stat);
      }
      return code;
    }
    case kDelete: {
      const std::string path = in.Text();
      const std::int32_t version = in.Int();
      return in.ok() ? tree_.Delete(path, version, who, changes) : Code::kMarshalling;
    }
    case kSet: {
      const std::string path = in.Text();
      std::string data = in.Text();
      const std::int32_t version = in.Int();
      if (!in.ok()) return Code::kMarshalling;
      const Code code = tree_.Set(path, std::move(data), version, WallMillis(), who, &stat, changes);
      Put(out, stat);
      return code;
    }
    case kCheck: {
      const std::string path = in.Text();
      return tree_.Check(path, in.Int());
    }
    case kExists: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      const Code code = view.Exists(path, &stat);
      if (watch) (code == Code::kOk ? watches_.data : watches_.exists)[path].insert(&connection);
      Put(out, stat);
      return code;
    }
    case kGet: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      std::string data;
      const Code code = view.Get(path, who, &data, &stat);
      if (watch && code == Code::kOk) watches_.data[path].insert(&connection);
      if (code == Code::kOk) connection.reads.push_back({path, data, {}});
      out->Text(data);
      Put(out, stat);
      return code;
    }
    case kGetAcl: {
      std::vector<Acl> acl;
      const Code code = view.AclOf(in.Text(), &acl, &stat);
      out->Int(static_cast<std::int32_t>(acl.size()));
      for (const Acl& a : acl) out->Int(a.permissions).Text(a.scheme).Text(a.id);
      Put(out, stat);
      return code;
    }
    case kSetAcl: {
      const std::string path = in.Text();
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, who, &valid);
      in.Int();
      if (!valid) return static_cast<Code>(-114);
      const Code code = tree_.SetAcl(path, std::move(acl), &stat);
      Put(out, stat);
      return code;
    }
    case kGetChildren:
    case kGetChildren2: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      std::vector<std::string> names;
      const Code code = view.Children(path, who, &names, &stat);
      if (watch && code == Code::kOk) watches_.children[path].insert(&connection);
      out->Texts(names);
      if (type == kGetChildren2) Put(out, stat);
      return code;
    }
    case kSync:
      out->Text(in.Text());
      return Code::kOk;
    case kMulti:
      return Multi(session, in, out, changes);
    case kAuth: {
      in.Int();
      const std::string scheme = in.Text(), secret = in.Text();
      if (scheme != "digest" || secret.find(':') == std::string::npos) return Code::kAuthFailed;
      session.identities.insert("digest:" + DigestIdentity(secret));
      return Code::kOk;
    }
    case kSetWatches:
      return SetWatches(connection, session, in);
    default:
      return Code::kUnimplemented;
  }
}

// All or nothing: what is done is done on a copy, which takes the tree's place where every part went well.
Code Ensemble::Multi(Session& session, jute::Reader& in, jute::Writer* out,
                     std::vector<TreeChange>* changes) {
  Tree draft = tree_;
  struct Done {
    std::int32_t type;
    Code code;
    std::string created;
    Stat stat;
  };
  std::vector<Done> all;
  bool failed = false;
  while (in.ok()) {
    const std::int32_t type = in.Int();
    const bool end = in.Bool();
    in.Int();
    if (end || !in.ok()) break;
    Done done{type, Code::kOk, "", {}};
    const std::string path = in.Text();
    if (type == kCreate || type == kCreate2) {
      std::string data = in.Text();
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, session.identities, &valid);
      const std::int32_t flags = in.Int();
      done.code = !valid ? static_cast<Code>(-114)
                         : draft.Create(path, std::move(data), std::move(acl), flags, session.id,
                                        WallMillis(), session.identities, &done.created, changes);
    } else if (type == kDelete) {
      done.code = draft.Delete(path, in.Int(), session.identities, changes);
    } else if (type == kSet) {
      std::string data = in.Text();
      const std::int32_t version = in.Int();
      done.code =
          draft.Set(path, std::move(data), version, WallMillis(), session.identities, &done.stat, changes);
    } else if (type == kCheck) {
      done.code = draft.Check(path, in.Int());
    } else {
      return Code::kUnimplemented;
    }
    if (failed) done.code = Code::kInconsistent;
    failed = failed || done.code != Code::kOk;
    all.push_back(std::move(done));
  }
  if (!in.ok()) return Code::kMarshalling;
  for (const Done& done : all) {
    if (failed) {
      const Code code = done.code;
      out->Int(-1).Bool(false).Int(static_cast<std::int32_t>(code)).Int(static_cast<std::int32_t>(code));
      continue;
    }
    out->Int(done.type).Bool(false).Int(0);
    if (done.type == kCreate || done.type == kCreate2) out->Text(done.created);
    if (done.type == kSet) Put(out, done.stat);
  }
  out->Int(-1).Bool(true).Int(-1);
  if (failed) {
    changes->clear();
  } else {
    tree_ = std::move(draft);
  }
  return Code::kOk;  // what went wrong stands with each part
}

// After a reconnect: what changed behind the client's back is told now, for the rest watches are set anew.
Code Ensemble::SetWatches(Connection& connection, const Session& /*session*/, jute::Reader& in) {
  const std::int64_t seen = in.Long();
  const std::vector<std::string> data = in.Texts(), exists = in.Texts(), children = in.Texts();
  if (!in.ok()) return Code::kMarshalling;
  const Tree& view = ViewOf(connection);
  Stat stat;
  // A notice may have ended the connection: a watch of it would point at nothing.
  const auto watch = [&](auto& watches, const std::string& path) {
    if (connection.stream.open()) watches[path].insert(&connection);
  };
  for (const std::string& path : data) {
    if (view.Exists(path, &stat) != Code::kOk) {
      Notify(&connection, ChangeKind::kDeleted, path);
    } else if (stat.mzxid > seen) {
      Notify(&connection, ChangeKind::kData, path);
    } else {
      watch(watches_.data, path);
    }
  }
  for (const std::string& path : exists) {
    if (view.Exists(path, &stat) == Code::kOk) {
      Notify(&connection, ChangeKind::kCreated, path);
    } else {
      watch(watches_.exists, path);
    }
  }
  for (const std::string& path : children) {
    if (view.Exists(path, &stat) != Code::kOk) {
      Notify(&connection, ChangeKind::kDeleted, path);
    } else if (stat.pzxid > seen) {
      Notify(&connection, ChangeKind::kChildren, path);
    } else {
      watch(watches_.children, path);
    }
  }
  return Code::kOk;
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
  Apply(changes);
}

void Ensemble::Sweep() {
  const net::Time now = Clock::now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, session] : sessions_) {
    if (now - session.heard > session.timeout) ended.push_back(id);
  }
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

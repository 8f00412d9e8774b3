// Implements the ZooKeeper client: connection management, heartbeats, requests and watches.
#include "zookeeper/node_client.h"

#include <algorithm>
#include <utility>

#include "jute/requests.h"

namespace umberdyke::nodes {

using net::Clock;
using net::Span;
using namespace std::chrono_literals;

namespace {

// Large enough for a list of 100,000 names. A larger length is treated as malformed.
constexpr size_t kMaxMessageBytes = size_t{16} << 20;
constexpr Span kInitialBackoff =
    10ms;  // before the next address; doubles after each round of failed addresses
constexpr Span kMaxBackoff = 500ms;
constexpr Span kMinConnectTimeout = 150ms;
constexpr int kEphemeral = 1, kSequential = 2;  // create flags of the protocol

NodeStat ReadStat(jute::Reader& in) {
  NodeStat stat;
  stat.created_zxid = in.Long();
  stat.modified_zxid = in.Long();
  in.Long();
  stat.modified_ms = in.Long();
  stat.version = in.Int();
  in.Int();
  in.Int();
  stat.owner = in.Long();
  in.Int();
  in.Int();
  stat.children_zxid = in.Long();
  return stat;
}

}  // namespace

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ErrorText(int rc) {
  switch (rc) {
    case kOk:
      return "ok";
    case kConnectionLost:
      return "the connection was lost";
    case kNoNode:
      return "no such node";
    case kNoAuth:
      return "not allowed";
    case kBadVersion:
      return "the node has another version";
    case kInconsistent:
      return "another part failed";
    case kNoChildrenForEphemerals:
      return "an ephemeral node has no children";
    case kNodeExists:
      return "the node exists";
    case kNotEmpty:
      return "the node has children";
    case kSessionExpired:
      return "the session has expired";
    case kAuthFailed:
      return "authentication failed";
    case kClosing:
      return "stopped";
    default:
      return "error " + std::to_string(rc);
  }
}

NodeClient::NodeClient(net::Loop& loop, ClientSettings settings, Callbacks callbacks)
    : loop_(loop),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      random_(std::random_device()()),
      timer_(loop, [this] { OnTimer(); }) {
  for (const std::string& server : settings_.servers) {
    if (const auto address = net::ParseAddress(server)) servers_.push_back(*address);
  }
  // Shuffle the addresses, because clients that start together must not all connect to the same one first.
  std::shuffle(servers_.begin(), servers_.end(), random_);
}

NodeClient::~NodeClient() { Stop(); }

void NodeClient::Start() {
  if (state_ != State::kStopped || servers_.empty()) return;
  Connect();
}

void NodeClient::Stop() {
  if (state_ == State::kConnected) Send(jute::Writer().Int(++xid_).Int(jute::kClose));
  Abandon();
}

void NodeClient::Abandon() {
  ClearSession();
  FailCalls(kClosing);
}

void NodeClient::ClearSession() {
  state_ = State::kStopped;
  timer_.Stop();
  CloseConnection();
  session_ = 0;
  password_.clear();
  data_watches_.clear();
  exists_watches_.clear();
  child_watches_.clear();
}

void NodeClient::StartNewSession() {
  Stop();
  last_zxid_ = 0;
  Start();
}

void NodeClient::CloseConnection() {
  if (stream_ == nullptr) return;
  loop_.DestroyLater(std::move(stream_));
  stream_.reset();
  buffer_.clear();
}

void NodeClient::Connect() {
  state_ = State::kConnecting;
  stream_ = std::unique_ptr<net::Stream>(new net::Stream(loop_, this));
  const net::Address& to = servers_[next_server_++ % servers_.size()];
  // Divide the session timeout among the addresses so that all are tried before the session expires.
  const Span part = Span(settings_.session) / static_cast<Span::rep>(servers_.size() + 1);
  timer_.Start(std::max<Span>(part, kMinConnectTimeout));
  if (!stream_->Connect(to)) OnConnectionLost();
}

void NodeClient::OnConnected(bool ok) {
  if (!ok) return OnConnectionLost();
  state_ = State::kHandshaking;
  stream_->Read();
  jute::Writer request;
  request.Int(0).Long(last_zxid_).Int(static_cast<std::int32_t>(settings_.session.count())).Long(session_);
  request.Text(password_.empty() ? std::string(16, '\0') : password_).Bool(false);
  Send(request);
}

// Handles any loss of the connection. Calls in flight may or may not have been applied.
void NodeClient::OnConnectionLost() {
  if (state_ == State::kStopped || state_ == State::kWaiting) return;
  const bool was_connected = state_ == State::kConnected;
  state_ = State::kWaiting;
  CloseConnection();
  ++failed_attempts_;
  const auto rounds = std::min<size_t>(static_cast<size_t>(failed_attempts_) / servers_.size(), 6);
  const Span max_backoff = std::min(kMaxBackoff, kInitialBackoff * (Span::rep{1} << rounds));
  timer_.Start(Span(static_cast<Span::rep>(static_cast<double>(max_backoff.count()) *
                                           std::uniform_real_distribution<double>(0.5, 1)(random_))));
  FailCalls(kConnectionLost);
  if (was_connected && state_ == State::kWaiting) callbacks_.session(Session::kInterrupted);
}

void NodeClient::FailCalls(int rc) {
  std::deque<Call> calls;
  calls.swap(calls_);
  for (const Call& call : calls) {
    jute::Reader none("");
    call.done(rc, none);
  }
}

void NodeClient::OnTimer() {
  switch (state_) {
    case State::kStopped:
      return;
    case State::kWaiting:
      return Connect();
    case State::kConnecting:
    case State::kHandshaking:
      return OnConnectionLost();
    case State::kConnected:
      break;
  }
  const net::Time now = Clock::now();
  // Give up after two thirds of the session timeout without a response. The remaining third is left for
  // reconnecting to another server.
  if (now - last_received_ >= session_timeout_ * 2 / 3) return OnConnectionLost();
  if (now - last_sent_ >= session_timeout_ / 3) Send(jute::Writer().Int(jute::kPingXid).Int(jute::kPing));
  timer_.Start(std::max<Span>(
      1ms, std::min(last_sent_ + session_timeout_ / 3, last_received_ + session_timeout_ * 2 / 3) - now));
}

void NodeClient::Send(const jute::Writer& message) {
  last_sent_ = Clock::now();
  if (stream_ != nullptr && stream_->open()) stream_->Write(message.Framed());
}

void NodeClient::OnData(std::string_view bytes) {
  buffer_ += bytes;
  last_received_ = Clock::now();
  size_t at = 0;
  const net::Stream* stream = stream_.get();
  while (buffer_.size() - at >= 4) {
    const auto length = static_cast<size_t>(
        static_cast<std::uint32_t>(jute::Reader(std::string_view(buffer_).substr(at)).Int()));
    if (length > kMaxMessageBytes) return OnConnectionLost();
    if (buffer_.size() - at < 4 + length) break;
    const std::string packet = buffer_.substr(at + 4, length);
    at += 4 + length;
    jute::Reader in(packet);
    if (state_ == State::kHandshaking) {
      HandleHandshake(in);
    } else {
      HandleReply(in);
    }
    if (stream_.get() != stream || stream_ == nullptr) return;  // a callback closed this connection
  }
  buffer_.erase(0, at);
}

void NodeClient::HandleHandshake(jute::Reader& in) {
  in.Int();
  const std::int32_t timeout = in.Int();
  const std::int64_t session = in.Long();
  std::string password = in.Text();
  if (!in.ok()) return OnConnectionLost();
  if (session == 0 || timeout <= 0) {
    ClearSession();
    return callbacks_.session(Session::kExpired);
  }
  session_ = session;
  password_ = std::move(password);
  session_timeout_ = std::chrono::milliseconds(timeout);
  state_ = State::kConnected;
  failed_attempts_ = 0;
  if (!settings_.auth.empty()) {
    Send(jute::Writer().Int(jute::kAuthXid).Int(jute::kAuth).Int(0).Text("digest").Text(settings_.auth));
  }
  SetWatches();
  timer_.Start(session_timeout_ / 3);
  callbacks_.session(Session::kConnected);
}

// Registers the watches again on a new connection, since they belong to the connection. The service
// immediately reports the nodes that have changed since `last_zxid_`.
void NodeClient::SetWatches() {
  if (data_watches_.empty() && exists_watches_.empty() && child_watches_.empty()) return;
  const std::vector<std::string> data(data_watches_.begin(), data_watches_.end());
  const std::vector<std::string> exists(exists_watches_.begin(), exists_watches_.end());
  const std::vector<std::string> children(child_watches_.begin(), child_watches_.end());
  Send(jute::Writer()
           .Int(jute::kSetWatchesXid)
           .Int(jute::kSetWatches)
           .Long(last_zxid_)
           .Texts(data)
           .Texts(exists)
           .Texts(children));
}

void NodeClient::HandleReply(jute::Reader& in) {
  const std::int32_t xid = in.Int();
  const std::int64_t zxid = in.Long();
  const std::int32_t code = in.Int();
  if (!in.ok()) return OnConnectionLost();
  if (xid == jute::kWatchEventXid) return HandleWatchEvent(in);
  if (xid == jute::kPingXid || xid == jute::kSetWatchesXid) return;
  if (xid == jute::kAuthXid) {
    if (code == kOk) return;
    state_ = State::kStopped;
    timer_.Stop();
    CloseConnection();
    FailCalls(kAuthFailed);
    return callbacks_.session(Session::kAuthFailed);
  }
  // Responses arrive in call order. Any other xid is a protocol violation.
  if (calls_.empty() || calls_.front().xid != xid) return OnConnectionLost();
  if (zxid > 0) last_zxid_ = std::max(last_zxid_, zxid);
  const Call call = std::move(calls_.front());
  calls_.pop_front();
  call.done(code, in);
}

void NodeClient::HandleWatchEvent(jute::Reader& in) {
  const std::int32_t kind = in.Int();
  in.Int();
  std::string path = in.Text();
  if (!in.ok() || kind < 1 || kind > 4 || !path.starts_with(settings_.chroot)) return OnConnectionLost();
  const WatchEvent event = kind == 1   ? WatchEvent::kCreated
                           : kind == 2 ? WatchEvent::kDeleted
                           : kind == 3 ? WatchEvent::kChanged
                                       : WatchEvent::kChildren;
  if (kind != 4) data_watches_.erase(path);
  if (kind != 4) exists_watches_.erase(path);
  if (kind == 4 || kind == 2) child_watches_.erase(path);
  callbacks_.watch_event(event, path.substr(settings_.chroot.size()));
}

void NodeClient::SendRequest(std::int32_t type, const jute::Writer& body,
                             std::function<void(int rc, jute::Reader& in)> done) {
  if (state_ != State::kConnected) {
    loop_.Post(liveness_, [done = std::move(done)] {
      jute::Reader none("");
      done(kConnectionLost, none);
    });
    return;
  }
  calls_.push_back({++xid_, std::move(done)});
  Send(jute::Writer().Int(xid_).Int(type).Raw(body.bytes()));
}

// Reads data or a list of children, followed by the node's stat. A malformed response closes the connection.
template <typename Content>
void NodeClient::ReadNode(std::int32_t type, const std::string& path, Content (jute::Reader::*read)(),
                          std::set<std::string>* watches,
                          std::function<void(int, Content, const NodeStat&)> done) {
  const std::string full = FullPath(path);
  SendRequest(type, jute::Writer().Text(full).Bool(watches != nullptr),
              [this, full, read, watches, done = std::move(done)](int rc, jute::Reader& in) {
                Content content;
                NodeStat stat;
                if (rc == kOk) {
                  content = (in.*read)();
                  stat = ReadStat(in);
                  if (!in.ok()) {
                    done(kConnectionLost, {}, {});
                    return OnConnectionLost();
                  }
                  if (watches != nullptr) watches->insert(full);
                }
                done(rc, std::move(content), stat);
              });
}

void NodeClient::Children(const std::string& path, OnNames done) {
  ReadNode<std::vector<std::string>>(jute::kGetChildren2, path, &jute::Reader::Texts, &child_watches_,
                                     std::move(done));
}

void NodeClient::Get(const std::string& path, OnContent done) {
  ReadNode<std::string>(jute::kGet, path, &jute::Reader::Text, &data_watches_, std::move(done));
}

void NodeClient::Names(const std::string& path, OnNames done) {
  ReadNode<std::vector<std::string>>(jute::kGetChildren2, path, &jute::Reader::Texts, nullptr,
                                     std::move(done));
}

void NodeClient::Read(const std::string& path, OnContent done) {
  ReadNode<std::string>(jute::kGet, path, &jute::Reader::Text, nullptr, std::move(done));
}

void NodeClient::Exists(const std::string& path, bool watch,
                        std::function<void(int rc, const NodeStat& stat)> done) {
  const std::string full = FullPath(path);
  SendRequest(jute::kExists, jute::Writer().Text(full).Bool(watch),
              [this, full, watch, done = std::move(done)](int rc, jute::Reader& in) {
                NodeStat stat;
                if (rc == kOk) {
                  stat = ReadStat(in);
                  if (!in.ok()) {
                    done(kConnectionLost, {});
                    return OnConnectionLost();
                  }
                }
                if (watch && (rc == kOk || rc == kNoNode))
                  (rc == kOk ? data_watches_ : exists_watches_).insert(full);
                done(rc, stat);
              });
}

// With authentication configured, a node marked `own` is accessible only to its creator.
void NodeClient::WriteAcl(bool own, jute::Writer* body) const {
  body->Int(1).Int(31);
  if (own && !settings_.auth.empty()) {
    body->Text("auth").Text("");
  } else {
    body->Text("world").Text("anyone");
  }
}

void NodeClient::Create(const std::string& path, const std::string& data, int flags,
                        std::function<void(int rc, const std::string& path)> done) {
  jute::Writer body;
  body.Text(FullPath(path)).Text(data);
  WriteAcl((flags & kEphemeral) != 0, &body);
  body.Int(flags);
  SendRequest(jute::kCreate, body, [this, done = std::move(done)](int rc, jute::Reader& in) {
    std::string created = rc == kOk ? in.Text() : "";
    if (rc == kOk && created.starts_with(settings_.chroot)) created.erase(0, settings_.chroot.size());
    done(rc, created);
  });
}

void NodeClient::CreateEphemeral(const std::string& path, const std::string& data, OnDone done) {
  Create(path, data, kEphemeral, [done = std::move(done)](int rc, const std::string&) { done(rc); });
}

void NodeClient::CreatePersistent(const std::string& path, OnDone done) {
  CreateNode(path, "", std::move(done));
}

void NodeClient::CreateNode(const std::string& path, const std::string& data, OnDone done) {
  Create(path, data, 0, [done = std::move(done)](int rc, const std::string&) { done(rc); });
}

void NodeClient::CreateSequential(const std::string& prefix, const std::string& data,
                                  std::function<void(int rc, const std::string& path)> done) {
  Create(prefix, data, kEphemeral | kSequential, std::move(done));
}

void NodeClient::Sync(const std::string& path, OnDone done) {
  SendRequest(jute::kSync, jute::Writer().Text(FullPath(path)),
              [done = std::move(done)](int rc, jute::Reader&) { done(rc); });
}

void NodeClient::Multi(const std::vector<Op>& parts,
                       std::function<void(int rc, const std::vector<int>& each)> done) {
  jute::Writer body;
  for (const Op& part : parts) {
    const std::int32_t type = part.kind == Op::Kind::kCheck    ? jute::kCheck
                              : part.kind == Op::Kind::kCreate ? jute::kCreate
                              : part.kind == Op::Kind::kSet    ? jute::kSet
                                                               : jute::kDelete;
    body.Int(type).Bool(false).Int(-1).Text(FullPath(part.path));
    if (part.kind == Op::Kind::kCreate) {
      body.Text(part.data);
      WriteAcl(false, &body);
      body.Int(0);
    } else {
      if (part.kind == Op::Kind::kSet) body.Text(part.data);
      body.Int(part.version);
    }
  }
  body.Int(-1).Bool(true).Int(-1);
  SendRequest(jute::kMulti, body, [this, parts, done = std::move(done)](int rc, jute::Reader& in) {
    std::vector<int> each;
    for (size_t i = 0; rc == kOk && i < parts.size(); ++i) {
      const std::int32_t type = in.Int();
      in.Bool();
      const std::int32_t code = in.Int();
      if (type < 0) {
        each.push_back(in.Int());
      } else {
        each.push_back(code);
        if (type == jute::kCreate) in.Text();
        if (type == jute::kSet) ReadStat(in);
      }
    }
    if (rc == kOk && !in.ok()) {
      done(kConnectionLost, {});
      return OnConnectionLost();
    }
    // Report the first operation with an error of its own; kInconsistent only means that another one failed.
    for (const int code : each) {
      if (code != kOk && code != kInconsistent) {
        rc = code;
        break;
      }
      if (code != kOk) rc = code;
    }
    done(rc, each);
  });
}

void NodeClient::Set(const std::string& path, const std::string& data, OnDone done) {
  SendRequest(jute::kSet, jute::Writer().Text(FullPath(path)).Text(data).Int(-1),
              [done](int rc, jute::Reader&) { done(rc); });
}

void NodeClient::Delete(const std::string& path, OnDone done) {
  SendRequest(jute::kDelete, jute::Writer().Text(FullPath(path)).Int(-1),
              [done](int rc, jute::Reader&) { done(rc); });
}

}  // namespace umberdyke::nodes

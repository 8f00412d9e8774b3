#include "zookeeper/node_client.h"

#include <algorithm>
#include <utility>

#include "jute/requests.h"

namespace umberdyke::nodes {

using net::Clock;
using net::Span;
using namespace std::chrono_literals;

namespace {

// A list of 100,000 names fits; beyond it a length is a lie.
constexpr size_t kLargestMessage = size_t{16} << 20;
constexpr Span kFirstWait = 10ms;  // before the next address, and more once all have failed
constexpr Span kLongestWait = 500ms;
constexpr Span kLeastConnect = 150ms;
constexpr int kEphemeral = 1, kSequential = 2;  // the protocol's flags of a creation

NodeStat ReadStat(jute::Reader& in) {
  NodeStat stat;
  stat.birth = in.Long();
  stat.changed = in.Long();
  in.Long();
  stat.modified_ms = in.Long();
  stat.version = in.Int();
  in.Int();
  in.Int();
  stat.owner = in.Long();
  in.Int();
  in.Int();
  stat.listed = in.Long();
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

NodeClient::NodeClient(net::Loop& loop, ClientSettings settings, Owner owner)
    : loop_(loop),
      settings_(std::move(settings)),
      owner_(std::move(owner)),
      random_(std::random_device()()),
      timer_(loop, [this] { Due(); }) {
  for (const std::string& server : settings_.servers) {
    if (const auto address = net::ParseAddress(server)) servers_.push_back(*address);
  }
  // Clients that start together must not all begin with the same address.
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
  ForgetSession();
  EndCalls(kClosing);
}

void NodeClient::ForgetSession() {
  state_ = State::kStopped;
  timer_.Stop();
  Drop();
  session_ = 0;
  password_.clear();
  data_watches_.clear();
  exists_watches_.clear();
  child_watches_.clear();
}

void NodeClient::Renew() {
  Stop();
  seen_ = 0;
  Start();
}

void NodeClient::Drop() {
  if (stream_ == nullptr) return;
  stream_->Close();
  loop_.DestroyLater(std::move(stream_));
  stream_.reset();
  buffer_.clear();
}

void NodeClient::Connect() {
  state_ = State::kConnecting;
  stream_ = std::unique_ptr<net::Stream>(new net::Stream(loop_, this));
  const net::Address& to = servers_[next_++ % servers_.size()];
  // Each address gets its part of the session's time, so that all are tried before it runs out.
  const Span part = Span(settings_.session) / static_cast<Span::rep>(servers_.size() + 1);
  timer_.Start(std::max<Span>(part, kLeastConnect));
  if (!stream_->Connect(to)) Lost();
}

void NodeClient::OnConnected(bool ok) {
  if (!ok) return Lost();
  state_ = State::kShaking;
  stream_->Read();
  jute::Writer hello;
  hello.Int(0).Long(seen_).Int(static_cast<std::int32_t>(settings_.session.count())).Long(session_);
  hello.Text(password_.empty() ? std::string(16, '\0') : password_).Bool(false);
  Send(hello);
}

// The connection is over, for whatever reason: calls that are out may or may not have been done.
void NodeClient::Lost() {
  if (state_ == State::kStopped || state_ == State::kWaiting) return;
  const bool was = state_ == State::kConnected;
  state_ = State::kWaiting;
  Drop();
  ++failed_;
  const auto rounds = std::min<size_t>(static_cast<size_t>(failed_) / servers_.size(), 6);
  const Span most = std::min(kLongestWait, kFirstWait * (Span::rep{1} << rounds));
  timer_.Start(Span(static_cast<Span::rep>(static_cast<double>(most.count()) *
                                           std::uniform_real_distribution<double>(0.5, 1)(random_))));
  EndCalls(kConnectionLost);
  if (was && state_ == State::kWaiting) owner_.session(Session::kInterrupted);
}

void NodeClient::EndCalls(int rc) {
  std::deque<Call> calls;
  calls.swap(calls_);
  for (const Call& call : calls) {
    jute::Reader none("");
    call.done(rc, none);
  }
}

void NodeClient::Due() {
  switch (state_) {
    case State::kStopped:
      return;
    case State::kWaiting:
      return Connect();
    case State::kConnecting:
    case State::kShaking:
      return Lost();
    case State::kConnected:
      break;
  }
  const net::Time now = Clock::now();
  // Silence for two thirds of the session's time leaves a third to get through elsewhere.
  if (now - heard_ >= timeout_ * 2 / 3) return Lost();
  if (now - sent_ >= timeout_ / 3) Send(jute::Writer().Int(jute::kPingXid).Int(jute::kPing));
  timer_.Start(std::max<Span>(1ms, std::min(sent_ + timeout_ / 3, heard_ + timeout_ * 2 / 3) - now));
}

void NodeClient::Send(const jute::Writer& message) {
  sent_ = Clock::now();
  if (stream_ != nullptr && stream_->open()) stream_->Write(message.Framed());
}

void NodeClient::OnData(std::string_view bytes) {
  buffer_ += bytes;
  heard_ = Clock::now();
  size_t at = 0;
  const net::Stream* stream = stream_.get();
  while (buffer_.size() - at >= 4) {
    const auto length = static_cast<size_t>(
        static_cast<std::uint32_t>(jute::Reader(std::string_view(buffer_).substr(at)).Int()));
    if (length > kLargestMessage) return Lost();
    if (buffer_.size() - at < 4 + length) break;
    const std::string packet = buffer_.substr(at + 4, length);
    at += 4 + length;
    jute::Reader in(packet);
    if (state_ == State::kShaking) {
      TakeHandshake(in);
    } else {
      TakeReply(in);
    }
    if (stream_.get() != stream || stream_ == nullptr) return;  // what was told ended this connection
  }
  buffer_.erase(0, at);
}

void NodeClient::TakeHandshake(jute::Reader& in) {
  in.Int();
  const std::int32_t timeout = in.Int();
  const std::int64_t session = in.Long();
  std::string password = in.Text();
  if (!in.ok()) return Lost();
  if (session == 0 || timeout <= 0) {
    ForgetSession();
    return owner_.session(Session::kExpired);
  }
  session_ = session;
  password_ = std::move(password);
  timeout_ = std::chrono::milliseconds(timeout);
  state_ = State::kConnected;
  failed_ = 0;
  if (!settings_.auth.empty()) {
    Send(jute::Writer().Int(jute::kAuthXid).Int(jute::kAuth).Int(0).Text("digest").Text(settings_.auth));
  }
  SetWatches();
  timer_.Start(timeout_ / 3);
  owner_.session(Session::kConnected);
}

// Watches live in the connection: on a new one they are set anew, and the service tells at once of those
// whose node has changed since.
void NodeClient::SetWatches() {
  if (data_watches_.empty() && exists_watches_.empty() && child_watches_.empty()) return;
  const std::vector<std::string> data(data_watches_.begin(), data_watches_.end());
  const std::vector<std::string> exists(exists_watches_.begin(), exists_watches_.end());
  const std::vector<std::string> children(child_watches_.begin(), child_watches_.end());
  Send(jute::Writer()
           .Int(jute::kWatchesXid)
           .Int(jute::kSetWatches)
           .Long(seen_)
           .Texts(data)
           .Texts(exists)
           .Texts(children));
}

void NodeClient::TakeReply(jute::Reader& in) {
  const std::int32_t xid = in.Int();
  const std::int64_t zxid = in.Long();
  const std::int32_t code = in.Int();
  if (!in.ok()) return Lost();
  if (xid == jute::kNoticeXid) return TakeNotice(in);
  if (xid == jute::kPingXid || xid == jute::kWatchesXid) return;
  if (xid == jute::kAuthXid) {
    if (code == kOk) return;
    state_ = State::kStopped;
    timer_.Stop();
    Drop();
    EndCalls(kAuthFailed);
    return owner_.session(Session::kAuthFailed);
  }
  // Answers come in the order of the calls; anything else is no service that can be believed.
  if (calls_.empty() || calls_.front().xid != xid) return Lost();
  if (zxid > 0) seen_ = std::max(seen_, zxid);
  const Call call = std::move(calls_.front());
  calls_.pop_front();
  call.done(code, in);
}

void NodeClient::TakeNotice(jute::Reader& in) {
  const std::int32_t kind = in.Int();
  in.Int();
  std::string path = in.Text();
  if (!in.ok() || kind < 1 || kind > 4 || !path.starts_with(settings_.chroot)) return Lost();
  const Notice notice = kind == 1   ? Notice::kCreated
                        : kind == 2 ? Notice::kDeleted
                        : kind == 3 ? Notice::kChanged
                                    : Notice::kChildren;
  if (kind != 4) data_watches_.erase(path);
  if (kind != 4) exists_watches_.erase(path);
  if (kind == 4 || kind == 2) child_watches_.erase(path);
  owner_.notice(notice, path.substr(settings_.chroot.size()));
}

void NodeClient::Ask(std::int32_t type, const jute::Writer& body,
                     std::function<void(int rc, jute::Reader& in)> done) {
  if (state_ != State::kConnected) {
    loop_.Post(alive_, [done = std::move(done)] {
      jute::Reader none("");
      done(kConnectionLost, none);
    });
    return;
  }
  calls_.push_back({++xid_, std::move(done)});
  Send(jute::Writer().Int(xid_).Int(type).Raw(body.bytes()));
}

// Lists and data alike: the content, then the node's stat. An answer that cannot be read ends the connection.
template <typename Content>
void NodeClient::ReadWatched(std::int32_t type, const std::string& path, Content (jute::Reader::*take)(),
                             std::set<std::string>* watches,
                             std::function<void(int, Content, const NodeStat&)> done) {
  const std::string full = Full(path);
  Ask(type, jute::Writer().Text(full).Bool(watches != nullptr),
      [this, full, take, watches, done = std::move(done)](int rc, jute::Reader& in) {
        Content content;
        NodeStat stat;
        if (rc == kOk) {
          content = (in.*take)();
          stat = ReadStat(in);
          if (!in.ok()) {
            done(kConnectionLost, {}, {});
            return Lost();
          }
          if (watches != nullptr) watches->insert(full);
        }
        done(rc, std::move(content), stat);
      });
}

void NodeClient::Children(const std::string& path, OnNames done) {
  ReadWatched<std::vector<std::string>>(jute::kGetChildren2, path, &jute::Reader::Texts, &child_watches_,
                                        std::move(done));
}

void NodeClient::Get(const std::string& path, OnContent done) {
  ReadWatched<std::string>(jute::kGet, path, &jute::Reader::Text, &data_watches_, std::move(done));
}

void NodeClient::Names(const std::string& path, OnNames done) {
  ReadWatched<std::vector<std::string>>(jute::kGetChildren2, path, &jute::Reader::Texts, nullptr,
                                        std::move(done));
}

void NodeClient::Read(const std::string& path, OnContent done) {
  ReadWatched<std::string>(jute::kGet, path, &jute::Reader::Text, nullptr, std::move(done));
}

void NodeClient::Exists(const std::string& path, bool watch,
                        std::function<void(int rc, const NodeStat& stat)> done) {
  const std::string full = Full(path);
  Ask(jute::kExists, jute::Writer().Text(full).Bool(watch),
      [this, full, watch, done = std::move(done)](int rc, jute::Reader& in) {
        NodeStat stat;
        if (rc == kOk) {
          stat = ReadStat(in);
          if (!in.ok()) {
            done(kConnectionLost, {});
            return Lost();
          }
        }
        if (watch && (rc == kOk || rc == kNoNode)) (rc == kOk ? data_watches_ : exists_watches_).insert(full);
        done(rc, stat);
      });
}

// With a password the node is its creator's alone.
void NodeClient::PutAcl(bool own, jute::Writer* body) const {
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
  body.Text(Full(path)).Text(data);
  PutAcl((flags & kEphemeral) != 0, &body);
  body.Int(flags);
  Ask(jute::kCreate, body, [this, done = std::move(done)](int rc, jute::Reader& in) {
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
  Ask(jute::kSync, jute::Writer().Text(Full(path)),
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
    body.Int(type).Bool(false).Int(-1).Text(Full(part.path));
    if (part.kind == Op::Kind::kCreate) {
      body.Text(part.data);
      PutAcl(false, &body);
      body.Int(0);
    } else {
      if (part.kind == Op::Kind::kSet) body.Text(part.data);
      body.Int(part.version);
    }
  }
  body.Int(-1).Bool(true).Int(-1);
  Ask(jute::kMulti, body, [this, parts, done = std::move(done)](int rc, jute::Reader& in) {
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
      return Lost();
    }
    // The first that went wrong by itself; the others failed with it.
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
  Ask(jute::kSet, jute::Writer().Text(Full(path)).Text(data).Int(-1),
      [done](int rc, jute::Reader&) { done(rc); });
}

void NodeClient::Delete(const std::string& path, OnDone done) {
  Ask(jute::kDelete, jute::Writer().Text(Full(path)).Int(-1), [done](int rc, jute::Reader&) { done(rc); });
}

}  // namespace umberdyke::nodes

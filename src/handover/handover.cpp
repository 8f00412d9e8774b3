// The Unix socket exchange between the old and the new process of a sidecar.
#include "handover/handover.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// The messages of the protocol. A process of another version, or another program, sends something else.
// Version 2 announces requests on the link, in both directions; version 1 sends nothing but kServingMessage.
constexpr int kSilentVersion = 1;
constexpr int kAnnouncingVersion = 2;
constexpr std::string_view kListenerReply = "given\n";
constexpr char kServingMessage = 'S';
constexpr char kRequestMessage = 'R';  // followed by the hash of a request's id, in the machine's byte order
constexpr size_t kHashBytes = sizeof(std::uint64_t);
constexpr std::chrono::microseconds kReplyTimeout = 500ms;  // for a predecessor that does not answer
constexpr size_t kMaxSuccessors = 8;

std::string ListenerRequest(int version) { return "umberdyke listener " + std::to_string(version) + "\n"; }

std::string RequestRecord(std::uint64_t id_hash) {
  std::string record(1 + kHashBytes, kRequestMessage);
  std::memcpy(record.data() + 1, &id_hash, kHashBytes);
  return record;
}

std::string SocketPath(const std::string& folder, const Address& listen) {
  if (folder.empty()) return "";
  std::string name = PrintAddress(listen);
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ':' || c == '[' || c == ']'; }, '-');
  return folder + "/umberdyke-" + name + ".sock";
}

std::optional<sockaddr_un> UnixAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size());
  return address;
}

const sockaddr* AsSockaddr(const sockaddr_un& address) { return reinterpret_cast<const sockaddr*>(&address); }

std::optional<ucred> PeerOf(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 ? std::optional(peer) : std::nullopt;
}

// Sockets are exchanged only between processes of the same user.
bool IsSameUser(int fd) {
  const std::optional<ucred> peer = PeerOf(fd);
  return peer && peer->uid == geteuid();
}

// 0 if the system does not tell.
pid_t PeerPid(int fd) {
  const std::optional<ucred> peer = PeerOf(fd);
  return peer ? peer->pid : 0;
}

std::string_view NameOf(HandoverRole role) {
  return role == HandoverRole::kPredecessor ? "predecessor" : "successor";
}

std::string_view NameOf(HandoverLinkState state) {
  switch (state) {
    case HandoverLinkState::kConnected:
      return "connected";
    case HandoverLinkState::kListenerPassed:
      return "listener passed";
    case HandoverLinkState::kListenerRefused:
      return "listener refused";
    case HandoverLinkState::kServing:
      return "serving";
    case HandoverLinkState::kEnded:
      return "ended";
    case HandoverLinkState::kEndedBeforeRequest:
      break;
  }
  return "ended, found as a request came";
}

bool IsListeningAt(int fd, const Address& address) {
  int listening = 0;
  socklen_t size = sizeof listening;
  Address bound{};
  socklen_t bound_size = sizeof bound;
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0 &&
         getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &bound_size) == 0 &&
         PrintAddress(bound) == PrintAddress(address);
}

bool SendSocket(int to, int passed) {
  char control[CMSG_SPACE(sizeof passed)] = {};
  std::string text(kListenerReply);
  iovec part{text.data(), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  cmsghdr* head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof passed);
  std::memcpy(CMSG_DATA(head), &passed, sizeof passed);
  return sendmsg(to, &message, MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(text.size());
}

// Whether the last call failed only for now, as nothing had come yet.
bool MayReceiveLater() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

// Hands all that can be read from `fd` to `on_bytes`. Returns false if the peer has closed the link, or once
// `on_bytes` has returned false.
template <typename OnBytes>
bool ReceiveAll(int fd, const OnBytes& on_bytes) {
  char text[4096];
  ssize_t got = 0;
  while ((got = recv(fd, text, sizeof text, MSG_DONTWAIT)) > 0) {
    if (!on_bytes(std::string_view(text, static_cast<size_t>(got)))) return false;
  }
  return got < 0 && MayReceiveLater();
}

struct ReceivedSocket {
  int fd = -1;
  bool timed_out = false;
};

ReceivedSocket ReceiveSocket(int from) {
  int passed = -1;
  char control[CMSG_SPACE(sizeof passed)] = {};
  char text[kListenerReply.size()];
  iovec part{text, sizeof text};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t got = recvmsg(from, &message, MSG_CMSG_CLOEXEC);
  if (got <= 0) return {-1, got < 0 && MayReceiveLater()};
  for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    std::memcpy(&passed, CMSG_DATA(head), sizeof passed);
  }
  if (std::string_view(text, static_cast<size_t>(got)) == kListenerReply) return {passed, false};
  if (passed >= 0) close(passed);
  return {};
}

}  // namespace

struct Handover::Successor {
  void Close() { link->Close(); }

  std::unique_ptr<FdWatcher> link;
  pid_t pid = 0;
  bool has_socket = false;
  bool serves = false;
  bool announces = false;  // it speaks kAnnouncingVersion
  HandoverRecords records;
};

bool HandoverRecords::Feed(std::string_view bytes, const Handlers& handlers) {
  partial_.append(bytes);
  size_t at = 0;
  while (at < partial_.size()) {
    const char kind = partial_[at];
    if (kind == kServingMessage) {
      ++at;
      handlers.on_serving();
    } else if (kind == kRequestMessage) {
      if (partial_.size() - at < 1 + kHashBytes) break;
      std::uint64_t id_hash = 0;
      std::memcpy(&id_hash, partial_.data() + at + 1, kHashBytes);
      at += 1 + kHashBytes;
      handlers.on_request(id_hash);
    } else {
      return false;
    }
  }
  partial_.erase(0, at);
  return true;
}

Handover::Handover(Loop& loop, const std::string& folder, const Address& listen, Counters& counters,
                   log::Log& log, Owner owner)
    : loop_(loop),
      path_(SocketPath(folder, listen)),
      listen_(listen),
      counters_(counters),
      log_(log),
      owner_(std::move(owner)) {}

// A serving successor has put its own socket at this path, which must stay.
Handover::~Handover() {
  if (offered_ && !has_serving_successor()) unlink(path_.c_str());
}

bool Handover::has_serving_successor() const {
  return std::any_of(successors_.begin(), successors_.end(), [](const auto& s) { return s->serves; });
}

// A predecessor of an older release refuses the newer request. One that has not replied in time may only be
// held up: it is asked for the same again, as its requests would not be known under the older version.
std::optional<int> Handover::RequestListener() {
  const ListenerReply first = AskForListener(kAnnouncingVersion);
  if (first.listener) return first.listener;
  return AskForListener(first.refused ? kSilentVersion : kAnnouncingVersion).listener;
}

Handover::ListenerReply Handover::AskForListener(int version) {
  const auto address = UnixAddress(path_);
  if (!address) return {};
  const int link = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (link < 0) return {};
  timeval timeout{};
  timeout.tv_usec = kReplyTimeout.count();
  setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(link, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const std::string request = ListenerRequest(version);
  const bool sent =
      connect(link, AsSockaddr(*address), sizeof *address) == 0 && IsSameUser(link) &&
      send(link, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
  const ReceivedSocket received = sent ? ReceiveSocket(link) : ReceivedSocket();
  const int listener = received.fd;
  if (listener < 0 || !IsListeningAt(listener, listen_)) {
    if (sent && version == kSilentVersion) counters_.Add("handover_not_given");
    if (listener >= 0) close(listener);
    close(link);
    return {std::nullopt, sent && !received.timed_out};
  }
  counters_.Add("handover_taken");
  predecessor_announces_ = version == kAnnouncingVersion;
  predecessor_pid_ = PeerPid(link);
  predecessor_ = std::make_unique<FdWatcher>(loop_, link, [this] { OnPredecessorMessage(); });
  if (!predecessor_->open()) {  // without the link neither would know of the other's requests
    predecessor_.reset();
    counters_.Add("handover_not_watched");
    close(listener);
    return {};
  }
  LogLink(HandoverRole::kPredecessor, HandoverLinkState::kListenerPassed, predecessor_pid_);
  return {listener, false};
}

void Handover::AnnounceRequest(std::uint64_t id_hash) {
  const std::string record = RequestRecord(id_hash);
  const auto announce = [&](int fd) {
    const ssize_t sent = send(fd, record.data(), record.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent != static_cast<ssize_t>(record.size())) counters_.Add("handover_untold");
  };
  if (predecessor_ != nullptr && predecessor_announces_) announce(predecessor_->fd());
  for (const auto& successor : successors_) {
    if (successor->has_socket && successor->announces) announce(successor->link->fd());
  }
}

void Handover::ReceiveAnnouncements() {
  const bool served = has_serving_successor();
  if (predecessor_ != nullptr && !ReceiveFromPredecessor()) {
    RemovePredecessor(HandoverLinkState::kEndedBeforeRequest);
    NotifyLater();
  }
  std::vector<Successor*> broken;
  for (const auto& successor : successors_) {
    if (successor->has_socket && !ReceiveFrom(*successor)) broken.push_back(successor.get());
  }
  for (Successor* successor : broken) Remove(*successor, HandoverLinkState::kEndedBeforeRequest);
  // The events of the links find nothing new any more.
  if (!broken.empty() || has_serving_successor() != served) NotifyLater();
}

// The owner is in the middle of a request, whose connection the change may close.
void Handover::NotifyLater() {
  loop_.Post(alive_, [this] { owner_.on_change(); });
}

// A predecessor of version 1 sends nothing after its reply, so what can be read there is its exit.
bool Handover::ReceiveFromPredecessor() {
  const HandoverRecords::Handlers handlers{[] {}, owner_.on_request_sent};
  return ReceiveAll(predecessor_->fd(), [&](std::string_view received) {
    return predecessor_announces_ && predecessor_records_.Feed(received, handlers);
  });
}

void Handover::OnPredecessorMessage() {
  if (ReceiveFromPredecessor()) return;
  RemovePredecessor(HandoverLinkState::kEnded);
  owner_.on_change();
}

void Handover::RemovePredecessor(HandoverLinkState end_state) {
  LogLink(HandoverRole::kPredecessor, end_state, predecessor_pid_);
  loop_.DestroyLater(std::move(predecessor_));
}

void Handover::LogLink(HandoverRole role, HandoverLinkState state, pid_t pid) {
  const bool ended_before_request = state == HandoverLinkState::kEndedBeforeRequest;
  if (ended_before_request || state == HandoverLinkState::kEnded) counters_.Add("handover_links_ended");
  if (ended_before_request) counters_.Add("handover_ends_before_request");
  const std::string role_name(NameOf(role));
  const std::string state_name(NameOf(state));
  log_.Say(log::Event::kHandoverLink,
           "link to the " + role_name + ", process " + std::to_string(pid) + ": " + state_name,
           {{"role", role_name}, {"state", state_name}, {"pid", std::int64_t{pid}}, {"us", MicrosNow()}});
}

std::string Handover::OfferListener() {
  if (predecessor_ != nullptr) {
    const char serving = kServingMessage;
    if (send(predecessor_->fd(), &serving, 1, MSG_NOSIGNAL | MSG_DONTWAIT) != 1)
      counters_.Add("handover_untold");
  }
  if (path_.empty()) return "no folder for the handover socket (TMPDIR is not set)";
  // Bind under a temporary name and rename: a successor always finds the old socket or the new one.
  const std::string temporary = path_ + "." + std::to_string(getpid());
  const auto address = UnixAddress(temporary);
  if (!address) return "handover socket path is too long: " + temporary;
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return std::strerror(errno);
  unlink(temporary.c_str());
  if (bind(fd, AsSockaddr(*address), sizeof *address) != 0 || chmod(temporary.c_str(), 0600) != 0) {
    const std::string error = std::strerror(errno);
    unlink(temporary.c_str());
    close(fd);
    return error;
  }
  return PublishOffer(fd, temporary);
}

// Takes ownership of the bound socket `fd`. Returns as OfferListener does.
std::string Handover::PublishOffer(int fd, const std::string& temporary_path) {
  auto offer = std::make_unique<Listener>(loop_, [this] { OnConnection(); });
  std::string error = offer->Adopt(fd);
  if (error.empty() && rename(temporary_path.c_str(), path_.c_str()) != 0) error = std::strerror(errno);
  if (!error.empty()) {
    unlink(temporary_path.c_str());
    return error;
  }
  offer_ = std::move(offer);
  offered_ = true;
  return "";
}

void Handover::OnConnection() {
  const std::optional<int> fd = offer_->Accept();
  if (!fd) return;
  if (!IsSameUser(*fd) || successors_.size() >= kMaxSuccessors) {
    close(*fd);
    return;
  }
  auto successor = std::make_unique<Successor>();
  Successor& added = *successor;
  added.pid = PeerPid(*fd);
  added.link = std::make_unique<FdWatcher>(loop_, *fd, [this, &added] { OnSuccessorMessage(added); });
  if (!added.link->open()) return counters_.Add("handover_not_watched");
  successors_.push_back(std::move(successor));
  LogLink(HandoverRole::kSuccessor, HandoverLinkState::kConnected, added.pid);
  owner_.on_change();
}

void Handover::OnSuccessorMessage(Successor& successor) {
  const bool served = successor.serves;
  const bool had_socket = successor.has_socket;
  if (!ReceiveFrom(successor)) {  // it has exited or violates the protocol
    Remove(successor, HandoverLinkState::kEnded);
  } else if (successor.serves == served && successor.has_socket == had_socket) {
    return;
  }
  owner_.on_change();
}

void Handover::Remove(Successor& successor, HandoverLinkState end_state) {
  LogLink(HandoverRole::kSuccessor, end_state, successor.pid);
  const auto it = std::find_if(successors_.begin(), successors_.end(),
                               [&](const auto& s) { return s.get() == &successor; });
  std::unique_ptr<Successor> removed = std::move(*it);
  successors_.erase(it);
  loop_.DestroyLater(std::move(removed));
}

// Takes in what the successor has sent. Returns false if it has exited or violates the protocol.
bool Handover::ReceiveFrom(Successor& successor) {
  const auto on_serving = [&] {
    successor.serves = true;
    LogLink(HandoverRole::kSuccessor, HandoverLinkState::kServing, successor.pid);
  };
  return ReceiveAll(successor.link->fd(), [&](std::string_view received) {
    return successor.has_socket ? successor.records.Feed(received, {on_serving, owner_.on_request_sent})
                                : PassListener(successor, received);
  });
}

bool Handover::PassListener(Successor& successor, std::string_view request) {
  successor.announces = request == ListenerRequest(kAnnouncingVersion);
  const bool is_request = successor.announces || request == ListenerRequest(kSilentVersion);
  const int listener = is_request ? owner_.listener_fd() : -1;
  successor.has_socket = listener >= 0 && SendSocket(successor.link->fd(), listener);
  counters_.Add(successor.has_socket ? "handover_given" : "handover_refused");
  const auto state =
      successor.has_socket ? HandoverLinkState::kListenerPassed : HandoverLinkState::kListenerRefused;
  LogLink(HandoverRole::kSuccessor, state, successor.pid);
  if (!successor.has_socket || !successor.announces) return successor.has_socket;
  std::string records;
  for (const std::uint64_t id_hash : owner_.sent_requests()) records += RequestRecord(id_hash);
  const ssize_t sent =
      send(successor.link->fd(), records.data(), records.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  // A record that is cut off would make the next ones unreadable.
  return sent == static_cast<ssize_t>(records.size());
}

}  // namespace umberdyke::net

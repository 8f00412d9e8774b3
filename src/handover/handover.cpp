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
constexpr std::string_view kListenerRequest = "umberdyke listener 1\n";
constexpr std::string_view kListenerReply = "given\n";
constexpr char kServingMessage = 'S';
constexpr std::chrono::microseconds kReplyTimeout = 500ms;  // for a predecessor that does not answer
constexpr int kMaxSuccessors = 8;

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

// Sockets are exchanged only between processes of the same user.
bool IsSameUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
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

// Returns -1 if no socket was received.
int ReceiveSocket(int from) {
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
  if (got <= 0) return -1;
  for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    std::memcpy(&passed, CMSG_DATA(head), sizeof passed);
  }
  if (std::string_view(text, static_cast<size_t>(got)) == kListenerReply) return passed;
  if (passed >= 0) close(passed);
  return -1;
}

}  // namespace

struct Handover::Successor {
  std::unique_ptr<FdWatcher> link;
  bool has_socket = false;
  bool serves = false;
};

Handover::Handover(Loop& loop, const std::string& folder, const Address& listen, Counters& counters,
                   Owner owner)
    : loop_(loop),
      path_(SocketPath(folder, listen)),
      listen_(listen),
      counters_(counters),
      owner_(std::move(owner)) {}

// A serving successor has put its own socket at this path, which must stay.
Handover::~Handover() {
  if (offered_ && !has_serving_successor()) unlink(path_.c_str());
}

bool Handover::has_serving_successor() const {
  return std::any_of(successors_.begin(), successors_.end(), [](const auto& s) { return s->serves; });
}

std::optional<int> Handover::RequestListener() {
  const auto address = UnixAddress(path_);
  if (!address) return std::nullopt;
  const int link = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (link < 0) return std::nullopt;
  timeval timeout{};
  timeout.tv_usec = kReplyTimeout.count();
  setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(link, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const bool sent = connect(link, AsSockaddr(*address), sizeof *address) == 0 && IsSameUser(link) &&
                    send(link, kListenerRequest.data(), kListenerRequest.size(), MSG_NOSIGNAL) ==
                        static_cast<ssize_t>(kListenerRequest.size());
  const int listener = sent ? ReceiveSocket(link) : -1;
  if (listener < 0 || !IsListeningAt(listener, listen_)) {
    if (sent) counters_.Add("handover_not_given");
    if (listener >= 0) close(listener);
    close(link);
    return std::nullopt;
  }
  counters_.Add("handover_taken");
  predecessor_ = std::make_unique<FdWatcher>(loop_, link, [this] { OnPredecessorExit(); });
  return listener;
}

// A predecessor sends nothing after its reply, so a readable connection means that it has exited.
void Handover::OnPredecessorExit() {
  loop_.DestroyLater(std::move(predecessor_));
  owner_.on_change();
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
  if (bind(fd, AsSockaddr(*address), sizeof *address) != 0 || listen(fd, kMaxSuccessors) != 0 ||
      chmod(temporary.c_str(), 0600) != 0 || rename(temporary.c_str(), path_.c_str()) != 0) {
    const std::string error = std::strerror(errno);
    unlink(temporary.c_str());
    close(fd);
    return error;
  }
  offered_ = true;
  offer_ = std::make_unique<FdWatcher>(loop_, fd, [this] { OnConnection(); });
  return "";
}

void Handover::OnConnection() {
  const int fd = accept4(offer_->fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0) return;
  if (!IsSameUser(fd) || successors_.size() >= kMaxSuccessors) {
    close(fd);
    return;
  }
  auto successor = std::make_unique<Successor>();
  Successor& added = *successor;
  added.link = std::make_unique<FdWatcher>(loop_, fd, [this, &added] { OnSuccessorMessage(added); });
  successors_.push_back(std::move(successor));
  owner_.on_change();
}

void Handover::OnSuccessorMessage(Successor& successor) {
  char text[64];
  const ssize_t got = recv(successor.link->fd(), text, sizeof text, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const std::string_view received(text, got > 0 ? static_cast<size_t>(got) : 0);
  bool valid = false;
  if (!successor.has_socket && received == kListenerRequest) {
    const int listener = owner_.listener_fd();
    valid = successor.has_socket = listener >= 0 && SendSocket(successor.link->fd(), listener);
    counters_.Add(valid ? "handover_given" : "handover_refused");
  } else if (successor.has_socket && !successor.serves && received == std::string_view(&kServingMessage, 1)) {
    valid = successor.serves = true;
  }
  if (!valid) {  // it has exited or violates the protocol
    const auto it = std::find_if(successors_.begin(), successors_.end(),
                                 [&](const auto& s) { return s.get() == &successor; });
    std::unique_ptr<Successor> removed = std::move(*it);
    successors_.erase(it);
    loop_.DestroyLater(std::move(removed));
  }
  owner_.on_change();
}

}  // namespace umberdyke::net

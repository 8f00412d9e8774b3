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

// What the two say. A process of another version, or another program, says something else.
constexpr std::string_view kAsk = "umberdyke listener 1\n";
constexpr std::string_view kGiven = "given\n";
constexpr char kServing = 'S';
constexpr std::chrono::microseconds kPatience = 500ms;  // for a predecessor that answers nothing
constexpr int kMostWaiting = 8;

std::string PathFor(const std::string& folder, const Address& listen) {
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

const sockaddr* Plain(const sockaddr_un& address) { return reinterpret_cast<const sockaddr*>(&address); }

// Nobody but the sidecar's own user gets, or gives, a socket.
bool OwnUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

bool ListensAt(int fd, const Address& address) {
  int listening = 0;
  socklen_t size = sizeof listening;
  Address bound{};
  socklen_t bound_size = sizeof bound;
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0 &&
         getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &bound_size) == 0 &&
         PrintAddress(bound) == PrintAddress(address);
}

bool PassSocket(int to, int passed) {
  char control[CMSG_SPACE(sizeof passed)] = {};
  std::string text(kGiven);
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

// -1 where none came.
int TakeSocket(int from) {
  int passed = -1;
  char control[CMSG_SPACE(sizeof passed)] = {};
  char text[kGiven.size()];
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
  if (std::string_view(text, static_cast<size_t>(got)) == kGiven) return passed;
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
      path_(PathFor(folder, listen)),
      listen_(listen),
      counters_(counters),
      owner_(std::move(owner)) {}

// The name is left to a successor, which has put its own socket there.
Handover::~Handover() {
  if (offered_ && !successor()) unlink(path_.c_str());
}

bool Handover::successor() const {
  return std::any_of(successors_.begin(), successors_.end(), [](const auto& s) { return s->serves; });
}

std::optional<int> Handover::Ask() {
  const auto address = UnixAddress(path_);
  if (!address) return std::nullopt;
  const int link = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (link < 0) return std::nullopt;
  timeval patience{};
  patience.tv_usec = kPatience.count();
  setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  setsockopt(link, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  const bool asked = connect(link, Plain(*address), sizeof *address) == 0 && OwnUser(link) &&
                     send(link, kAsk.data(), kAsk.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(kAsk.size());
  const int listener = asked ? TakeSocket(link) : -1;
  if (listener < 0 || !ListensAt(listener, listen_)) {
    if (asked) counters_.Add("handover_not_given");
    if (listener >= 0) close(listener);
    close(link);
    return std::nullopt;
  }
  counters_.Add("handover_taken");
  predecessor_ = std::make_unique<FdWatcher>(loop_, link, [this] { PredecessorGone(); });
  return listener;
}

// A predecessor says nothing more: what can be read is its end.
void Handover::PredecessorGone() {
  loop_.DestroyLater(std::move(predecessor_));
  owner_.changed();
}

std::string Handover::Offer() {
  if (predecessor_ != nullptr) {
    const char serving = kServing;
    if (send(predecessor_->fd(), &serving, 1, MSG_NOSIGNAL | MSG_DONTWAIT) != 1)
      counters_.Add("handover_untold");
  }
  if (path_.empty()) return "no folder for it (TMPDIR is not set)";
  // Under a name of its own first: whoever asks finds the old socket or the new one, never none.
  const std::string own = path_ + "." + std::to_string(getpid());
  const auto address = UnixAddress(own);
  if (!address) return "its path is too long: " + own;
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return std::strerror(errno);
  unlink(own.c_str());
  if (bind(fd, Plain(*address), sizeof *address) != 0 || listen(fd, kMostWaiting) != 0 ||
      chmod(own.c_str(), 0600) != 0 || rename(own.c_str(), path_.c_str()) != 0) {
    const std::string why = std::strerror(errno);
    unlink(own.c_str());
    close(fd);
    return why;
  }
  offered_ = true;
  offer_ = std::make_unique<FdWatcher>(loop_, fd, [this] { Come(); });
  return "";
}

void Handover::Come() {
  const int fd = accept4(offer_->fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0) return;
  if (!OwnUser(fd) || successors_.size() >= kMostWaiting) {
    close(fd);
    return;
  }
  auto successor = std::make_unique<Successor>();
  Successor& who = *successor;
  who.link = std::make_unique<FdWatcher>(loop_, fd, [this, &who] { Hear(who); });
  successors_.push_back(std::move(successor));
  owner_.changed();
}

void Handover::Hear(Successor& successor) {
  char text[64];
  const ssize_t got = recv(successor.link->fd(), text, sizeof text, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const std::string_view said(text, got > 0 ? static_cast<size_t>(got) : 0);
  bool good = false;
  if (!successor.has_socket && said == kAsk) {
    const int listener = owner_.listener();
    good = successor.has_socket = listener >= 0 && PassSocket(successor.link->fd(), listener);
    counters_.Add(good ? "handover_given" : "handover_refused");
  } else if (successor.has_socket && !successor.serves && said == std::string_view(&kServing, 1)) {
    good = successor.serves = true;
  }
  if (!good) {  // it has gone, or is nobody that should be here
    const auto it = std::find_if(successors_.begin(), successors_.end(),
                                 [&](const auto& s) { return s.get() == &successor; });
    std::unique_ptr<Successor> gone = std::move(*it);
    successors_.erase(it);
    loop_.DestroyLater(std::move(gone));
  }
  owner_.changed();
}

}  // namespace umberdyke::net

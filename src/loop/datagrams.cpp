#include "loop/datagrams.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace umberdyke::net {
namespace {

constexpr size_t kMaxDatagramBytes = 2048;
constexpr int kMaxReadsPerTurn = 64;  // then other events get their turn

socklen_t SockaddrSize(const Address& address) {
  return address.ss_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
}

}  // namespace

std::string UdpSocket::Listen(const Address& address) {
  const int fd = socket(address.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return std::strerror(errno);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), SockaddrSize(address)) != 0) {
    const std::string error = std::strerror(errno);
    close(fd);
    return error;
  }
  socket_ = std::make_unique<FdWatcher>(loop_, fd, [this] { Receive(); });
  if (socket_->open()) return "";
  socket_.reset();
  return "the system cannot watch the socket";
}

void UdpSocket::Send(const Address& to, std::string_view bytes) {
  if (socket_ == nullptr) return;
  ssize_t sent = 0;
  do {
    sent = sendto(socket_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr*>(&to), SockaddrSize(to));
  } while (sent < 0 && errno == EINTR);
}

void UdpSocket::Receive() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxReadsPerTurn && socket_ != nullptr; ++i) {
    Address from{};
    socklen_t length = sizeof from;
    const ssize_t size = recvfrom(socket_->fd(), buffer.data(), buffer.size(), MSG_TRUNC,
                                  reinterpret_cast<sockaddr*>(&from), &length);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return;                                     // queue empty, or the error of an earlier send
    if (static_cast<size_t>(size) > buffer.size()) continue;  // truncated
    received_(from, std::string_view(buffer.data(), static_cast<size_t>(size)));
  }
}

}  // namespace umberdyke::net

// A UDP socket on the event loop. Datagrams may be lost, delayed or duplicated; one that cannot be sent
// immediately is dropped.
#ifndef UMBERDYKE_LOOP_DATAGRAMS_H_
#define UMBERDYKE_LOOP_DATAGRAMS_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.h"

namespace umberdyke::net {

class UdpSocket {
 public:
  using Received = std::function<void(const Address& from, std::string_view bytes)>;
  UdpSocket(Loop& loop, Received received) : loop_(loop), received_(std::move(received)) {}
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Returns an error, or an empty string on success.
  std::string Listen(const Address& address);
  void Send(const Address& to, std::string_view bytes);
  bool open() const { return socket_ != nullptr; }

 private:
  void Receive();

  Loop& loop_;
  const Received received_;
  std::unique_ptr<FdWatcher> socket_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_LOOP_DATAGRAMS_H_

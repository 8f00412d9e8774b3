// One connection to a real server, with the parser of its responses. Its owner runs the exchanges on it.
#ifndef UMBERDYKE_SERVER_CONNECTION_H_
#define UMBERDYKE_SERVER_CONNECTION_H_

#include <cstdint>
#include <string_view>

#include "http1/http.h"
#include "loop/loop.h"
#include "membership/server_list.h"
#include "passing/streaming_buffer_limit.h"

namespace umberdyke::net {

struct ServerConnection;
struct ServerExchange;

// Gets the events of a connection's stream.
class ServerConnectionOwner {
 public:
  virtual void OnConnected(ServerConnection& connection, bool success) = 0;
  virtual void OnData(ServerConnection& connection, std::string_view bytes) = 0;
  virtual void OnEnd(ServerConnection& connection) = 0;
  virtual void OnWritten(ServerConnection& connection, bool success) = 0;

 protected:
  ~ServerConnectionOwner() = default;
};

struct ServerConnection : StreamCallbacks {
  ServerConnection(Loop& loop, ServerConnectionOwner& owner_in, std::uint64_t id_in, ServerId server_in,
                   const Address& address_in)
      : owner(owner_in),
        id(id_in),
        server(server_in),
        address(address_in),
        stream(loop, this),
        parser(HttpParser::Kind::kResponse) {
    parser.StreamLongBodies();
  }

  void OnConnected(bool success) override { owner.OnConnected(*this, success); }
  void OnData(std::string_view bytes) override { owner.OnData(*this, bytes); }
  void OnEnd() override { owner.OnEnd(*this); }
  void OnWritten(bool success) override { owner.OnWritten(*this, success); }
  size_t MaxReadBytes() const override { return max_read_bytes; }
  // Discards bytes that have not reached the server.
  void Close() {
    exchange = nullptr;
    stream.Abort();
  }

  ServerConnectionOwner& owner;
  const std::uint64_t id;
  const ServerId server;
  const Address address;
  Stream stream;
  HttpParser parser;
  ServerExchange* exchange = nullptr;  // null: idle
  bool excess_data = false;            // more bytes arrived than the response; don't reuse
  int responses = 0;                   // complete ones so far
  size_t max_read_bytes = StreamingBufferLimit::kMaxRead;
  Time idle_since{};  // or since the start or end of the connect
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SERVER_CONNECTION_H_

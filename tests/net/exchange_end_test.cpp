// Tests of exchanges that end while an event of theirs is still to come.
#include <fcntl.h>

#include <catch2/catch.hpp>
#include <thread>

#include "net/site.h"
#include "server/real_server.h"

namespace umberdyke::net {
namespace {

// Exchanges with one server, without a sidecar.
struct Exchanges {
  Exchanges() {
    server.script = [](Party::Peer& peer) { peer.Answer(200, "ok"); };
  }
  ExchangeId Start(Span send_within) {
    ExchangeEvents events;
    events.make_request = [](Span) { return Look(); };
    events.on_done = [this](const ExchangeResult& result) { ends.push_back(result.code); };
    return servers.Start(1, *ParseAddress(server.address()), 3s, Clock::now() + send_within,
                         std::move(events));
  }

  Loop loop;
  Party server{loop};
  Counters counters;
  std::shared_ptr<log::Log> log = log::NullLog();
  StreamingBufferLimit streaming_limit{size_t{64} << 20};
  MessageBufferLimit response_limit{size_t{64} << 20, 8};
  RealServers servers{
      loop, {std::chrono::seconds(1), std::chrono::seconds(10), 4}, streaming_limit, response_limit, counters,
      *log};
  std::vector<ExchangeResult::Code> ends;
};

// Fails if the timer of an exchange that found no new connection still fires, and reads the one it had.
TEST_CASE("an exchange whose resting connection breaks and that finds no other one ends once", "[exchange]") {
  Exchanges exchanges;
  exchanges.Start(3s);
  REQUIRE(exchanges.loop.RunUntil([&] { return exchanges.ends.size() == 1; }, 3s));
  exchanges.servers.SetMaxConnections(1);
  exchanges.Start(5ms);  // waits until the connection has rested, or its time to send is over
  exchanges.servers.SetMaxConnections(0);
  for (auto& peer : exchanges.server.peers) peer->stream.Close();
  const auto guard = std::make_shared<char>();
  // The close is read only after the time to send is over.
  exchanges.loop.Post(guard, [] { std::this_thread::sleep_for(10ms); });
  REQUIRE(exchanges.loop.RunUntil([&] { return exchanges.ends.size() == 2; }, 3s));
  exchanges.loop.RunUntil([] { return false; }, 50ms);
  REQUIRE(exchanges.ends.size() == 2);
  CHECK(exchanges.ends[1] == ExchangeResult::Code::kNotSent);
}

// Fails if a stream that its owner has closed meanwhile is read or written through its freed handle.
TEST_CASE("a closed stream does nothing and says so", "[exchange]") {
  Loop loop;
  struct Ignore : StreamCallbacks {
    void OnData(std::string_view) override {}
    void OnEnd() override {}
  } ignore;
  Stream stream(loop, &ignore);
  stream.Close();
  stream.Read();
  stream.Pause();
  stream.EndSending();
  stream.LimitUnsentBytes();
  CHECK(stream.Write("x") == Stream::WriteResult::kFailed);
  CHECK_FALSE(stream.Connect(*ParseAddress("127.0.0.1:1")));
  CHECK_FALSE(stream.ReadWouldBlock());
  CHECK(stream.PeerClosed());
  CHECK(stream.UnreadBytes() == 0);
  CHECK(stream.unwritten() == 0);
  CHECK_FALSE(stream.HasUnackedBytes());
  stream.Abort();
  stream.Reset();
  stream.Close();
}

// Fails if a descriptor that the system cannot watch, as for want of memory, is watched through an empty
// handle.
TEST_CASE("a watcher of what cannot be watched is closed from the start", "[exchange]") {
  Loop loop;
  const int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);  // epoll takes no regular files
  REQUIRE(file >= 0);
  bool called = false;
  FdWatcher watcher(loop, file, [&] { called = true; });
  CHECK_FALSE(watcher.open());
  CHECK(watcher.fd() == -1);
  loop.RunReady();
  CHECK_FALSE(called);
  watcher.Close();
}

}  // namespace
}  // namespace umberdyke::net

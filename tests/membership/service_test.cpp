// Tests the ZooKeeper client against the stand-in service, the sidecar's server list sources on top of it,
// and short runs under load with injected faults.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "files/files.h"
#include "lab/coordinator/ensemble.h"
#include "lab/membership/run.h"
#include "membership/file_source.h"
#include "membership/nodes_source.h"
#include "net/site.h"

namespace umberdyke::lab {
namespace {

using namespace std::chrono_literals;
using nodes::NodeClient;
using nodes::Session;
using nodes::WatchEvent;

// A client with synchronous calls that run the loop until the response arrives.
struct TestClient {
  TestClient(net::Loop& loop, Ensemble& ensemble, std::chrono::milliseconds session = 1000ms,
             std::string auth = "", std::string chroot = "")
      : loop(loop),
        client(loop, {ensemble.addresses(), chroot, session, auth},
               {[this](Session s) { sessions.push_back(s); },
                [this](WatchEvent n, const std::string& path) { watch_events.emplace_back(n, path); }}) {
    client.Start();
  }
  bool Connected() {
    return loop.RunUntil([&] { return client.connected(); }, 3s);
  }
  bool Saw(Session session) {
    return loop.RunUntil(
        [&] { return std::find(sessions.begin(), sessions.end(), session) != sessions.end(); }, 5s);
  }
  int Done(const std::function<void(NodeClient::OnDone)>& call) {
    std::optional<int> rc;
    call([&](int r) { rc = r; });
    loop.RunUntil([&] { return rc.has_value(); }, 3s);
    return rc.value_or(-1000);
  }
  int CreateEphemeral(const std::string& path, const std::string& data) {
    return Done([&](auto done) { client.CreateEphemeral(path, data, done); });
  }
  int CreatePersistent(const std::string& path) {
    return Done([&](auto done) { client.CreatePersistent(path, done); });
  }
  int Delete(const std::string& path) {
    return Done([&](auto done) { client.Delete(path, done); });
  }
  int Set(const std::string& path, const std::string& data) {
    return Done([&](auto done) { client.Set(path, data, done); });
  }
  std::pair<int, std::string> Get(const std::string& path) {
    std::optional<std::pair<int, std::string>> result;
    client.Get(path, [&](int rc, const std::string& data, const nodes::NodeStat&) { result = {rc, data}; });
    loop.RunUntil([&] { return result.has_value(); }, 3s);
    return result.value_or(std::pair(-1000, ""));
  }
  std::vector<std::string> Names(const std::string& path) {
    std::optional<std::vector<std::string>> result;
    client.Children(path,
                    [&](int, std::vector<std::string> names, const nodes::NodeStat&) { result = names; });
    loop.RunUntil([&] { return result.has_value(); }, 3s);
    return result.value_or(std::vector<std::string>{"no answer"});
  }
  bool SawWatchEvent(WatchEvent notice, const std::string& path) {
    return loop.RunUntil(
        [&] {
          return std::find(watch_events.begin(), watch_events.end(), std::pair(notice, path)) !=
                 watch_events.end();
        },
        3s);
  }
  net::Loop& loop;
  std::vector<Session> sessions;
  std::vector<std::pair<WatchEvent, std::string>> watch_events;
  NodeClient client;
};

TEST_CASE("the client handles nodes, watches, versions and sessions as the protocol defines them",
          "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0", "127.0.0.1:0"});
  TestClient one(loop, ensemble), two(loop, ensemble);
  REQUIRE(one.Connected());
  REQUIRE(two.Connected());
  CHECK(one.CreatePersistent("/app") == nodes::kOk);
  CHECK(one.CreatePersistent("/app") == nodes::kNodeExists);
  CHECK(one.CreatePersistent("/no/such") == nodes::kNoNode);
  CHECK(two.Names("/app").empty());
  CHECK(one.CreateEphemeral("/app/a", "1") == nodes::kOk);
  CHECK(one.CreateEphemeral("/app/a/b", "") == nodes::kNoChildrenForEphemerals);
  CHECK(two.SawWatchEvent(WatchEvent::kChildren, "/app"));
  CHECK(two.Names("/app") == std::vector<std::string>{"a"});
  CHECK(two.Get("/app/a") == std::pair<int, std::string>(nodes::kOk, "1"));
  CHECK(one.Set("/app/a", "2") == nodes::kOk);
  CHECK(two.SawWatchEvent(WatchEvent::kChanged, "/app/a"));
  CHECK(two.Get("/app/a").second == "2");
  CHECK(two.Delete("/app") == nodes::kNotEmpty);
  // Killing a session deletes its ephemeral nodes, and the client is notified.
  ensemble.KillSession(one.client.session_id());
  CHECK(two.SawWatchEvent(WatchEvent::kDeleted, "/app/a"));
  CHECK(one.Saw(Session::kExpired));
  one.client.StartNewSession();
  CHECK(one.Connected());
  CHECK(one.CreateEphemeral("/app/a", "3") == nodes::kOk);
  // A session survives a lost connection by moving to another address, and missed changes are reported.
  two.Get("/app/a");
  ensemble.faults(0).refuse = ensemble.faults(1).refuse = true;
  ensemble.CloseConnections(0);
  ensemble.CloseConnections(1);
  CHECK(two.Saw(Session::kInterrupted));
  const std::int64_t session = two.client.session_id();
  two.watch_events.clear();
  Stat stat;
  std::vector<TreeChange> changes;
  ensemble.tree().Set("/app/a", "4", -1, 0, {}, &stat, &changes);
  ensemble.Apply(changes);
  ensemble.faults(1).refuse = false;
  CHECK(two.SawWatchEvent(WatchEvent::kChanged, "/app/a"));
  CHECK(two.client.session_id() == session);
  CHECK(two.Get("/app/a").second == "4");
  // Stopping the client closes its session and deletes its ephemeral nodes.
  two.client.Stop();
  CHECK(loop.RunUntil([&] { return ensemble.sessions().size() == 1; }, 3s));
}

TEST_CASE("access control by user and password, and paths below a chroot", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  TestClient outside(loop, ensemble), inside(loop, ensemble, 1000ms, "linen:s3cret", "/linen");
  REQUIRE(outside.Connected());
  CHECK(outside.CreatePersistent("/linen") == nodes::kOk);
  REQUIRE(inside.Connected());
  CHECK(inside.CreateEphemeral("/a", "mine") == nodes::kOk);
  CHECK(inside.Get("/a").second == "mine");
  CHECK(outside.Names("/linen") == std::vector<std::string>{"a"});
  CHECK(outside.Get("/linen/a").first == nodes::kNoAuth);
  CHECK(outside.Set("/linen/a", "theirs") == nodes::kNoAuth);
}

TEST_CASE("the source follows nodes through expiry, outages, lagging members and malformed data",
          "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0", "127.0.0.1:0"});
  std::string created;
  std::vector<TreeChange> changes;
  ensemble.tree().Create("/app", "", {}, 0, 0, 0, {}, &created, &changes);
  const auto data = [](int i, const std::string& state = "ready") {
    return "{\"id\":\"s" + std::to_string(i) + "\",\"addr\":\"127.0.0.1:" + std::to_string(9000 + i) +
           "\",\"zone\":\"east\",\"state\":\"" + state + "\"}";
  };
  const auto node = [](int i) { return "/app/n" + std::to_string(i); };
  const auto add = [&](int i) {
    changes.clear();
    ensemble.tree().Create(node(i), data(i), {}, 0, 0, 0, {}, &created, &changes);
    ensemble.Apply(changes);
  };
  const auto set = [&](int i, const std::string& text) {
    changes.clear();
    Stat stat;
    ensemble.tree().Set(node(i), text, -1, 0, {}, &stat, &changes);
    ensemble.Apply(changes);
  };
  const auto remove = [&](int i) {
    changes.clear();
    ensemble.tree().Delete(node(i), -1, {}, &changes);
    ensemble.Apply(changes);
  };
  for (int i = 0; i < 10; ++i) add(i);

  net::Config config;
  config.name = "front-1";
  config.listen = *net::ParseAddress("127.0.0.1:8081");
  config.zone_names = {"east"};
  net::Membership membership;
  membership.servers = ensemble.addresses();
  membership.path = "/app";
  membership.session = 600ms;
  membership.register_path = "/front-1";
  membership.guard_share = 0.95;  // mass-removal protection is tested elsewhere
  config.membership = membership;
  const net::Platform platform(config);
  net::Counters counters;
  const auto log = log::NullLog();
  std::map<std::string, UpstreamState> list;
  int updates = 0;
  // The initial list has one server that no longer exists.
  const auto known =
      platform.ParseServerList(net::ListText(1, true, {net::ServerLine("old", "127.0.0.1:9999")}));
  list["old"] = UpstreamState::kReady;
  const auto source = net::MakeSource(loop, platform, config, *known, counters, *log,
                                      {[&](const net::ServerListChange& change, ListUpdate) {
                                         ++updates;
                                         for (const auto& s : change.servers) list[s.id] = s.state;
                                       },
                                       [](const std::string&) { FAIL("a source of its own never fails"); }});
  source->Watch(true);
  const auto state = [&](const std::string& id, UpstreamState wanted) {
    return loop.RunUntil([&] { return list.contains(id) && list[id] == wanted; }, 4s);
  };
  REQUIRE(state("s9", UpstreamState::kReady));
  CHECK(state("old", UpstreamState::kGone));
  CHECK(updates == 1);  // the first list is reported in one update
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") != 0; }, 3s));

  remove(1);
  CHECK(state("s1", UpstreamState::kGone));
  set(2, data(2, "draining"));
  CHECK(state("s2", UpstreamState::kDraining));
  set(3, "{\"addr\":");
  set(4, data(4, "draining"));
  CHECK(state("s4", UpstreamState::kDraining));
  CHECK(list["s3"] == UpstreamState::kReady);  // malformed data changes nothing
  CHECK(counters.Of("membership_malformed") == 1);

  // After its session is killed, the source starts a new one and registers its own node again.
  const std::int64_t before = ensemble.OwnerOf("/front-1");
  ensemble.KillSession(before);
  remove(5);
  CHECK(state("s5", UpstreamState::kGone));
  CHECK(loop.RunUntil(
      [&] { return ensemble.OwnerOf("/front-1") != 0 && ensemble.OwnerOf("/front-1") != before; }, 3s));

  // While the service is unreachable for longer than the session timeout the list stays unchanged. Afterwards
  // all missed changes are applied.
  for (size_t m = 0; m < 2; ++m) {
    ensemble.faults(m).refuse = true;
    ensemble.CloseConnections(m);
  }
  remove(6);
  add(11);
  loop.RunUntil([] { return false; }, 900ms);
  CHECK(list["s6"] == UpstreamState::kReady);
  for (size_t m = 0; m < 2; ++m) ensemble.faults(m).refuse = false;
  CHECK(state("s6", UpstreamState::kGone));
  CHECK(state("s11", UpstreamState::kReady));

  // An older view from a lagging service member is ignored.
  ensemble.SetLagging(0, true);
  ensemble.SetLagging(1, true);
  remove(7);
  CHECK(state("s7", UpstreamState::kReady));
  ensemble.SetLagging(1, false);
  ensemble.faults(0).refuse = true;
  ensemble.CloseConnections(0);
  ensemble.CloseConnections(1);
  CHECK(state("s7", UpstreamState::kGone));

  // A node is deleted and immediately created again with the same name and address.
  remove(8);
  add(8);
  CHECK(state("s8", UpstreamState::kReady));

  // Many changes in quick succession must cause only a few reads of the list.
  const std::uint64_t reads = counters.Of("membership_list_reads");
  for (int i = 100; i < 600; ++i) {
    add(i);
    if (i % 25 == 0) loop.RunUntil([] { return false; }, 1ms);
  }
  CHECK(state("s599", UpstreamState::kReady));
  CHECK(counters.Of("membership_list_reads") - reads <= 20);

  source->Deregister();
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") == 0; }, 3s));
}

// A sidecar process registered under a fixed name, for tests in which a process is replaced by another.
struct RegisteredSidecar {
  explicit RegisteredSidecar(net::Loop& loop, const Ensemble& ensemble) {
    config.name = "front-1";
    config.zone_names = {"east"};
    config.membership.emplace();
    config.membership->servers = ensemble.addresses();
    config.membership->path = "/app";
    config.membership->session = 2000ms;
    config.membership->register_path = "/front-1";
    source = net::MakeSource(loop, platform, config, {}, counters, *log,
                             {[](const net::ServerListChange&, ListUpdate) {}, [](const std::string&) {}});
    source->Watch(true);
  }
  net::Config config;
  const net::Platform platform{config};
  net::Counters counters;
  const std::shared_ptr<log::Log> log = log::NullLog();
  std::unique_ptr<net::MemberSource> source;
};

TEST_CASE("a process that leaves deletes its own node and not that of its successor", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  RegisteredSidecar old(loop, ensemble);
  REQUIRE(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") != 0; }, 5s));
  const auto first = ensemble.OwnerOf("/front-1");
  RegisteredSidecar next(loop, ensemble);
  REQUIRE(loop.RunUntil(
      [&] { return ensemble.OwnerOf("/front-1") != 0 && ensemble.OwnerOf("/front-1") != first; }, 5s));
  old.source->Deregister();
  loop.RunUntil([] { return false; }, 300ms);
  CHECK(ensemble.OwnerOf("/front-1") != 0);
  next.source->Deregister();
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") == 0; }, 3s));
}

// When many servers disappear, the first is reported gone before mass-removal protection starts. When it is
// restored, it must be reported with its original zone.
TEST_CASE("a server that is restored to the list keeps its zone", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  std::string created;
  std::vector<TreeChange> changes;
  ensemble.tree().Create("/app", "", {}, 0, 0, 0, {}, &created, &changes);
  const auto node = [](int i) { return "/app/n" + std::to_string(i); };
  for (int i = 0; i < 9; ++i) {
    const std::string n = std::to_string(i);
    ensemble.tree().Create(node(i),
                           R"({"id":"s)" + n + R"(","addr":"127.0.0.1:900)" + n + R"(","zone":"west"})", {},
                           0, 0, 0, {}, &created, &changes);
  }
  net::Config config;
  config.name = "front-1";
  config.zone_names = {"east", "west"};
  config.membership.emplace();
  config.membership->servers = ensemble.addresses();
  config.membership->path = "/app";
  config.membership->session = 2000ms;
  config.membership->guard_share = 0.3;
  config.membership->guard_hold = 10s;
  const net::Platform platform(config);
  net::Counters counters;
  const auto log = log::NullLog();
  std::map<std::string, UpstreamState> list;
  int restored = 0, wrong_zone = 0;
  const auto source = net::MakeSource(loop, platform, config, {}, counters, *log,
                                      {[&](const net::ServerListChange& change, ListUpdate) {
                                         for (const net::ListedServer& s : change.servers) {
                                           const auto known = list.find(s.id);
                                           const bool is_restored = known != list.end() &&
                                                                    known->second == UpstreamState::kGone &&
                                                                    s.state == UpstreamState::kReady;
                                           if (is_restored) ++restored;
                                           if (s.state == UpstreamState::kReady && s.zone != 1) ++wrong_zone;
                                           list[s.id] = s.state;
                                         }
                                       },
                                       [](const std::string&) {}});
  source->Watch(true);
  REQUIRE(loop.RunUntil([&] { return list.size() == 9; }, 5s));
  for (int i = 0; i < 4; ++i) {
    changes.clear();
    ensemble.tree().Delete(node(i), -1, {}, &changes);
    ensemble.Apply(changes);
    loop.RunUntil([] { return false; }, 60ms);
  }
  CHECK(loop.RunUntil([&] { return restored > 0; }, 5s));
  CHECK(wrong_zone == 0);
}

// A read-only service member rejects the sidecar's own node while the connection stays up, so no reconnect
// triggers another registration attempt.
TEST_CASE("a sidecar whose node was rejected registers once the service accepts writes", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  ensemble.faults(0).read_only = true;
  RegisteredSidecar sidecar(loop, ensemble);
  net::Counters& counters = sidecar.counters;
  REQUIRE(loop.RunUntil([&] { return counters.Of("membership_not_registered") > 0; }, 5s));
  CHECK(ensemble.OwnerOf("/front-1") == 0);
  ensemble.faults(0).read_only = false;
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") != 0; }, 5s));
  CHECK(counters.Of("membership_connected") == 1);
}

TEST_CASE("a list in a file is read at the start and on a reload, and a bad one changes nothing",
          "[service]") {
  net::Loop loop;
  net::Config config = net::ParseConfig(net::ConfigText("127.0.0.1:1", "null"), net::NoEnvironment());
  const net::Platform platform(config);
  net::Counters counters;
  const auto log = log::NullLog();
  const std::string path =
      (std::filesystem::temp_directory_path() / ("umberdyke-list-" + std::to_string(getpid()))).string();
  config.membership.emplace();
  config.membership->kind = net::Membership::Kind::kFile;
  config.membership->path = path;
  std::vector<size_t> lists;
  const auto source = net::MakeSource(loop, platform, config, {}, counters, *log,
                                      {[&](const net::ServerListChange& change, ListUpdate kind) {
                                         CHECK(kind == ListUpdate::kComplete);
                                         lists.push_back(change.servers.size());
                                       },
                                       [](const std::string&) {}});
  const auto put = [&](const std::string& text) { REQUIRE(files::WriteFileAtomically(path, text).empty()); };
  const auto settle = [&] { loop.RunUntil([] { return false; }, 30ms); };
  put(net::ListText(1, true, {net::ServerLine("a", "127.0.0.1:1"), net::ServerLine("b", "127.0.0.1:2")}));
  source->Watch(true);
  settle();
  put("{\"servers\":[{\"id\":\"a\"}]}");
  source->Reload(config);
  settle();
  put(net::ListText(1, true, {net::ServerLine("a", "127.0.0.1:1")}));
  source->Reload(config);
  settle();
  std::filesystem::remove(path);
  source->Reload(config);
  settle();
  CHECK(lists == std::vector<size_t>{2, 1});
  CHECK(counters.Of("membership_file_refused") == 2);
}

TEST_CASE("a drain counts as reported only once data that says so was read", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0", "127.0.0.1:0"});
  ensemble.faults(1).refuse = true;  // the reader uses the first member, the server the second
  TestClient reader(loop, ensemble, 5000ms);
  REQUIRE(reader.Connected());
  REQUIRE(reader.CreatePersistent("/app") == nodes::kOk);
  ensemble.faults(1).refuse = false;
  Ledger ledger;
  StandIn server(loop, {{ensemble.addresses()[1]}, "", 5000ms, ""}, {"s1", "east", "/app"}, ledger, 1);
  REQUIRE(loop.RunUntil([&] { return ensemble.OwnerOf("/app/s1") != 0; }, 3s));
  ensemble.on_read = [&](const std::string& path, const std::string& data, std::int64_t, net::Time when) {
    if (path == server.node()) server.Told(data, when);
  };
  const auto reported = [&] { return loop.RunUntil([&] { return server.told(); }, 300ms); };
  // The lagging member serves data from before the drain, so its readers cannot know of the drain.
  ensemble.SetLagging(0, true);
  server.Drain();
  loop.RunUntil([] { return false; }, 50ms);
  CHECK(reader.Get("/app/s1").second.find("ready") != std::string::npos);
  CHECK_FALSE(reported());
  ensemble.SetLagging(0, false);
  CHECK(reader.Get("/app/s1").second.find("draining") != std::string::npos);
  CHECK(reported());
}

TEST_CASE("under load and faults no request is lost, duplicated, or sent to a drained server", "[service]") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    MembershipRun run;
    run.sidecar = UMBERDYKE_PROGRAM;
    run.seed = seed;
    run.faults = 40;
    run.pace = 50ms;
    run.rate = 120;
    const MembershipReport report = Run(run);
    INFO(Print(run, report));
    CHECK(report.clean());
    // Check that the run was meaningful: most requests were served, and enough faults were injected.
    CHECK(report.served * 10 > report.asked * 8);
    CHECK(report.faults.size() >= 8);
    CHECK(report.registered > 0);
  }
}

}  // namespace
}  // namespace umberdyke::lab

// The stand-in coordination service through the registry's own client library, the sidecar's sources on it,
// and a short run under load and faults.
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

// A client with its answers at hand.
struct Hand {
  Hand(net::Loop& loop, Ensemble& ensemble, std::chrono::milliseconds session = 1000ms, std::string auth = "",
       std::string chroot = "")
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
  int Create(const std::string& path, const std::string& data) {
    return Done([&](auto done) { client.CreateEphemeral(path, data, done); });
  }
  int Make(const std::string& path) {
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

TEST_CASE("the registry's own client finds nodes, watches, versions and sessions as the protocol has them",
          "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0", "127.0.0.1:0"});
  Hand one(loop, ensemble), two(loop, ensemble);
  REQUIRE(one.Connected());
  REQUIRE(two.Connected());
  CHECK(one.Make("/app") == nodes::kOk);
  CHECK(one.Make("/app") == nodes::kNodeExists);
  CHECK(one.Make("/no/such") == nodes::kNoNode);
  CHECK(two.Names("/app").empty());
  CHECK(one.Create("/app/a", "1") == nodes::kOk);
  CHECK(one.Create("/app/a/b", "") == nodes::kNoChildrenForEphemerals);
  CHECK(two.SawWatchEvent(WatchEvent::kChildren, "/app"));
  CHECK(two.Names("/app") == std::vector<std::string>{"a"});
  CHECK(two.Get("/app/a") == std::pair<int, std::string>(nodes::kOk, "1"));
  CHECK(one.Set("/app/a", "2") == nodes::kOk);
  CHECK(two.SawWatchEvent(WatchEvent::kChanged, "/app/a"));
  CHECK(two.Get("/app/a").second == "2");
  CHECK(two.Delete("/app") == nodes::kNotEmpty);
  // A session that is killed takes its nodes along, and the client learns of it.
  ensemble.KillSession(one.client.session_id());
  CHECK(two.SawWatchEvent(WatchEvent::kDeleted, "/app/a"));
  CHECK(one.Saw(Session::kExpired));
  one.client.StartNewSession();
  CHECK(one.Connected());
  CHECK(one.Create("/app/a", "3") == nodes::kOk);
  // A session whose connection breaks lives on at another address, and what was missed is told.
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
  // A session ends with its client, and so do its nodes.
  two.client.Stop();
  CHECK(loop.RunUntil([&] { return ensemble.sessions().size() == 1; }, 3s));
}

TEST_CASE("rights by user and password, and paths below a chroot", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  Hand outside(loop, ensemble), inside(loop, ensemble, 1000ms, "linen:s3cret", "/linen");
  REQUIRE(outside.Connected());
  CHECK(outside.Make("/linen") == nodes::kOk);
  REQUIRE(inside.Connected());
  CHECK(inside.Create("/a", "mine") == nodes::kOk);
  CHECK(inside.Get("/a").second == "mine");
  CHECK(outside.Names("/linen") == std::vector<std::string>{"a"});
  CHECK(outside.Get("/linen/a").first == nodes::kNoAuth);
  CHECK(outside.Set("/linen/a", "theirs") == nodes::kNoAuth);
}

TEST_CASE("the sidecar's source follows nodes through expiry, silence, lagging members and bad data",
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
  membership.guard_share = 0.95;  // the guard has tests of its own
  config.membership = membership;
  const net::Platform platform(config);
  net::Counters counters;
  const auto log = log::NullLog();
  std::map<std::string, UpstreamState> list;
  int told = 0;
  // One server that the sidecar knew from before, and that is no more.
  const auto known =
      platform.ParseServerList(net::ListText(1, true, {net::ServerLine("old", "127.0.0.1:9999")}));
  list["old"] = UpstreamState::kReady;
  const auto source = net::MakeSource(loop, platform, config, *known, counters, *log,
                                      {[&](const net::ServerListChange& change, ListUpdate) {
                                         ++told;
                                         for (const auto& s : change.servers) list[s.id] = s.state;
                                       },
                                       [](const std::string&) { FAIL("a source of its own never fails"); }});
  source->Watch(true);
  const auto state = [&](const std::string& id, UpstreamState wanted) {
    return loop.RunUntil([&] { return list.contains(id) && list[id] == wanted; }, 4s);
  };
  REQUIRE(state("s9", UpstreamState::kReady));
  CHECK(state("old", UpstreamState::kGone));
  CHECK(told == 1);  // the first list comes whole
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") != 0; }, 3s));

  remove(1);
  CHECK(state("s1", UpstreamState::kGone));
  set(2, data(2, "draining"));
  CHECK(state("s2", UpstreamState::kDraining));
  set(3, "{\"addr\":");
  set(4, data(4, "draining"));
  CHECK(state("s4", UpstreamState::kDraining));
  CHECK(list["s3"] == UpstreamState::kReady);  // what cannot be read changes nothing
  CHECK(counters.Of("membership_malformed") == 1);

  // Its own session is killed: it follows on in a new one, with its own node anew.
  const std::int64_t before = ensemble.OwnerOf("/front-1");
  ensemble.KillSession(before);
  remove(5);
  CHECK(state("s5", UpstreamState::kGone));
  CHECK(loop.RunUntil(
      [&] { return ensemble.OwnerOf("/front-1") != 0 && ensemble.OwnerOf("/front-1") != before; }, 3s));

  // The service is away for longer than the session: nothing changes, then everything that happened does.
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

  // A member that lags brings an older view: it never counts.
  ensemble.SetLagging(0, true);
  ensemble.SetLagging(1, true);
  remove(7);
  CHECK(state("s7", UpstreamState::kReady));
  ensemble.SetLagging(1, false);
  ensemble.faults(0).refuse = true;
  ensemble.CloseConnections(0);
  ensemble.CloseConnections(1);
  CHECK(state("s7", UpstreamState::kGone));

  // The same name and address again within the same moment.
  remove(8);
  add(8);
  CHECK(state("s8", UpstreamState::kReady));

  // A storm: many changes, few readings of the list.
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

// What a process of one name does to the node of another that replaces it.
struct Registering {
  explicit Registering(net::Loop& loop, const Ensemble& ensemble) {
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

TEST_CASE("a process that leaves takes its own node along, and not its successor's", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  Registering old(loop, ensemble);
  REQUIRE(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") != 0; }, 5s));
  const auto first = ensemble.OwnerOf("/front-1");
  Registering next(loop, ensemble);
  REQUIRE(loop.RunUntil(
      [&] { return ensemble.OwnerOf("/front-1") != 0 && ensemble.OwnerOf("/front-1") != first; }, 5s));
  old.source->Deregister();
  loop.RunUntil([] { return false; }, 300ms);
  CHECK(ensemble.OwnerOf("/front-1") != 0);
  next.source->Deregister();
  CHECK(loop.RunUntil([&] { return ensemble.OwnerOf("/front-1") == 0; }, 3s));
}

// The first of many that go is told gone before it shows that many go; taken back, it is told as it was.
TEST_CASE("a server that is taken back into the list keeps its zone", "[service]") {
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
  int taken_back = 0, elsewhere = 0;
  const auto source = net::MakeSource(loop, platform, config, {}, counters, *log,
                                      {[&](const net::ServerListChange& change, ListUpdate) {
                                         for (const net::ListedServer& s : change.servers) {
                                           const auto known = list.find(s.id);
                                           const bool back = known != list.end() &&
                                                             known->second == UpstreamState::kGone &&
                                                             s.state == UpstreamState::kReady;
                                           if (back) ++taken_back;
                                           if (s.state == UpstreamState::kReady && s.zone != 1) ++elsewhere;
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
  CHECK(loop.RunUntil([&] { return taken_back > 0; }, 5s));
  CHECK(elsewhere == 0);
}

// A member that writes nothing refuses the sidecar's own node, and the connection stays: nothing else would
// ask again.
TEST_CASE("a sidecar whose node was refused registers once it may", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0"});
  ensemble.faults(0).read_only = true;
  Registering sidecar(loop, ensemble);
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

TEST_CASE("a drain counts as told only once data that says so was handed out", "[service]") {
  net::Loop loop;
  Ensemble ensemble(loop, {"127.0.0.1:0", "127.0.0.1:0"});
  ensemble.faults(1).refuse = true;  // the reader is at the first member, the server at the second
  Hand hand(loop, ensemble, 5000ms);
  REQUIRE(hand.Connected());
  REQUIRE(hand.Make("/app") == nodes::kOk);
  ensemble.faults(1).refuse = false;
  Ledger ledger;
  StandIn server(loop, {{ensemble.addresses()[1]}, "", 5000ms, ""}, {"s1", "east", "/app"}, ledger, 1);
  REQUIRE(loop.RunUntil([&] { return ensemble.OwnerOf("/app/s1") != 0; }, 3s));
  ensemble.on_read = [&](const std::string& path, const std::string& data, std::int64_t, net::Time when) {
    if (path == server.node()) server.Told(data, when);
  };
  const auto told = [&] { return loop.RunUntil([&] { return server.told(); }, 300ms); };
  // The member serves what it knew before the drain; whoever reads there cannot know of it.
  ensemble.SetLagging(0, true);
  server.Drain();
  loop.RunUntil([] { return false; }, 50ms);
  CHECK(hand.Get("/app/s1").second.find("ready") != std::string::npos);
  CHECK_FALSE(told());
  ensemble.SetLagging(0, false);
  CHECK(hand.Get("/app/s1").second.find("draining") != std::string::npos);
  CHECK(told());
}

TEST_CASE("under load and faults nothing is lost, doubled, or sent to a drained server", "[service]") {
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
    // The run has to be one: most requests are served, and faults of many kinds came.
    CHECK(report.served * 10 > report.asked * 8);
    CHECK(report.faults.size() >= 8);
    CHECK(report.registered > 0);
  }
}

}  // namespace
}  // namespace umberdyke::lab

// Tests of the reconciler with histories of a coordination service, reported in every order that reconnects
// and lagging members can produce.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "reconcile/reconciler.h"

namespace umberdyke::reconcile {
namespace {

using namespace std::chrono_literals;

const Time kStart = Time() + 1h;

NodeData At(const std::string& id, const std::string& address, bool draining = false) {
  return {id, address, draining};
}

// The server states after all changes taken from the reconciler.
struct Consumer {
  std::map<std::string, ServerState> states;
  void TakeFrom(Reconciler& reconciler) {
    for (const StateChange& change : reconciler.TakeChanges()) states[change.id] = change.state;
  }
  std::set<std::string> Ready() const {
    std::set<std::string> ready;
    for (const auto& [id, state] : states) {
      if (state == ServerState::kReady) ready.insert(id);
    }
    return ready;
  }
};

// Never holds a removal and never delays a returning server, for tests of the order of events.
Limits WithoutLimits() {
  Limits limits;
  limits.mass_removal_share = 1;
  limits.mass_removal_count = 1 << 20;
  limits.max_flaps = 1 << 20;
  return limits;
}

std::vector<std::string> Names(int first, int count) {
  std::vector<std::string> names;
  for (int i = first; i < first + count; ++i) names.push_back("n" + std::to_string(i));
  return names;
}

// Registers `count` servers and takes the changes.
void Fill(Reconciler& r, Consumer& consumer, int count, Time now = kStart) {
  for (const std::string& name : r.OnNodeList(now, count, Names(0, count))) {
    const int i = std::stoi(name.substr(1));
    r.OnNodeData(now, name, At("s" + std::to_string(i), "a" + std::to_string(i)), i + 1, i + 1);
  }
  consumer.TakeFrom(r);
  REQUIRE(consumer.Ready().size() == static_cast<size_t>(count));
}

TEST_CASE("stale lists and stale data change nothing", "[reconcile]") {
  Reconciler r(WithoutLimits());
  Consumer consumer;
  Fill(r, consumer, 5);
  r.OnNodeDeleted(kStart, "n2");
  consumer.TakeFrom(r);
  CHECK(consumer.states["s2"] == ServerState::kGone);
  // A lagging member still lists n2 and returns its old data.
  CHECK(r.OnNodeList(kStart, 4, Names(0, 5)).empty());
  CHECK(r.counts().stale_views == 1);
  r.OnNodeData(kStart, "n2", At("s2", "a2"), 3, 3);
  CHECK(r.counts().stale_data == 1);
  for (const std::string& name : r.OnNodeList(kStart, 5, Names(0, 5)))
    r.OnNodeData(kStart, name, At("s2", "a2"), 3, 3);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s2"] == ServerState::kGone);
  // Older data of an existing node does not undo a drain.
  r.OnNodeData(kStart, "n1", At("s1", "a1", true), 2, 9);
  r.OnNodeData(kStart, "n1", At("s1", "a1", false), 2, 2);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s1"] == ServerState::kDraining);
  // A node recreated under the same name is accepted at once.
  for (const std::string& name : r.OnNodeList(kStart, 12, Names(0, 5)))
    r.OnNodeData(kStart, name, At("s2", "a2"), 12, 12);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s2"] == ServerState::kReady);
}

TEST_CASE("a server with two nodes is gone only when both nodes are deleted", "[reconcile]") {
  Reconciler r(WithoutLimits());
  Consumer consumer;
  Fill(r, consumer, 3);
  // The server lost its session and registered again before the old node vanished.
  for (const std::string& n : r.OnNodeList(kStart, 10, {"n0", "n1", "n2", "n9"}))
    r.OnNodeData(kStart, n, At("s1", "a1"), 10, 10);
  r.OnNodeDeleted(kStart, "n1");
  consumer.TakeFrom(r);
  CHECK(consumer.states["s1"] == ServerState::kReady);
  r.OnNodeDeleted(kStart, "n9");
  consumer.TakeFrom(r);
  CHECK(consumer.states["s1"] == ServerState::kGone);
}

TEST_CASE("a new server at a known address removes the previous one first", "[reconcile]") {
  Reconciler r(WithoutLimits());
  Consumer consumer;
  Fill(r, consumer, 3);
  r.OnNodeList(kStart, 10, {"n0", "n1", "n2", "x"});
  r.OnNodeData(kStart, "x", At("new", "a1"), 10, 10);
  const std::vector<StateChange> changes = r.TakeChanges();
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == StateChange{"s1", ServerState::kGone, "n1"});
  CHECK(changes[1] == StateChange{"new", ServerState::kReady, "x"});
  // The previous server's node still exists and is reported again: the youngest node owns the address.
  r.OnNodeData(kStart, "n1", At("s1", "a1"), 2, 20);
  CHECK(r.TakeChanges().empty());
}

TEST_CASE("a mass removal is held while connections succeed, except for draining servers", "[reconcile]") {
  Limits limits;
  Reconciler r(limits);
  Consumer consumer;
  Fill(r, consumer, 10);
  r.OnNodeData(kStart, "n9", At("s9", "a9", true), 10, 20);
  consumer.TakeFrom(r);
  // Three of ten may be removed; the fourth makes it a mass removal, which holds the first three as well.
  r.OnNodeList(kStart + 1s, 30, {"n0", "n1", "n2", "n3"});
  consumer.TakeFrom(r);
  CHECK(r.holding());
  CHECK(consumer.Ready().size() == 9);
  CHECK(consumer.states["s9"] == ServerState::kGone);
  CHECK(r.counts().mass_removals == 1);
  // A held server is removed once a connection to it fails.
  r.OnConnectionResult(kStart + 2s, "s5", true);
  r.OnConnectionResult(kStart + 2s, "s6", false);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s5"] == ServerState::kReady);
  CHECK(consumer.states["s6"] == ServerState::kGone);
  // A held server that returns is an ordinary one again; the others are removed after the maximum hold time.
  for (const std::string& n : r.OnNodeList(kStart + 3s, 40, {"n0", "n1", "n2", "n3", "n4"})) {
    r.OnNodeData(kStart + 3s, n, At("s4", "a4"), 40, 40);
  }
  REQUIRE(r.NextDeadline());
  CHECK(*r.NextDeadline() == kStart + 1s + limits.max_hold);
  r.Tick(kStart + 1s + limits.max_hold);
  consumer.TakeFrom(r);
  CHECK(consumer.Ready() == std::set<std::string>{"s0", "s1", "s2", "s3", "s4"});
  CHECK_FALSE(r.holding());
}

TEST_CASE("the list never becomes empty, however long all servers are missing", "[reconcile]") {
  for (const int count : {1, 2, 7, 500}) {
    INFO(count);
    Reconciler r(Limits{});
    Consumer consumer;
    Fill(r, consumer, count);
    for (int i = 0; i < count; ++i)
      r.OnNodeDeleted(kStart + 10s * i, "n" + std::to_string(i));  // one by one, too slow for a mass removal
    r.OnNodeList(kStart + 10s * count, 10'000, {});
    r.Tick(kStart + 10s * count + 24h);
    consumer.TakeFrom(r);
    CHECK_FALSE(consumer.Ready().empty());
    for (const std::string& id : consumer.Ready())
      r.OnConnectionResult(kStart + 10s * count + 25h, id, false);
    consumer.TakeFrom(r);
    CHECK(consumer.Ready().empty());  // only failed connections empty the list
  }
}

TEST_CASE("a flapping server is readmitted only after the settle time", "[reconcile]") {
  Limits limits;
  Reconciler r(limits);
  Consumer consumer;
  Fill(r, consumer, 10);
  Zxid zxid = 100;
  Time now = kStart;
  for (int i = 0; i < limits.max_flaps; ++i) {
    r.OnNodeDeleted(now, "n3");
    consumer.TakeFrom(r);
    CHECK(consumer.states["s3"] == ServerState::kGone);
    ++zxid;
    for (const std::string& n : r.OnNodeList(now += 1s, zxid, Names(0, 10)))
      r.OnNodeData(now, n, At("s3", "a3"), zxid, zxid);
    consumer.TakeFrom(r);
    CHECK(consumer.states["s3"] == ServerState::kReady);
  }
  r.OnNodeDeleted(now, "n3");
  ++zxid;
  for (const std::string& n : r.OnNodeList(now, zxid, Names(0, 10)))
    r.OnNodeData(now, n, At("s3", "a3"), zxid, zxid);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s3"] == ServerState::kGone);
  REQUIRE(r.NextDeadline() == now + limits.settle_time);
  r.Tick(now + limits.settle_time - 1ms);
  CHECK_FALSE(r.has_changes());
  r.Tick(now + limits.settle_time);
  consumer.TakeFrom(r);
  CHECK(consumer.states["s3"] == ServerState::kReady);
}

TEST_CASE("2,000 servers whose nodes vanish at once and return stay ready", "[reconcile]") {
  Reconciler r(Limits{});
  Consumer consumer;
  Fill(r, consumer, 2000);
  for (int i = 0; i < 2000; ++i) {
    r.OnNodeDeleted(kStart + 1ms * (i / 100), "n" + std::to_string(i));
    if (i % 50 == 0) consumer.TakeFrom(r);
  }
  consumer.TakeFrom(r);
  CHECK(consumer.Ready().size() == 2000);
  for (const std::string& n : r.OnNodeList(kStart + 1s, 5000, Names(0, 2000))) {
    const std::string number = n.substr(1);
    r.OnNodeData(kStart + 1s, n, At("s" + number, "a" + number), 5000, 5000);
  }
  consumer.TakeFrom(r);
  CHECK(consumer.Ready().size() == 2000);
  CHECK_FALSE(r.holding());
}

// A random history of the service's nodes.
struct History {
  struct Node {
    std::string id, address;
    bool draining;
    Zxid birth, zxid;
  };
  std::vector<std::map<std::string, Node>> states{{}};  // by transaction

  explicit History(std::mt19937& random) {
    const auto below = [&](unsigned n) { return random() % n; };
    for (Zxid z = 1; z <= 60; ++z) {
      auto next = states.back();
      const std::string name = "n" + std::to_string(below(8));
      const auto it = next.find(name);
      if (it == next.end()) {
        const std::string id = "s" + std::to_string(below(10));
        const bool taken =
            std::any_of(next.begin(), next.end(), [&](const auto& n) { return n.second.id == id; });
        if (!taken) next[name] = {id, "a" + id, false, z, z};
      } else if (below(3) == 0) {
        it->second.draining = true;
        it->second.zxid = z;
      } else {
        next.erase(it);
      }
      states.push_back(std::move(next));
    }
  }
};

TEST_CASE("in any interleaving the final states match the service, and no draining or gone server is ready",
          "[reconcile]") {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto below = [&](unsigned n) { return random() % n; };
    const History history(random);
    const Zxid last = static_cast<Zxid>(history.states.size()) - 1;
    Reconciler r(WithoutLimits());
    Consumer consumer;
    Time now = kStart;
    // Reads lists and data as of random transactions, mostly advancing and sometimes from a lagging member.
    const auto data = [&](const std::string& name, Zxid z) {
      const auto it = history.states[static_cast<size_t>(z)].find(name);
      if (it == history.states[static_cast<size_t>(z)].end()) {
        if (z >= r.last_list_zxid()) r.OnNodeDeleted(now, name);
        return;
      }
      const auto& n = it->second;
      r.OnNodeData(now, name, At(n.id, n.address, n.draining), n.birth, n.zxid);
    };
    const auto view = [&](Zxid z) {
      std::vector<std::string> names;
      for (const auto& [name, node] : history.states[static_cast<size_t>(z)]) names.push_back(name);
      std::vector<std::string> wanted = r.OnNodeList(now, z, names);
      std::shuffle(wanted.begin(), wanted.end(), random);
      for (const std::string& name : wanted) {
        const Zxid read = std::min<Zxid>(last, z + static_cast<Zxid>(below(4)));
        if (below(5) > 0) data(name, read);
      }
    };
    Zxid at = 0;
    while (at < last) {
      now += 10ms;
      at = std::min<Zxid>(last, at + 1 + static_cast<Zxid>(below(5)));
      switch (below(4)) {
        case 0:
          view(at);
          break;
        case 1:
          view(static_cast<Zxid>(below(static_cast<unsigned>(at) + 1)));
          break;
        case 2:
          data("n" + std::to_string(below(8)), at);
          break;
        default: {
          // A deletion event, in order.
          const std::string name = "n" + std::to_string(below(8));
          if (!history.states[static_cast<size_t>(at)].contains(name) && at >= r.last_list_zxid())
            r.OnNodeDeleted(now, name);
        }
      }
      consumer.TakeFrom(r);
    }
    view(last);
    for (int i = 0; i < 8; ++i) data("n" + std::to_string(i), last);
    r.Tick(now);
    consumer.TakeFrom(r);
    std::set<std::string> ready, draining;
    for (const auto& [name, node] : history.states.back()) (node.draining ? draining : ready).insert(node.id);
    // If the service has no nodes left, the last server stays until connections to it fail.
    if (ready.empty() && draining.empty()) {
      REQUIRE(consumer.Ready().size() <= 1);
      continue;
    }
    REQUIRE(consumer.Ready() == ready);
    for (const std::string& id : draining) REQUIRE(consumer.states[id] == ServerState::kDraining);
    REQUIRE(r.size() == ready.size() + draining.size());
  }
}

}  // namespace
}  // namespace umberdyke::reconcile

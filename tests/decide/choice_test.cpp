#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

#include "umberdyke/balancer.h"

namespace umberdyke {
namespace {

constexpr Micros kSecond = 1'000'000;

Settings BasicSettings() {
  Settings s;
  RequestClass c;
  c.repeat = Repeat::kSafe;
  c.aim = 2 * kSecond;
  c.deadline = 6 * kSecond;
  c.window = 5 * kSecond;
  s.classes = {c};
  s.max_attempts = 6;
  s.tick = 1000;
  s.may_cancel = true;
  s.start_capacity = 0.2;
  s.cold_time = 10 * kSecond;
  s.fall_multiple = 3;
  s.fall_time = kSecond;
  return s;
}

UpstreamEntry Entry(UpstreamId id, Micros ready_at = 0, int zone = 0, int cell = 0) {
  UpstreamEntry e;
  e.id = id;
  e.ready_at = ready_at;
  e.zone = zone;
  e.cell = cell;
  return e;
}

std::vector<UpstreamEntry> ReadyUpstreams(UpstreamId n) {
  std::vector<UpstreamEntry> entries;
  for (UpstreamId u = 1; u <= n; ++u) entries.push_back(Entry(u));
  return entries;
}

// Drives one balancer: keeps the clock, its timers and the attempts that are out.
class Driver {
 public:
  struct Attempt {
    RequestId request;
    int attempt;
    UpstreamId upstream;
    Micros sent;
    Micros timeout_at;  // 0: no time-out of its own
    Micros send_by;     // 0: its last byte may go out at any time
    bool cancelled = false;
  };

  explicit Driver(const Settings& settings, std::uint64_t seed = 1) {
    Actions actions;
    balancer_.emplace_back(settings, seed, now, &actions);
    Apply(actions);
  }

  Balancer& balancer() { return balancer_.front(); }

  void UpdateList(const std::vector<UpstreamEntry>& entries, ListUpdate kind = ListUpdate::kComplete) {
    Actions actions;
    balancer().OnList(now, kind, entries, &actions);
    Apply(actions);
  }
  void Arrive(RequestId id, Micros left = 6 * kSecond, int request_class = 0, int tenant = 0) {
    Request r;
    r.id = id;
    r.request_class = request_class;
    r.time_left = left;
    r.tenant = tenant;
    deadlines[id] = now + left;
    Actions actions;
    balancer().OnRequest(now, r, &actions);
    Apply(actions);
  }
  // Ends the oldest attempt of a request that is out.
  void EndAttemptOf(RequestId id, Outcome outcome, double count = 1) {
    const auto it =
        std::find_if(in_flight.begin(), in_flight.end(), [&](const Attempt& o) { return o.request == id; });
    ASSERT_NE(it, in_flight.end());
    EndAttempt(static_cast<size_t>(it - in_flight.begin()), outcome, count);
  }
  void EndAttempt(size_t index, Outcome outcome, double count = 1) {
    const Attempt o = in_flight[index];
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    AttemptEnd end;
    end.request = o.request;
    end.attempt = o.attempt;
    end.upstream = o.upstream;
    end.outcome = outcome;
    end.elapsed = now - o.sent;
    if (outcome == Outcome::kOk && final_answers[o.request] == 0) {
      ++final_answers[o.request];
      answered_at[o.request] = now;
    }
    end.settled = final_answers[o.request] > 0;
    if (outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected) {
      LoadReport report;
      report.in_flight = count;
      end.report = report;
    }
    Actions actions;
    balancer().OnAttemptEnd(now, end, &actions);
    Apply(actions);
  }
  void ReportBody(RequestId id, std::optional<Micros> left) {
    Actions actions;
    balancer().OnBody(now, id, left, &actions);
    Apply(actions);
  }
  void StartResponseStream(RequestId id) {
    Actions actions;
    balancer().OnStreamStart(now, id, 0, &actions);
    Apply(actions);
  }
  // Answers the pending_checks that are out with the counts given, and returns whom they asked.
  template <typename CountOf>
  std::vector<UpstreamId> AnswerChecks(CountOf count_of) {
    const std::vector<UpstreamId> asked = pending_checks;
    pending_checks.clear();
    for (const UpstreamId u : asked) {
      LoadReport report;
      report.in_flight = count_of(u);
      Actions actions;
      balancer().OnCheck(now, u, Outcome::kOk, report, &actions);
      Apply(actions);
    }
    return asked;
  }
  void Advance(Micros by) {
    const Micros until = now + by;
    while (!timers.empty() && timers.begin()->first <= until) {
      now = std::max(now, timers.begin()->first);
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      Actions actions;
      balancer().OnTimer(now, token, &actions);
      Apply(actions);
    }
    now = until;
  }
  int SendsOf(RequestId id) const {
    return static_cast<int>(std::count(sent_ids.begin(), sent_ids.end(), id));
  }
  int SendsTo(UpstreamId id) const {
    return static_cast<int>(std::count(sent_to.begin(), sent_to.end(), id));
  }

  Micros now = 100 * kSecond;
  std::multimap<Micros, std::uint64_t> timers;
  std::vector<Attempt> in_flight;
  std::vector<RequestId> sent_ids;
  std::vector<UpstreamId> sent_to;
  std::vector<Micros> sent_at;
  std::map<RequestId, int> final_answers;
  std::map<RequestId, Micros> answered_at;
  std::map<RequestId, Micros> deadlines;
  std::vector<RequestId> refused, failed;
  std::vector<Micros> retry_after;         // the advice that came with each refusal
  std::vector<UpstreamId> pending_checks;  // asked for and not answered yet
  std::vector<Micros> subscribe_times;
  std::vector<UpstreamId> closed_idle;  // idle connections closed_idle, in order
  std::string trace;

 private:
  void RecordFinalAnswer(RequestId id) {
    ++final_answers[id];
    answered_at[id] = now;
  }
  void Apply(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Send>(&action)) {
        EXPECT_EQ(final_answers[a->request], 0) << "sent after its end";
        const int attempt = SendsOf(a->request);
        const auto until = [this](Micros time) { return time > 0 ? now + time : 0; };
        in_flight.push_back(
            {a->request, attempt, a->upstream, now, until(a->time_out), until(a->send_within)});
        sent_ids.push_back(a->request);
        sent_to.push_back(a->upstream);
        sent_at.push_back(now);
        trace += "s" + std::to_string(a->request) + ":" + std::to_string(a->upstream) + " ";
      } else if (const auto* r = std::get_if<Refuse>(&action)) {
        RecordFinalAnswer(r->request);
        refused.push_back(r->request);
        retry_after.push_back(r->retry_after);
        trace += "r" + std::to_string(r->request) + " ";
      } else if (const auto* f = std::get_if<Fail>(&action)) {
        RecordFinalAnswer(f->request);
        failed.push_back(f->request);
        trace += "f" + std::to_string(f->request) + " ";
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        for (Attempt& o : in_flight) o.cancelled |= o.request == c->request && o.attempt == c->attempt;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        EXPECT_GT(t->delay, 0);
        timers.emplace(now + t->delay, t->token);
      } else if (const auto* k = std::get_if<Check>(&action)) {
        pending_checks.push_back(k->upstream);
      } else if (const auto* i = std::get_if<CloseIdle>(&action)) {
        closed_idle.push_back(i->upstream);
      } else if (std::get_if<Subscribe>(&action)) {
        subscribe_times.push_back(now);
      }
    }
  }
  std::vector<Balancer> balancer_;
};

// Ends what has been out for 50 ms, with what `outcome_of` and `count_of` say of the upstream.
template <typename OutcomeOf, typename CountOf>
void EndDueAttempts(Driver* d, OutcomeOf outcome_of, CountOf count_of) {
  for (size_t k = d->in_flight.size(); k-- > 0;) {
    if (d->now - d->in_flight[k].sent < 50'000) continue;
    const UpstreamId u = d->in_flight[k].upstream;
    d->EndAttempt(k, outcome_of(u), count_of(u));
    k = std::min(k, d->in_flight.size());
  }
}

// All instances of a tier, each with `warm` upstreams in its list.
std::vector<Driver> MakeFleet(const Settings& settings, UpstreamId warm) {
  std::vector<Driver> drivers;
  for (int i = 0; i < settings.balancers; ++i) {
    drivers.emplace_back(settings, static_cast<std::uint64_t>(i + 1));
    drivers.back().UpdateList(ReadyUpstreams(warm));
  }
  return drivers;
}

// Every instance gets `per_second` requests a second for a while.
template <typename OutcomeOf, typename CountOf>
void RunFleet(std::vector<Driver>* drivers, RequestId* next, Micros time, int per_second,
              OutcomeOf outcome_of, CountOf count_of) {
  for (Micros t = 0; t < time; t += kSecond / per_second) {
    for (Driver& d : *drivers) {
      d.Arrive((*next)++, 2 * kSecond);
      d.Advance(kSecond / per_second);
      EndDueAttempts(&d, outcome_of, count_of);
    }
  }
}

// When any of them sent to an upstream, in order.
std::vector<Micros> SendTimes(const std::vector<Driver>& drivers, UpstreamId upstream) {
  std::vector<Micros> sends;
  for (const Driver& d : drivers) {
    for (size_t i = 0; i < d.sent_to.size(); ++i) {
      if (d.sent_to[i] == upstream) sends.push_back(d.sent_at[i]);
    }
  }
  std::sort(sends.begin(), sends.end());
  return sends;
}

// --- Settings ---

TEST(SettingsTest, InvalidSettingIsNamedInTheError) {
  const auto name_of = [](auto change) -> std::string {
    Settings s = BasicSettings();
    change(&s);
    Actions out;
    try {
      Balancer b(s, 1, 0, &out);
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "accepted";
  };
  EXPECT_NE(name_of([](Settings* s) { s->max_attempts = 0; }).find("max_attempts"), std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->cold_time = -1; }).find("cold_time"), std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->start_capacity = std::nan(""); }).find("start_capacity"),
            std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->classes[0].aim = -1; }).find("aim"), std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->close_idle_within = -1; }).find("close_idle_within"),
            std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->check_price = -1; }).find("check_price"), std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->tail_weight = std::nan(""); }).find("tail_weight"),
            std::string::npos);
  EXPECT_NE(name_of([](Settings* s) { s->tail_slack = -0.1; }).find("tail_slack"), std::string::npos);
  EXPECT_EQ(name_of([](Settings*) {}), "accepted");
}

// --- The effect rule, as a table ---

enum class Location { kSameGroup, kOtherGroup };
using RetryCase = std::tuple<Repeat, Group, bool /*window open*/, Outcome, Location>;

class RetrySafetyTest : public testing::TestWithParam<RetryCase> {};

// One attempt ends; one other upstream stands ready, in the first one's group or not. What follows must be
// what the class allows, worked out here a second time and in another way.
TEST_P(RetrySafetyTest, ResendsOnlyWhereTheClassAllows) {
  const auto [repeat, group, window_open, outcome, where] = GetParam();
  Settings s = BasicSettings();
  s.classes[0].repeat = repeat;
  s.classes[0].group = group;
  s.classes[0].window = window_open ? 5 * kSecond : 100'000;
  Driver d(s);
  const int other = where == Location::kSameGroup ? 0 : 1;
  d.UpdateList({Entry(1, 0, 0, 0)});
  d.Arrive(7);
  ASSERT_EQ(d.SendsOf(7), 1);
  d.UpdateList({Entry(1, 0, 0, 0), Entry(2, 0, other, other)});
  d.Advance(140'000);
  ASSERT_EQ(d.in_flight.size(), 1u);
  const Micros first = d.in_flight[0].sent;
  // Whoever carries it has to know how long it may leave for: connections may come up late, and a copy may
  // have run by then.
  const Micros window = s.classes[0].window - s.classes[0].window / 20;
  const auto send_by = [&](Micros opened) { return repeat == Repeat::kKeyed ? opened + window : 0; };
  EXPECT_EQ(d.in_flight[0].send_by, send_by(first));
  d.EndAttemptOf(7, outcome);
  const bool never_ran =
      outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
  const bool anywhere = never_ran || repeat == Repeat::kSafe;
  const bool in_group =
      repeat == Repeat::kKeyed && window_open && (group == Group::kAll || where == Location::kSameGroup);
  if (!anywhere && !in_group) {
    EXPECT_FALSE(d.SendsTo(2) > 0) << "went out again where it must not";
  } else {
    ASSERT_EQ(d.SendsTo(2), 1);
    EXPECT_EQ(d.in_flight[0].send_by, send_by(never_ran ? d.in_flight[0].sent : first));
  }
  if (!anywhere && !(repeat == Repeat::kKeyed && group == Group::kAll)) {
    d.Advance(10 * kSecond);
    EXPECT_TRUE(d.refused.empty()) << "refused although it may have run";
  }
}

INSTANTIATE_TEST_SUITE_P(Table, RetrySafetyTest,
                         testing::Combine(testing::Values(Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe),
                                          testing::Values(Group::kAll, Group::kZone, Group::kCell),
                                          testing::Bool(),
                                          testing::Values(Outcome::kError, Outcome::kRejected,
                                                          Outcome::kTimeout, Outcome::kConnectFailed,
                                                          Outcome::kReset, Outcome::kCancelled,
                                                          Outcome::kNotSent, Outcome::kSpoilt),
                                          testing::Values(Location::kSameGroup, Location::kOtherGroup)));

// --- Every request is answered once, in time, under random events ---

class RandomEventsTest : public testing::TestWithParam<int> {};

TEST_P(RandomEventsTest, EachRequestGetsOneAnswerInTime) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  Settings s = BasicSettings();
  RequestClass keyed = s.classes[0], unsafe = s.classes[0];
  keyed.repeat = Repeat::kKeyed;
  keyed.group = GetParam() % 2 ? Group::kCell : Group::kZone;
  unsafe.repeat = Repeat::kUnsafe;
  unsafe.late_share = 0.5;
  s.classes = {s.classes[0], keyed, unsafe};
  s.parallel_attempts = GetParam() % 3 == 0;
  s.tier = GetParam() % 2;
  Driver d(s, static_cast<std::uint64_t>(GetParam()));
  RequestId next = 1;
  const auto list = [&] {
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 6; ++u) {
      if (random() % 5 == 0) continue;
      entries.push_back(
          Entry(u, random() % 6 == 0 ? d.now - 1000 : 0, static_cast<int>(u % 2), static_cast<int>(u % 3)));
    }
    d.UpdateList(entries);
  };
  list();
  for (int step = 0; step < 4000; ++step) {
    const unsigned what = step < 3000 ? random() % 100 : 99;  // at the end only time passes
    if (what < 35)
      d.Arrive(next++, static_cast<Micros>(random() % 3'000'000), static_cast<int>(random() % 3));
    if (what >= 35 && what < 75 && !d.in_flight.empty()) {
      static constexpr Outcome kAll[] = {Outcome::kOk,       Outcome::kOk,      Outcome::kError,
                                         Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed,
                                         Outcome::kReset,    Outcome::kSpoilt,  Outcome::kUnfit};
      d.EndAttempt(random() % d.in_flight.size(), kAll[random() % 9], static_cast<double>(random() % 20));
    }
    if (what == 75) list();
    d.Advance(static_cast<Micros>(random() % 20'000));
    // What the network does: time-in_flight of attempts, of deadlines, and cancels come back.
    for (size_t i = 0; i < d.in_flight.size();) {
      const Driver::Attempt& o = d.in_flight[i];
      const bool due = (o.timeout_at > 0 && o.timeout_at <= d.now) || d.deadlines[o.request] <= d.now;
      if (o.cancelled || due) {
        d.EndAttempt(i, o.cancelled ? Outcome::kCancelled : Outcome::kTimeout);
        i = 0;
      } else {
        ++i;
      }
    }
  }
  EXPECT_TRUE(d.in_flight.empty());
  for (RequestId id = 1; id < next; ++id) {
    EXPECT_EQ(d.final_answers[id], 1) << "request " << id;
    EXPECT_LE(d.answered_at[id], d.deadlines[id] + 20'000) << "request " << id;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, testing::Range(1, 25));

TEST(RequestTest, RequestWithoutTimeLeftIsAnsweredAtOnce) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1)});
  d.Arrive(1, 0);
  d.Arrive(2, -5);
  EXPECT_EQ(d.final_answers[1], 1);
  EXPECT_EQ(d.final_answers[2], 1);
  EXPECT_TRUE(d.in_flight.empty());
}

TEST(RequestTest, WaitsForAnUpstreamWhileTimeAllows) {
  Driver d(BasicSettings());
  d.Arrive(1);
  d.Advance(500'000);
  EXPECT_EQ(d.final_answers[1], 0);
  d.UpdateList({Entry(1)});
  EXPECT_EQ(d.SendsOf(1), 1);
  Settings late = BasicSettings();
  late.classes[0].late_share = 1;
  Driver empty(late);
  empty.Arrive(1);
  const Micros half = empty.now + 3 * kSecond;
  empty.Advance(6 * kSecond);
  EXPECT_EQ(empty.final_answers[1], 1);
  EXPECT_LT(empty.answered_at[1], half - 200'000) << "unsent, it is given up before half of its time is over";
}

// Late answers earn nothing, so an attempt is cut at the aim; not where the aim grows with work that is
// unknown.
TEST(RequestTest, AttemptTimesOutAtTheAimOnlyIfTheAimIsKnown) {
  for (const double stretch : {0.0, 3.0}) {
    Settings s = BasicSettings();
    s.classes[0].aim_stretch = stretch;
    Driver d(s);
    d.UpdateList({Entry(1)});
    d.Arrive(1, 6 * kSecond);
    ASSERT_EQ(d.in_flight.size(), 1u);
    EXPECT_EQ(d.in_flight[0].timeout_at, stretch > 0 ? 0 : d.now + s.classes[0].aim);
  }
}

TEST(PickTest, TieGoesToAnUpstreamWithAnOpenConnection) {
  constexpr Micros kIdle = 2 * kSecond;
  const auto connections_opened = [](Micros told) {
    Settings s = BasicSettings();
    s.connection_idle = told;
    Driver d(s);
    std::vector<UpstreamEntry> many;
    for (UpstreamId u = 1; u <= 20; ++u) many.push_back(Entry(u));
    d.UpdateList(many);
    std::map<UpstreamId, Micros> used;
    int opened = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      d.Arrive(id);
      Micros& last = used[d.sent_to.back()];
      opened += last == 0 || d.now - last > kIdle;
      last = d.now;
      d.Advance(500'000);
      d.EndAttemptOf(id, Outcome::kOk, 3);
    }
    return opened;
  };
  EXPECT_LT(connections_opened(kIdle), connections_opened(0) - 15);
}

TEST(RequestTest, UnknownIdsAreIgnored) {
  Driver d(BasicSettings());
  d.UpdateList({Entry(1)});
  Actions out;
  AttemptEnd end;
  end.request = 99;
  end.upstream = 55;
  d.balancer().OnAttemptEnd(d.now, end, &out);
  d.balancer().OnTimer(d.now, 12345, &out);
  d.balancer().OnClientGone(d.now, 99, &out);
  d.balancer().OnStreamStart(d.now, 99, 0, &out);
  EXPECT_TRUE(out.empty());
}

// --- Drains ---

TEST(DrainTest, DrainingOrMissingUpstreamGetsNoNewAttempt) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1), Entry(2)});
    UpstreamEntry gone = Entry(1);
    gone.state = state;
    d.UpdateList({gone}, ListUpdate::kChanges);
    for (RequestId id = 1; id <= 50; ++id) {
      d.Arrive(id);
      d.Advance(10'000);
      d.EndAttemptOf(id, Outcome::kOk);
    }
    EXPECT_EQ(d.SendsTo(1), 0);
    d.UpdateList({Entry(1)});
    d.Arrive(100);
    EXPECT_EQ(d.SendsTo(1), 1) << "an upstream missing from a complete list is gone";
  }
}

// Guards against connections that stay open: after the notice, and after an outcome that comes long after it.
TEST(DrainTest, IdleConnectionsCloseWhenDrainingStartsAndAfterEachAttempt) {
  for (const Micros within : {Micros{0}, Micros{300'000}}) {
    Settings s = BasicSettings();
    s.close_idle_within = within;
    Driver d(s);
    d.UpdateList({Entry(1)});
    d.Arrive(1);
    d.Arrive(2);
    UpstreamEntry draining = Entry(1);
    draining.state = UpstreamState::kDraining;
    d.UpdateList({draining}, ListUpdate::kChanges);
    const size_t each = within > 0 ? 1 : 0;
    EXPECT_EQ(d.closed_idle.size(), each);
    d.Advance(3 * kSecond);
    d.EndAttemptOf(1, Outcome::kOk);
    EXPECT_EQ(d.closed_idle.size(), 2 * each);
    draining.state = UpstreamState::kGone;
    d.UpdateList({draining}, ListUpdate::kChanges);
    const size_t before = d.closed_idle.size();
    d.EndAttemptOf(2, Outcome::kReset);
    EXPECT_EQ(d.closed_idle.size(), before + each);
    d.UpdateList({Entry(1, d.now)}, ListUpdate::kChanges);
    EXPECT_EQ(d.closed_idle.size(), before + each) << "one that runs again keeps its connections";
  }
}

// Where only draining binds, a list that loses most servers costs nothing while they serve, and each that is
// gone in truth costs one call; one that drained before gets nothing, listed as gone or not.
TEST(DrainTest, WithOnlyDrainingBindsUnlistedUpstreamsStayInUse) {
  for (const bool soft : {false, true}) {
    for (const bool missing : {false, true}) {
      Settings s = BasicSettings();
      s.only_draining_binds = soft;
      Driver d(s);
      d.UpdateList(ReadyUpstreams(12));
      std::vector<UpstreamEntry> changed = ReadyUpstreams(12);
      changed[0].state = UpstreamState::kDraining;
      d.UpdateList(changed);
      for (UpstreamEntry& e : changed) e.state = e.id <= 9 ? UpstreamState::kGone : UpstreamState::kReady;
      if (missing) changed.erase(changed.begin(), changed.begin() + 9);
      d.UpdateList(changed, missing ? ListUpdate::kComplete : ListUpdate::kChanges);
      for (RequestId id = 1; id <= 600; ++id) {
        d.Arrive(id);
        while (d.final_answers[id] == 0) {
          const bool dead = d.sent_to.back() == 2;
          d.Advance(10'000);
          d.EndAttemptOf(id, dead ? Outcome::kConnectFailed : Outcome::kOk);
        }
      }
      EXPECT_EQ(d.SendsTo(1), 0) << "it drained";
      EXPECT_EQ(d.SendsTo(2), soft ? 1 : 0);
      EXPECT_EQ(d.SendsTo(5) > 20, soft);
      d.UpdateList(ReadyUpstreams(12));
      for (RequestId id = 1001; id <= 1300; ++id) {
        d.Arrive(id);
        d.Advance(10'000);
        d.EndAttemptOf(id, Outcome::kOk);
      }
      EXPECT_GT(d.SendsTo(2), 5) << "the true list brings it back";
    }
  }
}

// A list of long ago comes again and then the true one: what was learnt of a server since its start holds.
// Servers replaced all day by ones with new ids: what is kept of them must not grow, and the living stay in
// use.
TEST(ListTest, StateOfRemovedUpstreamsIsFreed) {
  Driver d(BasicSettings());
  const auto day = [&](UpstreamId from, UpstreamId to) {
    for (UpstreamId id = from; id < to; ++id) {
      d.UpdateList({Entry(id), Entry(id + 1), Entry(id + 2)});
      d.Arrive(id, kSecond);
      d.Advance(100'000);
      d.EndAttemptOf(id, Outcome::kOk);
      d.Advance(900'000);
    }
  };
  day(1, 200);
  const auto heap = [] { return mallinfo2().uordblks + mallinfo2().hblkhd; };
  const auto before = heap();
  const size_t sends = d.sent_to.size();
  day(200, 5'200);
  EXPECT_EQ(d.sent_to.size(), sends + 5'000);
  for (size_t i = sends; i < d.sent_to.size(); ++i) EXPECT_LE(d.sent_to[i] - d.sent_ids[i], 2u);
  // The driver's own notes take some 240 bytes a request; a server that is kept takes 400 more. Under a
  // sanitizer's allocator there is nothing to be read here.
  EXPECT_LT(heap(), before + 5'000 * 400);
}

TEST(DrainTest, StaleListDoesNotResetKnownStartTime) {
  Driver d(BasicSettings());
  const Micros started = d.now - 30 * kSecond;
  d.UpdateList({Entry(1, started), Entry(2, started)});
  d.Arrive(1);
  const UpstreamId dead = d.sent_to.back();
  d.EndAttemptOf(1, Outcome::kConnectFailed);
  d.UpdateList({Entry(1, started - 50 * kSecond), Entry(2, started - 50 * kSecond)});
  d.UpdateList({Entry(1, started), Entry(2, started)});
  for (RequestId id = 2; id <= 6; ++id) {
    d.Arrive(id);
    d.Advance(10'000);
    d.EndAttemptOf(id, Outcome::kOk);
  }
  EXPECT_EQ(d.SendsTo(dead), 1);
}

TEST(DrainTest, FailedSubscriptionIsRenewedWithinTheInterval) {
  Settings s = BasicSettings();
  s.must_ask = true;
  Driver d(s);
  ASSERT_EQ(d.subscribe_times.size(), 1u);
  for (int i = 0; i < 8; ++i) {
    const size_t before = d.subscribe_times.size();
    d.UpdateList({}, ListUpdate::kFailed);
    d.Advance(s.ask_every);
    EXPECT_EQ(d.subscribe_times.size(), before + 1);
  }
}

// --- Cold upstreams ---

// ReadyUpstreams instances, one cold upstream: all together stay under the multiple of what it can do, over
// every span.
TEST(SlowStartTest, BudgetHoldsOverEverySpanWithAllInstancesTogether) {
  constexpr int kBalancers = 4, kWarm = 6, kPerSecond = 60;  // requests a second and instance
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  const auto run = [&](Micros time, Outcome warm_outcome) {
    RunFleet(
        &drivers, &next, time, kPerSecond,
        [&](UpstreamId u) { return u <= kWarm ? warm_outcome : Outcome::kOk; },
        [](UpstreamId) { return 1.0; });
  };
  run(20 * kSecond, Outcome::kOk);
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  const Micros start = drivers[0].now;
  run(3 * kSecond, Outcome::kOk);
  run(3 * kSecond, Outcome::kConnectFailed);  // all others go down, and the cold one must still be spared
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  ASSERT_GT(sends.size(), 10u) << "a cold upstream gets its share";
  // A warm one takes kBalancers * kPerSecond / kWarm a second.
  const double full = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  for (size_t i = 0; i < sends.size(); ++i) {
    const double in_span =
        static_cast<double>(std::upper_bound(sends.begin(), sends.end(), sends[i] + s.fall_time) -
                            (sends.begin() + static_cast<long>(i)));
    const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
    const double allowed = s.fall_multiple * full * (s.start_capacity + (1 - s.start_capacity) * age);
    EXPECT_LE(in_span, allowed) << "after " << sends[i] - start << " us";
  }
}

// Hundreds of instances with a few requests a second each: what each could have sent to the cold server while
// all was well must not come in the second in which the others fail.
TEST(SlowStartTest, HundredsOfInstancesDoNotAccumulateBudgetForABurst) {
  constexpr int kBalancers = 240, kWarm = 12;
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  s.start_capacity = 0.14;
  s.cold_time = 19 * kSecond;
  s.fall_multiple = 2;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  // One request each `every`, half as often for every second instance.
  const auto run = [&](int steps, Micros every, Outcome warm_outcome) {
    for (int step = 0; step < steps; ++step) {
      for (size_t i = 0; i < drivers.size(); ++i) {
        Driver& d = drivers[i];
        if (i % 2 == 0 || step % 2 == 0) d.Arrive(next++, 2 * kSecond);
        d.Advance(every);
        EndDueAttempts(
            &d, [&](UpstreamId u) { return u <= kWarm ? warm_outcome : Outcome::kOk; },
            [](UpstreamId) { return 1.0; });
      }
    }
  };
  run(60, kSecond / 4, Outcome::kOk);
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  const Micros start = drivers[0].now;
  run(40, kSecond / 4, Outcome::kOk);
  run(30, kSecond / 10, Outcome::kConnectFailed);  // 2.5 times the traffic, and nobody else left
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  EXPECT_GT(sends.size(), 50u) << "it must get enough to warm by";
  const double full = kBalancers * 0.75 * 4 / kWarm;  // a second, at a warm one
  for (size_t i = 0; i < sends.size(); ++i) {
    const double share = 0.14 + 0.86 * static_cast<double>(sends[i] - start) / (19.0 * kSecond);
    const auto end = std::lower_bound(sends.begin(), sends.end(), sends[i] + kSecond);
    EXPECT_LE(end - sends.begin() - static_cast<std::ptrdiff_t>(i), 2 * share * full) << sends[i] - start;
  }
}

// The most by which a cold server's sends in a span go over what chance may add to its budget N, N + 2
// sqrt(N) + 2, where 25 instances of uneven traffic have a burst just when it starts and half of the warm
// ones fail. `told` is the count of instances that each of them believes in.
double MaxExcessOverBudget(int told, std::uint64_t seed) {
  constexpr int kBalancers = 25, kWarm = 20;
  Settings s = BasicSettings();
  s.balancers = told;
  s.start_capacity = 0.13;
  s.cold_time = 22 * kSecond;
  s.fall_multiple = 4;
  std::vector<Driver> drivers;
  for (int i = 0; i < kBalancers; ++i) {
    drivers.emplace_back(s, seed * 100 + static_cast<std::uint64_t>(i));
    drivers.back().UpdateList(ReadyUpstreams(kWarm));
  }
  RequestId next = 1;
  const auto run = [&](int steps, Micros every, bool failing) {
    for (int step = 0; step < steps; ++step) {
      for (size_t i = 0; i < drivers.size(); ++i) {
        if (step % (4 + static_cast<int>(i) % 12) == 0) drivers[i].Arrive(next++, 2 * kSecond);
        drivers[i].Advance(every);
        EndDueAttempts(
            &drivers[i],
            [&](UpstreamId u) { return failing && u <= kWarm / 2 ? Outcome::kConnectFailed : Outcome::kOk; },
            [](UpstreamId) { return 1.0; });
      }
    }
  };
  run(400, kSecond / 10, false);
  double served = 0;
  for (const Driver& d : drivers) served += static_cast<double>(d.sent_to.size());
  const double full = served / 40 / kWarm;  // a second, at a warm one
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  const Micros start = drivers[0].now;
  run(150, kSecond / 25, true);
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  double over = -1e9;
  for (size_t i = 0; i < sends.size(); ++i) {
    const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
    const double budget = s.fall_multiple * full * (s.start_capacity + (1 - s.start_capacity) * age);
    const auto end = std::lower_bound(sends.begin(), sends.end(), sends[i] + s.fall_time);
    const double sent = static_cast<double>(end - sends.begin()) - static_cast<double>(i);
    over = std::max(over, sent - (budget + 2 * std::sqrt(budget) + 2));
  }
  return over;
}

// The ramp is the fleet's: no peer says anything, each takes its part by the settings' count of instances.
// And a control: where each ramps as if it were alone, the sum pushes the server over.
TEST(SlowStartTest, TwentyFiveInstancesShareOneRamp) {
  int broken_alone = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    EXPECT_LE(MaxExcessOverBudget(25, seed), 0) << seed;
    broken_alone += MaxExcessOverBudget(1, seed) > 0 ? 1 : 0;
  }
  EXPECT_EQ(broken_alone, 8);
}

// A release in a jam: what the warm ones took before it is the measure, not what gets through now.
TEST(SlowStartTest, LowThroughputInAnOverloadDoesNotShrinkTheBudget) {
  constexpr int kBalancers = 4, kWarm = 6, kPerSecond = 60;
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  s.fall_multiple = 4;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  const auto run = [&](Micros time, int per_second, double count) {
    RunFleet(
        &drivers, &next, time, per_second, [](UpstreamId) { return Outcome::kOk; },
        [&](UpstreamId u) { return u <= kWarm ? count : 0.0; });
  };
  run(20 * kSecond, kPerSecond, 1);
  // A jam lets hardly anything through for a while, which is no measure of what the servers can take.
  run(16 * kSecond, 2, 1);
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  run(4 * kSecond, kPerSecond, 20);
  const double full = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  EXPECT_GT(SendTimes(drivers, 99).size(), 0.25 * full * mean_share * 4);
}

// A site comes back cold while the others do its work: a cold server takes several times as long, so it gets
// no more than it surely does, and the others keep the rest.
TEST(SlowStartTest, ColdUpstreamGetsOnlyItsStartShareWhileWarmOnesSuffice) {
  constexpr int kBalancers = 4, kWarm = 9, kPerSecond = 60;
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  s.fall_multiple = 4;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  const auto run = [&](Micros time) {
    RunFleet(
        &drivers, &next, time, kPerSecond, [](UpstreamId) { return Outcome::kOk; },
        [](UpstreamId) { return 1.0; });
  };
  run(20 * kSecond);  // with three lost, the nine do it all
  for (Driver& d : drivers) {
    d.UpdateList({Entry(91, d.now), Entry(92, d.now), Entry(93, d.now)}, ListUpdate::kChanges);
  }
  run(4 * kSecond);
  const double full = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  for (UpstreamId u = 91; u <= 93; ++u) {
    EXPECT_GT(SendTimes(drivers, u).size(), 0.25 * full * mean_share * 4) << "it has to be found well again";
    EXPECT_LT(SendTimes(drivers, u).size(), 1.2 * full * mean_share * 4);
  }
}

// Most warm servers are replaced: the cold take their part of what those took, within the rule.
TEST(SlowStartTest, ColdUpstreamsReplaceTheCapacityOfLostOnes) {
  constexpr int kBalancers = 4, kWarm = 12, kPerSecond = 60;
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  s.fall_multiple = 4;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  const auto run = [&](Micros time) {
    RunFleet(
        &drivers, &next, time, kPerSecond, [](UpstreamId) { return Outcome::kOk; },
        [](UpstreamId) { return 1.0; });
  };
  run(20 * kSecond);
  const Micros start = drivers[0].now;
  for (Driver& d : drivers) {
    std::vector<UpstreamEntry> list = ReadyUpstreams(4);
    for (UpstreamId u = 91; u <= 98; ++u) list.push_back(Entry(u, d.now));
    d.UpdateList(list);
  }
  run(4 * kSecond);
  const double full = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  double sent = 0;
  for (UpstreamId u = 91; u <= 98; ++u) {
    const std::vector<Micros> sends = SendTimes(drivers, u);
    sent += static_cast<double>(sends.size()) / 8;
    for (size_t i = 0; i < sends.size(); ++i) {
      const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
      const double share = s.start_capacity + (1 - s.start_capacity) * age;
      const auto end = std::upper_bound(sends.begin(), sends.end(), sends[i] + s.fall_time);
      EXPECT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i),
                s.fall_multiple * full * share + 1);
    }
  }
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  EXPECT_GT(sent, 2.25 * full * mean_share * 4 * 0.85);
}

TEST(SlowStartTest, BudgetHoldsForASoleUpstreamWithoutTrafficHistory) {
  Settings s = BasicSettings();
  s.balancers = 10;
  Driver d(s);
  d.UpdateList({Entry(1, d.now)});
  for (RequestId id = 1; id <= 200; ++id) {
    d.Arrive(id);
    d.Advance(10'000);
  }
  EXPECT_LE(d.SendsTo(1), 2);
}

TEST(SlowStartTest, RestartOfAKnownUpstreamIsCold) {
  Settings s = BasicSettings();
  s.balancers = 10;
  Driver d(s);
  d.UpdateList({Entry(1)});
  for (RequestId id = 1; id <= 20; ++id) d.Arrive(id);
  EXPECT_EQ(d.SendsTo(1), 20);
  d.UpdateList({Entry(1, d.now)}, ListUpdate::kChanges);
  for (RequestId id = 21; id <= 120; ++id) d.Arrive(id);
  EXPECT_LE(d.SendsTo(1), 22);
}

// --- Chips, draws and health ---

TEST(PickTest, RejectedAttemptIsRetriedElsewhereWithinTheAttemptLimit) {
  Settings s = BasicSettings();
  s.max_attempts = 3;
  Driver d(s);
  d.UpdateList({Entry(1), Entry(2), Entry(3), Entry(4)});
  d.Arrive(1);
  for (int i = 0; i < 3; ++i) d.EndAttemptOf(1, Outcome::kRejected);
  EXPECT_EQ(d.SendsOf(1), 3);
  EXPECT_NE(d.sent_to[0], d.sent_to[1]);
  EXPECT_NE(d.sent_to[1], d.sent_to[2]);
  EXPECT_EQ(d.final_answers[1], 1);
}

// Sends `n` requests, each answered after 50 ms with what `outcome` and `count` say of the upstream.
template <typename OutcomeOf, typename CountOf>
void RunRequests(Driver* d, int n, OutcomeOf outcome_of, CountOf count_of) {
  static RequestId next = 1000;
  for (int i = 0; i < n; ++i) {
    d->Arrive(next++);
    d->Advance(10'000);
    EndDueAttempts(d, outcome_of, count_of);
  }
}

std::vector<UpstreamEntry> FiveUpstreams() { return {Entry(1), Entry(2), Entry(3), Entry(4), Entry(5)}; }
Outcome AllOk(UpstreamId) { return Outcome::kOk; }

// One call at a time, so chips come back before the next pick. Upstream 1 reports itself full and loses its
// chips; it is drawn again only when long unheard. The others report nothing in hand and earn a chip with
// every answer.
TEST(PickTest, ReportOfAFullUpstreamClearsItsChipsUntilTheResetInterval) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  for (RequestId id = 1; id <= 1000; ++id) {
    d.Arrive(id);
    d.Advance(10'000);
    d.EndAttemptOf(id, Outcome::kOk, d.in_flight[0].upstream == 1 ? 40 : 0);
  }
  EXPECT_LT(d.SendsTo(1), d.SendsTo(2) / 4);
  EXPECT_GT(d.SendsTo(1), 5) << "long unheard, it is tried again";
}

// Capacity is max(4, 1.6 x mean count), 4 here, and a chip comes with 1 - count / (0.8 x capacity): after 38%
// of answers at a count of 2, 69% at a count of 1, and all at 0. Without one the server waits for the reset
// interval, so its share falls with its count.
TEST(PickTest, ShorterQueuesEarnMoreChips) {
  const auto sends_at = [](double count) {
    Driver d(BasicSettings());
    d.UpdateList(FiveUpstreams());
    for (RequestId id = 1; id <= 3000; ++id) {
      d.Arrive(id);
      d.Advance(10'000);
      d.EndAttemptOf(id, Outcome::kOk, d.in_flight[0].upstream == 1 ? count : 0);
    }
    return d.SendsTo(1);
  };
  EXPECT_NEAR(sends_at(0), 600, 100);
  EXPECT_LT(sends_at(1), sends_at(0) / 2);
  EXPECT_LT(sends_at(2), sends_at(0) / 2);
}

TEST(PickTest, OwnZoneIsPreferredUnlessOverloaded) {
  const auto near_share = [](double near_count) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1, 0, 0), Entry(2, 0, 0), Entry(3, 0, 1), Entry(4, 0, 1)});
    RunRequests(&d, 1000, AllOk, [&](UpstreamId u) { return u <= 2 ? near_count : 4.0; });
    return (d.SendsTo(1) + d.SendsTo(2)) / 1000.0;
  };
  EXPECT_GT(near_share(4.0), 0.55);
  EXPECT_LT(near_share(12.0), near_share(4.0) - 0.1);
}

// --- Admission ---

TEST(AdmissionTest, LowLoadIsNeverShed) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  RunRequests(&d, 2000, AllOk, [](UpstreamId) { return 3.0; });
  EXPECT_TRUE(d.refused.empty());
}

// Answer times that vary as widely as work does are no crowd: guards against a quiet answer time that is read
// too low, from the first quick answers or the luckiest few, and then refuses the cheaper class at rest.
TEST(AdmissionTest, LowLoadOfVaryingWorkIsHardlyEverShed) {
  size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Settings s = BasicSettings();
    s.classes[0].aim = 1'500'000;
    s.classes[0].points = 2;
    s.classes.push_back(s.classes[0]);
    s.classes[1].points = 6;
    s.balancers = 4;
    Driver d(s, seed);
    d.UpdateList(FiveUpstreams());
    std::mt19937 random(static_cast<unsigned>(seed));
    std::map<RequestId, Micros> work;
    for (RequestId id = 1; id <= 300; ++id) {
      work[id] = 100'000 + static_cast<Micros>(random() % 900'000);
      d.Arrive(id, 4 * kSecond, static_cast<int>(id % 2));
      for (int step = 0; step < 10; ++step) {
        d.Advance(10'000);
        for (size_t k = d.in_flight.size(); k-- > 0;) {
          const Driver::Attempt o = d.in_flight[k];
          if (d.now - o.sent >= work[o.request]) d.EndAttempt(k, Outcome::kOk, 2);
        }
      }
    }
    refused += d.refused.size();
  }
  EXPECT_LT(refused, 60u) << "of 3000";
}

// A crowd that waits for a fresh instance: before the first answer no more than a few for each upstream are
// taken.
TEST(AdmissionTest, BurstAtStartIsAdmittedGradually) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  d.Advance(200'000);
  for (RequestId id = 1; id <= 500; ++id) d.Arrive(id);
  EXPECT_LE(d.in_flight.size(), 5u * 7);
  EXPECT_GE(d.in_flight.size(), 5u * 5);
  Settings inner = BasicSettings();
  inner.tier = 1;
  Driver lower(inner);
  lower.UpdateList(FiveUpstreams());
  lower.Advance(200'000);
  for (RequestId id = 1; id <= 500; ++id) lower.Arrive(id);
  EXPECT_EQ(lower.in_flight.size(), 500u) << "a call between tiers carries work already done";
}

// A copy of many gets more than its even part of the first requests now and then, and none of its servers has
// heard of the others' less: nothing may be refused for that.
TEST(AdmissionTest, OneOfManyBalancersAdmitsARandomBurstAtStart) {
  Settings s = BasicSettings();
  s.balancers = 16;
  Driver d(s);
  d.UpdateList(ReadyUpstreams(16));
  for (RequestId id = 1; id <= 10; ++id) {
    d.Arrive(id);
    d.Advance(50'000);
  }
  EXPECT_EQ(d.refused.size(), 0u);
  for (RequestId id = 11; id <= 60; ++id) d.Arrive(id);
  EXPECT_LE(d.in_flight.size(), 20u) << "a crowd is still none of its business";
}

// A crowd that comes by chance to one copy of many is made up for by the others; at two copies it is half
// of a crowd at the servers, and in a jam it keeps the jam going. Guards against the day that tips once a
// server hangs.
TEST(AdmissionTest, UnderOverloadOneOfFewBalancersAdmitsNoRandomBurst) {
  const auto let_in = [](int balancers) {
    Settings s = BasicSettings();
    s.balancers = balancers;
    size_t most = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Driver d(s, seed);
      d.UpdateList(ReadyUpstreams(4));
      RequestId next = 1;
      // At rest 15 a second are answered in half a second; then the servers are choked, and each takes 0.8 s.
      for (const auto& [count, took] : {std::pair(600, 500'000), std::pair(150, 800'000)}) {
        for (int i = 0; i < count; ++i) {
          d.Arrive(next++);
          d.Advance(66'000);
          while (!d.in_flight.empty() && d.now - d.in_flight[0].sent >= took)
            d.EndAttempt(0, Outcome::kOk, 3);
        }
      }
      for (int i = 0; i < 60; ++i) d.Arrive(next++);
      most += d.in_flight.size();
    }
    return most;
  };
  const size_t few = let_in(2), many = let_in(200);
  EXPECT_LT(10 * few, 9 * many) << few << " beside " << many;
  EXPECT_GT(few, 5 * 8u) << "what the servers can do is let in all the same";
}

// Servers that answer 50 requests a second in all, asked for 200: what is in hand stays answerable, and the
// tenant over its share is refused first.
TEST(AdmissionTest, OverloadIsShedEarlyAndOverShareTenantsFirst) {
  Settings s = BasicSettings();
  s.tenants = {{10}, {1000}};
  s.over_share_worth = 0.1;
  Driver d(s);
  d.UpdateList(FiveUpstreams());
  RequestId next = 1;
  std::map<int, int> asked, served;
  std::map<RequestId, int> tenant_of;
  size_t most_out = 0;
  for (int i = 0; i < 6000; ++i) {
    const int tenant = i % 2;
    tenant_of[next] = tenant;
    if (i > 3000) ++asked[tenant];
    d.Arrive(next++, 4 * kSecond, 0, tenant);
    d.Advance(5'000);
    if (i % 4 == 0 && !d.in_flight.empty()) {
      const RequestId id = d.in_flight[0].request;
      d.EndAttempt(0, Outcome::kOk, static_cast<double>(d.in_flight.size()) / 5);
      if (i > 3000) ++served[tenant_of[id]];
    }
    if (i > 3000) most_out = std::max(most_out, d.in_flight.size());
  }
  EXPECT_LT(most_out, 110u) << "two seconds' worth of answers";
  EXPECT_GT(served[1], 3 * served[0]);
  EXPECT_GT(served[0] + served[1], 600);
}

TEST(PickTest, SteadyLoadUsesAllUpstreams) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  RunRequests(&d, 1000, AllOk, [](UpstreamId) { return 8.0; });
  for (UpstreamId u = 1; u <= 5; ++u) EXPECT_NEAR(d.SendsTo(u), 200, 60);
}

TEST(HealthTest, FastFailingUpstreamIsEjectedDespiteItsShortQueue) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  RunRequests(
      &d, 1000, [](UpstreamId u) { return u == 1 ? Outcome::kError : Outcome::kOk; },
      [](UpstreamId u) { return u == 1 ? 0.0 : 6.0; });
  EXPECT_LT(d.SendsTo(1), 40);
}

TEST(HealthTest, ErrorsOfAllUpstreamsEjectNone) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  std::mt19937 random(5);
  RunRequests(
      &d, 1000, [&](UpstreamId) { return random() % 2 ? Outcome::kError : Outcome::kOk; },
      [](UpstreamId) { return 6.0; });
  for (UpstreamId u = 1; u <= 5; ++u) EXPECT_GT(d.SendsTo(u), 120) << u;
}

// Answers spoilt here and there, at every server alike: all stay in use. One that spoils each is left.
TEST(HealthTest, MalformedAnswersEjectOnlyAnUpstreamThatSendsNothingElse) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  std::mt19937 random(7);
  int spoilt = 0;
  RunRequests(
      &d, 1000,
      [&](UpstreamId u) {
        const bool spoil = u == 1 ? d.now > 120 * kSecond : random() % 10 == 0;
        spoilt += spoil && u == 1 ? 1 : 0;
        return spoil ? Outcome::kSpoilt : Outcome::kOk;
      },
      [](UpstreamId) { return 6.0; });
  for (UpstreamId u = 2; u <= 5; ++u) EXPECT_GT(d.SendsTo(u), 120) << u;
  EXPECT_LT(spoilt, 40);
}

// A server says that the request itself is at fault: no other one is asked, no retry invited, nobody blamed.
TEST(HealthTest, InvalidRequestFailsAtOnceWithoutBlamingItsUpstream) {
  Settings s = BasicSettings();
  s.max_retry_after = kSecond;
  Driver d(s);
  d.UpdateList(ReadyUpstreams(2));
  for (RequestId id = 1; id <= 40; ++id) {
    d.Arrive(id);
    d.Advance(1'000);
    d.EndAttemptOf(id, Outcome::kUnfit);
    EXPECT_EQ(d.SendsOf(id), 1);
    EXPECT_EQ(d.answered_at[id], d.now);
  }
  EXPECT_EQ(d.failed.size(), 40u);
  EXPECT_GT(d.SendsTo(1), 5);
  EXPECT_GT(d.SendsTo(2), 5);
}

TEST(HealthTest, SilentUpstreamIsAvoidedAndItsSafeRequestsAreRetriedElsewhere) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  RunRequests(&d, 200, AllOk, [](UpstreamId) { return 3.0; });
  RequestId next = 1;
  const int before = d.SendsTo(1);
  for (int i = 0; i < 500; ++i) {
    d.Arrive(next++);
    d.Advance(10'000);
    for (size_t k = d.in_flight.size(); k-- > 0;) {
      if (d.in_flight[k].cancelled) {
        d.EndAttempt(k, Outcome::kCancelled);
      } else if (d.in_flight[k].upstream != 1 && d.now - d.in_flight[k].sent >= 50'000) {
        d.EndAttempt(k, Outcome::kOk, 3);
      } else {
        continue;
      }
      k = std::min(k, d.in_flight.size());
    }
  }
  EXPECT_LT(d.SendsTo(1) - before, 30);
  EXPECT_TRUE(d.failed.empty());
}

// --- Few calls for many servers ---

// Sends a request each `every`, answered after 100 ms; pending_checks are answered at once.
template <typename CountOf>
int RunSparseRequests(Driver* d, int n, Micros every, CountOf count_of) {
  static RequestId next = 1'000'000;
  int checks = 0;
  for (int i = 0; i < n; ++i) {
    d->Arrive(next);
    d->Advance(100'000);
    if (d->SendsOf(next) > 0) d->EndAttemptOf(next, Outcome::kOk, count_of(d->sent_to.back()));
    checks += static_cast<int>(d->AnswerChecks(count_of).size());
    if (every > 100'000) d->Advance(every - 100'000);
    ++next;
  }
  return checks;
}

Settings SparseTrafficSettings() {
  Settings s = BasicSettings();
  s.may_check = true;
  s.check_price = 0.05;  // too dear to ask before each send
  return s;
}

TEST(SparseTrafficTest, ChecksRunOnlyIfTrafficIsSparseAndChecksAllowedAndCheap) {
  Settings s = SparseTrafficSettings();
  Driver dear(s);
  s.check_price = 0;
  Driver thin(s), thick(s), forbidden(BasicSettings());
  dear.UpdateList(ReadyUpstreams(80));
  thin.UpdateList(ReadyUpstreams(80));
  thick.UpdateList(ReadyUpstreams(5));
  forbidden.UpdateList(ReadyUpstreams(80));
  const auto crowded = [](UpstreamId) { return 6.0; };
  EXPECT_GT(RunSparseRequests(&thin, 200, 300'000, crowded), 60);
  EXPECT_EQ(RunSparseRequests(&dear, 200, 300'000, crowded), 0);
  EXPECT_EQ(RunSparseRequests(&thick, 200, 100'000, crowded), 0);
  EXPECT_EQ(RunSparseRequests(&forbidden, 200, 300'000, crowded), 0);
}

TEST(SparseTrafficTest, OverloadedQuarterOfUpstreamsGetsFewRequests) {
  Settings s = SparseTrafficSettings();
  Driver d(s);
  d.UpdateList(ReadyUpstreams(80));
  RunSparseRequests(&d, 400, 300'000, [](UpstreamId u) { return u <= 20 ? 30.0 : 6.0; });
  int crowded = 0;
  for (size_t i = 100; i < d.sent_to.size(); ++i) crowded += d.sent_to[i] <= 20;
  EXPECT_LT(crowded, 300 / 12) << "a third of their part at the most";
}

// The ordinary path at any size: most picks follow a report that is at most as old as a chip lives; where
// calls are thin and pending_checks dear, two in five still do.
TEST(SparseTrafficTest, MostPicksFollowAFreshReport) {
  for (const double price : {0.0, 0.05}) {
    for (const UpstreamId servers : {UpstreamId{5}, UpstreamId{40}, UpstreamId{140}}) {
      Settings s = SparseTrafficSettings();
      s.check_price = price;
      Driver d(s);
      d.UpdateList(ReadyUpstreams(servers));
      std::map<UpstreamId, Micros> reported;
      int fresh = 0;
      for (RequestId id = 1; id <= 600; ++id) {
        d.Arrive(id);
        for (int round = 0; round < 3; ++round) {
          for (const UpstreamId asked : d.AnswerChecks([](UpstreamId) { return 6.0; }))
            reported[asked] = d.now;
        }
        const UpstreamId u = d.sent_to.back();
        if (id > 100) fresh += reported.count(u) > 0 && d.now - reported[u] <= 2 * kSecond;
        d.Advance(100'000);
        d.EndAttemptOf(id, Outcome::kOk, 6.0);
        reported[u] = d.now;
        d.Advance(200'000);
      }
      EXPECT_GT(fresh, servers > 5 && price > 0 ? 200 : 300) << servers << " at " << price;
    }
  }
}

// The own zone is crowded, the others idle: a thin caller hears of them by its trials and sends part of its
// calls there, though it began with near servers only.
TEST(SparseTrafficTest, OtherZonesAreProbedWhileTheOwnZoneIsOverloaded) {
  Driver d(SparseTrafficSettings());
  std::vector<UpstreamEntry> entries = ReadyUpstreams(40);
  for (UpstreamEntry& e : entries) e.zone = e.id <= 10 ? 0 : 1;
  d.UpdateList(entries);
  RunSparseRequests(&d, 800, 300'000, [](UpstreamId u) { return u <= 10 ? 12.0 : 2.0; });
  int far = 0;
  for (size_t i = 400; i < d.sent_to.size(); ++i) far += d.sent_to[i] > 10;
  EXPECT_GT(far, 80);
}

// A thin caller keeps to servers that served it lately: few handshakes, and few sick servers found out anew.
TEST(SparseTrafficTest, RequestsStayWithRecentlyUsedUpstreams) {
  Settings s = SparseTrafficSettings();
  s.connection_idle = 10 * kSecond;
  Driver d(s);
  d.UpdateList(ReadyUpstreams(80));
  std::map<UpstreamId, Micros> used;
  int opened = 0;
  for (RequestId id = 1; id <= 500; ++id) {
    d.Arrive(id);
    Micros& last = used[d.sent_to.back()];
    if (id > 100) opened += last == 0 || d.now - last > s.connection_idle;
    last = d.now;
    d.AnswerChecks([](UpstreamId) { return 3.0; });
    d.Advance(100'000);
    d.EndAttemptOf(id, Outcome::kOk, 3.0);
    d.Advance(200'000);
  }
  EXPECT_LT(opened, 160) << "spread evenly, nearly all of the 400 calls would open one";
}

// One class unanswered at some servers that serve the other well: only that class keeps off them.
TEST(HealthTest, ClassFailingAtAnUpstreamAvoidsItAlone) {
  Settings s = BasicSettings();
  s.classes.push_back(s.classes[0]);
  Driver d(s);
  d.UpdateList(ReadyUpstreams(5));
  int of_class[2] = {0, 0};
  for (RequestId id = 1; id <= 2000; ++id) {
    const int request_class = static_cast<int>(id % 2);
    d.Arrive(id, 6 * kSecond, request_class);
    d.Advance(10'000);
    while (d.final_answers[id] == 0) {
      const UpstreamId u = d.sent_to.back();
      if (id > 200 && u == 1) ++of_class[request_class];
      d.EndAttemptOf(id, u == 1 && request_class == 0 ? Outcome::kError : Outcome::kOk, 1);
    }
  }
  EXPECT_GT(of_class[1], 100);
  EXPECT_LT(of_class[0], of_class[1] / 5);
}

// Most calls to one zone go wrong, whichever server of it they reach: soon few are sent there, and when the
// way is good again they come back.
TEST(HealthTest, FailingZoneIsAvoidedBeforeEachOfItsUpstreamsIsEjected) {
  Settings s = BasicSettings();
  s.zone = 1;
  Driver d(s);
  std::vector<UpstreamEntry> entries = ReadyUpstreams(90);
  for (UpstreamEntry& e : entries) e.zone = static_cast<int>(e.id % 3);
  d.UpdateList(entries);
  int to_bad[3] = {};
  for (RequestId id = 1; id <= 1800; ++id) {
    const size_t phase = (id - 1) / 600;
    d.Arrive(id);
    while (d.final_answers[id] == 0) {
      const bool bad = d.sent_to.back() % 3 == 0;
      to_bad[phase] += bad;
      d.Advance(10'000);
      d.EndAttemptOf(id, bad && phase == 1 ? Outcome::kTimeout : Outcome::kOk, 1);
    }
    if (id == 1200) d.Advance(40 * kSecond);
  }
  EXPECT_GT(to_bad[0], 40);
  EXPECT_LT(to_bad[1], 20) << "of 30 servers";
  EXPECT_GT(to_bad[2], 40);
}

// Odd zone numbers are taken, and a zone without servers is no measure: where all fail alike, all stay in
// use.
TEST(HealthTest, NegativeAndHugeZoneNumbersAreAccepted) {
  Driver d(BasicSettings());
  std::vector<UpstreamEntry> entries = ReadyUpstreams(8);
  for (UpstreamEntry& e : entries) e.zone = e.id % 2 == 0 ? -3 : 2'000'000'000;
  d.UpdateList(entries);
  for (RequestId id = 1; id <= 400; ++id) {
    d.Arrive(id);
    while (d.final_answers[id] == 0) {
      d.Advance(10'000);
      d.EndAttemptOf(id, d.SendsOf(id) % 2 == 1 ? Outcome::kError : Outcome::kOk);
    }
  }
  for (UpstreamId u = 1; u <= 8; ++u) EXPECT_GT(d.SendsTo(u), 20) << u;
}

// The refused are asked back at once after the verdict, and in time for another try within the aim.
TEST(AdmissionTest, GivenUpRequestIsAnsweredAtOnceWithRetryAfter) {
  for (const Repeat repeat : {Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe}) {
    Settings s = BasicSettings();
    s.classes[0].repeat = repeat;
    s.max_retry_after = 2 * kSecond;
    Driver d(s);
    d.UpdateList(ReadyUpstreams(3));
    d.Arrive(1);
    d.Advance(5'900'000);
    d.EndAttemptOf(1, Outcome::kError);
    EXPECT_EQ(d.final_answers[1], 1);
    EXPECT_EQ(d.answered_at[1], d.now);
    d.Arrive(2, 1'000);
    EXPECT_EQ(d.answered_at[2], d.now);
    ASSERT_FALSE(d.retry_after.empty());
    for (const Micros after : d.retry_after) {
      EXPECT_GT(after, 0);
      EXPECT_LT(after, s.classes[0].aim / 2);
    }
  }
}

// --- Requests at fault, not servers ---

Settings TwoTenantSettings() {
  Settings s = BasicSettings();
  s.tenants.resize(2);
  return s;
}

// One tenant's requests get quick errors wherever they go: the servers stay in use for the other.
TEST(RequestGroupTest, TenantFailingEverywhereEjectsNoUpstream) {
  for (const UpstreamId servers : {UpstreamId{6}, UpstreamId{60}}) {
    Settings s = TwoTenantSettings();
    s.classes[0].repeat = Repeat::kUnsafe;
    Driver d(s);
    d.UpdateList(ReadyUpstreams(servers));
    std::map<UpstreamId, int> used;
    for (RequestId id = 1; id <= 3000; ++id) {
      const int tenant = static_cast<int>(id % 2);
      d.Arrive(id, 6 * kSecond, 0, tenant);
      if (d.SendsOf(id) == 0) continue;
      if (tenant == 0 && id > 300) ++used[d.sent_to.back()];
      d.Advance(5'000);
      d.EndAttemptOf(id, tenant == 1 ? Outcome::kError : Outcome::kOk, 1);
    }
    ASSERT_EQ(used.size(), servers);
    const double mean = 1350.0 / servers;
    for (const auto& [u, n] : used) EXPECT_GT(n, mean / 3) << u << " of " << servers;
  }
}

// One tenant's requests drag at every server until the aim has passed: soon only trials of it are let in, the
// other is served on, and once it is quick again it is let in again.
TEST(RequestGroupTest, TenantSlowEverywhereIsBlockedAndReadmitted) {
  Settings s = TwoTenantSettings();
  Driver d(s);
  d.UpdateList(ReadyUpstreams(10));
  int sent[3][2] = {};
  for (RequestId id = 1; id <= 6000; ++id) {
    const int phase = static_cast<int>((id - 1) / 2000);
    const int tenant = static_cast<int>(id % 2);
    d.Arrive(id, 6 * kSecond, 0, tenant);
    sent[phase][tenant] += d.SendsOf(id);
    d.Advance(10'000);
    for (size_t k = d.in_flight.size(); k-- > 0;) {
      const bool drags = phase == 1 && d.in_flight[k].request % 2 == 1;
      const Micros out_for = d.now - d.in_flight[k].sent;
      if (d.in_flight[k].timeout_at > 0 && d.now >= d.in_flight[k].timeout_at) {
        d.EndAttempt(k, Outcome::kTimeout);
      } else if (d.in_flight[k].cancelled) {
        d.EndAttempt(k, Outcome::kCancelled);
      } else if (!drags && out_for >= 50'000) {
        d.EndAttempt(k, Outcome::kOk);
      }
      k = std::min(k, d.in_flight.size());
    }
  }
  EXPECT_GT(sent[1][0], 700);
  EXPECT_LT(sent[1][1], 400);
  EXPECT_GT(sent[2][1], 400) << "it comes back";
}

// What cannot be answered in the time left is refused at once: it would only take its server's time.
TEST(AdmissionTest, RequestWithTooLittleTimeLeftIsRejectedAtOnce) {
  Driver d(BasicSettings());
  d.UpdateList(ReadyUpstreams(5));
  for (RequestId id = 1; id <= 30; ++id) {
    d.Arrive(id);
    d.Advance(800'000);
    d.EndAttemptOf(id, Outcome::kOk, 3);
  }
  d.Arrive(100, 200'000);
  EXPECT_EQ(d.SendsOf(100), 0);
  EXPECT_EQ(d.final_answers[100], 1);
  d.Arrive(101, 2 * kSecond);
  EXPECT_EQ(d.SendsOf(101), 1);
}

// An instance with one or two in hand cannot tell a crowd from chance by their number; the time that requests
// take tells it.
TEST(AdmissionTest, WithFewInFlightLatencyDecidesAdmission) {
  const auto refused_at = [](Micros took) {
    Settings s = BasicSettings();
    s.balancers = 300;
    Driver d(s);
    d.UpdateList(ReadyUpstreams(40));
    std::size_t before = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      if (id == 200) before = d.refused.size();
      d.Arrive(id);
      d.Advance(300'000);
      while (!d.in_flight.empty() && d.now - d.in_flight[0].sent >= (id > 100 ? took : 300'000)) {
        d.EndAttempt(0, Outcome::kOk, 3);
      }
    }
    return d.refused.size() - before;
  };
  EXPECT_EQ(refused_at(300'000), 0u);
  EXPECT_GT(refused_at(1'800'000), 40u);
}

// Guards against seconds of a client's slow sending that pass for a server's silence, and against sending
// again what is not kept.
TEST(LongBodyTest, BodyIsNotTimedWhileStreamingAndNotResent) {
  Driver d(BasicSettings());
  d.UpdateList(ReadyUpstreams(4));
  for (RequestId id = 1; id <= 20; ++id) {  // answers take 20 ms: a call that is silent for 200 is stalled
    d.Arrive(id);
    d.Advance(20'000);
    d.EndAttemptOf(id, Outcome::kOk);
  }
  d.Arrive(100);
  ASSERT_EQ(d.in_flight.size(), 1u);
  const UpstreamId server = d.in_flight[0].upstream;
  d.ReportBody(100, std::nullopt);
  d.Advance(5 * kSecond);
  ASSERT_EQ(d.in_flight.size(), 1u);
  EXPECT_FALSE(d.in_flight[0].cancelled);
  EXPECT_EQ(d.balancer().Avoided(d.now), 0);
  EXPECT_EQ(d.final_answers[100], 0);
  d.deadlines[100] = d.now + 6 * kSecond;
  d.ReportBody(100, 6 * kSecond);  // its time begins
  d.Advance(20'000);
  d.EndAttemptOf(100, Outcome::kReset);
  EXPECT_TRUE(d.in_flight.empty());  // it can't go elsewhere
  EXPECT_EQ(d.final_answers[100], 1);
  d.Arrive(101);  // and its five seconds are nobody's delay
  EXPECT_EQ(d.final_answers[101], 0);
  EXPECT_NE(server, 0u);
}

// Guards against a long answer that is called off, or whose length passes for the time that an answer takes.
TEST(LongBodyTest, StreamingResponseIsNoStallAndIsTimedToItsStart) {
  Driver d(BasicSettings());
  d.UpdateList(ReadyUpstreams(4));
  for (RequestId id = 1; id <= 100; ++id) {
    d.Arrive(id);
    d.Advance(20'000);
    d.EndAttemptOf(id, Outcome::kOk);
  }
  for (RequestId id = 200; id < 210; ++id) {
    d.Arrive(id);
    d.Advance(20'000);
    d.StartResponseStream(id);
    d.final_answers[id] = 1;
    d.answered_at[id] = d.now;
  }
  d.Advance(3 * kSecond);
  EXPECT_EQ(d.in_flight.size(), 10u);
  for (const Driver::Attempt& out : d.in_flight) EXPECT_FALSE(out.cancelled);
  EXPECT_EQ(d.balancer().Avoided(d.now), 0);
  while (!d.in_flight.empty()) d.EndAttempt(0, Outcome::kOk);
  for (RequestId id = 300; id < 320; ++id) {  // nothing is refused for the seconds that they took
    d.Arrive(id);
    EXPECT_EQ(d.final_answers[id], 0);
    d.Advance(20'000);
    if (d.final_answers[id] == 0) d.EndAttemptOf(id, Outcome::kOk);
  }
}

TEST(DeterminismTest, SameEventsGiveSameActionsForAnyIds) {
  const auto trace = [](UpstreamId base) {
    Driver d(BasicSettings(), 77);
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 0; u < 5; ++u) entries.push_back(Entry(base + u * 7919 % 31));
    d.UpdateList(entries);
    std::string order;
    for (RequestId id = 1; id <= 300; ++id) {
      d.Arrive(id);
      d.Advance(5'000);
      if (d.in_flight.size() > 4) d.EndAttempt(0, Outcome::kOk, static_cast<double>(id % 9));
    }
    for (const UpstreamId u : d.sent_to) {
      for (size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].id == u) order += std::to_string(i);
      }
    }
    return order;
  };
  EXPECT_EQ(trace(1), trace(5000));
}

}  // namespace
}  // namespace umberdyke

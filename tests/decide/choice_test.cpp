// Tests of the decision module through its public interface: settings, retries, draining, slow start,
// selection, ejection, load shedding and streaming bodies. Time is simulated; nothing is sent.
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

// Drives one balancer in simulated time: keeps the clock, the balancer's timers and its attempts in flight,
// and records every action.
class Driver {
 public:
  struct Attempt {
    RequestId request;
    int attempt;
    UpstreamId upstream;
    Micros sent;
    Micros timeout_at;  // 0: no timeout of its own
    Micros send_by;     // 0: no limit on when its last byte may be sent
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
  // A request arrives from a client.
  void Arrive(RequestId id, Micros time_left = 6 * kSecond, int request_class = 0, int tenant = 0) {
    Request r;
    r.id = id;
    r.request_class = request_class;
    r.time_left = time_left;
    r.tenant = tenant;
    deadlines[id] = now + time_left;
    Actions actions;
    balancer().OnRequest(now, r, &actions);
    Apply(actions);
  }
  // Ends the oldest attempt in flight of a request.
  void EndAttemptOf(RequestId id, Outcome outcome, double count = 1) {
    const auto it =
        std::find_if(in_flight.begin(), in_flight.end(), [&](const Attempt& o) { return o.request == id; });
    ASSERT_NE(it, in_flight.end());
    EndAttempt(static_cast<size_t>(it - in_flight.begin()), outcome, count);
  }
  // Ends the attempt at `index` of in_flight; `count` is the number of requests in flight that its upstream
  // reports.
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
  // See Balancer::OnBody().
  void ReportBody(RequestId id, std::optional<Micros> time_left) {
    Actions actions;
    balancer().OnBody(now, id, time_left, &actions);
    Apply(actions);
  }
  // The first attempt's response starts to stream to the client.
  void StartResponseStream(RequestId id) {
    Actions actions;
    balancer().OnStreamStart(now, id, 0, &actions);
    Apply(actions);
  }
  // Answers the pending checks with the counts given and returns the upstreams checked.
  template <typename CountOf>
  std::vector<UpstreamId> AnswerChecks(CountOf count_of) {
    const std::vector<UpstreamId> checked = pending_checks;
    pending_checks.clear();
    for (const UpstreamId u : checked) {
      LoadReport report;
      report.in_flight = count_of(u);
      Actions actions;
      balancer().OnCheck(now, u, Outcome::kOk, report, &actions);
      Apply(actions);
    }
    return checked;
  }
  // Advances the clock and fires the timers that are due on the way.
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
  std::vector<Micros> retry_after;         // from each Refuse action
  std::vector<UpstreamId> pending_checks;  // requested and not answered yet
  std::vector<Micros> subscribe_times;
  std::vector<UpstreamId> closed_idle;  // upstreams whose idle connections were closed, in order
  std::string trace;

 private:
  void RecordFinalAnswer(RequestId id) {
    ++final_answers[id];
    answered_at[id] = now;
  }
  void Apply(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Send>(&action)) {
        EXPECT_EQ(final_answers[a->request], 0) << "sent after its final answer";
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

// Ends every attempt that has been in flight for 50 ms, with the outcome and the reported count of its
// upstream.
template <typename OutcomeOf, typename CountOf>
void EndDueAttempts(Driver* d, OutcomeOf outcome_of, CountOf count_of) {
  for (size_t k = d->in_flight.size(); k-- > 0;) {
    if (d->now - d->in_flight[k].sent < 50'000) continue;
    const UpstreamId u = d->in_flight[k].upstream;
    d->EndAttempt(k, outcome_of(u), count_of(u));
    k = std::min(k, d->in_flight.size());
  }
}

// All balancers of a tier, each with the same `upstreams` ready upstreams in its list.
std::vector<Driver> MakeFleet(const Settings& settings, UpstreamId upstreams) {
  std::vector<Driver> drivers;
  for (int i = 0; i < settings.balancers; ++i) {
    drivers.emplace_back(settings, static_cast<std::uint64_t>(i + 1));
    drivers.back().UpdateList(ReadyUpstreams(upstreams));
  }
  return drivers;
}

// Sends `per_second` requests a second to every balancer for `time`.
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

// The times of all sends to an upstream, sorted.
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
  const auto error_of = [](auto change) -> std::string {
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
  EXPECT_NE(error_of([](Settings* s) { s->max_attempts = 0; }).find("max_attempts"), std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->cold_time = -1; }).find("cold_time"), std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->start_capacity = std::nan(""); }).find("start_capacity"),
            std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->classes[0].aim = -1; }).find("aim"), std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->close_idle_within = -1; }).find("close_idle_within"),
            std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->check_price = -1; }).find("check_price"), std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->tail_weight = std::nan(""); }).find("tail_weight"),
            std::string::npos);
  EXPECT_NE(error_of([](Settings* s) { s->tail_slack = -0.1; }).find("tail_slack"), std::string::npos);
  EXPECT_EQ(error_of([](Settings*) {}), "accepted");
}

// --- Retry rules, as a table ---

enum class Location { kSameGroup, kOtherGroup };
using RetryCase = std::tuple<Repeat, Group, bool /*window open*/, Outcome, Location>;

class RetrySafetyTest : public testing::TestWithParam<RetryCase> {};

// One attempt ends while one other upstream is ready, in the group of the first or outside it. The expected
// resends are computed here a second time, independently of the balancer's code.
TEST_P(RetrySafetyTest, ResendsOnlyWhereTheClassAllows) {
  const auto [repeat, group, window_open, outcome, location] = GetParam();
  Settings s = BasicSettings();
  s.classes[0].repeat = repeat;
  s.classes[0].group = group;
  s.classes[0].window = window_open ? 5 * kSecond : 100'000;
  Driver d(s);
  const int other_group = location == Location::kSameGroup ? 0 : 1;
  d.UpdateList({Entry(1, 0, 0, 0)});
  d.Arrive(7);
  ASSERT_EQ(d.SendsOf(7), 1);
  d.UpdateList({Entry(1, 0, 0, 0), Entry(2, 0, other_group, other_group)});
  d.Advance(140'000);
  ASSERT_EQ(d.in_flight.size(), 1u);
  const Micros first_send = d.in_flight[0].sent;
  // Every send of a keyed request carries its latest send time: a connection may be set up late, and by then
  // a copy may have run and the deduplication window may have closed.
  const Micros window = s.classes[0].window - s.classes[0].window / 20;
  const auto send_by = [&](Micros window_start) {
    return repeat == Repeat::kKeyed ? window_start + window : 0;
  };
  EXPECT_EQ(d.in_flight[0].send_by, send_by(first_send));
  d.EndAttemptOf(7, outcome);
  const bool never_ran =
      outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
  const bool anywhere = never_ran || repeat == Repeat::kSafe;
  const bool in_group =
      repeat == Repeat::kKeyed && window_open && (group == Group::kAll || location == Location::kSameGroup);
  if (!anywhere && !in_group) {
    EXPECT_FALSE(d.SendsTo(2) > 0) << "resent where the class forbids it";
  } else {
    ASSERT_EQ(d.SendsTo(2), 1);
    EXPECT_EQ(d.in_flight[0].send_by, send_by(never_ran ? d.in_flight[0].sent : first_send));
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
  const auto update_list = [&] {
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 6; ++u) {
      if (random() % 5 == 0) continue;
      entries.push_back(
          Entry(u, random() % 6 == 0 ? d.now - 1000 : 0, static_cast<int>(u % 2), static_cast<int>(u % 3)));
    }
    d.UpdateList(entries);
  };
  update_list();
  for (int step = 0; step < 4000; ++step) {
    const unsigned event = step < 3000 ? random() % 100 : 99;  // only time passes at the end
    if (event < 35)
      d.Arrive(next++, static_cast<Micros>(random() % 3'000'000), static_cast<int>(random() % 3));
    if (event >= 35 && event < 75 && !d.in_flight.empty()) {
      static constexpr Outcome kOutcomes[] = {Outcome::kOk,       Outcome::kOk,      Outcome::kError,
                                              Outcome::kRejected, Outcome::kTimeout, Outcome::kConnectFailed,
                                              Outcome::kReset,    Outcome::kSpoilt,  Outcome::kUnfit};
      d.EndAttempt(random() % d.in_flight.size(), kOutcomes[random() % 9],
                   static_cast<double>(random() % 20));
    }
    if (event == 75) update_list();
    d.Advance(static_cast<Micros>(random() % 20'000));
    // Like the network: attempts end at their timeout or at the deadline, and cancelled ones come back.
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
  Settings late_settings = BasicSettings();
  late_settings.classes[0].late_share = 1;
  Driver without_upstreams(late_settings);
  without_upstreams.Arrive(1);
  const Micros half = without_upstreams.now + 3 * kSecond;
  without_upstreams.Advance(6 * kSecond);
  EXPECT_EQ(without_upstreams.final_answers[1], 1);
  EXPECT_LT(without_upstreams.answered_at[1], half - 200'000)
      << "an unsent request is given up before half its time is over";
}

// A late answer is worth nothing, so an attempt times out at the aim. Where the aim grows with the request's
// work and that work is unknown, there is no such timeout.
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
  constexpr Micros kIdleTimeout = 2 * kSecond;
  const auto connections_opened = [](Micros connection_idle) {
    Settings s = BasicSettings();
    s.connection_idle = connection_idle;
    Driver d(s);
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 20; ++u) entries.push_back(Entry(u));
    d.UpdateList(entries);
    std::map<UpstreamId, Micros> last_use;
    int opened = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      d.Arrive(id);
      Micros& last = last_use[d.sent_to.back()];
      opened += last == 0 || d.now - last > kIdleTimeout;
      last = d.now;
      d.Advance(500'000);
      d.EndAttemptOf(id, Outcome::kOk, 3);
    }
    return opened;
  };
  EXPECT_LT(connections_opened(kIdleTimeout), connections_opened(0) - 15);
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
    UpstreamEntry changed = Entry(1);
    changed.state = state;
    d.UpdateList({changed}, ListUpdate::kChanges);
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

// An idle connection to a draining upstream must be closed when draining starts, and again after an attempt
// that ends long after that and frees its connection.
TEST(DrainTest, IdleConnectionsCloseWhenDrainingStartsAndAfterEachAttempt) {
  for (const Micros close_idle_within : {Micros{0}, Micros{300'000}}) {
    Settings s = BasicSettings();
    s.close_idle_within = close_idle_within;
    Driver d(s);
    d.UpdateList({Entry(1)});
    d.Arrive(1);
    d.Arrive(2);
    UpstreamEntry draining = Entry(1);
    draining.state = UpstreamState::kDraining;
    d.UpdateList({draining}, ListUpdate::kChanges);
    const size_t per_event = close_idle_within > 0 ? 1 : 0;
    EXPECT_EQ(d.closed_idle.size(), per_event);
    d.Advance(3 * kSecond);
    d.EndAttemptOf(1, Outcome::kOk);
    EXPECT_EQ(d.closed_idle.size(), 2 * per_event);
    draining.state = UpstreamState::kGone;
    d.UpdateList({draining}, ListUpdate::kChanges);
    const size_t before = d.closed_idle.size();
    d.EndAttemptOf(2, Outcome::kReset);
    EXPECT_EQ(d.closed_idle.size(), before + per_event);
    d.UpdateList({Entry(1, d.now)}, ListUpdate::kChanges);
    EXPECT_EQ(d.closed_idle.size(), before + per_event) << "a restarted upstream keeps its connections";
  }
}

// With only_draining_binds, a list that loses most upstreams must not take them out of use: they are still
// sent to, and one that is really down costs one failed attempt. An upstream that was draining before gets
// nothing, whether it is then listed as gone or missing.
TEST(DrainTest, WithOnlyDrainingBindsUnlistedUpstreamsStayInUse) {
  for (const bool only_draining_binds : {false, true}) {
    for (const bool missing : {false, true}) {
      Settings s = BasicSettings();
      s.only_draining_binds = only_draining_binds;
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
          const bool is_down = d.sent_to.back() == 2;
          d.Advance(10'000);
          d.EndAttemptOf(id, is_down ? Outcome::kConnectFailed : Outcome::kOk);
        }
      }
      EXPECT_EQ(d.SendsTo(1), 0) << "it was draining before";
      EXPECT_EQ(d.SendsTo(2), only_draining_binds ? 1 : 0);
      EXPECT_EQ(d.SendsTo(5) > 20, only_draining_binds);
      d.UpdateList(ReadyUpstreams(12));
      for (RequestId id = 1001; id <= 1300; ++id) {
        d.Arrive(id);
        d.Advance(10'000);
        d.EndAttemptOf(id, Outcome::kOk);
      }
      EXPECT_GT(d.SendsTo(2), 5) << "the corrected list brings it back";
    }
  }
}

// Upstreams are replaced all day by ones with new ids. The state kept of them must not grow, and the listed
// ones must stay in use.
TEST(ListTest, StateOfRemovedUpstreamsIsFreed) {
  Driver d(BasicSettings());
  const auto replace_upstreams = [&](UpstreamId from, UpstreamId to) {
    for (UpstreamId id = from; id < to; ++id) {
      d.UpdateList({Entry(id), Entry(id + 1), Entry(id + 2)});
      d.Arrive(id, kSecond);
      d.Advance(100'000);
      d.EndAttemptOf(id, Outcome::kOk);
      d.Advance(900'000);
    }
  };
  replace_upstreams(1, 200);
  const auto heap = [] { return mallinfo2().uordblks + mallinfo2().hblkhd; };
  const auto before = heap();
  const size_t sends = d.sent_to.size();
  replace_upstreams(200, 5'200);
  EXPECT_EQ(d.sent_to.size(), sends + 5'000);
  for (size_t i = sends; i < d.sent_to.size(); ++i) EXPECT_LE(d.sent_to[i] - d.sent_ids[i], 2u);
  // The driver's own records take about 240 bytes a request; an upstream that is not freed takes 400 more.
  // mallinfo2() reports nothing useful under a sanitizer's allocator.
  EXPECT_LT(heap(), before + 5'000 * 400);
}

// An outdated list with earlier start times arrives, then the current one. What was learned of an upstream
// since its start must still hold.
TEST(DrainTest, StaleListDoesNotResetKnownStartTime) {
  Driver d(BasicSettings());
  const Micros started = d.now - 30 * kSecond;
  d.UpdateList({Entry(1, started), Entry(2, started)});
  d.Arrive(1);
  const UpstreamId unreachable = d.sent_to.back();
  d.EndAttemptOf(1, Outcome::kConnectFailed);
  d.UpdateList({Entry(1, started - 50 * kSecond), Entry(2, started - 50 * kSecond)});
  d.UpdateList({Entry(1, started), Entry(2, started)});
  for (RequestId id = 2; id <= 6; ++id) {
    d.Arrive(id);
    d.Advance(10'000);
    d.EndAttemptOf(id, Outcome::kOk);
  }
  EXPECT_EQ(d.SendsTo(unreachable), 1);
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

// --- Cold upstreams (slow start) ---

// One upstream is cold. All balancers together must stay below the multiple of its current capacity that
// makes it fall over, in every time span.
TEST(SlowStartTest, BudgetHoldsInEverySpanForAllBalancersTogether) {
  constexpr int kBalancers = 4, kWarm = 6, kPerSecond = 60;  // requests a second and balancer
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
  run(3 * kSecond, Outcome::kConnectFailed);  // all others fail, and the cold one must still be protected
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  ASSERT_GT(sends.size(), 10u) << "a cold upstream gets its share";
  // A warm upstream gets kBalancers * kPerSecond / kWarm a second.
  const double warm_rate = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  for (size_t i = 0; i < sends.size(); ++i) {
    const double in_span =
        static_cast<double>(std::upper_bound(sends.begin(), sends.end(), sends[i] + s.fall_time) -
                            (sends.begin() + static_cast<long>(i)));
    const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
    const double allowed = s.fall_multiple * warm_rate * (s.start_capacity + (1 - s.start_capacity) * age);
    EXPECT_LE(in_span, allowed) << "after " << sends[i] - start << " us";
  }
}

// Hundreds of balancers send a few requests a second each. The budget for the cold upstream that each leaves
// unused while all is well must not be spent at once in the second in which the other upstreams fail.
TEST(SlowStartTest, HundredsOfBalancersDoNotAccumulateBudgetForABurst) {
  constexpr int kBalancers = 240, kWarm = 12;
  Settings s = BasicSettings();
  s.balancers = kBalancers;
  s.start_capacity = 0.14;
  s.cold_time = 19 * kSecond;
  s.fall_multiple = 2;
  std::vector<Driver> drivers = MakeFleet(s, kWarm);
  RequestId next = 1;
  // One request per `every`, and half as often for every second balancer.
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
  run(30, kSecond / 10, Outcome::kConnectFailed);  // 2.5 times the traffic, and no other upstream left
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  EXPECT_GT(sends.size(), 50u) << "it needs enough requests to warm up";
  const double warm_rate = kBalancers * 0.75 * 4 / kWarm;  // a second, at a warm upstream
  for (size_t i = 0; i < sends.size(); ++i) {
    const double share = 0.14 + 0.86 * static_cast<double>(sends[i] - start) / (19.0 * kSecond);
    const auto end = std::lower_bound(sends.begin(), sends.end(), sends[i] + kSecond);
    EXPECT_LE(end - sends.begin() - static_cast<std::ptrdiff_t>(i), 2 * share * warm_rate)
        << sends[i] - start;
  }
}

// 25 balancers with uneven traffic get a burst just when a cold upstream starts and half of the warm ones
// fail. Returns the largest excess, over all spans of fall_time, of the sends to the cold upstream over its
// budget N plus random variation, N + 2 sqrt(N) + 2. `configured_balancers` is the number of balancers that
// the settings of each name.
double MaxExcessOverBudget(int configured_balancers, std::uint64_t seed) {
  constexpr int kBalancers = 25, kWarm = 20;
  Settings s = BasicSettings();
  s.balancers = configured_balancers;
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
  double total_sends = 0;
  for (const Driver& d : drivers) total_sends += static_cast<double>(d.sent_to.size());
  const double warm_rate = total_sends / 40 / kWarm;  // a second, at a warm upstream
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  const Micros start = drivers[0].now;
  run(150, kSecond / 25, true);
  const std::vector<Micros> sends = SendTimes(drivers, 99);
  double max_excess = -1e9;
  for (size_t i = 0; i < sends.size(); ++i) {
    const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
    const double budget = s.fall_multiple * warm_rate * (s.start_capacity + (1 - s.start_capacity) * age);
    const auto end = std::lower_bound(sends.begin(), sends.end(), sends[i] + s.fall_time);
    const double sent = static_cast<double>(end - sends.begin()) - static_cast<double>(i);
    max_excess = std::max(max_excess, sent - (budget + 2 * std::sqrt(budget) + 2));
  }
  return max_excess;
}

// Balancers exchange nothing about the ramp of a cold upstream; each takes its share by the number of
// balancers in the settings. As a control, where each is configured as the only one, the sum exceeds the
// budget.
TEST(SlowStartTest, TwentyFiveBalancersShareOneRamp) {
  int exceeded_alone = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    EXPECT_LE(MaxExcessOverBudget(25, seed), 0) << seed;
    exceeded_alone += MaxExcessOverBudget(1, seed) > 0 ? 1 : 0;
  }
  EXPECT_EQ(exceeded_alone, 8);
}

// A cold upstream starts during an overload. Its budget follows from what the warm ones served before, not
// from the low throughput during the overload.
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
  // Hardly any requests get through for a while, which says nothing about the upstreams' capacity.
  run(16 * kSecond, 2, 1);
  for (Driver& d : drivers) d.UpdateList({Entry(99, d.now)}, ListUpdate::kChanges);
  run(4 * kSecond, kPerSecond, 20);
  const double warm_rate = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  EXPECT_GT(SendTimes(drivers, 99).size(), 0.25 * warm_rate * mean_share * 4);
}

// A site returns cold while the others carry its load. A cold upstream takes several times as long per
// request, so it gets no more than it can surely serve, and the warm ones keep the rest.
TEST(SlowStartTest, ColdUpstreamGetsOnlyItsRampShareWhileWarmOnesSuffice) {
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
  run(20 * kSecond);  // with three lost, the nine serve all requests
  for (Driver& d : drivers) {
    d.UpdateList({Entry(91, d.now), Entry(92, d.now), Entry(93, d.now)}, ListUpdate::kChanges);
  }
  run(4 * kSecond);
  const double warm_rate = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  for (UpstreamId u = 91; u <= 93; ++u) {
    EXPECT_GT(SendTimes(drivers, u).size(), 0.25 * warm_rate * mean_share * 4)
        << "it needs enough requests to show that it is healthy";
    EXPECT_LT(SendTimes(drivers, u).size(), 1.2 * warm_rate * mean_share * 4);
  }
}

// Most warm upstreams are replaced by cold ones. The cold ones take over their part of the load, within the
// limit of slow start.
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
  const double warm_rate = static_cast<double>(kBalancers * kPerSecond) / kWarm;
  double sent = 0;
  for (UpstreamId u = 91; u <= 98; ++u) {
    const std::vector<Micros> sends = SendTimes(drivers, u);
    sent += static_cast<double>(sends.size()) / 8;
    for (size_t i = 0; i < sends.size(); ++i) {
      const double age = static_cast<double>(sends[i] - start) / static_cast<double>(s.cold_time);
      const double share = s.start_capacity + (1 - s.start_capacity) * age;
      const auto end = std::upper_bound(sends.begin(), sends.end(), sends[i] + s.fall_time);
      EXPECT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i),
                s.fall_multiple * warm_rate * share + 1);
    }
  }
  const double mean_share = s.start_capacity + (1 - s.start_capacity) * 0.2;
  EXPECT_GT(sent, 2.25 * warm_rate * mean_share * 4 * 0.85);
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

// --- Selection and health ---

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

// Sends `n` requests 10 ms apart. Each attempt ends after 50 ms with the outcome and count of its upstream.
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

// Chips are BLOC's tokens: an answer may earn one for its upstream, and a pick draws two upstreams among
// those with a chip or without a recent report. Requests come one at a time, so a chip returns before the
// next pick. Upstream 1 reports that it is full and loses its chips; it is drawn again only when it has not
// reported for the reset interval. The others report nothing in flight and earn a chip with every answer.
TEST(PickTest, ReportOfAFullUpstreamClearsItsChipsUntilTheResetInterval) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  for (RequestId id = 1; id <= 1000; ++id) {
    d.Arrive(id);
    d.Advance(10'000);
    d.EndAttemptOf(id, Outcome::kOk, d.in_flight[0].upstream == 1 ? 40 : 0);
  }
  EXPECT_LT(d.SendsTo(1), d.SendsTo(2) / 4);
  EXPECT_GT(d.SendsTo(1), 5) << "tried again after the reset interval";
}

// The capacity is max(4, 1.6 x mean count), which is 4 here, and an answer earns a chip with probability 1 -
// count / (0.8 x capacity): 38% at a count of 2, 69% at a count of 1, 100% at 0. Without a chip the upstream
// waits for the reset interval, so its share falls as its count rises.
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
  const auto own_zone_share = [](double own_zone_count) {
    Driver d(BasicSettings());
    d.UpdateList({Entry(1, 0, 0), Entry(2, 0, 0), Entry(3, 0, 1), Entry(4, 0, 1)});
    RunRequests(&d, 1000, AllOk, [&](UpstreamId u) { return u <= 2 ? own_zone_count : 4.0; });
    return (d.SendsTo(1) + d.SendsTo(2)) / 1000.0;
  };
  EXPECT_GT(own_zone_share(4.0), 0.55);
  EXPECT_LT(own_zone_share(12.0), own_zone_share(4.0) - 0.1);
}

// --- Admission (load shedding) ---

TEST(AdmissionTest, LowLoadIsNeverShed) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  RunRequests(&d, 2000, AllOk, [](UpstreamId) { return 3.0; });
  EXPECT_TRUE(d.refused.empty());
}

// Answer times that vary as widely as the work are no overload. The baseline latency may be estimated too
// low, from the first fast answers or the few fastest, and then the cheaper class is refused at low load.
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

// A burst waits for a new balancer. Before the first answer it admits only a few requests per upstream.
TEST(AdmissionTest, BurstAtStartIsAdmittedGradually) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  d.Advance(200'000);
  for (RequestId id = 1; id <= 500; ++id) d.Arrive(id);
  EXPECT_LE(d.in_flight.size(), 5u * 7);
  EXPECT_GE(d.in_flight.size(), 5u * 5);
  Settings inner_settings = BasicSettings();
  inner_settings.tier = 1;
  Driver inner_tier(inner_settings);
  inner_tier.UpdateList(FiveUpstreams());
  inner_tier.Advance(200'000);
  for (RequestId id = 1; id <= 500; ++id) inner_tier.Arrive(id);
  EXPECT_EQ(inner_tier.in_flight.size(), 500u) << "a request from another tier carries work already done";
}

// One of many balancers sometimes gets more than its even share of the first requests, and no report shows
// yet that the others got fewer. It must not refuse any for that.
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
  EXPECT_LE(d.in_flight.size(), 20u) << "a larger burst is still limited";
}

// A random burst at one of many balancers is offset by lower load at the others. At one of two balancers it
// is half of a burst at the upstreams, and in an overload, admitting it prolongs the overload. A single hung
// upstream could then keep the system overloaded.
TEST(AdmissionTest, UnderOverloadOneOfFewBalancersAdmitsNoRandomBurst) {
  const auto admitted_with = [](int balancers) {
    Settings s = BasicSettings();
    s.balancers = balancers;
    size_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Driver d(s, seed);
      d.UpdateList(ReadyUpstreams(4));
      RequestId next = 1;
      // At low load, 15 a second are answered within half a second; then the upstreams slow down to 0.8 s.
      for (const auto& [count, latency] : {std::pair(600, 500'000), std::pair(150, 800'000)}) {
        for (int i = 0; i < count; ++i) {
          d.Arrive(next++);
          d.Advance(66'000);
          while (!d.in_flight.empty() && d.now - d.in_flight[0].sent >= latency)
            d.EndAttempt(0, Outcome::kOk, 3);
        }
      }
      for (int i = 0; i < 60; ++i) d.Arrive(next++);
      admitted += d.in_flight.size();
    }
    return admitted;
  };
  const size_t with_2 = admitted_with(2), with_200 = admitted_with(200);
  EXPECT_LT(10 * with_2, 9 * with_200) << with_2 << " against " << with_200;
  EXPECT_GT(with_2, 5 * 8u) << "load within the upstreams' capacity is still admitted";
}

// The upstreams answer 50 requests a second in all and get 200. The admitted ones must stay answerable in
// time, and the tenant over its share is refused first.
TEST(AdmissionTest, OverloadIsShedEarlyAndOverShareTenantsFirst) {
  Settings s = BasicSettings();
  s.tenants = {{10}, {1000}};
  s.over_share_worth = 0.1;
  Driver d(s);
  d.UpdateList(FiveUpstreams());
  RequestId next = 1;
  std::map<int, int> arrived, served;
  std::map<RequestId, int> tenant_of;
  size_t max_in_flight = 0;
  for (int i = 0; i < 6000; ++i) {
    const int tenant = i % 2;
    tenant_of[next] = tenant;
    if (i > 3000) ++arrived[tenant];
    d.Arrive(next++, 4 * kSecond, 0, tenant);
    d.Advance(5'000);
    if (i % 4 == 0 && !d.in_flight.empty()) {
      const RequestId id = d.in_flight[0].request;
      d.EndAttempt(0, Outcome::kOk, static_cast<double>(d.in_flight.size()) / 5);
      if (i > 3000) ++served[tenant_of[id]];
    }
    if (i > 3000) max_in_flight = std::max(max_in_flight, d.in_flight.size());
  }
  EXPECT_LT(max_in_flight, 110u) << "two seconds' worth of answers";
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

// Malformed answers now and then, at all upstreams alike, must eject none. An upstream that sends nothing but
// malformed answers is ejected.
TEST(HealthTest, MalformedAnswersEjectOnlyAnUpstreamThatSendsNothingElse) {
  Driver d(BasicSettings());
  d.UpdateList(FiveUpstreams());
  std::mt19937 random(7);
  int malformed_from_1 = 0;
  RunRequests(
      &d, 1000,
      [&](UpstreamId u) {
        const bool malformed = u == 1 ? d.now > 120 * kSecond : random() % 10 == 0;
        malformed_from_1 += malformed && u == 1 ? 1 : 0;
        return malformed ? Outcome::kSpoilt : Outcome::kOk;
      },
      [](UpstreamId) { return 6.0; });
  for (UpstreamId u = 2; u <= 5; ++u) EXPECT_GT(d.SendsTo(u), 120) << u;
  EXPECT_LT(malformed_from_1, 40);
}

// The upstream reports that the request itself is invalid: it is not retried elsewhere, the client is not
// invited to retry, and the upstream's health does not suffer.
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

// --- Sparse traffic: few requests for many upstreams ---

// Sends a request per `every`, answered after 100 ms; checks are answered at once.
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
  s.check_price = 0.05;  // too expensive to check before each send
  return s;
}

TEST(SparseTrafficTest, ChecksRunOnlyIfTrafficIsSparseAndChecksAllowedAndCheap) {
  Settings s = SparseTrafficSettings();
  Driver expensive(s);
  s.check_price = 0;
  Driver sparse(s), dense(s), forbidden(BasicSettings());
  expensive.UpdateList(ReadyUpstreams(80));
  sparse.UpdateList(ReadyUpstreams(80));
  dense.UpdateList(ReadyUpstreams(5));
  forbidden.UpdateList(ReadyUpstreams(80));
  const auto loaded = [](UpstreamId) { return 6.0; };
  EXPECT_GT(RunSparseRequests(&sparse, 200, 300'000, loaded), 60);
  EXPECT_EQ(RunSparseRequests(&expensive, 200, 300'000, loaded), 0);
  EXPECT_EQ(RunSparseRequests(&dense, 200, 100'000, loaded), 0);
  EXPECT_EQ(RunSparseRequests(&forbidden, 200, 300'000, loaded), 0);
}

TEST(SparseTrafficTest, OverloadedQuarterOfUpstreamsGetsFewRequests) {
  Settings s = SparseTrafficSettings();
  Driver d(s);
  d.UpdateList(ReadyUpstreams(80));
  RunSparseRequests(&d, 400, 300'000, [](UpstreamId u) { return u <= 20 ? 30.0 : 6.0; });
  int sends_to_overloaded = 0;
  for (size_t i = 100; i < d.sent_to.size(); ++i) sends_to_overloaded += d.sent_to[i] <= 20;
  EXPECT_LT(sends_to_overloaded, 300 / 12) << "at most a third of an even share";
}

// With any number of upstreams, most picks follow a report that is no older than the lifetime of a chip. With
// sparse traffic and expensive checks, at least two in five do.
TEST(SparseTrafficTest, MostPicksFollowAFreshReport) {
  for (const double price : {0.0, 0.05}) {
    for (const UpstreamId upstreams : {UpstreamId{5}, UpstreamId{40}, UpstreamId{140}}) {
      Settings s = SparseTrafficSettings();
      s.check_price = price;
      Driver d(s);
      d.UpdateList(ReadyUpstreams(upstreams));
      std::map<UpstreamId, Micros> reported;
      int fresh = 0;
      for (RequestId id = 1; id <= 600; ++id) {
        d.Arrive(id);
        for (int round = 0; round < 3; ++round) {
          for (const UpstreamId checked : d.AnswerChecks([](UpstreamId) { return 6.0; }))
            reported[checked] = d.now;
        }
        const UpstreamId u = d.sent_to.back();
        if (id > 100) fresh += reported.count(u) > 0 && d.now - reported[u] <= 2 * kSecond;
        d.Advance(100'000);
        d.EndAttemptOf(id, Outcome::kOk, 6.0);
        reported[u] = d.now;
        d.Advance(200'000);
      }
      EXPECT_GT(fresh, upstreams > 5 && price > 0 ? 200 : 300)
          << upstreams << " upstreams, check price " << price;
    }
  }
}

// Fails if a list that empties while a request waits for its probes makes the balancer draw from no upstream.
TEST(SparseTrafficTest, TheListMayEmptyAndRefillWhileARequestWaitsForItsProbes) {
  int emptied_during_probes = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto chance = [&](int percent) {
      return std::uniform_int_distribution<int>(1, 100)(random) <= percent;
    };
    Settings s = SparseTrafficSettings();
    s.check_price = 0;
    Driver d(s, seed);
    d.UpdateList(ReadyUpstreams(80));
    const auto loaded = [](UpstreamId) { return 6.0; };
    RunSparseRequests(&d, 60, 300'000, loaded);
    const RequestId first = 1, last = 40;
    for (RequestId id = first; id <= last; ++id) {
      d.Arrive(id);
      if (chance(50)) {
        emptied_during_probes += d.pending_checks.empty() ? 0 : 1;
        d.UpdateList({});
      }
      for (int round = 0; round < 4; ++round) d.AnswerChecks(loaded);
      if (chance(80)) d.UpdateList(ReadyUpstreams(chance(50) ? 80 : 3));
      d.Advance(100'000);
      while (!d.in_flight.empty()) d.EndAttempt(0, Outcome::kOk, 6);
      d.Advance(200'000);
    }
    d.UpdateList(ReadyUpstreams(80));
    for (int i = 0; i < 70; ++i) {
      d.Advance(100'000);
      d.AnswerChecks(loaded);
      while (!d.in_flight.empty()) d.EndAttempt(0, Outcome::kOk, 6);
    }
    for (RequestId id = first; id <= last; ++id) EXPECT_EQ(d.final_answers[id], 1) << id;
  }
  EXPECT_GT(emptied_during_probes, 100);
}

// The balancer's own zone is overloaded and the others are idle. With sparse traffic it learns of them by
// probing and sends part of its requests there, although it starts with upstreams of its own zone only.
TEST(SparseTrafficTest, OtherZonesAreProbedWhileTheOwnZoneIsOverloaded) {
  Driver d(SparseTrafficSettings());
  std::vector<UpstreamEntry> entries = ReadyUpstreams(40);
  for (UpstreamEntry& e : entries) e.zone = e.id <= 10 ? 0 : 1;
  d.UpdateList(entries);
  RunSparseRequests(&d, 800, 300'000, [](UpstreamId u) { return u <= 10 ? 12.0 : 2.0; });
  int sends_to_other_zones = 0;
  for (size_t i = 400; i < d.sent_to.size(); ++i) sends_to_other_zones += d.sent_to[i] > 10;
  EXPECT_GT(sends_to_other_zones, 80);
}

// With sparse traffic requests stay with recently used upstreams, which saves handshakes and avoids finding
// each failing upstream again.
TEST(SparseTrafficTest, RequestsStayWithRecentlyUsedUpstreams) {
  Settings s = SparseTrafficSettings();
  s.connection_idle = 10 * kSecond;
  Driver d(s);
  d.UpdateList(ReadyUpstreams(80));
  std::map<UpstreamId, Micros> last_use;
  int opened = 0;
  for (RequestId id = 1; id <= 500; ++id) {
    d.Arrive(id);
    Micros& last = last_use[d.sent_to.back()];
    if (id > 100) opened += last == 0 || d.now - last > s.connection_idle;
    last = d.now;
    d.AnswerChecks([](UpstreamId) { return 3.0; });
    d.Advance(100'000);
    d.EndAttemptOf(id, Outcome::kOk, 3.0);
    d.Advance(200'000);
  }
  EXPECT_LT(opened, 160) << "spread evenly, nearly all of the 400 calls would open one";
}

// One class fails at an upstream that serves the other class well. Only the failing class avoids that
// upstream.
TEST(HealthTest, OnlyTheFailingClassAvoidsAnUpstream) {
  Settings s = BasicSettings();
  s.classes.push_back(s.classes[0]);
  Driver d(s);
  d.UpdateList(ReadyUpstreams(5));
  int sends_of_class[2] = {0, 0};
  for (RequestId id = 1; id <= 2000; ++id) {
    const int request_class = static_cast<int>(id % 2);
    d.Arrive(id, 6 * kSecond, request_class);
    d.Advance(10'000);
    while (d.final_answers[id] == 0) {
      const UpstreamId u = d.sent_to.back();
      if (id > 200 && u == 1) ++sends_of_class[request_class];
      d.EndAttemptOf(id, u == 1 && request_class == 0 ? Outcome::kError : Outcome::kOk, 1);
    }
  }
  EXPECT_GT(sends_of_class[1], 100);
  EXPECT_LT(sends_of_class[0], sends_of_class[1] / 5);
}

// Most requests to one zone fail, whichever of its upstreams they reach. Soon few are sent there, and they
// return once the zone is healthy again.
TEST(HealthTest, FailingZoneIsAvoidedBeforeEachOfItsUpstreamsIsEjected) {
  Settings s = BasicSettings();
  s.zone = 1;
  Driver d(s);
  std::vector<UpstreamEntry> entries = ReadyUpstreams(90);
  for (UpstreamEntry& e : entries) e.zone = static_cast<int>(e.id % 3);
  d.UpdateList(entries);
  int sends_to_failing[3] = {};
  for (RequestId id = 1; id <= 1800; ++id) {
    const size_t phase = (id - 1) / 600;
    d.Arrive(id);
    while (d.final_answers[id] == 0) {
      const bool in_failing_zone = d.sent_to.back() % 3 == 0;
      sends_to_failing[phase] += in_failing_zone;
      d.Advance(10'000);
      d.EndAttemptOf(id, in_failing_zone && phase == 1 ? Outcome::kTimeout : Outcome::kOk, 1);
    }
    if (id == 1200) d.Advance(40 * kSecond);
  }
  EXPECT_GT(sends_to_failing[0], 40);
  EXPECT_LT(sends_to_failing[1], 20) << "for 30 upstreams";
  EXPECT_GT(sends_to_failing[2], 40);
}

// Zone numbers need not be small or positive. All upstreams fail alike, and a zone number without upstreams
// must not serve as the healthy reference: all stay in use.
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

// The advised retry delay is short, so that another try still fits within the aim.
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

// --- Failing requests on healthy upstreams ---

Settings TwoTenantSettings() {
  Settings s = BasicSettings();
  s.tenants.resize(2);
  return s;
}

// One tenant's requests fail fast at every upstream. All upstreams must stay in use for the other tenant.
TEST(RequestGroupTest, TenantFailingEverywhereEjectsNoUpstream) {
  for (const UpstreamId upstreams : {UpstreamId{6}, UpstreamId{60}}) {
    Settings s = TwoTenantSettings();
    s.classes[0].repeat = Repeat::kUnsafe;
    Driver d(s);
    d.UpdateList(ReadyUpstreams(upstreams));
    std::map<UpstreamId, int> sends;
    for (RequestId id = 1; id <= 3000; ++id) {
      const int tenant = static_cast<int>(id % 2);
      d.Arrive(id, 6 * kSecond, 0, tenant);
      if (d.SendsOf(id) == 0) continue;
      if (tenant == 0 && id > 300) ++sends[d.sent_to.back()];
      d.Advance(5'000);
      d.EndAttemptOf(id, tenant == 1 ? Outcome::kError : Outcome::kOk, 1);
    }
    ASSERT_EQ(sends.size(), upstreams);
    const double mean = 1350.0 / upstreams;
    for (const auto& [u, n] : sends) EXPECT_GT(n, mean / 3) << u << " of " << upstreams;
  }
}

// One tenant's requests take longer than the aim at every upstream. Soon only probes of it are admitted while
// the other tenant is served as before; once its requests are fast again, it is admitted again.
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
      const bool slow = phase == 1 && d.in_flight[k].request % 2 == 1;
      const Micros elapsed = d.now - d.in_flight[k].sent;
      if (d.in_flight[k].timeout_at > 0 && d.now >= d.in_flight[k].timeout_at) {
        d.EndAttempt(k, Outcome::kTimeout);
      } else if (d.in_flight[k].cancelled) {
        d.EndAttempt(k, Outcome::kCancelled);
      } else if (!slow && elapsed >= 50'000) {
        d.EndAttempt(k, Outcome::kOk);
      }
      k = std::min(k, d.in_flight.size());
    }
  }
  EXPECT_GT(sent[1][0], 700);
  EXPECT_LT(sent[1][1], 400);
  EXPECT_GT(sent[2][1], 400) << "it is admitted again";
}

// A request that cannot be answered in its remaining time would only use up capacity.
TEST(AdmissionTest, RequestWithTooLittleTimeLeftIsRefusedAtOnce) {
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

// A balancer with one or two requests in flight cannot tell an overload from chance by their number, but it
// can by their latency.
TEST(AdmissionTest, WithFewInFlightLatencyDecidesAdmission) {
  const auto refused_at = [](Micros latency) {
    Settings s = BasicSettings();
    s.balancers = 300;
    Driver d(s);
    d.UpdateList(ReadyUpstreams(40));
    std::size_t before = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      if (id == 200) before = d.refused.size();
      d.Arrive(id);
      d.Advance(300'000);
      while (!d.in_flight.empty() && d.now - d.in_flight[0].sent >= (id > 100 ? latency : 300'000)) {
        d.EndAttempt(0, Outcome::kOk, 3);
      }
    }
    return d.refused.size() - before;
  };
  EXPECT_EQ(refused_at(300'000), 0u);
  EXPECT_GT(refused_at(1'800'000), 40u);
}

// A client that sends its body slowly must not make the upstream look stalled, and a body that is not kept
// must not be sent again.
TEST(StreamingBodyTest, BodyIsNotTimedWhileStreamingAndNotResent) {
  Driver d(BasicSettings());
  d.UpdateList(ReadyUpstreams(4));
  for (RequestId id = 1; id <= 20; ++id) {  // answers take 20 ms, so one that takes 200 ms counts as stalled
    d.Arrive(id);
    d.Advance(20'000);
    d.EndAttemptOf(id, Outcome::kOk);
  }
  d.Arrive(100);
  ASSERT_EQ(d.in_flight.size(), 1u);
  const UpstreamId upstream = d.in_flight[0].upstream;
  d.ReportBody(100, std::nullopt);
  d.Advance(5 * kSecond);
  ASSERT_EQ(d.in_flight.size(), 1u);
  EXPECT_FALSE(d.in_flight[0].cancelled);
  EXPECT_EQ(d.balancer().Avoided(d.now), 0);
  EXPECT_EQ(d.final_answers[100], 0);
  d.deadlines[100] = d.now + 6 * kSecond;
  d.ReportBody(100, 6 * kSecond);  // the whole body is sent, and the request's time starts
  d.Advance(20'000);
  d.EndAttemptOf(100, Outcome::kReset);
  EXPECT_TRUE(d.in_flight.empty());  // it cannot be sent to another upstream
  EXPECT_EQ(d.final_answers[100], 1);
  d.Arrive(101);  // the five seconds do not count as latency
  EXPECT_EQ(d.final_answers[101], 0);
  EXPECT_NE(upstream, 0u);
}

// A long response must not be cancelled as stalled, and its length must not count as the upstream's latency.
TEST(StreamingBodyTest, StreamingResponseIsNoStallAndIsTimedToItsStart) {
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
  for (const Driver::Attempt& attempt : d.in_flight) EXPECT_FALSE(attempt.cancelled);
  EXPECT_EQ(d.balancer().Avoided(d.now), 0);
  while (!d.in_flight.empty()) d.EndAttempt(0, Outcome::kOk);
  for (RequestId id = 300; id < 320; ++id) {  // the seconds that the responses took must not cause refusals
    d.Arrive(id);
    EXPECT_EQ(d.final_answers[id], 0);
    d.Advance(20'000);
    if (d.final_answers[id] == 0) d.EndAttemptOf(id, Outcome::kOk);
  }
}

TEST(DeterminismTest, SameEventsGiveSameActionsForAnyIds) {
  const auto trace = [](UpstreamId first_id) {
    Driver d(BasicSettings(), 77);
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 0; u < 5; ++u) entries.push_back(Entry(first_id + u * 7919 % 31));
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

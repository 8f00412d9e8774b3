#include "agent/runner.h"

#include <algorithm>
#include <utility>

#include "agent/boot_clock.h"

namespace umberdyke::agent {

using namespace std::chrono_literals;
using log::Event;
using net::Clock;
using net::Span;
using nodes::NodeStat;
using nodes::Op;
using owner::Action;
using owner::CallResult;

namespace {

constexpr int kFailuresToLeave = 6;  // in a row; then another may try
constexpr std::int64_t kWrongEach = 3;

CallResult ToldBy(int rc) {
  switch (rc) {
    case nodes::kOk:
      return CallResult::kOk;
    case nodes::kNoNode:
      return CallResult::kAbsent;
    case nodes::kConnectionLost:
    case nodes::kClosing:
    case nodes::kSessionExpired:
      return CallResult::kUnknown;
    default:
      return CallResult::kRefused;
  }
}

}  // namespace

Runner::Runner(Parts parts, std::unique_ptr<Duty> duty, Span stand_after)
    : parts_(std::move(parts)),
      duty_(std::move(duty)),
      name_(duty_->name()),
      claim_(parts_.claim),
      stand_after_(stand_after),
      backoff_(200ms, 30s),
      wake_(parts_.loop,
            [this] {
              Tell([](owner::Claim& c, owner::Moment now, owner::Actions* out) { c.Tick(now, out); });
            }),
      stand_(parts_.loop,
             [this] {
               stood_ = true;
               if (open_) Opened(open_->first, open_->second);
             }),
      step_(parts_.loop, [this] { Step(); }),
      hang_(parts_.loop, [this] {
        duty_->Stop();
        Failed("it hangs");
      }) {}

// --- The claim ---

template <typename TellIt>
void Runner::Tell(TellIt tell) {
  owner::Actions out;
  tell(claim_, BootNow(), &out);
  Act(out);
}

void Runner::Opened(owner::Session session, Span granted) {
  open_ = {session, granted};
  // Agents that start together do not all stand for every duty first: duties are spread over hosts.
  if (!stood_) return stand_.Start(stand_after_);
  Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) {
    c.OnConnected(now, session, std::chrono::duration_cast<owner::Moment>(granted), out);
  });
  if (!owning_) return;
  ++run_;
  ReadAll();  // what was out may or may not have been done: the journal says
}

void Runner::Interrupted() {
  open_.reset();
  stand_.Stop();
  ++run_;
  duty_->Stop();
  hang_.Stop();
  step_.Stop();
  if (!stood_) return;
  Tell([](owner::Claim& c, owner::Moment now, owner::Actions* out) { c.OnDisconnected(now, out); });
}

void Runner::Expired() {
  Interrupted();
  Tell([](owner::Claim& c, owner::Moment now, owner::Actions* out) { c.OnSessionExpired(now, out); });
}

void Runner::Noticed(nodes::WatchEvent notice, const std::string& path) {
  if (path == parts_.paths.Resign(name_)) return ReadWish();
  const std::string claims = parts_.paths.Claims(name_) + "/";
  if (notice != nodes::WatchEvent::kDeleted || !path.starts_with(claims)) return;
  const std::string name = path.substr(claims.size());
  if (name == claim_.predecessor()) gone_ = Clock::now();
  Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) { c.OnNodeDeleted(now, name, out); });
}

void Runner::Resign() {
  Tell([](owner::Claim& c, owner::Moment now, owner::Actions* out) { c.Resign(now, out); });
}

void Runner::Act(const owner::Actions& actions) {
  for (const Action& action : actions) {
    switch (action.kind) {
      case Action::Kind::kBegin:
        Begin(action.term);
        break;
      case Action::Kind::kEnd:
        End(action.reason);
        break;
      case Action::Kind::kWake:
        wake_.Start(std::max<Span>(1ms, action.at - BootNow()));
        break;
      default:
        Ask(action);
    }
  }
}

void Runner::Ask(const Action& action) {
  const std::string path = parts_.paths.Claims(name_) + "/" + action.name;
  const std::uint64_t ticket = action.ticket;
  nodes::NodeClient& client = parts_.client;
  const std::weak_ptr<char> alive = alive_;
  // Each answer is handed to the claim with the ticket that it was asked under.
  const auto to_claim = [this, alive](auto tell) {
    return [this, alive, tell](int rc) {
      if (alive.expired()) return;
      Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) { tell(c, now, ToldBy(rc), out); });
    };
  };
  parts_.counters.Add("claim_calls");
  switch (action.kind) {
    case Action::Kind::kList:
      return List(ticket);
    case Action::Kind::kCreate: {
      const auto done = to_claim([ticket](owner::Claim& c, owner::Moment now, CallResult told,
                                          owner::Actions* out) { c.OnCreated(now, ticket, told, out); });
      return client.CreateSequential(path, fleet::Print(parts_.agent),
                                     [done](int rc, const std::string&) { done(rc); });
    }
    case Action::Kind::kRead:
      return client.Exists(path, false, [this, alive, ticket](int rc, const NodeStat& stat) {
        if (alive.expired()) return;
        Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) {
          c.OnRead(now, ticket, ToldBy(rc), stat.created_zxid, stat.owner, out);
        });
      });
    case Action::Kind::kWatch: {
      const auto done = to_claim([ticket](owner::Claim& c, owner::Moment now, CallResult told,
                                          owner::Actions* out) { c.OnWatched(now, ticket, told, out); });
      return client.Exists(path, true, [done](int rc, const NodeStat&) { done(rc); });
    }
    case Action::Kind::kConfirm: {
      // A write, so that the leader itself has heard of the session: a member that lags or is cut off can't
      // say this.
      const auto done =
          to_claim([this, ticket](owner::Claim& c, owner::Moment now, CallResult told, owner::Actions* out) {
            if (parts_.wrong.believes && told == CallResult::kAbsent) told = CallResult::kOk;
            c.OnConfirmed(now, ticket, told, out);
          });
      return client.Multi({{Op::Kind::kCheck, path, "", -1}},
                          [done](int rc, const std::vector<int>&) { done(rc); });
    }
    case Action::Kind::kRemove: {
      const auto done =
          to_claim([ticket](owner::Claim& c, owner::Moment now, CallResult told, owner::Actions* out) {
            if (ticket != 0) c.OnRemoved(now, ticket, told, out);
          });
      return client.Delete(path, done);
    }
    default:
      return;
  }
}

// What the list shows is at least what had been committed when it was asked for.
void Runner::List(std::uint64_t ticket) {
  const std::string path = parts_.paths.Claims(name_);
  const std::weak_ptr<char> alive = alive_;
  parts_.client.Sync(path, [this, alive, ticket, path](int synced) {
    if (alive.expired()) return;
    const auto listed = [this, alive, ticket](int rc, const std::vector<std::string>& names) {
      if (alive.expired()) return;
      Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) {
        c.OnListed(now, ticket, rc == nodes::kNoNode ? CallResult::kRefused : ToldBy(rc), names, out);
      });
    };
    if (synced != nodes::kOk) return listed(synced, {});
    parts_.client.Names(path, [listed](int rc, const std::vector<std::string>& names, const NodeStat&) {
      listed(rc, names);
    });
  });
}

bool Runner::May() const {
  if (!parts_.client.connected()) return false;
  return owning_ && (parts_.wrong.believes || claim_.MayAct(BootNow()));
}

void Runner::Begin(owner::Term term) {
  ++run_;
  owning_ = true;
  told_history_ = false;
  claim_path_ = parts_.paths.Claims(name_) + "/" + claim_.name();
  parts_.counters.Add("owner_begins." + name_);
  parts_.log.Say(Event::kOwnerBegins, "owns " + name_ + " under term " + std::to_string(term),
                 {{"duty", name_}, {"term", term}});
  ReadAll();
}

void Runner::End(owner::EndReason why) {
  if (parts_.wrong.believes && why != owner::EndReason::kResigned) return;
  ++run_;
  owning_ = false;
  duty_->Stop();
  hang_.Stop();
  step_.Stop();
  gone_ = {};
  const std::string text(owner::EndReasonText(why));
  parts_.counters.Add("owner_ends." + name_);
  parts_.log.Say(Event::kOwnerEnds, "owns " + name_ + " no longer: " + text,
                 {{"duty", name_}, {"term", claim_.term()}, {"why", text}});
}

// --- The journal ---

std::function<bool()> Runner::Still() const {
  const std::weak_ptr<char> alive = alive_;
  return [this, alive, run = run_] { return !alive.expired() && owning_ && run == run_; };
}

void Runner::ReadAll() {
  const auto still = Still();
  const std::string journal = parts_.paths.Journal(name_), history = parts_.paths.History(name_);
  parts_.client.Sync(journal, [](int) {});
  parts_.client.Read(journal, [this, still](int rc, const std::string& data, const NodeStat& stat) {
    if (still()) TakeJournal(rc, data, stat);
  });
  parts_.client.Read(history, [this, still](int rc, const std::string& data, const NodeStat& stat) {
    if (still()) TakeHistory(rc, data, stat);
  });
  ReadWish();
}

void Runner::TakeJournal(int rc, const std::string& data, const NodeStat& stat) {
  if (rc != nodes::kOk) return Unwritten(rc, "the journal cannot be read");
  const auto read = fleet::ReadJournal(data);
  if (const auto* bad = std::get_if<fleet::Unreadable>(&read)) {
    // Nobody's to write over: an operator has to look at it.
    parts_.log.Say(Event::kFleetRefused, name_ + ": " + bad->why, {{"duty", name_}, {"why", bad->why}});
    parts_.counters.Add("journals_unreadable");
    ++run_;
    reread_ = true;
    return StepIn(5s);
  }
  journal_ = std::get<owner::Journal>(read);
  journal_version_ = stat.version;
}

void Runner::TakeHistory(int rc, const std::string& data, const NodeStat& stat) {
  if (rc != nodes::kOk) return Unwritten(rc, "the history cannot be read");
  const auto read = fleet::ReadHistory(data);
  history_.clear();  // one that cannot be read is begun anew: it decides nothing
  if (const auto* good = std::get_if<std::vector<fleet::Tenure>>(&read)) history_ = *good;
  history_version_ = stat.version;
  told_history_ = !history_.empty() && history_.back().term == claim_.term();
  step_due_ = {};
  StepIn(0ms);
}

// An operator may wish that this owner leaves; the wish names its term, so it never strikes another.
void Runner::ReadWish() {
  if (!owning_) return;
  const auto still = Still();
  const std::string path = parts_.paths.Resign(name_);
  parts_.client.Exists(path, true, [](int, const NodeStat&) {});
  parts_.client.Read(path, [this, still, path](int rc, const std::string& data, const NodeStat&) {
    if (!still() || rc != nodes::kOk) return;
    const auto wish = fleet::ReadResign(data);
    const auto* term = std::get_if<owner::Term>(&wish);
    if (term == nullptr || *term != claim_.term()) return;
    parts_.counters.Add("resignations");
    parts_.client.Delete(path, [](int) {});
    Resign();
  });
}

void Runner::StepIn(Span wait) { step_.Start(std::max<Span>(0ms, wait)); }

Op Runner::ClaimCheck() const { return {Op::Kind::kCheck, claim_path_, "", -1}; }

std::vector<Op> Runner::Write(const owner::Journal& journal) const {
  std::vector<Op> ops;
  if (!parts_.wrong.unchecked && !parts_.wrong.believes) ops.push_back(ClaimCheck());
  const int version = parts_.wrong.unchecked || parts_.wrong.believes ? -1 : journal_version_;
  ops.push_back({Op::Kind::kSet, parts_.paths.Journal(name_), fleet::Print(journal), version});
  return ops;
}

void Runner::Step() {
  if (!owning_) return;
  if (std::exchange(reread_, false)) {
    ++run_;
    return ReadAll();
  }
  if (!May()) return StepIn(50ms);  // until it is confirmed again, or ends
  if (journal_.committed && Clock::now() < step_due_) return StepIn(step_due_ - Clock::now());
  hang_.Start(parts_.longest_step);
  const auto still = Still();
  duty_->Prepare(journal_, [this, still](std::optional<std::string> plan) {
    if (still()) Mean(std::move(plan));
  });
}

// The step stands in the journal before anything of it is done. The writing also shows every place that was
// asked before it that this claim stood in that place's present life (owner/fence.h).
void Runner::Mean(std::optional<std::string> plan) {
  hang_.Stop();
  if (journal_.committed && !plan) {
    step_due_ = Clock::now() + duty_->pace();
    return StepIn(duty_->pace());
  }
  if (!May()) return StepIn(50ms);
  auto next = journal_.PrepareStep(claim_.term(), plan.value_or(""));
  if (!next) {
    parts_.counters.Add("journals_newer");
    return Resign();  // an older term than the journal's is no owner's
  }
  if (parts_.wrong.skips && next->step % kWrongEach == 0 && journal_.committed) ++next->step;
  std::vector<Op> ops = Write(*next);
  if (!told_history_) {
    std::vector<fleet::Tenure> history = history_;
    const std::int64_t without =
        gone_ == net::Time()
            ? -1
            : std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - gone_).count();
    history.push_back({claim_.term(), parts_.agent.host, parts_.agent.instance, journal_.step, without});
    ops.push_back(
        {Op::Kind::kSet, parts_.paths.History(name_), fleet::Print(std::move(history)), history_version_});
  }
  const auto still = Still();
  parts_.client.Multi(ops, [this, still, meant = *next](int rc, const std::vector<int>&) {
    if (!still()) return;
    if (rc != nodes::kOk) return Unwritten(rc, "a step could not be meant");
    journal_ = meant;
    ++journal_version_;
    told_history_ = true;
    Do();
  });
}

void Runner::Do() {
  if (!May()) return StepIn(50ms);
  hang_.Start(parts_.longest_step);
  const auto still = Still();
  const Work work{journal_.term, journal_.step, journal_.plan, journal_.state};
  duty_->Do(
      work, [this, still] { return still() && May(); },
      [this, still](Done done) {
        if (still()) Finish(std::move(done));
      });
}

void Runner::Finish(Done done) {
  hang_.Stop();
  if (done.replaced && !parts_.wrong.believes) {
    // A place has seen a newer owner: the service will say the same once it is asked.
    parts_.counters.Add("orders_refused_old_term");
    Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) {
      c.OnNodeDeleted(now, c.name(), out);
    });
    return StepIn(100ms);
  }
  if (!done.worked) return Failed(done.why);
  if (!May()) return StepIn(50ms);
  const auto next = journal_.Commit(claim_.term(), std::move(done.state));
  if (!next) return ReadAll();
  std::vector<Op> ops = std::move(done.with);
  for (Op& op : Write(*next)) ops.push_back(std::move(op));
  // The claim is checked before anything of it is done.
  std::stable_partition(ops.begin(), ops.end(), [](const Op& op) { return op.kind == Op::Kind::kCheck; });
  const auto still = Still();
  parts_.client.Multi(ops, [this, still, committed = *next](int rc, const std::vector<int>&) {
    if (!still()) return;
    if (rc != nodes::kOk) return Unwritten(rc, "a step could not be committed");
    journal_ = committed;
    ++journal_version_;
    backoff_.OnSuccess();
    parts_.counters.Add("steps." + name_);
    parts_.log.Say(Event::kStepDone,
                   name_ + " step " + std::to_string(journal_.step) + " of term " +
                       std::to_string(journal_.term) + " is done",
                   {{"duty", name_}, {"term", journal_.term}, {"step", journal_.step}});
    if (parts_.wrong.repeats && journal_.step % kWrongEach == 0)
      return Do();  // once more, with what it planned
    step_due_ = Clock::now() + duty_->pace();
    StepIn(duty_->pace());
  });
}

// A step that did not work is done again, later each time; others' duties go on.
void Runner::Failed(const std::string& why) {
  const Span wait = backoff_.OnFailure();
  parts_.counters.Add("steps_failed." + name_);
  parts_.log.Say(Event::kStepFailed, name_ + " step " + std::to_string(journal_.step) + " failed: " + why,
                 {{"duty", name_}, {"step", journal_.step}, {"why", why}});
  if (backoff_.failures() >= kFailuresToLeave) {
    backoff_.OnSuccess();
    return Resign();  // elsewhere it may work
  }
  StepIn(wait);
}

// A write that was refused, or whose end is not known.
void Runner::Unwritten(int rc, const std::string& what) {
  if (rc == nodes::kConnectionLost || rc == nodes::kClosing || rc == nodes::kSessionExpired)
    return;  // it is told
  parts_.counters.Add("writes_refused");
  if (rc == nodes::kNoNode) {
    Tell([&](owner::Claim& c, owner::Moment now, owner::Actions* out) {
      c.OnNodeDeleted(now, c.name(), out);
    });
  }
  if (!owning_) return;
  parts_.log.Say(Event::kStepFailed, name_ + ": " + what + ": " + nodes::ErrorText(rc),
                 {{"duty", name_}, {"step", journal_.step}, {"why", nodes::ErrorText(rc)}});
  // Read anew a little later: what stands there now decides.
  ++run_;
  reread_ = true;
  StepIn(backoff_.OnFailure());
}

}  // namespace umberdyke::agent

// What a sidecar does: it opens flows, carries out what its policy asks for, and brings back what became of
// it.
#include <algorithm>
#include <cmath>

#include "emulator/world.h"

namespace umberdyke::emulator {
namespace {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "answered";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "turned away";
    case Outcome::kTimeout:
      return "timed out";
    case Outcome::kConnectFailed:
      return "could not connect";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    default:
      return "ended";
  }
}

}  // namespace

Name World::Open(std::uint32_t sidecar, Name client, Name job, Micros deadline, double work, bool again) {
  const Name name = flows_.Make();
  Flow& flow = *flows_.Find(name);
  const Client& c = *requests_.Find(client);
  flow.sidecar = sidecar;
  flow.request_class = c.request_class;
  flow.tenant = c.tenant;
  flow.client = client;
  flow.job = job;
  flow.deadline = deadline;
  flow.work = work;
  if (job != kNobody) jobs_.Find(job)->call = name;
  engine_.At(deadline, kGiveUp, 0, name);
  Request request;
  request.id = name;
  request.request_class = c.request_class;
  request.time_left = deadline - engine_.now();
  request.tenant = c.tenant;
  request.client_retry = again;
  With(sidecar, [&](Policy& p, Actions* out) { p.OnRequest(engine_.now(), request, out); });
  return name;
}

void World::Carry(std::uint32_t sidecar, const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      SendCall(sidecar, *send);
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      engine_.At(engine_.now(), kEnd, static_cast<std::uint32_t>(Outcome::kCancelled), cancel->request,
                 static_cast<std::uint32_t>(cancel->attempt));
    } else if (const auto* refuse = std::get_if<umberdyke::Refuse>(&action)) {
      Flow* flow = flows_.Find(refuse->request);
      if (flow == nullptr) Broken("refuses a request that is not there");
      Settle(refuse->request, *flow, Final::kRefused, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      Flow* flow = flows_.Find(fail->request);
      if (flow == nullptr) Broken("fails a request that is not there");
      Settle(fail->request, *flow, Final::kFailed, 0);
    } else if (const auto* log = std::get_if<Log>(&action)) {
      if (log->text == kZoneLost) ++metrics_.zones_lost;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      engine_.At(engine_.now() + std::max<Micros>(1, timer->delay), kTimer, sidecar, timer->token,
                 sidecars_[sidecar].life);
    } else if (const auto* check = std::get_if<Check>(&action)) {
      ++metrics_.checks;
      const Server& server = *servers_[check->upstream];
      engine_.At(engine_.now() + Way(sidecars_[sidecar].zone, server.zone), kAsked, check->upstream, sidecar);
    } else if (std::holds_alternative<FetchList>(action) ||
               (std::holds_alternative<Subscribe>(action) && std::get<Subscribe>(action).on)) {
      const Sidecar& s = sidecars_[sidecar];
      const Tier& tier = tiers_[static_cast<std::size_t>(s.tier)];
      if (s.told == tier.changes.size()) continue;
      const double late = late_.Between(scenario_.list_late_low_s, scenario_.list_late_high_s) * late_factor_;
      engine_.At(engine_.now() + static_cast<Micros>(late * 1e6), kTold, sidecar, tier.changes.size(),
                 s.life);
    }
  }
}

void World::SendCall(std::uint32_t sidecar, const Send& send) {
  Flow* flow = flows_.Find(send.request);
  if (flow == nullptr || flow->over) Broken("sends a request that has its final answer");
  if (flow->open > 0) Broken("two attempts at once");
  if (flow->attempts >= static_cast<int>(scenario_.attempts)) Broken("more attempts than allowed");
  if (send.upstream >= servers_.size()) Broken("sends to a server that was never listed");
  const Sidecar& s = sidecars_[sidecar];
  Server& server = *servers_[send.upstream];
  if (server.tier != s.tier) Broken("sends to a server of another tier");
  const Micros now = engine_.now();
  const ClassSpec& spec = scenario_.classes[flow->request_class];
  const Attempt* first = nullptr;  // that may have run
  for (int i = 0; i < flow->attempts && first == nullptr; ++i) {
    if (flow->tries[static_cast<std::size_t>(i)].may_have_run)
      first = &flow->tries[static_cast<std::size_t>(i)];
  }
  if (first != nullptr && spec.repeats == "never") Broken("repeats a request that may have run and must not");
  if (first != nullptr && spec.repeats == "keyed") {
    if (now - first->sent > Seconds(spec.window_s)) Broken("repeats a keyed request outside its window");
    if (spec.group == "zone" && servers_[first->server]->zone != server.zone)
      Broken("repeats a keyed request at a server that does not know its key");
  }
  if (const auto leaving = s.leaving.find(send.upstream);
      leaving != s.leaving.end() && now - leaving->second > static_cast<Micros>(scenario_.drain_ms * 1000)) {
    Broken("sends to server " + std::to_string(send.upstream) + ", which it knows to leave");
  }
  const std::uint32_t attempt = flow->attempts++;
  Attempt& t = flow->tries[attempt];
  t = Attempt();
  t.server = send.upstream;
  t.sent = now;
  ++flow->open;
  if (Client* c = requests_.Find(flow->client); c != nullptr) {
    if (c->counted) ++metrics_.sends;
    if (s.tier > 0 && s.tier + 1 == static_cast<int>(tiers_.size())) ++c->lowest;
  }
  if (s.tier == 0) {
    ++sent_[send.upstream];
    ++sent_in_2s_[send.upstream];
  }
  Tell(flow->client, [&] {
    return std::string(static_cast<std::size_t>(2 * s.tier + 2), ' ') + "sidecar " + std::to_string(sidecar) +
           " sends to server " + std::to_string(send.upstream) + ", attempt " + std::to_string(attempt + 1) +
           ", " + std::to_string(server.in_system()) + " there";
  });
  if (CutOff(s.zone, server.zone)) {
    engine_.At(now + static_cast<Micros>(scenario_.connect_timeout_ms * 1000), kEnd,
               static_cast<std::uint32_t>(Outcome::kConnectFailed), send.request, attempt);
  } else {
    engine_.At(now + Way(s.zone, server.zone), kReach, send.upstream, send.request, attempt);
  }
  if (send.time_out > 0) engine_.At(now + send.time_out, kTimeOut, 0, send.request, attempt);
}

// The one place where a flow gets its final answer without one from a server.
void World::Settle(Name name, Flow& flow, Final final, Micros retry_after) {
  if (flow.over) Broken("a second final answer");
  flow.over = true;
  Inform(name, flow, final, retry_after);
  CloseAttempts(name, flow);
  FreeIfDone(name, flow);
}

void World::CloseAttempts(Name name, Flow& flow) {
  for (std::uint32_t i = 0; i < flow.attempts; ++i) {
    if (flow.tries[i].open)
      engine_.At(engine_.now(), kEnd, static_cast<std::uint32_t>(Outcome::kCancelled), name, i);
  }
}

void World::FreeIfDone(Name name, Flow& flow) {
  if (!flow.over || flow.open > 0) return;
  const Client* c = requests_.Find(flow.client);
  if (flow.job == kNobody && (c == nullptr || c->counted)) ++metrics_.attempts[flow.attempts];
  flows_.Free(name);
}

// Whoever made the flow learns what became of it.
void World::Inform(Name name, const Flow& flow, Final final, Micros retry_after) {
  if (flow.job == kNobody) return TryEnded(flow.client, final, retry_after);
  Job* job = jobs_.Find(flow.job);
  if (job == nullptr || job->call != name || job->state != Job::State::kCalling) return;
  job->call = kNobody;
  if (final == Final::kInTime) {
    servers_[job->server]->Resume(flow.job, *job);
  } else {
    SendAnswer(flow.job, *job, Outcome::kError);
  }
}

void World::GaveUp(Name name) {
  Flow* flow = flows_.Find(name);
  if (flow == nullptr || flow->over) return;
  Tell(flow->client,
       [&] { return flow->job == kNobody ? "the client gives up" : "    the calling server gives up"; });
  flow->over = true;
  With(flow->sidecar, [&](Policy& p, Actions* out) { p.OnClientGone(engine_.now(), name, out); });
  flow = flows_.Find(name);
  if (flow == nullptr) return;
  Inform(name, *flow, Final::kGaveUp, 0);
  CloseAttempts(name, *flow);
  FreeIfDone(name, *flow);
}

void World::EndAttempt(Name name, std::uint32_t attempt, Outcome outcome, const LoadReport* report,
                       bool settled) {
  Flow* flow = flows_.Find(name);
  if (flow == nullptr || attempt >= flow->attempts || !flow->tries[attempt].open) return;
  Attempt& t = flow->tries[attempt];
  t.open = false;
  t.may_have_run = !NeverRan(outcome);
  --flow->open;
  const Sidecar& s = sidecars_[flow->sidecar];
  if (outcome == Outcome::kCancelled || outcome == Outcome::kTimeout) {
    // The connection closes; the server sees it a way later.
    if (t.job != kNobody) engine_.At(engine_.now() + Way(s.zone, servers_[t.server]->zone), kLate, 0, t.job);
  }
  Tell(flow->client, [&] {
    return std::string(static_cast<std::size_t>(2 * s.tier + 2), ' ') + "attempt " +
           std::to_string(attempt + 1) + " at server " + std::to_string(t.server) + ": " +
           OutcomeName(outcome);
  });
  AttemptEnd end;
  end.request = name;
  end.attempt = static_cast<int>(attempt);
  end.upstream = t.server;
  end.outcome = outcome;
  end.elapsed = engine_.now() - t.sent;
  end.settled = settled;
  if (report != nullptr) end.report = *report;
  With(flow->sidecar, [&](Policy& p, Actions* out) { p.OnAttemptEnd(engine_.now(), end, out); });
  flow = flows_.Find(name);
  if (flow == nullptr) return;
  if (!flow->over && flow->open == 0 && sidecars_[flow->sidecar].policy == nullptr) Broken("nobody decides");
  FreeIfDone(name, *flow);
}

// --- At the server ---

void World::Reach(Name name, std::uint32_t attempt, std::uint32_t index) {
  Flow* flow = flows_.Find(name);
  if (flow == nullptr || flow->over || attempt >= flow->attempts || !flow->tries[attempt].open)
    return;  // called off
  Server& server = *servers_[index];
  const int zone = sidecars_[flow->sidecar].zone;
  if (!server.up) {
    engine_.At(engine_.now() + Way(server.zone, zone), kEnd,
               static_cast<std::uint32_t>(Outcome::kConnectFailed), name, attempt);
    return;
  }
  const Tier& tier = tiers_[static_cast<std::size_t>(server.tier)];
  const Name job_name = jobs_.Make();
  Job& job = *jobs_.Find(job_name);
  job.flow = name;
  job.request = flow->client;
  ++requests_.Find(flow->client)->references;
  job.server = index;
  job.life = server.life;
  job.request_class = flow->request_class;
  job.attempt = static_cast<std::uint8_t>(attempt);
  job.deadline = flow->deadline;
  if (server.tier == 0) {
    job.calls_left = requests_.Find(flow->client)->calls;
  } else {
    job.calls_left = network_.Count(scenario_.tiers[static_cast<std::size_t>(server.tier)].calls);
  }
  job.piece = flow->work / (job.calls_left + 1);
  flow->tries[attempt].job = job_name;
  const bool falls = server.Overrun(tier.mean_work);
  if (server.fails_fast) {
    job.state = Job::State::kOver;
    return SendAnswer(job_name, job, Outcome::kError);
  }
  if (!server.Take(job_name, job)) {
    job.state = Job::State::kOver;
    return SendAnswer(job_name, job, Outcome::kRejected);
  }
  if (!falls) return;
  ServerDown(index);
  engine_.At(engine_.now() + Seconds(scenario_.tiers[static_cast<std::size_t>(server.tier)].fall_s),
             kServerUp, index);
}

// The rule of repeats, counted where the work is done.
void World::Begins(Name, Job& job) {
  Client* c = requests_.Find(job.request);
  const Server& server = *servers_[job.server];
  if (server.tier != 0 || c == nullptr) return;
  if (c->counted) metrics_.wait.Add(engine_.now() - job.arrived);
  const ClassSpec& spec = scenario_.classes[job.request_class];
  if (spec.repeats == "safe") return;
  if (spec.repeats == "keyed") {
    for (const Client::Ran& ran : c->ran) {
      const bool knows = spec.group == "all" || ran.zone == server.zone;
      if (!knows || engine_.now() - ran.first >= Seconds(spec.window_s)) continue;
      ++metrics_.keyed_dropped;
      job.left = std::min(job.left, 1000.0);
      job.calls_left = 0;
      return;
    }
    if (!c->ran.empty()) ++metrics_.keyed_doubled;
  } else if (!c->ran.empty()) {
    ++metrics_.unsafe_doubled;
  }
  c->ran.push_back({server.zone, engine_.now()});
}

void World::Worked(Name name, Job& job) {
  if (job.calls_left > 0) return CallOn(name, job);
  SendAnswer(name, job, Outcome::kOk);
}

void World::CallOn(Name name, Job& job) {
  const Server& server = *servers_[job.server];
  const auto next = static_cast<std::size_t>(server.tier) + 1;
  const std::uint32_t sidecar =
      tiers_[next].first_sidecar + (job.server - tiers_[static_cast<std::size_t>(server.tier)].first);
  --job.calls_left;
  if (!sidecars_[sidecar].up || job.deadline <= engine_.now()) return SendAnswer(name, job, Outcome::kError);
  const double work = requests_.Find(job.request)->work * scenario_.tiers[next].work_share;
  Open(sidecar, job.request, name, job.deadline, work, false);
}

LoadReport World::Report(Server& server) {
  const Micros now = engine_.now();
  if (scenario_.report_high_ms <= 0 || now >= server.told_until) {
    const auto noisy = [&](double value) {
      if (scenario_.report_noise <= 0) return value;
      return std::max(0.0, std::round(value * (1 + scenario_.report_noise * reports_.Between(-1, 1))));
    };
    server.told_in_flight = server.fails_fast ? 0 : noisy(static_cast<double>(server.in_system()));
    server.told_queue = server.fails_fast ? 0 : noisy(static_cast<double>(server.queue()));
    if (scenario_.report_high_ms > 0) {
      server.told_until = now + static_cast<Micros>(1000 * reports_.Between(scenario_.report_low_ms,
                                                                            scenario_.report_high_ms));
    }
  }
  LoadReport report;
  report.in_flight = server.told_in_flight;
  report.queue = server.told_queue;
  return report;
}

void World::SendAnswer(Name name, Job& job, Outcome outcome) {
  Server& server = *servers_[job.server];
  job.outcome = outcome;
  server.Finish(name, job);
  const LoadReport report = Report(server);
  job.report_in_flight = *report.in_flight;
  job.report_queue = *report.queue;
  const Flow* flow = flows_.Find(job.flow);
  if (flow == nullptr) return FreeJob(name);  // nobody waits for it any more
  const int zone = sidecars_[flow->sidecar].zone;
  if (CutOff(server.zone, zone)) return FreeJob(name);
  engine_.At(engine_.now() + Way(server.zone, zone), kAnswer, 0, name);
}

void World::FreeJob(Name name) {
  const Job* job = jobs_.Find(name);
  if (job == nullptr) return;
  const Name request = job->request;
  jobs_.Free(name);
  if (request != kNobody) Release(request);
}

void World::Answer(Name name) {
  const Job* found = jobs_.Find(name);
  if (found == nullptr) return;
  const Job job = *found;
  FreeJob(name);
  Flow* flow = flows_.Find(job.flow);
  if (flow == nullptr || !flow->tries[job.attempt].open) return;
  LoadReport report;
  report.in_flight = job.report_in_flight;
  report.queue = job.report_queue;
  const bool ok = job.outcome == Outcome::kOk && !flow->over;
  if (ok) {
    flow->over = true;
    Inform(job.flow, *flow, Final::kInTime, 0);
  }
  EndAttempt(job.flow, job.attempt, job.outcome, &report, ok || flow->over);
}

void World::CancelAtServer(Name name) {
  Job* job = jobs_.Find(name);
  if (job == nullptr || job->state == Job::State::kOver) return;
  if (servers_[job->server]->GiveUp(name, *job)) FreeJob(name);
}

// --- Checks and the list ---

void World::Ask(std::uint32_t sidecar, UpstreamId upstream) {
  Server& server = *servers_[upstream];
  const Name name = jobs_.Make();
  Job& job = *jobs_.Find(name);
  job.check = true;
  job.state = Job::State::kOver;
  job.server = upstream;
  job.life = sidecars_[sidecar].life;
  job.flow = sidecar;
  job.outcome = server.up ? Outcome::kOk : Outcome::kConnectFailed;
  if (server.up) {
    const LoadReport report = Report(server);
    job.report_in_flight = *report.in_flight;
    job.report_queue = *report.queue;
  }
  if (CutOff(server.zone, sidecars_[sidecar].zone)) return jobs_.Free(name);
  engine_.At(engine_.now() + Way(server.zone, sidecars_[sidecar].zone), kChecked, 0, name);
}

void World::Checked(Name name) {
  const Job job = *jobs_.Find(name);
  jobs_.Free(name);
  const auto sidecar = static_cast<std::uint32_t>(job.flow);
  if (!sidecars_[sidecar].up || sidecars_[sidecar].life != job.life) return;
  std::optional<LoadReport> report;
  if (job.outcome == Outcome::kOk) {
    report.emplace();
    report->in_flight = job.report_in_flight;
    report->queue = job.report_queue;
  }
  With(sidecar,
       [&](Policy& p, Actions* out) { p.OnCheck(engine_.now(), job.server, job.outcome, report, out); });
}

void World::Hear(std::uint32_t index, std::uint32_t life, std::size_t upto) {
  Sidecar& s = sidecars_[index];
  if (!s.up || (s.life & 0xffffff) != life || upto <= s.told) return;
  const Tier& tier = tiers_[static_cast<std::size_t>(s.tier)];
  const std::vector<UpstreamEntry> news(tier.changes.begin() + static_cast<std::ptrdiff_t>(s.told),
                                        tier.changes.begin() + static_cast<std::ptrdiff_t>(upto));
  s.told = upto;
  for (const UpstreamEntry& entry : news) {
    if (entry.state == UpstreamState::kReady) {
      s.leaving.erase(entry.id);
    } else {
      s.leaving.try_emplace(entry.id, engine_.now());
    }
  }
  With(index, [&](Policy& p, Actions* out) { p.OnList(engine_.now(), ListUpdate::kChanges, news, out); });
}

}  // namespace umberdyke::emulator

#include "flow/decisions.h"

#include <stdexcept>
#include <type_traits>

namespace umberdyke::net {
namespace {

// Added to every time to keep times before the machine's boot above 0, which the module reads as 'long ago'.
constexpr Micros kTimeOffset = 4'000'000'000'000'000;

template <typename Duration>
Micros MicrosOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

Decisions::Decisions(Loop& loop, const Config& config, Counters& counters, ActionHandler& handler)
    : counters_(counters),
      handler_(handler),
      unix_epoch_(Clock::now() -
                  std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch())),
      timer_(loop, [this] { FireTimers(); }) {
  Actions initial;
  try {
    balancer_.emplace(config.settings, config.seed, ToMicros(Clock::now()), &initial);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string("configuration: settings: ") + error.what());
  }
  processing_ = false;
  // Performed with the first event, when the other components have been constructed.
  events_.push_back([initial](Balancer&, Micros, Actions* out) { *out = initial; });
}

Micros Decisions::ToMicros(Time time) const { return MicrosOf(time.time_since_epoch()) + kTimeOffset; }

void Decisions::Enqueue(Event event) {
  events_.push_back(std::move(event));
  if (processing_) return;
  processing_ = true;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    Actions actions;
    next(*balancer_, ToMicros(Clock::now()), &actions);
    for (const Action& action : actions) Perform(action);
  }
  processing_ = false;
  ArmTimer();
}

void Decisions::Perform(const Action& action) {
  std::visit(
      [this](const auto& a) {
        using T = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<T, Send>) {
          const auto span = [](Micros time) {
            return time != 0 ? std::optional<Span>(std::chrono::microseconds(time)) : std::nullopt;
          };
          handler_.SendAttempt(a.request, a.upstream, span(a.time_out), span(a.send_within));
        } else if constexpr (std::is_same_v<T, Cancel>) {
          handler_.CancelAttempt(a.request, a.attempt);
        } else if constexpr (std::is_same_v<T, Refuse>) {
          handler_.RejectFlow(a.request, std::chrono::microseconds(a.retry_after));
        } else if constexpr (std::is_same_v<T, Fail>) {
          handler_.FailFlow(a.request);
        } else if constexpr (std::is_same_v<T, SetTimer>) {
          pending_timers_.push({Clock::now() + std::chrono::microseconds(a.delay), a.token});
        } else if constexpr (std::is_same_v<T, Subscribe>) {
          handler_.WatchServerList(a.on);
        } else if constexpr (std::is_same_v<T, Check>) {
          handler_.CheckServer(a.upstream);
        } else if constexpr (std::is_same_v<T, CloseIdle>) {
          handler_.CloseIdleConnections(a.upstream);
        } else if constexpr (std::is_same_v<T, Log>) {
          handler_.LogModuleText(a.text);
        } else {
          // The module never emits FetchList or TellPeers.
          static_assert(std::is_same_v<T, FetchList> || std::is_same_v<T, TellPeers>);
          INVARIANT(false, counters_);
        }
      },
      action);
}

void Decisions::FireTimers() {
  const Time now = Clock::now();
  while (!pending_timers_.empty() && pending_timers_.top().at <= now) {
    const std::uint64_t token = pending_timers_.top().token;
    pending_timers_.pop();
    Enqueue([token](Balancer& b, Micros at, Actions* out) { b.OnTimer(at, token, out); });
  }
  ArmTimer();
}

void Decisions::ArmTimer() {
  if (!pending_timers_.empty()) timer_.Start(std::max(pending_timers_.top().at - Clock::now(), Span::zero()));
}

void Decisions::OnListChange(const ServerListEvent& change) {
  std::vector<UpstreamEntry> entries;
  for (const ServerListEvent::Entry& entry : change.entries) {
    UpstreamEntry e;
    e.id = entry.server;
    e.state = entry.listed.state;
    e.ready_at = entry.listed.started ? ToMicros(unix_epoch_ + *entry.listed.started) : 0;
    e.weight = entry.listed.weight;
    e.kind = entry.listed.kind;
    e.zone = entry.listed.zone;
    e.cell = entry.listed.cell;
    entries.push_back(e);
  }
  Enqueue([kind = change.kind, entries](Balancer& b, Micros at, Actions* out) {
    b.OnList(at, kind, entries, out);
  });
}

void Decisions::OnNewFlow(const Flow& flow) {
  Request request;
  request.id = flow.id;
  request.request_class = flow.request.request_class;
  request.tenant = flow.request.tenant;
  request.client_retry = flow.request.client_retry;
  if (flow.request.expected_work) request.expected_work = flow.request.expected_work->count();
  const Time deadline = flow.deadline;
  Enqueue([request, deadline](Balancer& b, Micros at, Actions* out) mutable {
    request.time_left = std::max<Micros>(0, MicrosOf(deadline - Clock::now()));
    b.OnRequest(at, request, out);
  });
}

void Decisions::OnAttemptEnd(const AttemptReport& report) {
  umberdyke::AttemptEnd end;
  end.request = report.flow;
  end.attempt = report.attempt;
  end.upstream = report.server;
  end.outcome = report.outcome;
  end.elapsed = MicrosOf(report.elapsed);
  end.settled = report.settled;
  end.report = report.load;
  Enqueue([end](Balancer& b, Micros at, Actions* out) { b.OnAttemptEnd(at, end, out); });
}

void Decisions::OnResponseStart(FlowId flow, int attempt) {
  Enqueue([=](Balancer& b, Micros at, Actions* out) { b.OnStreamStart(at, flow, attempt, out); });
}

void Decisions::OnBodyStart(FlowId flow) {
  Enqueue([flow](Balancer& b, Micros at, Actions* out) { b.OnBody(at, flow, std::nullopt, out); });
}

void Decisions::OnBodySent(const Flow& flow) {
  Enqueue([id = flow.id, deadline = flow.deadline](Balancer& b, Micros at, Actions* out) {
    b.OnBody(at, id, std::max<Micros>(0, MicrosOf(deadline - Clock::now())), out);
  });
}

void Decisions::OnClientGone(FlowId flow) {
  Enqueue([flow](Balancer& b, Micros at, Actions* out) { b.OnClientGone(at, flow, out); });
}

void Decisions::OnZoneShares(const std::vector<double>& shares) {
  Enqueue([shares](Balancer& b, Micros at, Actions* out) { b.OnZones(at, shares, out); });
}

void Decisions::OnCheckResult(ServerId server, Outcome outcome, const std::optional<LoadReport>& load) {
  Enqueue([=](Balancer& b, Micros at, Actions* out) { b.OnCheck(at, server, outcome, load, out); });
}

}  // namespace umberdyke::net

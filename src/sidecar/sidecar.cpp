#include "sidecar/sidecar.h"

#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "sidecar/limits.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;
using log::Event;

constexpr Span kTick = 1s;
constexpr Span kForget = 60s;        // after this a server that has gone is nobody's business any more
constexpr Span kAcceptAgain = 50ms;  // while clients wait for a connection to be spared
constexpr Span kCheckTime = 200ms;
// Clients that are sent away: their connections end with an answer; those that ask nothing are left alone for
// a while, as a close may cross a request, and closed in time for the notice of two seconds.
constexpr Span kLeaveAlone = 1s;
constexpr Span kListWait = 1500ms;  // a process that takes over serves once discovery has told, or after this
constexpr Span kPushedWait = 4s;    // and one whose lists are pushed, after this
constexpr Span kListenAgain = 50ms;  // while another's process holds the address
constexpr Span kIdleSweep = 100ms;
constexpr Span kLastAccepts = 5ms;  // while connections still wait at an end
constexpr Span kStillIdle = 300ms;

}  // namespace

Sidecar::Sidecar(Loop& loop, const Config& config, std::shared_ptr<log::Log> log)
    : loop_(loop),
      config_(config),
      log_(std::move(log)),
      platform_(config_),
      metrics_(config_.class_names, config_.console.has_value()),
      streaming_limit_(config_.memory),
      server_list_(counters_, [this](const ServerListEvent& c) { Told(c); }),
      servers_(loop, ServerLimits(config_), streaming_limit_, counters_),
      decisions_(loop, config_, counters_, *this),
      request_intake_(platform_, counters_,
                      [this](int request_class) { flow_recorder_.CountInvalidRequest(request_class); }),
      flow_admission_(
          loop, flows_, counters_, [this](FlowId flow) { LastCall(flow); },
          [this](int request_class) { flow_recorder_.CountInvalidRequest(request_class); }),
      attempt_router_(server_list_, config_.settings),
      attempt_sender_(
          servers_, attempt_router_, platform_, metrics_, counters_, config_.settings.parallel_attempts,
          [this](FlowId flow) { return Wanted(flow); },
          [this](AttemptResult result) { AttemptEnded(std::move(result)); },
          {[this](FlowId id) {
             if (Flow* flow = flows_.Find(id); flow != nullptr) attempt_sender_.ForwardBody(*flow);
           },
           [this](FlowId flow) { decisions_.OnBodyStart(flow); },
           [this](FlowId id) {
             if (const Flow* flow = flows_.Find(id); flow != nullptr) decisions_.OnBodySent(*flow);
           },
           [this](FlowId flow, int attempt, const Message& head) { AnswerBegins(flow, attempt, head); },
           [this](FlowId flow, int attempt, std::string piece) {
             AnswerPiece(flow, attempt, std::move(piece));
           }}),
      response_writer_(platform_, config_.settings, counters_),
      flow_recorder_(loop, flows_, platform_, decisions_, metrics_, counters_),
      listener_(loop, [this] { AcceptWaiting(); }),
      edge_limit_(EdgeLimit(config_)),
      begin_timer_(loop, [this] { BeginServing(); }),
      accept_timer_(loop, [this] { OnIdle(); }),
      close_timer_(loop, [this] { CloseEdges(); }),
      listener_timer_(loop, [this] { StopListening(); }),
      idle_timer_(loop, [this] { CloseIdleEdges(); }),
      tick_(loop, [this] { Tick(); }) {
  if (config_.console) {
    const ConsoleIdentity identity{config_.application, config_.name, config_.settings.tier, config_.release};
    console_ = std::make_unique<Console>(loop, *this, identity, counters_, *log_, MostCallers(config_));
    if (const std::string error = console_->Listen(*config_.console); !error.empty()) {
      throw ConfigError("configuration: console cannot be listened on: " + error);
    }
  }
  if (config_.sites) {
    zones_ = std::make_unique<ZoneWatch>(
        loop, config_, counters_, *log_,
        ZoneWatch::Owner{
            [this](const std::vector<double>& parts) { decisions_.OnZoneShares(parts); },
            [this](ServerId server) { Check(server, [](Outcome, const std::optional<LoadReport>&) {}); }});
  }
  const std::optional<ServerListChange> known = platform_.ParseServerList(config_.known);
  if (!known && !config_.known.empty()) counters_.Add("discovery_unreadable");
  source_ = MakeSource(
      loop, platform_, config_, known.value_or(ServerListChange{}), counters_, *log_,
      {[this](const ServerListChange& change, ListUpdate kind) { server_list_.Apply(change, kind); },
       [this](const std::string& why) { server_list_.OnSourceFailure(why); }});
  server_list_.Apply(known.value_or(ServerListChange{}), ListUpdate::kCached);
  if (config_.peers && !config_.membership) {
    peers_ =
        std::make_unique<PeerExchange>(loop, *config_.peers, config_.seed, *source_, server_list_, counters_);
  }
  const bool pushed = !config_.settings.must_ask;
  awaits_list_ = pushed && !config_.membership;
  if (pushed || config_.membership) source_->Watch(true);  // nobody has to ask first
  Begin();
  running_ = true;
  tick_.Start(kTick);
}

Sidecar::~Sidecar() {
  if (inherited_) close(*inherited_);
}

// With a console the process may be one that replaces another: that one serves until this one can.
void Sidecar::Begin() {
  if (!config_.console) return BeginUnlisted();
  handover_ =
      std::make_unique<Handover>(loop_, config_.runtime_folder, config_.listen, counters_,
                                 Handover::Owner{[this] { return listener_.fd(); }, [this] { Shared(); }});
  inherited_ = handover_->Ask();
  if (!inherited_) return BeginUnlisted();
  log_->Say(Event::kTakingOver, config_.name + " takes over from a process that serves", {});
  Shared();
  begin_timer_.Start(kListWait);
}

void Sidecar::BeginUnlisted() {
  if (!awaits_list_) return BeginServing();
  begin_timer_.Start(kPushedWait);
}

void Sidecar::BeginServing() {
  begin_timer_.Stop();
  const bool waits =
      config_.console.has_value();  // there may be a predecessor that knows nothing of all this
  const std::string error = inherited_ ? listener_.Adopt(*std::exchange(inherited_, std::nullopt))
                                       : listener_.Listen(config_.listen, waits);
  if (!error.empty()) {
    // An address that cannot be had at all is a mistake; one that is taken may be a predecessor's. A process
    // that runs already goes on trying.
    if (!running_ && (!waits || !Listener::IsAddressInUse(error))) {
      throw ConfigError("configuration: listen cannot be listened on: " + error);
    }
    log_->Say(Event::kAddressTaken, config_.name + " cannot listen yet: " + error, {{"why", error}});
    begin_timer_.Start(kListenAgain);
    return;
  }
  lifecycle_.StartServing(Clock::now());
  const std::string address = PrintAddress(listener_.address());
  log_->Say(Event::kListening,
            config_.name + " listens on " + address + ", tier " + std::to_string(config_.settings.tier),
            {{"address", address},
             {"tier", std::int64_t{config_.settings.tier}},
             {"application", config_.application},
             {"us", MicrosNow()}});
  if (handover_ == nullptr) return;
  if (const std::string why = handover_->Offer(); !why.empty()) counters_.Add("handover_not_offered");
}

// Both processes of a sidecar hold its limits together; half each.
void Sidecar::Shared() {
  const bool shared = handover_->shared();
  edge_limit_ = EdgeLimit(config_, shared);
  streaming_limit_.SetShared(shared);
  servers_.SetMaxConnections(edge_limit_);
  ShedTo(edge_limit_);
  log_->Say(Event::kTakenOver,
            config_.name + (shared ? " shares its limits with another process" : " has its limits to itself"),
            {{"serves", handover_->successor()}});
  if (!handover_->predecessor() && inherited_) BeginServing();  // nobody else takes what waits
  OnIdle();
}

// Those at rest, or silent, over a limit; what is busy stays.
void Sidecar::ShedTo(int edges) {
  while (static_cast<int>(edges_.size()) > edges && ShedOldestEdge()) {
  }
}

void Sidecar::LogModuleText(const std::string& text) {
  log_->Say(Event::kModule, "module: " + text, {{"said", text}});
}

void Sidecar::Told(const ServerListEvent& change) {
  // One line for a run of failures and one for its end: discovery may be down for days.
  if (change.kind == ListUpdate::kFailed) {
    if (watch_failures_++ == 0) {
      log_->Say(Event::kDiscoveryBroke, "the watch on discovery broke: " + change.error,
                {{"why", change.error}});
    }
  } else if (watch_failures_ > 0 && !change.from_peers) {
    const int failures = std::exchange(watch_failures_, 0);
    log_->Say(Event::kDiscoveryBack, "discovery tells again, after " + std::to_string(failures) + " failures",
              {{"failures", std::int64_t{failures}}});
  }
  if (zones_) zones_->Listed(change);
  decisions_.OnListChange(change);
  const bool told = change.kind != ListUpdate::kFailed && change.kind != ListUpdate::kCached;
  if (told && (inherited_ || awaits_list_)) {
    loop_.Post(alive_, [this] {
      const bool begins =
          std::exchange(awaits_list_, false) && lifecycle_.state() == Lifecycle::State::kStarting;
      if (inherited_ || begins) BeginServing();
    });
  }
  // What leaves gets nothing new: connections at rest there only hold descriptors.
  for (const ServerListEvent::Entry& entry : change.entries) {
    if (!attempt_router_.AcceptsNewWork(entry.server)) servers_.CloseIdle(entry.server);
  }
}

void Sidecar::AcceptWaiting() {
  if (static_cast<int>(edges_.size()) >= edge_limit_ && !ShedOldestEdge()) return LetWait();
  auto edge = std::make_unique<EdgeConnection>(loop_, *this, streaming_limit_);
  if (std::exchange(accept_waits_, false)) listener_.Resume();
  if (!edge->Accept(listener_)) {  // none can be had, or another process of this sidecar was quicker
    if (!listener_.out_of_descriptors()) return;
    counters_.Add("edges_not_accepted");
    ShedOldestEdge();
    return;
  }
  counters_.Add("edges_accepted");
  EdgeConnection& taken = *edges_.emplace(edge.get(), std::move(edge)).first->first;
  if (closing_) taken.CloseWhenIdle();
}

// Clients stay in the kernel's queue until a connection can be spared.
void Sidecar::LetWait() {
  accept_waits_ = true;
  listener_.Pause();
  accept_timer_.Start(kAcceptAgain);
}

// Guards the usual clients against those that open connections by the hundred and send nothing: these go
// first.
bool Sidecar::ShedOldestEdge() {
  std::vector<EdgeConnection*> idle;
  for (const auto& [edge, owned] : edges_) {
    if (edge->idle_after_response() || edge->first_request_overdue() || edge->lingering())
      idle.push_back(edge);
  }
  const auto rank = [](const EdgeConnection* e) {
    return std::tuple(!e->lingering(), e->has_started_request(), e->last_activity());
  };
  std::sort(idle.begin(), idle.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  // A request may wait there unread.
  const auto oldest =
      std::find_if(idle.begin(), idle.end(), [](const auto* e) { return e->NoUnreadInput(); });
  if (oldest == idle.end()) return false;
  counters_.Add("edges_shed");
  OnClosed(**oldest);
  return true;
}

void Sidecar::OnRequest(EdgeConnection& edge, Message message) { Take(edge, std::move(message), false); }

void Sidecar::OnStreamingRequest(EdgeConnection& edge, Message head) {
  counters_.Add("requests_long");
  Take(edge, std::move(head), true);
}

void Sidecar::Take(EdgeConnection& edge, Message message, bool long_body) {
  const bool ready = lifecycle_.ready() || replaced();
  std::optional<FlowRequest> request =
      request_intake_(edge, std::move(message), long_body, ready, Leaves(edge));
  if (!request) return;
  Flow* flow = flow_admission_(edge, std::move(*request));
  if (flow == nullptr) return;
  if (long_body && edge.body_received()) flow_admission_.OnBodyReceived(*flow);
  decisions_.OnNewFlow(*flow);
}

void Sidecar::OnBodyData(EdgeConnection& edge) {
  Flow* flow = flows_.Find(edge.flow);
  if (flow == nullptr) return;
  if (edge.body_received() && flow->receiving_body) flow_admission_.OnBodyReceived(*flow);
  attempt_sender_.ForwardBody(*flow);
}

void Sidecar::OnWritable(EdgeConnection& edge) {
  if (const Flow* flow = flows_.Find(edge.flow); flow != nullptr) attempt_sender_.ResumeResponse(*flow);
}

// What comes of a long body is no body, or comes too slowly: its flow ends with the answer that says so.
void Sidecar::OnInvalidRequest(EdgeConnection& edge, ParseResult why) {
  LeaveFlow(edge, FlowEnd::kFailed);
  request_intake_.RespondToInvalidRequest(edge, why);
}

void Sidecar::OnRequestTimeout(EdgeConnection& edge) {
  LeaveFlow(edge, FlowEnd::kFailed);
  request_intake_.RespondToSlowRequest(edge);
}

void Sidecar::LeaveFlow(EdgeConnection& edge, FlowEnd ending) {
  const FlowId flow = std::exchange(edge.flow, 0);
  if (flow == 0) return;
  flow_recorder_.CloseFlow(flow, ending);
  attempt_sender_.CancelUnsent(flow);
  decisions_.OnClientGone(flow);
}

// Asked right before anything of an attempt goes out.
const Flow* Sidecar::Wanted(FlowId id) {
  const Flow* flow = flows_.Find(id);
  return flow != nullptr && !flow->edge->ClientGone() ? flow : nullptr;
}

// Clients that wait in the kernel's queue get their turn once a connection can be spared.
void Sidecar::OnIdle() {
  if (!accept_waits_ || !listener_.open()) return;
  loop_.Post(alive_, [this] {
    if (accept_waits_ && listener_.open()) AcceptWaiting();
  });
}

void Sidecar::OnClosed(EdgeConnection& edge) {
  const auto it = edges_.find(&edge);
  if (!INVARIANT(it != edges_.end(), counters_)) return;
  std::unique_ptr<EdgeConnection> gone = std::move(it->second);
  edges_.erase(it);
  gone->Close();
  if (gone->flow != 0) counters_.Add("flows_left");
  LeaveFlow(*gone, FlowEnd::kClientGone);
  loop_.DestroyLater(std::move(gone));
  OnIdle();
  TellDrained();
}

void Sidecar::SendAttempt(FlowId id, ServerId server, std::optional<Span> time_out,
                          std::optional<Span> send_within) {
  Flow* flow = flows_.Find(id);
  if (flow != nullptr && flow->edge->ClientGone()) {
    counters_.Add("sends_for_nobody");
    OnClosed(*flow->edge);
    flow = nullptr;
  }
  const int attempt = flow == nullptr ? 0 : flow->attempts++;
  if (zones_ && zones_->Closed(server)) counters_.Add("sent_to_closed_zone");
  if (flow != nullptr && flow->receiving_body) flow->deadline = Clock::now() + flow->request.time_left;
  const auto routed = flow == nullptr ? std::nullopt : attempt_router_(*flow, server, time_out, send_within);
  if (routed) return attempt_sender_(*flow, attempt, *routed);
  flow_recorder_.ReportAttempt({id, attempt, server, Outcome::kNotSent, {}, {}}, flow == nullptr);
}

void Sidecar::AttemptEnded(AttemptResult result) {
  Flow* flow = flows_.Find(result.flow);
  Heard(result.server, result.outcome);
  if (zones_) zones_->Ended(result.server, result.outcome, result.elapsed);
  flow_recorder_.RecordAttemptEnd(flow, result.outcome);
  if (flow != nullptr && result.outcome == Outcome::kUnfit) flow->unfit_status = result.response.status;
  const bool served = flow != nullptr && result.outcome == Outcome::kOk;
  const bool begun = flow != nullptr && flow->streaming_response;
  if (begun) {
    flow_recorder_.CloseFlow(result.flow, served ? response_writer_.FinishStreaming(*flow)
                                                 : response_writer_.AbortStreaming(*flow));
  } else if (served) {
    flow_recorder_.CloseFlow(result.flow, response_writer_.SendServed(*flow, result.response, Leaves(*flow)));
  }
  flow_recorder_.ReportAttempt(result, served || begun || flow == nullptr);
}

void Sidecar::AnswerBegins(FlowId id, int attempt, const Message& head) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return attempt_sender_.Cancel(id, attempt);
  decisions_.OnResponseStart(id, attempt);
  if (!response_writer_.BeginStreaming(*flow, head, Leaves(*flow))) attempt_sender_.PauseResponse(*flow);
}

void Sidecar::AnswerPiece(FlowId id, int attempt, std::string piece) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return attempt_sender_.Cancel(id, attempt);
  if (!response_writer_.StreamData(*flow, std::move(piece))) attempt_sender_.PauseResponse(*flow);
}

void Sidecar::RejectFlow(FlowId id, std::chrono::microseconds retry_after) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return;
  flow_recorder_.CloseFlow(id, response_writer_.SendRejection(*flow, retry_after, Leaves(*flow)));
}

void Sidecar::FailFlow(FlowId id) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return;
  flow_recorder_.CloseFlow(id, response_writer_.SendFailure(*flow, Leaves(*flow)));
}

// A source may keep servers against its own list for as long as they can be reached.
void Sidecar::Heard(ServerId server, Outcome outcome) {
  if (!config_.membership || (outcome != Outcome::kConnectFailed && outcome != Outcome::kOk)) return;
  if (const ServerRecord* record = server_list_.Find(server); record != nullptr) {
    source_->OnConnectionResult(record->id, outcome == Outcome::kOk);
  }
}

// The module has said nothing so far: an answer leaves all the same, and then it hears of it.
void Sidecar::LastCall(FlowId id) {
  Flow* flow = flows_.Find(id);
  if (flow == nullptr) return;
  counters_.Add("flows_last_call");
  flow_recorder_.CloseFlow(id, response_writer_.SendFailure(*flow, Leaves(*flow)));
  decisions_.OnClientGone(id);
}

void Sidecar::CheckServer(ServerId server) {
  Check(server, [this, server](Outcome outcome, const std::optional<LoadReport>& load) {
    decisions_.OnCheckResult(server, outcome, load);
  });
}

void Sidecar::Check(ServerId server, Checked done) {
  const ServerRecord* record = server_list_.Find(server);
  counters_.Add("checks_sent");
  if (record == nullptr || !attempt_router_.AcceptsNewWork(server)) return done(Outcome::kNotSent, {});
  ExchangeEvents events;
  events.make_request = [this, server, to = PrintAddress(record->address)](Span) {
    return attempt_router_.AcceptsNewWork(server) ? std::optional(platform_.HealthCheckRequest(to))
                                                  : std::nullopt;
  };
  events.on_done = [this, server, done](const ExchangeResult& end) {
    const Outcome outcome = AttemptSender::OutcomeOf(end);
    const bool answered = end.code == ExchangeResult::Code::kResponse;
    Heard(server, outcome);
    if (zones_) zones_->Probed(server, outcome);  // whoever asked
    done(outcome, answered ? platform_.ParseCheckLoadReport(end.response) : std::nullopt);
  };
  servers_.Start(server, record->address, kCheckTime, Time::max(), std::move(events));
}

void Sidecar::Tick() {
  servers_.CloseExpired();
  server_list_.RemoveGone(Clock::now() - kForget);
  OnIdle();
  tick_.Start(kTick);
}

std::string Sidecar::CheckZonePlan(const std::string& text) const {
  return zones_ ? zones_->Check(text) : ConsoleOwner::CheckZonePlan(text);
}

void Sidecar::ApplyZonePlan(const std::string& text) { zones_->Take(text); }

ConsoleMetrics Sidecar::CurrentMetrics() const {
  ConsoleMetrics figures = metrics_.figures();
  figures.concurrent = flows_.fully_received();
  figures.targets = server_list_.listed_count();
  figures.targets_disabled = static_cast<std::uint64_t>(decisions_.Avoided());
  return figures;
}

bool Sidecar::DrainClients() {
  if (!lifecycle_.Drain()) return false;
  counters_.Add("drains");
  log_->Say(Event::kClientsSentAway, config_.name + " sends its clients away",
            {{"connections", static_cast<std::int64_t>(edges_.size())}});
  idle_timer_.Start(kLeaveAlone);
  return true;
}

bool Sidecar::ReactivateClients() {
  if (!lifecycle_.Activate()) return false;
  counters_.Add("activations");
  log_->Say(Event::kClientsTakenBack, config_.name + " takes clients again", {});
  idle_timer_.Stop();
  return true;
}

void Sidecar::CloseIdleEdges() {
  std::vector<EdgeConnection*> idle;
  for (const auto& [edge, owned] : edges_) {
    if (edge->idle() && Clock::now() - edge->last_activity() >= kStillIdle) idle.push_back(edge);
  }
  for (EdgeConnection* edge : idle) edge->CloseWhenIdle();
  idle_timer_.Start(kIdleSweep);
}

void Sidecar::Shutdown(std::function<void()> drained) {
  if (!lifecycle_.Shutdown()) return;
  drained_ = std::move(drained);
  log_->Say(Event::kDrainBegins,
            config_.name + " was told to end: " + std::to_string(flows_.size()) + " flows are open",
            {{"open_flows", static_cast<std::int64_t>(flows_.size())}, {"us", MicrosNow()}});
  source_->Deregister();
  begin_timer_.Stop();  // one that has not begun yet never does
  if (inherited_) close(*std::exchange(inherited_, std::nullopt));
  if (replaced()) listener_.Close();  // what waits in its queue is the other process's
  const Time now = Clock::now();
  take_until_ = now + TakeTime(config_.settings);
  flow_admission_.SetFinalDeadline(now + AnswerTime(config_.settings));
  close_timer_.Start(ServeOn(config_.settings));
}

void Sidecar::Reload(const std::function<Config()>& load) {
  try {
    const Config next = load();
    counters_.Add("reloads");
    const bool more = next.rest != config_.rest;
    const std::string discovery = PrintAddress(next.discovery);
    log_->Say(Event::kReloaded,
              config_.name + " has read its configuration anew: discovery at " + discovery +
                  (more ? "; what else has changed holds from the next start on" : ""),
              {{"discovery", discovery}, {"more_at_next_start", more}});
    source_->Reload(next);
  } catch (const std::exception& error) {  // nothing that a file says may end a sidecar that serves
    counters_.Add("reloads_refused");
    log_->Say(Event::kReloadRefused, config_.name + " keeps the configuration it has: " + error.what(),
              {{"why", std::string(error.what())}});
  }
}

void Sidecar::CloseEdges() {
  closing_ = true;
  StopListening();
  std::vector<EdgeConnection*> edges;
  for (const auto& [edge, owned] : edges_) edges.push_back(edge);
  for (EdgeConnection* edge : edges) edge->CloseWhenIdle();
  TellDrained();
}

// Those in the kernel's queue have been accepted by the machine, and may have sent their requests: they are
// taken first.
void Sidecar::StopListening() {
  if (listener_.HasPendingConnection() && Clock::now() < take_until_) {
    return listener_timer_.Start(kLastAccepts);
  }
  accept_waits_ = false;
  listener_.Close();
  TellDrained();
}

void Sidecar::TellDrained() {
  const bool done = closing_ && !listener_.open() && edges_.empty();
  if (done && drained_) loop_.Post(alive_, std::exchange(drained_, nullptr));
}

}  // namespace umberdyke::net

// Wires the parts of the sidecar together and runs its startup, drain, shutdown and reload.
#include "sidecar/sidecar.h"

#include <unistd.h>

#include <algorithm>
#include <vector>

#include "sidecar/limits.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;
using log::Event;

constexpr Span kHousekeepingInterval = 1s;
constexpr Span kGoneServerRetention = 60s;  // a server that has left the list is kept this long
constexpr Span kAcceptRetryDelay = 50ms;    // while clients wait in the kernel's accept queue
constexpr Span kHealthCheckTimeout = 200ms;
// While draining, a connection closes after its next response. Idle connections stay open for this long, as a
// close may cross a request, and are then closed, early enough for a drain notice of two seconds.
constexpr Span kDrainIdleGrace = 1s;
constexpr Span kTakeoverListTimeout = 1500ms;  // a process that takes over waits this long for a list
constexpr Span kPushedListTimeout = 4s;        // the same for one that starts alone and gets pushed lists
constexpr Span kListenRetryDelay = 50ms;       // while another process holds the address
constexpr Span kIdleSweepInterval = 100ms;
constexpr Span kPendingAcceptRetryDelay = 5ms;  // at shutdown, while connections are in the accept queue
constexpr Span kMinIdleTime = 300ms;
// The parts of the memory that buffered requests and responses may hold.
constexpr size_t kRequestMemoryDivisor = 4;
constexpr size_t kResponseMemoryDivisor = 8;
constexpr size_t kBytesPerKb = 1024;

}  // namespace

Sidecar::Sidecar(Loop& loop, const Config& config, std::shared_ptr<log::Log> log)
    : loop_(loop),
      config_(config),
      log_(std::move(log)),
      platform_(config_),
      metrics_(config_.class_names, config_.console.has_value()),
      streaming_limit_(config_.memory),
      request_limit_(config_.memory, kRequestMemoryDivisor),
      response_limit_(config_.memory, kResponseMemoryDivisor),
      repeat_guard_(config_.settings),
      server_list_(counters_, [this](const ServerListEvent& c) { OnListChange(c); }),
      servers_(loop, RealServerLimits(config_), streaming_limit_, response_limit_, counters_, *log_),
      decisions_(loop, config_, counters_, *this),
      request_intake_(platform_, counters_,
                      [this](int request_class) { flow_recorder_.CountInvalidRequest(request_class); }),
      flow_deadlines_(loop, flows_, [this](FlowId flow) { OnFlowDeadline(flow); }),
      flow_admission_(flows_, flow_deadlines_, repeat_guard_, counters_,
                      [this](int request_class) { flow_recorder_.CountInvalidRequest(request_class); }),
      attempt_router_(server_list_, config_.settings),
      attempt_sender_(
          servers_, attempt_router_, platform_, metrics_, counters_, config_.settings.parallel_attempts,
          [this](FlowId flow) { return FindFlowWithClient(flow); },
          [this](AttemptResult result) { OnAttemptEnd(std::move(result)); },
          {[this](FlowId id) {
             if (Flow* flow = flows_.Find(id); flow != nullptr) attempt_sender_.ForwardBody(*flow);
           },
           [this](FlowId flow) { decisions_.OnBodyStart(flow); },
           [this](FlowId id) {
             if (const Flow* flow = flows_.Find(id); flow != nullptr) decisions_.OnBodySent(*flow);
           },
           [this](FlowId id) {
             const Flow* flow = flows_.Find(id);
             return flow == nullptr || !flow->needs_whole_response;
           },
           [this](FlowId flow, int attempt, const Message& head) { OnResponseHead(flow, attempt, head); },
           [this](FlowId flow, int attempt, std::string piece) {
             OnResponseData(flow, attempt, std::move(piece));
           }}),
      response_writer_(platform_, config_.settings, counters_),
      flow_recorder_(loop, flows_, platform_, decisions_, metrics_, counters_,
                     FlowLog(*log_, server_list_, config_.class_names), attempt_sender_, repeat_guard_),
      listener_(loop, [this] { AcceptConnection(); }),
      edge_limit_(MaxEdgeConnections(config_)),
      start_timer_(loop, [this] { StartServing(); }),
      accept_timer_(loop, [this] { OnIdle(); }),
      close_timer_(loop, [this] { StartClosing(); }),
      unframed_responses_timer_(loop, [this] { AbortUnframedResponses(); }),
      stop_listening_timer_(loop, [this] { StopListening(); }),
      idle_edges_timer_(loop, [this] { CloseIdleEdges(); }),
      tick_(loop, [this] { Tick(); }) {
  if (config_.console) {
    const ConsoleIdentity identity{config_.application, config_.name, config_.settings.tier, config_.release};
    console_ =
        std::make_unique<Console>(loop, *this, identity, counters_, *log_, MaxConsoleConnections(config_));
    if (const std::string error = console_->Listen(*config_.console); !error.empty()) {
      throw ConfigError("configuration: cannot listen on the console address: " + error);
    }
  }
  if (config_.sites) {
    zone_watch_ = std::make_unique<ZoneWatch>(
        loop, config_, counters_, *log_,
        ZoneWatch::Owner{[this](const std::vector<double>& parts) { decisions_.OnZoneShares(parts); },
                         [this](ServerId server) {
                           RunHealthCheck(server, [](Outcome, const std::optional<LoadReport>&) {});
                         }});
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
  awaiting_pushed_list_ = pushed && !config_.membership;
  if (pushed || config_.membership) source_->Watch(true);  // pushed lists arrive without a poll
  Start();
  constructed_ = true;
  tick_.Start(kHousekeepingInterval);
}

Sidecar::~Sidecar() {
  if (inherited_listener_) close(*inherited_listener_);
}

// With a console, this process may replace another one, which serves until this one can.
void Sidecar::Start() {
  if (!config_.console) return StartWithoutPredecessor();
  handover_ = std::make_unique<Handover>(
      loop_, config_.runtime_folder, config_.listen, counters_, *log_,
      Handover::Owner{[this] { return listener_.fd(); }, [this] { OnHandoverChange(); },
                      [this] { return SentRequests(); },
                      [this](RequestIdHash id) { repeat_guard_.OnSentElsewhere(id); }});
  inherited_listener_ = handover_->RequestListener();
  if (!inherited_listener_) return StartWithoutPredecessor();
  log_->Say(Event::kTakingOver, config_.name + " takes over from a serving process", {});
  OnHandoverChange();
  start_timer_.Start(kTakeoverListTimeout);
}

void Sidecar::StartWithoutPredecessor() {
  if (!awaiting_pushed_list_) return StartServing();
  start_timer_.Start(kPushedListTimeout);
}

void Sidecar::StartServing() {
  start_timer_.Stop();
  // A predecessor without handover support may hold the address.
  const bool may_have_predecessor = config_.console.has_value();
  const std::string error = inherited_listener_
                                ? listener_.Adopt(*std::exchange(inherited_listener_, std::nullopt))
                                : listener_.Listen(config_.listen, may_have_predecessor);
  if (!error.empty()) {
    // An unusable address is a configuration error at startup. An address in use may belong to a predecessor,
    // so a process with a console retries, and so does any process that has started already.
    if (!constructed_ && (!may_have_predecessor || !Listener::IsAddressInUse(error))) {
      throw ConfigError("configuration: cannot listen on the listen address: " + error);
    }
    log_->Say(Event::kAddressTaken, config_.name + " cannot listen yet: " + error, {{"why", error}});
    start_timer_.Start(kListenRetryDelay);
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
  if (const std::string error = handover_->OfferListener(); !error.empty())
    counters_.Add("handover_not_offered");
}

// Those that must not run again: ended ones that may have run, and open ones that are being sent.
std::vector<RequestIdHash> Sidecar::SentRequests() {
  std::vector<RequestIdHash> ids = repeat_guard_.Remembered();
  flows_.ForEach([&](const Flow& flow) {
    if (flow.attempts > 0 && repeat_guard_.Applies(flow.request.request_class))
      ids.push_back(HashRequestId(flow.request.id));
  });
  return ids;
}

// Before the first byte is sent, so that the client can't have come to the other process with it before.
void Sidecar::AnnounceRequest(const Flow& flow) {
  if (!handover_ || !handover_->has_other_process() || !repeat_guard_.Applies(flow.request.request_class))
    return;
  handover_->AnnounceRequest(HashRequestId(flow.request.id));
}

// While two processes of a sidecar run, each holds half of its limits.
void Sidecar::OnHandoverChange() {
  const bool shared = handover_->has_other_process();
  edge_limit_ = MaxEdgeConnections(config_, shared);
  streaming_limit_.SetShared(shared);
  request_limit_.SetShared(shared);
  response_limit_.SetShared(shared);
  servers_.SetMaxConnections(edge_limit_);
  ShedEdgesDownTo(edge_limit_);
  log_->Say(Event::kTakenOver,
            config_.name + (shared ? " shares its limits with another process" : " has its limits to itself"),
            {{"serves", handover_->has_serving_successor()}});
  if (!handover_->has_predecessor() && inherited_listener_)
    StartServing();  // no other process accepts the queued connections
  OnIdle();
}

// Closes idle connections over the limit, and those that sent nothing; busy ones stay.
void Sidecar::ShedEdgesDownTo(int edges) {
  while (static_cast<int>(edges_.size()) > edges && ShedOldestEdge()) {
  }
}

void Sidecar::LogModuleText(const std::string& text) {
  log_->Say(Event::kModule, "module: " + text, {{"said", text}});
}

void Sidecar::OnListChange(const ServerListEvent& change) {
  // Log one line for a run of failures and one for its end: discovery may be down for days.
  if (change.kind == ListUpdate::kFailed) {
    if (discovery_failures_++ == 0) {
      log_->Say(Event::kDiscoveryBroke, "discovery watch failed: " + change.error, {{"why", change.error}});
    }
  } else if (discovery_failures_ > 0 && !change.from_peers) {
    const int failures = std::exchange(discovery_failures_, 0);
    log_->Say(Event::kDiscoveryBack,
              "discovery watch recovered after " + std::to_string(failures) + " failures",
              {{"failures", std::int64_t{failures}}});
  }
  if (zone_watch_) zone_watch_->OnListChange(change);
  decisions_.OnListChange(change);
  const bool received = change.kind != ListUpdate::kFailed && change.kind != ListUpdate::kCached;
  if (received && (inherited_listener_ || awaiting_pushed_list_)) {
    loop_.Post(alive_, [this] {
      const bool can_start =
          std::exchange(awaiting_pushed_list_, false) && lifecycle_.state() == Lifecycle::State::kStarting;
      if (inherited_listener_ || can_start) StartServing();
    });
  }
  // A server that is leaving gets no new requests: idle connections to it only hold descriptors. Those to an
  // earlier process of a server are of no use either.
  for (const ServerListEvent::Entry& entry : change.entries) {
    if (entry.restarted || !attempt_router_.AcceptsNewWork(entry.server)) servers_.CloseIdle(entry.server);
  }
}

void Sidecar::AcceptConnection() {
  if (static_cast<int>(edges_.size()) >= edge_limit_ && !ShedOldestEdge()) return PauseAccepting();
  auto edge = std::make_unique<EdgeConnection>(loop_, *this, streaming_limit_, request_limit_);
  if (std::exchange(accept_paused_, false)) listener_.Resume();
  if (!edge->Accept(listener_)) {  // no descriptor, or another process accepted it first
    if (!listener_.out_of_descriptors()) return;
    counters_.Add("edges_not_accepted");
    ShedOldestEdge();
    return;
  }
  counters_.Add("edges_accepted");
  EdgeConnection& accepted = *edges_.emplace(edge.get(), std::move(edge)).first->first;
  if (closing_) accepted.CloseWhenIdle();
}

// Clients stay in the kernel's accept queue until an edge connection is free.
void Sidecar::PauseAccepting() {
  accept_paused_ = true;
  listener_.Pause();
  accept_timer_.Start(kAcceptRetryDelay);
}

bool Sidecar::ShedOldestEdge() {
  EdgeConnection* oldest = OldestIdleEdge(edges_);
  if (oldest == nullptr) return false;
  counters_.Add("edges_shed");
  OnClosed(*oldest, EdgeCloseCause::kShed);
  return true;
}

// The largest requests go first: they are rarely those of regular clients.
void Sidecar::OnRequestBufferLimitExceeded() {
  const size_t held = request_limit_.held();
  std::int64_t dropped = 0;
  while (request_limit_.exceeded()) {
    EdgeConnection* edge = EdgeWithLargestUnfinishedRequest(edges_);
    if (edge == nullptr) break;
    edge->DropUnfinishedRequest();
    request_intake_.RespondToDroppedRequest(*edge);
    ++dropped;
  }
  const auto resident_kb = static_cast<std::int64_t>(counters_.Of("now_resident_kb"));
  log_->Say(Event::kMemoryLimit,
            "requests hold " + std::to_string(held) + " bytes, more than their " +
                std::to_string(request_limit_.limit()) + ": dropped " + std::to_string(dropped) +
                " unfinished ones; " + std::to_string(resident_kb) + " kB resident",
            {{"held_bytes", static_cast<std::int64_t>(held)},
             {"limit_bytes", static_cast<std::int64_t>(request_limit_.limit())},
             {"dropped", dropped},
             {"clients", static_cast<std::int64_t>(edges_.size())},
             {"resident_kb", resident_kb}});
}

// Accepts clients from the kernel's queue once an edge connection is free.
void Sidecar::OnIdle() {
  if (!accept_paused_ || !listener_.open()) return;
  loop_.Post(alive_, [this] {
    if (accept_paused_ && listener_.open()) AcceptConnection();
  });
}

void Sidecar::OnClosed(EdgeConnection& edge, EdgeCloseCause cause) {
  const auto it = edges_.find(&edge);
  if (!INVARIANT(it != edges_.end(), counters_)) return;
  std::unique_ptr<EdgeConnection> closed = std::move(it->second);
  edges_.erase(it);
  LogClose(*closed, cause);
  closed->Close();
  if (closed->flow != 0) counters_.Add("flows_left");
  AbandonFlow(*closed, FlowEnd::kClientGone, FlowEndCauseOf(cause));
  loop_.DestroyLater(std::move(closed));
  OnIdle();
  NotifyIfDrained();
}

void Sidecar::LogClose(const EdgeConnection& edge, EdgeCloseCause cause) {
  if (!log_->Enabled(Event::kClientClosed)) return;
  const Flow* flow = edge.flow == 0 ? nullptr : flows_.Find(edge.flow);
  const std::string why(NameOf(cause));
  log_->Say(Event::kClientClosed, "a client's connection ended: " + why,
            {{"why", why},
             {"open_request", flow == nullptr ? std::string() : flow->request.id},
             {"held_bytes", static_cast<std::int64_t>(edge.held_bytes())},
             {"unwritten_bytes", static_cast<std::int64_t>(edge.unwritten_bytes())}});
}

void Sidecar::CheckServer(ServerId server) {
  RunHealthCheck(server, [this, server](Outcome outcome, const std::optional<LoadReport>& load) {
    decisions_.OnCheckResult(server, outcome, load);
  });
}

void Sidecar::RunHealthCheck(ServerId server, CheckCallback done) {
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
    ReportConnectionResult(server, outcome);
    if (zone_watch_) zone_watch_->OnProbeResult(server, outcome);  // for the module's checks too
    done(outcome, answered ? platform_.ParseCheckLoadReport(end.response) : std::nullopt);
  };
  servers_.Start(server, record->address, kHealthCheckTimeout, Time::max(), std::move(events));
}

void Sidecar::Tick() {
  servers_.CloseExpired();
  server_list_.RemoveGone(Clock::now() - kGoneServerRetention);
  OnIdle();
  UpdateGauges();
  tick_.Start(kHousekeepingInterval);
}

void Sidecar::UpdateGauges() {
  counters_.Set("now_clients", edges_.size());
  counters_.Set("now_server_connections", static_cast<std::uint64_t>(servers_.open_connections()));
  counters_.Set("now_open_requests", flows_.size());
  counters_.Set("now_request_bytes", request_limit_.held());
  counters_.Set("now_response_bytes", response_limit_.held());
  counters_.Set("now_streams", streaming_limit_.transfers());
  counters_.Set("now_streaming_bytes", streaming_limit_.held());
  counters_.Set("peak_streaming_bytes", streaming_limit_.peak());
  counters_.Set("now_resident_kb", ResidentBytes() / kBytesPerKb);
  counters_.Set("peak_request_bytes", request_limit_.peak());
  counters_.Set("peak_response_bytes", response_limit_.peak());
}

std::string Sidecar::CheckZonePlan(const std::string& text) const {
  return zone_watch_ ? zone_watch_->CheckDirective(text) : ConsoleOwner::CheckZonePlan(text);
}

void Sidecar::ApplyZonePlan(const std::string& text) { zone_watch_->ApplyDirective(text); }

ConsoleMetrics Sidecar::CurrentMetrics() const {
  ConsoleMetrics metrics = metrics_.figures();
  metrics.concurrent = flows_.fully_received();
  metrics.targets = server_list_.listed_count();
  metrics.targets_disabled = static_cast<std::uint64_t>(decisions_.Avoided());
  return metrics;
}

bool Sidecar::DrainClients() {
  if (!lifecycle_.Drain()) return false;
  counters_.Add("drains");
  log_->Say(Event::kClientsSentAway, config_.name + " drains: its clients are sent elsewhere",
            {{"connections", static_cast<std::int64_t>(edges_.size())}});
  idle_edges_timer_.Start(kDrainIdleGrace);
  return true;
}

bool Sidecar::ReactivateClients() {
  if (!lifecycle_.Activate()) return false;
  counters_.Add("activations");
  log_->Say(Event::kClientsTakenBack, config_.name + " accepts clients again", {});
  idle_edges_timer_.Stop();
  return true;
}

void Sidecar::CloseIdleEdges() {
  std::vector<EdgeConnection*> idle;
  for (const auto& [edge, owned] : edges_) {
    if (edge->idle() && Clock::now() - edge->last_activity() >= kMinIdleTime) idle.push_back(edge);
  }
  for (EdgeConnection* edge : idle) edge->CloseWhenIdle();
  idle_edges_timer_.Start(kIdleSweepInterval);
}

void Sidecar::Shutdown(std::function<void()> on_drained) {
  if (!lifecycle_.Shutdown()) return;
  on_drained_ = std::move(on_drained);
  log_->Say(Event::kDrainBegins,
            config_.name + " is shutting down: " + std::to_string(flows_.size()) + " flows are open",
            {{"open_flows", static_cast<std::int64_t>(flows_.size())}, {"us", MicrosNow()}});
  source_->Deregister();
  start_timer_.Stop();  // a process that does not serve yet never will
  if (inherited_listener_) close(*std::exchange(inherited_listener_, std::nullopt));
  if (replaced()) listener_.Close();  // the other process accepts the queued connections
  const Time now = Clock::now();
  last_request_at_ = now + LastRequestDelay(config_.settings);
  late_requests_from_ = now + LateRequestDelay();
  flow_deadlines_.SetFinalDeadline(now + LastResponseDelay(config_.settings), late_requests_from_);
  close_timer_.Start(GracePeriod(config_.settings));
  unframed_responses_timer_.Start(LastResponseDelay(config_.settings));
}

void Sidecar::Reload(const std::function<Config()>& load) {
  try {
    const Config next = load();
    counters_.Add("reloads");
    const bool other_changes = next.rest != config_.rest;
    const std::string discovery = PrintAddress(next.discovery);
    log_->Say(Event::kReloaded,
              config_.name + " reloaded its configuration: discovery at " + discovery +
                  (other_changes ? "; other changes take effect at the next start" : ""),
              {{"discovery", discovery}, {"more_at_next_start", other_changes}});
    source_->Reload(next);
  } catch (const std::exception& error) {  // no file content may stop a serving sidecar
    counters_.Add("reloads_refused");
    log_->Say(Event::kReloadRefused, config_.name + " keeps the configuration it has: " + error.what(),
              {{"why", std::string(error.what())}});
  }
}

void Sidecar::StartClosing() {
  closing_ = true;
  const auto clients = static_cast<std::int64_t>(edges_.size());
  const auto open_flows = static_cast<std::int64_t>(flows_.size());
  log_->Say(Event::kClosingBegins,
            config_.name + " closes the connections of " + std::to_string(clients) + " clients; " +
                std::to_string(open_flows) + " flows are open",
            {{"clients", clients}, {"open_flows", open_flows}, {"us", MicrosNow()}});
  StopListening();
  std::vector<EdgeConnection*> edges;
  for (const auto& [edge, owned] : edges_) edges.push_back(edge);
  for (EdgeConnection* edge : edges) edge->CloseWhenIdle();
  NotifyIfDrained();
}

// The process may be killed soon, and a response that ends with its connection would then look complete.
void Sidecar::AbortUnframedResponses() {
  std::vector<EdgeConnection*> edges;
  for (const auto& [edge, owned] : edges_) edges.push_back(edge);
  for (EdgeConnection* edge : edges) edge->AbortUnframedResponse();
  unframed_responses_timer_.Start(kIdleSweepInterval);
}

// Connections in the kernel's queue are established and may have sent requests: they are accepted before the
// listener closes.
void Sidecar::StopListening() {
  if (listener_.HasPendingConnection() && Clock::now() < last_request_at_) {
    return stop_listening_timer_.Start(kPendingAcceptRetryDelay);
  }
  accept_paused_ = false;
  listener_.Close();
  NotifyIfDrained();
}

void Sidecar::NotifyIfDrained() {
  const bool done = closing_ && !listener_.open() && edges_.empty();
  if (done && on_drained_) loop_.Post(alive_, std::exchange(on_drained_, nullptr));
}

}  // namespace umberdyke::net

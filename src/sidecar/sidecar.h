// The sidecar: connects edge connections, the flow stages, the decision module and the real servers.
#ifndef UMBERDYKE_SIDECAR_SIDECAR_H_
#define UMBERDYKE_SIDECAR_SIDECAR_H_

#include <functional>
#include <memory>

#include "config/config.h"
#include "console/console.h"
#include "counters/counters.h"
#include "edge/edge_connection.h"
#include "flow/admit.h"
#include "flow/book.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/flow_deadlines.h"
#include "flow/relay.h"
#include "flow/repeat_guard.h"
#include "flow/route.h"
#include "flow/send.h"
#include "flow/take_in.h"
#include "flow/tally.h"
#include "handover/handover.h"
#include "log/log.h"
#include "loop/loop.h"
#include "membership/peer_exchange.h"
#include "membership/server_list.h"
#include "membership/source.h"
#include "passing/message_buffer_limit.h"
#include "passing/streaming_buffer_limit.h"
#include "platform/platform.h"
#include "server/real_server.h"
#include "sidecar/edge_shedding.h"
#include "sidecar/life.h"
#include "sidecar/zone_watch.h"

namespace umberdyke::net {

class Sidecar : public EdgeOwner, public ActionHandler, public ConsoleOwner {
 public:
  // Throws ConfigError if it cannot listen or if the decision module rejects the settings as invalid.
  Sidecar(Loop& loop, const Config& config, std::shared_ptr<log::Log> log);
  ~Sidecar();

  Address address() const { return listener_.address(); }
  // Requires a console address in the configuration.
  Address console_address() const { return console_->address(); }
  // Serves for the grace period, then closes connections after their responses; calls `on_drained` once all
  // are closed.
  void Shutdown(std::function<void()> on_drained);
  // Applies the discovery address of a new configuration. If `load` throws, nothing changes.
  void Reload(const std::function<Config()>& load);
  const Counters& counters() const { return counters_; }

 private:
  bool ReadyToServe() const override { return lifecycle_.ready(); }
  std::string_view StateName() const override { return lifecycle_.name(); }
  ConsoleMetrics CurrentMetrics() const override;
  bool DrainClients() override;
  bool ReactivateClients() override;
  Time ServingSince() const override { return lifecycle_.serving_since(); }
  std::string CheckZonePlan(const std::string& text) const override;
  void ApplyZonePlan(const std::string& text) override;
  std::string ZoneStatusLines() const override { return zone_watch_ ? zone_watch_->StatusLines() : ""; }

  void OnRequest(EdgeConnection& edge, Message message) override;
  void OnStreamingRequest(EdgeConnection& edge, Message head) override;
  void OnBodyData(EdgeConnection& edge) override;
  void OnBodyHeldBack(EdgeConnection& edge) override;
  void OnWritable(EdgeConnection& edge) override;
  void OnInvalidRequest(EdgeConnection& edge, ParseResult why) override;
  void OnRequestTimeout(EdgeConnection& edge) override;
  void OnRequestBufferLimitExceeded() override;
  void OnIdle() override;
  void OnClosed(EdgeConnection& edge, EdgeCloseCause cause) override;

  void SendAttempt(FlowId flow, ServerId server, std::optional<Span> time_out,
                   std::optional<Span> send_within) override;
  void CancelAttempt(FlowId flow, int attempt) override { attempt_sender_.Cancel(flow, attempt); }
  void RejectFlow(FlowId flow, std::chrono::microseconds retry_after) override;
  void FailFlow(FlowId flow) override;
  void WatchServerList(bool on) override { source_->Watch(on); }
  void CheckServer(ServerId server) override;
  using CheckCallback = std::function<void(Outcome outcome, const std::optional<LoadReport>& load)>;
  void RunHealthCheck(ServerId server, CheckCallback done);
  void CloseIdleConnections(ServerId server) override { servers_.CloseIdle(server); }
  void LogModuleText(const std::string& text) override;

  void OnListChange(const ServerListEvent& change);
  void LogClose(const EdgeConnection& edge, EdgeCloseCause cause);
  void AcceptConnection();
  void PauseAccepting();
  bool ShedOldestEdge();
  void AdmitRequest(EdgeConnection& edge, Message message, bool long_body);
  void AbandonFlow(EdgeConnection& edge, FlowEnd ending, FlowEndCause cause);
  const Flow* FindFlowWithClient(FlowId flow);
  void OnResponseHead(FlowId flow, int attempt, const Message& head);
  void OnResponseData(FlowId flow, int attempt, std::string piece);
  void RejectLongResponse(Flow& flow, int attempt);
  void PauseResponse(Flow& flow);
  void OnAttemptEnd(AttemptResult result);
  bool RespondWith(Flow& flow, const AttemptResult& result);
  void ReportConnectionResult(ServerId server, Outcome outcome);
  void OnFlowDeadline(FlowId flow);
  void Tick();
  void UpdateGauges();
  void StartClosing();
  void AbortUnframedResponses();
  void StopListening();
  void NotifyIfDrained();
  void Start();
  void StartWithoutPredecessor();
  void StartServing();
  void OnHandoverChange();
  std::vector<RequestIdHash> SentRequests();
  void AnnounceRequest(const Flow& flow);
  void ShedEdgesDownTo(int edges);
  void CloseIdleEdges();
  // Whether the connection closes after its next response. In a process that shuts down it does so once long
  // responses are turned away, and a connection with pipelined requests stays open until they are answered or
  // last_request_at_ has passed.
  bool ClosesAfterResponse(const EdgeConnection& edge) const {
    if (lifecycle_.state() == Lifecycle::State::kDrained) return true;
    const bool sends_away = replaced() || Clock::now() >= late_requests_from_;
    return sends_away && (!edge.HasPipelinedInput() || Clock::now() >= last_request_at_);
  }
  bool ClosesAfterResponse(const Flow& flow) const { return ClosesAfterResponse(*flow.edge); }
  // Shutting down while another process of this sidecar accepts new connections.
  bool replaced() const {
    return lifecycle_.state() == Lifecycle::State::kShuttingDown && handover_ &&
           handover_->has_serving_successor();
  }

  Loop& loop_;
  const Config config_;
  const std::shared_ptr<log::Log> log_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  Counters counters_;
  Lifecycle lifecycle_;
  const Platform platform_;
  FlowMetrics metrics_;
  StreamingBufferLimit streaming_limit_;
  MessageBufferLimit request_limit_;
  MessageBufferLimit response_limit_;
  FlowTable flows_;
  RepeatGuard repeat_guard_;
  ServerList server_list_;
  std::unique_ptr<MemberSource> source_;
  std::unique_ptr<PeerExchange> peers_;  // if the settings allow it
  RealServers servers_;
  Decisions decisions_;
  const RequestIntake request_intake_;
  FlowDeadlines flow_deadlines_;
  const FlowAdmission flow_admission_;
  const AttemptRouter attempt_router_;
  AttemptSender attempt_sender_;
  const ResponseWriter response_writer_;
  const FlowRecorder flow_recorder_;
  Listener listener_;
  std::unique_ptr<ZoneWatch> zone_watch_;  // if the configuration has a zone plan
  std::unique_ptr<Console> console_;
  std::unique_ptr<Handover> handover_;
  std::optional<int> inherited_listener_;  // the predecessor's listening socket, until serving starts
  int edge_limit_;
  EdgeConnections edges_;
  int discovery_failures_ = 0;  // consecutive
  // Pushed lists apply from the start, so nothing is served before the first one.
  bool awaiting_pushed_list_ = false;
  bool constructed_ = false;
  bool accept_paused_ = false;
  bool closing_ = false;                   // the grace period of the shutdown is over
  Time late_requests_from_ = Time::max();  // requests that arrive from then on need whole responses
  // Shortly before the operator kills the process; every accepted request has its response by then.
  Time last_request_at_{};
  std::function<void()> on_drained_;
  Timer start_timer_;
  Timer accept_timer_;
  Timer close_timer_;
  Timer unframed_responses_timer_;
  Timer stop_listening_timer_;
  Timer idle_edges_timer_;
  Timer tick_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_SIDECAR_H_

// Puts the parts together: edge connections, the chain of stages, the module and the real servers.
#ifndef UMBERDYKE_SIDECAR_SIDECAR_H_
#define UMBERDYKE_SIDECAR_SIDECAR_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "console/console.h"
#include "counters/counters.h"
#include "edge/edge_connection.h"
#include "flow/admit.h"
#include "flow/book.h"
#include "flow/decisions.h"
#include "flow/flow.h"
#include "flow/relay.h"
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
#include "platform/platform.h"
#include "server/real_server.h"
#include "sidecar/life.h"
#include "sidecar/zone_watch.h"

namespace umberdyke::net {

class Sidecar : public EdgeOwner, public ActionHandler, public ConsoleOwner {
 public:
  // Throws ConfigError where it cannot listen or the module finds the settings senseless.
  Sidecar(Loop& loop, const Config& config, std::shared_ptr<log::Log> log);
  ~Sidecar();

  Address address() const { return listener_.address(); }
  // The second address; only where the configuration sets one.
  Address console_address() const { return console_->address(); }
  // Serves on for a while, then ends connections after their answers; `drained` follows once all are closed.
  void Shutdown(std::function<void()> drained);
  // Takes discovery's address from a new configuration; where `load` throws, all stays as it was.
  void Reload(const std::function<Config()>& load);
  const Counters& counters() const { return counters_; }

 private:
  bool ReadyToServe() const override { return lifecycle_.ready(); }
  std::string_view StateName() const override { return lifecycle_.name(); }
  ConsoleMetrics CurrentMetrics() const override;
  bool DrainClients() override;
  bool ReactivateClients() override;
  Time ServingSince() const override { return lifecycle_.since(); }
  std::string CheckZonePlan(const std::string& text) const override;
  void ApplyZonePlan(const std::string& text) override;
  std::string ZoneStatusLines() const override { return zones_ ? zones_->Lines() : ""; }

  void OnRequest(EdgeConnection& edge, Message message) override;
  void OnStreamingRequest(EdgeConnection& edge, Message head) override;
  void OnBodyData(EdgeConnection& edge) override;
  void OnWritable(EdgeConnection& edge) override;
  void OnInvalidRequest(EdgeConnection& edge, ParseResult why) override;
  void OnRequestTimeout(EdgeConnection& edge) override;
  void OnIdle() override;
  void OnClosed(EdgeConnection& edge) override;

  void SendAttempt(FlowId flow, ServerId server, std::optional<Span> time_out,
                   std::optional<Span> send_within) override;
  void CancelAttempt(FlowId flow, int attempt) override { attempt_sender_.Cancel(flow, attempt); }
  void RejectFlow(FlowId flow, std::chrono::microseconds retry_after) override;
  void FailFlow(FlowId flow) override;
  void WatchServerList(bool on) override { source_->Watch(on); }
  void CheckServer(ServerId server) override;
  using Checked = std::function<void(Outcome outcome, const std::optional<LoadReport>& load)>;
  void Check(ServerId server, Checked done);
  void CloseIdleConnections(ServerId server) override { servers_.CloseIdle(server); }
  void LogModuleText(const std::string& text) override;

  void Told(const ServerListEvent& change);
  void AcceptWaiting();
  void LetWait();
  bool ShedOldestEdge();
  void Take(EdgeConnection& edge, Message message, bool long_body);
  void LeaveFlow(EdgeConnection& edge, FlowEnd ending);
  const Flow* Wanted(FlowId flow);
  void AnswerBegins(FlowId flow, int attempt, const Message& head);
  void AnswerPiece(FlowId flow, int attempt, std::string piece);
  void AttemptEnded(AttemptResult result);
  void Heard(ServerId server, Outcome outcome);
  void LastCall(FlowId flow);
  void Tick();
  void CloseEdges();
  void StopListening();
  void TellDrained();
  void Begin();
  void BeginUnlisted();
  void BeginServing();
  void Shared();
  void ShedTo(int edges);
  void CloseIdleEdges();
  // The connection ends with its next answer; one of a process that ends, only when it has answered all that
  // came on it, for as long as there is time: what a connection has brought is owed an answer, pipelined or
  // not.
  bool Leaves(const EdgeConnection& edge) const {
    if (lifecycle_.state() == Lifecycle::State::kDrained) return true;
    return (closing_ || replaced()) && (!edge.HasPipelinedInput() || Clock::now() >= take_until_);
  }
  bool Leaves(const Flow& flow) const { return Leaves(*flow.edge); }
  // Told to end while another process of this sidecar takes what comes.
  bool replaced() const {
    return lifecycle_.state() == Lifecycle::State::kShuttingDown && handover_ && handover_->successor();
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
  FlowTable flows_;
  ServerList server_list_;
  std::unique_ptr<MemberSource> source_;
  std::unique_ptr<PeerExchange> peers_;  // where the settings allow it
  RealServers servers_;
  Decisions decisions_;
  const RequestIntake request_intake_;
  FlowAdmission flow_admission_;
  const AttemptRouter attempt_router_;
  AttemptSender attempt_sender_;
  const ResponseWriter response_writer_;
  const FlowRecorder flow_recorder_;
  Listener listener_;
  std::unique_ptr<ZoneWatch> zones_;  // where there is a plan
  std::unique_ptr<Console> console_;
  std::unique_ptr<Handover> handover_;
  std::optional<int> inherited_;  // the predecessor's listening socket, until this process can serve
  int edge_limit_;
  std::unordered_map<EdgeConnection*, std::unique_ptr<EdgeConnection>> edges_;
  int watch_failures_ = 0;    // in a row
  bool awaits_list_ = false;  // where lists are pushed, they hold from the first moment: none serves before
  bool running_ = false;      // no longer in its constructor
  bool accept_waits_ = false;
  bool closing_ = false;  // told to end, and new connections come no more
  Time take_until_{};     // right before the end is forced; all that was taken has its answer by then
  std::function<void()> drained_;
  Timer begin_timer_;
  Timer accept_timer_;
  Timer close_timer_;
  Timer listener_timer_;
  Timer idle_timer_;
  Timer tick_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_SIDECAR_H_

#include "console/console.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kRequestTimeout = 2s;  // from the accept until the whole request is read
constexpr Span kLinger = 400ms;       // for the client to read the response and close

}  // namespace

class Console::Connection : public StreamCallbacks {
 public:
  Connection(Console& console)
      : console_(console), stream_(console.loop_, this), timeout_(console.loop_, [this] { OnTimeout(); }) {}

  bool Accept(Listener& listener) {
    if (!stream_.Accept(listener)) return false;
    stream_.Read();
    timeout_.Start(kRequestTimeout);
    return true;
  }
  // Stops the timer too: before the deferred destruction the loop still runs the timers that are due.
  void Close() {
    timeout_.Stop();
    stream_.Close();
  }
  bool answered() const { return answered_; }

 private:
  void OnData(std::string_view bytes) override {
    if (answered_) return;  // one request per connection: later bytes are discarded
    size_t used = 0;
    const ParseResult parsed = parser_.Feed(bytes, &used);
    if (parsed == ParseResult::kIncomplete) return;
    if (parsed == ParseResult::kComplete) return Respond(console_.HandleRequest(parser_.Take()));
    console_.counters_.Add("console_malformed");
    Respond(ConsoleErrorResponse(ConsoleErrorFor(parsed)));
  }
  void OnEnd() override { console_.Remove(*this); }
  void OnWritten(bool ok) override {
    if (!ok) console_.Remove(*this);
  }

  // Lingers until the client closes: closing with unread input sends a reset, which can lose the response.
  void Respond(std::string bytes) {
    answered_ = true;
    timeout_.Start(kLinger);
    if (stream_.Write(std::move(bytes)) != Stream::WriteResult::kFailed) stream_.EndSending();
  }

  void OnTimeout() {
    if (answered_ || !parser_.message_started()) return console_.Remove(*this);
    console_.counters_.Add("console_slow");
    Respond(ConsoleErrorResponse(ConsoleErrorFor(ParseResult::kIncomplete)));
  }

  Console& console_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  bool answered_ = false;
  Timer timeout_;
};

Console::Console(Loop& loop, ConsoleOwner& owner, ConsoleIdentity identity, Counters& counters, log::Log& log,
                 int max_connections)
    : loop_(loop),
      owner_(owner),
      identity_(std::move(identity)),
      counters_(counters),
      notes_(identity_.application, counters, log,
             {{"sites",
               {[&owner](const std::string& text) { return owner.CheckZonePlan(text); },
                [&owner](const std::string& text) { owner.ApplyZonePlan(text); }}}}),
      max_connections_(static_cast<size_t>(std::max(1, max_connections))),
      listener_(loop, [this] { OnConnection(); }) {}

Console::~Console() = default;

void Console::OnConnection() {
  if (connections_.size() >= max_connections_) EvictOne();
  auto connection = std::make_unique<Connection>(*this);
  if (!connection->Accept(listener_)) {
    counters_.Add("console_not_accepted");
    return;
  }
  connections_.push_back(std::move(connection));
}

// Prefers an answered connection, which only lingers; else the oldest, which has had the longest time to send
// its request.
void Console::EvictOne() {
  auto it =
      std::find_if(connections_.begin(), connections_.end(), [](const auto& c) { return c->answered(); });
  if (it == connections_.end()) it = connections_.begin();
  counters_.Add("console_shed");
  Remove(**it);
}

std::string Console::HandleRequest(const Message& message) {
  auto request = ParseConsoleRequest(message);
  if (const auto* error = std::get_if<ConsoleError>(&request)) {
    counters_.Add("console_bad_calls");
    return ConsoleErrorResponse(*error);
  }
  counters_.Add("console_calls");
  if (auto* order = std::get_if<FleetOrder>(&request)) return notes_.HandleOrder(std::move(*order));
  if (const auto* note = std::get_if<FleetNoteRequest>(&request)) return notes_.HandleNoteRequest(*note);
  if (const auto* end = std::get_if<EndProcess>(&request)) return EndThisProcess(*end);
  return HandleEndpoint(std::get<ConsoleEndpoint>(request));
}

// Ends the process only if the request names its `life`, so a restarted sidecar is not ended by mistake.
std::string Console::EndThisProcess(const EndProcess& end) {
  if (end.life != notes_.life()) return ConsoleResponse(412, "this is another life\n");
  counters_.Add("console_ends");
  std::raise(SIGTERM);
  return ConsoleResponse(200, "ending\n");
}

std::string Console::HandleEndpoint(ConsoleEndpoint endpoint) {
  switch (endpoint) {
    case ConsoleEndpoint::kReady:
      return owner_.ReadyToServe() ? ConsoleResponse(200, "ready\n") : ConsoleResponse(503, "not ready\n");
    case ConsoleEndpoint::kMetrics:
      return ConsoleResponse(200, FormatMetrics(owner_.CurrentMetrics()));
    case ConsoleEndpoint::kFleet:
      return ConsoleResponse(
          200, "name=" + EscapeMetricName(identity_.name) + "\nversion=" UMBERDYKE_VERSION "\ntier=" +
                   std::to_string(identity_.tier) + "\nstate=" + std::string(owner_.StateName()) +
                   "\nrelease=" + EscapeMetricName(identity_.release) + "\nup_ms=" +
                   std::to_string(UptimeMs()) + "\nresident_kb=" + std::to_string(ResidentBytes() / 1024) +
                   "\n" + notes_.StatusLines() + owner_.ZoneStatusLines() +
                   FormatMetrics(owner_.CurrentMetrics()) + FormatSlower(owner_.CurrentMetrics()));
    case ConsoleEndpoint::kDrain:
      return owner_.DrainClients() ? ConsoleResponse(200, "drained\n")
                                   : ConsoleResponse(409, "it is ending\n");
    case ConsoleEndpoint::kActivate:
      break;
  }
  return owner_.ReactivateClients() ? ConsoleResponse(200, "active\n")
                                    : ConsoleResponse(409, "it is ending\n");
}

std::int64_t Console::UptimeMs() const {
  const Time since = owner_.ServingSince();
  if (since == Time()) return 0;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since).count();
}

void Console::Remove(Connection& connection) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == &connection; });
  if (!INVARIANT(it != connections_.end(), counters_)) return;
  std::unique_ptr<Connection> removed = std::move(*it);
  connections_.erase(it);
  loop_.DestroyLater(std::move(removed));
}

}  // namespace umberdyke::net

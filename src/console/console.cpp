#include "console/console.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kSlowest = 2s;    // for the whole of a call, from the connect on
constexpr Span kLinger = 400ms;  // for the caller to read the answer and close

}  // namespace

class Console::Caller : public StreamCallbacks {
 public:
  Caller(Console& console)
      : console_(console), stream_(console.loop_, this), patience_(console.loop_, [this] { Late(); }) {}

  bool Accept(Listener& listener) {
    if (!stream_.Accept(listener)) return false;
    stream_.Read();
    patience_.Start(kSlowest);
    return true;
  }
  // Its time ends with it: what is buried lives on until the loop has run the timers that are due.
  void Close() {
    patience_.Stop();
    stream_.Close();
  }
  bool answered() const { return answered_; }

 private:
  void OnData(std::string_view bytes) override {
    if (answered_) return;  // one call a connection: what follows is read and thrown away
    size_t used = 0;
    const ParseResult parsed = parser_.Feed(bytes, &used);
    if (parsed == ParseResult::kIncomplete) return;
    if (parsed == ParseResult::kComplete) return Answer(console_.AnswerTo(parser_.Take()));
    console_.counters_.Add("console_malformed");
    Answer(ConsoleErrorResponse(ConsoleErrorFor(parsed)));
  }
  void OnEnd() override { console_.Leave(*this); }
  void OnWritten(bool ok) override {
    if (!ok) console_.Leave(*this);
  }

  // Closed with input unread it would take the answer along: it lingers until the caller has closed.
  void Answer(std::string bytes) {
    answered_ = true;
    patience_.Start(kLinger);
    if (stream_.Write(std::move(bytes)) != Stream::WriteResult::kFailed) stream_.EndSending();
  }

  void Late() {
    if (answered_ || !parser_.message_started()) return console_.Leave(*this);
    console_.counters_.Add("console_slow");
    Answer(ConsoleErrorResponse(ConsoleErrorFor(ParseResult::kIncomplete)));
  }

  Console& console_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  bool answered_ = false;
  Timer patience_;
};

Console::Console(Loop& loop, ConsoleOwner& owner, ConsoleIdentity identity, Counters& counters, log::Log& log,
                 int most_callers)
    : loop_(loop),
      owner_(owner),
      identity_(std::move(identity)),
      counters_(counters),
      notes_(identity_.application, counters, log,
             {{"sites",
               {[&owner](const std::string& text) { return owner.CheckZonePlan(text); },
                [&owner](const std::string& text) { owner.ApplyZonePlan(text); }}}}),
      most_callers_(static_cast<size_t>(std::max(1, most_callers))),
      listener_(loop, [this] { Come(); }) {}

Console::~Console() = default;

void Console::Come() {
  if (callers_.size() >= most_callers_) MakeRoom();
  auto caller = std::make_unique<Caller>(*this);
  if (!caller->Accept(listener_)) {
    counters_.Add("console_not_accepted");
    return;
  }
  callers_.push_back(std::move(caller));
}

// Answered ones only linger; of the others the oldest has had the longest time to send its call.
void Console::MakeRoom() {
  auto it = std::find_if(callers_.begin(), callers_.end(), [](const auto& c) { return c->answered(); });
  if (it == callers_.end()) it = callers_.begin();
  counters_.Add("console_shed");
  Leave(**it);
}

std::string Console::AnswerTo(const Message& message) {
  auto call = ParseConsoleRequest(message);
  if (const auto* none = std::get_if<ConsoleError>(&call)) {
    counters_.Add("console_bad_calls");
    return ConsoleErrorResponse(*none);
  }
  counters_.Add("console_calls");
  if (auto* order = std::get_if<FleetOrder>(&call)) return notes_.Take(std::move(*order));
  if (const auto* note = std::get_if<FleetNoteRequest>(&call)) return notes_.Show(*note);
  if (const auto* end = std::get_if<EndProcess>(&call)) return End(*end);
  return AnswerTo(std::get<ConsoleEndpoint>(call));
}

// The end of this process and of no other: whoever asked knew its life.
std::string Console::End(const EndProcess& end) {
  if (end.life != notes_.life()) return ConsoleResponse(412, "this is another life\n");
  counters_.Add("console_ends");
  std::raise(SIGTERM);
  return ConsoleResponse(200, "ending\n");
}

std::string Console::AnswerTo(ConsoleEndpoint call) {
  switch (call) {
    case ConsoleEndpoint::kReady:
      return owner_.ReadyToServe() ? ConsoleResponse(200, "ready\n") : ConsoleResponse(503, "not ready\n");
    case ConsoleEndpoint::kMetrics:
      return ConsoleResponse(200, FormatMetrics(owner_.CurrentFigures()));
    case ConsoleEndpoint::kFleet:
      return ConsoleResponse(
          200, "name=" + EscapeMetricName(identity_.name) + "\nversion=" UMBERDYKE_VERSION "\ntier=" +
                   std::to_string(identity_.tier) + "\nstate=" + std::string(owner_.StateName()) +
                   "\nrelease=" + EscapeMetricName(identity_.release) + "\nup_ms=" + std::to_string(UpMs()) +
                   "\nresident_kb=" + std::to_string(ResidentBytes() / 1024) + "\n" + notes_.Lines() +
                   owner_.ZoneStatusLines() + FormatMetrics(owner_.CurrentFigures()) +
                   FormatSlower(owner_.CurrentFigures()));
    case ConsoleEndpoint::kDrain:
      return owner_.DrainClients() ? ConsoleResponse(200, "drained\n")
                                   : ConsoleResponse(409, "it is ending\n");
    case ConsoleEndpoint::kActivate:
      break;
  }
  return owner_.ReactivateClients() ? ConsoleResponse(200, "active\n")
                                    : ConsoleResponse(409, "it is ending\n");
}

std::int64_t Console::UpMs() const {
  const Time since = owner_.ServingSince();
  if (since == Time()) return 0;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since).count();
}

void Console::Leave(Caller& caller) {
  const auto it =
      std::find_if(callers_.begin(), callers_.end(), [&](const auto& c) { return c.get() == &caller; });
  if (!INVARIANT(it != callers_.end(), counters_)) return;
  std::unique_ptr<Caller> gone = std::move(*it);
  callers_.erase(it);
  gone->Close();
  loop_.DestroyLater(std::move(gone));
}

}  // namespace umberdyke::net

#include "lab/membership/stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace umberdyke::lab {

using net::Clock;
using net::Message;
using net::Span;
using namespace std::chrono_literals;

// One connection of a caller: a request at a time, answered once its work is done.
class StandIn::Peer : public net::StreamCallbacks {
 public:
  Peer(StandIn& owner) : owner_(owner), stream(owner.loop_, this), done_(owner.loop_, [this] { Answer(); }) {}
  void OnData(std::string_view bytes) override {
    while (!bytes.empty() && stream.open()) {
      size_t used = 0;
      const net::ParseResult parsed = parser_.Feed(bytes, &used);
      bytes.remove_prefix(used);
      if (parsed == net::ParseResult::kIncomplete) return;
      if (parsed != net::ParseResult::kComplete) return Drop();
      owner_.Take(*this, parser_.Take());
    }
  }
  void OnEnd() override { Drop(); }
  void OnWritten(bool ok) override {
    if (!ok) Drop();
  }
  void Work(Span time, const std::string& id, std::string body) {
    body_ = std::move(body);
    request_ = id;
    ++owner_.in_flight_;
    ++owner_.working_[id];
    busy_ = true;
    done_.Start(time);
  }
  void Reply(int status, const std::string& body, const std::vector<net::Header>& headers = {}) {
    if (stream.open()) stream.Write(net::WriteResponse(status, headers, body, true));
  }
  void Close() {
    std::erase_if(owner_.waiting_, [this](const auto& one) { return one.first == this; });
    const bool freed = busy_;
    if (busy_) Finish();
    done_.Stop();
    stream.Close();
    if (freed) owner_.RunNext();
  }

 private:
  void Finish() {
    busy_ = false;
    --owner_.in_flight_;
    if (--owner_.working_[request_] == 0) owner_.working_.erase(request_);
  }
  void Answer() {
    Finish();
    Reply(200, body_, {{"X-Server-Load", owner_.Load()}});
    owner_.RunNext();
  }
  void Drop() {
    if (!stream.open()) return;
    Close();
    owner_.Gone(this);
  }

  StandIn& owner_;

 public:
  net::Stream stream;

 private:
  net::HttpParser parser_{net::HttpParser::Kind::kRequest};
  net::Timer done_;
  std::string body_, request_;
  bool busy_ = false;
};

StandIn::StandIn(net::Loop& loop, nodes::ClientSettings client, Settings settings, Ledger& ledger,
                 std::uint64_t seed)
    : loop_(loop),
      client_settings_(std::move(client)),
      settings_(std::move(settings)),
      ledger_(ledger),
      random_(seed),
      again_(loop, [this] {
        if (client_ == nullptr) return;
        if (std::exchange(expired_, false)) {
          client_->StartNewSession();
        } else {
          Register();
        }
      }) {
  Start();
}

StandIn::~StandIn() {
  for (const auto& peer : peers_) peer->Close();
}

void StandIn::Start() {
  if (listener_ != nullptr) return;
  listener_ = std::make_unique<net::Listener>(loop_, [this] { Come(); });
  if (address_.empty()) address_ = settings_.listen.empty() ? "127.0.0.1:0" : settings_.listen;
  if (!listener_->Listen(*net::ParseAddress(address_)).empty()) {
    listener_.reset();
    return;
  }
  address_ = net::PrintAddress(listener_->address());
  draining_ = false;
  told_draining_ = {};
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  started_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  client_ = std::make_unique<nodes::NodeClient>(
      loop_, client_settings_,
      nodes::NodeClient::Callbacks{[this](nodes::Session session) {
                                     if (session == nodes::Session::kConnected) Register();
                                     expired_ = session == nodes::Session::kExpired;
                                     if (expired_) again_.Start(20ms);
                                   },
                                   [](nodes::WatchEvent, const std::string&) {}});
  client_->Start();
}

std::string StandIn::Data(size_t face) const {
  return nlohmann::json{{"id", settings_.id},
                        {"addr", settings_.faces.empty() ? address_ : settings_.faces[face].second},
                        {"zone", settings_.zone},
                        {"kind", "std"},
                        {"state", draining_ ? "draining" : "ready"},
                        {"weight", 1.0},
                        {"started_ms", started_ms_}}
      .dump();
}

void StandIn::Register() {
  for (size_t face = 0; face < faces(); ++face) Register(face);
}

void StandIn::Register(size_t face) {
  if (client_ == nullptr || !client_->connected()) return;
  client_->CreateEphemeral(Node(face), Data(face), [this, face](int rc) {
    if (rc == nodes::kNodeExists) {
      // Its own, from before the connection broke, or an earlier life's that would vanish under it.
      client_->Get(Node(face), [this, face](int got, const std::string&, const nodes::NodeStat& stat) {
        if (got != nodes::kOk || client_ == nullptr) return;
        if (stat.owner == client_->session_id()) return Declare();  // what changed while it was cut off
        client_->Delete(Node(face), [this](int) { again_.Start(1ms); });
      });
    } else if (rc != nodes::kOk && rc != nodes::kClosing) {
      again_.Start(50ms);
    }
  });
}

void StandIn::Drain() {
  draining_ = true;
  told_draining_ = {};
  Declare();
}

void StandIn::Declare() {
  // Lost with the connection, it is said again on the next one, by Register.
  for (size_t face = 0; client_ != nullptr && face < faces(); ++face)
    client_->Set(Node(face), Data(face), [](int) {});
}

void StandIn::Crash() {
  waiting_.clear();
  for (auto& peer : peers_) {
    loop_.DestroyLater(std::move(peer));
  }
  peers_.clear();
  listener_.reset();
  again_.Stop();
  client_->Abandon();
  client_.reset();
  draining_ = false;
}

void StandIn::Come() {
  auto peer = std::make_unique<Peer>(*this);
  if (!peer->stream.Accept(*listener_)) return;
  peer->stream.Read();
  peers_.push_back(std::move(peer));
}

void StandIn::Gone(Peer* peer) {
  const auto it = std::find_if(peers_.begin(), peers_.end(), [&](const auto& p) { return p.get() == peer; });
  if (it == peers_.end()) return;
  loop_.DestroyLater(std::move(*it));
  peers_.erase(it);
}

std::string StandIn::Load() const {
  return "{\"inflight\":" + std::to_string(in_flight_) + ",\"queue\":" + std::to_string(waiting_.size()) +
         "}";
}

void StandIn::Take(Peer& peer, const Message& request) {
  if (request.target == "/-/load" || request.target == "/-/healthy") return peer.Reply(200, Load());
  const net::Time now = Clock::now();
  if (draining_ && told_draining_ != net::Time() && now - told_draining_ > settings_.drain) {
    ++ledger_.late_to_drained;
    ledger_.latest_to_drained = std::max(ledger_.latest_to_drained, now - told_draining_);
  }
  const std::string* id = request.Find("X-Request-ID");
  if (id == nullptr) return peer.Reply(400, "no id");
  ledger_.seen.insert(*id);
  if (working_.contains(*id)) ++ledger_.at_once;
  if (settings_.slots == 0 || in_flight_ < settings_.slots) return Run(peer, request);
  waiting_.emplace_back(&peer, request);
}

void StandIn::RunNext() {
  if (waiting_.empty() || in_flight_ >= settings_.slots) return;
  const auto [peer, request] = std::move(waiting_.front());
  waiting_.pop_front();
  Run(*peer, request);
}

// From here on it has run, whatever becomes of its connection.
void StandIn::Run(Peer& peer, const Message& request) {
  const net::Time now = Clock::now();
  const std::string& id = *request.Find("X-Request-ID");
  const std::string* key = request.Find("Idempotency-Key");
  const Span work = Span(static_cast<Span::rep>(static_cast<double>(settings_.work.count()) *
                                                std::exponential_distribution<double>(1)(random_)));
  if (key != nullptr) {
    Ledger::Handover& handover = ledger_.keys[*key];
    // Servers of one data centre know one another's keys for as long as they keep them.
    const bool known =
        handover.runs > 0 && handover.zone == settings_.zone && now - handover.first < settings_.key_window;
    if (known) {
      ++ledger_.repeats_dropped;
      return peer.Work(1ms, id, "done before");
    }
    if (handover.runs++ > 0) ++ledger_.doubled;
    handover.first = now;
    handover.zone = settings_.zone;
  }
  if (settings_.took) settings_.took(request);
  ++ledger_.runs;
  peer.Work(work, id, "done by " + settings_.id);
}

}  // namespace umberdyke::lab

#include "membership/peer_exchange.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kQueryInterval = 400ms;  // with jitter, well within the 6 s limit for a change to be known
constexpr size_t kPeersPerQuery = 2;
constexpr size_t kMaxReplyDatagrams = 64;

}  // namespace

PeerExchange::PeerExchange(Loop& loop, const PeerSettings& peers, std::uint64_t seed, MemberSource& source,
                           ServerList& server_list, Counters& counters)
    : settings_(peers),
      source_(source),
      server_list_(server_list),
      counters_(counters),
      random_(seed),
      socket_(loop, [this](const Address& from, std::string_view bytes) { OnDatagram(from, bytes); }),
      tick_(loop, [this] { Tick(); }) {
  const std::string own = PrintAddress(settings_.listen);
  for (const Address& peer : settings_.addresses) {
    if (PrintAddress(peer) == own) continue;
    peers_.push_back(peer);
    peer_addresses_.insert(PrintAddress(peer));
  }
  Tick();
}

void PeerExchange::Tick() {
  const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  tick_.Start(std::chrono::duration_cast<Span>(kQueryInterval * jitter));
  // The process that this one replaces may still be bound to the address; try again every interval.
  if (!socket_.open() && !socket_.Listen(settings_.listen).empty()) return counters_.Add("peers_not_heard");
  if (source_.MayBeStale() && !peers_.empty()) SendQuery();
}

void PeerExchange::SendQuery() {
  const std::string query = EncodePeerQuery({source_.version()});
  std::uniform_int_distribution<size_t> pick(0, peers_.size() - 1);
  for (size_t i = 0; i < kPeersPerQuery; ++i) {
    counters_.Add("peers_asked");
    socket_.Send(peers_[pick(random_)], query);
  }
}

bool PeerExchange::IsKnownPeer(const Address& address) const {
  return peer_addresses_.contains(PrintAddress(address));
}

void PeerExchange::OnDatagram(const Address& from, std::string_view bytes) {
  const std::optional<PeerMessage> message = DecodePeerMessage(bytes);
  if (!message || !IsKnownPeer(from)) return counters_.Add("peer_messages_refused");
  if (const auto* query = std::get_if<PeerQuery>(&*message)) return SendReply(from, *query);
  OnReport(std::get<PeerReport>(*message));
}

void PeerExchange::SendReply(const Address& to, const PeerQuery& query) {
  PeerReport report;
  report.current = !source_.MayBeStale();
  report.closed = server_list_.ClosedSince(query.version);
  if (!report.current && report.closed.empty()) return;
  counters_.Add("peers_answered");
  for (const std::string& bytes : EncodePeerReport(report, kMaxReplyDatagrams)) socket_.Send(to, bytes);
}

void PeerExchange::OnReport(const PeerReport& report) {
  if (!source_.MayBeStale()) return;
  counters_.Add("peer_news");
  if (report.current) source_.OnPeerCurrent();
  server_list_.ApplyPeerReport(report.closed, source_.version());
}

}  // namespace umberdyke::net

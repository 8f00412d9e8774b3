#include "membership/peer_exchange.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr Span kAskEvery = 400ms;  // with jitter, well within the 6 s after which a change is to be known
constexpr size_t kAskedAtOnce = 2;
constexpr size_t kMostDatagrams = 64;  // of one answer

}  // namespace

PeerExchange::PeerExchange(Loop& loop, const PeerSettings& peers, std::uint64_t seed, MemberSource& source,
                           ServerList& server_list, Counters& counters)
    : peers_(peers),
      source_(source),
      server_list_(server_list),
      counters_(counters),
      random_(seed),
      socket_(loop, [this](const Address& from, std::string_view bytes) { Receive(from, bytes); }),
      tick_(loop, [this] { Tick(); }) {
  const std::string own = PrintAddress(peers_.listen);
  for (const Address& peer : peers_.addresses) {
    if (PrintAddress(peer) == own) continue;
    others_.push_back(peer);
    printed_.insert(PrintAddress(peer));
  }
  Tick();
}

void PeerExchange::Tick() {
  const double part = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  tick_.Start(std::chrono::duration_cast<Span>(kAskEvery * part));
  // A process that this one replaces may still hold the address.
  if (!socket_.open() && !socket_.Listen(peers_.listen).empty()) return counters_.Add("peers_not_heard");
  if (source_.MayBeStale() && !others_.empty()) Ask();
}

void PeerExchange::Ask() {
  const std::string question = EncodePeerQuery({source_.version()});
  std::uniform_int_distribution<size_t> any(0, others_.size() - 1);
  for (size_t i = 0; i < kAskedAtOnce; ++i) {
    counters_.Add("peers_asked");
    socket_.Send(others_[any(random_)], question);
  }
}

bool PeerExchange::IsPeer(const Address& address) const { return printed_.contains(PrintAddress(address)); }

void PeerExchange::Receive(const Address& from, std::string_view bytes) {
  const std::optional<PeerMessage> message = DecodePeerMessage(bytes);
  if (!message || !IsPeer(from)) return counters_.Add("peer_messages_refused");
  if (const auto* question = std::get_if<PeerQuery>(&*message)) return Answer(from, *question);
  Take(std::get<PeerReport>(*message));
}

void PeerExchange::Answer(const Address& to, const PeerQuery& question) {
  PeerReport news;
  news.current = !source_.MayBeStale();
  news.closed = server_list_.ClosedSince(question.version);
  if (!news.current && news.closed.empty()) return;
  counters_.Add("peers_answered");
  for (const std::string& bytes : EncodePeerReport(news, kMostDatagrams)) socket_.Send(to, bytes);
}

void PeerExchange::Take(const PeerReport& news) {
  if (!source_.MayBeStale()) return;
  counters_.Add("peer_news");
  if (news.current) source_.OnPeerCurrent();
  server_list_.ApplyPeerReport(news.closed, source_.version());
}

}  // namespace umberdyke::net

// What sidecars of one tier say to each other about the server list, as datagrams of at most 256 bytes.
//
// A sidecar that discovery keeps waiting asks for what has closed (drains or is gone) since the version that
// it holds; whoever knows of any answers. A server is named by a hash of its id and start, so that the word
// on one life of a server says nothing of the next. Pure; numbers are little-endian; what cannot be read is
// nothing.
#ifndef UMBERDYKE_MEMBERSHIP_PEER_MESSAGE_H_
#define UMBERDYKE_MEMBERSHIP_PEER_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberdyke::net {

constexpr size_t kMaxPeerMessageBytes = 256;

// One life of a server: from one start to the next.
using IncarnationHash = std::uint64_t;
IncarnationHash HashIncarnation(std::string_view id, std::optional<std::chrono::milliseconds> started);

struct PeerQuery {
  std::int64_t version = 0;  // of the list that the sender holds
};

struct ClosedServer {
  IncarnationHash incarnation = 0;
  std::uint32_t version = 0;  // of the list that told it
  friend bool operator==(const ClosedServer&, const ClosedServer&) = default;
};

struct PeerReport {
  bool current = false;  // the sender's watch on discovery is open
  std::vector<ClosedServer> closed;
};

using PeerMessage = std::variant<PeerQuery, PeerReport>;

std::string EncodePeerQuery(const PeerQuery& query);
// As many datagrams as it takes, at least one and at most so many; the oldest come first.
std::vector<std::string> EncodePeerReport(const PeerReport& report, size_t max_datagrams);
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_PEER_MESSAGE_H_

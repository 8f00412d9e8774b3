// Messages between the sidecars of one tier about the server list, as datagrams of at most 256 bytes.
//
// A sidecar without a live watch on discovery queries its peers for servers that were closed (draining or
// gone) since the version that it holds, and peers that know any reply with a report. A server is identified
// by a hash of its id and start time, because a report about one incarnation must not apply to the next one.
// Pure, without I/O. Numbers are little-endian.
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

// Identifies one incarnation of a server, the time from one start to the next.
using IncarnationHash = std::uint64_t;
IncarnationHash HashIncarnation(std::string_view id, std::optional<std::chrono::milliseconds> started);

struct PeerQuery {
  std::int64_t version = 0;  // of the sender's list
};

struct ClosedServer {
  IncarnationHash incarnation = 0;
  std::uint32_t version = 0;  // of the list in which it was closed
  friend bool operator==(const ClosedServer&, const ClosedServer&) = default;
};

struct PeerReport {
  bool current = false;  // the sender's watch on discovery is open
  std::vector<ClosedServer> closed;
};

using PeerMessage = std::variant<PeerQuery, PeerReport>;

std::string EncodePeerQuery(const PeerQuery& query);
// Splits the report into one to `max_datagrams` datagrams, keeping its order (oldest first). Servers that do
// not fit are left out.
std::vector<std::string> EncodePeerReport(const PeerReport& report, size_t max_datagrams);
// Returns nothing for a malformed message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_PEER_MESSAGE_H_

#include "membership/peer_message.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

constexpr std::string_view kMagic = "UDL1";
constexpr char kQueryType = 'Q';
constexpr char kReportType = 'N';
constexpr size_t kHeaderSize = kMagic.size() + 1;
constexpr size_t kQuerySize = kHeaderSize + sizeof(std::int64_t);
constexpr size_t kReportHeaderSize = kHeaderSize + 1;
constexpr size_t kEntrySize = sizeof(IncarnationHash) + sizeof(std::uint32_t);
constexpr size_t kEntriesPerDatagram = (kMaxPeerMessageBytes - kReportHeaderSize) / kEntrySize;

template <typename Number>
void AppendLittleEndian(Number value, std::string* to) {
  for (size_t i = 0; i < sizeof value; ++i) to->push_back(static_cast<char>(value >> (8 * i)));
}

template <typename Number>
Number ReadLittleEndian(std::string_view from) {
  Number value = 0;
  for (size_t i = 0; i < sizeof value; ++i) {
    value |= static_cast<Number>(static_cast<unsigned char>(from[i])) << (8 * i);
  }
  return value;
}

std::optional<PeerMessage> DecodeReport(std::string_view bytes) {
  if (bytes.size() < kReportHeaderSize || (bytes.size() - kReportHeaderSize) % kEntrySize != 0)
    return std::nullopt;
  PeerReport report;
  report.current = bytes[kHeaderSize] != 0;
  for (size_t at = kReportHeaderSize; at < bytes.size(); at += kEntrySize) {
    const std::string_view entry = bytes.substr(at, kEntrySize);
    report.closed.push_back({ReadLittleEndian<IncarnationHash>(entry),
                             ReadLittleEndian<std::uint32_t>(entry.substr(sizeof(IncarnationHash)))});
  }
  return report;
}

}  // namespace

// FNV-1a.
IncarnationHash HashIncarnation(std::string_view id, std::optional<std::chrono::milliseconds> started) {
  IncarnationHash hash = 0xcbf29ce484222325;
  const auto mix = [&hash](unsigned char byte) { hash = (hash ^ byte) * 0x100000001b3; };
  for (const char c : id) mix(static_cast<unsigned char>(c));
  std::string start;
  AppendLittleEndian<std::int64_t>(started ? started->count() : 0, &start);
  for (const char c : start) mix(static_cast<unsigned char>(c));
  return hash;
}

std::string EncodePeerQuery(const PeerQuery& query) {
  std::string bytes(kMagic);
  bytes += kQueryType;
  AppendLittleEndian(query.version, &bytes);
  return bytes;
}

std::vector<std::string> EncodePeerReport(const PeerReport& report, size_t max_datagrams) {
  std::vector<std::string> datagrams;
  size_t next = 0;
  do {
    std::string bytes(kMagic);
    bytes += kReportType;
    bytes += static_cast<char>(report.current ? 1 : 0);
    const size_t end = std::min(next + kEntriesPerDatagram, report.closed.size());
    for (; next < end; ++next) {
      AppendLittleEndian(report.closed[next].incarnation, &bytes);
      AppendLittleEndian(report.closed[next].version, &bytes);
    }
    datagrams.push_back(std::move(bytes));
  } while (next < report.closed.size() && datagrams.size() < max_datagrams);
  return datagrams;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes || bytes.size() < kHeaderSize) return std::nullopt;
  if (bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  const char kind = bytes[kMagic.size()];
  if (kind == kReportType) return DecodeReport(bytes);
  if (kind != kQueryType || bytes.size() != kQuerySize) return std::nullopt;
  return PeerQuery{ReadLittleEndian<std::int64_t>(bytes.substr(kHeaderSize))};
}

}  // namespace umberdyke::net

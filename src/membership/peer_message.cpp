#include "membership/peer_message.h"

#include <algorithm>

namespace umberdyke::net {
namespace {

constexpr std::string_view kMagic = "UDL1";
constexpr char kQuestion = 'Q';
constexpr char kNews = 'N';
constexpr size_t kHead = kMagic.size() + 1;
constexpr size_t kQuestionSize = kHead + sizeof(std::int64_t);
constexpr size_t kNewsHead = kHead + 1;
constexpr size_t kEntrySize = sizeof(IncarnationHash) + sizeof(std::uint32_t);
constexpr size_t kEntriesEach = (kMaxPeerMessageBytes - kNewsHead) / kEntrySize;

template <typename Number>
void Put(Number value, std::string* to) {
  for (size_t i = 0; i < sizeof value; ++i) to->push_back(static_cast<char>(value >> (8 * i)));
}

template <typename Number>
Number Get(std::string_view from) {
  Number value = 0;
  for (size_t i = 0; i < sizeof value; ++i) {
    value |= static_cast<Number>(static_cast<unsigned char>(from[i])) << (8 * i);
  }
  return value;
}

std::optional<PeerMessage> ReadNews(std::string_view bytes) {
  if (bytes.size() < kNewsHead || (bytes.size() - kNewsHead) % kEntrySize != 0) return std::nullopt;
  PeerReport news;
  news.current = bytes[kHead] != 0;
  for (size_t at = kNewsHead; at < bytes.size(); at += kEntrySize) {
    const std::string_view entry = bytes.substr(at, kEntrySize);
    news.closed.push_back(
        {Get<IncarnationHash>(entry), Get<std::uint32_t>(entry.substr(sizeof(IncarnationHash)))});
  }
  return news;
}

}  // namespace

// FNV-1a.
IncarnationHash HashIncarnation(std::string_view id, std::optional<std::chrono::milliseconds> started) {
  IncarnationHash hash = 0xcbf29ce484222325;
  const auto take = [&hash](unsigned char byte) { hash = (hash ^ byte) * 0x100000001b3; };
  for (const char c : id) take(static_cast<unsigned char>(c));
  std::string start;
  Put<std::int64_t>(started ? started->count() : 0, &start);
  for (const char c : start) take(static_cast<unsigned char>(c));
  return hash;
}

std::string EncodePeerQuery(const PeerQuery& question) {
  std::string bytes(kMagic);
  bytes += kQuestion;
  Put(question.version, &bytes);
  return bytes;
}

std::vector<std::string> EncodePeerReport(const PeerReport& news, size_t most) {
  std::vector<std::string> all;
  size_t next = 0;
  do {
    std::string bytes(kMagic);
    bytes += kNews;
    bytes += static_cast<char>(news.current ? 1 : 0);
    const size_t end = std::min(next + kEntriesEach, news.closed.size());
    for (; next < end; ++next) {
      Put(news.closed[next].life, &bytes);
      Put(news.closed[next].version, &bytes);
    }
    all.push_back(std::move(bytes));
  } while (next < news.closed.size() && all.size() < most);
  return all;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes || bytes.size() < kHead) return std::nullopt;
  if (bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  const char kind = bytes[kMagic.size()];
  if (kind == kNews) return ReadNews(bytes);
  if (kind != kQuestion || bytes.size() != kQuestionSize) return std::nullopt;
  return PeerQuery{Get<std::int64_t>(bytes.substr(kHead))};
}

}  // namespace umberdyke::net

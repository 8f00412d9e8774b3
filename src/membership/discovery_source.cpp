#include "membership/discovery_source.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

// Discovery writes at least every 2 s, and whatever it has to tell counts as told after 6 s. So a watch that
// is silent for longer is broken, and silence, the module's wait and a new call must fit into these 6 s.
constexpr Span kLongestSilence = 2700ms;
constexpr Span kLongestCall = 2300ms;  // for the first bytes; calls there wait in turn, for 2 s at most
constexpr size_t kLongestLine = 4 * 1024 * 1024;
// After a move the list counts as told within 4 s: until then nobody else is waited for.
constexpr Span kHurry = 4s;
constexpr Span kHurryPace = 150ms;

}  // namespace

ListWatch::ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Owner owner)
    : request_(Platform::WatchRequest(version, PrintAddress(discovery))),
      owner_(std::move(owner)),
      stream_(loop, this),
      silence_(loop, [this] { Broken("it fell silent"); }) {
  parser_.StreamBodyTo([this](std::string_view bytes) { TakeBody(bytes); });
  silence_.Start(kLongestCall);
  if (!stream_.Connect(discovery)) silence_.Start(0ms);
}

void ListWatch::OnConnected(bool ok) {
  if (!ok) return Broken("discovery could not be reached");
  stream_.Read();
  if (stream_.Write(request_) == Stream::Wrote::kBroken) Broken("the request could not be written");
}

void ListWatch::OnData(std::string_view bytes) {
  silence_.Start(kLongestSilence);
  size_t used = 0;
  const Parsed parsed = parser_.Feed(bytes, &used);
  if (!stream_.open()) return;  // told of a change, the module may have ended the watch
  if (parsed == Parsed::kMore && !broken_body_ && (!parser_.head_done() || parser_.message().status == 200)) {
    return;
  }
  Broken("it ended or made no sense");
}

// Lines may be split anywhere, and empty ones only say that the watch lives.
void ListWatch::TakeBody(std::string_view bytes) {
  if (parser_.message().status != 200) return;
  while (!bytes.empty() && stream_.open()) {
    const size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > kLongestLine) broken_body_ = true;
    if (end == std::string_view::npos || broken_body_) return;
    bytes.remove_prefix(end + 1);
    const std::string line = std::move(line_);
    line_.clear();
    if (line.find_first_not_of(" \r\t") != std::string::npos) owner_.line(line);
  }
}

void ListWatch::Broken(const char* why) {
  if (!stream_.open()) return;
  Close();
  owner_.broken(why);
}

void ListWatch::Close() {
  silence_.Stop();
  stream_.Close();
}

DiscoverySource::DiscoverySource(Loop& loop, const Platform& platform, const Address& discovery,
                                 std::int64_t version, Counters& counters, Owner owner)
    : loop_(loop),
      platform_(platform),
      discovery_(discovery),
      counters_(counters),
      owner_(std::move(owner)),
      version_(version),
      again_(loop, [this] {
        if (wanted_ && watch_ == nullptr) Ask();
      }) {}

void DiscoverySource::Watch(bool on) {
  wanted_ = on;
  if (!on) {
    Drop(watch_);
    Drop(old_);
  } else if (watch_ == nullptr) {
    Ask();
  }
}

void DiscoverySource::MoveTo(const Address& discovery) {
  if (PrintAddress(discovery) == PrintAddress(discovery_)) return;
  counters_.Add("discovery_moves");
  discovery_ = discovery;
  version_ = 0;  // another service may count its versions anew
  hurry_until_ = Clock::now() + kHurry;
  // A second move before the first has told anything: the watch before both is the one that knows the list.
  if (old_ == nullptr) {
    old_ = std::move(watch_);
  } else {
    Drop(watch_);
  }
  if (wanted_) Ask();
}

void DiscoverySource::Ask() {
  counters_.Add("discovery_calls");
  again_.Stop();
  // Which of the two watches a line is from shows in whether it is still the new one.
  const auto place = std::make_shared<ListWatch*>(nullptr);
  watch_ = std::make_unique<ListWatch>(
      loop_, discovery_, version_,
      ListWatch::Owner{[this, place](std::string_view line) { TakeLine(line, *place != watch_.get()); },
                       [this, place](const char* why) {
                         if (*place == watch_.get()) return Broken(why);
                         Drop(old_);
                       }});
  *place = watch_.get();
}

void DiscoverySource::TakeLine(std::string_view line, bool from_old) {
  const auto change = platform_.ReadList(line);
  if (!change) {
    counters_.Add("discovery_unreadable");
    return;
  }
  counters_.Add("discovery_changes");
  if (!from_old) {
    version_ = change->full ? change->version : std::max(version_, change->version);
    Drop(old_);
  }
  owner_.told(*change, change->full ? ListUpdate::kComplete : ListUpdate::kChanges);
}

void DiscoverySource::Broken(const char* why) {
  Drop(watch_);
  counters_.Add("discovery_broken");
  if (Clock::now() < hurry_until_) return again_.Start(kHurryPace);
  owner_.failed(why);
}

void DiscoverySource::Drop(std::unique_ptr<ListWatch>& watch) {
  if (watch == nullptr) return;
  watch->Close();
  loop_.Bury(std::move(watch));
}

}  // namespace umberdyke::net

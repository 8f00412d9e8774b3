#include "membership/file_source.h"

#include "files/files.h"

namespace umberdyke::net {
namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxFileBytes = size_t{8} << 20;

}  // namespace

FileSource::FileSource(Loop& loop, const Platform& platform, std::string path, Counters& counters,
                       log::Log& log, Callbacks callbacks)
    : platform_(platform),
      path_(std::move(path)),
      counters_(counters),
      log_(log),
      callbacks_(std::move(callbacks)),
      read_timer_(loop, [this] { ReadFile(); }) {}

void FileSource::Watch(bool on) {
  if (on && !wanted_) read_timer_.Start(0ms);
  wanted_ = on;
}

void FileSource::Reload(const Config& next) {
  if (next.membership) path_ = next.membership->path;
  if (wanted_) read_timer_.Start(0ms);
}

void FileSource::ReadFile() {
  const files::ReadResult read = files::ReadFile(path_, kMaxFileBytes);
  const auto list = read.error.empty() ? platform_.ParseServerList(read.text) : std::nullopt;
  // An unreadable entry would drop its server from the list, so the whole file is rejected and the old list
  // stays.
  const std::string why = !read.error.empty()    ? read.error
                          : !list                ? path_ + ": not a list of servers"
                          : list->unreadable > 0 ? path_ + ": contains entries that cannot be parsed"
                                                 : "";
  if (!why.empty()) {
    counters_.Add("membership_file_refused");
    log_.Say(log::Event::kMembershipRefused, "the list of servers stays unchanged: " + why, {{"why", why}});
    return;
  }
  counters_.Add("membership_file_read");
  callbacks_.on_list(*list, ListUpdate::kComplete);
}

}  // namespace umberdyke::net

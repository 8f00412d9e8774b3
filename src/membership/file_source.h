// Membership from a file in discovery's format, for sites whose servers seldom change and for experiments.
// The file is read at the start and on every reload. If it cannot be read, the list stays unchanged.
#ifndef UMBERDYKE_MEMBERSHIP_FILE_SOURCE_H_
#define UMBERDYKE_MEMBERSHIP_FILE_SOURCE_H_

#include <string>

#include "membership/source.h"

namespace umberdyke::net {

class FileSource : public MemberSource {
 public:
  FileSource(Loop& loop, const Platform& platform, std::string path, Counters& counters, log::Log& log,
             Callbacks callbacks);
  void Watch(bool on) override;
  void Reload(const Config& next) override;

 private:
  void ReadFile();

  const Platform& platform_;
  std::string path_;
  Counters& counters_;
  log::Log& log_;
  const Callbacks callbacks_;
  bool wanted_ = false;
  Timer read_timer_;  // delays on_list until Watch() or Reload() has returned
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_FILE_SOURCE_H_

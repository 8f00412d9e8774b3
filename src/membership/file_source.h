// A list that stands in a file, in discovery's form: for sites whose servers seldom change, and for trying
// things. It is read at the start and on every reload; a file that cannot be read leaves the list as it is.
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
  Timer read_timer_;  // the list is never told from inside the call that asks for it
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_FILE_SOURCE_H_

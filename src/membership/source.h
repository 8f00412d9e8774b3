// Where the list of servers comes from. A source tells whole lists and changes; what becomes of them is the
// service entry's and the decision module's business.
//
// This room (src/membership) may not know flows. Each source is one file; MakeSource picks by the
// configuration.
#ifndef UMBERDYKE_MEMBERSHIP_SOURCE_H_
#define UMBERDYKE_MEMBERSHIP_SOURCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "counters/counters.h"
#include "log/log.h"
#include "loop/loop.h"
#include "platform/platform.h"

namespace umberdyke::net {

class MemberSource {
 public:
  struct Callbacks {
    std::function<void(const ServerListChange& change, ListUpdate kind)> on_list;
    // The watch broke: the module says when to ask again. A source that sees to that by itself never calls
    // it.
    std::function<void(const std::string& why)> on_failure;
  };

  virtual ~MemberSource() = default;
  // The module wants the list and its changes from now on, or no longer.
  virtual void Watch(bool on) = 0;
  // The version of the list that this sidecar holds; 0 where the source counts none.
  virtual std::int64_t version() const { return 0; }
  // Whether the source has not been heard lately, so that the list may be old.
  virtual bool MayBeStale() const { return false; }
  // Another sidecar has told what has closed lately: the source need not be pressed.
  virtual void OnPeerCurrent() {}
  // A configuration that was read anew.
  virtual void Reload(const Config& next) = 0;
  // How the sidecar's own connections to a server fare.
  virtual void OnConnectionResult(const std::string& /*id*/, bool /*connected*/) {}
  // The sidecar is about to end: whoever follows it by this source is told.
  virtual void Deregister() {}
};

// `known` is the list that the sidecar starts with. Throws ConfigError where the source cannot be had.
std::unique_ptr<MemberSource> MakeSource(Loop& loop, const Platform& platform, const Config& config,
                                         const ServerListChange& known, Counters& counters, log::Log& log,
                                         MemberSource::Callbacks callbacks);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SOURCE_H_

// The interface of membership sources, which supply the list of servers: discovery, a coordination service or
// a file. A source reports complete lists and changes; the server list and the decision module apply them.
//
// src/membership must not depend on flows. Each source has a file of its own; MakeSource selects one by the
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
    // The watch failed and the decision module decides when to retry. Sources that retry on their own never
    // call it.
    std::function<void(const std::string& why)> on_failure;
  };

  virtual ~MemberSource() = default;
  // Starts or stops following the list on behalf of the decision module.
  virtual void Watch(bool on) = 0;
  // The version of the list that this sidecar holds; 0 if the source has no versions.
  virtual std::int64_t version() const { return 0; }
  // Whether the source has no live watch, in which case the list may be out of date.
  virtual bool MayBeStale() const { return false; }
  // Another sidecar with a live watch reported recently closed servers, so the source can retry less often.
  virtual void OnPeerCurrent() {}
  // Applies a reloaded configuration.
  virtual void Reload(const Config& next) = 0;
  // Whether a connection of this sidecar to the server succeeded.
  virtual void OnConnectionResult(const std::string& /*id*/, bool /*connected*/) {}
  // The sidecar is shutting down: removes its own registration, if it has one.
  virtual void Deregister() {}
};

// `known` is the list that the sidecar starts with. Throws ConfigError if the source cannot be created.
std::unique_ptr<MemberSource> MakeSource(Loop& loop, const Platform& platform, const Config& config,
                                         const ServerListChange& known, Counters& counters, log::Log& log,
                                         MemberSource::Callbacks callbacks);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SOURCE_H_

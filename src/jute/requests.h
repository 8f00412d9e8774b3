// ZooKeeper operation codes, and the reserved transaction ids (xids) of messages that are not replies to
// calls.
#ifndef UMBERDYKE_JUTE_REQUESTS_H_
#define UMBERDYKE_JUTE_REQUESTS_H_

#include <cstdint>

namespace umberdyke::jute {

enum Request : std::int32_t {
  kCreate = 1,
  kDelete = 2,
  kExists = 3,
  kGet = 4,
  kSet = 5,
  kGetAcl = 6,
  kSetAcl = 7,
  kGetChildren = 8,
  kSync = 9,
  kPing = 11,
  kGetChildren2 = 12,
  kCheck = 13,
  kMulti = 14,
  kCreate2 = 15,
  kAuth = 100,
  kSetWatches = 101,
  kClose = -11,
};

constexpr std::int32_t kWatchEventXid = -1, kPingXid = -2, kAuthXid = -4, kSetWatchesXid = -8;

}  // namespace umberdyke::jute

#endif  // UMBERDYKE_JUTE_REQUESTS_H_

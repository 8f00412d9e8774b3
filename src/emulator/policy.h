// Who decides for one caller: the module itself, or a reference policy for comparison. One interface, the
// module's own: events in, actions out, no clock.
#ifndef UMBERDYKE_EMULATOR_POLICY_H_
#define UMBERDYKE_EMULATOR_POLICY_H_

#include <memory>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"
#include "umberdyke/balancer.h"

namespace umberdyke::emulator {

// What the ending of an attempt proves. For the model and the reference policies; the module has its own.
inline bool NeverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// What a policy says (Log) where it takes a zone for lost.
constexpr const char* kZoneLost = "zone-lost";

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void OnList(Micros now, ListUpdate kind, const std::vector<UpstreamEntry>& entries,
                      Actions* out) = 0;
  virtual void OnRequest(Micros now, const Request& request, Actions* out) = 0;
  virtual void OnAttemptEnd(Micros now, const AttemptEnd& end, Actions* out) = 0;
  virtual void OnClientGone(Micros now, RequestId request, Actions* out) = 0;
  virtual void OnTimer(Micros now, std::uint64_t token, Actions* out) = 0;
  virtual void OnCheck(Micros now, UpstreamId upstream, Outcome outcome,
                       const std::optional<LoadReport>& report, Actions* out) = 0;
};

// What only a policy that sees everything may look at.
class Truth {
 public:
  virtual ~Truth() = default;
  virtual double InSystem(UpstreamId upstream) const = 0;
  virtual double Backlog(UpstreamId upstream) const = 0;  // microseconds until a call that came now would run
  virtual double Speed(UpstreamId upstream) const = 0;
  virtual bool Serves(UpstreamId upstream) const = 0;  // up, and not failing
  virtual double Work(RequestId request) const = 0;    // microseconds at full speed
  // Work that the tier's servers which a zone reaches do in a microsecond, as they are.
  virtual double Able(int tier, int zone) const = 0;
  virtual bool Reaches(int zone, UpstreamId upstream) const = 0;
  // For one that decides for all sidecars: two figures kept for it, for each tier, and apart for a zone that
  // is cut off.
  virtual double* budget(int tier, int zone) const = 0;
};

// module, plan (the module with a watch over zones), random, round-robin, least-connections, p2c, bloc, jsq
// (sees every queue), oracle (sees all work), bound (sees all, and lets in no more than can be done, the
// dearest first).
const std::vector<std::string>& PolicyNames();

struct Caller {
  const Settings& settings;
  const Scenario& scenario;
  std::uint64_t seed;
  Stream& picks;  // shared by the reference policies
  const Truth& truth;
};
// Throws ScenarioError for an unknown name.
std::unique_ptr<Policy> MakePolicy(const std::string& name, const Caller& caller, Micros now, Actions* out);

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_POLICY_H_

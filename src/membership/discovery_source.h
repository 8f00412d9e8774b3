// The platform's discovery: a watch over HTTP. When to ask is the module's to say; a watch that ends, fails
// or falls silent is reported once. Only a move to another address, which the module knows nothing of, is
// seen through here.
#ifndef UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_
#define UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_

#include <functional>
#include <memory>
#include <string>

#include "membership/source.h"

namespace umberdyke::net {

// One call for the list and its changes, until it ends, makes no sense or falls silent.
class ListWatch : public StreamUser {
 public:
  struct Owner {
    std::function<void(std::string_view)> line;  // without empty ones
    std::function<void(const char*)> broken;     // once; the watch may be destroyed after this returns
  };
  ListWatch(Loop& loop, const Address& discovery, std::int64_t version, Owner owner);
  void Close();

 private:
  void OnConnected(bool ok) override;
  void OnData(std::string_view bytes) override;
  void OnEnd() override { Broken("it ended"); }
  void OnWritten(bool ok) override {
    if (!ok) Broken("the request could not be written");
  }
  void TakeBody(std::string_view bytes);
  void Broken(const char* why);

  const std::string request_;
  const Owner owner_;
  Stream stream_;
  HttpParser parser_{HttpParser::Kind::kResponse};
  std::string line_;
  bool broken_body_ = false;
  Timer silence_;
};

class DiscoverySource : public MemberSource {
 public:
  // `version` is the one of the list that the sidecar holds already.
  DiscoverySource(Loop& loop, const Platform& platform, const Address& discovery, std::int64_t version,
                  Counters& counters, Owner owner);

  void Watch(bool on) override;
  void Reload(const Config& next) override { MoveTo(next.discovery); }

 private:
  // Discovery stands elsewhere from now on. Its list is asked for whole there; the old watch goes on until
  // the new one tells something, and for a while a new one that fails is asked for again at once.
  void MoveTo(const Address& discovery);
  void Ask();
  void TakeLine(std::string_view line, bool from_old);
  void Broken(const char* why);
  void Drop(std::unique_ptr<ListWatch>& watch);

  Loop& loop_;
  const Platform& platform_;
  Address discovery_;
  Counters& counters_;
  const Owner owner_;
  std::int64_t version_;
  bool wanted_ = false;
  std::unique_ptr<ListWatch> watch_;
  std::unique_ptr<ListWatch> old_;  // at the address before the last move
  Time hurry_until_{};
  Timer again_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_DISCOVERY_SOURCE_H_

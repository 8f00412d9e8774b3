// Discovery's list as this sidecar holds it, and the watch that keeps it fresh. When to ask is the module's
// to say; a watch that ends, fails or falls silent is reported once. Only a move to another address, which
// the module knows nothing of, is seen through here.
#ifndef UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_
#define UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "counters/counters.h"
#include "loop/loop.h"
#include "platform/platform.h"

namespace umberdyke::net {

using ServerId = UpstreamId;

struct ServerRecord {
  std::string id;
  Address address{};
  UpstreamState state = UpstreamState::kReady;
  Time gone{};  // when the list told that it has gone
};

struct ListChange {
  ListUpdate kind;
  struct Entry {
    ServerId server;
    ListedServer listed;
  };
  std::vector<Entry> entries;
  std::string why;  // of kFailed
};

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

class ServiceEntry {
 public:
  using Told = std::function<void(const ListChange&)>;
  ServiceEntry(Loop& loop, const Platform& platform, const Address& discovery, Counters& counters, Told told);

  // Takes the list that the sidecar was started with.
  void TakeKnown(const std::string& json);
  void Watch(bool on);
  // Discovery stands elsewhere from now on. Its list is asked for whole there; the old watch goes on until
  // the new one tells something, and for a while a new one that fails is asked for again at once.
  void MoveTo(const Address& discovery);
  // Null for a number that no list gave.
  const ServerRecord* Find(ServerId server) const {
    const auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
  }
  size_t size() const { return servers_.size(); }
  // Lets go of servers that have long gone: they are replaced all day, by others with other ids.
  void Forget(Time gone_before);

 private:
  void Ask();
  void Take(const ListedChange& change, ListUpdate kind);
  void TakeLine(std::string_view line, bool from_old);
  void Broken(const char* why);
  void Drop(std::unique_ptr<ListWatch>& watch);

  Loop& loop_;
  const Platform& platform_;
  Address discovery_;
  Counters& counters_;
  const Told told_;
  std::unordered_map<ServerId, ServerRecord> servers_;
  std::unordered_map<std::string, ServerId> numbers_;
  ServerId next_ = 0;  // numbers are not used again
  std::int64_t version_ = 0;
  bool wanted_ = false;
  std::unique_ptr<ListWatch> watch_;
  std::unique_ptr<ListWatch> old_;  // at the address before the last move
  Time hurry_until_{};
  Timer again_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_MEMBERSHIP_SERVICE_ENTRY_H_

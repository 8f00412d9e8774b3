// Hands the clients' listening socket from the running process of a sidecar to the process that replaces it,
// over a Unix socket in a folder that both can access. docs/note-running.md gives the reasons for this
// design.
//
// This module knows nothing of flows or limits. It finds the other process, passes the socket, and notifies
// its owner when the other process connects, serves or exits. If anything is wrong with the folder or the
// other process, the sidecar starts as if there were none.
#ifndef UMBERDYKE_HANDOVER_HANDOVER_H_
#define UMBERDYKE_HANDOVER_HANDOVER_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "counters/counters.h"
#include "log/log.h"
#include "loop/loop.h"

namespace umberdyke::net {

// What another process of the sidecar is to this one.
enum class HandoverRole { kPredecessor, kSuccessor };

// The states of the link to another process, for the log.
enum class HandoverLinkState {
  kConnected,
  kListenerPassed,
  kListenerRefused,
  kServing,             // the successor serves clients
  kEnded,               // found by an event of the link
  kEndedBeforeRequest,  // found as a request was admitted
};

// Cuts what arrives on a link into records: a kind of one byte and, for an announced request, its hash.
class HandoverRecords {
 public:
  struct Handlers {
    std::function<void()> on_serving;
    std::function<void(std::uint64_t id_hash)> on_request;
  };
  // Returns false if the bytes are no records.
  bool Feed(std::string_view bytes, const Handlers& handlers);

 private:
  std::string partial_;  // the beginning of a record
};

class Handover {
 public:
  // What came of a request for the listening socket.
  struct ListenerReply {
    std::optional<int> listener;
    bool refused = false;  // a process replied, or ended the link, without passing the socket
  };
  struct Owner {
    std::function<int()> listener_fd;  // the socket to pass, or -1 if there is none now
    std::function<void()> on_change;   // the other process has connected, serves or has exited
    // Requests are told by a hash of their ids: those that must not run again, for a successor that takes
    // over, and the call for one that the other process sends.
    std::function<std::vector<std::uint64_t>()> sent_requests;
    std::function<void(std::uint64_t)> on_request_sent;
  };
  // If `folder` is empty, handover is disabled in both directions.
  Handover(Loop& loop, const std::string& folder, const Address& listen, Counters& counters, log::Log& log,
           Owner owner);
  ~Handover();

  // Requests the listening socket from a predecessor, which the caller then owns; nullopt if there is none.
  // Blocks for at most 500 ms per socket operation.
  std::optional<int> RequestListener();
  // Notifies a predecessor that this process serves, and from now on offers the listening socket to
  // successors. Returns an empty string, or why successors cannot request it.
  std::string OfferListener();

  // Tells the other processes that this one sends a request. Call it before the first byte is sent.
  void AnnounceRequest(std::uint64_t id_hash);
  // Takes in what the other processes have announced so far. Calls on_change later, never inside this call.
  void ReceiveAnnouncements();

  bool has_predecessor() const { return predecessor_ != nullptr; }  // it runs and has passed its socket
  bool has_serving_successor() const;                               // it runs, has the socket and serves
  bool has_other_process() const { return has_predecessor() || !successors_.empty(); }

 private:
  struct Successor;
  std::string PublishOffer(int fd, const std::string& temporary_path);
  void OnConnection();
  void OnSuccessorMessage(Successor& successor);
  ListenerReply AskForListener(int version);
  void OnPredecessorMessage();
  bool ReceiveFromPredecessor();
  void RemovePredecessor(HandoverLinkState end_state);
  void NotifyLater();
  bool ReceiveFrom(Successor& successor);
  bool PassListener(Successor& successor, std::string_view request);
  void Remove(Successor& successor, HandoverLinkState end_state);
  void LogLink(HandoverRole role, HandoverLinkState state, pid_t pid);
  std::string PathError() const;

  Loop& loop_;
  const std::string path_;
  const Address listen_;
  Counters& counters_;
  log::Log& log_;
  const Owner owner_;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
  std::unique_ptr<Listener> offer_;  // of the handover socket
  std::unique_ptr<FdWatcher> predecessor_;
  pid_t predecessor_pid_ = 0;
  bool predecessor_announces_ = false;  // it speaks the version of the protocol that announces requests
  HandoverRecords predecessor_records_;
  std::vector<std::unique_ptr<Successor>> successors_;
  bool offered_ = false;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_HANDOVER_HANDOVER_H_

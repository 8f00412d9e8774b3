// One server of the model: cores, slots, a waiting room, a cold start, slow spells, and the crowding collapse
// that outlasts its cause. First come, first served; a call that waits for the next tier gives up its core
// and keeps its slot.
//
// It may not know sidecars, policies or the network: jobs come and go, and its host is told when one begins
// to run or is done.
#ifndef UMBERDYKE_EMULATOR_SERVER_H_
#define UMBERDYKE_EMULATOR_SERVER_H_

#include <deque>
#include <vector>

#include "emulator/engine.h"
#include "emulator/pool.h"
#include "emulator/random.h"
#include "emulator/scenario.h"

namespace umberdyke::emulator {

// One call as its server has it. It lives on after the caller has given it up.
struct Job {
  enum class State : std::uint8_t { kWaiting, kRunning, kCalling, kOver };
  Name flow = kNobody;     // the caller's, which may be gone
  Name request = kNobody;  // the client's request that it serves
  Name call = kNobody;     // its own flow to the next tier
  std::uint32_t server = 0;
  std::uint32_t life = 0;  // of the server
  std::uint32_t turn = 0;  // of its events: an older one counts no more
  std::uint16_t request_class = 0;
  std::uint8_t attempt = 0;
  State state = State::kWaiting;
  bool ran = false;
  bool check = false;  // no call: the caller asks for the load
  Outcome outcome = Outcome::kOk;
  int calls_left = 0;
  double piece = 0;  // microseconds of work between two calls, at full speed
  double left = 0;   // of the present piece
  Micros arrived = 0, started = 0, deadline = 0;
  double speed = 1;                               // since it was started
  double report_in_flight = 0, report_queue = 0;  // what the answer says of the load
};

enum ServerEvent : std::uint8_t { kPieceDone, kCrowded, kCalmed, kCalmedAtLast, kServerEvents };

class Server {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // May cut the work short, as for a repeat that is dropped.
    virtual void Begins(Name name, Job& job) = 0;
    // A piece of work is done: the host lets it call on, or finishes it.
    virtual void Worked(Name name, Job& job) = 0;
  };
  struct Counts {
    std::uint64_t taken = 0, turned_away = 0, finished = 0, dropped = 0, collapses = 0, falls = 0;
    Micros collapsed = 0;  // time in collapse
    // Little's law, exactly: the sum over time of those present is the sum of their times.
    std::int64_t area = 0, sojourn = 0;
    Micros busy = 0;  // core time
  };

  Server(Engine& engine, Pool<Job>& jobs, Host& host, const TierSpec& spec, std::uint32_t index, int tier,
         int zone, double speed);

  // False: there is no room.
  bool Take(Name name, Job& job);
  void OnEvent(const Event& event);
  // Back from the next tier.
  void Resume(Name name, Job& job);
  // Ends a job, at whatever point it is; its place is free.
  void Finish(Name name, Job& job);
  // A caller that gave up: work that waits is dropped where this server does so. Returns whether it was.
  bool GiveUp(Name name, Job& job);

  void SetSlow(double factor);  // 1: as ever
  std::vector<Name> Stop();     // every job is over at once; returns them
  void Start(bool cold);
  // A cold server counts what it is sent; true where that makes it fall over.
  bool Overrun(double mean_work_us);
  // Ages the sums up to now: before they are read.
  void Settle();

  // At the end of the run: the sums up to now, and the time so far of each job that is still here.
  void Close();
  void AddPresent(Micros time) { counts_.sojourn += time; }

  double Speed() const;
  double Warmth() const;
  std::size_t in_system() const { return waiting_.size() + held_; }
  std::size_t queue() const { return waiting_.size(); }
  // Work ahead of a call that came now, in microseconds at the present speed.
  double Backlog() const;
  const Counts& counts() const { return counts_; }
  bool collapsed() const { return collapsed_; }

  const std::uint32_t index;
  const int tier, zone;
  bool up = true;
  bool draining = false;
  bool fails_fast = false;  // answers errors at once, its queue empty
  std::uint32_t life = 1;
  Micros started = 0;  // 0: long ago
  // What it says of its load, read anew now and then.
  double told_in_flight = 0, told_queue = 0;
  Micros told_until = 0;

 private:
  void Next();
  void Run(Name name, Job& job);
  void Note();
  void Retime();
  void Change();

  Engine& engine_;
  Pool<Job>& jobs_;
  Host& host_;
  const TierSpec& spec_;
  const double base_;
  const std::size_t cores_, slots_, room_;
  std::deque<Name> waiting_;
  std::deque<Name> back_;  // came back from the next tier and wait for a core
  std::vector<Name> running_;
  std::size_t held_ = 0;  // slots in use
  double slow_ = 1;
  bool collapsed_ = false;
  Micros collapsed_at_ = 0;
  bool crowded_ = false, idle_ = false;
  std::uint32_t crowd_turn_ = 0, idle_turn_ = 0;
  Micros changed_ = 0;
  std::deque<Micros> sent_while_cold_;
  Counts counts_;
  bool starting_ = false;
};

}  // namespace umberdyke::emulator

#endif  // UMBERDYKE_EMULATOR_SERVER_H_

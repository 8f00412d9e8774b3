#include "lab/explore/explore.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

#include "owner/claim.h"
#include "owner/fence.h"
#include "owner/journal.h"

namespace umberdyke::lab {
namespace {

using namespace std::chrono_literals;
using owner::Action;
using owner::CallResult;
using owner::Claim;
using owner::Fence;
using owner::Journal;
using owner::Moment;
using owner::Term;

constexpr Moment kTick = 1s;
constexpr int kSessionTicks = 2;

struct Node {
  std::string name;
  Term created = 0;
  owner::Session session = 0;
};

// A request of a candidate, and its answer in place of it once the service has done it.
struct Message {
  enum class Kind { kClaim, kJournal, kMean, kCommit } kind = Kind::kClaim;
  Action action;  // of the claim
  Journal journal;
  int version = 0;
  CallResult told = CallResult::kOk;
  std::vector<std::string> names;
  Term created = 0;
  owner::Session session = 0;
};

struct Order {
  int life = 0;
  Term term = 0;
  owner::Step step = 0;
  int from = 0;
  friend auto operator<=>(const Order&, const Order&) = default;
};

struct Candidate {
  Claim claim{owner::ClaimSettings{}};
  owner::Session session = 0;  // 0: none, or it has expired and the candidate knows
  bool open = false;
  int lives = 0;  // sessions it has had
  std::deque<Message> requests, answers;
  std::optional<Moment> wake;
  // The work, while it owns the duty.
  enum class Work { kNone, kReading, kAsking, kMeaning, kOrdering, kWaiting, kCommitting } work = Work::kNone;
  Term term = 0;
  Journal journal;
  int version = 0;
  int life = 0;  // of the place, as it was learnt before the step was meant
  std::vector<std::pair<Order, Fence::Decision>> verdicts;
};

struct World {
  int now = 0;
  std::vector<Candidate> candidates;
  std::vector<Node> nodes;
  std::vector<int>
      heard;  // by session, when the service last heard of it; -1: it has run out, or has not begun
  Term zxid = 0;
  std::int64_t number = 0;
  Journal journal;
  int version = 0;
  Fence fence;
  int life = 1;
  std::vector<Order> orders;  // on their way, sorted
  int breaks = 0, repeats = 0, restarts = 0, resignations = 0, removals = 0;
  // What was taken at the place, over all its lives.
  Term newest = 0;
  owner::Step last = 0;  // in this life
  owner::Step ever = 0;
};

class Explorer {
 public:
  Explorer(const ExploreBounds& bounds, const Guards& guards) : bounds_(bounds), guards_(guards) {}

  Explored Run() {
    World first;
    // Numbers are a candidate's own, so that it makes no other state who came first. None is 0.
    first.heard.assign(1 + static_cast<size_t>(bounds_.candidates * (bounds_.sessions + 1)), -1);
    for (int i = 0; i < bounds_.candidates; ++i) {
      owner::ClaimSettings settings;
      settings.id = std::string(1, static_cast<char>('a' + i));
      settings.session_timeout = kTick * kSessionTicks;
      settings.clock_margin = guards_.margin ? kTick : Moment(0);
      settings.resign_cooldown = 2 * kTick;
      Candidate candidate;
      candidate.claim = Claim(settings);
      first.candidates.push_back(std::move(candidate));
    }
    Add(first, 0, 0);
    // Depth first: what waits to be looked at stays small.
    while (!todo_.empty() && result_.broken.empty() && result_.states < bounds_.most_states) {
      const World world = std::move(todo_.back().second);
      at_ = todo_.back().first;
      todo_.pop_back();
      Go(world);
    }
    result_.whole = todo_.empty() && result_.broken.empty();
    if (!result_.broken.empty()) Tell(first);
    return std::move(result_);
  }

 private:
  static Moment Now(const World& w) { return (w.now + 1) * kTick; }

  // --- States seen ---

  static void Put(std::string* out, std::int64_t number) {
    out->append(std::to_string(number)).push_back(' ');
  }

  static std::string Print(const World& w) {
    std::string out;
    Put(&out, w.now);
    for (const Candidate& c : w.candidates) {
      c.claim.Print(&out);
      for (const std::int64_t n :
           {std::int64_t{c.open}, c.session, std::int64_t{c.lives}, c.wake ? c.wake->count() : -1,
            static_cast<std::int64_t>(c.work), c.term, c.journal.step, std::int64_t{c.journal.committed},
            c.journal.term, std::int64_t{c.version}, std::int64_t{c.life}}) {
        Put(&out, n);
      }
      for (const auto* queue : {&c.requests, &c.answers}) {
        out.push_back('[');
        for (const Message& m : *queue) {
          for (const std::int64_t n :
               {static_cast<std::int64_t>(m.kind), static_cast<std::int64_t>(m.action.kind),
                std::int64_t{m.kind == Message::Kind::kClaim && c.claim.IsPending(m.action.ticket)},
                static_cast<std::int64_t>(m.told), m.journal.step, std::int64_t{m.journal.committed},
                m.journal.term, std::int64_t{m.version}, m.created, m.session}) {
            Put(&out, n);
          }
          out += m.action.name;
          for (const std::string& name : m.names) out.append("|").append(name);
        }
      }
      for (const auto& [order, verdict] : c.verdicts) {
        for (const std::int64_t n :
             {order.life + 0L, order.term, order.step, static_cast<std::int64_t>(verdict)}) {
          Put(&out, n);
        }
      }
      out.push_back('\n');
    }
    for (const Node& n : w.nodes) out.append(n.name).append(std::to_string(n.created)).push_back(',');
    for (const int heard : w.heard) Put(&out, heard < 0 ? -1 : std::min(w.now - heard, kSessionTicks));
    for (const std::int64_t n :
         {w.zxid, w.number, w.journal.step, std::int64_t{w.journal.committed}, w.journal.term,
          std::int64_t{w.version}, w.fence.term(), w.fence.step(), std::int64_t{w.life},
          std::int64_t{w.breaks}, std::int64_t{w.repeats}, std::int64_t{w.restarts},
          std::int64_t{w.resignations}, std::int64_t{w.removals}, w.newest, w.last, w.ever}) {
      Put(&out, n);
    }
    for (const Order& o : w.orders) {
      for (const std::int64_t n : {std::int64_t{o.life}, o.term, o.step, std::int64_t{o.from}}) Put(&out, n);
    }
    return out;
  }

  void Add(const World& world, std::uint32_t from, std::uint16_t step) {
    ++result_.ways;
    const std::string text = Print(world);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    if (!seen_.insert({hash.low64, hash.high64}).second) return;
    const auto id = static_cast<std::uint32_t>(ways_.size());
    ways_.push_back({from, step});
    ++result_.states;
    todo_.emplace_back(id, world);
    Hold(world, id);
  }

  void Break(std::uint32_t id, const std::string& what) {
    if (!result_.broken.empty()) return;
    result_.broken = what;
    broken_at_ = id;
  }

  // The way to where it broke: gone once more, with names.
  void Tell(const World& first) {
    std::vector<std::uint16_t> steps;
    for (std::uint32_t at = broken_at_; at != 0; at = ways_[at].first) steps.push_back(ways_[at].second);
    std::reverse(steps.begin(), steps.end());
    const std::string broken = std::exchange(result_.broken, "");
    World world = first;
    for (const std::uint16_t step : steps) {
      pick_ = step;
      Go(world);
      if (!picked_) break;
      result_.way.push_back(picked_->first);
      world = picked_->second;
      picked_.reset();
    }
    pick_.reset();
    result_.broken = broken;
  }

  // What must hold in every state by itself.
  void Hold(const World& w, std::uint32_t id) {
    const auto owners = std::count_if(w.candidates.begin(), w.candidates.end(),
                                      [&](const Candidate& c) { return c.claim.MayAct(Now(w)); });
    if (owners > 1 && w.removals == 0) Break(id, "two owners believe that they may act");
  }

  // --- What may happen ---

  void Go(const World& world) {
    step_ = 0;
    if (world.now < bounds_.ticks) Try(world, "time passes", [](World& w) { ++w.now; });
    for (size_t i = 0; i < world.candidates.size(); ++i) {
      const Candidate& c = world.candidates[i];
      const std::string who = std::string(1, static_cast<char>('a' + i));
      if (!c.open && c.lives <= bounds_.sessions)
        Try(world, who + " connects", [&, i](World& w) { Open(w, i); });
      if (c.open && c.session != 0 && !c.requests.empty()) {
        // Where the answer's delay decides nothing, it comes at once, or is lost with the connection.
        const bool at_once = c.answers.empty() && c.requests.front().kind == Message::Kind::kClaim &&
                             c.requests.front().action.kind != Action::Kind::kConfirm;
        Try(world, "the service does a request of " + who, [&, i, at_once](World& w) {
          Serve(w, i);
          if (at_once && !w.candidates[i].answers.empty()) Answer(w, i);
        });
        if (at_once && world.breaks < bounds_.breaks) {
          Try(world, "the service does a request of " + who + ", and its answer is lost", [&, i](World& w) {
            ++w.breaks;
            Serve(w, i);
            if (w.candidates[i].open) Cut(w, i);
          });
        }
      }
      if (c.open && !c.answers.empty()) {
        Try(world, who + " has an answer", [&, i](World& w) { Answer(w, i); });
      }
      if (c.open && world.breaks < bounds_.breaks) {
        Try(world, "the connection of " + who + " breaks", [&, i](World& w) {
          ++w.breaks;
          Cut(w, i);
        });
      }
      if (c.wake && Now(world) >= *c.wake) Try(world, who + " wakes", [&, i](World& w) { Wake(w, i); });
      // The service's clock may run a tick ahead of the candidates'.
      if (c.session != 0 && world.heard[static_cast<size_t>(c.session)] >= 0 &&
          world.now - world.heard[static_cast<size_t>(c.session)] >= kSessionTicks - 1) {
        Try(world, "the session of " + who + " runs out", [&, i](World& w) { Expire(w, i); });
      }
      if (c.claim.MayAct(Now(world)) && world.resignations < bounds_.resignations) {
        Try(world, who + " resigns", [&, i](World& w) {
          ++w.resignations;
          owner::Actions out;
          w.candidates[i].claim.Resign(Now(w), &out);
          Do(w, i, out);
        });
      }
      if (c.claim.MayAct(Now(world)) && world.removals < bounds_.removals &&
          Find(world, c.claim.name()) != nullptr) {
        Try(world, "somebody removes the claim of " + who, [&, i](World& w) {
          ++w.removals;
          const std::string name = w.candidates[i].claim.name();
          std::erase_if(w.nodes, [&](const Node& n) { return n.name == name; });
          Notify(w, name);
        });
      }
      Work(world, i, who);
    }
    for (size_t k = 0; k < world.orders.size(); ++k) {
      if (k > 0 && world.orders[k] == world.orders[k - 1]) continue;
      const std::string what = "order of term " + std::to_string(world.orders[k].term) + " step " +
                               std::to_string(world.orders[k].step) + " arrives";
      Try(world, what, [&, k](World& w) { Arrive(w, k, false); });
      if (world.repeats < bounds_.repeats) {
        Try(world, what + ", and will again", [&, k](World& w) { Arrive(w, k, true); });
      }
    }
    if (world.restarts < bounds_.restarts && world.ever > 0) {
      Try(world, "the place restarts", [](World& w) {
        ++w.restarts;
        ++w.life;
        w.fence = Fence();
        w.last = 0;
      });
    }
  }

  template <typename Change>
  void Try(const World& world, const std::string& what, Change change) {
    const std::uint16_t step = step_++;
    if (!result_.broken.empty() || (pick_ && step != *pick_)) return;
    World next = world;
    wrong_.clear();
    change(next);
    if (pick_) {
      picked_.emplace(what, std::move(next));
      return;
    }
    Add(next, at_, step);
    if (!wrong_.empty()) {
      // A state that was seen before may be broken by the way that led here all the same.
      ways_.push_back({at_, step});
      Break(static_cast<std::uint32_t>(ways_.size() - 1), wrong_);
    }
  }

  void Do(World& w, size_t i, const owner::Actions& actions) {
    Candidate& c = w.candidates[i];
    for (const Action& action : actions) {
      switch (action.kind) {
        case Action::Kind::kBegin:
          c.work = Candidate::Work::kReading;
          c.term = action.term;
          c.verdicts.clear();
          Ask(w, i, Message::Kind::kJournal);
          ++result_.takeovers;
          break;
        case Action::Kind::kEnd:
          c.work = Candidate::Work::kNone;
          break;
        case Action::Kind::kWake:
          c.wake = c.wake ? std::min(*c.wake, action.at) : action.at;
          break;
        default:
          if (c.open) {
            Message message;
            message.action = action;
            c.requests.push_back(std::move(message));
          }
      }
    }
  }

  void Ask(World& w, size_t i, Message::Kind kind) {
    Candidate& c = w.candidates[i];
    if (!c.open) return;
    Message message;
    message.kind = kind;
    message.journal = c.journal;
    message.version = c.version;
    message.action.name = c.claim.name();
    c.requests.push_back(std::move(message));
  }

  void Open(World& w, size_t i) {
    Candidate& c = w.candidates[i];
    owner::Actions out;
    c.open = true;
    if (c.session != 0 && w.heard[static_cast<size_t>(c.session)] < 0) {  // told that it has expired
      c.session = 0;
      c.open = false;
      c.claim.OnSessionExpired(Now(w), &out);
      Do(w, i, out);
      return;
    }
    if (c.session == 0) {
      c.session = 1 + static_cast<owner::Session>(i) + c.lives++ * bounds_.candidates;
    }
    w.heard.at(static_cast<size_t>(c.session)) = w.now;
    c.claim.OnConnected(Now(w), c.session, kTick * kSessionTicks, &out);
    Do(w, i, out);
    // An owner that was cut off in the middle of its work takes it up from the journal.
    if (c.work != Candidate::Work::kNone) {
      c.work = Candidate::Work::kReading;
      c.verdicts.clear();
      Ask(w, i, Message::Kind::kJournal);
    }
  }

  void Cut(World& w, size_t i) {
    Candidate& c = w.candidates[i];
    c.open = false;
    c.requests.clear();
    c.answers.clear();
    owner::Actions out;
    c.claim.OnDisconnected(Now(w), &out);
    Do(w, i, out);
  }

  void Expire(World& w, size_t i) {
    const owner::Session session = w.candidates[i].session;
    w.heard[static_cast<size_t>(session)] = -1;
    std::vector<std::string> gone;
    std::erase_if(w.nodes, [&](const Node& n) {
      if (n.session == session) gone.push_back(n.name);
      return n.session == session;
    });
    // What it was answered before is still on its way; a request finds the connection closed.
    for (const std::string& name : gone) Notify(w, name);
  }

  // A notice is told at once to whoever watches: that it waits is the same as the watcher being slow.
  void Notify(World& w, const std::string& name) {
    for (Candidate& c : w.candidates) {
      if (!c.open || c.claim.predecessor() != name) continue;
      Message notice;
      notice.action.kind = Action::Kind::kEnd;  // stands for a notice here
      notice.action.name = name;
      c.answers.push_back(std::move(notice));
    }
  }

  const Node* Find(const World& w, const std::string& name) const {
    const auto it =
        std::find_if(w.nodes.begin(), w.nodes.end(), [&](const Node& n) { return n.name == name; });
    return it == w.nodes.end() ? nullptr : &*it;
  }

  void Serve(World& w, size_t i) {
    Candidate& c = w.candidates[i];
    Message m = std::move(c.requests.front());
    c.requests.pop_front();
    int& heard = w.heard[static_cast<size_t>(c.session)];
    if (heard < 0) {  // the connection of a session that is over breaks
      Cut(w, i);
      return;
    }
    heard = w.now;
    if (m.kind != Message::Kind::kClaim) {
      Write(w, m);
      c.answers.push_back(std::move(m));
      return;
    }
    std::string gone;
    switch (m.action.kind) {
      case Action::Kind::kList:
        for (const Node& n : w.nodes) m.names.push_back(n.name);
        break;
      case Action::Kind::kCreate: {
        Node node;
        std::string number = std::to_string(w.number++);
        node.name = m.action.name + std::string(10 - number.size(), '0') + number;
        node.created = ++w.zxid;
        node.session = c.session;
        w.nodes.push_back(std::move(node));
        break;
      }
      case Action::Kind::kRead:
        if (const Node* n = Find(w, m.action.name)) {
          m.created = n->created;
          m.session = n->session;
        } else {
          m.told = CallResult::kAbsent;
        }
        break;
      case Action::Kind::kWatch:
      case Action::Kind::kConfirm:
        if (Find(w, m.action.name) == nullptr) m.told = CallResult::kAbsent;
        break;
      case Action::Kind::kRemove:
        if (Find(w, m.action.name) == nullptr) {
          m.told = CallResult::kAbsent;
        } else {
          gone = m.action.name;
          std::erase_if(w.nodes, [&](const Node& n) { return n.name == gone; });
        }
        break;
      default:
        break;
    }
    c.answers.push_back(std::move(m));
    if (!gone.empty()) Notify(w, gone);
  }

  void Write(World& w, Message& m) {
    if (m.kind == Message::Kind::kJournal) {
      m.journal = w.journal;
      m.version = w.version;
      return;
    }
    if ((guards_.check && Find(w, m.action.name) == nullptr) || (guards_.check && m.version != w.version)) {
      m.told = CallResult::kAbsent;
      return;
    }
    if (!owner::IsValidSuccessor(w.journal, m.journal) && wrong_.empty()) {
      wrong_ = "the journal goes from step " + std::to_string(w.journal.step) + " of term " +
               std::to_string(w.journal.term) + " to step " + std::to_string(m.journal.step) + " of term " +
               std::to_string(m.journal.term);
    }
    w.journal = m.journal;
    m.version = ++w.version;
  }

  void Answer(World& w, size_t i) {
    Candidate& c = w.candidates[i];
    Message m = std::move(c.answers.front());
    c.answers.pop_front();
    owner::Actions out;
    const Moment now = Now(w);
    const std::uint64_t ticket = m.action.ticket;
    if (m.kind != Message::Kind::kClaim) return Worked(w, i, m);
    switch (m.action.kind) {
      case Action::Kind::kList:
        c.claim.OnListed(now, ticket, m.told, m.names, &out);
        break;
      case Action::Kind::kCreate:
        c.claim.OnCreated(now, ticket, m.told, &out);
        break;
      case Action::Kind::kRead:
        c.claim.OnRead(now, ticket, m.told, m.created, m.session, &out);
        break;
      case Action::Kind::kWatch:
        c.claim.OnWatched(now, ticket, m.told, &out);
        break;
      case Action::Kind::kConfirm:
        if (!guards_.sent_time) c.claim.OverrideConfirmSentTime(now);
        c.claim.OnConfirmed(now, ticket, m.told, &out);
        break;
      case Action::Kind::kRemove:
        c.claim.OnRemoved(now, ticket, m.told, &out);
        break;
      default:
        c.claim.OnNodeDeleted(now, m.action.name, &out);
    }
    Do(w, i, out);
  }

  void Wake(World& w, size_t i) {
    w.candidates[i].wake.reset();
    owner::Actions out;
    w.candidates[i].claim.Tick(Now(w), &out);
    Do(w, i, out);
  }

  // --- The owner's work: the agent's runner in small ---

  void Worked(World& w, size_t i, const Message& m) {
    Candidate& c = w.candidates[i];
    using W = Candidate::Work;
    if (c.work == W::kReading && m.kind == Message::Kind::kJournal) {
      c.journal = m.journal;
      c.version = m.version;
      c.work = W::kAsking;
    } else if (c.work == W::kMeaning && m.kind == Message::Kind::kMean) {
      c.work = m.told == CallResult::kOk ? W::kOrdering : W::kNone;
      c.version = m.version;
    } else if (c.work == W::kCommitting && m.kind == Message::Kind::kCommit) {
      c.work = m.told == CallResult::kOk ? W::kAsking : W::kNone;
      c.version = m.version;
    }
  }

  void Work(const World& world, size_t i, const std::string& who) {
    const Candidate& c = world.candidates[i];
    using W = Candidate::Work;
    if (!c.claim.MayAct(Now(world)) || !c.open) return;
    if (c.work == W::kAsking && (!c.journal.committed || c.journal.step < bounds_.steps)) {
      // The life is learnt before the step is meant: that writing shows that the claim stood in this life.
      Try(world, who + " learns the place's life and means a step", [&, i](World& w) {
        Candidate& me = w.candidates[i];
        me.life = w.life;
        if (const auto next = me.journal.PrepareStep(me.term, "")) {
          me.journal = *next;
          me.work = W::kMeaning;
          Ask(w, i, Message::Kind::kMean);
        }
      });
    }
    if (c.work == W::kOrdering) {
      Try(world, who + " orders step " + std::to_string(c.journal.step), [&, i](World& w) {
        Candidate& me = w.candidates[i];
        w.orders.push_back({me.life, me.term, me.journal.step, static_cast<int>(i)});
        std::sort(w.orders.begin(), w.orders.end());
        me.work = W::kWaiting;
      });
    }
    if (c.work == W::kWaiting && !c.verdicts.empty()) {
      Try(world, who + " hears of its order", [&, i](World& w) {
        Candidate& me = w.candidates[i];
        const auto [order, verdict] = me.verdicts.front();
        me.verdicts.erase(me.verdicts.begin());
        if (order.term != me.term || order.step != me.journal.step) return;
        if (verdict == Fence::Decision::kOtherIncarnation) {
          me.work = W::kAsking;  // the same step once more, for the new life
        } else if (verdict == Fence::Decision::kAccept || verdict == Fence::Decision::kDuplicate) {
          if (const auto next = me.journal.Commit(me.term, "")) {
            me.journal = *next;
            me.work = W::kCommitting;
            Ask(w, i, Message::Kind::kCommit);
          }
        } else {
          me.work = W::kNone;
        }
      });
    }
  }

  void Arrive(World& w, size_t k, bool again) {
    const Order order = w.orders[k];
    if (again) {
      ++w.repeats;
    } else {
      w.orders.erase(w.orders.begin() + static_cast<std::ptrdiff_t>(k));
    }
    const std::string life = guards_.life ? std::to_string(order.life) : "";
    const std::string own = guards_.life ? std::to_string(w.life) : "";
    Fence fence = w.fence;
    Fence::Decision verdict = fence.Check(life, own, order.term, order.step);
    if (!guards_.fence && verdict == Fence::Decision::kStaleTerm) verdict = Fence::Decision::kAccept;
    if (!guards_.numbers && verdict == Fence::Decision::kDuplicate) verdict = Fence::Decision::kAccept;
    w.fence = fence;
    if (verdict == Fence::Decision::kStaleTerm ||
        (verdict == Fence::Decision::kOtherIncarnation && order.term < w.newest)) {
      ++result_.refused;
    }
    if (verdict == Fence::Decision::kDuplicate) ++result_.repeated;
    if (verdict == Fence::Decision::kAccept) Take(w, order);
    Candidate& c = w.candidates[static_cast<size_t>(order.from)];
    if (c.work == Candidate::Work::kWaiting && c.term == order.term) c.verdicts.emplace_back(order, verdict);
  }

  // What must hold of every effect.
  void Take(World& w, const Order& order) {
    const std::string what = "step " + std::to_string(order.step) + " of term " + std::to_string(order.term);
    if (order.term < w.newest) wrong_ = what + " was taken after one of term " + std::to_string(w.newest);
    if (order.step <= w.last) wrong_ = what + " was taken after step " + std::to_string(w.last);
    if (order.step > w.ever + 1) wrong_ = what + " was taken, and the one before it nowhere";
    w.newest = std::max(w.newest, order.term);
    w.last = std::max(w.last, order.step);
    w.ever = std::max(w.ever, order.step);
  }

  struct Hash {
    size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& h) const { return h.first ^ h.second; }
  };

  const ExploreBounds bounds_;
  const Guards guards_;
  Explored result_;
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> seen_;
  std::vector<std::pair<std::uint32_t, std::uint16_t>> ways_;
  std::uint16_t step_ = 0;
  std::optional<std::uint16_t> pick_;
  std::optional<std::pair<std::string, World>> picked_;
  std::uint32_t broken_at_ = 0;
  std::deque<std::pair<std::uint32_t, World>> todo_;
  std::uint32_t at_ = 0;
  std::string wrong_;
};

}  // namespace

Explored Explore(const ExploreBounds& bounds, const Guards& guards) { return Explorer(bounds, guards).Run(); }

}  // namespace umberdyke::lab

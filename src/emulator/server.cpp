#include "emulator/server.h"

#include <algorithm>
#include <cmath>

namespace umberdyke::emulator {
Server::Server(Engine& engine, Pool<Job>& jobs, Host& host, const TierSpec& spec, std::uint32_t i, int t,
               int z, double speed)
    : index(i),
      tier(t),
      zone(z),
      engine_(engine),
      jobs_(jobs),
      host_(host),
      spec_(spec),
      base_(speed),
      cores_(static_cast<std::size_t>(spec.cores)),
      slots_(static_cast<std::size_t>(spec.slots)),
      room_(static_cast<std::size_t>(spec.room)),
      changed_(engine.now()) {}

// Guards the sums of Little's law: called before the number of those present changes.
void Server::Change() {
  const Micros now = engine_.now();
  counts_.area += static_cast<std::int64_t>(in_system()) * (now - changed_);
  counts_.busy += static_cast<Micros>(running_.size()) * (now - changed_);
  changed_ = now;
}

void Server::Settle() { Change(); }

double Server::Warmth() const {
  if (started == 0 || spec_.cold_s <= 0) return 1;
  const double age = static_cast<double>(engine_.now() - started) / (spec_.cold_s * 1e6);
  return std::min(1.0, spec_.cold_share + (1 - spec_.cold_share) * age);
}

double Server::Speed() const { return base_ / slow_ / (collapsed_ ? spec_.crowd_slow : 1) * Warmth(); }

double Server::Backlog() const {
  double work = 0;
  for (const auto* names : {&waiting_, &back_}) {
    for (const Name name : *names) {
      const Job* job = jobs_.Find(name);
      if (job != nullptr) work += job->left;
    }
  }
  const double speed = Speed();
  for (const Name name : running_) {
    const Job* job = jobs_.Find(name);
    if (job == nullptr) continue;
    work += std::max(0.0, job->left - static_cast<double>(engine_.now() - job->started) * job->speed);
  }
  return running_.size() < cores_ && waiting_.empty() ? 0 : work / speed / static_cast<double>(cores_);
}

bool Server::Take(Name name, Job& job) {
  const bool starts =
      running_.size() < cores_ && waiting_.empty() && back_.empty() && (slots_ == 0 || held_ < slots_);
  if (!starts && room_ > 0 && waiting_.size() >= room_) {
    ++counts_.turned_away;
    return false;
  }
  Change();
  ++counts_.taken;
  job.arrived = engine_.now();
  job.state = Job::State::kWaiting;
  job.left = job.piece;
  waiting_.push_back(name);
  Next();
  Note();
  return true;
}

// Whoever came back from the next tier goes first: it holds a slot that others wait for.
void Server::Next() {
  if (starting_) return;  // Begins may finish a job, which comes here again
  starting_ = true;
  while (running_.size() < cores_) {
    if (!back_.empty()) {
      const Name name = back_.front();
      back_.pop_front();
      if (Job* job = jobs_.Find(name)) Run(name, *job);
    } else if (!waiting_.empty() && (slots_ == 0 || held_ < slots_)) {
      const Name name = waiting_.front();
      waiting_.pop_front();
      ++held_;
      Job* job = jobs_.Find(name);
      if (!job->ran) {
        job->ran = true;
        host_.Begins(name, *job);
      }
      Run(name, *job);
    } else {
      break;
    }
  }
  starting_ = false;
}

void Server::Run(Name name, Job& job) {
  job.state = Job::State::kRunning;
  job.started = engine_.now();
  job.speed = Speed();
  running_.push_back(name);
  const double time = std::ceil(job.left / job.speed);
  engine_.At(engine_.now() + std::max<Micros>(1, static_cast<Micros>(time)), kPieceDone, index, name,
             ++job.turn);
}

void Server::OnEvent(const Event& event) {
  switch (event.kind) {
    case kPieceDone: {
      Job* job = jobs_.Find(event.what);
      if (job == nullptr || (job->turn & 0xffffff) != event.aux || job->state != Job::State::kRunning) return;
      Change();
      std::erase(running_, event.what);
      job->left = 0;
      job->state = Job::State::kCalling;
      host_.Worked(event.what, *job);  // finishes it, or calls on
      Change();
      Next();
      Note();
      return;
    }
    case kCrowded:
      if (event.aux != (crowd_turn_ & 0xffffff) || !crowded_ || collapsed_) return;
      collapsed_ = true;
      collapsed_at_ = engine_.now();
      ++counts_.collapses;
      Retime();
      idle_ = false;
      engine_.At(engine_.now() + Seconds(spec_.crowd_most_s), kCalmedAtLast, index, 0,
                 static_cast<std::uint32_t>(counts_.collapses));
      Note();
      return;
    case kCalmed:
      if (event.aux != (idle_turn_ & 0xffffff) || !idle_ || !collapsed_) return;
      break;
    case kCalmedAtLast:
      if (event.aux != (counts_.collapses & 0xffffff) || !collapsed_) return;
      break;
    default:
      return;
  }
  collapsed_ = false;
  counts_.collapsed += engine_.now() - collapsed_at_;
  Retime();
  crowded_ = false;  // what still waits has to wait so long again
  ++crowd_turn_;
  Note();
}

void Server::Resume(Name name, Job& job) {
  Change();
  job.left = job.piece;
  job.state = Job::State::kWaiting;
  back_.push_back(name);
  Next();
  Note();
}

void Server::Finish(Name name, Job& job) {
  if (job.state == Job::State::kOver) return;
  Change();
  bool held = true;
  if (job.state == Job::State::kRunning) {
    std::erase(running_, name);
  } else if (job.state == Job::State::kWaiting) {
    const auto back = std::find(back_.begin(), back_.end(), name);
    if (back != back_.end()) {
      back_.erase(back);
    } else {
      const auto it = std::find(waiting_.begin(), waiting_.end(), name);
      if (it != waiting_.end()) waiting_.erase(it);
      held = false;
    }
  }
  if (held) --held_;
  ++job.turn;
  job.state = Job::State::kOver;
  ++counts_.finished;
  counts_.sojourn += engine_.now() - job.arrived;
  Next();
  Note();
}

bool Server::GiveUp(Name name, Job& job) {
  if (spec_.drops_waiting == 0 || job.state != Job::State::kWaiting || job.ran) return false;
  Finish(name, job);
  ++counts_.dropped;
  return true;
}

void Server::SetSlow(double factor) {
  slow_ = factor;
  Retime();
}

// The speed has changed: what runs ends at another time.
void Server::Retime() {
  const double speed = Speed();
  const Micros now = engine_.now();
  for (const Name name : running_) {
    Job* job = jobs_.Find(name);
    if (job == nullptr) continue;
    job->left = std::max(0.0, job->left - static_cast<double>(now - job->started) * job->speed);
    job->started = now;
    job->speed = speed;
    const auto time = static_cast<Micros>(std::ceil(job->left / speed));
    engine_.At(now + std::max<Micros>(1, time), kPieceDone, index, name, ++job->turn);
  }
}

void Server::Note() {
  if (spec_.crowd_waiting <= 0) return;
  const bool crowded = static_cast<double>(waiting_.size()) > spec_.crowd_waiting * spec_.cores;
  if (crowded != crowded_) {
    crowded_ = crowded;
    ++crowd_turn_;
    if (crowded)
      engine_.At(engine_.now() + Seconds(spec_.crowd_s), kCrowded, index, 0, crowd_turn_ & 0xffffff);
  }
  const bool idle = collapsed_ && waiting_.empty() && back_.empty() && 2 * running_.size() <= cores_;
  if (idle != idle_) {
    idle_ = idle;
    ++idle_turn_;
    if (idle)
      engine_.At(engine_.now() + Seconds(spec_.crowd_idle_s), kCalmed, index, 0, idle_turn_ & 0xffffff);
  }
}

std::vector<Name> Server::Stop() {
  Change();
  std::vector<Name> over;
  jobs_.Each([&](Name name, Job& job) {  // also those that wait for the next tier, which stand in no list
    if (job.server != index || job.life != life || job.state == Job::State::kOver) return;
    job.state = Job::State::kOver;
    ++job.turn;
    ++counts_.finished;
    counts_.sojourn += engine_.now() - job.arrived;
    over.push_back(name);
  });
  up = false;
  ++life;
  waiting_.clear();
  back_.clear();
  running_.clear();
  held_ = 0;
  if (collapsed_) counts_.collapsed += engine_.now() - collapsed_at_;
  collapsed_ = crowded_ = idle_ = false;
  ++crowd_turn_;
  ++idle_turn_;
  sent_while_cold_.clear();
  return over;
}

void Server::Start(bool cold) {
  up = true;
  draining = false;
  started = cold ? engine_.now() : 0;
  told_until = 0;
}

bool Server::Overrun(double mean_work_us) {
  const double warmth = Warmth();
  if (spec_.fall_multiple <= 0 || warmth >= 1) return false;
  const Micros now = engine_.now();
  sent_while_cold_.push_back(now);
  while (!sent_while_cold_.empty() && now - sent_while_cold_.front() > 1'000'000)
    sent_while_cold_.pop_front();
  const double can = spec_.cores * warmth * 1e6 / mean_work_us;  // in a second
  if (static_cast<double>(sent_while_cold_.size()) <= std::max(2.0, spec_.fall_multiple * can)) return false;
  ++counts_.falls;
  return true;
}

void Server::Close() {
  Change();
  if (collapsed_) counts_.collapsed += engine_.now() - collapsed_at_;
}

}  // namespace umberdyke::emulator

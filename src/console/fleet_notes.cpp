#include "console/fleet_notes.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <random>
#include <utility>

namespace umberdyke::net {
namespace {

// The duties whose notes a sidecar holds. Whoever adds one adds it here.
constexpr std::array<const char*, 3> kDuties = {"census", "sites", "tidying"};

std::string DrawLife() {
  std::random_device random;
  const auto word = [&] { return static_cast<std::uint64_t>(random()) << 32 | random(); };
  char text[40];
  std::snprintf(text, sizeof text, "%016" PRIx64 "%016" PRIx64, word(), word());
  return text;
}

}  // namespace

FleetNotes::FleetNotes(std::string application, Counters& counters, log::Log& log,
                       std::map<std::string, NoteHandler, std::less<>> users)
    : application_(std::move(application)),
      life_(DrawLife()),
      users_(std::move(users)),
      counters_(counters),
      log_(log) {
  for (const char* duty : kDuties) notes_[duty];
}

std::string FleetNotes::Take(FleetOrder order) {
  const std::string what = "order " + std::to_string(order.step) + " of term " + std::to_string(order.term) +
                           " for " + EscapeMetricName(order.duty);
  const auto refuse = [&](const char* counter, int status, const std::string& why, const Note* note) {
    counters_.Add(counter);
    log_.Say(
        log::Event::kOrderRefused, what + " is refused: " + why,
        {{"duty", EscapeMetricName(order.duty)}, {"term", order.term}, {"step", order.step}, {"why", why}});
    return Answer(status, why, note);
  };
  if (application_.empty() || order.application != application_) {
    return refuse("orders_other_application", 409, "of another application", nullptr);
  }
  const auto it = notes_.find(order.duty);
  if (it == notes_.end()) return refuse("orders_unknown_duty", 404, "an unknown duty", nullptr);
  Note& note = it->second;
  // Before the fence, which a text that is of no use must not move on.
  const auto user = users_.find(order.duty);
  const std::string unusable = user == users_.end() ? "" : user->second.check(order.text);
  if (!unusable.empty()) return refuse("orders_unusable", 409, unusable, &note);
  switch (note.fence.Judge(order.life, life_, order.term, order.step)) {
    case owner::Fence::Verdict::kTake:
      break;
    case owner::Fence::Verdict::kRepeat:
      counters_.Add("orders_repeated");
      return Answer(200, "taken before", &note);
    case owner::Fence::Verdict::kOldTerm:
      return refuse("orders_old_term", 409, "of an older term", &note);
    case owner::Fence::Verdict::kOldStep:
      return refuse("orders_old_step", 409, "overtaken by a later step", &note);
    case owner::Fence::Verdict::kOtherLife:
      return refuse("orders_other_life", 412, "made for another life", &note);
  }
  counters_.Add("orders_taken");
  note.text = std::move(order.text);
  note.taken = Clock::now();
  if (user != users_.end()) user->second.take(note.text);
  log_.Say(
      log::Event::kOrderTaken, what + " is taken",
      {{"duty", order.duty},
       {"term", order.term},
       {"step", order.step},
       {"life", life_},
       {"us", std::chrono::duration_cast<std::chrono::microseconds>(note.taken.time_since_epoch()).count()}});
  return Answer(200, "taken", &note);
}

std::string FleetNotes::Answer(int status, const std::string& verdict, const Note* note) const {
  std::string body = "verdict=" + verdict + "\nlife=" + life_ + "\n";
  if (note != nullptr) {
    body +=
        "term=" + std::to_string(note->fence.term()) + "\nstep=" + std::to_string(note->fence.step()) + "\n";
  }
  return ConsoleResponse(status, body);
}

std::string FleetNotes::Show(const FleetNoteRequest& which) const {
  const auto it = notes_.find(which.duty);
  if (it == notes_.end()) return ConsoleResponse(404, "an unknown duty\n");
  if (it->second.taken == Time()) return ConsoleResponse(404, "no order has been taken in this life\n");
  return ConsoleResponse(200, it->second.text);
}

std::string FleetNotes::Lines() const {
  std::string out = "application=" + EscapeMetricName(application_) + "\nlife=" + life_ + "\n";
  for (const auto& [duty, note] : notes_) {
    out += "term." + duty + "=" + std::to_string(note.fence.term()) + "\nstep." + duty + "=" +
           std::to_string(note.fence.step()) + "\n";
    if (note.taken == Time()) continue;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - note.taken);
    out += "age_ms." + duty + "=" + std::to_string(age.count()) + "\n";
  }
  for (const char* counter :
       {"orders_taken", "orders_repeated", "orders_old_term", "orders_old_step", "orders_other_life",
        "orders_other_application", "orders_unknown_duty", "orders_unusable"}) {
    out += std::string(counter) + "=" + std::to_string(counters_.Of(counter)) + "\n";
  }
  return out;
}

}  // namespace umberdyke::net

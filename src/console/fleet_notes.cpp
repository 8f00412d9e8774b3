#include "console/fleet_notes.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <random>
#include <utility>

namespace umberdyke::net {
namespace {

// The duties whose orders a sidecar accepts. A new duty must be added here.
constexpr std::array<const char*, 3> kDuties = {"census", "sites", "tidying"};

std::string GenerateLife() {
  std::random_device random;
  const auto word = [&] { return static_cast<std::uint64_t>(random()) << 32 | random(); };
  char text[40];
  std::snprintf(text, sizeof text, "%016" PRIx64 "%016" PRIx64, word(), word());
  return text;
}

}  // namespace

FleetNotes::FleetNotes(std::string application, Counters& counters, log::Log& log,
                       std::map<std::string, NoteHandler, std::less<>> handlers)
    : application_(std::move(application)),
      life_(GenerateLife()),
      handlers_(std::move(handlers)),
      counters_(counters),
      log_(log) {
  for (const char* duty : kDuties) notes_[duty];
}

std::string FleetNotes::HandleOrder(FleetOrder order) {
  const std::string what = "order " + std::to_string(order.step) + " of term " + std::to_string(order.term) +
                           " for " + EscapeMetricName(order.duty);
  const auto reject = [&](const char* counter, int status, const std::string& reason, const Note* note) {
    counters_.Add(counter);
    log_.Say(log::Event::kOrderRefused, what + " is refused: " + reason,
             {{"duty", EscapeMetricName(order.duty)},
              {"term", order.term},
              {"step", order.step},
              {"why", reason}});
    return OrderResponse(status, reason, note);
  };
  if (application_.empty() || order.application != application_) {
    return reject("orders_other_application", 409, "of another application", nullptr);
  }
  const auto it = notes_.find(order.duty);
  if (it == notes_.end()) return reject("orders_unknown_duty", 404, "an unknown duty", nullptr);
  Note& note = it->second;
  // Checked before the fence, because an unusable text must not advance it.
  const auto handler = handlers_.find(order.duty);
  const std::string unusable = handler == handlers_.end() ? "" : handler->second.check(order.text);
  if (!unusable.empty()) return reject("orders_unusable", 409, unusable, &note);
  switch (note.fence.Check(order.life, life_, order.term, order.step)) {
    case owner::Fence::Decision::kAccept:
      break;
    case owner::Fence::Decision::kDuplicate:
      counters_.Add("orders_repeated");
      return OrderResponse(200, "taken before", &note);
    case owner::Fence::Decision::kStaleTerm:
      return reject("orders_old_term", 409, "of an older term", &note);
    case owner::Fence::Decision::kStaleStep:
      return reject("orders_old_step", 409, "overtaken by a later step", &note);
    case owner::Fence::Decision::kOtherIncarnation:
      return reject("orders_other_life", 412, "made for another life", &note);
  }
  counters_.Add("orders_taken");
  note.text = std::move(order.text);
  note.accepted_at = Clock::now();
  if (handler != handlers_.end()) handler->second.apply(note.text);
  log_.Say(
      log::Event::kOrderTaken, what + " is taken",
      {{"duty", order.duty},
       {"term", order.term},
       {"step", order.step},
       {"life", life_},
       {"us",
        std::chrono::duration_cast<std::chrono::microseconds>(note.accepted_at.time_since_epoch()).count()}});
  return OrderResponse(200, "taken", &note);
}

std::string FleetNotes::OrderResponse(int status, const std::string& verdict, const Note* note) const {
  std::string body = "verdict=" + verdict + "\nlife=" + life_ + "\n";
  if (note != nullptr) {
    body +=
        "term=" + std::to_string(note->fence.term()) + "\nstep=" + std::to_string(note->fence.step()) + "\n";
  }
  return ConsoleResponse(status, body);
}

std::string FleetNotes::HandleNoteRequest(const FleetNoteRequest& request) const {
  const auto it = notes_.find(request.duty);
  if (it == notes_.end()) return ConsoleResponse(404, "an unknown duty\n");
  if (it->second.accepted_at == Time()) return ConsoleResponse(404, "no order has been taken in this life\n");
  return ConsoleResponse(200, it->second.text);
}

std::string FleetNotes::StatusLines() const {
  std::string out = "application=" + EscapeMetricName(application_) + "\nlife=" + life_ + "\n";
  for (const auto& [duty, note] : notes_) {
    out += "term." + duty + "=" + std::to_string(note.fence.term()) + "\nstep." + duty + "=" +
           std::to_string(note.fence.step()) + "\n";
    if (note.accepted_at == Time()) continue;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - note.accepted_at);
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

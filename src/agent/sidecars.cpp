#include "agent/sidecars.h"

#include <charconv>
#include <memory>
#include <utility>

#include "platform/console_calls.h"

namespace umberdyke::agent {
namespace {

using namespace std::chrono_literals;

constexpr net::Span kCallTime = 1s;

}  // namespace

std::string Said::Text(std::string_view name) const {
  const auto it = lines.find(name);
  return it == lines.end() ? "" : it->second.substr(0, 64);
}

std::int64_t Said::Number(std::string_view name) const {
  const auto it = lines.find(name);
  std::int64_t number = -1;
  if (it != lines.end()) std::from_chars(it->second.data(), it->second.data() + it->second.size(), number);
  return number;
}

Sidecars::Sidecars(net::Loop& loop, const config::AgentFile& settings, net::Counters& counters)
    : settings_(settings), counters_(counters), client_(loop) {}

std::optional<Said> SaidBy(const std::string& name, const std::string& application,
                           const ConsoleAnswer& answer) {
  if (answer.status != 200) return std::nullopt;
  Said said{ReadLines(answer.body)};
  if (said.Text("name") != name || said.Text("application") != application) return std::nullopt;
  return said;
}

const Said* Sidecars::Of(const std::string& name) const {
  const auto it = said_.find(name);
  return it == said_.end() ? nullptr : &it->second.said;
}

void Sidecars::Ask(std::function<void()> done) {
  client_.Drop();
  said_.clear();
  const auto left = std::make_shared<size_t>(1);
  const auto one_less = [left, done] {
    if (--*left == 0) done();
  };
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    for (const std::string& console : {sidecar.console, sidecar.spare}) {
      if (console.empty()) continue;
      ++*left;
      const bool spare = console == sidecar.spare;
      client_.Call(console, net::FleetRequest(), kCallTime,
                   [this, one_less, console, spare, name = sidecar.name](ConsoleAnswer answer) {
                     auto said = SaidBy(name, settings_.application, answer);
                     if (!said) {
                       if (!spare || answer.status == 200)
                         counters_.Add(answer.status == 200 ? "consoles_of_others" : "consoles_silent");
                       return one_less();
                     }
                     counters_.Add("consoles_asked");
                     Answer& known = said_[name];
                     const bool first = known.console.empty(), serves = said->Text("state") == "serving";
                     if (first || serves) known = {console, std::move(*said)};
                     one_less();
                   });
    }
  }
  one_less();
}

void Sidecars::Order(const std::string& duty, const Work& work, const std::string& text,
                     std::function<bool()> may_act, Done first, std::function<void(Done)> done) {
  auto result = std::make_shared<Done>(std::move(first));
  const auto left = std::make_shared<size_t>(1);
  const auto one_less = [left, result, done] {
    if (--*left == 0) done(std::move(*result));
  };
  for (const config::AgentFile::Sidecar& sidecar : settings_.sidecars) {
    const auto answer = said_.find(sidecar.name);
    const std::string life = answer == said_.end() ? "" : answer->second.said.Text("life");
    if (life.empty()) continue;
    if (!may_act()) {  // what is left out is the next owner's
      result->worked = false;
      result->why = "its time to act is over";
      break;
    }
    ++*left;
    const net::FleetOrder order{duty, settings_.application, life, work.term, work.step, text};
    client_.Call(answer->second.console, net::OrderRequest(order), kCallTime,
                 [this, one_less, result](ConsoleAnswer answer) {
                   const Said said{ReadLines(answer.body)};
                   if (answer.status == 200) {
                     counters_.Add("orders_sent");
                   } else if (answer.status == 409 && said.Text("verdict") == "of an older term") {
                     result->worked = false;
                     result->replaced = true;
                   } else {
                     counters_.Add(answer.status == 0 ? "orders_unanswered"
                                                      : "orders_refused");  // the next step asks it again
                   }
                   one_less();
                 });
  }
  one_less();
}

}  // namespace umberdyke::agent

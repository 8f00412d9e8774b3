// Drives one balancer by hand: two upstreams, one request, one answer.
#include <cstdio>

#include "umberdyke/balancer.h"

int main() {
  umberdyke::Settings settings;
  umberdyke::RequestClass lookup;
  lookup.repeat = umberdyke::Repeat::kSafe;
  lookup.aim = 500'000;
  lookup.deadline = 2'000'000;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  umberdyke::Micros now = 1'000'000;
  umberdyke::Actions actions;
  umberdyke::Balancer balancer(settings, /*seed=*/42, now, &actions);

  umberdyke::UpstreamEntry first, second;
  first.id = 1;
  second.id = 2;
  balancer.OnList(now, umberdyke::ListUpdate::kCached, {first, second}, &actions);

  umberdyke::Request request;
  request.id = 7;
  request.time_left = 2'000'000;
  balancer.OnRequest(now, request, &actions);

  bool sent = false;
  for (const umberdyke::Action& action : actions) {
    const auto* send = std::get_if<umberdyke::Send>(&action);
    if (send == nullptr) continue;  // timers and the like: the host carries them out
    sent = true;
    std::printf("request %llu goes to upstream %u\n", static_cast<unsigned long long>(send->request),
                send->upstream);
    umberdyke::AttemptEnd end;
    end.request = send->request;
    end.upstream = send->upstream;
    end.outcome = umberdyke::Outcome::kOk;
    end.elapsed = 20'000;
    end.settled = true;
    end.report.emplace().in_flight = 3;
    now += 20'000;
    umberdyke::Actions next;
    balancer.OnAttemptEnd(now, end, &next);
  }
  return sent ? 0 : 1;
}

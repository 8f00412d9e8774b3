// How many connections a sidecar may hold of each kind, and how long its end takes: figures from its settings
// alone.
#ifndef UMBERDYKE_SIDECAR_LIMITS_H_
#define UMBERDYKE_SIDECAR_LIMITS_H_

#include "config/config.h"
#include "loop/loop.h"
#include "server/real_server.h"

namespace umberdyke::net {

// From the notice to the end that an operator forces.
Span KillTime(const Settings& settings);
// By when, after the notice, all that was taken has its answer.
Span AnswerTime(const Settings& settings);
// Until when, after it, what has come on a connection is still taken, and answered at once.
Span TakeTime(const Settings& settings);
// For how long after it requests are taken for their servers.
Span ServeOn(const Settings& settings);
// At the console, at once.
int MostCallers(const Config& config);
// Of clients, and as many of real servers. Two processes of one sidecar hold half of its descriptors each.
int EdgeLimit(const Config& config, bool shared = false);
RealServers::Limits ServerLimits(const Config& config);

}  // namespace umberdyke::net

#endif  // UMBERDYKE_SIDECAR_LIMITS_H_

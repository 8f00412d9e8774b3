// The third stage: where an attempt goes and how long it may take, or why it can't go.
#ifndef UMBERDYKE_FLOW_ROUTE_H_
#define UMBERDYKE_FLOW_ROUTE_H_

#include <optional>

#include "flow/flow.h"
#include "membership/server_list.h"

namespace umberdyke::net {

struct AttemptRoute {
  ServerId server = 0;
  Address address{};
  Span timeout{};
  Time send_by{};  // its last byte, or never
};

class AttemptRouter {
 public:
  AttemptRouter(const ServerList& server_list, const Settings& settings)
      : server_list_(server_list), settings_(settings) {}
  // Nothing where no attempt may go out: an unknown or leaving server, or no time left.
  std::optional<AttemptRoute> operator()(const Flow& flow, ServerId server, std::optional<Span> max_timeout,
                                         std::optional<Span> send_within) const;
  // Whether the list, as it stands now, lets new work go there.
  bool AcceptsNewWork(ServerId server) const;

 private:
  const ServerList& server_list_;
  const Settings& settings_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ROUTE_H_

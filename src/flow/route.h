// Stage 3: determines an attempt's address and timeout, or that it can't be sent.
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
  Time send_by{};  // the request's last byte is written by then or never
};

class AttemptRouter {
 public:
  AttemptRouter(const ServerList& server_list, const Settings& settings)
      : server_list_(server_list), settings_(settings) {}
  // Returns nothing if the server is unknown or leaving, or if no time is left.
  std::optional<AttemptRoute> operator()(const Flow& flow, ServerId server, std::optional<Span> max_timeout,
                                         std::optional<Span> send_within) const;
  // Whether the current server list allows new requests to this server.
  bool AcceptsNewWork(ServerId server) const;

 private:
  const ServerList& server_list_;
  const Settings& settings_;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_FLOW_ROUTE_H_

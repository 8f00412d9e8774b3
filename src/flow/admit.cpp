#include "flow/admit.h"

namespace umberdyke::net {

Flow* FlowAdmission::operator()(EdgeConnection& edge, FlowRequest request) const {
  // Real servers identify requests by id: if forwarded, this one could get the other request's response.
  const bool is_open = flows_.Has(request.id);
  if (is_open || repeat_guard_.Blocks(HashRequestId(request.id))) {
    counters_.Add(is_open ? "requests_of_open_id" : "requests_of_recent_id");
    on_invalid_request_(request.request_class);
    const std::string reason =
        is_open ? "a request with this id is open" : "a request with this id may have run already";
    edge.SendResponse(Platform::BadRequestResponse({409, reason}), false);
    return nullptr;
  }
  Flow& flow = flows_.Add(std::move(request));
  flow.edge = &edge;
  edge.flow = flow.id;
  flow.receiving_body = flow.request.streaming_body;
  flow.admitted = Clock::now();
  deadlines_.OnAdmitted(flow);
  return &flow;
}

}  // namespace umberdyke::net

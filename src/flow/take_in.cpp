#include "flow/take_in.h"

namespace umberdyke::net {

std::optional<FlowRequest> RequestIntake::operator()(EdgeConnection& edge, Message message,
                                                     bool streaming_body, bool ready,
                                                     bool close_after) const {
  const bool keep_alive = message.keep_alive && !close_after;
  auto result = platform_.ParseRequest(std::move(message), streaming_body);
  if (auto* request = std::get_if<FlowRequest>(&result)) {
    counters_.Add("flows_taken");
    return std::move(*request);
  }
  if (const auto* bad = std::get_if<BadRequest>(&result)) {
    counters_.Add("requests_bad");
    if (bad->request_class) on_invalid_request_(*bad->request_class);
    edge.SendResponse(Platform::BadRequestResponse(*bad), keep_alive && bad->status == 404);
  } else if (std::get<Page>(result) == Page::kCounters) {
    edge.SendResponse(Platform::PageResponse(200, counters_.Print("\n"), keep_alive), keep_alive);
  } else {
    edge.SendResponse(Platform::PageResponse(ready ? 200 : 503, ready ? "ready\n" : "draining\n", keep_alive),
                      keep_alive);
  }
  return std::nullopt;
}

void RequestIntake::RespondToInvalidRequest(EdgeConnection& edge, ParseResult error) const {
  counters_.Add("requests_malformed");
  BadRequest bad{400, "this is no HTTP request"};
  if (error == ParseResult::kHeadTooLong) bad = {431, "the headers are too long"};
  if (error == ParseResult::kBodyTooLong) bad = {413, "the body is too long"};
  edge.SendResponse(Platform::BadRequestResponse(bad), false);
}

void RequestIntake::RespondToSlowRequest(EdgeConnection& edge) const {
  counters_.Add("requests_slow");
  edge.SendResponse(Platform::BadRequestResponse({408, "the request took too long to come"}), false);
}

void RequestIntake::RespondToDroppedRequest(EdgeConnection& edge) const {
  counters_.Add("requests_dropped");
  edge.SendResponse(Platform::RejectionResponse(std::chrono::microseconds(0), false), false);
}

}  // namespace umberdyke::net

// Reads the bench protocol line by line and dispatches each event to its balancer instance.
#include "drill/host.h"

#include <string>

namespace umberdyke::benchlink {

int Host::Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  std::string line;
  std::int64_t number = 0;
  while (std::getline(in, line)) {
    ++number;
    try {
      ProcessLine(line);
    } catch (const WireError& error) {
      errors << "line " << number << ": " << error.what() << std::endl;
      return 2;
    }
    if (!reply_complete_) continue;
    out.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
    out.flush();
    reply_.clear();
    reply_complete_ = false;
  }
  if (!in_batch_) return 0;
  errors << "line " << number << ": input ends inside a batch" << std::endl;
  return 2;
}

void Host::ProcessLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  const Fields fields(line);
  if (pending_entries_ > 0) {
    if (fields.tag() != "M") throw WireError("MANIFEST: field elements announces entries that do not follow");
    current_list_->push_back(ParseEntry(fields, &names_));
    --pending_entries_;
    return;
  }
  if (fields.tag() == "FRAME") {
    now_ = fields.Integer("time_us");
    in_batch_ = true;
  } else if (fields.tag() == "EOB" && in_batch_) {
    reply_ += "READY\n";
    in_batch_ = false;
    reply_complete_ = true;
  } else if (in_batch_) {
    ProcessEvent(fields);
  }
}

void Host::ProcessEvent(const Fields& fields) {
  const std::string_view tag = fields.tag();
  if (tag == "MANIFEST") {
    const std::int64_t slot = fields.Integer("slot");
    if (slot < 0 || slot >= static_cast<std::int64_t>(list_slots_.size())) {
      throw WireError("MANIFEST: field slot is unreadable");
    }
    pending_entries_ = fields.Integer("elements");
    if (pending_entries_ < 0) throw WireError("MANIFEST: field elements is unreadable");
    current_list_ = &list_slots_[static_cast<size_t>(slot)];
    current_list_->clear();
    return;
  }
  static constexpr std::string_view kEventTags[] = {"CONFIGURE", "UPDATE",  "JOB_IN",       "CLIENT_GONE",
                                                    "ENDED",     "FLOWING", "CHECK_RESULT", "ELAPSED",
                                                    "HALT",      "DATAGRAM"};
  bool known = false;
  for (const std::string_view name : kEventTags) known = known || name == tag;
  if (!known) return;
  const std::int64_t id = fields.Integer("i");
  if (tag == "HALT") {
    instances_.erase(id);
  } else if (tag == "CONFIGURE") {
    Configure(id, fields);
  } else if (const auto it = instances_.find(id); it != instances_.end()) {
    Dispatch(&it->second, fields);
    WriteActions(id);
  }
}

void Host::Configure(std::int64_t id, const Fields& fields) {
  Configuration configuration = ParseConfiguration(fields);
  const std::int64_t seed = fields.Integer("nonce64");
  instances_.erase(id);
  try {
    Balancer balancer(configuration.settings, static_cast<std::uint64_t>(seed), now_, &actions_);
    const int classes = static_cast<int>(configuration.settings.classes.size());
    instances_.emplace(id, Instance{std::move(balancer), std::move(configuration.columns), classes});
  } catch (const std::invalid_argument& error) {
    actions_.clear();
    reply_ += "BAIL_OUT i=" + std::to_string(id) + " what=" + error.what() + "\n";
  }
  WriteActions(id);
}

void Host::ApplyList(Instance* instance, const Fields& fields) {
  static const std::vector<UpstreamEntry> kNoEntries;
  const ListUpdate kind = ParseListUpdate(fields);
  if (kind == ListUpdate::kFailed) {
    instance->balancer.OnList(now_, kind, kNoEntries, &actions_);
    return;
  }
  const std::int64_t slot = fields.Integer("slot");
  if (slot < 0 || slot >= static_cast<std::int64_t>(list_slots_.size())) {
    throw WireError("UPDATE: field slot is unreadable");
  }
  instance->balancer.OnList(now_, kind, list_slots_[static_cast<size_t>(slot)], &actions_);
}

void Host::Dispatch(Instance* instance, const Fields& fields) {
  Balancer& balancer = instance->balancer;
  const std::string_view tag = fields.tag();
  if (tag == "ENDED") {
    balancer.OnAttemptEnd(now_, ParseAttemptEnd(fields, instance->columns, &names_), &actions_);
  } else if (tag == "JOB_IN") {
    const Request request = ParseRequest(fields);
    if (request.request_class < 0 || request.request_class >= instance->classes) {
      throw WireError("JOB_IN: field qos is unreadable");
    }
    balancer.OnRequest(now_, request, &actions_);
  } else if (tag == "ELAPSED") {
    balancer.OnTimer(now_, static_cast<std::uint64_t>(fields.Integer("name")), &actions_);
  } else if (tag == "UPDATE") {
    ApplyList(instance, fields);
  } else if (tag == "CLIENT_GONE") {
    balancer.OnClientGone(now_, static_cast<RequestId>(fields.Integer("rid")), &actions_);
  } else if (tag == "FLOWING") {
    const RequestId request = static_cast<RequestId>(fields.Integer("rid"));
    balancer.OnStreamStart(now_, request, static_cast<int>(fields.Integer("leg")), &actions_);
  } else if (tag == "CHECK_RESULT") {
    balancer.OnCheck(now_, names_.Intern(fields.Text("upstream")), ParseOutcome(fields),
                     ParseReport(fields, instance->columns), &actions_);
  } else if (tag == "DATAGRAM") {
    // Balancers exchange no messages; the fields are parsed only to report malformed ones.
    fields.Integer("sender");
    ParseBytes(fields, "content");
  }
}

void Host::WriteActions(std::int64_t id) {
  for (const Action& action : actions_) WriteAction(id, action, names_, &reply_);
  actions_.clear();
}

}  // namespace umberdyke::benchlink

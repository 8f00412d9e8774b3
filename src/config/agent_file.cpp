#include "config/agent_file.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/reader.h"
#include "config/units.h"

namespace umberdyke::config {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

std::vector<std::string> Plain(const std::vector<Placed<std::string>>& placed) {
  std::vector<std::string> texts;
  for (const auto& text : placed) texts.push_back(text.value);
  return texts;
}

void Address(Reader& r, const Placed<std::string>& address) {
  if (!address.given || ParseHostPort(address.value)) return;
  r.Tell(address.place, "bad-address", Quoted(address.value) + " is no address in numbers with a port");
}

void Path(Reader& r, const Placed<std::string>& path) {
  if (!path.given || IsNodePath(path.value)) return;
  r.Tell(path.place, "bad-path", Quoted(path.value) + " is no path of a node, such as /linen-track/fleet");
}

AgentFile::Rollout ReadRollout(Reader& o, const Reading& reading) {
  AgentFile::Rollout rollout;
  rollout.label = o.Text("label", Need::kRequired).value;
  rollout.program = o.Text("program", Need::kRequired).value;
  rollout.files = o.Text("files", Need::kRequired).value;
  rollout.run_folder = o.Text("run_folder", Need::kRequired).value;
  rollout.server_command = Plain(o.Texts("server_command", Need::kOptional));
  for (auto [key, into] : {std::pair("look_every_us", &rollout.look_every),
                           {"warm_sidecar_us", &rollout.warm_sidecar},
                           {"warm_server_us", &rollout.warm_server},
                           {"stand_us", &rollout.stand},
                           {"gone_after_us", &rollout.gone_after},
                           {"ready_within_us", &rollout.ready_within},
                           {"end_within_us", &rollout.end_within}})
    *into = o.Micros(key, Need::kRequired, 0s).value;
  rollout.failures = o.Integer("failures", Need::kRequired, 0, 0, 1'000'000).value;
  rollout.least_answers = o.Integer("least_answers", Need::kRequired, 200, 1, 1'000'000'000).value;
  // As the description has it where an older tool wrote the file.
  rollout.stand_answers = o.Integer("stand_answers", Need::kOptional, 100, 0, 1'000'000'000).value;
  rollout.unwell = o.Number("unwell", Need::kOptional, 0.2, 1e-6, 1).value;
  rollout.larger = o.Number("larger", Need::kOptional, 2, 0, 1000).value;
  rollout.back_by_itself = o.Flag("back_by_itself", Need::kRequired, true).value;
  rollout.back_when_unwell = o.Flag("back_when_unwell", Need::kOptional, false).value;
  for (auto [key, into] : {std::pair("least_heard", &rollout.least_heard),
                           {"alarm", &rollout.alarm},
                           {"worse", &rollout.worse},
                           {"slow_by", &rollout.slow_by}})
    *into = o.Number(key, Need::kRequired, 0, 0, 1).value;
  o.Tables("budgets", Need::kRequired, [&](const Node& table, const std::string& at) {
    Reader b(reading, table, table.place, at);
    AgentFile::Budget budget;
    budget.servers = b.Choice("of", Need::kRequired, 0, {{"sidecars", 0}, {"servers", 1}}).value == 1;
    const int by =
        b.Choice("by", Need::kRequired, 0, {{"fleet", 0}, {"tier", 1}, {"zone", 2}, {"kind", 3}, {"host", 4}})
            .value;
    budget.by = kBudgetGroups[by];
    budget.group = b.Text("group", Need::kOptional).value;
    budget.most = b.Integer("most", Need::kOptional, -1, 0, 1'000'000).value;
    budget.share = b.Number("share", Need::kOptional, 0, 0, 1).value;
    budget.least_ready = b.Integer("least_ready", Need::kOptional, 0, 0, 1'000'000).value;
    b.Finish();
    rollout.budgets.push_back(std::move(budget));
  });
  return rollout;
}

Json RolloutJson(const RolloutText& text) {
  Json budgets = Json::array();
  for (const RolloutText::Budget& b : text.budgets) {
    Json one = {{"of", b.of.value == 0 ? "sidecars" : "servers"}, {"by", kBudgetGroups[b.by.value]}};
    if (b.group.given) one["group"] = b.group.value;
    if (b.most.given) one["most"] = b.most.value;
    if (b.share.given) one["share"] = b.share.value;
    one["least_ready"] = b.least_ready.value;
    budgets.push_back(std::move(one));
  }
  return {{"label", text.label.value},
          {"program", text.program.value},
          {"files", text.files.value},
          {"run_folder", text.run_folder.value},
          {"server_command", Plain(text.server_command)},
          {"look_every_us", text.look_every.value.count()},
          {"warm_sidecar_us", text.warm_sidecar.value.count()},
          {"warm_server_us", text.warm_server.value.count()},
          {"stand_us", text.stand.value.count()},
          {"gone_after_us", text.gone_after.value.count()},
          {"ready_within_us", text.ready_within.value.count()},
          {"end_within_us", text.end_within.value.count()},
          {"failures", text.failures.value},
          {"least_answers", text.least_answers.value},
          {"stand_answers", text.stand_answers.value},
          {"unwell", text.unwell.value},
          {"larger", text.larger.value},
          {"back_by_itself", text.back_by_itself.value},
          {"back_when_unwell", text.back_when_unwell.value},
          {"least_heard", text.least_heard.value},
          {"alarm", text.alarm.value},
          {"worse", text.worse.value},
          {"slow_by", text.slow_by.value},
          {"budgets", std::move(budgets)}};
}

}  // namespace

bool IsAgentFile(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  return json.is_object() && json.contains("kind") && json["kind"] == "agent";
}

std::optional<AgentFile> ReadAgentFile(const std::string& file, std::string_view text, Findings* findings) {
  const std::optional<Node> root = ReadJson(file, text, findings);
  if (!root) return std::nullopt;
  if (root->kind != Node::Kind::kTable) {
    findings->Add(file, root->place, "wrong-type", "the file is " + KindName(root->kind) + ", not a table");
    return std::nullopt;
  }
  const size_t before = findings->list().size();
  const Reading reading{file, findings, nullptr, Origin::kFile};
  Reader r(reading, *root, {}, "");
  const auto format = r.Integer("format", Need::kRequired, kAgentFormat, 1, 1'000'000);
  if (format.value > kAgentFormat) {
    r.Tell(format.place, "newer-format",
           "the agent's file is of format " + std::to_string(format.value) + "; this program reads format " +
               std::to_string(kAgentFormat));
    return std::nullopt;
  }
  r.Choice("kind", Need::kRequired, 0, {{"agent", 0}});
  r.Known("written");
  r.Known("sites");
  AgentFile agent;
  agent.application = r.Text("application", Need::kRequired).value;
  agent.host = r.Text("host", Need::kRequired).value;
  agent.zone = r.Text("zone", Need::kRequired).value;
  const auto servers = r.Texts("servers", Need::kRequired);
  for (const auto& server : servers) Address(r, server);
  agent.servers = Plain(servers);
  const auto path = r.Text("path", Need::kRequired);
  Path(r, path);
  agent.path = path.value;
  agent.auth_file = r.Text("auth_file", Need::kOptional).value;
  agent.session = r.Micros("session_us", Need::kOptional, 4s, 200ms).value;
  const auto margin = r.Micros("margin_us", Need::kOptional, 1s, 1ms);
  agent.margin = margin.value;
  if (2 * agent.margin > agent.session) {
    r.Tell(margin.place, "margin-too-long", "the margin is more than half of the session's time");
  }
  agent.rest = r.Micros("rest_us", Need::kOptional, 10s).value;
  agent.census_every = r.Micros("census_every_us", Need::kOptional, 5s, 10ms).value;
  agent.tidy_every = r.Micros("tidy_every_us", Need::kOptional, 60s, 10ms).value;
  agent.tidy_after = r.Micros("tidy_after_us", Need::kOptional, 600s).value;
  agent.hosts = Plain(r.Texts("hosts", Need::kOptional));
  const auto registers = r.Texts("registers", Need::kOptional);
  for (const auto& one : registers) Path(r, one);
  agent.registers = Plain(registers);
  r.Tables("sidecars", Need::kOptional, [&](const Node& table, const std::string& at) {
    Reader s(reading, table, table.place, at);
    AgentFile::Sidecar sidecar;
    sidecar.name = s.Text("name", Need::kRequired).value;
    sidecar.host = s.Text("host", Need::kRequired).value;
    sidecar.zone = s.Text("zone", Need::kRequired).value;
    sidecar.tier = s.Text("tier", Need::kRequired).value;
    const auto console = s.Text("console", Need::kRequired);
    Address(s, console);
    sidecar.console = console.value;
    const auto spare = s.Text("spare", Need::kOptional);
    Address(s, spare);
    sidecar.spare = spare.value;
    s.Finish();
    agent.sidecars.push_back(std::move(sidecar));
  });
  r.Tables("real_servers", Need::kOptional, [&](const Node& table, const std::string& at) {
    Reader s(reading, table, table.place, at);
    AgentFile::Server server;
    for (auto [key, into] : {std::pair("name", &server.name),
                             {"host", &server.host},
                             {"zone", &server.zone},
                             {"tier", &server.tier},
                             {"nodes", &server.nodes}})
      *into = s.Text(key, Need::kRequired).value;
    server.kind = s.Text("kind", Need::kOptional).value;
    s.Finish();
    agent.real_servers.push_back(std::move(server));
  });
  if (const Member* rollout = r.Table("rollout", Need::kOptional); rollout != nullptr) {
    Reader o(reading, rollout->value, rollout->place, "rollout");
    agent.rollout = ReadRollout(o, reading);
    o.Finish();
  }
  if (const Member* log = r.Table("log", Need::kOptional); log != nullptr) {
    Reader l(reading, log->value, log->place, "log");
    l.Choice("format", Need::kOptional, 0, {{"text", 0}, {"json", 1}});
    l.Choice("level", Need::kOptional, 1, {{"debug", 0}, {"info", 1}, {"warning", 2}, {"error", 3}});
    l.Finish();
  }
  r.Finish();
  if (findings->list().size() > before) return std::nullopt;
  const Json json = Json::parse(text, nullptr, false);
  if (const auto sites = json.find("sites"); sites != json.end()) {
    const auto named = sites->find("zones");
    std::vector<std::string> zones;
    for (const Json& zone : named != sites->end() && named->is_array() ? *named : Json::array()) {
      if (zone.is_string()) zones.push_back(zone.get<std::string>());
    }
    auto plan = sites::ReadPlan(sites->dump(), agent.application, zones);
    if (const auto* why = std::get_if<std::string>(&plan)) {
      findings->Add(file, {}, "wrong-type", "sites: " + *why);
      return std::nullopt;
    }
    agent.sites = std::move(std::get<sites::Plan>(plan));
  }
  agent.log_format = json.value("/log/format"_json_pointer, "text");
  agent.log_level = json.value("/log/level"_json_pointer, "info");
  return agent;
}

std::string AgentFileName(const Application& application, std::string_view host) {
  return application.name.value + "." + std::string(host) + ".agent.json";
}

std::string WriteAgentFile(const Application& app, const HostText& host) {
  const FleetText& fleet = app.fleet;
  Json json;
  json["format"] = kAgentFormat;
  json["kind"] = "agent";
  json["written"] = Json::object();
  json["application"] = app.name.value;
  json["host"] = host.name.value;
  json["zone"] = host.zone.value;
  json["servers"] = Plain(fleet.coordinators);
  json["path"] = fleet.path.value;
  if (!fleet.auth_file.value.empty()) json["auth_file"] = fleet.auth_file.value;
  json["session_us"] = fleet.session.value.count();
  json["margin_us"] = fleet.margin.value.count();
  json["rest_us"] = fleet.rest.value.count();
  json["census_every_us"] = fleet.census_every.value.count();
  json["tidy_every_us"] = fleet.tidy_every.value.count();
  json["tidy_after_us"] = fleet.tidy_after.value.count();
  Json hosts = Json::array(), registers = Json::array(), sidecars = Json::array();
  for (const HostText& one : app.hosts) hosts.push_back(one.name.value);
  for (const TierText& tier : app.tiers) {
    const std::string& path = tier.register_under.value;
    if (!path.empty() && std::find(registers.begin(), registers.end(), path) == registers.end()) {
      registers.push_back(path);
    }
  }
  for (const SidecarText& sidecar : app.sidecars) {
    if (!sidecar.console.given) continue;
    sidecars.push_back({{"name", sidecar.name.value},
                        {"host", sidecar.host.value},
                        {"zone", app.Host(sidecar.host.value)->zone.value},
                        {"tier", sidecar.tier.value},
                        {"console", sidecar.console.value}});
    if (sidecar.console_spare.given) sidecars.back()["spare"] = sidecar.console_spare.value;
  }
  json["hosts"] = std::move(hosts);
  json["registers"] = std::move(registers);
  json["sidecars"] = std::move(sidecars);
  if (app.rollout.given) {
    json["rollout"] = RolloutJson(app.rollout);
    Json servers = Json::array();
    for (const ServerText& server : app.servers) {
      servers.push_back({{"name", server.name.value},
                         {"host", server.host.value},
                         {"zone", app.Host(server.host.value)->zone.value},
                         {"tier", server.tier.value},
                         {"kind", server.kind.value},
                         {"nodes", app.Tier(server.tier.value)->nodes.value}});
    }
    json["real_servers"] = std::move(servers);
  }
  json["log"] = {{"format", app.log_format}, {"level", app.log_level}};
  return json.dump();
}

}  // namespace umberdyke::config

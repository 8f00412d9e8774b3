#include "lab/fleet/stand_ins.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "agent/agent.h"
#include "config/agent_file.h"
#include "console/console.h"
#include "files/files.h"
#include "lab/membership/stand_in.h"
#include "log/log.h"
#include "loop/loop.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;

namespace {

int RunZone(const ServersOptions& options, const nlohmann::json& list) {
  net::Loop loop;
  const net::Signal term(loop, SIGTERM, [&] { loop.Stop(); });
  nodes::ClientSettings client;
  client.servers = options.coordinators;
  client.session = 2000ms;
  std::ofstream out(options.ledger, std::ios::app);
  std::random_device random;
  const auto life = random();
  Ledger ledger;
  std::vector<std::unique_ptr<StandIn>> servers;
  for (const nlohmann::json& one : list) {
    StandIn::Settings settings;
    settings.id = one.at("id").get<std::string>();
    settings.zone = one.at("zone").get<std::string>();
    settings.work = std::chrono::milliseconds(one.value("work_ms", 30));
    settings.slots = one.value("slots", 0);
    settings.listen = one.at("listen").get<std::string>();
    for (const auto& face : one.at("faces"))
      settings.faces.emplace_back(face.at(0).get<std::string>(), face.at(1).get<std::string>());
    settings.took = [&out, life, id = settings.id, zone = settings.zone](const net::Message& request) {
      const std::string* key = request.Find("Idempotency-Key");
      const auto now = net::Clock::now().time_since_epoch();
      const auto us = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
      out << nlohmann::json{{"id", id},
                            {"zone", zone},
                            {"life", life},
                            {"us", us},
                            {"key", key == nullptr ? "" : *key}}
                 .dump()
          << std::endl;
    };
    servers.push_back(std::make_unique<StandIn>(loop, client, std::move(settings), ledger,
                                                options.seed * 1000 + servers.size()));
  }
  loop.Run();
  return 0;
}

}  // namespace

int RunServers(const ServersOptions& options) {
  if (!options.servers.empty()) {
    const auto list = nlohmann::json::parse(files::ReadFile(options.servers, 1 << 20).text, nullptr, false);
    return list.is_array() ? RunZone(options, list) : 2;
  }
  net::Loop loop;
  const net::Signal term(loop, SIGTERM, [&] { loop.Stop(); });
  nodes::ClientSettings client;
  client.servers = options.coordinators;
  client.session = 2000ms;
  Ledger ledger;
  std::vector<std::unique_ptr<StandIn>> servers;
  for (int i = 0; i < options.count; ++i) {
    StandIn::Settings settings;
    settings.id = "s" + std::to_string(i);
    settings.zone = i % 2 == 0 ? "east" : "west";
    settings.path = options.path;
    servers.push_back(std::make_unique<StandIn>(loop, client, settings, ledger,
                                                options.seed * 1000 + static_cast<std::uint64_t>(i)));
  }
  loop.Run();
  const std::string text = nlohmann::json{
      {"runs", ledger.runs},
      {"doubled", ledger.doubled},
      {"at_once", ledger.at_once},
      {"repeats_dropped",
       ledger.repeats_dropped}}.dump();
  return files::WriteFileAtomically(options.ledger, text).empty() ? 0 : 1;
}

namespace {

// Just enough of a console to be asked by a census.
class Unfenced {
 public:
  Unfenced(net::Loop& loop, std::string name, log::Log& log)
      : loop_(loop), name_(std::move(name)), log_(log), listener_(loop, [this] { Come(); }) {}
  std::string Listen(const net::Address& address) { return listener_.Listen(address); }

 private:
  struct Caller : net::StreamCallbacks {
    explicit Caller(Unfenced& o) : owner(o), stream(o.loop_, this) {}
    void OnData(std::string_view bytes) override {
      size_t used = 0;
      if (parser.Feed(bytes, &used) == net::ParseResult::kComplete)
        stream.Write(owner.AnswerTo(parser.Take()));
    }
    void OnEnd() override { owner.Gone(this); }
    void Close() { stream.Close(); }
    void OnWritten(bool ok) override {
      if (!ok) owner.Gone(this);
    }
    Unfenced& owner;
    net::Stream stream;
    net::HttpParser parser{net::HttpParser::Kind::kRequest};
  };
  void Come() {
    auto caller = std::make_unique<Caller>(*this);
    if (!caller->stream.Accept(listener_)) return;
    caller->stream.Read();
    callers_.push_back(std::move(caller));
  }
  void Gone(Caller* caller) {
    const auto it =
        std::find_if(callers_.begin(), callers_.end(), [&](const auto& c) { return c.get() == caller; });
    if (it == callers_.end()) return;
    loop_.DestroyLater(std::move(*it));
    callers_.erase(it);
  }
  std::string AnswerTo(const net::Message& message) {
    const auto call = net::ParseConsoleRequest(message);
    if (const auto* order = std::get_if<net::FleetOrder>(&call)) {
      const auto us =
          std::chrono::duration_cast<std::chrono::microseconds>(net::Clock::now().time_since_epoch());
      log_.Say(log::Event::kOrderTaken, "taken, whatever it is",
               {{"duty", order->duty},
                {"term", order->term},
                {"step", order->step},
                {"life", name_},
                {"us", us.count()}});
      return net::ConsoleResponse(200, "verdict=taken\n");
    }
    const auto* plain = std::get_if<net::ConsoleEndpoint>(&call);
    if (plain == nullptr) return net::ConsoleResponse(404, "no\n");
    if (*plain == net::ConsoleEndpoint::kReady) return net::ConsoleResponse(200, "ready\n");
    return net::ConsoleResponse(
        200, "name=" + name_ + "\nstate=serving\napplication=linen-track\nlife=" + name_ + "\n");
  }

  net::Loop& loop_;
  const std::string name_;
  log::Log& log_;
  std::vector<std::unique_ptr<Caller>> callers_;
  net::Listener listener_;
};

}  // namespace

int RunUnfenced(const std::string& console, const std::string& name) {
  net::Loop loop;
  const net::Signal term(loop, SIGTERM, [&] { loop.Stop(); });
  const auto log = log::StderrLog(log::Format::kJson, log::Level::kDebug, name);
  Unfenced place(loop, name, *log);
  const auto address = net::ParseAddress(console);
  if (!address || !place.Listen(*address).empty()) return 2;
  loop.Run();
  return 0;
}

int RunWrongAgent(const std::string& config, const std::string& kind) {
  config::Findings findings;
  const auto settings =
      config::ReadAgentFile(config, files::ReadFile(config, config::kLargestFile).text, &findings);
  if (!settings) {
    std::cerr << config << ": cannot be used\n";
    return 2;
  }
  agent::Wrong wrong;
  wrong.believes = kind == "believes";
  wrong.unchecked = kind == "unchecked";
  wrong.skips = kind == "skips";
  wrong.repeats = kind == "repeats";
  agent::WrongRollout rollout;
  rollout.one_too_many = kind == "one-too-many";
  rollout.forgets = kind == "forgets";
  rollout.twice = kind == "twice";
  rollout.never_back = kind == "never-back";
  net::Loop loop;
  agent::Agent agent(loop, *settings, log::StderrLog(log::Format::kJson, log::Level::kDebug, settings->host),
                     wrong, rollout);
  const net::Signal term(loop, SIGTERM, [&] { agent.End([&] { loop.Stop(); }); });
  agent.Start();
  loop.Run();
  return 0;
}

}  // namespace umberdyke::lab

// The agent of one host: command line, start, signals, exit.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "agent/agent.h"
#include "config/agent_file.h"
#include "files/files.h"
#include "log/log.h"
#include "loop/loop.h"

namespace {

using namespace umberdyke;

std::optional<config::AgentFile> Load(const std::string& path, int* status) {
  const files::ReadResult read = files::ReadFile(path, config::kLargestFile);
  *status = 2;
  if (!read.error.empty()) {
    std::cerr << read.error << "\n";
    return std::nullopt;
  }
  config::Findings findings;
  auto settings = config::ReadAgentFile(path, read.text, &findings);
  findings.Sort({path});
  for (const config::Finding& finding : findings.list()) std::cerr << config::PrintLine(finding) << "\n";
  if (!settings) *status = 1;
  if (settings) *status = 0;
  return settings;
}

int Serve(const config::AgentFile& settings) {
  const auto format = settings.log_format == "json" ? log::Format::kJson : log::Format::kText;
  const auto level = settings.log_level == "debug"     ? log::Level::kDebug
                     : settings.log_level == "warning" ? log::Level::kWarning
                     : settings.log_level == "error"   ? log::Level::kError
                                                       : log::Level::kInfo;
  const auto log = log::StderrLog(format, level, settings.host);
  net::Loop loop;
  agent::Agent agent(loop, settings, log);
  const auto end = [&] { agent.End([&] { loop.Stop(); }); };
  const net::Signal term(loop, SIGTERM, end);
  const net::Signal interrupt(loop, SIGINT, end);
  const auto counters = [&](log::Event event, const char* what) {
    const std::string text = agent.counters().Print("; ");
    log->Say(event, std::string(what) + text, {{"counters", text}});
  };
  const net::Signal print(loop, SIGUSR1, [&] { counters(log::Event::kCounters, "counters: "); });
  agent.Start();
  loop.Run();
  counters(log::Event::kAgentEnds, "the agent ends; counters: ");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string path;
  bool check = false;
  CLI::App app(
      "The agent of one host: does duties on behalf of the fleet, each owned by one agent at a time.");
  app.set_version_flag("--version", "umberdyke_agent " UMBERDYKE_VERSION);
  app.add_option("--config", path, "The JSON file that 'umberdykectl config write' made for this host")
      ->required()
      ->type_name("FILE");
  app.add_flag("--check", check,
               "Read the file, say what is wrong, and exit: 0 clean, 1 findings, 2 unreadable");
  app.footer("Example:\n  umberdyke_agent --config /etc/umberdyke/linen-track.front-a.agent.json");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    int status = 0;
    const auto settings = Load(path, &status);
    if (!settings) return status;
    if (!check) return Serve(*settings);
    std::cout << path << ": good for host " << settings->host << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "umberdyke_agent: " << error.what() << std::endl;
    return 2;
  }
}

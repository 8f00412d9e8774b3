// The main program of the sidecar: command line, startup, signals and exit status.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "config/config.h"
#include "config/sidecar_file.h"
#include "files/files.h"
#include "log/fatal_signal.h"
#include "log/log.h"
#include "loop/loop.h"
#include "sidecar/sidecar.h"

namespace {

using namespace umberdyke;

struct Options {
  std::string config;
  bool check = false;
  std::optional<log::Format> log_format;
  std::optional<log::Level> log_level;
};

const std::map<std::string, log::Format> kFormats = {{"text", log::Format::kText},
                                                     {"json", log::Format::kJson}};
const std::map<std::string, log::Level> kLevels = {{"debug", log::Level::kDebug},
                                                   {"info", log::Level::kInfo},
                                                   {"warning", log::Level::kWarning},
                                                   {"error", log::Level::kError}};

void AddOptions(CLI::App& app, Options* options) {
  app.description(
      "Sidecar load balancer: forwards each request to a server of its tier that can answer before the "
      "deadline.");
  app.set_version_flag("--version", "umberdyke " UMBERDYKE_VERSION);
  app.add_option("--config", options->config, "JSON configuration file; overrides ROUTER_CONFIG")
      ->type_name("FILE");
  app.add_flag("--check", options->check,
               "Check the configuration, print the findings and exit: 0 no findings, 1 findings, "
               "2 cannot be read");
  app.add_option("--log-format", options->log_format, "text or json; overrides log.format of the file")
      ->transform(CLI::CheckedTransformer(kFormats))
      ->type_name("FORMAT");
  app.add_option("--log-level", options->log_level, "debug, info, warning or error; overrides log.level")
      ->transform(CLI::CheckedTransformer(kLevels))
      ->type_name("LEVEL");
  app.footer(
      "Without arguments, the configuration comes from ROUTER_CONFIG, ROUTER_NAME, ROUTER_LISTEN and "
      "ROUTER_DISCOVERY.\n"
      "Example:\n  umberdyke --config /etc/umberdyke/linen-track.front-1.json --log-format json");
}

// SIG_BLOCK holds the signals that have handlers back, and SIG_UNBLOCK delivers them. Before the handlers are
// there, and once they are gone, such a signal would end the process.
void MaskHandledSignals(int how) {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&handled, number);
  sigprocmask(how, &handled, nullptr);
}

// Loads everything that a start loads, prints the findings and returns the exit status.
int CheckConfiguration(const net::Environment& environment) {
  MaskHandledSignals(SIG_UNBLOCK);
  const std::string path = environment("ROUTER_CONFIG").value_or("");
  if (path.empty()) {
    std::cerr << "configuration: ROUTER_CONFIG is not set and --config is not given\n";
    return 2;
  }
  const files::ReadResult read = files::ReadFile(path, config::kLargestFile);
  if (!read.error.empty()) {
    std::cerr << read.error << "\n";
    return 2;
  }
  config::Findings findings;
  config::CheckSidecar(path, read.text, environment, &findings);
  findings.Sort({path});
  for (const config::Finding& finding : findings.list()) std::cout << config::PrintLine(finding) << "\n";
  if (!findings.empty()) return 1;
  // Load it as a start does, including the decision module.
  const net::Config config = net::LoadConfig(environment);
  Actions actions;
  const Balancer balancer(config.settings, config.seed, 0, &actions);
  std::cout << path << ": valid for " << config.name << ", tier " << config.settings.tier << "\n";
  return 0;
}

log::Format FormatOf(const Options& options, const net::Config& config) {
  const auto it = kFormats.find(config.log_format);
  return options.log_format.value_or(it == kFormats.end() ? log::Format::kText : it->second);
}

log::Level LevelOf(const Options& options, const net::Config& config) {
  const auto it = kLevels.find(config.log_level);
  return options.log_level.value_or(it == kLevels.end() ? log::Level::kInfo : it->second);
}

int Serve(const Options& options, const net::Environment& environment) {
  const net::Config config = net::LoadConfig(environment);
  const auto log = log::StderrLog(FormatOf(options, config), LevelOf(options, config), config.name);
  log::ReportFatalSignals(FormatOf(options, config), config.name);
  net::Loop loop;
  net::Sidecar sidecar(loop, config, log);
  const auto shutdown = [&] { sidecar.Shutdown([&] { loop.Stop(); }); };
  const net::Signal terminate(loop, SIGTERM, shutdown);
  const net::Signal interrupt(loop, SIGINT, shutdown);
  // A series of signals is delivered in one turn of the loop, and asks for one reload.
  const auto pending_reload = std::make_shared<bool>(false);
  const net::Signal reload(loop, SIGHUP, [&] {
    if (std::exchange(*pending_reload, true)) return;
    loop.Post(pending_reload, [&] {
      *pending_reload = false;
      sidecar.Reload([&] { return net::ReloadConfig(environment); });
    });
  });
  const net::Signal print(loop, SIGUSR1, [&] {
    log->Say(log::Event::kCounters, "counters: " + sidecar.counters().Print("; "),
             {{"counters", sidecar.counters().Print("; ")}});
  });
  MaskHandledSignals(SIG_UNBLOCK);
  loop.Run();
  MaskHandledSignals(SIG_BLOCK);
  log->Say(log::Event::kEnded, config.name + " ends; counters: " + sidecar.counters().Print("; "),
           {{"counters", sidecar.counters().Print("; ")}});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  MaskHandledSignals(SIG_BLOCK);
  Options options;
  CLI::App app;
  AddOptions(app, &options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  const net::Environment environment = [&](const std::string& name) -> std::optional<std::string> {
    if (name == "ROUTER_CONFIG" && !options.config.empty()) return options.config;
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  try {
    return options.check ? CheckConfiguration(environment) : Serve(options, environment);
  } catch (const net::ConfigError& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "umberdyke: " << error.what() << std::endl;
    return options.check ? 2 : 1;
  }
}

// The sidecar on real sockets: start, signals, exit.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>

#include "config/config.h"
#include "loop/loop.h"
#include "sidecar/sidecar.h"

int main() {
  using namespace umberdyke::net;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const Environment environment = [](const std::string& name) {
      const char* value = std::getenv(name.c_str());
      return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    const Config config = LoadConfig(environment);
    auto log =
        std::make_shared<spdlog::logger>("umberdyke", std::make_shared<spdlog::sinks::stderr_sink_st>());
    log->flush_on(spdlog::level::info);
    Loop loop;
    Sidecar sidecar(loop, config, log);
    const auto end = [&] { sidecar.Drain([&] { loop.Stop(); }); };
    const Signal term(loop, SIGTERM, end);
    const Signal interrupt(loop, SIGINT, end);
    const Signal reload(loop, SIGHUP, [&] { sidecar.Reload([&] { return ReloadConfig(environment); }); });
    const Signal print(loop, SIGUSR1, [&] { log->info("counters: {}", sidecar.counters().Print("; ")); });
    log->info("{} listens on {}, tier {}", config.name, PrintAddress(sidecar.address()),
              config.settings.tier);
    loop.Run();
    log->info("{} ends; counters: {}", config.name, sidecar.counters().Print("; "));
    return 0;
  } catch (const ConfigError& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "umberdyke: " << error.what() << std::endl;
    return 1;
  }
}

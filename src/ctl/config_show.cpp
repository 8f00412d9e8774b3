// config show: the values in effect, and where each came from.
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

#include "ctl/command.h"

namespace umberdyke::ctl {
namespace {

struct Options {
  std::string file;
  std::string format = "text";
  bool environment = false;
};

int Show(const Options& options, const Streams& streams) {
  const std::optional<std::string> text = Load(options.file, streams);
  if (!text) return kUnreadable;
  config::Findings findings;
  std::vector<config::Effective> values;
  bool read = false;
  if (FormOf(options.file, *text) == Form::kDescription) {
    const auto app = config::ReadApplication(options.file, *text, &findings, &values);
    if (app) config::CheckApplication(*app, &findings);
    read = app.has_value();
  } else {
    const config::Variables variables = [&](const std::string& name) -> std::optional<std::string> {
      const char* value = options.environment ? std::getenv(name.c_str()) : nullptr;
      return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    read = config::CheckSidecar(options.file, *text, variables, &findings, &values).has_value();
  }
  findings.Sort({options.file});
  PrintFindings(findings, false, streams.errors);
  if (!read) return kRefused;
  if (options.format == "json") {
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    for (const config::Effective& value : values) {
      all.push_back(
          {{"path", value.path}, {"value", value.value}, {"from", config::OriginName(value.origin)}});
    }
    streams.out << all.dump(2) << "\n";
  } else {
    for (const config::Effective& value : values) {
      streams.out << value.path << " = " << value.value << "  (" << config::OriginName(value.origin) << ")\n";
    }
  }
  return findings.empty() ? kDone : kRefused;
}

}  // namespace

void AddShow(CLI::App& config, const Streams& streams, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* app = config.add_subcommand("show", "Print the values in effect and where each came from");
  app->add_option("FILE", options->file, "A description or a sidecar's file")->required()->type_name("");
  app->add_option("--format", options->format, "text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->type_name("FORMAT")
      ->capture_default_str();
  app->add_flag("--environment", options->environment, "Let ROUTER_* go before the file, as a start does");
  app->footer(
      "Sources: default, description, file, environment. Values whose name tells of a secret are not "
      "printed.\n"
      "Example:\n  umberdykectl config show /etc/umberdyke/linen-track.front-1.json --environment");
  app->callback([options, &streams, status] { *status = Show(*options, streams); });
}

}  // namespace umberdyke::ctl

// config check: every finding of every file, of both forms, alone and together.
#include <memory>
#include <ostream>

#include "config/agent_file.h"
#include "ctl/command.h"

namespace umberdyke::ctl {
namespace {

struct Options {
  std::vector<std::string> files;
  std::string format = "text";
};

int Check(const Options& options, const Streams& streams) {
  config::Findings findings;
  std::vector<config::Application> applications;
  std::vector<config::SidecarFile> sidecars;
  bool unreadable = false;
  const config::Variables none = [](const std::string&) { return std::nullopt; };
  for (const std::string& path : options.files) {
    const std::optional<std::string> text = Load(path, streams);
    if (!text) {
      unreadable = true;
    } else if (FormOf(path, *text) == Form::kDescription) {
      auto app = config::ReadApplication(path, *text, &findings);
      if (!app) continue;
      config::CheckApplication(*app, &findings);
      applications.push_back(std::move(*app));
    } else if (config::IsAgentFile(*text)) {
      config::ReadAgentFile(path, *text, &findings);
    } else if (auto sidecar = config::CheckSidecar(path, *text, none, &findings)) {
      sidecars.push_back(std::move(*sidecar));
    }
  }
  config::CheckTogether(applications, &findings);
  config::CheckSidecarsTogether(sidecars, &findings);
  findings.Sort(options.files);
  PrintFindings(findings, options.format == "json", streams.out);
  return unreadable ? kUnreadable : findings.empty() ? kDone : kRefused;
}

}  // namespace

void AddCheck(CLI::App& config, const Streams& streams, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* app =
      config.add_subcommand("check", "Check descriptions and sidecars' files, alone and together");
  app->add_option("FILE", options->files, "Descriptions (.toml), sidecars' and agents' files (.json)")
      ->required()
      ->type_name("");
  app->add_option("--format", options->format, "text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->type_name("FORMAT")
      ->capture_default_str();
  app->footer(
      "A finding is one line: FILE:LINE:COLUMN: rule-id: reason. Exit status: 0 clean, 1 findings, 2 a file "
      "could\n"
      "not be read. Name all applications that share hosts in one call.\n"
      "Example:\n  umberdykectl config check linen-track.toml valet-desk.toml");
  app->callback([options, &streams, status] { *status = Check(*options, streams); });
}

}  // namespace umberdyke::ctl

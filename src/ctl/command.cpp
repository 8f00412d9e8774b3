#include "ctl/command.h"

#include <algorithm>
#include <ostream>

#include "files/files.h"
#include "planner/tables.h"

namespace umberdyke::ctl {

Form FormOf(const std::string& path, std::string_view text) {
  if (path.ends_with(".toml")) return Form::kDescription;
  if (path.ends_with(".json")) return Form::kSidecar;
  const size_t first = text.find_first_not_of(" \t\r\n\xef\xbb\xbf");
  return first != std::string_view::npos && text[first] == '{' ? Form::kSidecar : Form::kDescription;
}

std::optional<std::string> Load(const std::string& path, const Streams& streams) {
  // One byte past the limit comes along, so that the check tells of the size.
  files::ReadResult read = files::ReadFile(path, config::kLargestFile);
  if (read.error.empty()) return std::move(read.text);
  streams.errors << config::OneLine(read.error, 4096) << "\n";
  return std::nullopt;
}

void PrintFindings(const config::Findings& findings, bool json, std::ostream& out) {
  if (json) {
    out << config::PrintJson(findings.list()) << "\n";
    return;
  }
  for (const config::Finding& finding : findings.list()) out << config::PrintLine(finding) << "\n";
}

std::optional<config::Application> LoadSound(const std::string& path, const Streams& streams, int* status) {
  const std::optional<std::string> text = Load(path, streams);
  *status = kUnreadable;
  if (!text) return std::nullopt;
  config::Findings findings;
  std::optional<config::Application> app = config::ReadApplication(path, *text, &findings);
  if (app) {
    config::CheckApplication(*app, &findings);
    config::CheckTogether({*app}, &findings);
  }
  findings.Sort({path});
  *status = kRefused;
  if (!findings.empty()) {
    PrintFindings(findings, false, streams.out);
    return std::nullopt;
  }
  *status = kDone;
  return app;
}

void DescribeFile(CLI::App& app, const std::string& what, std::string* file, std::string* format) {
  app.add_option("FILE", *file, what)->required()->type_name("");
  app.add_option("--format", *format, "text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->type_name("FORMAT")
      ->capture_default_str();
}

std::optional<std::vector<config::WrittenFile>> FilesOn(const config::Application& application,
                                                        const std::string& host, const Streams& streams) {
  if (application.Host(host) != nullptr) {
    const std::string plan = application.sites.given ? sites::Print(planner::MakePlan(application)) : "";
    return config::WriteSidecars(application, host, plan);
  }
  std::vector<std::string> names;
  for (const config::HostText& known : application.hosts) names.push_back(known.name.value);
  const std::string near = config::Nearest(host, names);
  streams.errors << "application " << application.name.value << " has no host " << config::Quoted(host)
                 << (near.empty() ? "" : "; did you mean " + near + "?") << "\n";
  return std::nullopt;
}

std::vector<std::string> LeftOver(const std::string& folder, const config::Application& application,
                                  const std::string& host, const std::vector<config::WrittenFile>& files) {
  std::vector<std::string> left;
  std::string error;
  for (const std::string& name : files::ListFiles(folder, &error)) {
    if (!name.starts_with(application.name.value + ".") || !name.ends_with(".json")) continue;
    const bool described =
        std::any_of(files.begin(), files.end(), [&](const auto& f) { return f.name == name; });
    if (described) continue;
    const files::ReadResult read = files::ReadFile(folder + "/" + name, config::kLargestFile);
    const auto of = read.error.empty() ? config::BelongsTo(read.text) : std::nullopt;
    if (of && of->application == application.name.value && of->host == host) left.push_back(name);
  }
  return left;
}

int Run(const std::vector<std::string>& arguments, const Streams& streams) {
  int status = kDone;
  CLI::App app("Writes and checks the configuration of umberdyke's sidecars, and tells of their fleet.",
               "umberdykectl");
  app.set_version_flag("--version", "umberdykectl " UMBERDYKE_VERSION);
  app.require_subcommand(1);
  CLI::App* config =
      app.add_subcommand("config", "Descriptions of applications and the files written from them");
  config->require_subcommand(1);
  AddWrite(*config, streams, &status);
  AddDiff(*config, streams, &status);
  AddCheck(*config, streams, &status);
  AddExplain(*config, streams, &status);
  AddShow(*config, streams, &status);
  AddUpgrade(*config, streams, &status);
  AddFleet(app, streams, &status);
  AddSites(app, streams, &status);
  AddRelease(app, streams, &status);
  AddDrain(app, streams, &status);
  AddCompletion(app, streams, &status);
  try {
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, streams.out, streams.errors) == 0 ? kDone : kUnreadable;
  }
  return status;
}

}  // namespace umberdyke::ctl

// config upgrade: an old sidecar's file to the newest format, in place and with a backup.
#include <memory>
#include <ostream>

#include "ctl/command.h"
#include "files/files.h"

namespace umberdyke::ctl {
namespace {

struct Options {
  std::string file;
  bool dry = false;
};

int Upgrade(const Options& options, const Streams& streams) {
  const std::optional<std::string> text = Load(options.file, streams);
  if (!text) return kUnreadable;
  config::Findings findings;
  std::optional<config::Upgraded> upgraded;
  if (FormOf(options.file, *text) == Form::kDescription) {
    // Descriptions have had one format so far: what reads is up to date, what does not says why.
    if (config::ReadApplication(options.file, *text, &findings) && findings.empty()) {
      streams.out << options.file << ": is of the newest format, " << config::kDescriptionFormat << "\n";
      return kDone;
    }
  } else {
    upgraded = config::UpgradeSidecar(options.file, *text, &findings);
  }
  if (!upgraded) {
    findings.Sort({options.file});
    PrintFindings(findings, false, streams.out);
    return kRefused;
  }
  if (upgraded->from == config::kSidecarFormat) {
    streams.out << options.file << ": is of the newest format, " << config::kSidecarFormat << "\n";
    return kDone;
  }
  if (!options.dry) {
    const std::string backup = options.file + ".format" + std::to_string(upgraded->from);
    const files::ReadResult old = files::ReadFile(backup, config::kLargestFile);
    if (!old.missing && old.text != *text) {
      streams.errors << backup << ": another backup lies there; move it away first\n";
      return kRefused;
    }
    for (const auto& [path, content] : {std::pair(backup, *text), std::pair(options.file, upgraded->text)}) {
      if (const std::string error = files::WriteFileAtomically(path, content); !error.empty()) {
        streams.errors << error << "\n";
        return kUnreadable;
      }
    }
    streams.out << options.file << ": upgraded from format " << upgraded->from << " to "
                << config::kSidecarFormat << "; the old one is " << backup << "\n";
  }
  for (const std::string& note : upgraded->notes) streams.out << "  " << note << "\n";
  if (options.dry) streams.out << upgraded->text;
  return kDone;
}

}  // namespace

void AddUpgrade(CLI::App& config, const Streams& streams, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* app =
      config.add_subcommand("upgrade", "Bring a file to the newest format, in place, with a backup");
  app->add_option("FILE", options->file, "A sidecar's file or a description")->required()->type_name("");
  app->add_flag("--dry-run", options->dry, "Print the upgraded file; write nothing");
  app->footer(
      "What cannot be carried over is a finding at its line, and nothing is written.\n"
      "Example:\n  umberdykectl config upgrade /etc/umberdyke/n1.json");
  app->callback([options, &streams, status] { *status = Upgrade(*options, streams); });
}

}  // namespace umberdyke::ctl

// config write: a description to the files of one host's sidecars.
#include <filesystem>
#include <memory>
#include <ostream>

#include "ctl/command.h"
#include "files/files.h"

namespace umberdyke::ctl {
namespace {

struct Options {
  std::string file, host, out;
  bool force = false;
  bool prune = false;
};

// One file that is to be written, against what lies there.
struct Step {
  const config::WrittenFile* file;
  std::string path;
  std::string before;
  bool there = false;
};

int Write(const Options& options, const Streams& streams) {
  int status = kDone;
  const auto app = LoadSound(options.file, streams, &status);
  if (!app) return status;
  const auto files = FilesOn(*app, options.host, streams);
  if (!files) return kRefused;
  std::error_code code;
  std::filesystem::create_directories(options.out, code);
  if (code) {
    streams.errors << options.out << ": cannot be made: " << code.message() << "\n";
    return kUnreadable;
  }
  // Everything is looked at before anything is written: a refusal leaves the folder as it was.
  std::vector<Step> steps;
  bool refused = false;
  for (const config::WrittenFile& file : *files) {
    Step step{&file, options.out + "/" + file.name, "", false};
    if (files::IsSymlink(step.path)) {
      streams.errors << step.path << ": is a symbolic link, which is not written through\n";
      return kUnreadable;
    }
    files::ReadResult read = files::ReadFile(step.path, config::kLargestFile);
    if (!read.error.empty() && !read.missing) {
      streams.errors << read.error << "\n";
      return kUnreadable;
    }
    step.there = read.error.empty();
    step.before = std::move(read.text);
    const config::Hand hand = step.there ? config::ChangedByHand(step.before) : config::Hand::kUntouched;
    if (hand != config::Hand::kUntouched && step.before != file.text && !options.force) {
      streams.errors << step.path
                     << (hand == config::Hand::kChanged ? ": was changed by hand since it was written"
                                                        : ": was not written by this tool")
                     << "; --force writes over it\n";
      refused = true;
    }
    steps.push_back(std::move(step));
  }
  if (refused) return kRefused;
  for (const Step& step : steps) {
    if (step.there && step.before == step.file->text) {
      streams.out << step.path << ": unchanged\n";
      continue;
    }
    if (const std::string error = files::WriteFileAtomically(step.path, step.file->text); !error.empty()) {
      streams.errors << error << "\n";
      return kUnreadable;
    }
    streams.out << step.path << (step.there ? ": changed\n" : ": written\n");
    if (!step.there) continue;
    for (const std::string& line : config::Differences(step.before, step.file->text)) {
      streams.out << "  " << line << "\n";
    }
  }
  for (const std::string& name : LeftOver(options.out, *app, options.host, *files)) {
    const std::string path = options.out + "/" + name;
    if (!options.prune) {
      streams.out << path << ": left over, the description has it no longer (--prune removes it)\n";
    } else if (std::filesystem::remove(path, code) && !code) {
      streams.out << path << ": removed\n";
    } else {
      streams.errors << path << ": cannot be removed: " << code.message() << "\n";
      status = kUnreadable;
    }
  }
  return status;
}

}  // namespace

void AddWrite(CLI::App& config, const Streams& streams, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* app = config.add_subcommand("write", "Write the files of every sidecar on one host");
  app->add_option("FILE", options->file, "The application's description")->required()->type_name("");
  app->add_option("--host", options->host, "The host whose sidecars to write")->required()->type_name("NAME");
  app->add_option("--out", options->out, "The folder to write into; made where it is missing")
      ->required()
      ->type_name("DIR");
  app->add_flag("--force", options->force, "Write over files that were changed by hand");
  app->add_flag("--prune", options->prune, "Remove files of this application and host that are left over");
  app->footer(
      "Nothing is written where the description has findings. The same description gives the same bytes.\n"
      "Example:\n  umberdykectl config write linen-track.toml --host front-a --out /etc/umberdyke");
  app->callback([options, &streams, status] { *status = Write(*options, streams); });
}

}  // namespace umberdyke::ctl

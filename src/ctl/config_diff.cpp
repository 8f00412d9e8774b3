// config diff: what a write would change, without writing.
#include <memory>
#include <ostream>

#include "ctl/command.h"
#include "files/files.h"

namespace umberdyke::ctl {
namespace {

struct Options {
  std::string file, host, out;
};

int Diff(const Options& options, const Streams& streams) {
  int status = kDone;
  const auto app = LoadSound(options.file, streams, &status);
  if (!app) return status;
  const auto files = FilesOn(*app, options.host, streams);
  if (!files) return kRefused;
  for (const config::WrittenFile& file : *files) {
    const std::string path = options.out + "/" + file.name;
    const files::ReadResult read = files::ReadFile(path, config::kLargestFile);
    if (read.missing) {
      streams.out << path << ": would be written anew\n";
      status = kRefused;
      continue;
    }
    if (!read.error.empty()) {
      streams.errors << read.error << "\n";
      return kUnreadable;
    }
    const config::Hand hand = config::ChangedByHand(read.text);
    if (read.text == file.text) continue;
    status = kRefused;
    streams.out << path << ": differs"
                << (hand == config::Hand::kChanged   ? ", and was changed by hand"
                    : hand == config::Hand::kNotOurs ? ", and was not written by this tool"
                                                     : "")
                << "\n";
    for (const std::string& line : config::Differences(read.text, file.text)) {
      streams.out << "  " << line << "\n";
    }
  }
  for (const std::string& name : LeftOver(options.out, *app, options.host, *files)) {
    streams.out << options.out << "/" << name << ": left over, the description has it no longer\n";
    status = kRefused;
  }
  return status;
}

}  // namespace

void AddDiff(CLI::App& config, const Streams& streams, int* status) {
  auto options = std::make_shared<Options>();
  CLI::App* app = config.add_subcommand("diff", "Say what 'write' would change; 1 where it is anything");
  app->add_option("FILE", options->file, "The application's description")->required()->type_name("");
  app->add_option("--host", options->host, "The host whose sidecars to compare")
      ->required()
      ->type_name("NAME");
  app->add_option("--out", options->out, "The folder that was written into")->required()->type_name("DIR");
  app->footer("Example:\n  umberdykectl config diff linen-track.toml --host front-a --out /etc/umberdyke");
  app->callback([options, &streams, status] { *status = Diff(*options, streams); });
}

}  // namespace umberdyke::ctl

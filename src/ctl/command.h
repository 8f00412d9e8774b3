// umberdykectl, the operators' tool: one file a subcommand, each with its words of the command line and its
// work.
//
// This room may not know sockets or the sidecar's inside: what agents keep is read through src/fleet. What it
// says goes to the streams it is handed, and every subcommand ends with 0 (done, clean), 1 (findings, or
// refused) or 2 (could not read or write).
#ifndef UMBERDYKE_CTL_COMMAND_H_
#define UMBERDYKE_CTL_COMMAND_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "config/application.h"
#include "config/finding.h"
#include "config/sidecar_file.h"

namespace umberdyke::ctl {

constexpr int kDone = 0;
constexpr int kRefused = 1;
constexpr int kUnreadable = 2;

struct Streams {
  std::ostream& out;
  std::ostream& errors;
};

// Runs the whole tool; `arguments` without the program's name.
int Run(const std::vector<std::string>& arguments, const Streams& streams);

// Each adds its subcommand; the status of the one that runs goes to `status`.
void AddWrite(CLI::App& config, const Streams& streams, int* status);
void AddDiff(CLI::App& config, const Streams& streams, int* status);
void AddCheck(CLI::App& config, const Streams& streams, int* status);
void AddExplain(CLI::App& config, const Streams& streams, int* status);
void AddShow(CLI::App& config, const Streams& streams, int* status);
void AddUpgrade(CLI::App& config, const Streams& streams, int* status);
void AddFleet(CLI::App& app, const Streams& streams, int* status);
void AddSites(CLI::App& app, const Streams& streams, int* status);
void AddRelease(CLI::App& app, const Streams& streams, int* status);
void AddDrain(CLI::App& app, const Streams& streams, int* status);
void AddCompletion(CLI::App& app, const Streams& streams, int* status);

// --- What several subcommands need ---

// The words of a subcommand that reads one file and prints text or JSON.
void DescribeFile(CLI::App& app, const std::string& what, std::string* file, std::string* format);

enum class Form { kDescription, kSidecar };
// By its ending (.toml, .json), else by whether it begins with a brace.
Form FormOf(const std::string& path, std::string_view text);

// The file's text; absent, with its one line of why said, where it cannot be read.
std::optional<std::string> Load(const std::string& path, const Streams& streams);

void PrintFindings(const config::Findings& findings, bool json, std::ostream& out);

// A description without findings; absent where there are some, which are said, or it cannot be read.
// `status` says which.
std::optional<config::Application> LoadSound(const std::string& path, const Streams& streams, int* status);

// The files of one host; absent, and said, where the application has no such host.
std::optional<std::vector<config::WrittenFile>> FilesOn(const config::Application& application,
                                                        const std::string& host, const Streams& streams);

// Files in the folder that this tool wrote for the application and host, and that the description no longer
// has.
std::vector<std::string> LeftOver(const std::string& folder, const config::Application& application,
                                  const std::string& host, const std::vector<config::WrittenFile>& files);

}  // namespace umberdyke::ctl

#endif  // UMBERDYKE_CTL_COMMAND_H_

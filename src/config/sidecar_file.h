// The JSON file that one sidecar starts from: writing it from a description, checking it, and bringing an old
// one to the newest format. docs/configuration.md is the form in words.
#ifndef UMBERDYKE_CONFIG_SIDECAR_FILE_H_
#define UMBERDYKE_CONFIG_SIDECAR_FILE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/application.h"
#include "config/finding.h"
#include "config/reader.h"

namespace umberdyke::config {

// Format 1 has no `format`: the platform's form, in which names that nobody knows are disregarded. Format 2
// is what `config write` makes: every key is known, and the program refuses a file with any finding.
constexpr int kSidecarFormat = 2;

struct WrittenFile {
  std::string name;  // APPLICATION.SIDECAR.json
  std::string text;
};

// The files of all sidecars on that host, in the description's order, and its agent's where there is a fleet;
// the same description gives the same bytes. The application has to be without findings. `plan`: for the loss
// of zones, as JSON; empty: none is written.
std::vector<WrittenFile> WriteSidecars(const Application& application, std::string_view host,
                                       const std::string& plan = "");

// Whether a file is as `config write` left it. Its checksum (XXH3) stands in the file itself.
enum class Hand { kUntouched, kChanged, kNotOurs };
Hand ChangedByHand(std::string_view text);
// The application and host that a written file is of; absent for others.
struct Belongs {
  std::string application;
  std::string host;
};
std::optional<Belongs> BelongsTo(std::string_view text);

// Differences of two files' values, a line each: "settings.ceilings.most_tries: 5 -> 3". Secrets are masked.
std::vector<std::string> Differences(std::string_view before, std::string_view after);

// The ROUTER_* variables, absent where not set.
using Variables = std::function<std::optional<std::string>(const std::string&)>;

// What checks between files need of one file.
struct SidecarFile {
  std::string file;
  int format = 1;
  Placed<std::string> name, application, host, listen, console, peer_listen;
};

// Checks one file. Absent where it cannot be read or is of a newer format.
std::optional<SidecarFile> CheckSidecar(const std::string& file, std::string_view text,
                                        const Variables& variables, Findings* findings,
                                        std::vector<Effective>* trace = nullptr);
// The rules between files: names and addresses that two of one host both hold.
void CheckSidecarsTogether(const std::vector<SidecarFile>& files, Findings* findings);

struct Upgraded {
  int from = 1;
  std::string text;                // the same as before where it was of the newest format
  std::vector<std::string> notes;  // what was changed or left out, a line each
};
// Absent, with findings at the lines concerned, where something cannot be carried over.
std::optional<Upgraded> UpgradeSidecar(const std::string& file, std::string_view text, Findings* findings);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_SIDECAR_FILE_H_

// What the tests of the configuration tool share: good files, and edits that break them.
#ifndef UMBERDYKE_TESTS_CONFIG_CASES_H_
#define UMBERDYKE_TESTS_CONFIG_CASES_H_

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/application.h"
#include "config/sidecar_file.h"

namespace umberdyke::config {

inline std::string TextOf(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!(text << file.rdbuf())) throw std::runtime_error("no such file: " + path);
  return text.str();
}

inline Variables NoVariables() {
  return [](const std::string&) { return std::nullopt; };
}

// One edit of a good text; it has to fit, or the case tests nothing.
inline std::string Edited(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  if (at == std::string::npos) throw std::runtime_error("nothing to edit: " + from);
  return text.replace(at, from.size(), to);
}

// The line on which `mark` first stands; 1 for an empty mark.
inline int LineOf(const std::string& text, const std::string& mark) {
  const size_t at = mark.empty() ? 0 : text.find(mark);
  if (at == std::string::npos) throw std::runtime_error("no such mark: " + mark);
  return 1 + static_cast<int>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
}

inline std::string Join(const Findings& findings) {
  std::string all;
  for (const Finding& f : findings.list()) all += PrintLine(f) + "\n";
  return all;
}

// All findings of descriptions, alone and together, as the tool makes them.
inline Findings CheckDescriptions(const std::vector<std::string>& texts) {
  Findings findings;
  std::vector<Application> apps;
  std::vector<std::string> files;
  for (const std::string& text : texts) {
    files.push_back("app" + std::to_string(files.size()) + ".toml");
    auto app = ReadApplication(files.back(), text, &findings);
    if (!app) continue;
    CheckApplication(*app, &findings);
    apps.push_back(std::move(*app));
  }
  CheckTogether(apps, &findings);
  findings.Sort(files);
  return findings;
}

struct Broken {
  std::string from, to;  // the edit
  std::string rule;
  std::string mark;  // on the line of the finding
};

}  // namespace umberdyke::config

#endif  // UMBERDYKE_TESTS_CONFIG_CASES_H_

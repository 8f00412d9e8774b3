// Both parsers and all checks on whatever bytes come. The first byte picks the form. What has to hold: no
// crash, findings of one line with known rules, and a description without findings gives files without
// findings that the program itself takes.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "config/application.h"
#include "config/config.h"
#include "config/rules.h"
#include "config/sidecar_file.h"

namespace {

using namespace umberdyke;

const config::Variables kNone = [](const std::string&) { return std::nullopt; };

void Must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

void Sound(const config::Findings& findings) {
  for (const config::Finding& f : findings.list()) {
    Must(config::FindRule(f.rule) != nullptr, "a finding's rule is known");
    Must(config::PrintLine(f).find('\n') == std::string::npos, "a finding is one line");
    Must(f.place.line >= 1 && f.place.column >= 0, "a finding has a place");
  }
  config::PrintJson(findings.list());
}

void Sidecar(const std::string& text) {
  config::Findings findings;
  const auto read = config::CheckSidecar("f.json", text, kNone, &findings);
  Sound(findings);
  if (read && findings.empty()) net::ParseConfig(text, kNone);
  config::Findings more;
  if (const auto upgraded = config::UpgradeSidecar("f.json", text, &more)) {
    config::Findings left;
    config::CheckSidecar("f.json", upgraded->text, kNone, &left);
    Must(left.empty(), "what was upgraded has no findings");
  }
  Sound(more);
  config::ChangedByHand(text);
  config::Differences(text, "{}");
}

void Description(const std::string& text) {
  config::Findings findings;
  std::vector<config::Effective> trace;
  const auto app = config::ReadApplication("f.toml", text, &findings, &trace);
  if (app) {
    config::CheckApplication(*app, &findings);
    config::CheckTogether({*app, *app}, &findings);
  }
  Sound(findings);
  if (!app) return;
  config::Findings alone;
  config::ReadApplication("f.toml", text, &alone);
  config::CheckApplication(*app, &alone);
  config::CheckTogether({*app}, &alone);
  if (!alone.empty()) return;
  for (const config::HostText& host : app->hosts) {
    for (const config::WrittenFile& file : config::WriteSidecars(*app, host.name.value)) {
      config::Findings of_file;
      config::CheckSidecar(file.name, file.text, kNone, &of_file);
      for (const config::Finding& f : of_file.list())
        std::fprintf(stderr, "%s\n", config::PrintLine(f).c_str());
      Must(of_file.empty(), "what is written has no findings");
      net::ParseConfig(file.text, kNone);
      Must(config::ChangedByHand(file.text) == config::Hand::kUntouched, "what is written is untouched");
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  if (data[0] == 'j') {
    Sidecar(text);
  } else {
    Description(text);
  }
  return 0;
}

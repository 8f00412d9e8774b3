// config explain: why a rule exists and how to mend what it finds.
#include <memory>
#include <ostream>

#include "config/rules.h"
#include "ctl/command.h"

namespace umberdyke::ctl {
namespace {

int Explain(const std::string& id, const Streams& streams) {
  if (id.empty()) {
    for (const config::Rule& rule : config::Rules()) streams.out << rule.id << ": " << rule.about << "\n";
    return kDone;
  }
  if (const config::Rule* rule = config::FindRule(id); rule != nullptr) {
    streams.out << rule->id << ": " << rule->about << "\n\nWhy: " << rule->why << "\nMend: " << rule->mend
                << "\n";
    return kDone;
  }
  std::vector<std::string> ids;
  for (const config::Rule& rule : config::Rules()) ids.emplace_back(rule.id);
  const std::string near = config::Nearest(id, ids);
  streams.errors << "there is no rule " << config::Quoted(id)
                 << (near.empty() ? "" : "; did you mean " + near + "?") << "\n";
  return kRefused;
}

}  // namespace

void AddExplain(CLI::App& config, const Streams& streams, int* status) {
  auto id = std::make_shared<std::string>();
  CLI::App* app = config.add_subcommand("explain", "Say why a rule exists and how to mend what it finds");
  app->add_option("RULE", *id, "The rule's id; all are listed where it is left out")->type_name("");
  app->footer("Example:\n  umberdykectl config explain window-too-long");
  app->callback([id, &streams, status] { *status = Explain(*id, streams); });
}

}  // namespace umberdyke::ctl

// completion: a bash completion made from the command line as it is declared, so that it never lags behind.
#include <ostream>

#include "config/rules.h"
#include "ctl/command.h"

namespace umberdyke::ctl {
namespace {

const CLI::App& Root(const CLI::App& app) {
  return app.get_parent() == nullptr ? app : Root(*app.get_parent());
}

// One case for each command line so far, such as "config write".
void Cases(const CLI::App& app, const std::string& path, std::ostream& out) {
  std::string words;
  for (const CLI::App* sub : app.get_subcommands([](const CLI::App*) { return true; })) {
    words += " " + sub->get_name();
  }
  for (const CLI::Option* option : app.get_options()) {
    for (const std::string& name : option->get_lnames()) words += " --" + name;
  }
  if (path == "config explain") {
    for (const config::Rule& rule : config::Rules()) words += " " + std::string(rule.id);
  }
  const bool takes_files =
      !app.get_options([](const CLI::Option* o) { return o->get_name() == "FILE"; }).empty();
  out << "    '" << path << "') words='" << words.substr(words.empty() ? 0 : 1)
      << "'; files=" << (takes_files ? 1 : 0) << ";;\n";
  for (const CLI::App* sub : app.get_subcommands([](const CLI::App*) { return true; })) {
    Cases(*sub, path.empty() ? sub->get_name() : path + " " + sub->get_name(), out);
  }
}

void Complete(const CLI::App& root, std::ostream& out) {
  out << "# bash completion for umberdykectl: source <(umberdykectl completion bash)\n"
         "_umberdykectl() {\n"
         "  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]} path= words= "
         "files=0 word\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    case $word in -*|*/*|*.*) break;; esac\n"
         "    path=\"${path:+$path }$word\"\n"
         "  done\n"
         "  case $previous in\n"
         "    --out) COMPREPLY=($(compgen -d -- \"$current\")); return;;\n"
         "    --format) COMPREPLY=($(compgen -W 'text json' -- \"$current\")); return;;\n"
         "    --host) COMPREPLY=(); return;;\n"
         "  esac\n"
         "  case $path in\n";
  Cases(root, "", out);
  out << "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  if [ $files = 1 ]; then COMPREPLY+=($(compgen -f -- \"$current\")); fi\n"
         "}\n"
         "complete -o filenames -F _umberdykectl umberdykectl\n";
}

}  // namespace

void AddCompletion(CLI::App& app, const Streams& streams, int* status) {
  CLI::App* completion = app.add_subcommand("completion", "Print a completion script for a shell");
  completion->require_subcommand(1);
  CLI::App* bash = completion->add_subcommand("bash", "For bash");
  bash->footer("Example:\n  source <(umberdykectl completion bash)");
  bash->callback([bash, &streams, status] {
    Complete(Root(*bash), streams.out);
    *status = kDone;
  });
}

}  // namespace umberdyke::ctl

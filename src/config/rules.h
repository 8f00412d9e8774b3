// Every rule that a check may name: its id, why it exists and how to mend what it finds.
#ifndef UMBERDYKE_CONFIG_RULES_H_
#define UMBERDYKE_CONFIG_RULES_H_

#include <string_view>
#include <vector>

namespace umberdyke::config {

struct Rule {
  std::string_view id;
  std::string_view about;  // one line
  std::string_view why;
  std::string_view mend;
};

const std::vector<Rule>& Rules();
// nullptr where there is no rule of that id.
const Rule* FindRule(std::string_view id);

}  // namespace umberdyke::config

#endif  // UMBERDYKE_CONFIG_RULES_H_

#include "lab/fleet/evidence.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "fleet/records.h"
#include "owner/claim.h"

namespace umberdyke::lab {
namespace {

using Json = nlohmann::json;

constexpr size_t kRound = 6;  // lines of a timeline before and after what broke

template <typename Each>
void Lines(std::string_view text, Each each) {
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const Json line = Json::parse(text.substr(0, end), nullptr, false);
    if (line.is_object()) each(line);
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

// "name 3; other 4" and "name=3" alike.
void ReadCounts(std::string text, std::map<std::string, std::uint64_t>* counts) {
  std::replace(text.begin(), text.end(), ';', '\n');
  std::replace(text.begin(), text.end(), '=', ' ');
  std::istringstream in(text);
  std::string name;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::uint64_t count = 0;
    if (words >> name >> count) (*counts)[name] += count;
  }
}

class Judging {
 public:
  explicit Judging(const Evidence& evidence) : evidence_(evidence) {}

  Verdict Run() {
    for (const PlaceLog& place : evidence_.places) Place(place);
    Service();
    const Asked& asked = evidence_.asked;
    if (asked.lost > 0) Break("lost", std::to_string(asked.lost) + " requests had no answer", {});
    if (asked.doubled > 0) Break("doubled", std::to_string(asked.doubled) + " handovers ran twice", {});
    if (asked.at_once > 0)
      Break("at-once", std::to_string(asked.at_once) + " requests were out twice at once", {});
    if (asked.late_to_drained > 0) Break("late-to-drained", "requests came to a drained server", {});
    for (const std::string& trouble : evidence_.troubles) Break("trouble", trouble, {});
    return std::move(verdict_);
  }

 private:
  void Break(const std::string& rule, const std::string& what, std::vector<std::string> timeline) {
    verdict_.broken.emplace_back(rule, what);
    if (verdict_.timeline.empty()) verdict_.timeline = std::move(timeline);
  }

  static std::string Told(const TakenOrder& o) {
    return std::to_string(o.us) + " us: " + o.duty + " step " + std::to_string(o.step) + " of term " +
           std::to_string(o.term) + " in life " + o.life.substr(0, 8);
  }

  // At no place is an older term's effect taken after a newer one's, over all its lives; and nothing twice in
  // one.
  void Place(const PlaceLog& place) {
    std::map<std::string, std::int64_t> newest;
    std::map<std::pair<std::string, std::string>, std::int64_t> last;
    for (size_t i = 0; i < place.taken.size(); ++i) {
      const TakenOrder& order = place.taken[i];
      ++verdict_.orders;
      const auto timeline = [&] {
        std::vector<std::string> lines = {"orders taken by " + place.name + ":"};
        for (size_t k = i < kRound ? 0 : i - kRound; k < std::min(place.taken.size(), i + kRound); ++k) {
          lines.push_back((k == i ? "> " : "  ") + Told(place.taken[k]));
        }
        return lines;
      };
      std::int64_t& term = newest[order.duty];
      if (order.term < term) {
        Break("older-after-newer",
              place.name + " took a step of term " + std::to_string(order.term) + " after one of term " +
                  std::to_string(term),
              timeline());
      }
      term = std::max(term, order.term);
      std::int64_t& step = last[{order.life, order.duty}];
      if (order.step <= step) {
        Break("twice",
              place.name + " took step " + std::to_string(order.step) + " after step " + std::to_string(step),
              timeline());
      }
      step = std::max(step, order.step);
    }
    for (const auto& [name, count] : place.counts) {
      if (name == "invariant_broken" && count > 0)
        Break("invariant", place.name + " counted a broken invariant", {});
      if (name == "orders_old_term" || name == "orders_old_step" || name == "orders_other_life" ||
          name == "orders_repeated") {
        verdict_.dangers[name] += count;
      }
    }
  }

  // In the service: steps in order, each written by whoever owned the duty at that moment, and terms that
  // grow.
  void Service() {
    struct Duty {
      std::map<std::int64_t, std::int64_t> claims;  // number to term, of those that stand
      owner::Journal journal;
      std::set<std::int64_t> terms;
    };
    std::map<std::string, Duty> duties;
    const std::string prefix = evidence_.base + "/duties/";
    for (size_t i = 0; i < evidence_.service.size(); ++i) {
      const ServiceLine& line = evidence_.service[i];
      const auto timeline = [&] {
        std::vector<std::string> lines = {"written at the service:"};
        for (size_t k = i < kRound ? 0 : i - kRound; k < std::min(evidence_.service.size(), i + kRound);
             ++k) {
          const ServiceLine& l = evidence_.service[k];
          lines.push_back((k == i ? "> " : "  ") + std::to_string(l.us) + " us: " + l.what + " " + l.path +
                          " zxid " + std::to_string(l.zxid) + " " + l.data.substr(0, 160));
        }
        return lines;
      };
      if (line.what == "refused") {
        ++verdict_.dangers["writes_refused"];
        continue;
      }
      if (!line.path.starts_with(prefix)) continue;
      const std::string rest = line.path.substr(prefix.size());
      const size_t slash = rest.find('/');
      if (slash == std::string::npos) continue;
      Duty& duty = duties[rest.substr(0, slash)];
      const std::string below = rest.substr(slash + 1);
      if (below.starts_with("claims/")) {
        const auto name = owner::ReadClaimName(below.substr(7));
        if (!name) continue;
        if (line.what == "created") duty.claims[name->number] = line.zxid;
        if (line.what == "deleted") duty.claims.erase(name->number);
        continue;
      }
      if (below != "journal" || line.what != "set") continue;
      const auto read = fleet::ReadJournal(line.data);
      const auto* next = std::get_if<owner::Journal>(&read);
      if (next == nullptr) {
        if (line.session != 0) Break("journal", "a journal that cannot be read was written", timeline());
        continue;
      }
      if (!owner::Follows(duty.journal, *next)) {
        const bool older = next->term < duty.journal.term;
        const bool skipped = next->step > duty.journal.step + 1;
        Break(older     ? "older-after-newer"
              : skipped ? "skipped"
                        : "journal",
              "the journal of " + rest.substr(0, slash) + " goes from step " +
                  std::to_string(duty.journal.step) + " of term " + std::to_string(duty.journal.term) +
                  " to step " + std::to_string(next->step) + " of term " + std::to_string(next->term),
              timeline());
      }
      if (duty.claims.empty() || duty.claims.begin()->second != next->term) {
        Break("not-the-owner",
              "step " + std::to_string(next->step) + " of " + rest.substr(0, slash) +
                  " was written under term " + std::to_string(next->term) + ", which did not own it",
              timeline());
      }
      duty.journal = *next;
      duty.terms.insert(next->term);
      if (next->committed) ++verdict_.steps;
    }
    for (const auto& [name, duty] : duties) verdict_.terms += duty.terms.size();
  }

  const Evidence& evidence_;
  Verdict verdict_;
};

}  // namespace

void ReadPlaceLog(std::string_view log, PlaceLog* place) {
  Lines(log, [&](const Json& line) {
    const std::string event = line.value("event", "");
    if (event == "order-taken") {
      place->taken.push_back({line.value("life", ""), line.value("duty", ""),
                              line.value("term", std::int64_t{0}), line.value("step", std::int64_t{0}),
                              line.value("us", std::int64_t{0})});
    }
    if (event == "ended") ReadCounts(line.value("counters", ""), &place->counts);
  });
}

std::vector<ServiceLine> ReadServiceLines(std::string_view text) {
  std::vector<ServiceLine> lines;
  Lines(text, [&](const Json& line) {
    lines.push_back({line.value("what", ""), line.value("path", ""), line.value("data", ""),
                     line.value("zxid", std::int64_t{0}), line.value("session", std::int64_t{0}),
                     line.value("us", std::int64_t{0})});
  });
  return lines;
}

Verdict Judge(const Evidence& evidence) { return Judging(evidence).Run(); }

}  // namespace umberdyke::lab

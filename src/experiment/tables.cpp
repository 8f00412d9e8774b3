// Tables, verdicts and comparisons.
#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>
#include <tuple>

#include "experiment/report.h"

namespace umberdyke::experiment {

std::string Short(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string With(const Interval& i) {
  return i.n < 2 ? Short(i.mean) : Short(i.mean) + " +-" + Short(i.half);
}

std::string Columns(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string space(widths[i] - row[i].size(), ' ');
      line += (i == 0 ? "" : "  ") + (i == 0 ? row[i] + space : space + row[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::vector<double> Group::Values(const std::string& figure) const {
  std::vector<double> values;
  for (const Cell* cell : cells) {
    const auto it = cell->figures.find(figure);
    if (it != cell->figures.end()) values.push_back(it->second);
  }
  return values;
}

std::vector<Group> GroupsOf(const std::vector<Cell>& cells) {
  std::vector<Group> groups;
  std::map<std::pair<Point, std::string>, std::size_t> at;
  for (const Cell& cell : cells) {
    const auto [it, is_new] = at.try_emplace({cell.at, cell.variant}, groups.size());
    if (is_new) groups.push_back({cell.variant, cell.at, {}});
    groups[it->second].cells.push_back(&cell);
  }
  for (Group& g : groups) {
    std::sort(g.cells.begin(), g.cells.end(), [](const Cell* a, const Cell* b) { return a->seed < b->seed; });
  }
  std::stable_sort(groups.begin(), groups.end(), [](const Group& a, const Group& b) { return a.at < b.at; });
  return groups;
}

std::vector<Judged> Judge(const Plan& plan, const std::vector<Cell>& cells) {
  const std::vector<Group> groups = GroupsOf(cells);
  const auto find = [&](const std::string& variant, const Point& at) -> const Group* {
    for (const Group& g : groups) {
      if (g.variant == variant && g.at == at) return &g;
    }
    return nullptr;
  };
  std::vector<Judged> judged;
  for (const Expectation& e : plan.expectations) {
    for (const Group& g : groups) {
      if (g.variant != e.variant || !Fits(g.at, e.at)) continue;
      Judged j;
      j.expectation = e;
      j.at = g.at;
      const Interval mine = MeanOf(g.Values(e.figure));
      j.holds = mine.n > 0;
      j.text = e.variant + " " + e.figure + " " + With(mine) + " at " + PrintPoint(g.at);
      if (e.below) {
        j.holds = j.holds && mine.mean < *e.below;
        j.text += ", expected below " + Short(*e.below);
      }
      if (e.above) {
        j.holds = j.holds && mine.mean > *e.above;
        j.text += ", expected above " + Short(*e.above);
      }
      if (!e.beside.empty()) {
        const Group* other = find(e.beside, g.at);
        const Interval theirs = other == nullptr ? Interval() : MeanOf(other->Values(e.figure));
        const double worse = e.higher ? theirs.mean - mine.mean : mine.mean - theirs.mean;
        j.holds = j.holds && theirs.n > 0 && worse <= e.by;
        j.text += ", beside " + e.beside + " " + With(theirs) + ", at most " + Short(e.by) + " worse";
      }
      judged.push_back(std::move(j));
    }
  }
  return judged;
}

const std::vector<std::string>& TableFigures() {
  static const std::vector<std::string> figures = {
      "service",       "p50_ms",        "p99_ms",    "range_10_90_ms",  "share_refused",
      "share_dropped", "attempts_mean", "imbalance", "collapsed_share", "worst_10s"};
  return figures;
}

std::string SummaryText(const std::vector<Cell>& cells, const std::vector<std::string>& figures) {
  std::vector<std::vector<std::string>> rows(1);
  const std::vector<Group> groups = GroupsOf(cells);
  std::set<std::string> points;
  for (const Group& g : groups) {
    for (const auto& [name, value] : g.at) points.insert(name);
  }
  for (const std::string& p : points) rows[0].push_back(p);
  rows[0].push_back("variant");
  rows[0].push_back("seeds");
  for (const std::string& f : figures) rows[0].push_back(f);
  for (const Group& g : groups) {
    std::vector<std::string> row;
    for (const std::string& p : points) row.push_back(g.at.contains(p) ? Short(g.at.at(p)) : "");
    row.push_back(g.variant);
    row.push_back(std::to_string(g.cells.size()));
    for (const std::string& f : figures) row.push_back(With(MeanOf(g.Values(f))));
    rows.push_back(std::move(row));
  }
  return Columns(rows);
}

std::string SummaryCsv(const std::vector<Cell>& cells) {
  std::ostringstream out;
  out << "variant,at,seeds,figure,mean,low95,high95\n";
  for (const Group& g : GroupsOf(cells)) {
    std::set<std::string> figures;
    for (const Cell* cell : g.cells) {
      for (const auto& [name, value] : cell->figures) figures.insert(name);
    }
    for (const std::string& f : figures) {
      const Interval i = MeanOf(g.Values(f));
      out << g.variant << ",\"" << PrintPoint(g.at) << "\"," << i.n << "," << f << "," << i.mean << ","
          << i.low() << "," << i.high() << "\n";
    }
  }
  return out.str();
}

bool HigherIsBetter(const std::string& figure) {
  static const std::set<std::string> higher = {"service",  "share_in_time", "share_answered",
                                               "fairness", "worst_10s",     "requests"};
  return higher.contains(figure);
}

std::vector<Change> Compare(const std::vector<Cell>& before, const std::vector<Cell>& after,
                            const std::vector<std::string>& figures) {
  std::map<std::tuple<Point, std::string, std::uint64_t>, const Cell*> known;
  for (const Cell& cell : before) known[{cell.at, cell.variant, cell.seed}] = &cell;
  std::vector<Change> changes;
  for (const Group& g : GroupsOf(after)) {
    for (const std::string& figure : figures) {
      std::vector<double> first, second;
      for (const Cell* cell : g.cells) {
        const auto it = known.find({cell->at, cell->variant, cell->seed});
        if (it == known.end()) continue;
        const auto a = it->second->figures.find(figure), b = cell->figures.find(figure);
        if (a == it->second->figures.end() || b == cell->figures.end()) continue;
        first.push_back(a->second);
        second.push_back(b->second);
      }
      if (first.empty()) continue;
      Change change;
      change.variant = g.variant;
      change.figure = figure;
      change.at = g.at;
      change.before = MeanOf(first).mean;
      change.difference = Paired(first, second);
      const Verdict v = change.difference.verdict;
      const Verdict good = HigherIsBetter(figure) ? Verdict::kHigher : Verdict::kLower;
      change.better = v != Verdict::kSame && v == good;
      change.worse = v != Verdict::kSame && v != good;
      changes.push_back(std::move(change));
    }
  }
  if (changes.empty()) {
    throw emulator::ScenarioError("the two folders have no cell in common (variant, point and seed)");
  }
  return changes;
}

std::string PrintChanges(const std::vector<Change>& changes) {
  std::vector<std::vector<std::string>> rows = {
      {"variant", "at", "figure", "before", "change", "95% +-", "pairs", "p", "verdict"}};
  for (const Change& c : changes) {
    const Interval& i = c.difference.change;
    const bool same = i.mean == 0 && i.half == 0;
    rows.push_back({c.variant, PrintPoint(c.at), c.figure, Short(c.before), Short(i.mean), Short(i.half),
                    std::to_string(i.n), Short(c.difference.p),
                    same       ? "the same"
                    : i.n < 2  ? "one pair tells nothing"
                    : c.better ? "helped"
                    : c.worse  ? "hurt"
                               : "noise"});
  }
  return Columns(rows);
}

}  // namespace umberdyke::experiment

// What an experiment's cells say together: tables with intervals over the seeds, verdicts on the
// expectations, charts, one page of all, and the comparison of two folders by paired seeds.
#ifndef UMBERDYKE_EXPERIMENT_REPORT_H_
#define UMBERDYKE_EXPERIMENT_REPORT_H_

#include <string>
#include <vector>

#include "experiment/plan.h"
#include "experiment/results.h"
#include "experiment/statistics.h"

namespace umberdyke::experiment {

// The cells of one variant at one point, over the seeds.
struct Group {
  std::string variant;
  Point at;
  std::vector<const Cell*> cells;
  std::vector<double> Values(const std::string& figure) const;  // in the order of the seeds
};
std::vector<Group> GroupsOf(const std::vector<Cell>& cells);

struct Judged {
  Expectation expectation;
  Point at;
  bool holds = false;
  std::string text;  // one line with the figures
};
std::vector<Judged> Judge(const Plan& plan, const std::vector<Cell>& cells);

// The figures that the tables show, in their order.
const std::vector<std::string>& TableFigures();
std::string SummaryText(const std::vector<Cell>& cells, const std::vector<std::string>& figures);
std::string SummaryCsv(const std::vector<Cell>& cells);

// Draws the plan's charts into `folder` as SVG with gnuplot; returns the files' names, or an error.
std::vector<std::string> DrawCharts(const Plan& plan, const std::vector<Cell>& cells,
                                    const std::string& folder, std::string* error);

// Writes rows.csv, rows.json, summary.csv, summary.txt, the charts and page.html. Returns an error or
// nothing.
std::string WriteReport(const Plan& plan, const std::vector<Cell>& cells, const std::string& folder);

struct Change {
  std::string variant, figure;
  Point at;
  double before = 0;
  Difference difference;
  bool better = false, worse = false;  // neither: noise, or the same
};
// By the seeds that both have. Throws ScenarioError where nothing can be paired.
std::vector<Change> Compare(const std::vector<Cell>& before, const std::vector<Cell>& after,
                            const std::vector<std::string>& figures);
// Whether more of this figure is better.
bool HigherIsBetter(const std::string& figure);
std::string PrintChanges(const std::vector<Change>& changes);

// For tables: a figure, one with its interval, and rows with their columns in line.
std::string Short(double value);
std::string With(const Interval& interval);
std::string Columns(const std::vector<std::vector<std::string>>& rows);

}  // namespace umberdyke::experiment

#endif  // UMBERDYKE_EXPERIMENT_REPORT_H_

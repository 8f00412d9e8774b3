// The files of a report, and one page that holds all of it by itself.
#include <filesystem>
#include <sstream>

#include "experiment/report.h"
#include "files/files.h"

namespace umberdyke::experiment {
namespace {

constexpr std::size_t kLargestChart = 32 << 20;

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else {
      out += c;
    }
  }
  return out;
}

// The drawing alone, to stand in a page.
std::string Inline(const std::string& svg) {
  const std::size_t at = svg.find("<svg");
  return at == std::string::npos ? "" : svg.substr(at);
}

}  // namespace

std::string WriteReport(const Plan& plan, const std::vector<Cell>& cells, const std::string& folder) {
  std::error_code made;
  std::filesystem::create_directories(folder, made);
  if (made) return folder + ": " + made.message();
  const auto put = [&](const std::string& name, const std::string& text) {
    return files::WriteFileAtomically(folder + "/" + name, text);
  };
  const std::string table = SummaryText(cells, TableFigures());
  std::string error = put("rows.csv", RowsCsv(cells));
  if (error.empty()) error = put("rows.json", RowsJson(cells, plan.title));
  if (error.empty()) error = put("summary.csv", SummaryCsv(cells));
  if (error.empty()) error = put("summary.txt", table);
  if (!error.empty()) return error;
  const std::vector<std::string> charts = DrawCharts(plan, cells, folder, &error);
  if (!error.empty()) return error;

  std::ostringstream page;
  page << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" << Escaped(plan.title)
       << "</title>\n<style>body{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}"
          "pre{background:#f4f4f4;padding:1em;overflow:auto;font-size:12px}.no{color:#b00020}.yes{color:#"
          "006020}"
          "svg{max-width:100%;height:auto}</style></head><body>\n<h1>"
       << Escaped(plan.title) << "</h1>\n<p>" << Escaped(plan.about)
       << "</p>\n<p>umberdyke " UMBERDYKE_VERSION ", " << cells.size() << " cells, seeds from "
       << plan.first_seed << ", from " << Escaped(plan.path) << "</p>\n";
  bool broken = false;
  for (const Cell& cell : cells) {
    if (cell.violation.empty()) continue;
    if (!broken) page << "<h2 class=\"no\">Rules broken</h2>\n";
    broken = true;
    page << "<pre>" << Escaped(cell.variant + " at " + PrintPoint(cell.at) + "\n" + cell.violation)
         << "</pre>\n";
  }
  const std::vector<Judged> judged = Judge(plan, cells);
  if (!judged.empty()) page << "<h2>Expectations</h2>\n<ul>\n";
  for (const Judged& j : judged) {
    page << "<li class=\"" << (j.holds ? "yes" : "no") << "\">" << (j.holds ? "holds: " : "does not hold: ")
         << Escaped(j.text) << "</li>\n";
  }
  if (!judged.empty()) page << "</ul>\n";
  page << "<h2>Figures</h2>\n<p>Means over the seeds with 95% intervals.</p>\n<pre>" << Escaped(table)
       << "</pre>\n";
  if (!charts.empty()) page << "<h2>Charts</h2>\n";
  for (const std::string& chart : charts) {
    const files::ReadResult read = files::ReadFile(folder + "/" + chart, kLargestChart);
    if (!read.error.empty()) return read.error;
    page << "<figure>" << Inline(read.text) << "</figure>\n";
  }
  page << "</body></html>\n";
  return put("page.html", page.str());
}

}  // namespace umberdyke::experiment

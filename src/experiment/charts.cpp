// Charts: data files and scripts for gnuplot, which draws the SVG.
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <set>
#include <sstream>
#include <thread>

#include "experiment/report.h"
#include "files/files.h"
#include "lab/common/process.h"

namespace umberdyke::experiment {
namespace {

constexpr auto kMostDrawing = std::chrono::seconds(60);

// In a script between double quotes.
std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (static_cast<unsigned char>(c) >= 32) out += c;
  }
  return out + "\"";
}

// What tells lines of one chart apart: the variant, and every swept figure that is not the x axis and not
// set.
std::string LineName(const Group& g, const Chart& chart) {
  std::string name = g.variant;
  for (const auto& [figure, value] : g.at) {
    if (figure == chart.x || chart.at.contains(figure)) continue;
    std::ostringstream text;
    text << ", " << figure << " " << value;
    name += text.str();
  }
  return name;
}

struct Drawing {
  std::string data;                 // blocks, two empty lines between them
  std::vector<std::string> titles;  // of the blocks
  std::string plot;                 // what the script plots
  std::string settings;
};

Drawing Lines(const Chart& chart, const std::vector<Group>& groups) {
  Drawing d;
  std::map<std::string, std::vector<std::pair<double, Interval>>> lines;
  std::vector<std::string> order;
  for (const Group& g : groups) {
    if (!Fits(g.at, chart.at) || !g.at.contains(chart.x)) continue;
    const std::string name = LineName(g, chart);
    if (!lines.contains(name)) order.push_back(name);
    lines[name].emplace_back(g.at.at(chart.x), MeanOf(g.Values(chart.figure)));
  }
  std::ostringstream out;
  for (const std::string& name : order) {
    auto& points = lines[name];
    std::sort(points.begin(), points.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [x, i] : points) out << x << " " << i.mean << " " << i.low() << " " << i.high() << "\n";
    out << "\n\n";
    d.titles.push_back(name);
  }
  d.data = out.str();
  d.settings = "set xlabel " + Quoted(chart.x) + " noenhanced\nset ylabel " + Quoted(chart.figure) +
               " noenhanced\n" + (chart.logarithmic ? "set logscale x\n" : "");
  d.plot = "with yerrorlines";
  return d;
}

Drawing Curves(const Chart& chart, const std::vector<Group>& groups) {
  Drawing d;
  std::ostringstream out;
  for (const Group& g : groups) {
    if (!Fits(g.at, chart.at) || g.cells.empty()) continue;
    // The mean curve over the seeds, at equal shares.
    const std::size_t n = g.cells.front()->curve.size();
    std::size_t used = 0;
    std::vector<double> sum(n, 0);
    for (const Cell* cell : g.cells) {
      if (cell->curve.size() != n) continue;
      for (std::size_t i = 0; i < n; ++i) sum[i] += cell->curve[i].first;
      ++used;
    }
    if (used == 0 || n == 0) continue;
    for (std::size_t i = 0; i < n; ++i)
      out << sum[i] / static_cast<double>(used) << " " << g.cells.front()->curve[i].second << "\n";
    out << "\n\n";
    d.titles.push_back(LineName(g, chart));
  }
  d.data = out.str();
  d.settings = "set xlabel \"response time, ms\"\nset ylabel \"share of the answers\"\nset yrange [0:1]\n" +
               std::string(chart.logarithmic ? "set logscale x\n" : "");
  d.plot = "using 1:2 with lines lw 2";
  return d;
}

double Shown(const emulator::Second& s, const std::string& figure) {
  if (figure == "service") return s.asked > 0 ? s.gained / s.asked : NAN;
  if (figure == "requests") return s.requests;
  if (figure == "refused") return s.refused;
  if (figure == "collapsed") return s.collapsed;
  return s.in_system;
}

Drawing Timelines(const Chart& chart, const std::vector<Group>& groups) {
  Drawing d;
  std::ostringstream out;
  for (const Group& g : groups) {
    if (!Fits(g.at, chart.at)) continue;
    std::size_t n = 0;
    for (const Cell* cell : g.cells) n = std::max(n, cell->seconds.size());
    if (n == 0) continue;
    for (std::size_t i = 0; i < n; ++i) {
      std::vector<double> values;
      for (const Cell* cell : g.cells) {
        if (i >= cell->seconds.size()) continue;
        const double v = Shown(cell->seconds[i], chart.figure);
        if (std::isfinite(v)) values.push_back(v);
      }
      if (!values.empty()) out << i << " " << MeanOf(values).mean << "\n";
    }
    out << "\n\n";
    d.titles.push_back(LineName(g, chart));
  }
  d.data = out.str();
  d.settings =
      "set xlabel \"s\"\nset ylabel " + Quoted(chart.figure + ", mean over the seeds") + " noenhanced\n";
  d.plot = "using 1:2 with lines lw 1.5";
  return d;
}

// One server a row, one second a column: the first seed of the first group that fits.
Drawing Heat(const Chart& chart, const std::vector<Group>& groups) {
  Drawing d;
  for (const Group& g : groups) {
    if (!Fits(g.at, chart.at) || g.cells.empty() || g.cells.front()->heat.empty()) continue;
    const auto& heat = g.cells.front()->heat;
    std::ostringstream out;
    for (const auto& row : heat) {
      for (const float value : row) out << value << " ";
      out << "\n";
    }
    d.data = out.str();
    d.titles.push_back(LineName(g, chart));
    d.settings = "set xlabel \"s\"\nset ylabel \"server\"\nset cblabel \"calls there\"\nset yrange [-0.5:" +
                 std::to_string(heat.size()) +
                 "-0.5]\nset palette defined (0 \"white\", 1 \"#3060c0\", 3 \"#c03030\")\n";
    d.plot = "matrix with image";
    break;
  }
  return d;
}

std::string RunGnuplot(const std::string& script, const std::string& log) {
  lab::Process process({"gnuplot", script}, log);
  const auto until = std::chrono::steady_clock::now() + kMostDrawing;
  std::optional<int> status;
  while (!(status = process.Ended()) && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  if (!status) return "gnuplot did not end";
  if (*status == 127) return "gnuplot is not installed (package gnuplot-nox)";
  if (*status == 0) return "";
  return "gnuplot failed: " + files::ReadFile(log, 4096).text;
}

}  // namespace

std::vector<std::string> DrawCharts(const Plan& plan, const std::vector<Cell>& cells,
                                    const std::string& folder, std::string* error) {
  std::vector<std::string> names;
  const std::vector<Group> groups = GroupsOf(cells);
  int number = 0;
  for (const Chart& chart : plan.charts) {
    const std::string name = "chart-" + std::to_string(++number);
    const std::string base = folder + "/" + name;
    const Drawing d = chart.kind == "line"       ? Lines(chart, groups)
                      : chart.kind == "cdf"      ? Curves(chart, groups)
                      : chart.kind == "timeline" ? Timelines(chart, groups)
                                                 : Heat(chart, groups);
    if (d.titles.empty()) continue;  // no cell of that kind has been run yet
    std::string script = "set terminal svg size 900,480 font \"sans,12\" background \"white\"\nset output " +
                         Quoted(base + ".svg") + "\nset title " + Quoted(chart.title) +
                         " noenhanced\nset grid\nset key outside right noenhanced\n" + d.settings + "plot ";
    const std::string data = Quoted(base + ".dat");
    if (chart.kind == "heat") {
      script += data + " " + d.plot + " title " + Quoted(d.titles.front());
    } else {
      for (std::size_t i = 0; i < d.titles.size(); ++i) {
        script += (i == 0 ? "" : ", ") + data + " index " + std::to_string(i) + " " + d.plot + " title " +
                  Quoted(d.titles[i]);
      }
    }
    *error = files::WriteFileAtomically(base + ".dat", d.data);
    if (error->empty()) *error = files::WriteFileAtomically(base + ".gp", script + "\n");
    if (error->empty()) *error = RunGnuplot(base + ".gp", base + ".log");
    if (!error->empty()) return names;
    std::error_code ignored;
    std::filesystem::remove(base + ".log", ignored);
    names.push_back(name + ".svg");
  }
  return names;
}

}  // namespace umberdyke::experiment

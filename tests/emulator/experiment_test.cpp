// Experiments: files with faults are refused by line, runs are kept and go on, verdicts and comparisons tell
// a change from noise, and reports hold their charts.
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>

#include "experiment/recovery.h"
#include "experiment/report.h"
#include "experiment/runner.h"
#include "files/files.h"

namespace umberdyke::experiment {
namespace {

namespace fs = std::filesystem;

struct Folder {
  Folder()
      : path((fs::temp_directory_path() / ("umberdyke-experiment-" + std::to_string(getpid()))).string()) {
    fs::remove_all(path);
    fs::create_directories(path);
  }
  ~Folder() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  std::string Put(const std::string& name, const std::string& text) const {
    REQUIRE(files::WriteFileAtomically(path + "/" + name, text).empty());
    return path + "/" + name;
  }
  const std::string path;
};

const char* kSmall = R"(title = "small"
policies = ["p2c", "random"]
seeds = 4
[scenario]
duration_s = 8
warm_up_s = 1
load = 0.8
sidecars = 2
[[scenario.class]]
work_ms = 20
[[scenario.tier]]
servers = 5
[sweep]
load = [0.5, 0.9]
[[expect]]
figure = "mean_ms"
variant = "p2c"
beside = "random"
better = "lower"
[[expect]]
figure = "service"
variant = "random"
at = { load = 0.5 }
above = 1.5
[[chart]]
kind = "line"
figure = "mean_ms"
x = "load"
title = "it's <a> \"title\""
[[chart]]
kind = "cdf"
[[chart]]
kind = "timeline"
figure = "in_system"
[[chart]]
kind = "heat"
)";

TEST_CASE("a file with a fault is refused with its line and a plain sentence", "[experiment]") {
  const Folder folder;
  struct Row {
    const char* text;
    const char* said;
  };
  const std::vector<Row> rows = {
      {"nonsense = 1\n", ":1: unknown key nonsense"},
      {"[scenario]\nduration_s = 5\nsidecar = 3\n", ":3: unknown key sidecar in [scenario]"},
      {"[scenario]\nduration_s = \"long\"\n", ":2: duration_s is a number"},
      {"[scenario]\nduration_s = -1\n", ":2: duration_s is -1; it goes from"},
      {"[scenario]\nsidecars = 1.5\n", ":2: sidecars is a whole number"},
      {"[scenario]\narrivals = \"sometimes\"\n", ":2: arrivals is \"sometimes\"; it can be"},
      {"[[scenario.class]]\nrepeats = \"keyed\"\n", "a keyed class needs window_s"},
      {"[[scenario.tier]]\ncalls = 2\n", "calls a tier that is not there"},
      {"[[scenario.trouble]]\nkind = \"flood\"\n", "a flood needs its tenant"},
      {"[[scenario.trouble]]\nkind = \"earthquake\"\n", ":2: kind is \"earthquake\"; it can be"},
      {"[sweep]\nnothing = [1]\n", ":2: there is no figure called nothing"},
      {"[sweep]\nload = []\n", ":2: load is swept over a list of numbers"},
      {"[sweep]\nload = 3\n", ":2: load is swept over a list of numbers"},
      {"[sweep]\n\"tier7.servers\" = [3]\n", ":2: there is no tier for tier7.servers"},
      {"[sweep]\nsidecars = [0]\n", ":2: sidecars is 0; it goes from"},
      {"policies = [\"best\"]\n", ":1: there is no policy called best; there are module"},
      {"policies = [\"p2c\", \"p2c\"]\n", "two variants are called p2c"},
      {"[[variant]]\nname = \"../x\"\n", "a variant's name has letters"},
      {"seeds = 0\n", ":1: seeds is a whole number from 1"},
      {"[[expect]]\nfigure = \"speed\"\nbelow = 1\n", "there is no figure \"speed\" in the results"},
      {"[[expect]]\nfigure = \"service\"\n", "an expectation needs below, above or beside"},
      {"[[expect]]\nfigure = \"service\"\nvariant = \"x\"\nabove = 1\n", "\"x\" is no variant of this file"},
      {"[[expect]]\nfigure = \"service\"\nabove = 1\nat = { load = 1 }\n", "load is not swept"},
      {"[[chart]]\nkind = \"pie\"\n", "a chart is a line, cdf, timeline or heat"},
      {"[[chart]]\nkind = \"line\"\nfigure = \"service\"\n", "a line chart needs x"},
      {"base = \"missing.toml\"\n", "missing.toml"},
      {"[scenario\n", ":1: "},
      {"[scenario]\nwarm_up_s = 100\nduration_s = 50\n", "warm_up_s is not below duration_s"},
  };
  for (const Row& row : rows) {
    const std::string path = folder.Put("bad.toml", row.text);
    std::string said;
    try {
      ReadPlan(path);
    } catch (const emulator::ScenarioError& error) {
      said = error.what();
    }
    INFO(row.text << said);
    CHECK(said.find(row.said) != std::string::npos);
  }
  std::string many = "[sweep]\n";
  for (const char* name : {"load", "rate_per_s", "think_ms"}) {
    many += std::string(name) + " = [";
    for (int i = 1; i <= 101; ++i) many += std::to_string(i % 90 + 1) + (i < 101 ? ", " : "]\n");
  }
  CHECK_THROWS_WITH(ReadPlan(folder.Put("many.toml", many)), Catch::Contains("more than a million points"));
}

TEST_CASE("cells are kept, an interrupted run goes on, and a spoilt file is run again", "[experiment]") {
  const Folder folder;
  const Plan plan = ReadPlan(folder.Put("small.toml", kSmall));
  CHECK(plan.Cells() == 16);
  std::atomic<bool> stop{true};
  RunOptions options;
  options.folder = folder.path + "/out";
  options.threads = 2;
  options.stop = &stop;
  CHECK(RunCells(plan, options).stopped);
  stop = false;
  const RunResult first = RunCells(plan, options);
  CHECK_FALSE(first.stopped);
  CHECK(first.ran == 16);
  // One half written, as a crash of the machine would leave it, and one of another key.
  std::vector<fs::path> paths;
  for (const auto& entry : fs::directory_iterator(options.folder + "/cells")) paths.push_back(entry.path());
  REQUIRE(paths.size() == 16);
  fs::resize_file(paths[0], 100);
  fs::copy_file(paths[2], paths[1], fs::copy_options::overwrite_existing);
  const RunResult second = RunCells(plan, options);
  CHECK(second.ran == 2);
  CHECK(second.kept == 14);
  REQUIRE(first.cells.size() == second.cells.size());
  for (std::size_t i = 0; i < first.cells.size(); ++i) {
    CHECK(first.cells[i].figures == second.cells[i].figures);
    CHECK(first.cells[i].seed == second.cells[i].seed);
  }
  // The same whatever the threads, and the same when it is read back.
  RunOptions alone;
  alone.threads = 1;
  const RunResult third = RunCells(plan, alone);
  const std::vector<Cell> read = ReadCells(options.folder);
  REQUIRE(read.size() == third.cells.size());
  CHECK(RowsCsv(read).size() == RowsCsv(third.cells).size());
  for (std::size_t i = 0; i < third.cells.size(); ++i)
    CHECK(third.cells[i].figures == first.cells[i].figures);
}

TEST_CASE("expectations, reports and comparisons tell what the cells say", "[experiment]") {
  const Folder folder;
  const Plan plan = ReadPlan(folder.Put("small.toml", kSmall));
  const RunResult result = RunCells(plan, {});
  const std::vector<Judged> judged = Judge(plan, result.cells);
  REQUIRE(judged.size() == 3);
  CHECK(judged[0].holds);
  CHECK(judged[1].holds);
  CHECK_FALSE(judged[2].holds);  // no service is above 1
  CHECK(judged[2].text.find("expected above 1.5") != std::string::npos);

  const std::string out = folder.path + "/report";
  REQUIRE(WriteReport(plan, result.cells, out).empty());
  const std::string page = files::ReadFile(out + "/page.html", 64 << 20).text;
  std::size_t drawings = 0;
  for (std::size_t at = 0; (at = page.find("<svg", at)) != std::string::npos; ++at) ++drawings;
  CHECK(drawings == 4);
  CHECK(page.find("does not hold") != std::string::npos);
  CHECK(page.find("src=") == std::string::npos);  // by itself
  CHECK(files::ReadFile(out + "/rows.csv", 1 << 20).text.find("p2c,p2c,1,0.5") != std::string::npos);

  // The same run is the same; a tier that is half as fast again hurts; one seed more is no pair.
  for (const Change& c : Compare(result.cells, result.cells, {"mean_ms", "service"})) {
    CHECK_FALSE(c.better);
    CHECK_FALSE(c.worse);
  }
  Plan slower = plan;
  slower.scenario.classes[0].work_ms = 26;
  const RunResult slow = RunCells(slower, {});
  const auto worse = Compare(result.cells, slow.cells, {"mean_ms"});
  REQUIRE(worse.size() == 4);
  for (const Change& c : worse) CHECK(c.difference.change.mean > 0);
  CHECK(std::any_of(worse.begin(), worse.end(), [](const Change& c) { return c.worse; }));
  const auto better = Compare(slow.cells, result.cells, {"mean_ms"});
  CHECK(std::none_of(better.begin(), better.end(), [](const Change& c) { return c.worse; }));
  Plan others = plan;
  others.first_seed = 100;
  CHECK_THROWS_WITH(Compare(result.cells, RunCells(others, {}).cells, {"service"}),
                    Catch::Contains("no cell in common"));
}

TEST_CASE("intervals and paired differences are Student's", "[experiment]") {
  const Interval i = MeanOf({1, 2, 3, 4, 5});
  CHECK(i.mean == Approx(3));
  CHECK(i.half == Approx(1.9632).epsilon(1e-3));  // 2.7764 * sqrt(2.5 / 5)
  CHECK(MeanOf({7}).half == 0);
  CHECK(Paired({1, 2, 3}, {2, 3, 4.1}).verdict == Verdict::kHigher);
  CHECK(Paired({1, 2, 3}, {1.1, 1.9, 3.0}).verdict == Verdict::kSame);
  CHECK(Paired({3, 3}, {3, 3}).p == 1);
}

TEST_CASE("recovery is told beside what the bound has, during a trouble and after it", "[experiment]") {
  const auto cell = [](const std::string& variant, std::uint64_t seed, auto served) {
    Cell c;
    c.variant = variant;
    c.seed = seed;
    for (int i = 0; i < 60; ++i) c.seconds.push_back({100, 100 * served(i), 100, 0, 0, 0});
    return c;
  };
  const auto bound = [](int i) { return i >= 10 && i < 20 ? 0.8 : 1.0; };
  // Two seconds of nothing, then what can be had; after the end five seconds of nothing.
  const auto slow = [&](int i) { return (i >= 10 && i < 12) || (i >= 20 && i < 25) ? 0.0 : bound(i); };
  const auto never = [&](int i) { return i >= 10 ? 0.5 : 1.0; };
  const std::vector<Cell> cells = {cell("bound", 1, bound), cell("slow", 1, slow), cell("never", 1, never)};
  const auto all = Recoveries(cells, {"bound", 10, 20, 0.02});
  REQUIRE(all.size() == 3);
  for (const Recovery& r : all) {
    CHECK(r.can == Approx(0.8));
    CHECK(r.whole == Approx(1));
    CHECK(r.back_s.mean == (r.variant == "slow" ? 2 : r.variant == "never" ? 10 : 0));
    CHECK(r.full_s.mean == (r.variant == "slow" ? 5 : r.variant == "never" ? 31 : 0));
    CHECK(r.never_back == (r.variant == "never" ? 1 : 0));
    CHECK(r.never_full == (r.variant == "never" ? 1 : 0));
  }
  CHECK_THROWS_AS(Recoveries(cells, {"oracle", 10, 20, 0.02}), emulator::ScenarioError);
  CHECK_THROWS_AS(Recoveries(cells, {"bound", 10, 55, 0.02}), emulator::ScenarioError);
}

}  // namespace
}  // namespace umberdyke::experiment

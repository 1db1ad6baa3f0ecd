#include "bench/report.h"

#include "bench/plot.h"
#include "core/ini.h"
#include "core/json.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace hibiscushold::bench {

namespace {

constexpr size_t kMaxLogBytes = 64000000;
constexpr const char* kHead =
  "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
  "<title>hibiscushold-bench</title>\n<style>\n"
  "body{font:14px sans-serif;margin:24px}\n"
  ".runs{display:flex;flex-wrap:wrap;gap:32px}\n"
  "table{border-collapse:collapse;margin:12px 0}\n"
  "td,th{border:1px solid #d0d7de;padding:3px 8px;text-align:right}\n"
  "svg text{font-size:11px}\n"
  ".grid{stroke:#d0d7de}\n.span{fill:#d1242f;opacity:.25}\n"
  "</style></head><body>\n<h1>hibiscushold-bench</h1>\n<div class=\"runs\">\n";
constexpr const char* kTail = "</div></body></html>\n";

double
DoubleAt(const Json::Value& aRow, const char* aName)
{
  const Json::Value& value = aRow[aName];
  return value.isNumeric() ? value.asDouble() : 0;
}

std::vector<const Json::Value*>
RowsOf(const RunLog& aRun, const std::string& aKind)
{
  std::vector<const Json::Value*> rows;
  for (const Json::Value& it : aRun.mRows) {
    if (TextAt(it, "kind") == aKind) {
      rows.push_back(&it);
    }
  }
  return rows;
}

/// @return the plot of one field of the rows by load, one line per class
Plot
PlotByLoad(const RunLog& aRun,
           const char* aField,
           const char* aTitle,
           const char* aUnit)
{
  Plot plot;
  plot.mTitle = aTitle;
  plot.mXLabel = "offered load in times the capacity";
  plot.mYLabel = aUnit;
  for (const Json::Value* row : RowsOf(aRun, "load")) {
    const std::string name = TextAt(*row, "class");
    auto it =
      std::find_if(plot.mSeries.begin(),
                   plot.mSeries.end(),
                   [&](auto& aSeries) { return aSeries.mName == name; });
    if (it == plot.mSeries.end()) {
      it = plot.mSeries.insert(it, { name, {} });
    }
    it->mPoints.emplace_back(DoubleAt(*row, "load"), DoubleAt(*row, aField));
  }
  return plot;
}

Plot
PlotTimeline(const RunLog& aRun)
{
  Plot plot;
  plot.mTitle = "Faults, serving copies and stranded VMs";
  plot.mXLabel = "seconds";
  plot.mYLabel = "count";
  plot.mSteps = true;
  for (const char* name : { "serving", "stranded" }) {
    Series series{ name, {} };
    for (const Json::Value* row : RowsOf(aRun, "timeline")) {
      series.mPoints.emplace_back(DoubleAt(*row, "t_s"), DoubleAt(*row, name));
    }
    if (!series.mPoints.empty()) {
      plot.mSeries.push_back(std::move(series));
    }
  }
  for (const Json::Value* row : RowsOf(aRun, "fault")) {
    const double from = DoubleAt(*row, "t_s");
    plot.mSpans.push_back(
      { from,
        from + DoubleAt(*row, "length_s"),
        TextAt(*row, "fault") + " at " + TextAt(*row, "target") });
  }
  return plot;
}

std::vector<Plot>
PlotsOf(const RunLog& aRun)
{
  return { PlotByLoad(aRun, "p50_ms", "Median latency by load", "ms"),
           PlotByLoad(aRun, "p99_ms", "99th percentile latency by load", "ms"),
           PlotByLoad(
             aRun, "good_per_s", "Goodput by load", "answers a second"),
           PlotTimeline(aRun) };
}

/// @return copy-seconds down, against the highest number of serving copies,
///         and VM-seconds outside of serving copies
std::pair<double, double>
DowntimeOf(const RunLog& aRun)
{
  const std::vector<const Json::Value*> rows = RowsOf(aRun, "timeline");
  double best = 0;
  for (const Json::Value* it : rows) {
    best = std::max(best, DoubleAt(*it, "serving"));
  }
  std::pair<double, double> sums{ 0, 0 };
  for (size_t i = 1; i < rows.size(); ++i) {
    const double gap =
      DoubleAt(*rows[i], "t_s") - DoubleAt(*rows[i - 1], "t_s");
    const double missing = best - DoubleAt(*rows[i - 1], "serving");
    sums.first += gap * missing;
    sums.second += gap * DoubleAt(*rows[i - 1], "stranded");
  }
  return sums;
}

std::string
CellOf(const Json::Value& aValue)
{
  if (aValue.type() != Json::realValue) {
    return EscapeHtml(aValue.asString());
  }
  std::ostringstream out;
  out.precision(4);
  out << aValue.asDouble();
  return out.str();
}

void
RenderTable(std::ostream& aOut, const RunLog& aRun, const std::string& aKind)
{
  const std::vector<const Json::Value*> rows = RowsOf(aRun, aKind);
  if (rows.empty()) {
    return;
  }
  const Json::Value::Members columns = rows.front()->getMemberNames();
  const auto shown = [](const std::string& aName) {
    return aName != "kind" && aName != "scenario" && aName != "seed";
  };
  aOut << "<h3>" << EscapeHtml(aKind) << "</h3>\n<table><tr>";
  for (const std::string& it : columns) {
    aOut << (shown(it) ? "<th>" + EscapeHtml(it) + "</th>" : "");
  }
  aOut << "</tr>\n";
  for (const Json::Value* row : rows) {
    aOut << "<tr>";
    for (const std::string& it : columns) {
      aOut << (shown(it) ? "<td>" + CellOf((*row)[it]) + "</td>" : "");
    }
    aOut << "</tr>\n";
  }
  aOut << "</table>\n";
}

void
RenderRun(std::ostream& aOut,
          const RunLog& aRun,
          const std::vector<Plot>& aPlots)
{
  aOut << "<section><h2>" << EscapeHtml(aRun.mName) << "</h2>\n";
  if (!aRun.mRows.empty()) {
    aOut << "<p>" << EscapeHtml(TextAt(aRun.mRows.front(), "scenario"))
         << ", seed " << NumberAt(aRun.mRows.front(), "seed") << "</p>\n";
  }
  for (const Plot& it : aPlots) {
    if (!it.mSeries.empty()) {
      aOut << RenderPlot(it);
    }
  }
  if (!RowsOf(aRun, "timeline").empty()) {
    const auto [downtime, stranded] = DowntimeOf(aRun);
    aOut << "<p>copy-seconds down: " << downtime
         << ", VM-seconds stranded: " << stranded << "</p>\n";
  }
  for (const char* it :
       { "counts", "added", "way", "goodput", "load", "fault" }) {
    RenderTable(aOut, aRun, it);
  }
  aOut << "</section>\n";
}

/// Sets equal axis ranges for the same plot of all runs.
void
UnifyScales(std::vector<std::vector<Plot>>& aPlots)
{
  for (size_t i = 0; i < aPlots.front().size(); ++i) {
    double maxX = 0;
    double maxY = 0;
    for (const auto& plots : aPlots) {
      const auto [x, y] = MaximaOf(plots[i]);
      maxX = std::max(maxX, x);
      maxY = std::max(maxY, y);
    }
    for (auto& plots : aPlots) {
      plots[i].mMaxX = maxX;
      plots[i].mMaxY = maxY;
    }
  }
}

} // namespace

Result<RunLog>
ParseRunLog(std::string aName, std::string_view aText)
{
  RunLog run{ std::move(aName), {} };
  std::istringstream in{ std::string(aText) };
  std::string line;
  for (int n = 1; std::getline(in, line); ++n) {
    if (line.empty()) {
      continue;
    }
    Result<Json::Value> row = ParseJsonObject(line);
    if (!row) {
      return Failure{ Error::ReplyInvalid,
                      run.mName + ":" + std::to_string(n) +
                        ": not a JSON object",
                      "make the file with --json" };
    }
    run.mRows.push_back(std::move(row.value()));
  }
  return run;
}

std::string
RenderReport(const std::vector<RunLog>& aRuns)
{
  std::vector<std::vector<Plot>> plots;
  for (const RunLog& it : aRuns) {
    plots.push_back(PlotsOf(it));
  }
  UnifyScales(plots);
  std::ostringstream out;
  out << kHead;
  for (size_t i = 0; i < aRuns.size(); ++i) {
    RenderRun(out, aRuns[i], plots[i]);
  }
  out << kTail;
  return out.str();
}

int
PrintReport(const std::vector<std::string>& aPaths)
{
  std::vector<RunLog> runs;
  for (const std::string& it : aPaths) {
    Result<std::string> text = ReadTextFile(it, kMaxLogBytes);
    Result<RunLog> run =
      text ? ParseRunLog(it, text.value()) : Result<RunLog>(text.error());
    if (!run) {
      std::cerr << "hibiscushold-bench: " << Describe(run.error()) << "\n";
      return 2;
    }
    runs.push_back(std::move(run.value()));
  }
  std::cout << RenderReport(runs);
  return 0;
}

} // namespace hibiscushold::bench

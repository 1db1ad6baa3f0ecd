#pragma once

#include <string>
#include <utility>
#include <vector>

namespace hibiscushold::bench {

/// One line of a plot.
struct Series
{
  std::string mName;
  std::vector<std::pair<double, double>> mPoints;
};

/// A labelled interval of the x axis.
struct Span
{
  double mFrom = 0;
  double mTo = 0;
  std::string mLabel;
};

/// A plot and the minimum ranges of its axes.
struct Plot
{
  std::string mTitle;
  std::string mXLabel;
  std::string mYLabel;
  std::vector<Series> mSeries;
  std::vector<Span> mSpans;
  bool mSteps = false; ///< step lines: a value holds until the next point
  double mMaxX = 0;    ///< the axis reaches at least this value
  double mMaxY = 0;
};

/// @return aText with the characters that HTML reserves escaped
std::string
EscapeHtml(const std::string& aText);

/// @return the plot as an SVG element
std::string
RenderPlot(const Plot& aPlot);

/// @return the largest x and y of the plot's points
std::pair<double, double>
MaximaOf(const Plot& aPlot);

} // namespace hibiscushold::bench

#include "bench/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace hibiscushold::bench {

namespace {

constexpr double kWidth = 560;
constexpr double kHeight = 280;
constexpr double kLeftMargin = 60;
constexpr double kRightMargin = 20;
constexpr double kTopMargin = 30;
constexpr double kBottomMargin = 45;
constexpr int kTicks = 5;
constexpr std::array<const char*, 6> kColours = { "#1f6feb", "#d1242f",
                                                  "#1a7f37", "#9a6700",
                                                  "#8250df", "#57606a" };

/// Maps values to coordinates in the picture.
struct Scale
{
  double mMaxX;
  double mMaxY;

  double X(double aValue) const
  {
    return kLeftMargin + aValue / mMaxX * (kWidth - kLeftMargin - kRightMargin);
  }

  double Y(double aValue) const
  {
    return kHeight - kBottomMargin -
           aValue / mMaxY * (kHeight - kTopMargin - kBottomMargin);
  }
};

/// @return the value rounded up to 1, 2 or 5 times a power of ten
double
RoundUp(double aValue)
{
  if (aValue <= 0) {
    return 1;
  }
  const double power = std::pow(10, std::floor(std::log10(aValue)));
  for (const double step : { 1.0, 2.0, 5.0 }) {
    if (aValue <= step * power) {
      return step * power;
    }
  }
  return 10 * power;
}

void
DrawText(std::ostream& aOut,
         double aX,
         double aY,
         const char* aAnchor,
         const std::string& aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\" text-anchor=\""
       << aAnchor << "\">" << EscapeHtml(aText) << "</text>\n";
}

std::string
Label(double aValue)
{
  std::ostringstream out;
  out << std::setprecision(4) << aValue;
  return out.str();
}

void
DrawAxes(std::ostream& aOut, const Plot& aPlot, const Scale& aScale)
{
  for (int i = 0; i <= kTicks; ++i) {
    const double x = aScale.mMaxX * i / kTicks;
    const double y = aScale.mMaxY * i / kTicks;
    aOut << "<line class=\"grid\" x1=\"" << kLeftMargin << "\" x2=\""
         << kWidth - kRightMargin << "\" y1=\"" << aScale.Y(y) << "\" y2=\""
         << aScale.Y(y) << "\"/>\n";
    DrawText(aOut, kLeftMargin - 6, aScale.Y(y) + 4, "end", Label(y));
    DrawText(
      aOut, aScale.X(x), kHeight - kBottomMargin + 16, "middle", Label(x));
  }
  DrawText(aOut, kLeftMargin, kTopMargin - 14, "start", aPlot.mTitle);
  DrawText(aOut, kWidth - kRightMargin, kTopMargin - 14, "end", aPlot.mYLabel);
  DrawText(aOut, kWidth / 2, kHeight - 8, "middle", aPlot.mXLabel);
}

void
DrawSpan(std::ostream& aOut, const Span& aSpan, const Scale& aScale)
{
  const double x = aScale.X(aSpan.mFrom);
  const double width = std::max(1.5, aScale.X(aSpan.mTo) - x);
  aOut << "<rect class=\"span\" x=\"" << x << "\" y=\"" << kTopMargin
       << "\" width=\"" << width << "\" height=\""
       << kHeight - kTopMargin - kBottomMargin << "\"><title>"
       << EscapeHtml(aSpan.mLabel) << "</title></rect>\n";
}

void
DrawSeries(std::ostream& aOut,
           const Series& aSeries,
           size_t aIndex,
           bool aSteps,
           const Scale& aScale)
{
  const char* colour = kColours[aIndex % kColours.size()];
  aOut << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
       << "\" points=\"";
  double previousY = 0;
  bool first = true;
  for (const auto& [x, y] : aSeries.mPoints) {
    if (aSteps && !first) {
      aOut << aScale.X(x) << "," << aScale.Y(previousY) << " ";
    }
    aOut << aScale.X(x) << "," << aScale.Y(y) << " ";
    previousY = y;
    first = false;
  }
  aOut << "\"/>\n";
  const double y = kTopMargin + 14 * static_cast<double>(aIndex + 1);
  aOut << "<rect x=\"" << kLeftMargin + 8 << "\" y=\"" << y - 8
       << "\" width=\"10\" height=\"4\" fill=\"" << colour << "\"/>\n";
  DrawText(aOut, kLeftMargin + 22, y - 2, "start", aSeries.mName);
}

} // namespace

std::string
EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char it : aText) {
    switch (it) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += it;
    }
  }
  return escaped;
}

std::pair<double, double>
MaximaOf(const Plot& aPlot)
{
  std::pair<double, double> maxima{ 0, 0 };
  for (const Series& series : aPlot.mSeries) {
    for (const auto& [x, y] : series.mPoints) {
      maxima.first = std::max(maxima.first, x);
      maxima.second = std::max(maxima.second, y);
    }
  }
  return maxima;
}

std::string
RenderPlot(const Plot& aPlot)
{
  const auto [maxX, maxY] = MaximaOf(aPlot);
  const Scale scale{ RoundUp(std::max(maxX, aPlot.mMaxX)),
                     RoundUp(std::max(maxY, aPlot.mMaxY)) };
  std::ostringstream out;
  out << "<svg viewBox=\"0 0 " << kWidth << " " << kHeight << "\" width=\""
      << kWidth << "\" role=\"img\">\n";
  for (const Span& it : aPlot.mSpans) {
    DrawSpan(out, it, scale);
  }
  DrawAxes(out, aPlot, scale);
  for (size_t i = 0; i < aPlot.mSeries.size(); ++i) {
    DrawSeries(out, aPlot.mSeries[i], i, aPlot.mSteps, scale);
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace hibiscushold::bench

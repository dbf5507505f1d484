#include "gooseberrylift-slope-table.h"

#include <chrono>
#include <cstdio>

#include <malloc.h>

namespace gooseberrylift::bench {

SlopeFit FitLine(const std::vector<SlopePoint>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double meanSize = 0;
  double meanValue = 0;
  for (const SlopePoint& point : aPoints) {
    meanSize += point.size_ / count;
    meanValue += point.value_ / count;
  }
  double sizes = 0;
  double values = 0;
  double both = 0;
  for (const SlopePoint& point : aPoints) {
    const double size = point.size_ - meanSize;
    const double value = point.value_ - meanValue;
    sizes += size * size;
    values += value * value;
    both += size * value;
  }
  SlopeFit fit;
  fit.slope_ = sizes == 0 ? 0 : both / sizes;
  fit.intercept_ = meanValue - fit.slope_ * meanSize;
  fit.r2_ = sizes == 0 || values == 0 ? 1 : both * both / (sizes * values);
  return fit;
}

void PrintSlope(const std::string& aName,
                const std::string& aSizeUnit,
                const std::string& aValueUnit,
                const std::vector<SlopePoint>& aPoints)
{
  std::printf("%s\n ", aName.c_str());
  for (const SlopePoint& point : aPoints) {
    std::printf(" %g: %.4g", point.size_, point.value_);
  }
  const SlopeFit fit = FitLine(aPoints);
  std::printf("  [%s]\n  fit: %.4g + %.4g per %s, r2 %.3f\n",
              aValueUnit.c_str(),
              fit.intercept_,
              fit.slope_,
              aSizeUnit.c_str(),
              fit.r2_);
  std::fflush(stdout);
}

void Measure(const std::string& aName,
             const std::string& aSizeUnit,
             const std::string& aValueUnit,
             const std::vector<double>& aSizes,
             const std::function<double(double aSize)>& aValueOf)
{
  std::vector<SlopePoint> points;
  points.reserve(aSizes.size());
  for (const double size : aSizes) {
    points.push_back({ size, aValueOf(size) });
  }
  PrintSlope(aName, aSizeUnit, aValueUnit, points);
}

double MicrosecondsOf(const std::function<void()>& aCall)
{
  using Clock = std::chrono::steady_clock;
  aCall(); // warm-up call
  const auto start = Clock::now();
  std::chrono::duration<double, std::micro> passed{ 0 };
  int calls = 0;
  while (calls < 3 || passed.count() < 100'000) {
    aCall();
    ++calls;
    passed = Clock::now() - start;
  }
  return passed.count() / calls;
}

double HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace gooseberrylift::bench

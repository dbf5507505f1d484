// Measured points and the straight line through them.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_SLOPE_TABLE_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_SLOPE_TABLE_H_

#include <functional>
#include <string>
#include <vector>

namespace gooseberrylift::bench {

struct SlopePoint
{
  double size_ = 0;
  double value_ = 0;
};

struct SlopeFit
{
  double intercept_ = 0;
  double slope_ = 0;
  double r2_ = 0; // share of the variance that the line explains
};

/// Fits a line by least squares.
SlopeFit FitLine(const std::vector<SlopePoint>& aPoints);

/// Prints points and fit of one measurement.
/// @param aName what was measured
/// @param aSizeUnit the unit of the sizes, in the singular
/// @param aValueUnit the unit of the values
void PrintSlope(const std::string& aName,
                const std::string& aSizeUnit,
                const std::string& aValueUnit,
                const std::vector<SlopePoint>& aPoints);

/// Calls a function for each size and prints the slope.
void Measure(const std::string& aName,
             const std::string& aSizeUnit,
             const std::string& aValueUnit,
             const std::vector<double>& aSizes,
             const std::function<double(double aSize)>& aValueOf);

/// Gives the mean time of a call in microseconds, over as many calls as fit in
/// a tenth of a second, and three at least.
double MicrosecondsOf(const std::function<void()>& aCall);

/// Gives the bytes that the heap holds now.
double HeapBytes();

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_SLOPE_TABLE_H_

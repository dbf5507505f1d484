// Measurements and their linear regression.

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
  double r2_ = 0; // coefficient of determination
};

/// Fits a line with the least-squares method.
SlopeFit FitLine(const std::vector<SlopePoint>& aPoints);

/// Prints the points and the fitted line of a measurement.
/// @param aName what was measured
/// @param aSizeUnit the unit of the sizes, in the singular
/// @param aValueUnit the unit of the values
void PrintSlope(const std::string& aName,
                const std::string& aSizeUnit,
                const std::string& aValueUnit,
                const std::vector<SlopePoint>& aPoints);

/// Measures a function for each size and prints the fitted line.
void Measure(const std::string& aName,
             const std::string& aSizeUnit,
             const std::string& aValueUnit,
             const std::vector<double>& aSizes,
             const std::function<double(double aSize)>& aValueOf);

/// Returns the mean time of a call in microseconds, over as many calls as fit
/// into a tenth of a second, but at least three.
double MicrosecondsOf(const std::function<void()>& aCall);

/// Returns the number of bytes currently allocated on the heap.
double HeapBytes();

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_SLOPE_TABLE_H_

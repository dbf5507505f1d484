// Histogram of the time to first token by service and prompt band. Hosts
// exchange and merge histograms without loss.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_FIRST_TOKEN_HISTOGRAM_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_FIRST_TOKEN_HISTOGRAM_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrylift {

// Bins range from one millisecond to five minutes, each about a quarter wider
// than the previous, so quantiles are accurate to about a quarter. Not
// thread-safe.
class FirstTokenHistogram
{
public:
  // One non-empty time bin of one series.
  struct Bin
  {
    std::string service_;
    std::size_t band_ = 0;
    int bin_ = 0; // -1 is the underflow bin, Bins() the overflow bin
    std::uint64_t count_ = 0;

    bool operator==(const Bin&) const = default;
  };

  FirstTokenHistogram();
  ~FirstTokenHistogram();
  FirstTokenHistogram(FirstTokenHistogram&&) noexcept;
  FirstTokenHistogram& operator=(FirstTokenHistogram&&) noexcept;

  /// Records the time to first token of one request.
  void Record(const std::string& aService,
              std::uint64_t aPromptTokens,
              std::chrono::microseconds aTime);

  /// Adds all counts of another histogram.
  void Merge(const FirstTokenHistogram& aOther);

  /// Adds a bin received from another host. Bins with indices out of range are
  /// ignored, because the input is not trusted.
  void Add(const Bin& aBin);

  /// Returns all non-empty bins, sorted by service, band and bin.
  std::vector<Bin> NonEmptyBins() const;

  /// Returns the upper edge of the bin that contains a quantile of a series.
  /// @return nullopt if the series is empty or the quantile is in the overflow
  /// bin, which has no upper edge
  std::optional<std::chrono::duration<double>>
  Quantile(const std::string& aService, std::size_t aBand, double aShare) const;

  /// Returns the number of time bins, without underflow and overflow.
  static int BinCount();

  /// Returns the upper edge of a bin; -1 is the underflow bin.
  static std::chrono::duration<double> UpperEdge(int aBin);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_FIRST_TOKEN_HISTOGRAM_H_

// Times to first token by service and prompt band, in a histogram that hosts
// keep, send and merge without losing a count.

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

// Bins grow by about a quarter from a millisecond to five minutes, so a
// quantile is known within a quarter. Not thread-safe.
class FirstTokenHistogram
{
public:
  // One time bin of one series that has counts.
  struct Bin
  {
    std::string service_;
    std::size_t band_ = 0;
    int bin_ = 0; // -1 is below the first bin, Bins() above the last
    std::uint64_t count_ = 0;

    bool operator==(const Bin&) const = default;
  };

  FirstTokenHistogram();
  ~FirstTokenHistogram();
  FirstTokenHistogram(FirstTokenHistogram&&) noexcept;
  FirstTokenHistogram& operator=(FirstTokenHistogram&&) noexcept;

  /// Counts one request.
  void Record(const std::string& aService,
              std::uint64_t aPromptTokens,
              std::chrono::microseconds aTime);

  /// Adds all counts of another histogram.
  void Merge(const FirstTokenHistogram& aOther);

  /// Adds a bin as another host sent it; one with impossible indices is left
  /// out, since it comes from outside.
  void Add(const Bin& aBin);

  /// Gives all bins with counts, ordered by service, band and bin.
  std::vector<Bin> Filled() const;

  /// Gives the upper edge of the bin in which a quantile of a series lies.
  /// @return nothing when the series is empty or the quantile is in the last
  /// bin, which has no edge
  std::optional<std::chrono::duration<double>>
  Quantile(const std::string& aService, std::size_t aBand, double aShare) const;

  /// Gives the number of time bins, without those below and above.
  static int Bins();

  /// Gives the upper edge of a bin; -1 is the one below the first.
  static std::chrono::duration<double> UpperEdge(int aBin);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_FIRST_TOKEN_HISTOGRAM_H_

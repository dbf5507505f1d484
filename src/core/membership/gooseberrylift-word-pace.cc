#include "gooseberrylift/membership/gooseberrylift-word-pace.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

using std::chrono::milliseconds;

milliseconds WordPace::Interval(std::size_t aPeers) const
{
  constexpr double kSecond = 1'000; // ms
  const double bound =
    static_cast<double>(aPeers) / std::max(options_.perSecond_, 1.0) * kSecond;
  return std::max(options_.least_,
                  milliseconds(static_cast<std::int64_t>(std::ceil(bound))));
}

TimePoint WordPace::DueAt(TimePoint aNow,
                          std::size_t aPeers,
                          bool aUrgent) const
{
  return aUrgent ? aNow : std::max(aNow, sent_ + Interval(aPeers));
}

bool WordPace::MustRepeat(TimePoint aNow, std::size_t aPeers) const
{
  return aNow >= sent_ + std::max(options_.repeat_, Interval(aPeers));
}

} // namespace gooseberrylift

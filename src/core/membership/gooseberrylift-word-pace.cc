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
  const milliseconds interval = std::max(
    options_.least_, milliseconds(static_cast<std::int64_t>(std::ceil(bound))));
  return aPeers < options_.manyPeers_
           ? interval
           : std::max(interval, options_.mostInterval_);
}

TimePoint WordPace::DueAt(TimePoint aNow, std::size_t aPeers) const
{
  return std::max(aNow, sent_ + Interval(aPeers));
}

double WordPace::Spent(TimePoint aNow) const
{
  const std::chrono::duration<double> since = aNow - told_;
  return std::max(spent_ - since.count() * options_.changesPerSecond_, 0.0);
}

bool WordPace::MayTell(TimePoint aNow, std::size_t aPeers) const
{
  const auto peers = static_cast<double>(aPeers);
  return Spent(aNow) + peers <= options_.burst_ * peers;
}

void WordPace::OnTold(TimePoint aNow, std::size_t aPeers)
{
  spent_ = Spent(aNow) + static_cast<double>(aPeers);
  told_ = aNow;
}

bool WordPace::MustRepeat(TimePoint aNow, std::size_t aPeers) const
{
  return aNow >= sent_ + std::max(options_.repeat_, Interval(aPeers));
}

} // namespace gooseberrylift

#include "gooseberrylift/membership/gooseberrylift-word-pace.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

using std::chrono::milliseconds;

milliseconds WordPace::Interval(std::size_t aPeers) const
{
  constexpr double kSecond = 1'000; // ms
  const double rateLimited =
    static_cast<double>(aPeers) /
    std::max(options_.snapshotDatagramsPerSecond_, 1.0) * kSecond;
  const milliseconds interval =
    std::max(options_.minInterval_,
             milliseconds(static_cast<std::int64_t>(std::ceil(rateLimited))));
  return aPeers < options_.largeFleetPeers_
           ? interval
           : std::max(interval, options_.largeFleetInterval_);
}

TimePoint WordPace::DueAt(TimePoint aNow, std::size_t aPeers) const
{
  return std::max(aNow, lastSnapshot_ + Interval(aPeers));
}

double WordPace::UsedTokens(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - usedTokensAt_;
  return std::max(
    usedTokens_ - elapsed.count() * options_.deltaDatagramsPerSecond_, 0.0);
}

bool WordPace::MayTell(TimePoint aNow, std::size_t aPeers) const
{
  const auto peers = static_cast<double>(aPeers);
  return UsedTokens(aNow) + peers <= options_.deltaBurst_ * peers;
}

void WordPace::OnTold(TimePoint aNow, std::size_t aPeers)
{
  usedTokens_ = UsedTokens(aNow) + static_cast<double>(aPeers);
  usedTokensAt_ = aNow;
}

bool WordPace::MustRepeat(TimePoint aNow, std::size_t aPeers) const
{
  return aNow >=
         lastSnapshot_ + std::max(options_.repeatInterval_, Interval(aPeers));
}

} // namespace gooseberrylift

#include "gooseberrylift/membership/gooseberrylift-load-message-pacer.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

using std::chrono::milliseconds;

milliseconds LoadMessagePacer::Interval(std::size_t aPeers) const
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

TimePoint LoadMessagePacer::NextSnapshotTime(TimePoint aNow,
                                             std::size_t aPeers) const
{
  return std::max(aNow, lastSnapshot_ + Interval(aPeers));
}

double LoadMessagePacer::UsedTokens(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - usedTokensAt_;
  return std::max(
    usedTokens_ - elapsed.count() * options_.deltaDatagramsPerSecond_, 0.0);
}

bool LoadMessagePacer::MaySendDelta(TimePoint aNow, std::size_t aPeers) const
{
  const auto peers = static_cast<double>(aPeers);
  return UsedTokens(aNow) + peers <= options_.deltaBurst_ * peers;
}

void LoadMessagePacer::OnDeltaSent(TimePoint aNow, std::size_t aPeers)
{
  usedTokens_ = UsedTokens(aNow) + static_cast<double>(aPeers);
  usedTokensAt_ = aNow;
}

bool LoadMessagePacer::IsRepeatDue(TimePoint aNow, std::size_t aPeers) const
{
  return aNow >=
         lastSnapshot_ + std::max(options_.repeatInterval_, Interval(aPeers));
}

} // namespace gooseberrylift

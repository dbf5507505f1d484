#include "gooseberrylift/membership/gooseberrylift-store-read-schedule.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace gooseberrylift {

using std::chrono::ceil;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

using HashRank = std::pair<std::uint64_t, std::string>;

HashRank HashRankOf(const std::string& aHost)
{
  return { XXH3_64bits(aHost.data(), aHost.size()), aHost };
}

// Enough to reach maxRetryDelay_ with any reasonable options.
constexpr int kMaxDoublings = 8;

// A host that has read the store within this many intervals is a reader.
constexpr int kActiveReaderIntervals = 3;

} // namespace

bool RanksBefore(const std::string& aHost, const std::string& aOther)
{
  return HashRankOf(aHost) < HashRankOf(aOther);
}

ReaderRank RankReaders(const ReaderCandidate& aSelf,
                       const std::vector<ReaderCandidate>& aOthers)
{
  ReaderRank rank;
  for (const ReaderCandidate& other : aOthers) {
    if (other.leaving_) {
      continue;
    }
    ++rank.hosts_;
    if (aSelf.leaving_ || RanksBefore(other.host_, aSelf.host_)) {
      ++rank.rank_;
      rank.reachableBefore_ += other.storeUnreachable_ ? 0 : 1;
    }
  }
  return rank;
}

milliseconds StoreReadSchedule::MaxAge(TimePoint aNow,
                                       const ReaderRank& aRank) const
{
  if (aRank.rank_ == 0 ||
      (aRank.reachableBefore_ == 0 && IsActiveReader(aNow))) {
    return options_.interval_;
  }
  const auto doublings = std::bit_width(aRank.hosts_);
  const milliseconds maxAge = options_.interval_ +
                              doublings * options_.propagationPerDoubling_ +
                              aRank.rank_ * options_.rankStep_;
  const milliseconds limit =
    options_.maxAge_ + options_.maxAgeSpread_ * aRank.rank_ / aRank.hosts_;
  return std::min(maxAge, limit);
}

bool StoreReadSchedule::IsActiveReader(TimePoint aNow) const
{
  return lastRead_ &&
         aNow - *lastRead_ < kActiveReaderIntervals * options_.interval_;
}

milliseconds StoreReadSchedule::TimeUntilDue(TimePoint aNow,
                                             std::optional<milliseconds> aAge,
                                             const ReaderRank& aRank) const
{
  const auto delay = ceil<milliseconds>(nextAttempt_ - aNow);
  if (!aAge) {
    return delay;
  }
  return std::max(delay, MaxAge(aNow, aRank) - *aAge);
}

milliseconds StoreReadSchedule::RetryDelay(const ReaderRank& aRank) const
{
  const auto backoff = options_.retryDelay_ *
                       (1 << std::min(consecutiveFailures_ - 1, kMaxDoublings));
  const milliseconds delay = std::min(backoff, options_.maxRetryDelay_);
  if (aRank.rank_ < options_.fastRetryHosts_) {
    return delay;
  }
  const std::chrono::duration<double> shared(static_cast<double>(aRank.hosts_) /
                                             options_.fleetRetriesPerSecond_);
  return std::max(delay, duration_cast<milliseconds>(shared));
}

void StoreReadSchedule::CancelDelay()
{
  if (consecutiveFailures_ == 0) {
    nextAttempt_ = {};
  }
}

void StoreReadSchedule::OnRead(TimePoint aNow)
{
  consecutiveFailures_ = 0;
  nextAttempt_ = {};
  lastRead_ = aNow;
}

void StoreReadSchedule::OnFailed(TimePoint aNow, const ReaderRank& aRank)
{
  ++consecutiveFailures_;
  nextAttempt_ = aNow + RetryDelay(aRank);
}

} // namespace gooseberrylift

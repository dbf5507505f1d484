#include "gooseberrylift/membership/gooseberrylift-read-turn.h"

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

using Place = std::pair<std::uint64_t, std::string>;

Place PlaceOf(const std::string& aHost)
{
  return { XXH3_64bits(aHost.data(), aHost.size()), aHost };
}

// Beyond it the most is reached with any sensible options.
constexpr int kMostDoublings = 8;

// A host that has read within so many turns is the one that reads.
constexpr int kTurnsUntilIdle = 3;

} // namespace

bool RanksBefore(const std::string& aHost, const std::string& aOther)
{
  return PlaceOf(aHost) < PlaceOf(aOther);
}

ReadRank RankReaders(const ReadCandidate& aSelf,
                     const std::vector<ReadCandidate>& aOthers)
{
  ReadRank rank;
  for (const ReadCandidate& other : aOthers) {
    if (other.leaving_) {
      continue;
    }
    ++rank.hosts_;
    if (aSelf.leaving_ || RanksBefore(other.host_, aSelf.host_)) {
      ++rank.rank_;
      rank.before_ += other.lost_ ? 0 : 1;
    }
  }
  return rank;
}

milliseconds ReadTurn::Bound(TimePoint aNow, const ReadRank& aRank) const
{
  if (aRank.rank_ == 0 || (aRank.before_ == 0 && Reads(aNow))) {
    return options_.every_;
  }
  const auto doublings = std::bit_width(aRank.hosts_);
  const milliseconds bound = options_.every_ +
                             doublings * options_.spreadPerDoubling_ +
                             aRank.rank_ * options_.step_;
  const milliseconds latest =
    options_.latest_ + options_.latestSpread_ * aRank.rank_ / aRank.hosts_;
  return std::min(bound, latest);
}

bool ReadTurn::Reads(TimePoint aNow) const
{
  return read_ && aNow - *read_ < kTurnsUntilIdle * options_.every_;
}

milliseconds ReadTurn::DueIn(TimePoint aNow,
                             std::optional<milliseconds> aAge,
                             const ReadRank& aRank) const
{
  const auto pause = ceil<milliseconds>(tryAt_ - aNow);
  if (!aAge) {
    return pause;
  }
  return std::max(pause, Bound(aNow, aRank) - *aAge);
}

milliseconds ReadTurn::PauseOf(const ReadRank& aRank) const
{
  const auto doubled =
    options_.pause_ * (1 << std::min(failures_ - 1, kMostDoublings));
  const milliseconds pause = std::min(doubled, options_.mostPause_);
  if (aRank.rank_ < options_.triers_) {
    return pause;
  }
  const std::chrono::duration<double> shared(static_cast<double>(aRank.hosts_) /
                                             options_.triesPerSecond_);
  return std::max(pause, duration_cast<milliseconds>(shared));
}

void ReadTurn::CancelDelay()
{
  if (failures_ == 0) {
    tryAt_ = {};
  }
}

void ReadTurn::OnRead(TimePoint aNow)
{
  failures_ = 0;
  tryAt_ = {};
  read_ = aNow;
}

void ReadTurn::OnFailed(TimePoint aNow, const ReadRank& aRank)
{
  ++failures_;
  tryAt_ = aNow + PauseOf(aRank);
}

} // namespace gooseberrylift

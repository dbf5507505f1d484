#include "gooseberrylift/limits/gooseberrylift-patience.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCallerLeast{ 2'000 };
constexpr int kCallerObjectives = 4;
constexpr int kCallerGaps = 8;

// A plain service answers most calls in a fifth of its objective and all but
// the slowest within it; four objectives of silence are a hang.
constexpr int kPlainObjectives = 4;

// Of an endpoint's slots, how many a host must know to be taken before it takes
// the endpoint for full: it hears of what other hosts sent a moment late.
constexpr double kFullShare = 0.75;

// The pieces that an engine writes in one pass are here within so long.
constexpr milliseconds kPieceSpread{ 100 };

} // namespace

milliseconds CallerPatience(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return aRoute.timeout_;
  }
  return std::max({ kCallerLeast,
                    aRoute.objective_ * kCallerObjectives,
                    aRoute.maxGap_ * kCallerGaps });
}

milliseconds SilenceLimit(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return std::min(aRoute.timeout_, aRoute.objective_ * kPlainObjectives);
  }
  return CallerPatience(aRoute) / 2;
}

bool LooksHung(const EndpointSigns& aSigns, milliseconds aLimit)
{
  // A read stretches the pass that it falls into. Half of the limit is added
  // for it at most, so that a caller's patience is left for another endpoint.
  const milliseconds limit = aLimit + std::min(aSigns.backlog_, aLimit / 2);
  const bool silentToAll = aSigns.silent_ >= limit;
  if (aSigns.begun_) {
    // What writes for others and not for this one has lost it; a little later,
    // since the pieces of one pass come one after the other.
    const bool writesForOthers = aSigns.silent_ < aLimit;
    return silentToAll ||
           (writesForOthers && aSigns.silentHere_ >= aLimit + kPieceSpread);
  }
  if (!silentToAll) {
    return aSigns.overtaken_;
  }
  const bool answersOthers =
    aSigns.silentToPeers_ && *aSigns.silentToPeers_ < aLimit;
  const bool full = aSigns.running_ >= aSigns.slots_ * kFullShare;
  return !answersOthers || !full;
}

} // namespace gooseberrylift

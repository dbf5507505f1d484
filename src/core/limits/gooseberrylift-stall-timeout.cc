#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinCallerTimeout{ 2'000 };
constexpr int kCallerObjectiveFactor = 4;
constexpr int kCallerGapFactor = 8;

// A plain service answers most calls within a fifth of its objective and all
// but the slowest within the objective. After four objectives the call is
// stalled.
constexpr int kPlainObjectiveFactor = 4;

// An endpoint counts as saturated if this share of its slots is known to be in
// use. It is below 1 because other hosts report their requests with a delay.
constexpr double kSaturatedShare = 0.75;

// The events that an engine writes in one batch step arrive within this time.
constexpr milliseconds kBatchWriteSpread{ 100 };

} // namespace

milliseconds CallerStallTimeout(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return aRoute.timeout_;
  }
  return std::max({ kMinCallerTimeout,
                    aRoute.objective_ * kCallerObjectiveFactor,
                    aRoute.maxGap_ * kCallerGapFactor });
}

milliseconds EndpointStallTimeout(const Route& aRoute)
{
  if (aRoute.kind_ != RouteKind::kStreaming) {
    return std::min(aRoute.timeout_, aRoute.objective_ * kPlainObjectiveFactor);
  }
  return CallerStallTimeout(aRoute) / 2;
}

bool IsRequestStalled(const EndpointActivity& aActivity, milliseconds aLimit)
{
  // Prefill lengthens the batch step that it runs in. At most half of the
  // timeout is added for it, so that enough of the caller's timeout is left for
  // another endpoint.
  const milliseconds limit = aLimit + std::min(aActivity.backlog_, aLimit / 2);
  const bool silentToAll = aActivity.hostSilence_ >= limit;
  if (aActivity.begun_) {
    // An engine that sends events to other requests but not to this one has
    // lost it. The events of one batch step arrive one after the other, so a
    // short delay is allowed.
    const bool servesOthers = aActivity.hostSilence_ < aLimit;
    return silentToAll || (servesOthers && aActivity.requestSilence_ >=
                                             aLimit + kBatchWriteSpread);
  }
  if (!silentToAll) {
    return aActivity.overtaken_;
  }
  const bool answersOthers =
    aActivity.peerSilence_ && *aActivity.peerSilence_ < aLimit;
  const bool saturated =
    aActivity.running_ >= aActivity.slots_ * kSaturatedShare;
  return !answersOthers || !saturated;
}

} // namespace gooseberrylift

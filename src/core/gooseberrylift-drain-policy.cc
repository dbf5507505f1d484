#include "gooseberrylift/gooseberrylift-drain-policy.h"

#include <algorithm>

namespace gooseberrylift {

using std::chrono::milliseconds;

namespace {

// Callers send a request within a round trip of the response or the handshake
// before it.
constexpr milliseconds kRequestWait{ 250 };

constexpr milliseconds kLingerTime{ 1000 };
// Callers that keep connections open until the process is gone would use the
// whole time.
constexpr milliseconds kClosingLingerTime{ 100 };
constexpr milliseconds kEndingLingerTime{ 50 };

} // namespace

bool KeepsConnection(DrainPhase aPhase, bool aMoreArrived)
{
  return aPhase == DrainPhase::kServing ||
         (aPhase != DrainPhase::kEnding && aMoreArrived);
}

std::optional<TimePoint> IdleLimit(DrainPhase aPhase,
                                   TimePoint aIdleSince,
                                   TimePoint aClosingSince)
{
  switch (aPhase) {
    case DrainPhase::kClosing:
      return std::max(aIdleSince, aClosingSince) + kRequestWait;
    case DrainPhase::kEnding:
      return aIdleSince;
    default:
      return std::nullopt;
  }
}

milliseconds LingerTime(DrainPhase aPhase)
{
  switch (aPhase) {
    case DrainPhase::kClosing:
      return kClosingLingerTime;
    case DrainPhase::kEnding:
      return kEndingLingerTime;
    default:
      return kLingerTime;
  }
}

std::optional<TimePoint> LatestEndOfNewRequest(DrainPhase aPhase,
                                               TimePoint aDrainLimit)
{
  if (aPhase == DrainPhase::kServing || aPhase == DrainPhase::kLag) {
    return std::nullopt;
  }
  return aDrainLimit;
}

} // namespace gooseberrylift

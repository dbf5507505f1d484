// Decides what a server does with connections and requests in each phase of a
// planned stop.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_DRAIN_POLICY_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_DRAIN_POLICY_H_

#include <chrono>
#include <optional>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// The phases of a planned stop, in order.
enum class DrainPhase
{
  kServing,
  kLag,     // not ready, while the load balancer still sends requests
  kClosing, // no new connections; requests under way end
  kEnding   // the time for requests under way is over
};

/// Returns whether a connection stays open after a response.
/// @param aMoreArrived whether the caller has already sent further bytes, which
/// a response that closes the connection would leave without an answer
bool KeepsConnection(DrainPhase aPhase, bool aMoreArrived);

/// Returns when a connection without a request is closed; nothing if the drain
/// sets no limit.
/// @param aIdleSince when it was accepted or its last response ended
/// @param aClosingSince when the phase kClosing began; unused before
std::optional<TimePoint> IdleLimit(DrainPhase aPhase,
                                   TimePoint aIdleSince,
                                   TimePoint aClosingSince);

/// Returns how long a connection that the server has shut down waits for the
/// caller to close it.
std::chrono::milliseconds LingerTime(DrainPhase aPhase);

/// Returns when a request whose reading begins now must have ended; nothing if
/// the drain sets no limit.
/// @param aDrainLimit when requests under way are aborted
std::optional<TimePoint> LatestEndOfNewRequest(DrainPhase aPhase,
                                               TimePoint aDrainLimit);

// The time after which a caller that was refused during a stop may return.
inline constexpr std::chrono::milliseconds kStopRetryDelay{ 1000 };

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_DRAIN_POLICY_H_

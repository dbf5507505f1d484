// How long a silence is borne: by callers, and so by this host at an endpoint.
// The load it answers: endpoints that hang, freeze or die without a word, and
// engines that are merely slow under load. Given up too early, a request at
// work is run twice and an overload doubles itself; too late, its caller has
// left.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_

#include <chrono>

#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

/// Gives the silence after which a caller leaves a stream, before its first
/// event or between two: the longest of two seconds, four times the objective
/// and eight times the longest gap, as callers of this fleet are known to do.
std::chrono::milliseconds CallerPatience(const Route& aRoute);

/// Gives the silence of an endpoint after which a request that may be repeated
/// is better sent elsewhere: half of what the caller bears, so that the other
/// half is left for the second try; sooner when the endpoint was predicted to
/// answer long before that.
/// @param aPredicted until the first sign, as predicted; zero once there was
/// one
std::chrono::milliseconds SilenceLimit(const Route& aRoute,
                                       std::chrono::microseconds aPredicted);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_

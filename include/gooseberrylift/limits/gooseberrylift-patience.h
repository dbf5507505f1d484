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
/// is better sent elsewhere: of a stream, half of what the caller bears, so
/// that the other half is left for the second try. The time that was predicted
/// is left out on purpose: with a limit of a second beyond twice the prediction
/// an eighth of the requests of a busy fleet were read twice, and callers got
/// 0.71 of the worth in place of 0.84 (pass-bench, site notes, 12 seeds).
std::chrono::milliseconds SilenceLimit(const Route& aRoute);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_PATIENCE_H_

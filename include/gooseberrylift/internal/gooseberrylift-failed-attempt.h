// How an attempt that an endpoint failed shows to operators.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_

#include <string>

#include "gooseberrylift/gooseberrylift-result.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"

namespace gooseberrylift {

/// Counts and logs an attempt that an endpoint failed.
void NoteFailedAttempt(Metrics& aMetrics,
                       const std::string& aRequestId,
                       const std::string& aEndpoint,
                       const Error& aError);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_

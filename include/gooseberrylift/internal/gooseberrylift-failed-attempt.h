// Reports failed attempts at endpoints in the metrics and the log.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_

#include <string>

#include "gooseberrylift/gooseberrylift-result.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"

namespace gooseberrylift {

/// Counts and logs a failed attempt at an endpoint.
void ReportFailedAttempt(Metrics& aMetrics,
                         const std::string& aRequestId,
                         const std::string& aEndpoint,
                         const Error& aError);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FAILED_ATTEMPT_H_

// Logs and counts background tasks that end by an exception.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASK_FAILURE_RECORDER_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASK_FAILURE_RECORDER_H_

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

/// Returns a handler that logs and counts each failed task.
/// @param aMetrics must outlive the handler
TaskFailureHandler TaskFailureRecorder(Metrics& aMetrics);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_TASK_FAILURE_RECORDER_H_

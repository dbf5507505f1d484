#include "gooseberrylift/internal/gooseberrylift-task-failure-recorder.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

TaskFailureHandler TaskFailureRecorder(Metrics& aMetrics)
{
  return [&aMetrics](const std::string& aText) {
    aMetrics.Count("gooseberrylift_tasks_failed_total");
    Log(LogEvent::kTaskFailed, { { "fault", aText } });
  };
}

} // namespace gooseberrylift

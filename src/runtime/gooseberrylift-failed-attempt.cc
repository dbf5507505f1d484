#include "gooseberrylift/internal/gooseberrylift-failed-attempt.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

void ReportFailedAttempt(Metrics& aMetrics,
                         const std::string& aRequestId,
                         const std::string& aEndpoint,
                         const Error& aError)
{
  const int code = static_cast<int>(aError.code_);
  aMetrics.Count("gooseberrylift_attempts_failed_total",
                 "code=\"" + std::to_string(code) + "\"");
  Log(LogEvent::kAttemptFailed,
      { { "request_id", aRequestId },
        { "endpoint", aEndpoint },
        { "code", code },
        { "text", aError.text_ } });
}

} // namespace gooseberrylift

#include "gooseberrylift/limits/gooseberrylift-started-response.h"

namespace gooseberrylift {

bool EndsStartedResponse(ResultCode aReason)
{
  switch (aReason) {
    case ResultCode::kCallerLeft:
    case ResultCode::kDeadlineExceeded:
    case ResultCode::kShuttingDown:
    case ResultCode::kSuspectRequest:
    case ResultCode::kSuspectPart:
      return true;
    default:
      return false;
  }
}

} // namespace gooseberrylift

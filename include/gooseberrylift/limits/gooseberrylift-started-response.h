// What may end a response of which the caller has a part.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STARTED_RESPONSE_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STARTED_RESPONSE_H_

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

/// Returns whether a reason not to send a request at this moment ends a
/// response that has begun. It does if it concerns the request itself and
/// stays. Other reasons, such as keys that are not proven or endpoints that are
/// not reached, mostly pass while the caller still waits for the next event.
bool EndsStartedResponse(ResultCode aReason);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_STARTED_RESPONSE_H_

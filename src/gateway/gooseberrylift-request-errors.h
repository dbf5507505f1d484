// Errors and random retry delays shared by the sources of RequestRun and
// GatewayFront.

#ifndef GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_
#define GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

/// Returns a uniformly distributed random number.
std::uint64_t RandomNumber();

/// Returns a retry delay for a transient failure. It is random, so that the
/// callers of a failed endpoint don't all retry at the same time.
std::chrono::milliseconds RandomRetryDelay();

/// Returns the error for a response that is incomplete or invalid.
Error MakeBrokenError(std::string aText);

/// Returns the error of a response with a part that is over its limit.
Error MakeOverlongError(std::string aText);

/// Returns the error of an attempt whose endpoint is silent.
Error MakeStallError();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_

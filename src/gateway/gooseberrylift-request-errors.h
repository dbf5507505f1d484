// Errors and random times that the parts of a request run share.

#ifndef GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_
#define GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

/// Gives a random number, of which each value is as likely.
std::uint64_t Draw();

/// Gives when to come back after a failure that passes soon: spread, so that
/// the callers of one failed endpoint do not return in one moment.
std::chrono::milliseconds RetrySoon();

/// Makes the error of an answer that broke off or is not what it should be.
Error Broken(std::string aText);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GATEWAY_GOOSEBERRYLIFT_REQUEST_ERRORS_H_

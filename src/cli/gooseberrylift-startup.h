// Prepares a process that serves for surroundings that it can't choose.

#ifndef GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_STARTUP_H_
#define GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_STARTUP_H_

namespace gooseberrylift {

/// Holds the signals that a host handles, ignores those without a meaning, and
/// opens /dev/null in place of standard descriptors that are closed, so that no
/// socket gets their numbers. To be called before anything else is opened.
void PrepareToServe();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_CLI_GOOSEBERRYLIFT_STARTUP_H_

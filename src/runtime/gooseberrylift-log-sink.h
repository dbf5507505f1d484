// Writes log lines to a file descriptor without blocking.

#ifndef GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_
#define GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

#include <string>

namespace gooseberrylift {

// Maximum size of a write that a pipe performs atomically. Longer lines are
// dropped, because they could be written in part or block.
constexpr std::size_t kMaxLogLineBytes = 4'096; // PIPE_BUF of Linux

/// Writes a line and a newline, or drops it if the descriptor is not writable.
/// A write to a full pipe would block all requests of the process; with this
/// function a log collector that hangs costs only log lines.
/// @return false if the line was dropped
bool WriteNonBlocking(int aDescriptor, std::string aLine);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

// Where log lines go: one descriptor, without ever waiting for its reader.

#ifndef GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_
#define GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

#include <string>

namespace gooseberrylift {

// The longest line that a pipe takes whole or not at all. Longer ones are left
// out: a part of a line helps nobody, and could wait for its reader.
constexpr std::size_t kLongestLogLine = 4'096; // PIPE_BUF of Linux

/// Writes a line, with its newline, unless its reader is behind. A collector
/// that hangs then costs lines and not requests: a write to a full pipe would
/// hold up every request of the process.
/// @return false when the line was left out
bool WriteNonBlocking(int aDescriptor, std::string aLine);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

// Writes log lines to a file descriptor without blocking.

#ifndef GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_
#define GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

#include <mutex>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace gooseberrylift {

// Maximum size of a write that a pipe performs atomically. Longer lines are
// dropped, because they could be written in part or block.
constexpr std::size_t kMaxLogLineBytes = 4'096; // PIPE_BUF of Linux

// Writes lines to a descriptor that other processes may share, so that its
// flags stay as they are. A write that blocked would block all requests of the
// process; with this class a log collector that hangs or ends costs only log
// lines. Thread-safe. SIGPIPE and SIGXFSZ must be ignored.
class LogSink
{
public:
  /// @param aDescriptor an open file, pipe, terminal or socket
  explicit LogSink(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }

  /// Writes a line and a newline, or drops it if that would block or fails. The
  /// rest of a line that a socket or file takes in part is written before the
  /// next line.
  /// @return false if the line was dropped
  bool Write(std::string aLine);

private:
  // Writes without blocking. @return the number of bytes; -1 on errors
  using Writer = ssize_t (*)(int aDescriptor, std::string_view aText);

  static Writer SelectWriter(int aDescriptor);
  ssize_t Put(std::string_view aText);

  const int descriptor_;
  std::mutex mutex_;
  Writer writer_ = nullptr; // selected by the first line
  std::string rest_;        // of a line that was written in part
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_RUNTIME_GOOSEBERRYLIFT_LOG_SINK_H_

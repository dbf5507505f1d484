#include "gooseberrylift-log-sink.h"

#include <poll.h>
#include <unistd.h>

namespace gooseberrylift {

bool WriteNonBlocking(int aDescriptor, std::string aLine)
{
  aLine += '\n';
  if (aLine.size() > kMaxLogLineBytes) {
    return false;
  }
  // poll() reports a pipe as writable only while it has room for PIPE_BUF
  // bytes, so a line of at most that size is written atomically and without
  // blocking.
  pollfd ready{ .fd = aDescriptor, .events = POLLOUT, .revents = 0 };
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(aDescriptor, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace gooseberrylift

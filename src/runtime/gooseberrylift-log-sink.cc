#include "gooseberrylift-log-sink.h"

#include <poll.h>
#include <unistd.h>

namespace gooseberrylift {

bool WriteNonBlocking(int aDescriptor, std::string aLine)
{
  aLine += '\n';
  if (aLine.size() > kLongestLogLine) {
    return false;
  }
  // A pipe counts as writable while it has room for a line of the longest
  // kind, and takes such a line in one piece.
  pollfd ready{ .fd = aDescriptor, .events = POLLOUT, .revents = 0 };
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(aDescriptor, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace gooseberrylift

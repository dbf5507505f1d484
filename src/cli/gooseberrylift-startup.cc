#include "gooseberrylift-startup.h"

#include <cstring>

#include <fcntl.h>
#include <unistd.h>

#include "gooseberrylift/internal/gooseberrylift-process-signals.h"

namespace gooseberrylift {

namespace {

// Else the first file or socket would get the number, and log lines with it.
void OpenStandardDescriptors()
{
  for (int number = STDIN_FILENO; number <= STDERR_FILENO; ++number) {
    if (::fcntl(number, F_GETFD) < 0) {
      (void)::open("/dev/null", O_RDWR); // gets the lowest free number
    }
  }
}

// Runs before the initializers of all libraries, which may open files and need
// milliseconds in which a signal may come. Changes nothing for other
// subcommands.
void PrepareEarly(int aCount, char** aArguments, char** /*aEnvironment*/)
{
  if (aCount > 1 && std::strcmp(aArguments[1], "serve") == 0) {
    HoldSignals();
    OpenStandardDescriptors();
  }
}

[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kPreinit)(int, char**, char**) = &PrepareEarly;

} // namespace

void PrepareToServe()
{
  HoldSignals();
  IgnoreSignals();
  OpenStandardDescriptors();
}

} // namespace gooseberrylift

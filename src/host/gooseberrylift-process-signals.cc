#include "gooseberrylift/internal/gooseberrylift-process-signals.h"

namespace gooseberrylift {

namespace {

void Ignore(int aSignal)
{
  struct sigaction current
  {};
  if (::sigaction(aSignal, nullptr, &current) != 0 ||
      current.sa_handler != SIG_DFL) {
    return;
  }
  current.sa_handler = SIG_IGN;
  ::sigaction(aSignal, &current, nullptr);
}

} // namespace

void IgnoreSignals()
{
  for (const int signal : kIgnoredSignals) {
    Ignore(signal);
  }
}

} // namespace gooseberrylift

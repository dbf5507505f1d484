#include "gooseberrylift/internal/gooseberrylift-process-signals.h"

namespace gooseberrylift {

namespace {

sigset_t AllSignals()
{
  sigset_t all;
  sigemptyset(&all);
  for (const int signal : kStopSignals) {
    sigaddset(&all, signal);
  }
  for (const int signal : kIgnoredSignals) {
    sigaddset(&all, signal);
  }
  sigaddset(&all, kReloadSignal);
  return all;
}

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

void HoldSignals()
{
  const sigset_t all = AllSignals();
  ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

void ReleaseSignals()
{
  const sigset_t all = AllSignals();
  ::pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
}

void IgnoreSignals()
{
  for (const int signal : kIgnoredSignals) {
    Ignore(signal);
  }
}

void IgnoreReloadSignal()
{
  Ignore(kReloadSignal);
}

} // namespace gooseberrylift

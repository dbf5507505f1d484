// What the signals mean to a process that serves.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_

#include <array>
#include <csignal>

namespace gooseberrylift {

// Have no meaning to a host, but would end or stop it by default. Writes then
// fail with EPIPE or EFBIG where SIGPIPE or SIGXFSZ is ignored.
inline constexpr std::array kIgnoredSignals = {
  SIGPIPE, SIGXFSZ,   SIGXCPU, SIGUSR1, SIGUSR2,   SIGALRM, SIGPROF,
  SIGIO,   SIGVTALRM, SIGPWR,  SIGTTIN, SIGSTKFLT, SIGTTOU,
};

/// Ignores the signals without a meaning, but for those that a library of the
/// process handles.
void IgnoreSignals();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_

// What the signals mean to a process that serves.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_

#include <array>
#include <csignal>

namespace gooseberrylift {

// Start a planned stop.
inline constexpr std::array kStopSignals = { SIGTERM, SIGINT, SIGQUIT };

// Makes the host read its settings again.
inline constexpr int kReloadSignal = SIGHUP;

// Have no meaning to a host, but would end or stop it by default. Writes then
// fail with EPIPE or EFBIG where SIGPIPE or SIGXFSZ is ignored.
inline constexpr std::array kIgnoredSignals = {
  SIGPIPE, SIGXFSZ,   SIGXCPU, SIGUSR1, SIGUSR2,   SIGALRM, SIGPROF,
  SIGIO,   SIGVTALRM, SIGPWR,  SIGTTIN, SIGSTKFLT, SIGTTOU,
};

/// Blocks all signals above in the calling thread and those that it starts
/// later, so that they stay pending. A host holds them until its handlers are
/// installed, and again before these are removed. Async-signal-safe, and usable
/// before the static initializers.
void HoldSignals();

/// Unblocks all signals above in the calling thread, also those that the
/// process inherited as blocked. Pending ones are delivered at once.
void ReleaseSignals();

/// Ignores the signals without a meaning, but for those that a library of the
/// process handles.
void IgnoreSignals();

/// Ignores the reload signal, for a host that doesn't read its settings again.
void IgnoreReloadSignal();

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_PROCESS_SIGNALS_H_

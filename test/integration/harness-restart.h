// Entry hosts that are killed or stopped and started again on the same ports.
// Signal, StopAndStart and OutputOf may be called from several threads.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_

#include "harness-gateway.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gooseberrylift::test {

class RestartableHosts
{
public:
  /// Starts hosts and waits until all of them are ready.
  /// @param aLinked whether they reach the endpoints through links
  RestartableHosts(GatewayDeployment& aDeployment,
                   std::size_t aCount,
                   bool aLinked = false);

  /// Returns the ports that serve callers, one a host.
  std::vector<std::uint16_t> Ports() const;

  Host& At(std::size_t aIndex) { return *slots_.at(aIndex)->host_; }

  /// Sends a signal, such as SIGSTOP, to the present process of a host.
  void Signal(std::size_t aIndex, int aSignal);

  /// Returns the output of all processes of a host so far.
  std::string OutputOf(std::size_t aIndex) const;

  /// Kills all hosts at once and starts them again.
  void KillAll();

  /// Sends SIGTERM to one host after the other and starts it again once its
  /// process has ended.
  void StopInTurn();

  /// Sends SIGTERM to a host and starts it again once its process has ended.
  /// @return false if it has not ended within a limit; it is not started then
  bool StopAndStart(std::size_t aIndex, std::chrono::milliseconds aLimit);

private:
  struct Slot
  {
    json settings_;
    mutable std::mutex mutex_; // guards host_ and earlierOutput_
    std::unique_ptr<Host> host_;
    std::string earlierOutput_; // of the processes that have ended
  };

  static void Start(Slot& aSlot);
  static bool StartIfEnded(Slot& aSlot);

  std::vector<std::unique_ptr<Slot>> slots_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_

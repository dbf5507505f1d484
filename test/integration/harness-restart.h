// Entry hosts that are killed or stopped and started again on the same ports.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_

#include "harness-gateway.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrylift::test {

class RestartableHosts
{
public:
  /// Starts hosts and waits until all of them are ready.
  RestartableHosts(GatewayDeployment& aDeployment, std::size_t aCount);

  /// Returns the ports that serve callers, one a host.
  std::vector<std::uint16_t> Ports() const;

  Host& At(std::size_t aIndex) { return *slots_.at(aIndex).host_; }

  /// Kills all hosts at once and starts them again.
  void KillAll();

  /// Sends SIGTERM to one host after the other and starts it again once its
  /// process has ended.
  void StopInTurn();

private:
  struct Slot
  {
    json settings_;
    std::unique_ptr<Host> host_;
  };

  void Start(Slot& aSlot);

  std::vector<Slot> slots_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_RESTART_H_

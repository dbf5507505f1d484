#include "harness-restart.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

namespace gooseberrylift::test {

using namespace std::chrono_literals;

namespace {

constexpr auto kStopLimit = 10s;

} // namespace

RestartableHosts::RestartableHosts(GatewayDeployment& aDeployment,
                                   std::size_t aCount)
{
  for (std::size_t index = 0; index < aCount; ++index) {
    Slot slot;
    slot.settings_ = aDeployment.HostSettings("host-" + std::to_string(index));
    slot.settings_["drain"]["lag_ms"] = 100;
    Start(slot);
    // The first start has chosen free ports, which the next ones use.
    slot.settings_["caller"]["port"] = slot.host_->Port();
    slot.settings_["admin"]["port"] = slot.host_->AdminPort();
    slots_.push_back(std::move(slot));
  }
  for (Slot& slot : slots_) {
    slot.host_->WaitReady();
  }
}

std::vector<std::uint16_t> RestartableHosts::Ports() const
{
  std::vector<std::uint16_t> ports;
  for (const Slot& slot : slots_) {
    ports.push_back(slot.host_->Port());
  }
  return ports;
}

void RestartableHosts::KillAll()
{
  for (Slot& slot : slots_) {
    slot.host_->Handle().Signal(SIGKILL);
  }
  for (Slot& slot : slots_) {
    slot.host_->Handle().WaitForExit(kStopLimit);
    Start(slot);
  }
}

void RestartableHosts::StopInTurn()
{
  for (Slot& slot : slots_) {
    slot.host_->Handle().Signal(SIGTERM);
    slot.host_->Handle().WaitForExit(kStopLimit);
    Start(slot);
  }
}

void RestartableHosts::Start(Slot& aSlot)
{
  aSlot.host_ = std::make_unique<Host>(aSlot.settings_);
}

} // namespace gooseberrylift::test

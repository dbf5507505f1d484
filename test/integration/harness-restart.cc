#include "harness-restart.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

namespace gooseberrylift::test {

using namespace std::chrono_literals;

namespace {

constexpr auto kStopLimit = 10s;

} // namespace

RestartableHosts::RestartableHosts(GatewayDeployment& aDeployment,
                                   std::size_t aCount,
                                   bool aLinked)
{
  json seeds = json::array();
  for (std::size_t index = 0; index < aCount; ++index) {
    auto slot = std::make_unique<Slot>();
    slot->settings_ =
      aDeployment.HostSettings("host-" + std::to_string(index), aLinked);
    slot->settings_["drain"]["lag_ms"] = 100;
    if (aLinked) {
      slot->settings_["peer"]["seeds"] = seeds;
    }
    Start(*slot);
    // The first start has chosen free ports, which the next ones use.
    slot->settings_["caller"]["port"] = slot->host_->Port();
    slot->settings_["admin"]["port"] = slot->host_->AdminPort();
    seeds.push_back("127.0.0.1:" + std::to_string(slot->host_->AdminPort()));
    slots_.push_back(std::move(slot));
  }
  for (const auto& slot : slots_) {
    slot->host_->WaitReady();
    if (aLinked) {
      slot->settings_["peer"]["seeds"] = seeds;
    }
  }
}

std::vector<std::uint16_t> RestartableHosts::Ports() const
{
  std::vector<std::uint16_t> ports;
  ports.reserve(slots_.size());
  for (const auto& slot : slots_) {
    ports.push_back(slot->host_->Port());
  }
  return ports;
}

void RestartableHosts::Signal(std::size_t aIndex, int aSignal)
{
  Slot& slot = *slots_.at(aIndex);
  const std::lock_guard lock(slot.mutex_);
  slot.host_->Handle().Signal(aSignal);
}

std::string RestartableHosts::OutputOf(std::size_t aIndex) const
{
  const Slot& slot = *slots_.at(aIndex);
  const std::lock_guard lock(slot.mutex_);
  return slot.earlierOutput_ + slot.host_->Handle().Output();
}

void RestartableHosts::KillAll()
{
  for (const auto& slot : slots_) {
    slot->host_->Handle().Signal(SIGKILL);
  }
  for (const auto& slot : slots_) {
    slot->host_->Handle().WaitForExit(kStopLimit);
    Start(*slot);
  }
}

void RestartableHosts::StopInTurn()
{
  for (const auto& slot : slots_) {
    slot->host_->Handle().Signal(SIGTERM);
    slot->host_->Handle().WaitForExit(kStopLimit);
    Start(*slot);
  }
}

bool RestartableHosts::StopAndStart(std::size_t aIndex,
                                    std::chrono::milliseconds aLimit)
{
  Signal(aIndex, SIGTERM);
  return WaitUntil(aLimit, [&] { return StartIfEnded(*slots_.at(aIndex)); });
}

// Holds the lock, so that no signal reaches a process ID that is free again.
bool RestartableHosts::StartIfEnded(Slot& aSlot)
{
  const std::lock_guard lock(aSlot.mutex_);
  if (aSlot.host_->Handle().WaitForExit(0ms) < 0) {
    return false;
  }
  aSlot.earlierOutput_ += aSlot.host_->Handle().Output();
  Start(aSlot);
  return true;
}

void RestartableHosts::Start(Slot& aSlot)
{
  aSlot.host_ = std::make_unique<Host>(aSlot.settings_);
}

} // namespace gooseberrylift::test

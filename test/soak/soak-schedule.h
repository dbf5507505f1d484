// Random schedules of pauses, configuration changes, planned stops and drains.

#ifndef GOOSEBERRYLIFT_TEST_SOAK_SOAK_SCHEDULE_H_
#define GOOSEBERRYLIFT_TEST_SOAK_SOAK_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrylift::test {

enum class SoakTarget
{
  kEngines,
  kLinks,
  kHosts,
  kStore,
  kMachine,       // hosts, engines and links at the same time
  kConfiguration, // the route document changes
  kDrain,         // an engine leaves and returns
  kStop,          // a host gets SIGTERM and is started again
};

struct SoakAction
{
  std::chrono::milliseconds at_{ 0 }; // since the beginning
  SoakTarget target_ = SoakTarget::kEngines;
  std::size_t first_ = 0;
  std::size_t count_ = 1;
  std::chrono::milliseconds length_{ 0 }; // of a pause or drain
};

struct SoakSize
{
  std::size_t hosts_ = 3;
  std::size_t engines_ = 6;
};

/// Returns pauses that follow one another, then pauses that overlap, and
/// changes beside them.
std::vector<SoakAction> MakeSoakSchedule(std::uint64_t aSeed, SoakSize aSize);

/// Returns an action as a line of text.
std::string Describe(const SoakAction& aAction);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_SOAK_SOAK_SCHEDULE_H_

// Prompts with a part that crashes engines, and engines that return after they
// crashed, as new incarnations at the same addresses.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CRASHING_PART_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CRASHING_PART_H_

#include "harness-gateway.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrylift::test {

constexpr const char* kCrashingPart = "bad0";
// Requests with the part that may still reach engines after the hosts had time
// to react.
constexpr int kMaxLateArrivals = 3;

/// Creates a prompt that crashes no engine.
HttpRequest MakeSoundPrompt(const std::string& aAttempt);

/// Creates a prompt that shares its first part with the sound ones.
HttpRequest MakeCrashingPrompt(const std::string& aAttempt);

// Engines that are started again some time after they crashed.
class ReturningEngines
{
public:
  ReturningEngines(GatewayDeployment& aDeployment,
                   std::size_t aCount,
                   json aSettings);
  ~ReturningEngines();
  ReturningEngines(const ReturningEngines&) = delete;
  ReturningEngines& operator=(const ReturningEngines&) = delete;

  void Stop();

  /// Returns when engines crashed, in order, by the steady clock in ms.
  std::vector<std::int64_t> Crashes() const;

private:
  struct Slot
  {
    std::string id_;
    std::unique_ptr<Fake> fake_;
    std::uint16_t port_ = 0;
    std::int64_t crashedAt_ = 0; // 0 while it runs
    bool listed_ = false;
  };

  void Start(Slot& aSlot);
  void Check(Slot& aSlot);
  void Run();

  GatewayDeployment& deployment_;
  json settings_;
  int started_ = 0;
  std::vector<Slot> slots_;
  std::atomic<bool> stop_ = false;
  mutable std::mutex mutex_; // guards the member below
  std::vector<std::int64_t> crashes_;
  std::thread thread_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_CRASHING_PART_H_

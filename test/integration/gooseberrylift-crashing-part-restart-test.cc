// Tests of a prompt part that crashes engines while all hosts have just
// started: no host knows yet which parts of the prompts are sound.

#include "harness-callers.h"
#include "harness-crashing-part.h"
#include "harness-restart.h"

#include <cstdio>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 3;
// The hosts have to serve the sound prompts again within this time.
constexpr std::chrono::milliseconds kRecoveryTime{ 6'000 };

struct Scenario
{
  std::chrono::milliseconds eventInterval_{ 20 };
  std::chrono::milliseconds before_{ 0 }; // of crashing prompts
};

// Starts or restarts all hosts while crashing prompts arrive, and checks that
// the sound prompts are served afterwards.
void CheckServesSoundPrompts(const Scenario& aScenario)
{
  GatewayDeployment deployment({ .hosts_ = 0, .engines_ = 0, .boards_ = 1 });
  ReturningEngines engines(deployment,
                           12,
                           { { "event_ms", aScenario.eventInterval_.count() },
                             { "events", 20 },
                             { "crash_part", kCrashingPart } });
  RestartableHosts hosts(deployment, kHosts);
  Callers crashing(hosts.Ports(), MakeCrashingPrompt, 10ms);
  Callers beside(hosts.Ports(), MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(aScenario.before_);
  if (aScenario.before_ > 0ms) {
    hosts.KillAll();
  }
  std::this_thread::sleep_for(kRecoveryTime);
  beside.Stop();
  const std::size_t crashes = engines.Crashes().size();

  Callers after(hosts.Ports(), MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(3s);
  after.Stop();
  crashing.Stop();
  engines.Stop();
  const std::size_t late = engines.Crashes().size() - crashes;
  std::printf("%zu crashes, then %zu more; sound prompts served: %d of %d "
              "beside, %d of %d after\n",
              crashes,
              late,
              beside.Served(),
              beside.Asked(),
              after.Served(),
              after.Asked());
  LONGS_EQUAL(0, crashing.Served());
  CHECK_TRUE(late <= kMaxLateArrivals);
  CHECK_TRUE(after.Asked() > 0);
  CHECK_TRUE(after.Served() * 4 >= after.Asked() * 3);
}

} // namespace

TEST_GROUP(CrashingPartRestartTest){};

// Guards against hosts that reject all prompts from their start on, for the
// part that all of them share.
TEST(CrashingPartRestartTest, SoundPromptsAreServedAfterAStart)
{
  CheckServesSoundPrompts({});
}

TEST(CrashingPartRestartTest, SoundPromptsAreServedAfterAllHostsLostPower)
{
  CheckServesSoundPrompts({ .before_ = 4s });
}

// Guards against the same while answers take seconds, so that none can clear a
// part in time.
TEST(CrashingPartRestartTest, SlowSoundPromptsAreServedAfterAllHostsLostPower)
{
  CheckServesSoundPrompts({ .eventInterval_ = 75ms, .before_ = 4s });
}

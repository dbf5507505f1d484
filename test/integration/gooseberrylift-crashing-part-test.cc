// Tests of prompts that share a part which crashes each engine that begins to
// write an answer to it. The engines return after some seconds, as new
// incarnations at the same addresses.

#include "harness-callers.h"
#include "harness-crashing-part.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr int kHosts = 3;
// The hosts have to reject the prompts within this time after the fifth crash,
// and to serve the others within twice this time.
constexpr std::chrono::milliseconds kReactionTime{ 3'000 };
constexpr int kCrashesToReact = 5;

struct Scenario
{
  std::string crashAt_ = "nothing"; // what the engine has written by then
  std::size_t engines_ = 10;
  std::chrono::milliseconds pause_{ 300 }; // of each host's crashing callers
};

// Sends crashing prompts beside sound ones until the reaction is complete.
void CheckRejectsTheCrashingPartAlone(const Scenario& aScenario)
{
  GatewayDeployment deployment(
    { .hosts_ = kHosts, .engines_ = 0, .boards_ = 1 });
  ReturningEngines engines(deployment,
                           aScenario.engines_,
                           { { "event_ms", 20 },
                             { "events", 20 },
                             { "crash_part", kCrashingPart },
                             { "crash_at", aScenario.crashAt_ } });
  const auto hosts = HostsOf(deployment, kHosts);
  for (Host* host : hosts) {
    CHECK_TRUE(WaitUntil(10s, [host] {
      const auto answer = Send(host->Port(), MakeSoundPrompt("at-known"));
      return answer && answer.value().status_ == 200;
    }));
  }
  Callers before(hosts, MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(1500ms);
  before.Stop();
  CHECK_EQUAL(before.Asked(), before.Served());

  Callers crashing(hosts, MakeCrashingPrompt, aScenario.pause_);
  Callers beside(hosts, MakeSoundPrompt, 20ms);
  const auto crashed = [&] { return engines.Crashes().size(); };
  WaitUntil(10s, [&] { return crashed() >= kCrashesToReact; });
  std::this_thread::sleep_for(2 * kReactionTime);
  beside.Stop();

  Callers after(hosts, MakeSoundPrompt, 20ms);
  std::this_thread::sleep_for(2s);
  after.Stop();
  crashing.Stop();
  engines.Stop();
  LONGS_EQUAL(0, crashing.Served());

  const auto crashes = engines.Crashes();
  int late = 0;
  if (crashes.size() >= kCrashesToReact) {
    const std::int64_t limit =
      crashes[kCrashesToReact - 1] + kReactionTime.count();
    late = static_cast<int>(
      std::count_if(crashes.begin(), crashes.end(), [limit](std::int64_t aAt) {
        return aAt > limit;
      }));
  }
  std::printf("%zu crashes, %d of them late; sound prompts served: %d of %d "
              "beside, %d of %d after\n",
              crashes.size(),
              late,
              beside.Served(),
              beside.Asked(),
              after.Served(),
              after.Asked());
  CHECK_TRUE(late <= kMaxLateArrivals);
  CHECK_TRUE(after.Served() * 2 >= after.Asked());
  CHECK_TRUE(after.Asked() * 2 >= before.Asked());
}

} // namespace

TEST_GROUP(CrashingPartTest){};

// Guards against a part that crashes engines one after the other.
TEST(CrashingPartTest, IsRejectedIfEnginesCrashBeforeTheyAnswer)
{
  CheckRejectsTheCrashingPartAlone({});
}

TEST(CrashingPartTest, IsRejectedIfEnginesCrashAfterTheHead)
{
  CheckRejectsTheCrashingPartAlone({ .crashAt_ = "head" });
}

TEST(CrashingPartTest, IsRejectedIfEnginesCrashWithinAnEvent)
{
  CheckRejectsTheCrashingPartAlone({ .crashAt_ = "event" });
}

// Guards against hosts that take engines which crashed together for lost links,
// and count none of the crashes.
TEST(CrashingPartTest, IsRejectedThoughMostEnginesAreDown)
{
  CheckRejectsTheCrashingPartAlone({ .engines_ = 14, .pause_ = 20ms });
}

// Tests relayed streams whose host stops after a pause of the engines.

#include "harness-streams.h"

#include "harness-links.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kEngines = 6;
constexpr milliseconds kPause{ 1'300 }; // more than the stall timeout of 1 s
constexpr milliseconds kEventInterval{ 100 };

} // namespace

TEST_GROUP(StopAfterPauseTest){};

// Guards against relayed streams that end by the planned stop of the host that
// holds them because an unneeded replacement has used up their attempts.
TEST(StopAfterPauseTest, MovesRelayedStreamsOfAHostThatStopsAfterAPause)
{
  constexpr int kEvents = 90;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment, 3);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(700));
  PauseEngines(deployment, kEngines, kPause);
  std::this_thread::sleep_for(milliseconds(700));
  deployment.At(1).Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, streams.CountCut());
}

// Tests streams whose stalled attempt is lost, or can't go on at this host.

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
constexpr milliseconds kDeadline{ 20'000 };

} // namespace

TEST_GROUP(StalledAttemptLossTest){};

// Guards against streams that wait until their deadline when their stalled
// engine is lost and each other engine has stalled before.
TEST(StalledAttemptLossTest, ReturnsToAnEngineThatStalledBefore)
{
  constexpr int kEvents = 60;
  GatewayDeployment deployment(
    { .engines_ = 2, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  json document = LongStreamDocument(deployment);
  document["routes"][0]["maxAttempts"] = 4;
  ApplyDocument(deployment, document, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 6,
                        .events_ = kEvents,
                        .deadline_ = kDeadline });
  std::this_thread::sleep_for(milliseconds(700));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1'900));
  deployment.Engine(0).Handle().Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Engine(1).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  deployment.Engine(1).Handle().Signal(SIGKILL);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against streams that wait until their deadline when the links of their
// host fall silent and other hosts reach the engines.
TEST(StalledAttemptLossTest, RelaysStreamsWhenTheLinksOfTheirHostFallSilent)
{
  constexpr int kEvents = 40;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment, 3);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 18,
                        .events_ = kEvents,
                        .deadline_ = kDeadline });
  std::this_thread::sleep_for(milliseconds(700));
  SignalLinks(deployment, SIGSTOP);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against relayed streams that end because the host that holds them was
// silent once and is not asked again.
TEST(StalledAttemptLossTest, RelaysAgainToAHostThatWasSilentOnce)
{
  constexpr int kEvents = 60;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.hosts_ = 2;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment, 2);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents,
                        .deadline_ = kDeadline });
  std::this_thread::sleep_for(milliseconds(700));
  PauseEngines(deployment, kEngines, kPause);
  std::this_thread::sleep_for(milliseconds(700));
  SignalEngines(deployment, kEngines / 2, SIGKILL);
  LONGS_EQUAL(0, streams.CountCut());
}

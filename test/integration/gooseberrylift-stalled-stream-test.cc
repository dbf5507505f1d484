// Tests streams whose engines send nothing for longer than the stall timeout
// and then go on.

#include "harness-streams.h"

#include "harness-callers.h"
#include "harness-links.h"

#include <csignal>
#include <iostream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kEngines = 6;
constexpr milliseconds kPause{ 1'300 }; // more than the stall timeout of 1 s
constexpr milliseconds kEventInterval{ 100 };

void SignalHosts(GatewayDeployment& aDeployment,
                 std::size_t aHosts,
                 int aSignal)
{
  for (std::size_t host = 0; host < aHosts; ++host) {
    aDeployment.At(host).Handle().Signal(aSignal);
  }
}

std::vector<std::uint16_t> PortsOfAll(GatewayDeployment& aDeployment,
                                      std::size_t aHosts)
{
  std::vector<std::uint16_t> ports;
  for (std::size_t host = 0; host < aHosts; ++host) {
    ports.push_back(aDeployment.At(host).Port());
  }
  return ports;
}

// Prints the lines of a host that show why it sent requests again.
void PrintRetries(Host& aHost)
{
  std::istringstream lines(aHost.Handle().Output());
  for (std::string line; std::getline(lines, line);) {
    if (line.find("attempt-") != std::string::npos) {
      std::cout << line << std::endl;
    }
  }
}

void AwaitUnprovenKeys(GatewayDeployment& aDeployment)
{
  CHECK_TRUE(WaitUntil(seconds(10), [&] {
    const json status = aDeployment.At(0).Status();
    return status.is_object() && !status.value("keys_proven", true);
  }));
}

} // namespace

TEST_GROUP(StalledStreamTest){};

// Guards against streams that end because no new attempt is allowed while the
// keys are unproven, although their engines go on.
TEST(StalledStreamTest, CompletesStreamsThatStallWhileTheStoreIsDown)
{
  constexpr int kEvents = 80;
  GatewayDeployment deployment(
    { .hosts_ = 3,
      .engines_ = kEngines,
      .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, 3);
  LongStreams streams(
    { .ports_ = PortsOfAll(deployment, 3), .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(300));
  deployment.Store().Handle().Signal(SIGSTOP);
  AwaitUnprovenKeys(deployment);
  PauseEngines(deployment, kEngines, kPause);
  deployment.Store().Handle().Signal(SIGCONT);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against streams that end because their engine is lost at a moment at
// which the host may not send requests.
TEST(StalledStreamTest, CompletesStreamsWhoseEngineIsLostWhileTheStoreIsDown)
{
  constexpr int kEvents = 80;
  GatewayDeployment deployment(
    { .engines_ = 2, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, 1);
  LongStreams streams(
    { .ports_ = PortsOfAll(deployment, 1), .count_ = 12, .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(300));
  deployment.Store().Handle().Signal(SIGSTOP);
  AwaitUnprovenKeys(deployment);
  deployment.Engine(0).Handle().Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(700));
  deployment.Store().Handle().Signal(SIGCONT);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against streams that end because the endpoint that is to replace their
// stalled one is full.
TEST(StalledStreamTest, CompletesStreamsWhoseReplacementIsRejected)
{
  constexpr int kEvents = 40;
  GatewayDeployment deployment(
    { .engines_ = 2, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, 1);
  LongStreams streams(
    { .ports_ = PortsOfAll(deployment, 1), .count_ = 12, .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(500));
  for (std::size_t engine = 0; engine < 2; ++engine) {
    deployment.Engine(engine).Control(
      { { "fault", "full" }, { "times", 1000 } });
  }
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  deployment.Engine(0).Handle().Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(200));
  deployment.Engine(1).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  deployment.Engine(1).Handle().Signal(SIGCONT);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against relayed streams that end because the host that holds one gives
// its endpoint up, and the host that relayed it may not retry.
TEST(StalledStreamTest, CompletesRelayedStreamsWithoutRetryBudget)
{
  constexpr int kEvents = 40;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  options.gateway_ = { { "retry_allowance", 0 }, { "retry_ratio", 0 } };
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment, 3);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(500));
  PauseEngines(deployment, kEngines, kPause);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against a retry of each stream when all engines stand still at the
// same time, after which their prompts would be read twice.
TEST(StalledStreamTest, RetriesHardlyAnyStreamWhenAllEnginesStandStill)
{
  constexpr int kEvents = 30;
  constexpr int kStreams = 24;
  constexpr std::size_t kHosts = 3;
  GatewayDeployment deployment(
    { .hosts_ = kHosts,
      .engines_ = kEngines,
      .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, kHosts);
  LongStreams streams({ .ports_ = PortsOfAll(deployment, kHosts),
                        .count_ = kStreams,
                        .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(500));
  PauseEngines(deployment, kEngines, kPause);
  LONGS_EQUAL(0, streams.CountCut());
  int arrivals = 0;
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    arrivals +=
      static_cast<int>(deployment.Engine(engine).Stats().at("arrivals").size());
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    PrintRetries(deployment.At(host));
  }
  // Each host may find out by one stream whether an idle engine responds.
  CHECK_TRUE(arrivals <= kStreams + static_cast<int>(kHosts));
}

// Guards against stalls that are the host's own pause, after which all of its
// timers are due.
TEST(StalledStreamTest, KeepsAttemptsWhenItsHostStandsStillAsWell)
{
  constexpr int kEvents = 30;
  constexpr std::size_t kHosts = 3;
  constexpr milliseconds kLaterStart{ 100 };
  GatewayDeployment deployment(
    { .hosts_ = kHosts,
      .engines_ = kEngines,
      .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, kHosts);
  LongStreams streams(
    { .ports_ = PortsOfAll(deployment, kHosts), .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(500));
  SignalHosts(deployment, kHosts, SIGSTOP);
  SignalEngines(deployment, kEngines, SIGSTOP);
  std::this_thread::sleep_for(kPause);
  SignalHosts(deployment, kHosts, SIGCONT);
  std::this_thread::sleep_for(kLaterStart);
  SignalEngines(deployment, kEngines, SIGCONT);
  LONGS_EQUAL(0, streams.CountCut());
  for (std::size_t host = 0; host < kHosts; ++host) {
    const std::string output = deployment.At(host).Handle().Output();
    STRCMP_CONTAINS("\"event\":1006", output.c_str());
    CHECK_TRUE(output.find("\"event\":1306") == std::string::npos);
  }
}

// Guards against streams that wait for an engine that hangs for good.
TEST(StalledStreamTest, MovesStreamsFromAnEngineThatStopsForGood)
{
  constexpr int kEvents = 40;
  constexpr int kStreams = 12;
  GatewayDeployment deployment(
    { .engines_ = 3, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment, 1);
  LongStreams streams({ .ports_ = PortsOfAll(deployment, 1),
                        .count_ = kStreams,
                        .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(500));
  std::size_t busiest = 0;
  for (std::size_t engine = 1; engine < 3; ++engine) {
    if (deployment.Engine(engine).Stats().at("active") >
        deployment.Engine(busiest).Stats().at("active")) {
      busiest = engine;
    }
  }
  deployment.Engine(busiest).Handle().Signal(SIGSTOP);
  LONGS_EQUAL(0, streams.CountCut());
}

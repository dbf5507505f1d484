// Tests how a stalled attempt is replaced, and which of two responses callers
// get.

#include "harness-streams.h"

#include "harness-callers.h"
#include "harness-links.h"

#include <csignal>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kEventInterval{ 100 };

// Sends requests of the route /safe/ at the same time and waits for the
// responses.
class SafeCalls
{
public:
  SafeCalls(std::uint16_t aPort, int aCount)
  {
    for (int call = 0; call < aCount; ++call) {
      threads_.emplace_back([this, aPort, call] {
        const auto response =
          Send(aPort, MakeSafeRequest("call-" + std::to_string(call)));
        succeeded_ += response && response.value().status_ == 200 ? 1 : 0;
      });
    }
  }

  ~SafeCalls() { CountSucceeded(); }
  SafeCalls(const SafeCalls&) = delete;
  SafeCalls& operator=(const SafeCalls&) = delete;

  int CountSucceeded()
  {
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return succeeded_;
  }

private:
  std::atomic<int> succeeded_ = 0;
  std::vector<std::thread> threads_;
};

// Starts further engines. Their streams have the same length.
std::vector<std::unique_ptr<Fake>> AddEngines(GatewayDeployment& aDeployment,
                                              const std::string& aPrefix,
                                              int aCount,
                                              int aEvents)
{
  std::vector<std::unique_ptr<Fake>> engines;
  for (int engine = 0; engine < aCount; ++engine) {
    json settings = LongStreamEngine(aEvents, kEventInterval);
    settings["id"] = aPrefix + std::to_string(engine);
    engines.push_back(std::make_unique<Fake>("fleet-engine", settings));
    aDeployment.List(settings["id"], *engines.back(), "engines");
  }
  return engines;
}

} // namespace

TEST_GROUP(ReplacementTest){};

// Guards against streams that wait for links that hang, since no endpoint
// responds to this host.
TEST(ReplacementTest, RelaysStreamsWhoseLinksHang)
{
  constexpr int kEvents = 40;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment);
  LongStreams streams(
    { .ports_ = { deployment.At(0).Port() }, .events_ = kEvents });
  std::this_thread::sleep_for(milliseconds(700));
  SignalLinks(deployment, SIGSTOP);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against streams that wait behind one whose replacement hangs as well.
TEST(ReplacementTest, MovesStreamsAlthoughTheFirstReplacementHangs)
{
  constexpr int kEvents = 30;
  constexpr int kHanging = 2;
  GatewayDeployment deployment(
    { .engines_ = 1, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents,
                        .deadline_ = seconds(15) });
  std::this_thread::sleep_for(milliseconds(500));
  const auto hanging =
    AddEngines(deployment, "engines-hang-", kHanging, kEvents);
  for (const auto& engine : hanging) {
    engine->Control({ { "fault", "hang" }, { "times", 1000 } });
  }
  const auto sound = AddEngines(deployment, "engines-sound-", 4, kEvents);
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  // One stream finds out that an engine hangs, and has no attempt left then.
  const int cut = streams.CountCut();
  std::cout << cut << " streams cut" << std::endl;
  CHECK_TRUE(cut <= kHanging);
}

// Guards against an error response that is preferred, since it came first, to
// the response that another endpoint is about to send.
TEST(ReplacementTest, PrefersTheReplacementToALateErrorOfTheStalledEndpoint)
{
  constexpr int kCalls = 8;
  GatewayDeployment deployment({ .engine_ = { { "work_ms", 600 } } });
  ApplyLongTimeouts(deployment);
  deployment.Board(0).Control({ { "fault", "status" }, { "times", 1000 } });
  deployment.Board(0).Handle().Signal(SIGSTOP);
  SafeCalls calls(deployment.At(0).Port(), kCalls);
  std::this_thread::sleep_for(milliseconds(600));
  deployment.Board(0).Handle().Signal(SIGCONT);
  LONGS_EQUAL(kCalls, calls.CountSucceeded());
}

// Guards against an error of the replacement that is preferred to the response
// of the endpoint that has stalled.
TEST(ReplacementTest, PrefersTheStalledEndpointToAnErrorOfTheReplacement)
{
  constexpr int kCalls = 8;
  GatewayDeployment deployment({});
  ApplyLongTimeouts(deployment);
  deployment.Board(0).Handle().Signal(SIGSTOP);
  SafeCalls calls(deployment.At(0).Port(), kCalls);
  std::this_thread::sleep_for(milliseconds(400));
  deployment.Board(1).Control({ { "fault", "status" }, { "times", 1000 } });
  std::this_thread::sleep_for(milliseconds(900));
  deployment.Board(0).Handle().Signal(SIGCONT);
  LONGS_EQUAL(kCalls, calls.CountSucceeded());
}

// Guards against streams that wait until their deadline for an engine that
// crashed after it had stalled.
TEST(ReplacementTest, ResumesStreamsWhoseStalledEngineCrashes)
{
  constexpr int kEvents = 40;
  GatewayDeployment deployment(
    { .engines_ = 1, .engine_ = LongStreamEngine(kEvents, kEventInterval) });
  ApplyLongTimeouts(deployment);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 4,
                        .events_ = kEvents,
                        .deadline_ = seconds(15) });
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1'300));
  deployment.Engine(0).Handle().Signal(SIGKILL);
  const auto engines = AddEngines(deployment, "engines-new-", 1, kEvents);
  LONGS_EQUAL(0, streams.CountCut());
}

// Guards against a host that sends a relayed stream to the engine that has
// stalled at the host from which it moved.
TEST(ReplacementTest, MovesRelayedStreamsAwayFromAnEngineThatHangs)
{
  constexpr int kEvents = 40;
  GatewayDeployment::Options options = ThreeHosts(1);
  options.engines_ = 2;
  options.engine_ = LongStreamEngine(kEvents, kEventInterval);
  GatewayDeployment deployment(options);
  ApplyLongTimeouts(deployment);
  CutOff(deployment, 1);
  LongStreams streams({ .ports_ = { deployment.At(0).Port() },
                        .count_ = 12,
                        .events_ = kEvents,
                        .deadline_ = seconds(20) });
  std::this_thread::sleep_for(milliseconds(700));
  deployment.Engine(0).Handle().Signal(SIGSTOP);
  LONGS_EQUAL(0, streams.CountCut());
}

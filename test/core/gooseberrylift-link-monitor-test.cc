#include "gooseberrylift/routing/gooseberrylift-link-monitor.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEndpoints = 20;

} // namespace

TEST_GROUP(LinkMonitorTest)
{
  LinkMonitor monitor_{ LinkMonitor::Options{} };
  TimePoint now_{ 1h };

  bool FailConnection(const std::string& aEndpoint)
  {
    return monitor_.OnFailed(
      "engines", aEndpoint, LinkFailure::kConnection, kEndpoints, now_);
  }

  LinkState Probe(std::size_t aAnswered)
  {
    return monitor_.OnProbed(
      "engines", { .sent_ = 5, .answered_ = aAnswered }, now_);
  }

  void Lose()
  {
    CHECK_FALSE(FailConnection("e1"));
    CHECK_TRUE(FailConnection("e2"));
    CHECK_TRUE(Probe(0) == LinkState::kLost);
  }
};

TEST(LinkMonitorTest, SuspectsNothingOfOneEndpointThatFailsAgainAndAgain)
{
  for (int failure = 0; failure < 100; ++failure) {
    CHECK_FALSE(FailConnection("e1"));
  }
}

TEST(LinkMonitorTest, SuspectsNothingWhileEndpointsSucceedInBetween)
{
  for (int failure = 0; failure < 100; ++failure) {
    CHECK_FALSE(FailConnection("e" + std::to_string(failure)));
    monitor_.OnSucceeded("engines", LinkFailure::kConnection);
  }
}

TEST(LinkMonitorTest, SuspectsRefusedConnectionsThoughOldOnesLiveOn)
{
  CHECK_FALSE(FailConnection("e1"));
  monitor_.OnSucceeded("engines", LinkFailure::kResponse);
  CHECK_TRUE(FailConnection("e2"));
}

TEST(LinkMonitorTest, RefutesASuspicionWhenHalfOfTheProbesAreAnswered)
{
  CHECK_FALSE(FailConnection("e1"));
  CHECK_TRUE(FailConnection("e2"));
  CHECK_TRUE(Probe(3) == LinkState::kUp);
  // A further failure raises no suspicion until some time has passed.
  FailConnection("e1");
  CHECK_FALSE(FailConnection("e2"));
  now_ += LinkMonitor::Options{}.suspicionInterval_;
  CHECK_TRUE(FailConnection("e3"));
}

TEST(LinkMonitorTest, SuspectsTheLinkToTheOnlyEndpointOfAService)
{
  CHECK_TRUE(monitor_.OnFailed("board", "b1", LinkFailure::kResponse, 1, now_));
}

// Guards against taking the endpoints that a request crashes for lost links,
// over which it would reach the next ones.
TEST(LinkMonitorTest, LosesNoLinksToTwoEndpointsThatCrashTogether)
{
  for (const std::size_t endpoints : { 3, 4, 5 }) {
    LinkMonitor monitor{ LinkMonitor::Options{} };
    monitor.OnFailed("board", "b1", LinkFailure::kResponse, endpoints, now_);
    monitor.OnFailed("board", "b2", LinkFailure::kResponse, endpoints, now_);
    const ProbeResult result{ .sent_ = endpoints, .answered_ = endpoints - 2 };
    CHECK_TRUE(monitor.OnProbed("board", result, now_) == LinkState::kUp);
  }
}

// Guards against rejecting requests while an endpoint that was not probed could
// serve them.
TEST(LinkMonitorTest, KnowsThatItIsCutOffOnlyFromProbesOfAllEndpoints)
{
  Lose();
  CHECK_FALSE(monitor_.IsCutOff("engines"));
  monitor_.OnProbed(
    "engines", { .sent_ = 5, .answered_ = 0, .complete_ = true }, now_);
  CHECK_TRUE(monitor_.IsCutOff("engines"));
}

TEST(LinkMonitorTest, RestoresLinksAfterSeveralAnsweredRounds)
{
  Lose();
  CHECK_TRUE(Probe(5) == LinkState::kLost);
  CHECK_TRUE(Probe(2) == LinkState::kLost);
  CHECK_TRUE(Probe(5) == LinkState::kLost);
  CHECK_TRUE(Probe(5) == LinkState::kUp);
}

// Guards against requests that alternate between two ways when links come and
// go.
TEST(LinkMonitorTest, TakesLongerToRestoreLinksThatAreLostAgainSoon)
{
  int rounds = 0;
  for (int loss = 0; loss < 3; ++loss) {
    now_ += LinkMonitor::Options{}.suspicionInterval_;
    Lose();
    rounds = 1;
    while (Probe(5) != LinkState::kUp) {
      ++rounds;
    }
  }
  LONGS_EQUAL(8, rounds);
}

TEST(LinkMonitorTest, KeepsServicesApart)
{
  Lose();
  CHECK_TRUE(monitor_.StateOf("board") == LinkState::kUp);
  CHECK_TRUE(monitor_.Suspect("board"));
  CHECK_FALSE(monitor_.Suspect("board"));
  CHECK_TRUE(monitor_.OnProbed("board", { 3, 3 }, now_) == LinkState::kUp);
  CHECK_TRUE(std::vector<std::string>{ "engines" } == monitor_.Lost());
}

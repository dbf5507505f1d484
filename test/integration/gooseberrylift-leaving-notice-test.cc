// Tests of endpoints that announce in their responses that they are leaving,
// while the store still lists them as ready.

#include "harness-callers.h"

#include <csignal>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

// Sends requests until an endpoint has received one.
// @return whether it received one
bool SendUntilReceived(GatewayDeployment& aDeployment,
                       Fake& aEndpoint,
                       MakeCallerRequest aMake)
{
  for (int number = 0; number < 200; ++number) {
    (void)aDeployment.SendToFirstHost(aMake(AttemptIdOf(0, number)));
    if (!aEndpoint.Stats().at("times_ms").empty()) {
      return true;
    }
  }
  return false;
}

// Sends requests and checks that an endpoint receives none of them.
void CheckReceivesNothing(GatewayDeployment& aDeployment,
                          Fake& aEndpoint,
                          MakeCallerRequest aMake)
{
  const std::size_t before = aEndpoint.Stats().at("times_ms").size();
  for (int number = 0; number < 40; ++number) {
    const auto answer =
      aDeployment.SendToFirstHost(aMake(AttemptIdOf(1, number)));
    LONGS_EQUAL(200, answer.value().status_);
  }
  LONGS_EQUAL(before, aEndpoint.Stats().at("times_ms").size());
}

int CountEvents(const std::string& aBody)
{
  int events = 0;
  for (std::size_t at = aBody.find("id: "); at != std::string::npos;
       at = aBody.find("id: ", at + 1)) {
    ++events;
  }
  return events;
}

} // namespace

TEST_GROUP(LeavingNoticeTest){};

TEST(LeavingNoticeTest, SendsNothingToAnEndpointThatAnswersThatItLeaves)
{
  GatewayDeployment deployment({ .boards_ = 2 });
  Fake& board = deployment.Board(0);
  board.Control({ { "leaving", true } });
  CHECK_TRUE(SendUntilReceived(deployment, board, MakeSafeRequest));
  CheckReceivesNothing(deployment, board, MakeSafeRequest);
}

TEST(LeavingNoticeTest, SendsNothingToAnEngineThatAnswersThatItLeaves)
{
  GatewayDeployment deployment({ .engines_ = 2 });
  Fake& engine = deployment.Engine(0);
  engine.Control({ { "leaving", true } });
  CHECK_TRUE(SendUntilReceived(deployment, engine, MakeShortPrompt));
  CheckReceivesNothing(deployment, engine, MakeShortPrompt);
}

TEST(LeavingNoticeTest, LearnsItFromResponsesOfFailedRequests)
{
  for (const char* fault : { "full", "status", "unsigned", "crossed" }) {
    GatewayDeployment deployment({ .boards_ = 2 });
    Fake& board = deployment.Board(0);
    board.Control(
      { { "leaving", true }, { "fault", fault }, { "times", 1'000 } });
    CHECK_TRUE(SendUntilReceived(deployment, board, MakeSafeRequest));
    CheckReceivesNothing(deployment, board, MakeSafeRequest);
  }
}

// Guards against a stale listing that makes a leaving endpoint usable again.
TEST(LeavingNoticeTest, IgnoresAStoreThatStillListsTheEndpointAsReady)
{
  GatewayDeployment deployment({ .boards_ = 2 });
  Fake& board = deployment.Board(0);
  board.Control({ { "leaving", true } });
  CHECK_TRUE(SendUntilReceived(deployment, board, MakeSafeRequest));
  deployment.Remove(std::string(platform::kEndpointsKind) + "/board-0");
  std::this_thread::sleep_for(1500ms);
  deployment.List("board-0", board, "board");
  std::this_thread::sleep_for(1500ms);
  CheckReceivesNothing(deployment, board, MakeSafeRequest);
}

TEST(LeavingNoticeTest, HoldsWhileTheStoreIsAway)
{
  GatewayDeployment deployment({ .boards_ = 2 });
  Fake& board = deployment.Board(0);
  deployment.Store().Handle().Signal(SIGSTOP);
  board.Control({ { "leaving", true } });
  CHECK_TRUE(SendUntilReceived(deployment, board, MakeSafeRequest));
  CheckReceivesNothing(deployment, board, MakeSafeRequest);
  deployment.Store().Handle().Signal(SIGCONT);
}

// Guards against a prompt that is sent although the response to its memory
// reservation stated that the helper is leaving.
TEST(LeavingNoticeTest, LearnsItFromTheResponseToAMemoryReservation)
{
  GatewayDeployment deployment({ .engines_ = 3 });
  int reserved = 0;
  for (std::size_t engine = 0; engine < 3; ++engine) {
    deployment.Engine(engine).Control({ { "leaving", true } });
  }
  (void)deployment.SendToFirstHost(StreamRequest("at-long", 600'000));
  for (std::size_t engine = 0; engine < 3; ++engine) {
    reserved +=
      deployment.Engine(engine).Stats().at("orders").value("reserve", 0);
  }
  CHECK_TRUE(reserved >= 1);
  LONGS_EQUAL(0, deployment.Count("arrived", "at-long"));
}

TEST(LeavingNoticeTest, CompletesAStreamThatALeavingEngineCuts)
{
  constexpr int kEvents = 10;
  GatewayDeployment deployment(
    { .engines_ = 2, .engine_ = { { "events", kEvents } } });
  Fake& engine = deployment.Engine(0);
  engine.Control(
    { { "leaving", true }, { "fault", "cut" }, { "times", 1'000 } });
  for (int number = 0; engine.Stats().at("times_ms").empty(); ++number) {
    CHECK_TRUE(number < 200);
    const auto stream =
      deployment.SendToFirstHost(MakeShortPrompt(AttemptIdOf(0, number)));
    LONGS_EQUAL(kEvents, CountEvents(stream.value().body_));
  }
  LONGS_EQUAL(1, engine.Stats().at("times_ms").size());
  CheckReceivesNothing(deployment, engine, MakeShortPrompt);
}

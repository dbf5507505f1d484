// Tests an engine that accepts requests and never responds.

#include "harness.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

TEST_GROUP(SilentEngineTest){};

// Guards against callers that wait for their full deadline of 60 s: one engine
// of three hangs but still reports its load, so it looks idle and attracts
// requests. After the time limit for the first token the host must retry at
// another engine, and after two such faults it must exclude the hanging engine
// for a while.
TEST(SilentEngineTest, RespondsInTimeWhenOneEngineHangs)
{
  Deployment deployment({ .engines_ = 3 });
  const std::uint16_t port = deployment.At(0).Port();
  // The host needs samples of the time to first token before it applies a
  // limit.
  for (int index = 0; index < 30; ++index) {
    const auto answer = Send(port, ChatRequest("warm", 2, false));
    LONGS_EQUAL(200, answer.value().status_);
  }
  deployment.Engine(0).Control({ { "hang", true } });
  for (int index = 0; index < 20; ++index) {
    const auto answer = Send(port,
                             ChatRequest("Is room 12 ready?", 2, false),
                             std::chrono::seconds(20));
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(200, answer.value().status_);
  }
  deployment.Engine(0).Control({ { "hang", false } });
}

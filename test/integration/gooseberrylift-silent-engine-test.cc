// An engine that takes requests and never answers, on real processes.

#include "harness.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

TEST_GROUP(SilentEngineTest){};

// One engine of three hangs but still reports its load, so it looks idle and
// draws requests. Each caller placed there would wait for its whole deadline of
// 60 s. The host leaves it after the limit for a first token, goes on at
// another engine, and after two such faults sends it nothing for a while.
TEST(SilentEngineTest, AnswersInTimeBesideAnEngineThatHangs)
{
  Deployment deployment({ .engines_ = 3 });
  const std::uint16_t port = deployment.At(0).Port();
  // The host learns how long a first token takes before it limits it.
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

#include "gooseberrylift/gooseberrylift-attempt-limit.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(AttemptLimitTest)
{
  AttemptLimit limit_{ {} };
  TimePoint now_{ 1000s };

  // Records failures, one each aInterval.
  // @return how many until another attempt is not allowed; at most 100
  int CountFailures(std::uint64_t aTokensBetween,
                    std::chrono::milliseconds aInterval)
  {
    int failures = 0;
    std::uint64_t token = 0;
    while (failures < 100 && limit_.AllowsAttempt(now_)) {
      limit_.OnFailed(token, now_);
      token += aTokensBetween;
      now_ += aInterval;
      ++failures;
    }
    return failures;
  }
};

TEST(AttemptLimitTest, EndsARequestThatFailsEnginesBeforeItsFirstToken)
{
  LONGS_EQUAL(3, CountFailures(0, 100ms));
}

// Guards against a request that crashes one more engine after each resumption.
TEST(AttemptLimitTest, EndsARequestThatFailsEnginesAtOneLaterToken)
{
  limit_.OnFailed(7, now_);
  limit_.OnFailed(9, now_);
  limit_.OnFailed(9, now_);
  CHECK_TRUE(limit_.AllowsAttempt(now_));
  limit_.OnFailed(9, now_);
  CHECK_FALSE(limit_.AllowsAttempt(now_));
}

TEST(AttemptLimitTest, EndsARequestThatFailsManyEnginesAfterATokenEach)
{
  LONGS_EQUAL(10, CountFailures(1, 100ms));
}

TEST(AttemptLimitTest, ContinuesAStreamWhoseEnginesFailFarApart)
{
  LONGS_EQUAL(100, CountFailures(1000, 10s));
}

#include "gooseberrylift/gooseberrylift-drain-policy.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

} // namespace

TEST_GROUP(DrainPolicyTest){};

TEST(DrainPolicyTest, ClosesAfterAResponseUnlessMoreHasArrived)
{
  CHECK_TRUE(KeepsConnection(DrainPhase::kServing, false));
  CHECK_FALSE(KeepsConnection(DrainPhase::kLag, false));
  CHECK_TRUE(KeepsConnection(DrainPhase::kLag, true));
  CHECK_TRUE(KeepsConnection(DrainPhase::kClosing, true));
  CHECK_FALSE(KeepsConnection(DrainPhase::kEnding, true));
}

// The whole stop is limited, so idle connections may not prolong it much.
TEST(DrainPolicyTest, GivesANewConnectionAMomentForItsRequest)
{
  CHECK_FALSE(IdleLimit(DrainPhase::kLag, kStart, {}).has_value());
  const TimePoint limit =
    IdleLimit(DrainPhase::kClosing, kStart, kStart - 1s).value();
  CHECK_TRUE(limit >= kStart + 100ms);
  CHECK_TRUE(limit + LingerTime(DrainPhase::kClosing) <= kStart + 500ms);
  CHECK_TRUE(IdleLimit(DrainPhase::kEnding, kStart, kStart) == kStart);
}

// Guards against requests on kept connections that cross their common close.
TEST(DrainPolicyTest, GivesAConnectionThatWasIdleTheSameMoment)
{
  const TimePoint limit =
    IdleLimit(DrainPhase::kClosing, kStart - 1min, kStart).value();
  CHECK_TRUE(limit >= kStart + 100ms);
}

TEST(DrainPolicyTest, LimitsRequestsThatArriveWhileItCloses)
{
  const TimePoint limit = kStart + 4s;
  CHECK_FALSE(LatestEndOfNewRequest(DrainPhase::kLag, limit).has_value());
  CHECK_TRUE(LatestEndOfNewRequest(DrainPhase::kClosing, limit) == limit);
  CHECK_TRUE(LatestEndOfNewRequest(DrainPhase::kEnding, limit) == limit);
}

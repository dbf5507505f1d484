#include "gooseberrylift/gooseberrylift-event-limit.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(EventLimitTest){};

// Every request of an overload logs its refusal. The first few of a second are
// written; the next second tells how many were not, so no count is lost.
TEST(EventLimitTest, LeavesOutTheRestOfASecondAndTellsHowMany)
{
  EventLimit limit({ .perSecond_ = 3 });
  const TimePoint start{ 100s };
  int written = 0;
  for (int count = 0; count < 10; ++count) {
    written += limit.Pass(start + 50ms * count).has_value() ? 1 : 0;
  }
  LONGS_EQUAL(3, written);
  LONGS_EQUAL(7, limit.Pass(start + 1s).value());
  LONGS_EQUAL(0, limit.Pass(start + 1s).value());
}

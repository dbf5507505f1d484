#include "gooseberrylift/gooseberrylift-event-limit.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(EventLimitTest){};

// Under overload every request logs a rejection. Only the first few per second
// are written; the next second reports how many were suppressed.
TEST(EventLimitTest, SuppressesExcessEventsAndReportsTheirNumber)
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

#include "gooseberrylift/gooseberrylift-event-rate-limiter.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(EventRateLimiterTest){};

// Under overload every request logs a rejection. Only the first few per second
// are written; the next second reports how many were suppressed.
TEST(EventRateLimiterTest, SuppressesExcessEventsAndReportsTheirNumber)
{
  EventRateLimiter limit({ .perSecond_ = 3 });
  const TimePoint start{ 100s };
  int written = 0;
  for (int count = 0; count < 10; ++count) {
    written += limit.Admit(start + 50ms * count).has_value() ? 1 : 0;
  }
  LONGS_EQUAL(3, written);
  LONGS_EQUAL(7, limit.Admit(start + 1s).value());
  LONGS_EQUAL(0, limit.Admit(start + 1s).value());
}

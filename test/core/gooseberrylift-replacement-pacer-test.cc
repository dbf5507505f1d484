#include "gooseberrylift/limits/gooseberrylift-replacement-pacer.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(ReplacementPacerTest)
{
  ReplacementPacer pacer_;
  TimePoint now_{ 1000s };

  // Returns how many of 100 stalled attempts are replaced now.
  int CountReplaced(bool aResponding)
  {
    int replaced = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
      replaced += pacer_.TryReplace(aResponding, now_) ? 1 : 0;
    }
    return replaced;
  }
};

TEST(ReplacementPacerTest, LimitsNothingWhileEndpointsRespond)
{
  LONGS_EQUAL(100, CountReplaced(true));
}

// Guards against a second read of every prompt after a common pause.
TEST(ReplacementPacerTest, SendsOneWhileAllEndpointsAreSilent)
{
  LONGS_EQUAL(0, CountReplaced(false));
  now_ += 100ms;
  LONGS_EQUAL(1, CountReplaced(false));
  now_ += 300ms;
  LONGS_EQUAL(0, CountReplaced(false));
}

// Guards against requests that wait behind one whose replacement is silent too.
TEST(ReplacementPacerTest, SendsMoreIfTheFirstStaysSilent)
{
  CountReplaced(false);
  now_ += 100ms;
  LONGS_EQUAL(1, CountReplaced(false));
  now_ += 400ms;
  LONGS_EQUAL(2, CountReplaced(false));
  now_ += 400ms;
  LONGS_EQUAL(4, CountReplaced(false));
}

TEST(ReplacementPacerTest, StartsAnewAfterEndpointsHaveResponded)
{
  CountReplaced(false);
  now_ += 400ms;
  CountReplaced(false);
  CountReplaced(true);
  CountReplaced(false);
  now_ += 100ms;
  LONGS_EQUAL(1, CountReplaced(false));
}

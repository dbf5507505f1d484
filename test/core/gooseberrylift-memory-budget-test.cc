#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kKiB = 1024;

} // namespace

TEST_GROUP(MemoryBudgetTest)
{
  MemoryBudget budget_{ MemoryBudget::Options{ .bytes_ = 1024 * kKiB } };
  TimePoint now_{ 100s };

  MemoryBudget::HolderId Hold(std::uint64_t aBytes)
  {
    const MemoryBudget::HolderId holder = budget_.Open(now_);
    CHECK_TRUE(budget_.TryHold(holder, aBytes, now_).fits_);
    return holder;
  }

  MemoryBudget::Decision TryHold(std::uint64_t aBytes)
  {
    return budget_.TryHold(budget_.Open(now_), aBytes, now_);
  }
};

TEST(MemoryBudgetTest, RefusesWhatDoesNotFit)
{
  Hold(700 * kKiB);
  CHECK_FALSE(TryHold(100 * kKiB).fits_);
  LONGS_EQUAL(700 * kKiB, budget_.Used());
}

TEST(MemoryBudgetTest, ReturnsTheBytesOfRequestsThatEnd)
{
  budget_.Close(Hold(700 * kKiB));
  LONGS_EQUAL(0, budget_.Used());
  CHECK_TRUE(TryHold(700 * kKiB).fits_);
}

TEST(MemoryBudgetTest, KeepsAPartForSmallRequests)
{
  Hold(768 * kKiB);
  const auto small = Hold(64 * kKiB);
  CHECK_FALSE(budget_.TryHold(small, 65 * kKiB, now_).fits_);
  CHECK_TRUE(budget_.TryHold(small, 32 * kKiB, now_).fits_);
  LONGS_EQUAL(800 * kKiB, budget_.Used());
}

// Guards against clients that stop short and keep others out.
TEST(MemoryBudgetTest, RequestsThatHeldMostForLongestGiveWay)
{
  const auto old = Hold(300 * kKiB);
  now_ += 500ms;
  const auto large = Hold(400 * kKiB);
  now_ += 1s;
  const auto decision = TryHold(100 * kKiB);
  CHECK_TRUE(decision.fits_);
  LONGS_EQUAL(1, decision.givingWay_.size());
  LONGS_EQUAL(old, decision.givingWay_.front());
  CHECK_TRUE(budget_.GaveWay(old));
  CHECK_FALSE(budget_.GaveWay(large));
  CHECK_FALSE(budget_.TryHold(old, 1, now_).fits_);
  CHECK_FALSE(budget_.Keep(old));
  LONGS_EQUAL(500 * kKiB, budget_.Used());
}

// Guards against requests that replace each other as fast as they come.
TEST(MemoryBudgetTest, RequestsThatHaveJustBegunDoNotGiveWay)
{
  Hold(700 * kKiB);
  now_ += 900ms;
  CHECK_FALSE(TryHold(700 * kKiB).fits_);
}

TEST(MemoryBudgetTest, ReceivedRequestsDoNotGiveWay)
{
  CHECK_TRUE(budget_.Keep(Hold(700 * kKiB)));
  now_ += 10s;
  CHECK_FALSE(TryHold(700 * kKiB).fits_);
}

// Guards against giving up requests for one that doesn't fit in any case.
TEST(MemoryBudgetTest, NobodyGivesWayInVain)
{
  budget_.Keep(Hold(500 * kKiB));
  const auto receiving = Hold(200 * kKiB);
  now_ += 2s;
  CHECK_FALSE(TryHold(600 * kKiB).fits_);
  CHECK_FALSE(budget_.GaveWay(receiving));
}

// Guards against refusing a single request within the limits.
TEST(MemoryBudgetTest, TheLargestRequestFitsInASmallBudget)
{
  budget_.SetLargest(2048 * kKiB);
  CHECK_TRUE(TryHold(2048 * kKiB).fits_);
}

TEST(MemoryBudgetTest, TellsThePeakSinceTheLastTime)
{
  budget_.Close(Hold(300 * kKiB));
  Hold(100 * kKiB);
  LONGS_EQUAL(300 * kKiB, budget_.TakePeak());
  LONGS_EQUAL(100 * kKiB, budget_.TakePeak());
}

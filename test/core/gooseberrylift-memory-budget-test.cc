#include "gooseberrylift/limits/gooseberrylift-memory-budget.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kKiB = 1024;

} // namespace

TEST_GROUP(MemoryBudgetTest)
{
  std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(
    MemoryBudget::Options{ .bytes_ = 1024 * kKiB });
  TimePoint now_{ 100s };
  int gaveWay_ = 0;

  std::unique_ptr<MemoryBudget::Share> Hold(std::uint64_t aBytes)
  {
    auto share = budget_->Open(now_, [this] { ++gaveWay_; });
    return share->TryHold(aBytes, now_) ? std::move(share) : nullptr;
  }
};

TEST(MemoryBudgetTest, RefusesWhatDoesNotFit)
{
  const auto first = Hold(700 * kKiB);
  CHECK_TRUE(first != nullptr);
  CHECK_TRUE(Hold(100 * kKiB) == nullptr);
  LONGS_EQUAL(700 * kKiB, budget_->Used());
}

TEST(MemoryBudgetTest, ReturnsTheBytesOfRequestsThatEnd)
{
  Hold(700 * kKiB).reset();
  LONGS_EQUAL(0, budget_->Used());
  CHECK_TRUE(Hold(700 * kKiB) != nullptr);
}

TEST(MemoryBudgetTest, KeepsAPartForSmallRequests)
{
  const auto large = Hold(768 * kKiB);
  const auto small = Hold(64 * kKiB);
  CHECK_TRUE(small != nullptr);
  CHECK_FALSE(small->TryHold(65 * kKiB, now_));
  CHECK_TRUE(small->TryHold(32 * kKiB, now_));
}

// Guards against clients that stop short and keep others out.
TEST(MemoryBudgetTest, RequestsThatHeldMostForLongestGiveWay)
{
  const auto old = Hold(300 * kKiB);
  now_ += 500ms;
  const auto large = Hold(400 * kKiB);
  now_ += 1s;
  const auto next = Hold(100 * kKiB);
  CHECK_TRUE(next != nullptr);
  LONGS_EQUAL(1, gaveWay_);
  CHECK_TRUE(old->GaveWay());
  CHECK_FALSE(large->GaveWay());
  CHECK_FALSE(old->TryHold(1, now_));
  LONGS_EQUAL(500 * kKiB, budget_->Used());
}

TEST(MemoryBudgetTest, OnlyAsManyAsNeededGiveWay)
{
  const auto first = Hold(300 * kKiB);
  const auto second = Hold(300 * kKiB);
  now_ += 2s;
  CHECK_TRUE(Hold(400 * kKiB) != nullptr);
  LONGS_EQUAL(1, gaveWay_);
}

// Guards against requests that replace each other as fast as they come.
TEST(MemoryBudgetTest, RequestsThatHaveJustBegunDoNotGiveWay)
{
  const auto first = Hold(700 * kKiB);
  now_ += 900ms;
  CHECK_TRUE(Hold(700 * kKiB) == nullptr);
  LONGS_EQUAL(0, gaveWay_);
}

TEST(MemoryBudgetTest, ReceivedRequestsDoNotGiveWay)
{
  const auto received = Hold(700 * kKiB);
  received->Keep();
  now_ += 10s;
  CHECK_TRUE(Hold(700 * kKiB) == nullptr);
  LONGS_EQUAL(0, gaveWay_);
}

// Guards against giving up requests for one that doesn't fit in any case.
TEST(MemoryBudgetTest, NobodyGivesWayInVain)
{
  const auto received = Hold(500 * kKiB);
  received->Keep();
  const auto receiving = Hold(200 * kKiB);
  now_ += 2s;
  CHECK_TRUE(Hold(600 * kKiB) == nullptr);
  LONGS_EQUAL(0, gaveWay_);
}

// Guards against refusing a single request within the limits.
TEST(MemoryBudgetTest, TheLargestRequestFitsInASmallBudget)
{
  budget_->SetLargest(2048 * kKiB);
  CHECK_TRUE(Hold(2048 * kKiB) != nullptr);
}

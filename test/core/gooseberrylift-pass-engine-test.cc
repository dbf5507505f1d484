// Tests the simulated engine of pass-bench at its memory and queue limits.

#include "bench/gooseberrylift-pass-engine.h"

#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::bench;

namespace {

constexpr std::int64_t kSecond = 1'000'000;

EngineProfile SmallEngine()
{
  return { .slots_ = 2,
           .memoryTokens_ = 10'000,
           .stepMs_ = 1,
           .prefillTokensPerMs_ = 100,
           .prefillTokensPerStep_ = 1'000,
           .stepsPerPass_ = 10 };
}

} // namespace

TEST_GROUP(PassEngineTest)
{
  VirtualClock clock_;
  int refused_ = 0;
  int events_ = 0;
  std::vector<std::shared_ptr<PassJob>> jobs_;

  std::shared_ptr<PassJob> Job(std::uint64_t aTokens, int aEvents)
  {
    auto job = std::make_shared<PassJob>();
    job->promptTokens_ = aTokens;
    job->memoryTokens_ = aTokens;
    job->prefillMs_ = static_cast<double>(aTokens) / 100;
    job->events_ = aEvents;
    job->onEvent_ = [this] { ++events_; };
    job->onPrefilled_ = [] {};
    job->onRefused_ = [this] { ++refused_; };
    jobs_.push_back(job);
    return job;
  }
};

TEST(PassEngineTest, RejectsRequestsBeyondItsSlotsAndQueue)
{
  PassEngine engine(clock_, SmallEngine(), true);
  for (int request = 0; request < 10; ++request) {
    engine.Add(Job(100, 1'000));
    clock_.RunUntil(clock_.Now() + kSecond / 10);
  }
  LONGS_EQUAL(4, refused_); // two run and four are queued
}

TEST(PassEngineTest, RejectsMoreHelperPartsThanItHasSlots)
{
  PassEngine engine(clock_, SmallEngine(), true);
  for (int part = 0; part < 3; ++part) {
    const auto job = Job(9'000, 0);
    job->isPart_ = true;
    job->memoryTokens_ = 0;
    engine.Add(job);
  }
  LONGS_EQUAL(1, refused_);
}

TEST(PassEngineTest, RejectsPromptsLargerThanItsMemory)
{
  PassEngine engine(clock_, SmallEngine(), true);
  engine.Add(Job(10'001, 1));
  LONGS_EQUAL(1, refused_);
}

TEST(PassEngineTest, QueuesARequestUntilItsPromptFitsIntoMemory)
{
  PassEngine engine(clock_, SmallEngine(), true);
  engine.Add(Job(6'000, 50));
  engine.Add(Job(6'000, 50));
  clock_.RunUntil(kSecond / 10);
  LONGS_EQUAL(50, jobs_[0]->events_ + events_);
  LONGS_EQUAL(50, jobs_[1]->events_);
  clock_.RunUntil(10 * kSecond);
  LONGS_EQUAL(100, events_);
  LONGS_EQUAL(0, engine.Preempted());
}

TEST(PassEngineTest, PreemptsTheNewestRequestWhenMemoryRunsOut)
{
  PassEngine engine(clock_, SmallEngine(), true);
  engine.Add(Job(4'900, 50));
  engine.Add(Job(4'900, 50));
  clock_.RunUntil(20 * kSecond);
  CHECK_TRUE(engine.Preempted() > 0);
  LONGS_EQUAL(100, events_);
}

TEST(PassEngineTest, ReservesNoMoreMemoryThanItHas)
{
  PassEngine engine(clock_, SmallEngine(), true);
  CHECK_TRUE(engine.Reserve(1, 6'000));
  CHECK_FALSE(engine.Reserve(2, 6'000));
  engine.Add(Job(6'000, 1));
  clock_.RunUntil(kSecond);
  LONGS_EQUAL(0, events_);
  engine.Release(1);
  clock_.RunUntil(2 * kSecond);
  LONGS_EQUAL(1, events_);
}

TEST(PassEngineTest, RejectsNothingWhenItIsNotBounded)
{
  PassEngine engine(clock_, SmallEngine(), false);
  for (int request = 0; request < 100; ++request) {
    engine.Add(Job(10'001, 1));
  }
  LONGS_EQUAL(0, refused_);
  CHECK_TRUE(engine.Reserve(1, 1'000'000));
}

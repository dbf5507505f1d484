#include "gooseberrylift/gooseberrylift-scheduler.h"

#include "gooseberrylift/gooseberrylift-concurrency-limit.h"
#include "gooseberrylift/gooseberrylift-retry-budget.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SchedulerTest)
{
  TimePoint now_{ seconds(1000) };
  std::uint64_t id_ = 0;

  static std::vector<EndpointView> Engines(int aCount)
  {
    std::vector<EndpointView> views;
    views.reserve(static_cast<std::size_t>(aCount));
    for (int index = 0; index < aCount; ++index) {
      views.push_back({ .name_ = "engine-" + std::to_string(index),
                        .load_ = { .kvTokensTotal_ = 400'000 } });
    }
    return views;
  }

  RequestInfo Request(std::uint64_t aTokens)
  {
    return { .id_ = ++id_,
             .team_ = "team",
             .service_ = "service",
             .promptTokens_ = aTokens,
             .maxTokens_ = 8,
             .deadline_ = now_ + seconds(60) };
  }
};

TEST(SchedulerTest, RefusesAPromptBeyondEveryEnginesMemoryAsNotRun)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(3), now_);
  scheduler.OnRequest(Request(1'000'000), now_);
  const auto actions = scheduler.TakeActions();
  LONGS_EQUAL(1, actions.size());
  CHECK(actions[0].refusal_.code_ == ResultCode::kPromptTooLarge);
  CHECK(actions[0].refusal_.ran_ == RanState::kNo);
}

TEST(SchedulerTest, PlacesARequestAtAnEndpointThatWasNotTried)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(3), now_);
  for (int turn = 0; turn < 6; ++turn) {
    const std::string left = "engine-" + std::to_string(turn % 3);
    RequestInfo request = Request(1000);
    for (const EndpointView& view : Engines(3)) {
      if (view.name_ != left) {
        request.excluded_.push_back(view.name_);
      }
    }
    scheduler.OnRequest(request, now_);
    const auto actions = scheduler.TakeActions();
    LONGS_EQUAL(1, actions.size());
    STRCMP_EQUAL(left.c_str(), actions[0].endpoint_.c_str());
  }
}

// Half of the engines die under thousands of streams. Their callers already
// have tokens; were each charged to the budget, most would be cut with live
// engines left. A second try of a request that gave nothing is still bounded.
TEST(SchedulerTest, ChargesNoBudgetForAStreamThatGoesOn)
{
  Scheduler scheduler({ .maxConcurrency_ = 1000 });
  scheduler.SetEndpoints(Engines(3), now_);
  const auto refusedOf = [&](bool aFree) {
    int refused = 0;
    for (int index = 0; index < 100; ++index) {
      RequestInfo request = Request(100);
      request.excluded_.push_back("engine-0");
      request.freeRetry_ = aFree;
      scheduler.OnRequest(request, now_);
      for (const SchedulerAction& action : scheduler.TakeActions()) {
        refused +=
          action.refusal_.code_ == ResultCode::kRetryBudgetSpent ? 1 : 0;
      }
    }
    return refused;
  };
  LONGS_EQUAL(0, refusedOf(true));
  CHECK(refusedOf(false) >= 89);
}

// A stream under way waits for a new engine and forgets which it had tried.
// Were it then taken for a first try, each wait would refill the budget, and a
// storm could feed on it.
TEST(SchedulerTest, RefillsNoBudgetForAStreamThatForgotItsEngines)
{
  Scheduler scheduler({ .maxConcurrency_ = 1000 });
  scheduler.SetEndpoints(Engines(3), now_);
  const auto refusedOf = [&](bool aFree, int aCount) {
    int refused = 0;
    for (int index = 0; index < aCount; ++index) {
      RequestInfo request = Request(100);
      if (!aFree) {
        request.excluded_.push_back("engine-0");
      }
      request.freeRetry_ = aFree;
      scheduler.OnRequest(request, now_);
      for (const SchedulerAction& action : scheduler.TakeActions()) {
        refused +=
          action.refusal_.code_ == ResultCode::kRetryBudgetSpent ? 1 : 0;
      }
    }
    return refused;
  };
  CHECK(refusedOf(false, 50) > 0); // the budget is spent
  LONGS_EQUAL(0, refusedOf(true, 100));
  LONGS_EQUAL(5, refusedOf(false, 5));
}

// An operator changes the placement while requests wait. They must neither be
// lost nor started twice.
TEST(SchedulerTest, KeepsWaitingRequestsWhenThePlacementChanges)
{
  Scheduler scheduler({ .maxConcurrency_ = 1 });
  scheduler.SetEndpoints(Engines(1), now_);
  for (int index = 0; index < 4; ++index) {
    scheduler.OnRequest(Request(1000), now_);
  }
  LONGS_EQUAL(1, scheduler.TakeActions().size());
  scheduler.Configure({ .maxConcurrency_ = 8, .placement_ = "round-robin" });
  LONGS_EQUAL(3, scheduler.Waiting());
  scheduler.OnTick(now_ + milliseconds(10));
  LONGS_EQUAL(3, scheduler.TakeActions().size());
  LONGS_EQUAL(4, scheduler.Running());
}

TEST(SchedulerTest, RefusesASecondTryWhenTheBudgetIsSpent)
{
  RetryBudget budget({ .share_ = 0.1, .most_ = 2 });
  CHECK_TRUE(budget.TakeRetry("service"));
  CHECK_TRUE(budget.TakeRetry("service"));
  CHECK_FALSE(budget.TakeRetry("service"));
  for (int index = 0; index < 11; ++index) {
    budget.OnFirstTry("service");
  }
  CHECK_TRUE(budget.TakeRetry("service"));
  CHECK_FALSE(budget.TakeRetry("service"));
}

// A service slows down under many calls at once. With the limit left alone all
// callers wait longer and none gains; it falls until calls are fast again.
TEST(SchedulerTest, LowersTheConcurrencyOfASlowService)
{
  ConcurrencyLimit limit({});
  for (int index = 0; index < 400; ++index) {
    limit.OnFinished(milliseconds(10), false, limit.Limit());
  }
  const int high = limit.Limit();
  CHECK_TRUE(high > 16);
  for (int index = 0; index < 200; ++index) {
    limit.OnFinished(milliseconds(50), false, limit.Limit());
  }
  CHECK_TRUE(limit.Limit() < high - 10);
  for (int index = 0; index < 200; ++index) {
    limit.OnFinished(milliseconds(10), true, 1);
  }
  LONGS_EQUAL(1, limit.Limit());
}

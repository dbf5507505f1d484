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

// Half of the engines fail while serving thousands of streams whose callers
// already have tokens. If each resumed stream were charged to the retry budget,
// most would be cut although live engines remain. Retries of requests that
// returned nothing must still be limited.
TEST(SchedulerTest, ChargesNoBudgetForAStreamThatGoesOn)
{
  Scheduler scheduler({ .maxConcurrency_ = 1000 });
  scheduler.SetEndpoints(Engines(3), now_);
  const auto countBudgetRefusals = [&](bool aFree) {
    int refused = 0;
    for (int index = 0; index < 100; ++index) {
      RequestInfo request = Request(100);
      request.excluded_.push_back("engine-0");
      request.exemptFromRetryBudget_ = aFree;
      scheduler.OnRequest(request, now_);
      for (const SchedulerAction& action : scheduler.TakeActions()) {
        refused +=
          action.refusal_.code_ == ResultCode::kRetryBudgetSpent ? 1 : 0;
      }
    }
    return refused;
  };
  LONGS_EQUAL(0, countBudgetRefusals(true));
  CHECK(countBudgetRefusals(false) >= 89);
}

// A running stream that waits for another engine clears the list of engines it
// tried. If it counted as a first attempt, each wait would refill the retry
// budget and allow a retry storm.
TEST(SchedulerTest, RefillsNoBudgetForAStreamThatForgotItsEngines)
{
  Scheduler scheduler({ .maxConcurrency_ = 1000 });
  scheduler.SetEndpoints(Engines(3), now_);
  const auto countBudgetRefusals = [&](bool aFree, int aCount) {
    int refused = 0;
    for (int index = 0; index < aCount; ++index) {
      RequestInfo request = Request(100);
      if (!aFree) {
        request.excluded_.push_back("engine-0");
      }
      request.exemptFromRetryBudget_ = aFree;
      scheduler.OnRequest(request, now_);
      for (const SchedulerAction& action : scheduler.TakeActions()) {
        refused +=
          action.refusal_.code_ == ResultCode::kRetryBudgetSpent ? 1 : 0;
      }
    }
    return refused;
  };
  CHECK(countBudgetRefusals(false, 50) > 0); // the budget is exhausted
  LONGS_EQUAL(0, countBudgetRefusals(true, 100));
  LONGS_EQUAL(5, countBudgetRefusals(false, 5));
}

// The placement is reconfigured while requests wait. They must be neither lost
// nor started twice.
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

TEST(SchedulerTest, RefusesARetryWhenTheBudgetIsExhausted)
{
  RetryBudget budget({ .tokensPerFirstAttempt_ = 0.1, .capacity_ = 2 });
  CHECK_TRUE(budget.TryTakeRetry("service"));
  CHECK_TRUE(budget.TryTakeRetry("service"));
  CHECK_FALSE(budget.TryTakeRetry("service"));
  for (int index = 0; index < 11; ++index) {
    budget.OnFirstAttempt("service");
  }
  CHECK_TRUE(budget.TryTakeRetry("service"));
  CHECK_FALSE(budget.TryTakeRetry("service"));
}

// A service slows down under many concurrent calls. With a fixed limit all
// callers would wait longer without more throughput, so the limit must fall.
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

// Guards against requests to an endpoint that asked this host to back off.
TEST(SchedulerTest, SendsNothingToAnEndpointThatAskedForABackoff)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(2), now_);
  scheduler.OnRequest(Request(1000), now_);
  const std::string rejecting = scheduler.TakeActions()[0].endpoint_;
  scheduler.OnFinished(id_, { .backoff_ = seconds(3) }, now_);
  for (int turn = 0; turn < 10; ++turn) {
    scheduler.OnRequest(Request(1000), now_);
    CHECK_TRUE(scheduler.TakeActions().at(0).endpoint_ != rejecting);
  }
}

TEST(SchedulerTest, QueuesARequestThatCanStartAfterABackoff)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(1), now_);
  scheduler.OnRequest(Request(1000), now_);
  scheduler.TakeActions();
  scheduler.OnFinished(id_, { .backoff_ = seconds(3) }, now_);
  scheduler.OnRequest(Request(1000), now_);
  scheduler.OnTick(now_ + milliseconds(2999));
  CHECK_TRUE(scheduler.TakeActions().empty());
  scheduler.OnTick(now_ + seconds(3));
  STRCMP_EQUAL("engine-0", scheduler.TakeActions().at(0).endpoint_.c_str());
}

TEST(SchedulerTest, RefusesARequestThatCannotStartBeforeABackoffEnds)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(1), now_);
  scheduler.OnRequest(Request(1000), now_);
  scheduler.TakeActions();
  scheduler.OnFinished(id_, { .backoff_ = seconds(61) }, now_);
  scheduler.OnRequest(Request(1000), now_);
  const auto actions = scheduler.TakeActions();
  CHECK_TRUE(actions.at(0).refusal_.code_ == ResultCode::kEndpointsBackedOff);
  CHECK_TRUE(*actions.at(0).refusal_.retryAfter_ >= seconds(61));
}

TEST(SchedulerTest, UsesARestartedEndpointWhosePredecessorAskedForABackoff)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(1), now_);
  scheduler.OnRequest(Request(1000), now_);
  scheduler.TakeActions();
  scheduler.OnFinished(id_, { .backoff_ = seconds(30) }, now_);
  std::vector<EndpointView> restarted = Engines(1);
  restarted[0].incarnation_ = 2;
  scheduler.SetEndpoints(restarted, now_);
  scheduler.OnRequest(Request(1000), now_);
  STRCMP_EQUAL("engine-0", scheduler.TakeActions().at(0).endpoint_.c_str());
}

// Guards against the end of a stream whose whole generation, though not its
// remainder, takes longer than the time left.
TEST(SchedulerTest, PlacesABegunStreamWhateverItsPredictedDuration)
{
  Scheduler scheduler({});
  scheduler.SetEndpoints(Engines(2), now_);
  RequestInfo request = Request(1000);
  request.maxTokens_ = 100'000;
  scheduler.OnRequest(request, now_);
  CHECK(scheduler.TakeActions().at(0).refusal_.code_ ==
        ResultCode::kDeadlineUnreachable);
  request.id_ = ++id_;
  request.exemptFromRetryBudget_ = true;
  request.placeBy_ = now_ + seconds(1);
  scheduler.OnRequest(request, now_);
  const auto actions = scheduler.TakeActions();
  LONGS_EQUAL(1, actions.size());
  CHECK_FALSE(actions[0].endpoint_.empty());
}

// Guards against a stream that waits longer than asked for, behind a full
// endpoint, or that is refused while one becomes free.
TEST(SchedulerTest, QueuesABegunStreamUntilItsOwnLimit)
{
  Scheduler scheduler({ .maxConcurrency_ = 1 });
  scheduler.SetEndpoints(Engines(1), now_);
  const RequestInfo running = Request(1000);
  scheduler.OnRequest(running, now_);
  (void)scheduler.TakeActions();
  RequestInfo begun = Request(1000);
  begun.exemptFromRetryBudget_ = true;
  begun.placeBy_ = now_ + seconds(1);
  RequestInfo later = begun;
  later.id_ = ++id_;
  later.placeBy_ = now_ + seconds(2);
  scheduler.OnRequest(begun, now_);
  scheduler.OnRequest(later, now_);
  CHECK_TRUE(scheduler.TakeActions().empty());
  scheduler.OnTick(now_ + seconds(1));
  const auto expired = scheduler.TakeActions();
  LONGS_EQUAL(1, expired.size());
  LONGS_EQUAL(begun.id_, expired[0].id_);
  CHECK(expired[0].refusal_.code_ == ResultCode::kQueueFull);
  scheduler.OnFinished(
    running.id_, { .succeeded_ = true }, now_ + milliseconds(1500));
  const auto placed = scheduler.TakeActions();
  LONGS_EQUAL(1, placed.size());
  LONGS_EQUAL(later.id_, placed[0].id_);
  CHECK_FALSE(placed[0].endpoint_.empty());
}

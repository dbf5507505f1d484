#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(FleetRetryBudgetTest){};

TEST(FleetRetryBudgetTest, AllowsEvenShareOfAllowance)
{
  FleetRetryBudget budget(
    { .ratio_ = 0.2, .allowance_ = 100, .safetyFactor_ = 1 });
  int allowed = 0;
  for (int count = 0; count < 100; ++count) {
    allowed += budget.TryRetry("engines", 5, TimePoint(100s)) ? 1 : 0;
  }
  LONGS_EQUAL(20, allowed);
}

TEST(FleetRetryBudgetTest, CountsEachServiceSeparately)
{
  FleetRetryBudget budget({ .ratio_ = 0, .allowance_ = 1, .safetyFactor_ = 1 });
  CHECK_TRUE(budget.TryRetry("a", 1, TimePoint(100s)));
  CHECK_FALSE(budget.TryRetry("a", 1, TimePoint(100s)));
  CHECK_TRUE(budget.TryRetry("b", 1, TimePoint(100s)));
}

// Six hosts without any communication try to retry every request, under bursty
// load. In no window of ten seconds, aligned or not, may the retries exceed a
// fifth of the requests plus the allowance.
TEST(FleetRetryBudgetTest, LimitHoldsOverAllHostsInEveryWindow)
{
  constexpr std::size_t kHosts = 6;
  constexpr auto kWindow = 10s;
  std::mt19937_64 random(7);
  std::vector<FleetRetryBudget> budgets(
    kHosts, FleetRetryBudget(FleetRetryBudget::Options{}));
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  TimePoint now(1000s);
  for (int step = 0; step < 60'000; ++step) {
    const bool burst = (step / 6'000) % 2 == 0;
    now += std::chrono::microseconds(random() % (burst ? 4'000 : 40'000));
    FleetRetryBudget& budget = budgets[random() % kHosts];
    budget.OnRequest("engines", now);
    requests.push_back(now);
    if (budget.TryRetry("engines", kHosts, now)) {
      retries.push_back(now);
    }
    for (auto* times : { &requests, &retries }) {
      while (times->front() <= now - kWindow) {
        times->pop_front();
      }
    }
    CHECK_TRUE(static_cast<double>(retries.size()) <=
               0.2 * static_cast<double>(requests.size()) + 100);
  }
}

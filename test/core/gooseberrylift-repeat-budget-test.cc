#include "gooseberrylift/limits/gooseberrylift-repeat-budget.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(RepeatBudgetTest){};

TEST(RepeatBudgetTest, AllowsItsShareOfTheAllowanceAndNoMore)
{
  RepeatBudget budget({ .ratio_ = 0.2, .allowance_ = 100, .safety_ = 1 });
  int allowed = 0;
  for (int count = 0; count < 100; ++count) {
    allowed += budget.TryRepeat("engines", 5, TimePoint(100s)) ? 1 : 0;
  }
  LONGS_EQUAL(20, allowed);
}

TEST(RepeatBudgetTest, CountsServicesApart)
{
  RepeatBudget budget({ .ratio_ = 0, .allowance_ = 1, .safety_ = 1 });
  CHECK_TRUE(budget.TryRepeat("a", 1, TimePoint(100s)));
  CHECK_FALSE(budget.TryRepeat("a", 1, TimePoint(100s)));
  CHECK_TRUE(budget.TryRepeat("b", 1, TimePoint(100s)));
}

// What the endpoints see: six hosts that all want to repeat every request, in
// bursts and pauses. In no window of ten seconds, wherever it begins, are there
// more repeats than a fifth of the requests and the allowance, though no host
// hears of another.
TEST(RepeatBudgetTest, StaysBelowTheBoundInEveryWindowOverAllHosts)
{
  constexpr std::size_t kHosts = 6;
  constexpr auto kWindow = 10s;
  std::mt19937_64 random(7);
  std::vector<RepeatBudget> budgets(kHosts,
                                    RepeatBudget(RepeatBudget::Options{}));
  std::deque<TimePoint> requests;
  std::deque<TimePoint> repeats;
  TimePoint now(1000s);
  for (int step = 0; step < 60'000; ++step) {
    const bool burst = (step / 6'000) % 2 == 0;
    now += std::chrono::microseconds(random() % (burst ? 4'000 : 40'000));
    RepeatBudget& budget = budgets[random() % kHosts];
    budget.OnRequest("engines", now);
    requests.push_back(now);
    if (budget.TryRepeat("engines", kHosts, now)) {
      repeats.push_back(now);
    }
    for (auto* times : { &requests, &repeats }) {
      while (times->front() <= now - kWindow) {
        times->pop_front();
      }
    }
    CHECK_TRUE(static_cast<double>(repeats.size()) <=
               0.2 * static_cast<double>(requests.size()) + 100);
  }
}

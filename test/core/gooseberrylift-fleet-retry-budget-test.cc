#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr auto kWindow = 10s;

// Reserves and sends a retry.
bool TryRetry(FleetRetryBudget& aBudget,
              const std::string& aService,
              TimePoint aNow)
{
  const bool allowed = aBudget.TryReserve(aService, aNow);
  if (allowed) {
    aBudget.OnSent(aService, aNow);
  }
  return allowed;
}

} // namespace

TEST_GROUP(FleetRetryBudgetTest)
{
  const TimePoint start_{ 1'000s };
};

TEST(FleetRetryBudgetTest, AllowsEvenShareOfAllowance)
{
  FleetRetryBudget budget(
    { .ratio_ = 0.2, .allowance_ = 100, .establishedAllowancePart_ = 1 },
    start_);
  budget.SetHosts(5, start_);
  int allowed = 0;
  for (int count = 0; count < 100; ++count) {
    allowed += TryRetry(budget, "engines", start_ + kWindow) ? 1 : 0;
  }
  LONGS_EQUAL(20, allowed);
}

TEST(FleetRetryBudgetTest, CountsEachServiceSeparately)
{
  FleetRetryBudget budget(
    { .ratio_ = 0, .allowance_ = 1, .establishedAllowancePart_ = 1 }, start_);
  budget.SetHosts(1, start_);
  const TimePoint now = start_ + kWindow;
  CHECK_TRUE(TryRetry(budget, "a", now));
  CHECK_FALSE(TryRetry(budget, "a", now));
  CHECK_TRUE(TryRetry(budget, "b", now));
}

// Guards against a list of hosts that is short for a moment.
TEST(FleetRetryBudgetTest, CountsHostsThatHaveJustLeft)
{
  FleetRetryBudget budget(
    { .ratio_ = 0, .allowance_ = 30, .establishedAllowancePart_ = 1 }, start_);
  budget.SetHosts(6, start_ + 1s);
  budget.SetHosts(1, start_ + 10s);
  budget.SetHosts(1, start_ + 12s);
  DOUBLES_EQUAL(5, budget.StateOf("a", start_ + 12s).limit_, 0.01);
  budget.SetHosts(1, start_ + 22s);
  budget.SetHosts(1, start_ + 33s);
  DOUBLES_EQUAL(30, budget.StateOf("a", start_ + 33s).limit_, 0.01);
}

// Guards against a host that takes the whole allowance since it knows no other.
TEST(FleetRetryBudgetTest, HasNoShareOfTheAllowanceWithoutTheNumberOfHosts)
{
  FleetRetryBudget budget({ .ratio_ = 0, .allowance_ = 100 }, start_);
  CHECK_FALSE(TryRetry(budget, "engines", start_ + kWindow));
}

TEST(FleetRetryBudgetTest, UnsentRetriesReturnToTheBudget)
{
  FleetRetryBudget budget(
    { .ratio_ = 0, .allowance_ = 1, .establishedAllowancePart_ = 1 }, start_);
  budget.SetHosts(1, start_);
  const TimePoint now = start_ + kWindow;
  CHECK_TRUE(budget.TryReserve("a", now));
  CHECK_FALSE(budget.TryReserve("a", now + 60s));
  budget.Release("a");
  CHECK_TRUE(TryRetry(budget, "a", now + 60s));
}

TEST(FleetRetryBudgetTest, StartingHostEarnsRetriesByItsRequests)
{
  FleetRetryBudget budget({ .ratio_ = 0.2, .startingRatioPart_ = 0.25 },
                          start_);
  int allowed = 0;
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest("engines", start_ + 5s);
    allowed += TryRetry(budget, "engines", start_ + 5s) ? 1 : 0;
  }
  LONGS_EQUAL(5, allowed);
}

// Guards against a fleet that has just started and gives up each request that
// one endpoint fails.
TEST(FleetRetryBudgetTest, StartingHostHasSomeRetriesAndEarnsMoreByTime)
{
  FleetRetryBudget budget({ .allowance_ = 100 }, start_);
  budget.SetHosts(2, start_);
  DOUBLES_EQUAL(2.5, budget.StateOf("engines", start_).limit_, 0.01);
  DOUBLES_EQUAL(5, budget.StateOf("engines", start_ + 5s).limit_, 0.01);
  DOUBLES_EQUAL(35, budget.StateOf("engines", start_ + 10s).limit_, 0.01);
}

namespace {

// Hosts without any communication that try to retry requests of failing
// endpoints, as far as their budgets allow.
class RetryingFleet
{
public:
  struct Schedule
  {
    unsigned seed_ = 0;
    std::size_t hosts_ = 6;
    double requestsPerSecond_ = 60;
    double failingShare_ = 1;      // of the time
    TimePoint::duration delay_{};  // up to this time from decision to send
    double killsPerSecond_ = 0;    // of all hosts at once
    double restartsPerSecond_ = 0; // of single hosts
  };

  explicit RetryingFleet(const Schedule& aSchedule)
    : schedule_(aSchedule)
    , random_(aSchedule.seed_)
  {
    for (std::size_t host = 0; host < schedule_.hosts_; ++host) {
      budgets_.push_back(Start());
    }
    now_ += kWindow; // of requests before the first failure
  }

  /// Returns the largest share of the allowed retries in any window.
  double Run(std::chrono::seconds aDuration)
  {
    const TimePoint end = now_ + aDuration;
    while (now_ < end) {
      now_ += std::chrono::microseconds(
        static_cast<std::int64_t>(2e6 / schedule_.requestsPerSecond_ * Draw()));
      Restart();
      Send();
      const std::size_t host = random_() % budgets_.size();
      FleetRetryBudget& budget = budgets_[host];
      budget.OnRequest("engines", now_);
      requests_.push_back(now_);
      if (Fails() && budget.TryReserve("engines", now_)) {
        const auto delay = std::chrono::duration_cast<TimePoint::duration>(
          schedule_.delay_ * Draw());
        waiting_.push_back({ host, now_ + delay });
      }
    }
    return worst_;
  }

  std::size_t Retries() const { return sent_; }

private:
  struct Waiting
  {
    std::size_t host_ = 0;
    TimePoint due_;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  FleetRetryBudget Start()
  {
    FleetRetryBudget budget({ .startingCredit_ = Draw() }, now_);
    budget.SetHosts(schedule_.hosts_, now_);
    return budget;
  }

  bool Fails() const
  {
    const auto second = now_.time_since_epoch() / 1s;
    return static_cast<double>(second % 8) < 8 * schedule_.failingShare_;
  }

  void Restart()
  {
    const double step = 1 / schedule_.requestsPerSecond_;
    if (Draw() < schedule_.killsPerSecond_ * step) {
      for (FleetRetryBudget& budget : budgets_) {
        budget = Start();
      }
      waiting_.clear();
    }
    if (Draw() < schedule_.restartsPerSecond_ * step) {
      const std::size_t host = random_() % budgets_.size();
      budgets_[host] = Start();
      std::erase_if(waiting_,
                    [host](const Waiting& aOne) { return aOne.host_ == host; });
    }
  }

  void Send()
  {
    std::erase_if(waiting_, [this](const Waiting& aRetry) {
      if (aRetry.due_ > now_) {
        return false;
      }
      budgets_[aRetry.host_].OnSent("engines", now_);
      retries_.push_back(now_);
      ++sent_;
      return true;
    });
    while (!retries_.empty() && retries_.front() <= now_ - kWindow) {
      retries_.pop_front();
    }
    while (!requests_.empty() && requests_.front() <= now_ - 2 * kWindow) {
      requests_.pop_front();
    }
    worst_ = std::max(worst_, static_cast<double>(retries_.size()) / Allowed());
  }

  // The requests are those of the window, of the one before it, or of the one
  // half a window before it.
  double Allowed() const
  {
    std::ptrdiff_t most = 0;
    for (const auto shift : { 0s, 5s, 10s }) {
      const TimePoint until = now_ - shift;
      most = std::max(
        most,
        std::count_if(
          requests_.begin(), requests_.end(), [until](TimePoint aTime) {
            return aTime > until - kWindow && aTime <= until;
          }));
    }
    return 0.2 * static_cast<double>(most) + 100;
  }

  Schedule schedule_;
  std::minstd_rand random_;
  TimePoint now_{ 100'000s };
  std::vector<FleetRetryBudget> budgets_;
  std::vector<Waiting> waiting_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
  std::size_t sent_ = 0;
  double worst_ = 0;
};

void CheckLimitHolds(RetryingFleet::Schedule aSchedule)
{
  double worst = 0;
  std::size_t retries = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    aSchedule.seed_ = seed;
    RetryingFleet fleet(aSchedule);
    worst = std::max(worst, fleet.Run(60s));
    retries += fleet.Retries();
  }
  std::printf("%zu hosts, %.0f requests a second: %zu retries, at most %.2f of "
              "what is allowed\n",
              aSchedule.hosts_,
              aSchedule.requestsPerSecond_,
              retries,
              worst);
  CHECK_TRUE(worst <= 1);
  CHECK_TRUE(retries > 0);
}

} // namespace

// Six hosts without any communication try to retry every request, under bursty
// load. In no window of ten seconds, aligned or not, may the retries exceed a
// fifth of the requests plus the allowance.
TEST(FleetRetryBudgetTest, LimitHoldsOverAllHostsInEveryWindow)
{
  constexpr std::size_t kHosts = 6;
  std::mt19937_64 random(7);
  TimePoint now = start_ + kWindow;
  std::vector<FleetRetryBudget> budgets(
    kHosts, FleetRetryBudget(FleetRetryBudget::Options{}, start_));
  for (FleetRetryBudget& budget : budgets) {
    budget.SetHosts(kHosts, start_);
  }
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  for (int step = 0; step < 60'000; ++step) {
    const bool burst = (step / 6'000) % 2 == 0;
    now += std::chrono::microseconds(random() % (burst ? 4'000 : 40'000));
    FleetRetryBudget& budget = budgets[random() % kHosts];
    budget.OnRequest("engines", now);
    requests.push_back(now);
    if (TryRetry(budget, "engines", now)) {
      retries.push_back(now);
    }
    for (auto* times : { &requests, &retries }) {
      while (!times->empty() && times->front() <= now - kWindow) {
        times->pop_front();
      }
    }
    CHECK_TRUE(static_cast<double>(retries.size()) <=
               0.2 * static_cast<double>(requests.size()) + 100);
  }
  CHECK_TRUE(!retries.empty());
}

TEST(FleetRetryBudgetTest, LimitHoldsWhileEndpointsFailInWaves)
{
  for (const double requests : { 20.0, 60.0, 150.0 }) {
    CheckLimitHolds({ .requestsPerSecond_ = requests });
    CheckLimitHolds({ .requestsPerSecond_ = requests, .failingShare_ = 0.3 });
  }
}

// Guards against hosts that return with a full share of the allowance.
TEST(FleetRetryBudgetTest, LimitHoldsThoughHostsRestart)
{
  for (const std::size_t hosts : { 6, 63, 295 }) {
    for (const double kills : { 0.03, 0.1, 0.3 }) {
      CheckLimitHolds(
        { .hosts_ = hosts, .failingShare_ = 0.5, .killsPerSecond_ = kills });
    }
    CheckLimitHolds(
      { .hosts_ = hosts, .failingShare_ = 0.5, .restartsPerSecond_ = 3 });
  }
}

// Guards against retries of several windows that arrive in one, because they
// had to wait.
TEST(FleetRetryBudgetTest, LimitHoldsThoughRetriesWait)
{
  CheckLimitHolds({ .failingShare_ = 0.4, .delay_ = 6s });
  CheckLimitHolds(
    { .failingShare_ = 0.4, .delay_ = 6s, .killsPerSecond_ = 0.1 });
}

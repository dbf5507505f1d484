#include "gooseberrylift/limits/gooseberrylift-endpoint-backoffs.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

const Incarnation kEngine{ .id_ = "engine-1", .startTime_ = StartTime(5ms) };
const Incarnation kRestarted{ .id_ = "engine-1", .startTime_ = StartTime(6ms) };

constexpr milliseconds kMaxDelay{ 200 }; // of a message, in one direction
constexpr milliseconds kDuration{ 60'000 };
// Requests that were sent before the host had the response may still arrive.
constexpr milliseconds kInFlight{ 500 };

// Which of the two checks of a backoff a host makes.
struct Checks
{
  bool atPlacement_ = true;
  bool atSend_ = true;
};

// Simulates hosts that send to one endpoint in virtual time. The endpoint sheds
// load and asks for backoffs of random length, restarts, and sends responses
// twice and out of order. A request is placed up to a second before it is sent.
class BackoffSchedule
{
public:
  BackoffSchedule(std::uint64_t aSeed, Checks aChecks)
    : checks_(aChecks)
    , random_(aSeed)
    , hosts_(static_cast<std::size_t>(Random(1, 5)))
  {
  }

  /// Returns the highest number of requests from one host during a backoff.
  int Run()
  {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      At(milliseconds(Random(0, 100)), [this, host] { OnCaller(host); });
    }
    At(milliseconds(Random(2'000, 20'000)), [this] { Restart(); });
    while (!events_.empty() && now_ < kStart + kDuration) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.run_();
    }
    return maxDuringBackoff_;
  }

  int Arrived() const { return arrived_; }

private:
  static constexpr TimePoint kStart{ 1000s };

  struct Event
  {
    TimePoint at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  // A backoff that the endpoint asked a host for, as seen by the endpoint.
  struct Requested
  {
    TimePoint from_;
    TimePoint until_;
    int arrivals_ = 0;
  };

  struct Host
  {
    EndpointBackoffs backoffs_;
    std::vector<Requested> requested_;
  };

  std::int64_t Random(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(random_);
  }

  bool RandomChance(double aOf)
  {
    return std::uniform_real_distribution<>(0, 1)(random_) < aOf;
  }

  milliseconds RandomDelay()
  {
    return milliseconds(Random(1, kMaxDelay / 1ms));
  }

  void At(milliseconds aDelay, std::function<void()> aRun)
  {
    events_.push(
      { .at_ = now_ + aDelay, .order_ = ++order_, .run_ = std::move(aRun) });
  }

  bool MaySend(std::size_t aHost) const
  {
    return !hosts_[aHost].backoffs_.Remaining(incarnation_, now_);
  }

  void OnCaller(std::size_t aHost)
  {
    At(milliseconds(Random(5, 60)), [this, aHost] { OnCaller(aHost); });
    if (checks_.atPlacement_ && !MaySend(aHost)) {
      return;
    }
    const milliseconds wait(RandomChance(0.2) ? Random(0, 1'000) : 0);
    At(wait, [this, aHost] {
      if (!checks_.atSend_ || MaySend(aHost)) {
        At(RandomDelay(),
           [this, aHost, sentTo = incarnation_] { OnArrival(aHost, sentTo); });
      }
    });
  }

  void OnArrival(std::size_t aHost, const Incarnation& aSentTo)
  {
    ++arrived_;
    Host& host = hosts_[aHost];
    for (Requested& backoff : host.requested_) {
      if (now_ > backoff.from_ + kInFlight && now_ < backoff.until_) {
        maxDuringBackoff_ = std::max(maxDuringBackoff_, ++backoff.arrivals_);
      }
    }
    if (aSentTo != incarnation_ || RandomChance(0.9)) {
      return; // rejected without a backoff, or served
    }
    const milliseconds duration(Random(1, 6'000));
    host.requested_.push_back({ .from_ = now_, .until_ = now_ + duration });
    for (int copies = RandomChance(0.1) ? 2 : 1; copies > 0; --copies) {
      At(RandomDelay(), [this, aHost, aSentTo, duration] {
        hosts_[aHost].backoffs_.OnRequested(aSentTo, duration, now_);
        hosts_[aHost].backoffs_.Sweep(now_);
      });
    }
  }

  // A restarted endpoint has asked for nothing yet.
  void Restart()
  {
    incarnation_.startTime_ += 1s;
    for (Host& host : hosts_) {
      host.requested_.clear();
    }
    At(milliseconds(Random(2'000, 20'000)), [this] { Restart(); });
  }

  Checks checks_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  Incarnation incarnation_ = kEngine;
  TimePoint now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  int arrived_ = 0;
  int maxDuringBackoff_ = 0;
};

// Returns the highest number of requests during a backoff in any schedule.
int MaxDuringBackoff(Checks aChecks)
{
  constexpr std::uint64_t kSeeds = 50;
  int most = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BackoffSchedule schedule(seed, aChecks);
    most = std::max(most, schedule.Run());
    CHECK_TRUE(schedule.Arrived() > 50);
  }
  return most;
}

} // namespace

TEST_GROUP(EndpointBackoffsTest)
{
  EndpointBackoffs backoffs_;
  TimePoint now_{ 1000s };

  long RemainingMs(const Incarnation& aEndpoint, milliseconds aAfter)
  {
    const auto left = backoffs_.Remaining(aEndpoint, now_ + aAfter);
    return left ? static_cast<long>(left->count()) : -1;
  }
};

TEST(EndpointBackoffsTest, EndsByTime)
{
  LONGS_EQUAL(-1, RemainingMs(kEngine, 0ms));
  CHECK_TRUE(backoffs_.OnRequested(kEngine, 3s, now_));
  LONGS_EQUAL(3000, RemainingMs(kEngine, 0ms));
  LONGS_EQUAL(1, RemainingMs(kEngine, 2999ms));
  LONGS_EQUAL(-1, RemainingMs(kEngine, 3000ms));
}

TEST(EndpointBackoffsTest, IsNotShortenedByALaterRequest)
{
  backoffs_.OnRequested(kEngine, 3s, now_);
  CHECK_FALSE(backoffs_.OnRequested(kEngine, 1s, now_ + 100ms));
  LONGS_EQUAL(1000, RemainingMs(kEngine, 2s));
  CHECK_TRUE(backoffs_.OnRequested(kEngine, 3s, now_ + 1s));
  LONGS_EQUAL(2000, RemainingMs(kEngine, 2s));
}

TEST(EndpointBackoffsTest, DoesNotApplyToARestartedEndpoint)
{
  backoffs_.OnRequested(kEngine, 3s, now_);
  LONGS_EQUAL(-1, RemainingMs(kRestarted, 0ms));
}

TEST(EndpointBackoffsTest, RemovesOnlyBackoffsThatHaveEnded)
{
  backoffs_.OnRequested(kEngine, 3s, now_);
  backoffs_.OnRequested(kRestarted, 1s, now_);
  const std::vector<Incarnation> ended = backoffs_.Sweep(now_ + 1s);
  LONGS_EQUAL(1, ended.size());
  CHECK_TRUE(ended.front() == kRestarted);
  LONGS_EQUAL(2000, RemainingMs(kEngine, 1s));
}

TEST(EndpointBackoffsTest, KeepsRandomSchedulesFreeOfRequestsDuringBackoffs)
{
  LONGS_EQUAL(0, MaxDuringBackoff({}));
}

// Shows that the schedules detect a missing check.
TEST(EndpointBackoffsTest, FailsRandomSchedulesWithoutTheCheckAtTheSend)
{
  CHECK_TRUE(MaxDuringBackoff({ .atSend_ = false }) > 2);
}

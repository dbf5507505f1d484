// Measures the overhead of at-most-once calls: store calls per protected call
// at 1, 10 and 100 in flight, with and without group commit, and the latency
// added by writing the intent. Prints the results; docs/ONCE-AND-JOBS.md has
// the results of one run.

#include "once-calls.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

constexpr int kCalls = 400;

struct Load
{
  int inFlight_ = 1;
  int storeDelayMs_ = 2;
};

// Calls share a write if they arrive during the one before it. So with many
// calls in flight, the store has to be slower than the host, also beside the
// load of other processes.
constexpr std::array kLoads = {
  Load{ .inFlight_ = 1 },
  Load{ .inFlight_ = 10 },
  Load{ .inFlight_ = 100, .storeDelayMs_ = 50 },
};

struct Measurement
{
  double storeCallsPerCall_ = 0;
  double medianMs_ = 0;
  int succeeded_ = 0;
};

double MedianOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

double ToMilliseconds(TimePoint::duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

// Runs a job kCalls times with a given number of concurrent runs.
// @return the duration of each run in milliseconds
template<typename Job>
std::vector<double> RunAll(int aInFlight, const Job& aJob)
{
  std::atomic<int> next = 0;
  std::mutex mutex;
  std::vector<double> times;
  std::vector<std::thread> callers;
  callers.reserve(aInFlight);
  for (int caller = 0; caller < aInFlight; ++caller) {
    callers.emplace_back([&] {
      for (int call = next++; call < kCalls; call = next++) {
        const TimePoint begin = TimerService::Now();
        aJob(call);
        const double time = ToMilliseconds(TimerService::Now() - begin);
        const std::lock_guard lock(mutex);
        times.push_back(time);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return times;
}

int StoreCallsOf(const json& aStats)
{
  return aStats.value("read", 0) + aStats.value("write", 0);
}

Measurement Measure(int aMaxBatch, const Load& aLoad)
{
  Deployment deployment(
    { .hosts_ = 1,
      .store_ = { { "writes_per_second", 100'000 },
                  { "reads_per_second", 100'000 },
                  { "delay_ms", aLoad.storeDelayMs_ } },
      .host_ = { { "once", { { "max_batch", aMaxBatch } } } },
      .config_ = json::parse(R"({"pools": [{"name": "llm"},
        {"name": "board", "max_concurrency": 200}]})") });
  std::atomic<int> succeeded = 0;
  const int before = StoreCallsOf(deployment.Store().Stats());
  const auto times = RunAll(aLoad.inFlight_, [&](int aCall) {
    const OnceAnswer answer = CallOnce(
      deployment.At(0).Port(), "k" + std::to_string(aCall), seconds(20));
    succeeded += answer.status_ == 200 ? 1 : 0;
  });
  WaitUntil(seconds(10), [&] {
    const json stats = deployment.Store().Stats();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return deployment.Store().Stats() == stats;
  });
  const int made = StoreCallsOf(deployment.Store().Stats()) - before;
  return { .storeCallsPerCall_ = static_cast<double>(made) / kCalls,
           .medianMs_ = MedianOf(times),
           .succeeded_ = succeeded };
}

} // namespace

TEST_GROUP(OnceFiguresTest){};

TEST(OnceFiguresTest, SharesWritesOfTheStoreBetweenCallsInFlight)
{
  std::vector<Measurement> grouped;
  for (const Load& load : kLoads) {
    const Measurement single = Measure(1, load);
    grouped.push_back(Measure(256, load));
    LONGS_EQUAL(kCalls, single.succeeded_);
    LONGS_EQUAL(kCalls, grouped.back().succeeded_);
    std::cout << "in flight " << load.inFlight_ << ": store calls per call "
              << single.storeCallsPerCall_ << " without group commit, "
              << grouped.back().storeCallsPerCall_ << " with; median "
              << single.medianMs_ << " ms and " << grouped.back().medianMs_
              << " ms" << std::endl;
  }
  CHECK_TRUE(grouped[2].storeCallsPerCall_ < grouped[0].storeCallsPerCall_ / 2);
}

// Once the host has cached the bucket, writing the intent is the only store
// call before the dispatch. The store is slowed down so that its latency
// dominates the measurement.
TEST(OnceFiguresTest, AddsAboutOneCallOfTheStoreToTheLatency)
{
  Deployment deployment({ .hosts_ = 1, .store_ = { { "delay_ms", 40 } } });
  const std::uint16_t port = deployment.At(0).Port();
  const std::uint16_t store = deployment.Store().Port();
  const auto direct = RunAll(4, [&](int) {
    (void)Send(store, MakeRequest("/apis/gooseberrylift.dev/v1/none/none"));
  });
  const auto plain =
    RunAll(4, [&](int) { (void)Send(port, BoardRequest("POST", "/", "x")); });
  const auto keyed = RunAll(4, [&](int aCall) {
    (void)CallOnce(port, "k" + std::to_string(aCall), seconds(20));
  });
  const double added = MedianOf(keyed) - MedianOf(plain);
  std::cout << "store " << MedianOf(direct) << " ms, call without key "
            << MedianOf(plain) << " ms, with key " << MedianOf(keyed)
            << " ms: added " << added << " ms" << std::endl;
  CHECK_TRUE(added > MedianOf(direct) / 2);
  CHECK_TRUE(added < MedianOf(direct) * 3);
}

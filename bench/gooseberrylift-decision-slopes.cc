// Benchmarks the cost of a scheduling decision as a function of the number of
// endpoints, the queue length and the number of teams:
//
//   decision-slopes --benchmark_min_time=0.2

#include <benchmark/benchmark.h>

#include "gooseberrylift/gooseberrylift-scheduler.h"

using namespace gooseberrylift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kDefaultEngines = 25;

// A scheduler with a given number of engines and queued requests.
class LoadedScheduler
{
public:
  LoadedScheduler(std::int64_t aEngines,
                  std::int64_t aWaiting,
                  std::int64_t aTeams)
    : teams_(aTeams)
    , scheduler_({ .maxConcurrency_ = 64 })
  {
    for (std::int64_t index = 0; index < aEngines; ++index) {
      views_.push_back(
        { .name_ = "engine-" + std::to_string(index),
          .load_ = { .at_ = now_, .kvTokensTotal_ = 4'000'000'000 } });
    }
    scheduler_.SetEndpoints(views_, now_);
    // Fills all engine slots first, so that further requests are queued.
    while (scheduler_.Waiting() < static_cast<std::size_t>(aWaiting)) {
      scheduler_.OnRequest(Next(), now_);
      CollectPlaced();
    }
  }

  RequestInfo Next()
  {
    ++id_;
    return { .id_ = id_,
             .team_ = "team-" +
                      std::to_string(static_cast<std::int64_t>(id_) % teams_),
             .service_ = "summaries",
             .promptTokens_ = 8000,
             .maxTokens_ = 16,
             .deadline_ = now_ + seconds(1'000'000) };
  }

  // One request arrives and is placed or queued, and one running request ends.
  void RunCycle()
  {
    now_ += milliseconds(1);
    scheduler_.OnRequest(Next(), now_);
    CollectPlaced();
    if (running_.empty()) {
      return;
    }
    const std::uint64_t id = running_[turn_ % running_.size()];
    running_[turn_++ % running_.size()] = running_.back();
    running_.pop_back();
    scheduler_.OnFirstToken(id, now_);
    scheduler_.OnFinished(id, { .succeeded_ = true }, now_);
    CollectPlaced();
  }

  void Tick()
  {
    now_ += milliseconds(1);
    scheduler_.OnTick(now_);
    CollectPlaced();
  }

  void Refresh() { scheduler_.SetEndpoints(views_, now_); }

private:
  void CollectPlaced()
  {
    for (const SchedulerAction& action : scheduler_.TakeActions()) {
      if (!action.endpoint_.empty()) {
        running_.push_back(action.id_);
      }
    }
  }

  std::int64_t teams_;
  TimePoint now_{ seconds(1000) };
  std::vector<EndpointView> views_;
  Scheduler scheduler_;
  std::vector<std::uint64_t> running_;
  std::uint64_t id_ = 0;
  std::size_t turn_ = 0;
};

void PlaceByEngines(benchmark::State& aState)
{
  LoadedScheduler loaded(aState.range(0), 0, 10);
  for (auto _ : aState) {
    loaded.RunCycle();
  }
}
BENCHMARK(PlaceByEngines)->Arg(25)->Arg(100)->Arg(1000)->Arg(10'000);

void DecideByQueue(benchmark::State& aState)
{
  LoadedScheduler loaded(kDefaultEngines, aState.range(0), 10);
  for (auto _ : aState) {
    loaded.RunCycle();
  }
}
BENCHMARK(DecideByQueue)->Arg(10)->Arg(1000)->Arg(100'000);

void TickByQueue(benchmark::State& aState)
{
  LoadedScheduler loaded(kDefaultEngines, aState.range(0), 10);
  for (auto _ : aState) {
    loaded.Tick();
  }
}
BENCHMARK(TickByQueue)->Arg(10)->Arg(1000)->Arg(100'000);

void DecideByTeams(benchmark::State& aState)
{
  LoadedScheduler loaded(kDefaultEngines, 10'000, aState.range(0));
  for (auto _ : aState) {
    loaded.RunCycle();
  }
}
BENCHMARK(DecideByTeams)->Arg(10)->Arg(400)->Arg(4000);

void RefreshByEngines(benchmark::State& aState)
{
  LoadedScheduler loaded(aState.range(0), 0, 10);
  for (auto _ : aState) {
    loaded.Refresh();
  }
}
BENCHMARK(RefreshByEngines)->Arg(25)->Arg(1000)->Arg(10'000);

} // namespace

BENCHMARK_MAIN();

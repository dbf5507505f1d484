// A fleet on virtual time: callers, deciding hosts that see one another only
// through lagged load reports, and engines with the fake engine's cost formula.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_FLEET_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_FLEET_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fakes/gooseberrylift-fake-batch.h"
#include "gooseberrylift/gooseberrylift-scheduler.h"

namespace gooseberrylift::bench {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One request of a caller.
struct Arrival
{
  TimePoint at_{};
  RequestInfo info_; // deadline_ is set from patience_ when it arrives
  milliseconds patience_{ 60'000 };
  int resends_ = 0; // how often the caller sends again after a failure
  bool crashes_ = false;
};

// What a caller received for one sending.
struct Record
{
  TimePoint sent_{};
  TimePoint answered_{};
  std::string team_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::uint64_t promptTokens_ = 0;
  ResultCode code_ = ResultCode::kOk;
  milliseconds retryAfter_{ 0 };
  microseconds firstToken_{ 0 };
  bool started_ = false;     // it was given to an engine
  bool late_ = false;        // not answered whole within its deadline
  bool refusedLate_ = false; // given up on after it had waited
};

struct FleetOptions
{
  int engines_ = 25;
  int hosts_ = 9;
  microseconds zoneDelay_{ 1500 };
  microseconds callerDelay_{ 3000 };
  milliseconds reportEvery_{ 250 };
  milliseconds reportLag_{ 0 };
  std::uint64_t seed_ = 1;
  bool classPriority_ = true; // engines are told the class, as `serve` does
  int maxAttempts_ = 3;
  fakes::FakeBatch::Options engine_{};
  Scheduler::Options scheduler_{};
};

// Runs arrivals to their end. The same options and arrivals give the same
// records every time:
//
//   Fleet fleet(options);
//   fleet.At(seconds(10), [&] { fleet.Slow(0, 5); });
//   const std::vector<Record> records = fleet.Run(arrivals);
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();

  /// Schedules a change of the fleet.
  void At(microseconds aWhen, std::function<void()> aChange);

  void Slow(int aEngine, double aFactor);
  void Hang(int aEngine);
  void Kill(int aEngine);
  void Revive(int aEngine);

  /// Plays the arrivals until each has its answer.
  std::vector<Record> Run(const std::vector<Arrival>& aArrivals);

  std::uint64_t Dispatches() const { return dispatches_; }
  int EnginesCrashed() const { return crashed_; }
  std::uint64_t Timeouts() const { return timeouts_; }

private:
  struct Engine;
  struct Host;
  struct Flight;
  using FlightPtr = std::shared_ptr<Flight>;

  void Enter(const Arrival& aArrival);
  void Ask(const FlightPtr& aFlight);
  void Act(Host& aHost);
  void Dispatch(const FlightPtr& aFlight, const SchedulerAction& aAction);
  void ArriveAtEngine(const FlightPtr& aFlight, std::uint64_t aAttempt);
  void Step(Engine& aEngine);
  void EndStep(Engine& aEngine, std::uint64_t aEpoch);
  void EndAttempt(const FlightPtr& aFlight, bool aFault);
  void Answer(const FlightPtr& aFlight, ResultCode aCode);
  void Report(Host& aHost);
  void Poll(Host& aHost);
  void SampleLoads();
  void Tick(Host& aHost);
  microseconds Delay(const Host& aHost, const Engine& aEngine) const;

  struct Event
  {
    TimePoint at_;
    std::uint64_t order_;
    std::function<void()> run_;
    bool operator>(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  FleetOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{ seconds(1000) };
  std::uint64_t order_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t dispatches_ = 0;
  int crashed_ = 0;
  std::uint64_t timeouts_ = 0; // attempts given up on by the limit
  std::size_t open_ = 0;       // requests without an answer
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Record> records_;
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_FLEET_H_

// Discrete-event simulation of a fleet: callers, hosts that schedule requests
// and see one another only through delayed load reports, and engines that use
// the fake engine's cost formula.

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

// A request that a caller submits.
struct Arrival
{
  TimePoint at_{};
  RequestInfo info_; // deadline_ is computed from patience_ on arrival
  milliseconds patience_{ 60'000 };
  int resends_ = 0; // retries by the caller after a failure
  bool crashes_ = false;
};

// The outcome of one submission of a request.
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
  bool started_ = false;     // it was dispatched to an engine
  bool late_ = false;        // no complete answer within its deadline
  bool refusedLate_ = false; // rejected after waiting in the queue
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
  bool classPriority_ = true; // passes the class to engines, as `serve` does
  int maxAttempts_ = 3;
  fakes::FakeBatch::Options engine_{};
  Scheduler::Options scheduler_{};
};

// Simulates a list of arrivals until every request is answered. The result is
// deterministic for the same options and arrivals:
//
//   Fleet fleet(options);
//   fleet.At(seconds(10), [&] { fleet.Slow(0, 5); });
//   const std::vector<Record> records = fleet.Run(arrivals);
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);
  ~Fleet();

  /// Schedules a change to the fleet, such as a fault, at a virtual time.
  void At(microseconds aWhen, std::function<void()> aChange);

  void Slow(int aEngine, double aFactor);
  void Hang(int aEngine);
  void Kill(int aEngine);
  void Revive(int aEngine);

  /// Runs the simulation until every arrival is answered.
  std::vector<Record> Run(const std::vector<Arrival>& aArrivals);

  std::uint64_t Dispatches() const { return dispatches_; }
  int EnginesCrashed() const { return crashed_; }
  std::uint64_t Timeouts() const { return timeouts_; }

private:
  struct Engine;
  struct Host;
  struct Flight;
  using FlightPtr = std::shared_ptr<Flight>;

  void StartRequest(const Arrival& aArrival);
  void Submit(const FlightPtr& aFlight);
  void ExecuteActions(Host& aHost);
  void Dispatch(const FlightPtr& aFlight, const SchedulerAction& aAction);
  void ArriveAtEngine(const FlightPtr& aFlight, std::uint64_t aAttempt);
  void Step(Engine& aEngine);
  void EndStep(Engine& aEngine, std::uint64_t aEpoch);
  void EndAttempt(const FlightPtr& aFlight, bool aFault);
  void Answer(const FlightPtr& aFlight, ResultCode aCode);
  void UpdateEndpoints(Host& aHost);
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
  std::uint64_t timeouts_ = 0; // attempts ended by the timeout
  std::size_t open_ = 0;       // requests not yet answered
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Record> records_;
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_BENCH_FLEET_H_

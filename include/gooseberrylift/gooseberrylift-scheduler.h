// Decides, for one pool, which endpoint a request is sent to, and which
// requests wait or are refused. It combines the cost model, admission control,
// request queue, lanes, placement, retry budget and endpoint health, each in
// its own header. The configured placement selects either these or a baseline,
// which runs through the same code: first come, first served, without refusals
// before the deadline.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-admission-controller.h"
#include "gooseberrylift/gooseberrylift-cost-model.h"
#include "gooseberrylift/gooseberrylift-endpoint-slot.h"
#include "gooseberrylift/gooseberrylift-lane-split.h"
#include "gooseberrylift/gooseberrylift-placement-strategy.h"
#include "gooseberrylift/gooseberrylift-request-queue.h"
#include "gooseberrylift/gooseberrylift-retry-budget.h"
#include "gooseberrylift/gooseberrylift-scheduler-types.h"

namespace gooseberrylift {

// One instance serves one pool. It is driven by timestamped events, so that
// tests can replay a load without a clock or a network:
//
//   Scheduler scheduler({ .maxConcurrency_ = 8 });
//   scheduler.SetEndpoints(views, now);
//   scheduler.OnRequest(info, now);
//   for (const SchedulerAction& action : scheduler.TakeActions()) ...
//   scheduler.OnFinished(info.id_, outcome, now);
//
// Not thread-safe: the runtime holds the shard's lock around each call. Queue
// operations take logarithmic time in the number of waiting requests.
class Scheduler
{
public:
  struct Options
  {
    int maxConcurrency_ = 32;               // outstanding requests per endpoint
    std::string placement_ = "least-work";  // one of PlacementKinds
    std::string zone_;                      // of this host
    std::map<std::string, double> weights_; // per team; 1 if missing
    std::uint64_t seed_ = 1;

    bool operator==(const Options&) const = default;
  };

  explicit Scheduler(Options aOptions);

  /// Replaces the endpoints of the pool by the current view of this host.
  /// @param aViews all known endpoints, including those that are leaving
  /// @param aNow the current time
  void SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow);

  /// Applies changed options. Waiting requests are requeued in the new order.
  void Configure(Options aOptions);

  /// Sets the number of hosts that share the pool, including this one.
  void SetHostCount(std::size_t aHosts) { hostCount_ = aHosts; }

  /// Submits a request. TakeActions returns the decision, now or later.
  void OnRequest(const RequestInfo& aInfo, TimePoint aNow);

  /// Removes a waiting request whose caller disconnected.
  void OnCancelled(std::uint64_t aId, TimePoint aNow);

  /// Records the first token of a running request.
  void OnFirstToken(std::uint64_t aId, TimePoint aNow);

  /// Records the outcome of a running request and releases its place.
  void OnFinished(std::uint64_t aId,
                  const RequestOutcome& aOutcome,
                  TimePoint aNow);

  /// Refuses waiting requests that can no longer meet their deadline. Must be
  /// called periodically.
  void OnTick(TimePoint aNow);

  /// Returns the decisions made since the last call, in order.
  std::vector<SchedulerAction> TakeActions();

  std::size_t Waiting() const;
  std::size_t Running() const { return running_.size(); }

private:
  // Requests in one range of prompt lengths, which wait for the same engines.
  struct Lane
  {
    std::unique_ptr<RequestQueue> queue_;
    std::vector<AdmissionController> admission_; // by class

    AdmissionController& AdmissionFor(ServiceClass aClass)
    {
      return admission_[static_cast<std::size_t>(aClass)];
    }
  };

  // A request that was sent to an endpoint.
  struct RunningRequest
  {
    RequestInfo info_;
    std::string endpoint_;
    std::chrono::microseconds cost_{ 0 };
    std::chrono::microseconds predicted_{ 0 }; // cost_ plus the wait before it
    TimePoint sent_;
    TimePoint firstToken_{}; // the epoch until it arrives
    bool noBacklog_ = false; // only then does its time fit the cost model
  };

  bool IsAdaptive() const { return placementKind_->adaptive_; }
  bool IsLong(const RequestInfo& aInfo) const;
  Lane& LaneOf(const RequestInfo& aInfo);
  std::chrono::microseconds PredictWait(const RequestInfo& aInfo);
  bool Admit(const WaitingRequest& aRequest, TimePoint aNow);
  void Dequeue(Lane& aLane, std::uint64_t aId, bool aServed, TimePoint aNow);
  ResultCode ExpiryCode(const RequestInfo& aInfo) const;
  bool FitsMemory(const RequestInfo& aInfo) const;
  bool HasCandidate(const RequestInfo& aInfo) const;
  bool HasPreferredCandidate(const RequestInfo& aInfo, TimePoint aNow) const;
  std::chrono::microseconds ShortestBackoff(const RequestInfo& aInfo,
                                            TimePoint aNow) const;
  bool IsEligible(const EndpointSlot& aSlot,
                  const RequestInfo& aInfo,
                  bool aAllowEjected,
                  TimePoint aNow) const;
  void DispatchAll(TimePoint aNow);
  void DispatchLane(Lane& aLane, TimePoint aNow);
  void Start(const WaitingRequest& aRequest,
             EndpointSlot& aSlot,
             TimePoint aNow);
  std::chrono::microseconds FirstTokenLimit(const RunningRequest& aRun,
                                            TimePoint aNow) const;
  void RecordFirstToken(const RunningRequest& aRun,
                        EndpointSlot& aSlot,
                        TimePoint aNow);
  void RecordTimeout(const RunningRequest& aRun, TimePoint aNow);
  void RecordServiceCall(const RunningRequest& aRun,
                         EndpointSlot& aSlot,
                         const RequestOutcome& aOutcome,
                         TimePoint aNow);
  std::chrono::microseconds CostOf(const RequestInfo& aInfo) const;
  void RebuildLiveEndpoints();
  void RefreshEjectionsAndLanes(TimePoint aNow);
  void Refuse(std::uint64_t aId,
              ResultCode aCode,
              std::string aText,
              std::chrono::milliseconds aRetryAfter);

  Options options_;
  const PlacementKind* placementKind_;
  std::unique_ptr<PlacementStrategy> placement_;
  CostModel cost_;
  PoolLatencyRatio poolRatio_;
  LaneSplit laneSplit_;
  RetryBudget retryBudget_;
  std::array<Lane, 2> requestLanes_; // short, long; baselines use the first
  std::map<std::string, std::unique_ptr<EndpointSlot>> slots_;
  std::vector<EndpointSlot*> liveEndpoints_; // in the same order on all hosts
  std::map<std::uint64_t, RunningRequest> running_;
  std::vector<SchedulerAction> actions_;
  std::size_t hostCount_ = 1;
  std::uint64_t largestKvCapacity_ = 0; // tokens; 0 while unknown
  int firstTokensSeen_ = 0;
  double serviceCallUs_ = 10'000; // moving average, plain services
  TimePoint lastRefresh_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_

// Decides, for one pool, which endpoint a request goes to, who waits and who
// is refused. It joins the small decisions, each in its own header: cost model,
// admission, queue, lanes, placement, retry budget and endpoint health. The
// placement's name chooses between them and the baselines, which run through
// the same code: first come first served, without refusals before the
// deadline.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-admission.h"
#include "gooseberrylift/gooseberrylift-cost-model.h"
#include "gooseberrylift/gooseberrylift-endpoint-slot.h"
#include "gooseberrylift/gooseberrylift-lane-split.h"
#include "gooseberrylift/gooseberrylift-placement-strategy.h"
#include "gooseberrylift/gooseberrylift-request-queue.h"
#include "gooseberrylift/gooseberrylift-retry-budget.h"
#include "gooseberrylift/gooseberrylift-scheduler-types.h"

namespace gooseberrylift {

// One instance serves one pool and is driven by events that carry the time,
// so that a test replays a load without clock or network:
//
//   Scheduler scheduler({ .maxConcurrency_ = 8 });
//   scheduler.SetEndpoints(views, now);
//   scheduler.OnRequest(info, now);
//   for (const SchedulerAction& action : scheduler.TakeActions()) ...
//   scheduler.OnFinished(info.id_, outcome, now);
//
// It is not thread-safe: the runtime holds the shard's lock around each call.
// No call's cost grows with the number of waiting requests by more than its
// logarithm.
class Scheduler
{
public:
  struct Options
  {
    int maxConcurrency_ = 32;               // requests outstanding per endpoint
    std::string placement_ = "least-work";  // one of PlacementKinds
    std::string zone_;                      // of this host
    std::map<std::string, double> weights_; // of teams; 1 when missing
    std::uint64_t seed_ = 1;

    bool operator==(const Options&) const = default;
  };

  explicit Scheduler(Options aOptions);

  /// Takes in the endpoints of the pool as this host sees them now.
  /// @param aViews every endpoint that is not gone, leaving ones included
  /// @param aNow the current time
  void SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow);

  /// Takes in changed options; waiting requests keep their places by the new
  /// order.
  void Configure(Options aOptions);

  /// Takes in how many hosts share the pool, this one included.
  void SetHosts(std::size_t aHosts) { hosts_ = aHosts; }

  /// Asks for an endpoint. The answer comes with a later TakeActions.
  void OnRequest(const RequestInfo& aInfo, TimePoint aNow);

  /// Withdraws a waiting request, because its caller left.
  void OnCancelled(std::uint64_t aId, TimePoint aNow);

  /// Tells that the first token of a started request reached the caller.
  void OnFirstToken(std::uint64_t aId, TimePoint aNow);

  /// Tells what came of a started request and frees its place.
  void OnFinished(std::uint64_t aId,
                  const RequestOutcome& aOutcome,
                  TimePoint aNow);

  /// Refuses waiting requests that can't meet their deadline any more; called
  /// periodically.
  void OnTick(TimePoint aNow);

  /// Gives the decisions taken since the last call, in order.
  std::vector<SchedulerAction> TakeActions();

  std::size_t Waiting() const;
  std::size_t Running() const { return running_.size(); }

private:
  // The requests of one range of lengths, which wait for the same engines.
  struct Lane
  {
    std::unique_ptr<RequestQueue> queue_;
    std::vector<Admission> admission_; // by class

    Admission& Of(ServiceClass aClass)
    {
      return admission_[static_cast<std::size_t>(aClass)];
    }
  };

  // A request at an endpoint.
  struct Run
  {
    RequestInfo info_;
    std::string endpoint_;
    std::chrono::microseconds cost_{ 0 };
    std::chrono::microseconds predicted_{ 0 }; // cost and the wait before it
    TimePoint sent_;
    TimePoint firstToken_{}; // the epoch while it has not come
    bool alone_ = false;     // nothing stood before it, so its time teaches
  };

  bool Fair() const { return kind_->fair_; }
  bool IsLong(const RequestInfo& aInfo) const;
  Lane& LaneOf(const RequestInfo& aInfo);
  std::chrono::microseconds PredictWait(const RequestInfo& aInfo);
  bool Admit(const WaitingRequest& aRequest, TimePoint aNow);
  void Unqueue(Lane& aLane, std::uint64_t aId, bool aServed, TimePoint aNow);
  bool FitsMemory(const RequestInfo& aInfo) const;
  bool HasCandidate(const RequestInfo& aInfo, bool aEjected) const;
  bool IsEligible(const EndpointSlot& aSlot,
                  const RequestInfo& aInfo,
                  bool aEjected,
                  TimePoint aNow) const;
  void Pump(TimePoint aNow);
  void PumpLane(Lane& aLane, TimePoint aNow);
  void Start(const WaitingRequest& aRequest,
             EndpointSlot& aSlot,
             TimePoint aNow);
  std::chrono::microseconds FirstTokenLimit(const Run& aRun,
                                            TimePoint aNow) const;
  void Learn(const Run& aRun, EndpointSlot& aSlot, TimePoint aNow);
  void LearnTimeout(const Run& aRun, TimePoint aNow);
  void LearnCall(const Run& aRun,
                 EndpointSlot& aSlot,
                 const RequestOutcome& aOutcome,
                 TimePoint aNow);
  std::chrono::microseconds CostOf(const RequestInfo& aInfo) const;
  void RefreshLive();
  void RefreshEjections(TimePoint aNow);
  void Refuse(std::uint64_t aId,
              ResultCode aCode,
              std::string aText,
              std::chrono::milliseconds aRetryAfter);

  Options options_;
  const PlacementKind* kind_;
  std::unique_ptr<PlacementStrategy> placement_;
  CostModel cost_;
  PoolPace pace_;
  LaneSplit lanes_;
  RetryBudget retries_;
  std::array<Lane, 2> queues_; // short and long; baselines use the first
  std::map<std::string, std::unique_ptr<EndpointSlot>> slots_;
  std::vector<EndpointSlot*> live_; // in an order that all hosts share
  std::map<std::uint64_t, Run> running_;
  std::vector<SchedulerAction> actions_;
  std::size_t hosts_ = 1;
  std::uint64_t largestMemory_ = 0; // tokens; 0 while unknown
  int learnt_ = 0;                  // first tokens seen
  double callUs_ = 10'000;          // usual time of a plain service's call
  TimePoint refreshed_{};
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_

#include "gooseberrylift/gooseberrylift-scheduler.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Interval at which ejections and lanes are updated without a load report.
constexpr milliseconds kRefreshInterval{ 250 };

constexpr std::array kClasses = { ServiceClass::kUrgent,
                                  ServiceClass::kNormal,
                                  ServiceClass::kBatch };

bool IsExcluded(const RequestInfo& aInfo, const std::string& aEndpoint)
{
  return std::find(aInfo.excluded_.begin(), aInfo.excluded_.end(), aEndpoint) !=
         aInfo.excluded_.end();
}

microseconds Elapsed(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

const PlacementKind* PlacementKindOf(const std::string& aName)
{
  const PlacementKind* kind = FindPlacement(aName);
  return kind == nullptr ? FindPlacement("least-work") : kind;
}

} // namespace

Scheduler::Scheduler(Options aOptions)
  : options_(std::move(aOptions))
  , placementKind_(PlacementKindOf(options_.placement_))
  , placement_(
      MakePlacement(placementKind_->name_, options_.zone_, options_.seed_))
  , cost_(CostModel::Options{})
  , laneSplit_(LaneSplit::Options{})
  , retryBudget_(RetryBudget::Options{})
{
  for (Lane& lane : requestLanes_) {
    lane.queue_ = IsAdaptive()
                    ? MakeFairQueue({ .weights_ = options_.weights_ })
                    : MakeFifoQueue();
    lane.admission_.assign(std::size(kClasses),
                           AdmissionController({ .seed_ = options_.seed_ }));
  }
}

void Scheduler::SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow)
{
  std::map<std::string, std::unique_ptr<EndpointSlot>> next;
  largestKvCapacity_ = 0;
  bool known = true;
  for (EndpointView& view : aViews) {
    const std::string name = view.name_;
    known = known && view.load_.kvTokensTotal_ > 0;
    largestKvCapacity_ =
      std::max(largestKvCapacity_, view.load_.kvTokensTotal_);
    const auto old = slots_.find(name);
    if (old == slots_.end()) {
      next.emplace(name, std::make_unique<EndpointSlot>(std::move(view)));
      continue;
    }
    old->second->Update(std::move(view), cost_, aNow);
    next.emplace(name, std::move(old->second));
  }
  largestKvCapacity_ = known ? largestKvCapacity_ : 0;
  slots_ = std::move(next);
  RebuildLiveEndpoints();
  RefreshEjectionsAndLanes(aNow);
  OnTick(aNow);
}

void Scheduler::OnRequest(const RequestInfo& aInfo, TimePoint aNow)
{
  const milliseconds retryAfter =
    requestLanes_[0].AdmissionFor(aInfo.class_).RetryAfter({});
  if (aInfo.deadline_ <= aNow) {
    Refuse(aInfo.id_,
           ResultCode::kDeadlineExceeded,
           "the deadline has already passed",
           retryAfter);
    return;
  }
  if (!HasCandidate(aInfo)) {
    Refuse(aInfo.id_,
           ResultCode::kNoEndpoint,
           "no untried live endpoint in the pool",
           retryAfter);
    return;
  }
  if (!FitsMemory(aInfo)) {
    actions_.push_back(
      { .id_ = aInfo.id_, .refusal_ = MakeError(ResultCode::kPromptTooLarge) });
    return;
  }
  const bool first = aInfo.IsFirstAttempt();
  if (first) {
    retryBudget_.OnFirstAttempt(aInfo.service_);
  } else if (IsAdaptive() && !aInfo.exemptFromRetryBudget_ &&
             !retryBudget_.TryTakeRetry(aInfo.service_)) {
    Refuse(aInfo.id_, ResultCode::kRetryBudgetSpent, {}, retryAfter);
    return;
  }
  WaitingRequest request{ .info_ = aInfo,
                          .cost_ = CostOf(aInfo),
                          .latestStart_ =
                            aInfo.placeBy_.value_or(aInfo.deadline_),
                          .arrived_ = aNow };
  // A response that has begun was counted before, and may ask often.
  if (!aInfo.placeBy_) {
    laneSplit_.OnRequest(
      laneSplit_.IsLong(aInfo.promptTokens_), request.cost_, aNow);
  }
  if (IsAdaptive() && !aInfo.placeBy_) {
    request.latestStart_ -=
      request.cost_ + cost_.Decode(aInfo.maxTokens_) +
      LaneOf(aInfo).AdmissionFor(aInfo.class_).EngineWait();
    if (!Admit(request, aNow)) {
      return;
    }
  }
  const microseconds backoff = ShortestBackoff(aInfo, aNow);
  if (backoff.count() > 0 && aNow + backoff >= request.latestStart_) {
    Refuse(aInfo.id_,
           ResultCode::kEndpointsBackedOff,
           {},
           retryAfter + std::chrono::ceil<milliseconds>(backoff));
    return;
  }
  Lane& lane = LaneOf(aInfo);
  lane.AdmissionFor(aInfo.class_)
    .DrainRateOf(aInfo.team_, aNow)
    .OnWaiting(true, aNow);
  lane.queue_->Push(std::move(request));
  DispatchAll(aNow);
}

void Scheduler::OnCancelled(std::uint64_t aId, TimePoint aNow)
{
  for (Lane& lane : requestLanes_) {
    Dequeue(lane, aId, false, aNow);
  }
  DispatchAll(aNow);
}

void Scheduler::OnFirstToken(std::uint64_t aId, TimePoint aNow)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  RunningRequest& run = found->second;
  run.firstToken_ = aNow;
  const auto slot = slots_.find(run.endpoint_);
  if (slot != slots_.end()) {
    slot->second->OnPrefillDone(aId, aNow);
    RecordFirstToken(run, *slot->second, aNow);
  }
  DispatchAll(aNow);
}

void Scheduler::OnFinished(std::uint64_t aId,
                           const RequestOutcome& aOutcome,
                           TimePoint aNow)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  const RunningRequest run = std::move(found->second);
  running_.erase(found);
  const bool started = run.firstToken_ != TimePoint{};
  if (started && aOutcome.succeeded_) {
    cost_.OnDecode(run.info_.maxTokens_, Elapsed(run.firstToken_, aNow));
  }
  const auto slot = slots_.find(run.endpoint_);
  if (slot != slots_.end()) {
    if (slot->second->IsPlainService()) {
      RecordServiceCall(run, *slot->second, aOutcome, aNow);
    }
    slot->second->OnPrefillDone(aId, aNow);
    slot->second->OnEnded(run.info_);
    slot->second->OnBackoff(aOutcome.backoff_, aNow);
    if (aOutcome.endpointAtFault_) {
      slot->second->health_.OnFault(aNow);
      RefreshEjectionsAndLanes(aNow);
    }
  }
  if (aOutcome.endpointAtFault_ && !started) {
    RecordTimeout(run, aNow);
  }
  DispatchAll(aNow);
}

void Scheduler::OnTick(TimePoint aNow)
{
  for (Lane& lane : requestLanes_) {
    const WaitingRequest* request = lane.queue_->NextToExpire();
    while (request != nullptr && request->latestStart_ <= aNow) {
      const std::uint64_t id = request->info_.id_;
      const microseconds wait = PredictWait(request->info_);
      Refuse(id,
             ExpiryCode(request->info_),
             "the deadline became unreachable while the request waited",
             lane.AdmissionFor(request->info_.class_).RetryAfter(wait));
      Dequeue(lane, id, false, aNow);
      request = lane.queue_->NextToExpire();
    }
  }
  if (aNow - lastRefresh_ >= kRefreshInterval) {
    RefreshEjectionsAndLanes(aNow);
  }
  DispatchAll(aNow);
}

std::vector<SchedulerAction> Scheduler::TakeActions()
{
  return std::exchange(actions_, {});
}

std::size_t Scheduler::Waiting() const
{
  return requestLanes_[0].queue_->Size() + requestLanes_[1].queue_->Size();
}

bool Scheduler::IsLong(const RequestInfo& aInfo) const
{
  return IsAdaptive() && liveEndpoints_.size() > 1 &&
         laneSplit_.IsLong(aInfo.promptTokens_);
}

Scheduler::Lane& Scheduler::LaneOf(const RequestInfo& aInfo)
{
  return requestLanes_[IsLong(aInfo) ? 1 : 0];
}

// Refuses a request at once if it can't finish in time, distinguishing a full
// queue from a deadline that is too short even without one.
bool Scheduler::Admit(const WaitingRequest& aRequest, TimePoint aNow)
{
  const RequestInfo& info = aRequest.info_;
  Lane& lane = LaneOf(info);
  AdmissionController& admission = lane.AdmissionFor(info.class_);
  const bool empty = lane.queue_->Size() == 0;
  // A retry was admitted before and is ordered early by its deadline.
  const bool first = info.IsFirstAttempt();
  const microseconds wait =
    empty || !first ? microseconds(0) : PredictWait(info);
  const microseconds service = Elapsed(aRequest.latestStart_, info.deadline_);
  if (admission.MeetsDeadline(wait, service, info.deadline_, aNow)) {
    return true;
  }
  Refuse(info.id_,
         empty ? ResultCode::kDeadlineUnreachable : ResultCode::kQueueFull,
         {},
         admission.RetryAfter(wait));
  return false;
}

microseconds Scheduler::PredictWait(const RequestInfo& aInfo)
{
  Lane& lane = LaneOf(aInfo);
  return lane.AdmissionFor(aInfo.class_)
    .PredictDrainTime(aInfo.team_,
                      lane.queue_->QueuedTeamCost(aInfo),
                      lane.queue_->TeamWeightShare(aInfo));
}

void Scheduler::Dequeue(Lane& aLane,
                        std::uint64_t aId,
                        bool aServed,
                        TimePoint aNow)
{
  const WaitingRequest* request = aLane.queue_->Find(aId);
  if (request == nullptr) {
    return;
  }
  const RequestInfo info = request->info_;
  DrainRate& drain =
    aLane.AdmissionFor(info.class_).DrainRateOf(info.team_, aNow);
  // A request that did not wait carries no information about the drain rate.
  if (aServed && aNow > request->arrived_) {
    drain.OnServed(request->cost_, aNow);
  }
  aLane.queue_->Remove(aId, aServed);
  drain.OnWaiting(aLane.queue_->QueuedTeamCost(info).count() > 0, aNow);
}

ResultCode Scheduler::ExpiryCode(const RequestInfo& aInfo) const
{
  if (aInfo.placeBy_) {
    return ResultCode::kQueueFull;
  }
  return IsAdaptive() ? ResultCode::kDeadlineUnreachable
                      : ResultCode::kDeadlineExceeded;
}

bool Scheduler::FitsMemory(const RequestInfo& aInfo) const
{
  return largestKvCapacity_ == 0 ||
         aInfo.promptTokens_ + aInfo.maxTokens_ <= largestKvCapacity_;
}

bool Scheduler::HasCandidate(const RequestInfo& aInfo) const
{
  return std::any_of(liveEndpoints_.begin(),
                     liveEndpoints_.end(),
                     [&](const EndpointSlot* aSlot) {
                       return !IsExcluded(aInfo, aSlot->view_.name_);
                     });
}

// Returns whether there is a candidate that is neither ejected nor backed off.
bool Scheduler::HasPreferredCandidate(const RequestInfo& aInfo,
                                      TimePoint aNow) const
{
  return std::any_of(liveEndpoints_.begin(),
                     liveEndpoints_.end(),
                     [&](const EndpointSlot* aSlot) {
                       return !aSlot->ejected_ &&
                              aSlot->RemainingBackoff(aNow).count() == 0 &&
                              !IsExcluded(aInfo, aSlot->view_.name_);
                     });
}

// Returns the time until a candidate is not backed off; zero if one is not.
microseconds Scheduler::ShortestBackoff(const RequestInfo& aInfo,
                                        TimePoint aNow) const
{
  auto shortest = microseconds::max();
  for (const EndpointSlot* slot : liveEndpoints_) {
    if (!IsExcluded(aInfo, slot->view_.name_)) {
      shortest = std::min(shortest, slot->RemainingBackoff(aNow));
    }
  }
  return shortest;
}

bool Scheduler::IsEligible(const EndpointSlot& aSlot,
                           const RequestInfo& aInfo,
                           bool aAllowEjected,
                           TimePoint aNow) const
{
  if (IsExcluded(aInfo, aSlot.view_.name_) ||
      aSlot.RemainingBackoff(aNow).count() > 0) {
    return false;
  }
  if (!IsAdaptive()) {
    return aSlot.outstanding_ < options_.maxConcurrency_;
  }
  const double share = aSlot.health_.TrafficShare(aNow);
  const int limit = aSlot.IsPlainService()
                      ? std::min(options_.maxConcurrency_, aSlot.limit_.Limit())
                      : options_.maxConcurrency_;
  const int most = std::max(1, static_cast<int>(limit * share));
  return (aAllowEjected || !aSlot.ejected_) && aSlot.outstanding_ < most &&
         aSlot.HasMemory(aInfo);
}

void Scheduler::DispatchAll(TimePoint aNow)
{
  for (Lane& lane : requestLanes_) {
    DispatchLane(lane, aNow);
  }
}

void Scheduler::DispatchLane(Lane& aLane, TimePoint aNow)
{
  const WaitingRequest* next = aLane.queue_->Next();
  while (next != nullptr) {
    const RequestInfo& info = next->info_;
    // Use ejected endpoints rather than refuse when there are no others.
    const bool ejected = !HasPreferredCandidate(info, aNow);
    const PlacementQuery query{
      .info_ = info, .cost_ = next->cost_, .isLong_ = IsLong(info), .now_ = aNow
    };
    EndpointSlot* slot =
      placement_->Choose(query, liveEndpoints_, [&](const EndpointSlot& aSlot) {
        return IsEligible(aSlot, info, ejected, aNow);
      });
    if (slot == nullptr) {
      break;
    }
    Start(*next, *slot, aNow);
    Dequeue(aLane, info.id_, true, aNow);
    next = aLane.queue_->Next();
  }
}

void Scheduler::Start(const WaitingRequest& aRequest,
                      EndpointSlot& aSlot,
                      TimePoint aNow)
{
  const RequestInfo& info = aRequest.info_;
  const microseconds backlog = aSlot.Backlog(aNow);
  RunningRequest run{ .info_ = info,
                      .endpoint_ = aSlot.view_.name_,
                      .cost_ = aRequest.cost_,
                      .predicted_ = aRequest.cost_ + backlog,
                      .sent_ = aNow,
                      .noBacklog_ = backlog.count() == 0 };
  // Within a class, short prompts also go first on the engine: a long prompt
  // then waits for a few milliseconds, where a short one would wait for
  // seconds.
  const int priority = static_cast<int>(info.class_) * 2 +
                       (laneSplit_.IsLong(info.promptTokens_) ? 1 : 0);
  actions_.push_back(
    { .id_ = info.id_,
      .endpoint_ = run.endpoint_,
      .refusal_ = {},
      .priority_ = IsAdaptive() ? priority : static_cast<int>(info.class_),
      .firstTokenLimit_ = FirstTokenLimit(run, aNow) });
  aSlot.OnSent(info, aRequest.cost_, aNow);
  running_.emplace(info.id_, std::move(run));
}

void Scheduler::Configure(Options aOptions)
{
  if (aOptions == options_) {
    return;
  }
  options_ = std::move(aOptions);
  placementKind_ = PlacementKindOf(options_.placement_);
  placement_ =
    MakePlacement(placementKind_->name_, options_.zone_, options_.seed_);
  std::vector<WaitingRequest> waiting;
  for (Lane& lane : requestLanes_) {
    while (const WaitingRequest* next = lane.queue_->Next()) {
      waiting.push_back(*next);
      lane.queue_->Remove(next->info_.id_, false);
    }
    lane.queue_ = IsAdaptive()
                    ? MakeFairQueue({ .weights_ = options_.weights_ })
                    : MakeFifoQueue();
  }
  RebuildLiveEndpoints();
  for (WaitingRequest& request : waiting) {
    Lane& lane = LaneOf(request.info_);
    lane.queue_->Push(std::move(request));
  }
}

void Scheduler::Refuse(std::uint64_t aId,
                       ResultCode aCode,
                       std::string aText,
                       milliseconds aRetryAfter)
{
  actions_.push_back({ .id_ = aId,
                       .endpoint_ = {},
                       .refusal_ = { .code_ = aCode,
                                     .text_ = std::move(aText),
                                     .ran_ = RanState::kNo,
                                     .retryAfter_ = aRetryAfter } });
}

} // namespace gooseberrylift

#include "gooseberrylift/gooseberrylift-scheduler.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Ejections end and lanes change at this pace even without a load report.
constexpr milliseconds kRefresh{ 250 };

constexpr std::array kClasses = { ServiceClass::kUrgent,
                                  ServiceClass::kNormal,
                                  ServiceClass::kBatch };

bool IsExcluded(const RequestInfo& aInfo, const std::string& aEndpoint)
{
  return std::find(aInfo.excluded_.begin(), aInfo.excluded_.end(), aEndpoint) !=
         aInfo.excluded_.end();
}

microseconds Between(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

const PlacementKind* KindOf(const std::string& aName)
{
  const PlacementKind* kind = FindPlacement(aName);
  return kind == nullptr ? FindPlacement("least-work") : kind;
}

} // namespace

Scheduler::Scheduler(Options aOptions)
  : options_(std::move(aOptions))
  , kind_(KindOf(options_.placement_))
  , placement_(MakePlacement(kind_->name_, options_.zone_, options_.seed_))
  , cost_(CostModel::Options{})
  , lanes_(LaneSplit::Options{})
  , retries_(RetryBudget::Options{})
{
  for (Lane& lane : queues_) {
    lane.queue_ = Fair() ? MakeFairQueue({ .weights_ = options_.weights_ })
                         : MakeFifoQueue();
    lane.admission_.assign(std::size(kClasses),
                           Admission({ .seed_ = options_.seed_ }));
  }
}

void Scheduler::SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow)
{
  std::map<std::string, std::unique_ptr<EndpointSlot>> next;
  largestMemory_ = 0;
  bool known = true;
  for (EndpointView& view : aViews) {
    const std::string name = view.name_;
    known = known && view.load_.kvTokensTotal_ > 0;
    largestMemory_ = std::max(largestMemory_, view.load_.kvTokensTotal_);
    const auto old = slots_.find(name);
    if (old == slots_.end()) {
      next.emplace(name, std::make_unique<EndpointSlot>(std::move(view)));
      continue;
    }
    old->second->Update(std::move(view), cost_, aNow);
    next.emplace(name, std::move(old->second));
  }
  largestMemory_ = known ? largestMemory_ : 0;
  slots_ = std::move(next);
  RefreshLive();
  RefreshEjections(aNow);
  OnTick(aNow);
}

void Scheduler::OnRequest(const RequestInfo& aInfo, TimePoint aNow)
{
  const milliseconds soon = queues_[0].Of(aInfo.class_).RetryAfter({});
  if (aInfo.deadline_ <= aNow) {
    Refuse(aInfo.id_, ResultCode::kDeadlineExceeded, "no time left", soon);
    return;
  }
  if (!HasCandidate(aInfo, true)) {
    Refuse(
      aInfo.id_, ResultCode::kNoEndpoint, "no live endpoint is left", soon);
    return;
  }
  if (!FitsMemory(aInfo)) {
    actions_.push_back(
      { .id_ = aInfo.id_, .refusal_ = MakeError(ResultCode::kPromptTooLarge) });
    return;
  }
  const bool first = aInfo.IsFirstTry();
  if (first) {
    retries_.OnFirstTry(aInfo.service_);
  } else if (Fair() && !aInfo.freeRetry_ &&
             !retries_.TakeRetry(aInfo.service_)) {
    Refuse(aInfo.id_, ResultCode::kRetryBudgetSpent, {}, soon);
    return;
  }
  WaitingRequest request{ .info_ = aInfo,
                          .cost_ = CostOf(aInfo),
                          .latestStart_ = aInfo.deadline_,
                          .arrived_ = aNow };
  lanes_.OnRequest(lanes_.IsLong(aInfo.promptTokens_), request.cost_, aNow);
  if (Fair()) {
    request.latestStart_ -= request.cost_ + cost_.Decode(aInfo.maxTokens_) +
                            LaneOf(aInfo).Of(aInfo.class_).EngineWait();
    if (!Admit(request, aNow)) {
      return;
    }
  }
  Lane& lane = LaneOf(aInfo);
  lane.Of(aInfo.class_).DrainOf(aInfo.team_, aNow).OnWaiting(true, aNow);
  lane.queue_->Push(std::move(request));
  Pump(aNow);
}

void Scheduler::OnCancelled(std::uint64_t aId, TimePoint aNow)
{
  for (Lane& lane : queues_) {
    Unqueue(lane, aId, false, aNow);
  }
  Pump(aNow);
}

void Scheduler::OnFirstToken(std::uint64_t aId, TimePoint aNow)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  Run& run = found->second;
  run.firstToken_ = aNow;
  const auto slot = slots_.find(run.endpoint_);
  if (slot != slots_.end()) {
    slot->second->OnStarted(aId, aNow);
    Learn(run, *slot->second, aNow);
  }
  Pump(aNow);
}

void Scheduler::OnFinished(std::uint64_t aId,
                           const RequestOutcome& aOutcome,
                           TimePoint aNow)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  const Run run = std::move(found->second);
  running_.erase(found);
  const bool started = run.firstToken_ != TimePoint{};
  if (started && aOutcome.succeeded_) {
    cost_.OnDecode(run.info_.maxTokens_, Between(run.firstToken_, aNow));
  }
  const auto slot = slots_.find(run.endpoint_);
  if (slot != slots_.end()) {
    if (slot->second->IsPlain()) {
      LearnCall(run, *slot->second, aOutcome, aNow);
    }
    slot->second->OnStarted(aId, aNow);
    slot->second->OnEnded(run.info_);
    if (aOutcome.endpointAtFault_) {
      slot->second->health_.OnFault(aNow);
      RefreshEjections(aNow);
    }
  }
  if (aOutcome.endpointAtFault_ && !started) {
    LearnTimeout(run, aNow);
  }
  Pump(aNow);
}

void Scheduler::OnTick(TimePoint aNow)
{
  for (Lane& lane : queues_) {
    const WaitingRequest* request = lane.queue_->MostPressing();
    while (request != nullptr && request->latestStart_ <= aNow) {
      const std::uint64_t id = request->info_.id_;
      const microseconds wait = PredictWait(request->info_);
      Refuse(id,
             Fair() ? ResultCode::kDeadlineUnreachable
                    : ResultCode::kDeadlineExceeded,
             "waited until the deadline came out of reach",
             lane.Of(request->info_.class_).RetryAfter(wait));
      Unqueue(lane, id, false, aNow);
      request = lane.queue_->MostPressing();
    }
  }
  if (aNow - refreshed_ >= kRefresh) {
    RefreshEjections(aNow);
  }
  Pump(aNow);
}

std::vector<SchedulerAction> Scheduler::TakeActions()
{
  return std::exchange(actions_, {});
}

std::size_t Scheduler::Waiting() const
{
  return queues_[0].queue_->Size() + queues_[1].queue_->Size();
}

bool Scheduler::IsLong(const RequestInfo& aInfo) const
{
  return Fair() && live_.size() > 1 && lanes_.IsLong(aInfo.promptTokens_);
}

Scheduler::Lane& Scheduler::LaneOf(const RequestInfo& aInfo)
{
  return queues_[IsLong(aInfo) ? 1 : 0];
}

// Refuses at once what can't be answered in time, with a true reason.
bool Scheduler::Admit(const WaitingRequest& aRequest, TimePoint aNow)
{
  const RequestInfo& info = aRequest.info_;
  Lane& lane = LaneOf(info);
  Admission& admission = lane.Of(info.class_);
  const bool empty = lane.queue_->Size() == 0;
  // A second try was admitted before and goes first by its deadline.
  const bool first = info.IsFirstTry();
  const microseconds wait =
    empty || !first ? microseconds(0) : PredictWait(info);
  const microseconds service = Between(aRequest.latestStart_, info.deadline_);
  if (admission.Fits(wait, service, info.deadline_, aNow)) {
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
  return lane.Of(aInfo.class_)
    .WaitFor(
      aInfo.team_, lane.queue_->TeamWork(aInfo), lane.queue_->TeamShare(aInfo));
}

void Scheduler::Unqueue(Lane& aLane,
                        std::uint64_t aId,
                        bool aServed,
                        TimePoint aNow)
{
  const WaitingRequest* request = aLane.queue_->Find(aId);
  if (request == nullptr) {
    return;
  }
  const RequestInfo info = request->info_;
  DrainRate& drain = aLane.Of(info.class_).DrainOf(info.team_, aNow);
  // What passed without a wait says nothing of how fast a wait ends.
  if (aServed && aNow > request->arrived_) {
    drain.OnServed(request->cost_, aNow);
  }
  aLane.queue_->Remove(aId, aServed);
  drain.OnWaiting(aLane.queue_->TeamWork(info).count() > 0, aNow);
}

bool Scheduler::FitsMemory(const RequestInfo& aInfo) const
{
  return largestMemory_ == 0 ||
         aInfo.promptTokens_ + aInfo.maxTokens_ <= largestMemory_;
}

bool Scheduler::HasCandidate(const RequestInfo& aInfo, bool aEjected) const
{
  return std::any_of(
    live_.begin(), live_.end(), [&](const EndpointSlot* aSlot) {
      return (aEjected || !aSlot->ejected_) &&
             !IsExcluded(aInfo, aSlot->view_.name_);
    });
}

bool Scheduler::IsEligible(const EndpointSlot& aSlot,
                           const RequestInfo& aInfo,
                           bool aEjected,
                           TimePoint aNow) const
{
  if (IsExcluded(aInfo, aSlot.view_.name_)) {
    return false;
  }
  if (!Fair()) {
    return aSlot.outstanding_ < options_.maxConcurrency_;
  }
  const double share = aSlot.health_.Share(aNow);
  const int limit = aSlot.IsPlain()
                      ? std::min(options_.maxConcurrency_, aSlot.limit_.Limit())
                      : options_.maxConcurrency_;
  const int most = std::max(1, static_cast<int>(limit * share));
  return (aEjected || !aSlot.ejected_) && aSlot.outstanding_ < most &&
         aSlot.HasMemory(aInfo);
}

void Scheduler::Pump(TimePoint aNow)
{
  for (Lane& lane : queues_) {
    PumpLane(lane, aNow);
  }
}

void Scheduler::PumpLane(Lane& aLane, TimePoint aNow)
{
  const WaitingRequest* next = aLane.queue_->Next();
  while (next != nullptr) {
    const RequestInfo& info = next->info_;
    // An ejected endpoint still beats a refusal when no other is left.
    const bool ejected = !HasCandidate(info, false);
    const PlacementQuery query{
      .info_ = info, .cost_ = next->cost_, .long_ = IsLong(info), .now_ = aNow
    };
    EndpointSlot* slot =
      placement_->Choose(query, live_, [&](const EndpointSlot& aSlot) {
        return IsEligible(aSlot, info, ejected, aNow);
      });
    if (slot == nullptr) {
      break;
    }
    Start(*next, *slot, aNow);
    Unqueue(aLane, info.id_, true, aNow);
    next = aLane.queue_->Next();
  }
}

void Scheduler::Start(const WaitingRequest& aRequest,
                      EndpointSlot& aSlot,
                      TimePoint aNow)
{
  const RequestInfo& info = aRequest.info_;
  const microseconds backlog = aSlot.Backlog(aNow);
  Run run{ .info_ = info,
           .endpoint_ = aSlot.view_.name_,
           .cost_ = aRequest.cost_,
           .predicted_ = aRequest.cost_ + backlog,
           .sent_ = aNow,
           .alone_ = backlog.count() == 0 };
  // Within a class the short prompts go first on the engine as well: a chunk
  // of a long one waits for a few milliseconds, the reverse for seconds.
  const int priority = static_cast<int>(info.class_) * 2 +
                       (lanes_.IsLong(info.promptTokens_) ? 1 : 0);
  actions_.push_back(
    { .id_ = info.id_,
      .endpoint_ = run.endpoint_,
      .refusal_ = {},
      .priority_ = Fair() ? priority : static_cast<int>(info.class_),
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
  kind_ = KindOf(options_.placement_);
  placement_ = MakePlacement(kind_->name_, options_.zone_, options_.seed_);
  std::vector<WaitingRequest> waiting;
  for (Lane& lane : queues_) {
    while (const WaitingRequest* next = lane.queue_->Next()) {
      waiting.push_back(*next);
      lane.queue_->Remove(next->info_.id_, false);
    }
    lane.queue_ = Fair() ? MakeFairQueue({ .weights_ = options_.weights_ })
                         : MakeFifoQueue();
  }
  RefreshLive();
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

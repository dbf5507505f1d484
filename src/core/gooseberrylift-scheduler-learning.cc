// The part of the scheduler that evaluates first tokens and finished requests,
// and updates time-outs, lanes and ejections accordingly.

#include "gooseberrylift/gooseberrylift-scheduler.h"

#include <algorithm>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A first token that takes longer than four times its predicted time, and
// longer than 1.5 s, is assumed never to arrive. Under
// load the ratio of a healthy engine stays below three.
constexpr int kFirstTokenLimitFactor = 4;
constexpr milliseconds kMinFirstTokenLimit{ 1500 };

// There is no time-out for the first token until this many were observed.
// Before that, engines slower than the initial estimate would always time out,
// and the cost model would never adapt to them.
constexpr int kMinFirstTokensSeen = 20;

constexpr double kServiceCallGain = 0.05;

// Round trip plus the engine step in progress; not part of the prompt cost.
constexpr microseconds kFixedOverhead{ 20'000 };

constexpr std::array kClasses = { ServiceClass::kUrgent,
                                  ServiceClass::kNormal,
                                  ServiceClass::kBatch };

microseconds Elapsed(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

double RatioOf(microseconds aObserved, microseconds aPredicted)
{
  return static_cast<double>(aObserved.count()) /
         static_cast<double>((aPredicted + kFixedOverhead).count());
}

} // namespace

microseconds Scheduler::FirstTokenLimit(const RunningRequest& aRun,
                                        TimePoint aNow) const
{
  if (!IsAdaptive() || firstTokensSeen_ < kMinFirstTokensSeen ||
      liveEndpoints_.size() < 2) {
    return microseconds(0);
  }
  const double poolRatio = std::max(1.0, poolRatio_.Average());
  const auto limit = microseconds(static_cast<std::int64_t>(
    static_cast<double>((aRun.predicted_ * kFirstTokenLimitFactor).count()) *
    poolRatio));
  const microseconds bounded =
    std::max<microseconds>(limit, kMinFirstTokenLimit);
  return aNow + bounded < aRun.info_.deadline_ ? bounded : microseconds(0);
}

void Scheduler::RecordFirstToken(const RunningRequest& aRun,
                                 EndpointSlot& aSlot,
                                 TimePoint aNow)
{
  const microseconds duration = Elapsed(aRun.sent_, aNow);
  const double ratio = RatioOf(duration, aRun.predicted_);
  ++firstTokensSeen_;
  if (aRun.noBacklog_ && !aSlot.ejected_) {
    cost_.OnPrefill(aRun.info_.promptTokens_, duration);
  }
  if (!aSlot.ejected_) {
    poolRatio_.OnRatio(ratio);
  }
  aSlot.health_.OnFirstToken(ratio, poolRatio_, aNow);
  LaneOf(aRun.info_)
    .AdmissionFor(aRun.info_.class_)
    .OnEngineWait(duration - aRun.cost_);
  if (aSlot.health_.ShouldEject(aNow) != aSlot.ejected_) {
    RefreshEjectionsAndLanes(aNow);
  }
}

// Includes attempts that failed before their first token in the average ratio
// of the pool, so that the first-token time-out rises when the whole pool
// becomes slower than predicted.
void Scheduler::RecordTimeout(const RunningRequest& aRun, TimePoint aNow)
{
  poolRatio_.OnRatio(RatioOf(Elapsed(aRun.sent_, aNow), aRun.predicted_));
}

// A call of a plain service has no first token, only a total duration.
void Scheduler::RecordServiceCall(const RunningRequest& aRun,
                                  EndpointSlot& aSlot,
                                  const RequestOutcome& aOutcome,
                                  TimePoint aNow)
{
  const microseconds duration = Elapsed(aRun.sent_, aNow);
  aSlot.limit_.OnFinished(
    duration, aOutcome.endpointAtFault_, aSlot.outstanding_);
  if (aOutcome.succeeded_) {
    serviceCallUs_ += kServiceCallGain *
                      (static_cast<double>(duration.count()) - serviceCallUs_);
    aSlot.health_.OnFirstToken(1.0, poolRatio_, aNow);
  }
}

microseconds Scheduler::CostOf(const RequestInfo& aInfo) const
{
  const bool plain =
    !liveEndpoints_.empty() && liveEndpoints_.front()->IsPlainService();
  return plain ? microseconds(static_cast<std::int64_t>(serviceCallUs_))
               : cost_.Prefill(aInfo.promptTokens_);
}

// Sorts the live endpoints by a hash of their names, so that all hosts assign
// the same ones to the lane for long prompts.
void Scheduler::RebuildLiveEndpoints()
{
  liveEndpoints_.clear();
  for (const auto& [name, slot] : slots_) {
    if (slot->view_.state_ == EndpointState::kLive) {
      liveEndpoints_.push_back(slot.get());
    }
  }
  if (!IsAdaptive()) {
    return;
  }
  const auto hash = [](const EndpointSlot* aSlot) {
    return XXH3_64bits(aSlot->view_.name_.data(), aSlot->view_.name_.size());
  };
  std::sort(liveEndpoints_.begin(),
            liveEndpoints_.end(),
            [&](const auto* aLeft, const auto* aRight) {
              return hash(aLeft) < hash(aRight);
            });
}

// Ejects at most a third of the pool. If more endpoints look unhealthy, the
// cause is more likely shared load or a network fault, and ejection would
// overload the rest.
void Scheduler::RefreshEjectionsAndLanes(TimePoint aNow)
{
  lastRefresh_ = aNow;
  std::size_t ejectionsLeft = liveEndpoints_.size() / 3;
  for (EndpointSlot* slot : liveEndpoints_) {
    slot->ejected_ = ejectionsLeft > 0 && slot->health_.ShouldEject(aNow);
    ejectionsLeft -= slot->ejected_ ? 1 : 0;
  }
  const std::size_t longLaneSize =
    IsAdaptive() ? laneSplit_.LongLaneSize(liveEndpoints_.size()) : 0;
  for (std::size_t index = 0; index < liveEndpoints_.size(); ++index) {
    liveEndpoints_[index]->inLongLane_ = index < longLaneSize;
  }
  const auto hostCount =
    static_cast<double>(std::max<std::size_t>(1, hostCount_));
  double shortRate =
    static_cast<double>(liveEndpoints_.size() - longLaneSize) / hostCount;
  if (!liveEndpoints_.empty() && liveEndpoints_.front()->IsPlainService()) {
    // An endpoint of a plain service completes as many seconds of calls per
    // second as it can run concurrently.
    shortRate *= std::min(options_.maxConcurrency_,
                          liveEndpoints_.front()->limit_.Limit());
  }
  const double longRate =
    std::max(1.0, static_cast<double>(longLaneSize)) / hostCount;
  for (const ServiceClass each : kClasses) {
    requestLanes_[0].AdmissionFor(each).SetPriorRate(shortRate);
    requestLanes_[1].AdmissionFor(each).SetPriorRate(longRate);
  }
}

} // namespace gooseberrylift

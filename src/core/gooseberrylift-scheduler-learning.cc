// What the scheduler learns from requests that came back, and what follows
// from it: limits, lanes and ejections.

#include "gooseberrylift/gooseberrylift-scheduler.h"

#include <algorithm>

#include <xxhash.h>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// An answer that takes four times its prediction, and no less than a second
// and a half, is taken for one that never comes: under load the ratio of a
// sound engine stays under three.
constexpr int kLimitFactor = 4;
constexpr milliseconds kLeastLimit{ 1500 };

// Until this many first tokens were seen, predictions are guesses and limit
// nothing: engines slower than the guess would never answer in time and so
// never teach.
constexpr int kLeastLearnt = 20;

constexpr double kCallGain = 0.05;

// Round trip and the step an engine is in; they are no part of the prompt.
constexpr microseconds kOverhead{ 20'000 };

constexpr std::array kClasses = { ServiceClass::kUrgent,
                                  ServiceClass::kNormal,
                                  ServiceClass::kBatch };

microseconds Between(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

double RatioOf(microseconds aObserved, microseconds aPredicted)
{
  return static_cast<double>(aObserved.count()) /
         static_cast<double>((aPredicted + kOverhead).count());
}

} // namespace

microseconds Scheduler::FirstTokenLimit(const Run& aRun, TimePoint aNow) const
{
  if (!Fair() || learnt_ < kLeastLearnt || live_.size() < 2) {
    return microseconds(0);
  }
  const double pace = std::max(1.0, pace_.Usual());
  const auto limit = microseconds(static_cast<std::int64_t>(
    static_cast<double>((aRun.predicted_ * kLimitFactor).count()) * pace));
  const microseconds bounded = std::max<microseconds>(limit, kLeastLimit);
  return aNow + bounded < aRun.info_.deadline_ ? bounded : microseconds(0);
}

void Scheduler::Learn(const Run& aRun, EndpointSlot& aSlot, TimePoint aNow)
{
  const microseconds took = Between(aRun.sent_, aNow);
  const double ratio = RatioOf(took, aRun.predicted_);
  ++learnt_;
  if (aRun.alone_ && !aSlot.ejected_) {
    cost_.OnPrefill(aRun.info_.promptTokens_, took);
  }
  if (!aSlot.ejected_) {
    pace_.OnRatio(ratio);
  }
  aSlot.health_.OnFirstToken(ratio, pace_, aNow);
  LaneOf(aRun.info_).Of(aRun.info_.class_).OnEngineWait(took - aRun.cost_);
  if (aSlot.health_.WantsEjection(aNow) != aSlot.ejected_) {
    RefreshEjections(aNow);
  }
}

// If the whole pool turned slower than predicted, its pace follows, and with it
// the limit that the attempt ran into.
void Scheduler::LearnTimeout(const Run& aRun, TimePoint aNow)
{
  pace_.OnRatio(RatioOf(Between(aRun.sent_, aNow), aRun.predicted_));
}

// A call of a plain service shows its time only as a whole.
void Scheduler::LearnCall(const Run& aRun,
                          EndpointSlot& aSlot,
                          const RequestOutcome& aOutcome,
                          TimePoint aNow)
{
  const microseconds took = Between(aRun.sent_, aNow);
  aSlot.limit_.OnFinished(took, aOutcome.endpointAtFault_, aSlot.outstanding_);
  if (aOutcome.succeeded_) {
    callUs_ += kCallGain * (static_cast<double>(took.count()) - callUs_);
    aSlot.health_.OnFirstToken(1.0, pace_, aNow);
  }
}

microseconds Scheduler::CostOf(const RequestInfo& aInfo) const
{
  const bool plain = !live_.empty() && live_.front()->IsPlain();
  return plain ? microseconds(static_cast<std::int64_t>(callUs_))
               : cost_.Prefill(aInfo.promptTokens_);
}

// Puts the live endpoints into the order of a hash of their names, so that all
// hosts give the same ones to the lane of long prompts.
void Scheduler::RefreshLive()
{
  live_.clear();
  for (const auto& [name, slot] : slots_) {
    if (slot->view_.state_ == EndpointState::kLive) {
      live_.push_back(slot.get());
    }
  }
  if (!Fair()) {
    return;
  }
  const auto hash = [](const EndpointSlot* aSlot) {
    return XXH3_64bits(aSlot->view_.name_.data(), aSlot->view_.name_.size());
  };
  std::sort(
    live_.begin(), live_.end(), [&](const auto* aLeft, const auto* aRight) {
      return hash(aLeft) < hash(aRight);
    });
}

// At most a third of the pool is ejected: beyond that the fault is more likely
// a load or a network that all share, and ejecting would finish off the rest.
void Scheduler::RefreshEjections(TimePoint aNow)
{
  refreshed_ = aNow;
  std::size_t left = live_.size() / 3;
  for (EndpointSlot* slot : live_) {
    slot->ejected_ = left > 0 && slot->health_.WantsEjection(aNow);
    left -= slot->ejected_ ? 1 : 0;
  }
  const std::size_t lane = Fair() ? lanes_.LongEngines(live_.size()) : 0;
  for (std::size_t index = 0; index < live_.size(); ++index) {
    live_[index]->longLane_ = index < lane;
  }
  const auto hosts = static_cast<double>(std::max<std::size_t>(1, hosts_));
  double shorts = static_cast<double>(live_.size() - lane) / hosts;
  if (!live_.empty() && live_.front()->IsPlain()) {
    // A plain service serves as many seconds of calls a second as it bears
    // calls at once.
    shorts *= std::min(options_.maxConcurrency_, live_.front()->limit_.Limit());
  }
  const double longs = std::max(1.0, static_cast<double>(lane)) / hosts;
  for (const ServiceClass each : kClasses) {
    queues_[0].Of(each).SetPriorRate(shorts);
    queues_[1].Of(each).SetPriorRate(longs);
  }
}

} // namespace gooseberrylift

#include "gooseberrylift/gooseberrylift-endpoint-slot.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;

// At this many waiting tokens or more, a load report is assumed to describe one
// long prompt, whose cost has a quadratic term; below it, several short ones.
constexpr std::uint64_t kSinglePromptTokens = 100'000;

microseconds Elapsed(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

} // namespace

void EndpointSlot::Update(EndpointView aView,
                          const CostModel& aModel,
                          TimePoint aNow)
{
  const bool recovered = aView.incarnation_ != view_.incarnation_ ||
                         (view_.state_ == EndpointState::kDead &&
                          aView.state_ == EndpointState::kLive);
  if (recovered) {
    health_.BeginSlowStart(aNow);
  }
  if (aView.incarnation_ != view_.incarnation_) {
    backedOffUntil_ = {};
  }
  if (recovered || aView.load_.at_ != view_.load_.at_) {
    const TimePoint at = aView.load_.at_;
    std::uint64_t own = 0;
    unreportedMemoryTokens_ = 0;
    for (const Pending& pending : pending_) {
      (pending.sent_ <= at ? own : unreportedMemoryTokens_) += pending.tokens_;
    }
    const std::uint64_t waiting = aView.load_.waitingTokens_;
    const std::uint64_t others = waiting > own ? waiting - own : 0;
    const auto otherTokens = static_cast<std::int64_t>(others);
    const auto shortPromptTokens =
      static_cast<std::int64_t>(kSinglePromptTokens / 10);
    const microseconds cost = others >= kSinglePromptTokens
                                ? aModel.Prefill(others)
                                : aModel.Prefill(kSinglePromptTokens / 10) *
                                    otherTokens / shortPromptTokens;
    othersBusyUntil_ = at + cost;
  }
  view_ = std::move(aView);
}

void EndpointSlot::OnSent(const RequestInfo& aInfo,
                          microseconds aCost,
                          TimePoint aNow)
{
  ++outstanding_;
  pending_.push_back({ .id_ = aInfo.id_,
                       .tokens_ = aInfo.promptTokens_,
                       .cost_ = aCost,
                       .sent_ = aNow });
  pendingCost_ += aCost;
  ownBusyUntil_ = std::max(ownBusyUntil_, aNow) + aCost;
  unreportedMemoryTokens_ += aInfo.promptTokens_ + aInfo.maxTokens_;
}

void EndpointSlot::OnPrefillDone(std::uint64_t aId, TimePoint aNow)
{
  const auto found = std::find_if(
    pending_.begin(), pending_.end(), [aId](const Pending& aPending) {
      return aPending.id_ == aId;
    });
  if (found == pending_.end()) {
    return;
  }
  pendingCost_ -= found->cost_;
  pending_.erase(found);
  ownBusyUntil_ = std::min(ownBusyUntil_, aNow + pendingCost_);
}

void EndpointSlot::OnEnded(const RequestInfo& aInfo)
{
  --outstanding_;
  const std::uint64_t need = aInfo.promptTokens_ + aInfo.maxTokens_;
  unreportedMemoryTokens_ -= std::min(unreportedMemoryTokens_, need);
}

void EndpointSlot::OnBackoff(std::chrono::milliseconds aDuration,
                             TimePoint aNow)
{
  backedOffUntil_ = std::max(backedOffUntil_, aNow + aDuration);
}

microseconds EndpointSlot::RemainingBackoff(TimePoint aNow) const
{
  return Elapsed(aNow, std::max(aNow, backedOffUntil_));
}

microseconds EndpointSlot::Backlog(TimePoint aNow) const
{
  // A prompt without a first token after its predicted time shows that the
  // engine is slower than predicted, so at least half of the pending cost is
  // counted.
  const microseconds own =
    std::max(Elapsed(aNow, std::max(aNow, ownBusyUntil_)), pendingCost_ / 2);
  const microseconds others = Elapsed(aNow, std::max(aNow, othersBusyUntil_));
  return own + others;
}

bool EndpointSlot::HasMemory(const RequestInfo& aInfo) const
{
  const LoadReport& load = view_.load_;
  if (load.kvTokensTotal_ == 0) {
    return true;
  }
  const std::uint64_t need = aInfo.promptTokens_ + aInfo.maxTokens_;
  return load.kvTokensUsed_ + unreportedMemoryTokens_ + need <=
         load.kvTokensTotal_;
}

} // namespace gooseberrylift
